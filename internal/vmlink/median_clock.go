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
func (c *MedianClock) LocalEstimate() time.Time { return c.startWall.Add(bootclock.Since(c.startBoot)) }

// RecordPeerEstimate records the local estimate of another VM at the time it is received.
func (c *MedianClock) RecordPeerEstimate(vm string, estimate time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offsets[vm] = estimate.Sub(c.LocalEstimate())
}

// Forget removes the estimate of a VM that is no longer live.
func (c *MedianClock) Forget(vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.offsets, vm)
}

// Now returns the median of all VMs' local estimates; for an even number, the lower of the two middle ones.
func (c *MedianClock) Now() time.Time {
	c.mu.Lock()
	all := make([]time.Duration, 0, len(c.offsets)+1)
	for _, o := range c.offsets {
		all = append(all, o)
	}
	c.mu.Unlock()
	all = append(all, 0)
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return c.LocalEstimate().Add(all[(len(all)-1)/2])
}
