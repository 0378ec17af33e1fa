// Package quota limits the cost of a team's requests over all VMs of a deployment without consensus. Each VM keeps a replica of every
// limited team's token bucket and subtracts from it what the other VMs report to have granted.
package quota

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxRetryAfter and minRetryAfter bound the Retry-After times of refusals.
	maxRetryAfter = 10 * time.Second
	minRetryAfter = 50 * time.Millisecond
	// horizon is the time in which the grants of one VM become known to the others: a period of datagrams and their delay, with reserve for a
	// lost one.
	horizon = 400 * time.Millisecond
	// pressureLevel is the fraction of the burst below which grants are shared by demand.
	pressureLevel = 0.5
	// minBurst is the shortest time whose refill a bucket holds. A smaller one would be empty before a request arrives; with it, a window of
	// 8 s still stays within an overshoot of 10%.
	minBurst = 400 * time.Millisecond
	// assumedVMs is the number of VMs of the deployment until SetKnownVMs is called. A VM that just started must not grant the whole burst.
	assumedVMs = 32
)

// Limit is a team's quota over all VMs. Costs are tokens or requests; the package doesn't distinguish them.
type Limit struct {
	// RatePerSecond refills the bucket and Burst is its size. A limit with a RatePerSecond of 0 or less is none.
	RatePerSecond, Burst float64
}

// Outcome is what became of a cost.
type Outcome string

// Outcomes of costs.
const (
	Granted   Outcome = "granted"
	Refused   Outcome = "refused"
	GivenBack Outcome = "given_back"
)

// Observer is notified of decisions. Its methods are called with a lock held and must not call the Limiter.
type Observer interface {
	// Counted records a cost and what became of it.
	Counted(outcome Outcome, cost int64)
	// Limited records that a team's requests began, or ceased, to be refused.
	Limited(team string, limited bool)
}

// Config configures a Limiter. Now is a monotonic clock that keeps running while the VM is suspended; Random returns a number in [0,1).
type Config struct {
	Now     func() time.Duration
	Random  func() float64
	Observe Observer
}

// Limiter decides whether requests are inside their team's quota. Its methods may be called concurrently. Calls for teams without a limit
// take no lock.
type Limiter struct {
	Config
	// teams holds the buckets of the limited teams. The map is replaced as a whole; mu protects the buckets.
	teams atomic.Pointer[map[string]*bucket]

	mu    sync.Mutex
	peers map[string]*peer
	// turn counts the places of reports that teams have taken in turn.
	turn     int
	knownVMs int
	knowsVMs bool
	// joining is set while this VM hears no other one, and joinedUntil bounds the time afterwards in which it adopts the levels of others.
	joining     bool
	joinedUntil time.Duration
	heardVMs    int
	heardAt     time.Duration
}

// New returns a Limiter without limits.
func New(c Config) *Limiter {
	l := &Limiter{Config: c, peers: make(map[string]*peer), knownVMs: assumedVMs, joining: true, heardVMs: 1, heardAt: c.Now()}
	l.teams.Store(&map[string]*bucket{})
	return l
}

// SetLimits replaces the limits of all teams. A lowered limit cuts the level, a raised one adds the difference of the bursts to it.
func (l *Limiter) SetLimits(limits map[string]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	part := l.partLocked(now)
	old := *l.teams.Load()
	teams := make(map[string]*bucket, len(limits))
	for name, limit := range limits {
		if limit.RatePerSecond <= 0 {
			continue
		}
		limit.Burst = max(limit.Burst, limit.RatePerSecond*minBurst.Seconds())
		b := old[name]
		if b == nil {
			b = newBucket(limit, part, now)
		} else {
			b.refill(now, part)
			b.setLimit(limit)
		}
		teams[name] = b
	}
	l.teams.Store(&teams)
}

// SetKnownVMs sets the number of VMs of the deployment, this one and those that are silent included. The first call also sets the levels,
// which assumedVMs kept low until then.
func (l *Limiter) SetKnownVMs(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := !l.knowsVMs
	l.knownVMs, l.knowsVMs = max(n, 1), true
	if !first {
		return
	}
	now := l.Now()
	part := l.partLocked(now)
	for _, b := range *l.teams.Load() {
		b.refill(now, part)
		b.level = max(b.level, b.limit.Burst*part-float64(b.spent))
	}
}

// Take asks for the admission of a request. If it is refused, retryAfter is the time after which the team's bucket has room for it.
func (l *Limiter) Take(team string, cost int64) (retryAfter time.Duration, ok bool) {
	if (*l.teams.Load())[team] == nil {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := (*l.teams.Load())[team]
	if b == nil {
		return 0, true
	}
	now := l.Now()
	b.refill(now, l.partLocked(now))
	b.demand.add(now, cost)
	if b.level <= 0 || l.Random() >= l.chanceLocked(team, b, now) {
		l.Observe.Counted(Refused, cost)
		l.noteLocked(team, b, now, true)
		return b.retryAfter(cost), false
	}
	b.spend(now, cost)
	l.Observe.Counted(Granted, cost)
	l.noteLocked(team, b, now, false)
	return 0, true
}

// chanceLocked returns the probability with which a request is admitted. Under pressure the expected grants of all VMs within the horizon
// stay within the level and what is refilled meanwhile.
func (l *Limiter) chanceLocked(team string, b *bucket, now time.Duration) float64 {
	if b.level >= pressureLevel*b.limit.Burst*b.part {
		return 1
	}
	demand := b.demand.rate(now) + l.peerDemandLocked(team, now)
	available := b.level + b.limit.RatePerSecond*b.part*horizon.Seconds()
	return available / (demand * horizon.Seconds())
}

// Charge takes a cost without an admission check.
func (l *Limiter) Charge(team string, cost int64) {
	l.adjust(team, cost, Granted)
}

// GiveBack returns the cost of a request that ran nowhere.
func (l *Limiter) GiveBack(team string, cost int64) {
	l.adjust(team, -cost, GivenBack)
}

// adjust takes a cost, or returns it if it is negative.
func (l *Limiter) adjust(team string, cost int64, outcome Outcome) {
	if (*l.teams.Load())[team] == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := (*l.teams.Load())[team]
	if b == nil {
		return
	}
	now := l.Now()
	b.refill(now, l.partLocked(now))
	b.spend(now, cost)
	l.Observe.Counted(outcome, max(cost, -cost))
}

// noteLocked notifies the observer when a team becomes limited or no longer is, at most once per second and team.
func (l *Limiter) noteLocked(team string, b *bucket, now time.Duration, refused bool) {
	if refused {
		b.refusedAt = now
	}
	limited := refused || b.limited && now-b.refusedAt < noticeInterval
	if limited == b.limited || now-b.noticedAt < noticeInterval && b.noticed {
		return
	}
	b.limited, b.noticedAt, b.noticed = limited, now, true
	l.Observe.Limited(team, limited)
}
