package retry

import (
	"sync"
	"time"
)

// windowParts is the number of parts in which a sliding window is counted.
const windowParts = 20

// WindowBudget bounds the retries of all VMs together in any window: to a ratio of the first tries and a fixed number more. Each VM
// takes the ratio of its own first tries, which follows demand, and an even part of the fixed number. Its methods may be called
// concurrently.
type WindowBudget struct {
	ratio, slack float64
	part         time.Duration
	start        time.Time

	mu    sync.Mutex
	vms   int
	pools map[string]*window
}

// window counts the tries of one pool in the parts of the last window.
type window struct {
	newest  int64
	first   [windowParts]int
	retries [windowParts]int
}

// NewWindowBudget returns a budget for windows of a length. ratio and slack are for all VMs together.
func NewWindowBudget(ratio, slack float64, length time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, part: max(length/windowParts, time.Millisecond), start: time.Now(), vms: 1, pools: make(map[string]*window)}
}

// SetVMs sets the number of VMs that share the fixed number.
func (b *WindowBudget) SetVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = max(n, 1)
}

// RecordFirstTry records a first try at a pool.
func (b *WindowBudget) RecordFirstTry(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.current(pool)
	w.first[w.newest%windowParts]++
}

// RetryAvailable tells whether the pool's budget has a retry.
func (b *WindowBudget) RetryAvailable(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.availableLocked(b.current(pool))
}

// AllowRetry takes one retry from the pool's budget and tells whether there was one.
func (b *WindowBudget) AllowRetry(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.current(pool)
	if !b.availableLocked(w) {
		return false
	}
	w.retries[w.newest%windowParts]++
	return true
}

func (b *WindowBudget) availableLocked(w *window) bool {
	first, retries := 0, 0
	for i := range windowParts {
		first += w.first[i]
		retries += w.retries[i]
	}
	return float64(retries+1) <= b.ratio*float64(first)+b.slack/float64(b.vms)
}

// current returns the pool's window with the parts that have passed cleared.
func (b *WindowBudget) current(pool string) *window {
	now := int64(time.Since(b.start) / b.part)
	w := b.pools[pool]
	if w == nil {
		w = &window{newest: now}
		b.pools[pool] = w
	}
	if now-w.newest >= windowParts {
		*w = window{newest: now}
		return w
	}
	for w.newest < now {
		w.newest++
		w.first[w.newest%windowParts], w.retries[w.newest%windowParts] = 0, 0
	}
	return w
}
