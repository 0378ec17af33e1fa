package vmlink

import (
	"sort"
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/bootclock"
)

// MedianClock estimates the time of day although clocks of some VMs jump. Each VM reads its wall clock once, at its start, and
// goes on by its boot clock. The estimate is the median over the VMs.
type MedianClock struct {
	startWall time.Time
	startBoot bootclock.Instant

	mu sync.Mutex
	// offsets holds by how much other VMs' own estimates are ahead of this VM's.
	offsets map[string]time.Duration
}

// NewMedianClock reads the wall clock.
func NewMedianClock() *MedianClock {
	return &MedianClock{startWall: time.Now().Round(0), startBoot: bootclock.Now(), offsets: make(map[string]time.Duration)}
}

// LocalEstimate returns this VM's estimate without the other VMs.
func (t *MedianClock) LocalEstimate() time.Time { return t.startWall.Add(bootclock.Since(t.startBoot)) }

// RecordPeerEstimate records another VM's own estimate, just received.
func (t *MedianClock) RecordPeerEstimate(vm string, estimate time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.offsets[vm] = estimate.Sub(t.LocalEstimate())
}

// Forget drops a VM that has gone.
func (t *MedianClock) Forget(vm string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.offsets, vm)
}

// Now returns the median of all VMs' estimates; of an even number the lower middle one.
func (t *MedianClock) Now() time.Time {
	t.mu.Lock()
	all := make([]time.Duration, 0, len(t.offsets)+1)
	for _, o := range t.offsets {
		all = append(all, o)
	}
	t.mu.Unlock()
	all = append(all, 0)
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return t.LocalEstimate().Add(all[(len(all)-1)/2])
}
