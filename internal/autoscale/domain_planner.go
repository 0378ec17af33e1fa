package autoscale

import (
	"math"
	"sort"
	"time"
)

const (
	// targetUtilization is the share of the endpoints' capacity that average demand may use. The rest absorbs peaks that double the
	// demand for some seconds, which is shorter than a cold start.
	targetUtilization = 0.35
	// demandHalfLife is the time in which the weight of a past demand peak halves.
	demandHalfLife = 2 * time.Minute
	// onDemandShare is the minimum share of on-demand endpoints in each failure domain, rounded up to at least one. On-demand
	// endpoints are never reclaimed: a cold start takes longer than the notice of a reclaim, and several domains may be reclaimed
	// at once.
	onDemandShare = 0.13
	// minShareAfterReclaim is the share of the wanted endpoints that must remain when all reclaimable ones of a failure domain are
	// reclaimed. In a deployment of one domain, these serve alone until replacements have started.
	minShareAfterReclaim = 0.5
	// orderSettleTime is added to the cold start time. Until both have passed since an order, the fleet may still differ from it.
	orderSettleTime = 3 * time.Second
	// unavailableRetryInterval is the wait before an order that the provider had no endpoint for is sent again.
	unavailableRetryInterval = 1500 * time.Millisecond
	// replacementStepShare is the maximum share of a failure domain's on-demand endpoints that one order releases to make room for
	// reclaimable ones.
	replacementStepShare = 0.34
	// replacementMinShare is the share of the wanted endpoints that must stay present while reclaimable endpoints replace on-demand ones.
	replacementMinShare = 0.84
	// initialDemandFactor times the number of endpoints found initially are planned for until demand is recorded.
	initialDemandFactor = 2
	// discoverySettleTime is the time without a newly discovered endpoint after which the initial discovery is complete.
	discoverySettleTime = 1500 * time.Millisecond
	// shortageShare is the share of the wanted endpoints below which on-demand endpoints replace unavailable reclaimable ones.
	shortageShare = 0.68
)

// DomainCount is the number of endpoints of a service in a failure domain, excluding those that are leaving.
type DomainCount struct {
	OnDemand, Reclaimable int
}

// DomainBounds are the limits of a service.
type DomainBounds struct {
	// Min and Max bound the number of endpoints of both kinds together in each failure domain.
	Min, Max int
	// ColdStartTime is how long a new endpoint takes to start.
	ColdStartTime time.Duration
	// Reclaimable is true if the provider offers cheaper, reclaimable endpoints.
	Reclaimable bool
}

// DomainOrder sets the desired number of endpoints of one kind in a failure domain.
type DomainOrder struct {
	Domain      string
	Reclaimable bool
	Count       int
}

// orderKey identifies the failure domain and the kind of endpoints of an order.
type orderKey struct {
	domain      string
	reclaimable bool
}

// orderRecord is the last recorded order for an orderKey. unavailable is set if the provider had no endpoint for it.
type orderRecord struct {
	count       int
	recordedAt  time.Time
	unavailable bool
}

// DomainPlanner plans the number of endpoints of one service in each failure domain, so that the service still has enough after
// losing one domain. Most endpoints are reclaimable. Demand can double within seconds, faster than a cold start, so the target
// utilization leaves headroom for such peaks. It is not safe for concurrent use.
type DomainPlanner struct {
	lastOrders map[orderKey]orderRecord
	// neededEndpoints is the number of endpoints that the decaying peak of demand needs at targetUtilization; 0 before any demand.
	neededEndpoints float64
	lastDemandAt    time.Time
	// initialEndpoints is the largest number of endpoints seen before any demand, and initialGrewAt the time when it last grew.
	initialEndpoints int
	initialGrewAt    time.Time
	// ready is set once demand has been recorded or the initial discovery is complete.
	ready bool
}

// NewDomainPlanner returns a planner without recorded orders or demand.
func NewDomainPlanner() *DomainPlanner {
	return &DomainPlanner{lastOrders: make(map[orderKey]orderRecord)}
}

// RecordDemand records the current demand, as a multiple of what one endpoint serves at full load. The planner uses the recorded
// peak, which decays with a half-life of demandHalfLife.
func (p *DomainPlanner) RecordDemand(demand float64, now time.Time) {
	if p.neededEndpoints == 0 && demand > 0 {
		p.neededEndpoints = float64(p.initialEndpoints * initialDemandFactor) // the first measurement covers only part of its window
	}
	if !p.lastDemandAt.IsZero() {
		p.neededEndpoints *= math.Exp2(-float64(now.Sub(p.lastDemandAt)) / float64(demandHalfLife))
	}
	p.lastDemandAt = now
	p.neededEndpoints = max(p.neededEndpoints, demand/targetUtilization)
}

// Plan returns the orders to send now. present is keyed by failure domain. The caller passes each order that the provider accepted,
// or had no endpoint for, to RecordOrder.
func (p *DomainPlanner) Plan(b DomainBounds, present map[string]DomainCount, now time.Time) []DomainOrder {
	domains := make([]string, 0, len(present))
	total, expected := 0, 0
	for d, n := range present {
		domains = append(domains, d)
		total += n.OnDemand + n.Reclaimable
		expected += max(n.OnDemand, p.expectedCount(b, orderKey{d, false}, now)) + max(n.Reclaimable, p.expectedCount(b, orderKey{d, true}, now))
	}
	sort.Strings(domains)
	if !p.ready && p.neededEndpoints > 0 {
		// The endpoints present were ordered by an earlier holder of the duties, so recent demand needed them.
		p.neededEndpoints = max(p.neededEndpoints, float64(total)*float64(max(len(domains)-1, 1))/float64(max(len(domains), 1)))
	}
	p.ready = p.neededEndpoints > 0 || p.discoverySettled(total, now)
	if !p.ready {
		return nil
	}
	targetPerDomain := p.endpointsPerDomain(b, len(domains))
	wanted := float64(targetPerDomain * len(domains))
	need := fleetNeeds{perDomain: targetPerDomain, minOnDemand: minOnDemandPerDomain(targetPerDomain, len(domains)),
		inShortage: float64(expected) < shortageShare*wanted, releasable: total - int(math.Ceil(replacementMinShare*wanted))}
	var orders []DomainOrder
	for _, d := range domains {
		n := present[d]
		n.OnDemand = max(n.OnDemand, p.expectedCount(b, orderKey{d, false}, now))
		onDemand, reclaimable := need.targets(b, n, p.lastOrders[orderKey{d, true}].unavailable)
		orders = p.appendOrder(orders, b, orderKey{d, true}, reclaimable, present[d].Reclaimable, now)
		orders = p.appendOrder(orders, b, orderKey{d, false}, onDemand, present[d].OnDemand, now)
	}
	return orders
}

// expectedCount returns the number of endpoints that the last order for key is expected to result in, or 0 if the provider had
// none or the time for a cold start is over.
func (p *DomainPlanner) expectedCount(b DomainBounds, key orderKey, now time.Time) int {
	if o, ok := p.lastOrders[key]; ok && !o.unavailable && now.Sub(o.recordedAt) < b.ColdStartTime+orderSettleTime {
		return o.count
	}
	return 0
}

// Ready reports whether the planner has a complete view of the endpoints, so that other planners may act on them.
func (p *DomainPlanner) Ready() bool { return p.ready }

// discoverySettled reports whether all endpoints that existed before any demand have been discovered. They appear one by one when
// the whole deployment starts.
func (p *DomainPlanner) discoverySettled(total int, now time.Time) bool {
	if total > p.initialEndpoints {
		p.initialEndpoints, p.initialGrewAt = total, now
	}
	return p.initialEndpoints > 0 && now.Sub(p.initialGrewAt) >= discoverySettleTime
}

// endpointsPerDomain returns the number of endpoints wanted in each failure domain, so that the others can serve the demand when one
// domain is lost. Before any demand is recorded it plans for a multiple of the endpoints found initially.
func (p *DomainPlanner) endpointsPerDomain(b DomainBounds, domains int) int {
	if domains == 0 {
		return 0
	}
	needed := p.neededEndpoints
	if needed == 0 {
		needed = float64(p.initialEndpoints * initialDemandFactor)
	}
	perDomain := int(math.Ceil(needed / float64(max(domains-1, 1))))
	return min(max(perDomain, b.Min, 1), max(b.Max, 1))
}

// fleetNeeds holds the targets of one Plan call for the whole fleet.
type fleetNeeds struct {
	// perDomain is the number of endpoints wanted in each failure domain.
	perDomain int
	// minOnDemand is the minimum number of on-demand endpoints in each failure domain.
	minOnDemand int
	// inShortage is set when the endpoints that serve or start are fewer than shortageShare of the wanted ones.
	inShortage bool
	// releasable is the number of endpoints that can still be released before replacements serve.
	releasable int
}

// minOnDemandPerDomain returns the minimum number of on-demand endpoints in each failure domain.
func minOnDemandPerDomain(perDomain, domains int) int {
	minShare := max(onDemandShare, 1-float64(domains)*(1-minShareAfterReclaim))
	return int(math.Ceil(minShare * float64(perDomain)))
}

// targets returns the number of endpoints of each kind wanted in one failure domain. It releases on-demand endpoints a few at a time
// and only as reclaimable ones replace them, and orders them again only when the whole fleet has a shortage and reclaimable ones
// are unavailable.
func (n *fleetNeeds) targets(b DomainBounds, present DomainCount, unavailable bool) (onDemand, reclaimable int) {
	if !b.Reclaimable {
		return n.perDomain, 0
	}
	reclaimable = min(n.perDomain-n.minOnDemand, max(b.Max-present.OnDemand, 0))
	onDemand = max(n.minOnDemand, min(present.OnDemand, n.perDomain-present.Reclaimable))
	if excess := present.OnDemand - onDemand; excess > 0 {
		onDemand = present.OnDemand - n.release(excess)
	} else if onDemand > n.minOnDemand && present.Reclaimable >= reclaimable && reclaimable < n.perDomain-n.minOnDemand {
		// The limit on both kinds together prevents further reclaimable endpoints until on-demand ones are released.
		onDemand -= n.release(min(onDemand-n.minOnDemand, int(math.Ceil(replacementStepShare*float64(onDemand)))))
	}
	if n.inShortage && unavailable {
		onDemand = max(onDemand, n.perDomain-present.Reclaimable)
	}
	return onDemand, reclaimable
}

// release takes up to count endpoints from the releasable ones and returns how many it took.
func (n *fleetNeeds) release(count int) int {
	released := max(min(count, n.releasable), 0)
	n.releasable -= released
	return released
}

// appendOrder appends an order for want endpoints if it differs from the last one, if the last one found no endpoint available, or
// if the fleet still differs from the last one after a cold start.
func (p *DomainPlanner) appendOrder(orders []DomainOrder, b DomainBounds, key orderKey, want, have int, now time.Time) []DomainOrder {
	if !b.Reclaimable && key.reclaimable {
		return orders
	}
	last, known := p.lastOrders[key]
	age := now.Sub(last.recordedAt)
	switch {
	case !known && want == have:
		return orders
	case known && last.unavailable && age < unavailableRetryInterval:
		return orders
	case known && !last.unavailable && last.count == want && (want == have || age < b.ColdStartTime+orderSettleTime):
		return orders
	}
	return append(orders, DomainOrder{Domain: key.domain, Reclaimable: key.reclaimable, Count: want})
}

// RecordOrder records an order that the provider accepted or, if unavailable is set, had no endpoint for.
func (p *DomainPlanner) RecordOrder(o DomainOrder, unavailable bool, now time.Time) {
	p.lastOrders[orderKey{o.Domain, o.Reclaimable}] = orderRecord{count: o.Count, recordedAt: now, unavailable: unavailable}
}
