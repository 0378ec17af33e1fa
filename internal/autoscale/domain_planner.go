package autoscale

import (
	"math"
	"sort"
	"time"
)

const (
	// targetLoad is the part of the engines' reading rate that the average demand may take. Demand doubles for some seconds,
	// which is shorter than a cold start.
	targetLoad = 0.35
	// demandMemory is the time in which a past peak of demand is half forgotten.
	demandMemory = 2 * time.Minute
	// onDemandShare is the part of the endpoints in each failure domain that can't be reclaimed, at least one. A cold start takes
	// longer than the notice of a reclaim, and several domains may be reclaimed at once.
	onDemandShare = 0.13
	// leastLeft is the part of the wanted endpoints that is left when all reclaimable ones of a failure domain are reclaimed. With
	// one domain this is what serves until others have started.
	leastLeft = 0.5
	// orderSettle is how long after an order and a cold start the fleet may still differ from it.
	orderSettle = 3 * time.Second
	// unavailableRetry is the pause after an order that the provider had no endpoint for.
	unavailableRetry = 1500 * time.Millisecond
	// exchangeStep is the part of the on-demand endpoints of a failure domain that is given up at once to make room.
	exchangeStep = 0.34
	// exchangeFloor is the part of the wanted endpoints that serve while on-demand ones are exchanged.
	exchangeFloor = 0.84
	// unknownDemand is how many times the endpoints found at first are kept ready before any demand was seen.
	unknownDemand = 2
	// settleTime is how long no further endpoint shows up once all have that were there at the start.
	settleTime = 1500 * time.Millisecond
	// shortage is the part of the needed endpoints below which on-demand endpoints replace reclaimable ones that are not to be had.
	shortage = 0.68
)

// DomainCount is the number of endpoints of a service in a failure domain, without leaving ones.
type DomainCount struct {
	OnDemand, Reclaimable int
}

// DomainBounds are the limits of a service.
type DomainBounds struct {
	// Min and Max bound both kinds together in each failure domain.
	Min, Max int
	// ColdStartTime is the time of a cold start.
	ColdStartTime time.Duration
	// Reclaimable tells whether cheap endpoints are offered.
	Reclaimable bool
}

// DomainOrder asks for a number of endpoints of one kind in a failure domain.
type DomainOrder struct {
	Domain      string
	Reclaimable bool
	Count       int
}

// orderKey names what one order is about.
type orderKey struct {
	domain      string
	reclaimable bool
}

type sentOrder struct {
	count       int
	at          time.Time
	unavailable bool
}

// DomainPlanner keeps the number of engines of one service where a lost failure domain leaves enough, mostly on reclaimable
// endpoints. It answers demand that doubles within seconds, when a cold start comes too late: the load that it aims at leaves
// room for the swing. It is not safe for concurrent use.
type DomainPlanner struct {
	sent   map[orderKey]sentOrder
	needed float64
	seen   time.Time
	// initial is the largest number of endpoints seen before any demand, and grewAt when it last grew.
	initial int
	grewAt  time.Time
	ready   bool
}

// NewDomainPlanner returns a planner that knows of no order.
func NewDomainPlanner() *DomainPlanner { return &DomainPlanner{sent: make(map[orderKey]sentOrder)} }

// RecordDemand records the demand, as a multiple of what one endpoint serves at full load. Peaks are remembered for a while.
func (p *DomainPlanner) RecordDemand(demand float64, now time.Time) {
	if p.needed == 0 && demand > 0 {
		p.needed = float64(p.initial * unknownDemand) // the first measurement covers only a part of its time
	}
	if !p.seen.IsZero() {
		p.needed *= math.Exp2(-float64(now.Sub(p.seen)) / float64(demandMemory))
	}
	p.seen = now
	p.needed = max(p.needed, demand/targetLoad)
}

// Plan returns the orders to send now. present is keyed by failure domain.
func (p *DomainPlanner) Plan(b DomainBounds, present map[string]DomainCount, now time.Time) []DomainOrder {
	domains := make([]string, 0, len(present))
	total, expected := 0, 0
	for d, n := range present {
		domains = append(domains, d)
		total += n.OnDemand + n.Reclaimable
		expected += max(n.OnDemand, p.coming(b, orderKey{d, false}, now)) + max(n.Reclaimable, p.coming(b, orderKey{d, true}, now))
	}
	sort.Strings(domains)
	if !p.ready && p.needed > 0 {
		// What an earlier holder of the duties ordered was needed lately.
		p.needed = max(p.needed, float64(total)*float64(max(len(domains)-1, 1))/float64(max(len(domains), 1)))
	}
	p.ready = p.needed > 0 || p.settled(total, now)
	if !p.ready {
		return nil
	}
	share := p.share(b, len(domains))
	wanted := float64(share * len(domains))
	need := needs{share: share, kept: onDemandKept(share, len(domains)), short: float64(expected) < shortage*wanted, spare: total - int(math.Ceil(exchangeFloor*wanted))}
	var orders []DomainOrder
	for _, d := range domains {
		n := present[d]
		n.OnDemand = max(n.OnDemand, p.coming(b, orderKey{d, false}, now))
		onDemand, reclaimable := need.targets(b, n, p.sent[orderKey{d, true}].unavailable)
		orders = p.order(orders, b, orderKey{d, true}, reclaimable, present[d].Reclaimable, now)
		orders = p.order(orders, b, orderKey{d, false}, onDemand, present[d].OnDemand, now)
	}
	return orders
}

// coming is the number of endpoints that an accepted order will have brought once their cold start is over.
func (p *DomainPlanner) coming(b DomainBounds, key orderKey, now time.Time) int {
	if o, ok := p.sent[key]; ok && !o.unavailable && now.Sub(o.at) < b.ColdStartTime+orderSettle {
		return o.count
	}
	return 0
}

// Ready tells whether the planner knows what is there, so that other plans may build on it.
func (p *DomainPlanner) Ready() bool { return p.ready }

// settled tells whether the endpoints that are there before any demand have all shown up. They do so one by one when the whole
// deployment starts.
func (p *DomainPlanner) settled(total int, now time.Time) bool {
	if total > p.initial {
		p.initial, p.grewAt = total, now
	}
	return p.initial > 0 && now.Sub(p.grewAt) >= settleTime
}

// share is the number of endpoints wanted in each failure domain: with one domain lost, the others carry the demand. Before any
// demand was seen, it is a multiple of what was there at first.
func (p *DomainPlanner) share(b DomainBounds, domains int) int {
	if domains == 0 {
		return 0
	}
	needed := p.needed
	if needed == 0 {
		needed = float64(p.initial * unknownDemand)
	}
	share := int(math.Ceil(needed / float64(max(domains-1, 1))))
	return min(max(share, b.Min, 1), max(b.Max, 1))
}

// needs is what the whole fleet needs at one moment.
type needs struct {
	// share is the number of endpoints wanted in each failure domain.
	share int
	// kept is the number of on-demand endpoints in each failure domain.
	kept int
	// short is set when too few endpoints serve or start.
	short bool
	// spare is the number of endpoints that can be given up for a while.
	spare int
}

// onDemandKept is the number of endpoints in each failure domain that can't be reclaimed.
func onDemandKept(share, domains int) int {
	part := max(onDemandShare, 1-float64(domains)*(1-leastLeft))
	return int(math.Ceil(part * float64(share)))
}

// targets returns the numbers wanted in one failure domain. On-demand endpoints are given up only when reclaimable ones serve
// in their place, a few at a time, and are taken again only when the whole fleet is short and reclaimable ones are unavailable.
func (n *needs) targets(b DomainBounds, present DomainCount, unavailable bool) (onDemand, reclaimable int) {
	if !b.Reclaimable {
		return n.share, 0
	}
	reclaimable = min(n.share-n.kept, max(b.Max-present.OnDemand, 0))
	onDemand = max(n.kept, min(present.OnDemand, n.share-present.Reclaimable))
	if give := present.OnDemand - onDemand; give > 0 {
		onDemand = present.OnDemand - n.take(give)
	} else if onDemand > n.kept && present.Reclaimable >= reclaimable && reclaimable < n.share-n.kept {
		// The limit on both kinds leaves no room for another reclaimable endpoint until on-demand ones go.
		onDemand -= n.take(min(onDemand-n.kept, int(math.Ceil(exchangeStep*float64(onDemand)))))
	}
	if n.short && unavailable {
		onDemand = max(onDemand, n.share-present.Reclaimable)
	}
	return onDemand, reclaimable
}

// take uses up some of the endpoints that can be given up.
func (n *needs) take(wanted int) int {
	taken := max(min(wanted, n.spare), 0)
	n.spare -= taken
	return taken
}

// order adds an order if it differs from the last one, or if the fleet still differs from that one after a cold start.
func (p *DomainPlanner) order(orders []DomainOrder, b DomainBounds, key orderKey, want, have int, now time.Time) []DomainOrder {
	if !b.Reclaimable && key.reclaimable {
		return orders
	}
	last, known := p.sent[key]
	age := now.Sub(last.at)
	switch {
	case !known && want == have:
		return orders
	case known && last.unavailable && age < unavailableRetry:
		return orders
	case known && !last.unavailable && last.count == want && (want == have || age < b.ColdStartTime+orderSettle):
		return orders
	}
	return append(orders, DomainOrder{Domain: key.domain, Reclaimable: key.reclaimable, Count: want})
}

// RecordOrder records that an order was accepted, or that the provider had no endpoint for it.
func (p *DomainPlanner) RecordOrder(o DomainOrder, unavailable bool, now time.Time) {
	p.sent[orderKey{o.Domain, o.Reclaimable}] = sentOrder{count: o.Count, at: now, unavailable: unavailable}
}
