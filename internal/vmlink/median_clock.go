package vmlink

import (
	"sort"
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/bootclock"
)

// MedianClock estimates Unix time, also when the wall clocks of some VMs jump. Each VM reads its wall clock once, at its start, and
// then advances the reading by its boot clock. The estimate is the median over the VMs. Its methods may be called concurrently.
type MedianClock struct {
	startWall time.Time
	startBoot bootclock.Instant

	mu sync.Mutex
	// offsets holds, by VM, how far its local estimate is ahead of this VM's.
	offsets map[string]time.Duration
}

// NewMedianClock returns a clock that starts at the current wall clock time.
func NewMedianClock() *MedianClock {
	return &MedianClock{startWall: time.Now().Round(0), startBoot: bootclock.Now(), offsets: make(map[string]time.Duration)}
}

// LocalEstimate returns this VM's own estimate, without those of the other VMs.
func (t *MedianClock) LocalEstimate() time.Time { return t.startWall.Add(bootclock.Since(t.startBoot)) }

// RecordPeerEstimate records the local estimate of another VM at the time it is received.
func (t *MedianClock) RecordPeerEstimate(vm string, estimate time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.offsets[vm] = estimate.Sub(t.LocalEstimate())
}

// Forget removes the estimate of a VM that is no longer live.
func (t *MedianClock) Forget(vm string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.offsets, vm)
}

// Now returns the median of all VMs' local estimates; for an even number, the lower of the two middle ones.
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
