package config

import (
	"math"
	"sync"
	"time"
)

// UnknownAgeMS is the age in milliseconds of a configuration that the platform has never confirmed.
const UnknownAgeMS int64 = math.MaxInt64

// Freshness records when the platform last confirmed a process's configuration. Processes exchange ages instead of timestamps, because
// their clocks may differ. Methods may be called concurrently.
type Freshness struct {
	mu          sync.Mutex
	confirmedAt time.Time
}

// Confirm records that the platform confirmed the configuration ageMS milliseconds ago. It ignores a confirmation that is older than
// the recorded one, a negative age and UnknownAgeMS.
func (f *Freshness) Confirm(ageMS int64) {
	if ageMS < 0 || ageMS == UnknownAgeMS {
		return
	}
	at := time.Now().Add(-time.Duration(min(ageMS, maxAgeMS)) * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// maxAgeMS bounds ages so that they fit in a time.Duration.
const maxAgeMS = int64(math.MaxInt64 / time.Millisecond)

// AgeMS returns the time in milliseconds since the platform's last confirmation, or UnknownAgeMS.
func (f *Freshness) AgeMS() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmedAt.IsZero() {
		return UnknownAgeMS
	}
	// Go's monotonic clock stops while a VM is suspended, so the wall clock is compared as well.
	elapsed := max(time.Since(f.confirmedAt), time.Now().Round(0).Sub(f.confirmedAt.Round(0)))
	return max(elapsed.Milliseconds(), 0)
}
