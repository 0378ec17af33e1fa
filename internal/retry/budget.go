// Package retry bounds retries and stops requests that crash endpoints.
package retry

import (
	"sync"
	"time"
)

const (
	// minSaved is the number of retries that a quiet pool may make at once, also a new one. The streams of one crashed engine
	// are spread over the gateways and have to go on elsewhere: 16 slots and four gateways give four each. Saved retries hit a
	// failing pool on top of the running budget, so they stay few.
	minSaved = 4
	// savedSeconds of first tries may be saved up by a busy pool, so that one crash with many requests can be retried.
	savedSeconds = 1
	// earned is the part of the ratio that each first try earns. The rest covers retries that were saved before a pool began to
	// fail, so that its load stays within the ratio over the first minute of a failure.
	earned = 0.85
	// budgetIdle is the time without a first try after which a pool counts as new.
	budgetIdle = time.Minute
	// maxPools bounds the pools that a budget remembers.
	maxPools = 1024
)

// Budget bounds retries to a share of first tries, per pool. Its methods may be called concurrently.
type Budget struct {
	mu    sync.Mutex
	ratio float64
	pools map[string]*poolBudget
}

// poolBudget is the budget of one pool.
type poolBudget struct {
	credit float64 // retries that may be made
	last   time.Time
	second time.Time // start of the second being counted
	count  int       // first tries in this second
	before int       // first tries in the second before
}

// NewBudget returns a budget that allows ratio retries for each first try and a few more at once. Each pool starts with these few,
// because an engine of a quiet pool may crash too.
func NewBudget(ratio float64) *Budget {
	return &Budget{ratio: ratio, pools: make(map[string]*poolBudget)}
}

// RecordFirstTry records a first try at a pool.
func (b *Budget) RecordFirstTry(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	p := b.pools[pool]
	if p == nil {
		b.makeRoom(now)
		p = &poolBudget{second: now, last: now, credit: minSaved}
		b.pools[pool] = p
	}
	p.expire(now)
	p.countFirst(now)
	p.last = now
	p.credit = min(p.credit+earned*b.ratio, p.limit(b.ratio))
}

// AllowRetry takes one retry from the pool's budget and tells whether there was one.
func (b *Budget) AllowRetry(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[pool]
	if p == nil {
		return false
	}
	p.expire(time.Now())
	// Sums of the ratio fall short of a whole number by rounding.
	const rounding = 1e-9
	if p.credit < 1-rounding {
		return false
	}
	p.credit = max(0, p.credit-1)
	return true
}

func (p *poolBudget) expire(now time.Time) {
	if now.Sub(p.last) > budgetIdle {
		p.credit = minSaved
	}
}

func (p *poolBudget) countFirst(now time.Time) {
	if elapsed := now.Sub(p.second); elapsed >= time.Second {
		p.before = p.count
		if elapsed >= 2*time.Second {
			p.before = 0
		}
		p.count, p.second = 0, now
	}
	p.count++
}

func (p *poolBudget) limit(ratio float64) float64 {
	return max(minSaved, ratio*savedSeconds*float64(max(p.before, p.count)))
}

// makeRoom forgets the pool that was idle longest when there are too many.
func (b *Budget) makeRoom(now time.Time) {
	if len(b.pools) < maxPools {
		return
	}
	oldest, at := "", now
	for name, p := range b.pools {
		if !p.last.After(at) {
			oldest, at = name, p.last
		}
	}
	delete(b.pools, oldest)
}
