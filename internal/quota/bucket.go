package quota

import "time"

const (
	// noticeInterval is the shortest time between two notices about one team.
	noticeInterval = time.Second
	// demandSlot and demandSlots divide the second over which demand is measured.
	demandSlot  = 100 * time.Millisecond
	demandSlots = 10
)

// bucket is this VM's replica of the token bucket of a team.
type bucket struct {
	limit Limit
	// level is the remaining cost as of refilledAt; below 0 it is a debt. part is the fraction of the bucket that belongs to the VMs that
	// this one hears.
	level, part float64
	refilledAt  time.Duration
	demand      demandMeter
	// adopted is the lowest level that others reported since this VM hears them again, less what it has granted meanwhile.
	adopted float64
	// spent is the cost granted since the start, less what was given back. baseline is its value when the team last became active.
	spent, baseline int64
	// activeAt is when a cost was last counted. active is false before.
	activeAt time.Duration
	active   bool
	// limited is set while the team's requests are refused.
	limited, noticed     bool
	noticedAt, refusedAt time.Duration
}

func newBucket(limit Limit, part float64, now time.Duration) *bucket {
	return &bucket{limit: limit, level: limit.Burst * part, part: part, refilledAt: now}
}

// refill adds what has accrued since the last refill and adjusts the level to a new part. When the part shrinks, the level shrinks with it,
// because the VMs on the other side keep their part. When it grows, the level only grows by refilling.
func (b *bucket) refill(now time.Duration, part float64) {
	elapsed := max(now-b.refilledAt, 0).Seconds()
	b.refilledAt = now
	if part < b.part && b.level > 0 {
		b.level *= part / b.part
	}
	rate := b.limit.RatePerSecond * min(part, b.part)
	b.part = part
	b.level = min(b.level+rate*elapsed, max(b.limit.Burst*part, 0))
}

// setLimit replaces the limit of a bucket that was refilled just now.
func (b *bucket) setLimit(limit Limit) {
	b.level = min(b.level+max(limit.Burst-b.limit.Burst, 0)*b.part, limit.Burst*b.part)
	b.limit = limit
}

// spend takes a cost, or returns it if it is negative.
func (b *bucket) spend(now time.Duration, cost int64) {
	b.touch(now)
	b.spent += cost
	b.adopted -= float64(cost)
	b.level = min(b.level-float64(cost), b.limit.Burst*b.part)
}

// adopt sets the level to the lowest one that other VMs reported. The VMs heard so far bound it, so that it rises as more are heard.
func (b *bucket) adopt(level float64) {
	b.adopted = min(b.adopted, level)
	b.level = min(b.adopted, b.limit.Burst*b.part)
}

// touch marks the team as active.
func (b *bucket) touch(now time.Duration) {
	if !b.isActive(now) {
		b.baseline = b.spent
	}
	b.activeAt, b.active = now, true
}

func (b *bucket) isActive(now time.Duration) bool { return b.active && now-b.activeAt < reportedFor }

// retryAfter returns the time after which the bucket has room for a cost.
func (b *bucket) retryAfter(cost int64) time.Duration {
	need := min(float64(cost), b.limit.Burst*b.part) - b.level
	wait := need / (b.limit.RatePerSecond * b.part)
	if wait >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(time.Duration(wait*float64(time.Second)), minRetryAfter)
}

// demandMeter sums the cost asked for in the last second.
type demandMeter struct {
	slots  [demandSlots]int64
	newest int64
}

func (m *demandMeter) advance(now time.Duration) {
	slot := int64(now / demandSlot)
	for i := max(m.newest+1, slot-demandSlots+1); i <= slot; i++ {
		m.slots[i%demandSlots] = 0
	}
	m.newest = max(m.newest, slot)
}

func (m *demandMeter) add(now time.Duration, cost int64) {
	m.advance(now)
	m.slots[m.newest%demandSlots] += cost
}

// rate returns the demand in cost per second.
func (m *demandMeter) rate(now time.Duration) float64 {
	m.advance(now)
	var sum int64
	for _, n := range m.slots {
		sum += n
	}
	return float64(sum)
}
