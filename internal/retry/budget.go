// Package retry bounds retries and stops requests that crash endpoints.
package retry

import (
	"sync"
	"time"
)

const (
	// minBurst is the number of retries that a new pool or one with little traffic may make at once. The streams of one crashed
	// engine are spread over the gateways and must be resumed elsewhere: 16 slots and four gateways make four each. It is small
	// because accumulated retries hit a failing pool in addition to the retries that it earns meanwhile.
	minBurst = 4
	// burstSeconds is the number of seconds of first tries whose retries a busy pool may accumulate, so that all requests of one
	// crash can be retried.
	burstSeconds = 1
	// earnedShare is the fraction of the ratio that each first try earns. The rest covers the retries accumulated before a failure,
	// so that the retries stay within the ratio over the first minute of the failure.
	earnedShare = 0.85
	// poolIdleTimeout is the time without a first try after which a pool's credit is reset to minBurst.
	poolIdleTimeout = time.Minute
	// maxPools is the largest number of pools in a budget.
	maxPools = 1024
)

// Budget limits the retries of each pool to a ratio of its first tries. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	ratio float64
	pools map[string]*poolBudget
}

// poolBudget is the budget of one pool.
type poolBudget struct {
	credit        float64 // retries that may be made now
	lastFirstTry  time.Time
	secondStart   time.Time // start of the current second
	currentCount  int       // first tries in the current second
	previousCount int       // first tries in the previous second
}

// NewBudget returns a budget that allows ratio retries for each first try, and a burst of minBurst. Each pool starts with a full burst,
// because an engine of a pool with little traffic may crash too.
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
		b.evictIdlePool(now)
		p = &poolBudget{secondStart: now, lastFirstTry: now, credit: minBurst}
		b.pools[pool] = p
	}
	p.resetIfIdle(now)
	p.countFirstTry(now)
	p.lastFirstTry = now
	p.credit = min(p.credit+earnedShare*b.ratio, p.maxCredit(b.ratio))
}

// AllowRetry takes one retry from the pool's budget. It returns false if there is none.
func (b *Budget) AllowRetry(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[pool]
	if p == nil {
		return false
	}
	p.resetIfIdle(time.Now())
	// The sum of earned fractions can be slightly below a whole number because of rounding.
	const rounding = 1e-9
	if p.credit < 1-rounding {
		return false
	}
	p.credit = max(0, p.credit-1)
	return true
}

// resetIfIdle treats a pool without first tries for poolIdleTimeout as new.
func (p *poolBudget) resetIfIdle(now time.Time) {
	if now.Sub(p.lastFirstTry) > poolIdleTimeout {
		p.credit = minBurst
	}
}

func (p *poolBudget) countFirstTry(now time.Time) {
	if elapsed := now.Sub(p.secondStart); elapsed >= time.Second {
		p.previousCount = p.currentCount
		if elapsed >= 2*time.Second {
			p.previousCount = 0
		}
		p.currentCount, p.secondStart = 0, now
	}
	p.currentCount++
}

// maxCredit returns the largest number of retries that the pool may accumulate.
func (p *poolBudget) maxCredit(ratio float64) float64 {
	return max(minBurst, ratio*burstSeconds*float64(max(p.previousCount, p.currentCount)))
}

// evictIdlePool deletes the budget of the pool that was idle longest when there are maxPools.
func (b *Budget) evictIdlePool(now time.Time) {
	if len(b.pools) < maxPools {
		return
	}
	oldest, at := "", now
	for name, p := range b.pools {
		if !p.lastFirstTry.After(at) {
			oldest, at = name, p.lastFirstTry
		}
	}
	delete(b.pools, oldest)
}
