package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets in which the tries of a sliding window are counted.
const windowBuckets = 20

// WindowBudget limits the retries of all VMs together in any window: to a ratio of the first tries plus a fixed number, the slack. Each
// VM applies the ratio to its own first tries, so that its share follows its traffic, and uses an equal share of the slack. It is safe
// for concurrent use.
type WindowBudget struct {
	ratio, slack float64
	bucketLength time.Duration
	start        time.Time

	mu    sync.Mutex
	vms   int
	pools map[string]*window
}

// window counts the tries of one pool in the buckets of the last window.
type window struct {
	// newestBucket is the number of the current bucket since the budget's start. A bucket's index is its number modulo windowBuckets.
	newestBucket int64
	firstTries   [windowBuckets]int
	retries      [windowBuckets]int
}

// NewWindowBudget returns a budget for windows of the given length. ratio and slack apply to all VMs together.
func NewWindowBudget(ratio, slack float64, length time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, bucketLength: max(length/windowBuckets, time.Millisecond), start: time.Now(), vms: 1, pools: make(map[string]*window)}
}

// SetVMs sets the number of VMs that share the slack.
func (b *WindowBudget) SetVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = max(n, 1)
}

// RecordFirstTry records a first try at a pool.
func (b *WindowBudget) RecordFirstTry(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(pool)
	w.firstTries[w.newestBucket%windowBuckets]++
}

// RetryAvailable reports whether the pool's budget has a retry. It takes nothing from the budget.
func (b *WindowBudget) RetryAvailable(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.availableLocked(b.advance(pool))
}

// AllowRetry takes one retry from the pool's budget. It returns false if there is none.
func (b *WindowBudget) AllowRetry(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(pool)
	if !b.availableLocked(w) {
		return false
	}
	w.retries[w.newestBucket%windowBuckets]++
	return true
}

func (b *WindowBudget) availableLocked(w *window) bool {
	first, retries := 0, 0
	for i := range windowBuckets {
		first += w.firstTries[i]
		retries += w.retries[i]
	}
	return float64(retries+1) <= b.ratio*float64(first)+b.slack/float64(b.vms)
}

// advance returns the pool's window, moved to the current time. Buckets that have left the window are cleared.
func (b *WindowBudget) advance(pool string) *window {
	now := int64(time.Since(b.start) / b.bucketLength)
	w := b.pools[pool]
	if w == nil {
		w = &window{newestBucket: now}
		b.pools[pool] = w
	}
	if now-w.newestBucket >= windowBuckets {
		*w = window{newestBucket: now}
		return w
	}
	for w.newestBucket < now {
		w.newestBucket++
		w.firstTries[w.newestBucket%windowBuckets], w.retries[w.newestBucket%windowBuckets] = 0, 0
	}
	return w
}
