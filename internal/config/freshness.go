package config

import (
	"math"
	"sync"
	"time"
)

// UnknownAge is the age in milliseconds of a configuration that the platform never confirmed.
const UnknownAge int64 = math.MaxInt64

// Freshness tells how long ago the platform last confirmed a process's configuration. Processes pass ages to each other
// and never times of day, because their clocks are not compared. Its methods may be called concurrently.
type Freshness struct {
	mu        sync.Mutex
	confirmed time.Time
}

// Confirm records that the platform confirmed the configuration ageMS milliseconds ago. An older confirmation than the
// one known changes nothing.
func (f *Freshness) Confirm(ageMS int64) {
	if ageMS < 0 || ageMS == UnknownAge {
		return
	}
	at := time.Now().Add(-time.Duration(min(ageMS, maxAgeMS)) * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.confirmed) {
		f.confirmed = at
	}
}

// maxAgeMS bounds ages so that they fit in a time.Duration.
const maxAgeMS = int64(math.MaxInt64 / time.Millisecond)

// AgeMS returns the time in milliseconds since the platform's last confirmation, or UnknownAge.
func (f *Freshness) AgeMS() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed.IsZero() {
		return UnknownAge
	}
	// The wall clock is read as well because Go's monotonic clock stands still while a VM is suspended.
	elapsed := max(time.Since(f.confirmed), time.Now().Round(0).Sub(f.confirmed.Round(0)))
	return max(elapsed.Milliseconds(), 0)
}
