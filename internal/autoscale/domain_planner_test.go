package autoscale

import (
	"testing"
	"time"
)

// fakeProvider simulates the provider: ordered endpoints serve after a cold start, released ones are removed at once.
type fakeProvider struct {
	present                map[string]DomainCount
	reclaimableStarts      map[string][]time.Time // when each reclaimable endpoint starts to serve, by failure domain
	onDemandStarts         map[string][]time.Time // when each on-demand endpoint starts to serve, by failure domain
	want                   map[orderKey]int
	reclaimableUnavailable bool
	coldStartTime          time.Duration
}

func newFakeProvider(onDemand int, domains ...string) *fakeProvider {
	p := &fakeProvider{present: make(map[string]DomainCount), reclaimableStarts: make(map[string][]time.Time), onDemandStarts: make(map[string][]time.Time),
		want: make(map[orderKey]int), coldStartTime: 4 * time.Second}
	for _, d := range domains {
		p.present[d] = DomainCount{OnDemand: onDemand}
	}
	return p
}

func (p *fakeProvider) order(o DomainOrder, maxTotal int, now time.Time, t *testing.T) (unavailable bool) {
	n := p.present[o.Domain]
	other := n.Reclaimable + len(p.reclaimableStarts[o.Domain])
	if o.Reclaimable {
		other = n.OnDemand + len(p.onDemandStarts[o.Domain])
	}
	if o.Count+other > maxTotal {
		t.Errorf("order of %d endpoints in %s exceeds the limit of %d with %d of the other kind", o.Count, o.Domain, maxTotal, other)
	}
	if o.Reclaimable {
		if p.reclaimableUnavailable && o.Count > n.Reclaimable {
			return true
		}
		for n.Reclaimable+len(p.reclaimableStarts[o.Domain]) < o.Count {
			p.reclaimableStarts[o.Domain] = append(p.reclaimableStarts[o.Domain], now.Add(p.coldStartTime))
		}
		n.Reclaimable = min(n.Reclaimable, o.Count)
	} else {
		for n.OnDemand+len(p.onDemandStarts[o.Domain]) < o.Count {
			p.onDemandStarts[o.Domain] = append(p.onDemandStarts[o.Domain], now.Add(p.coldStartTime))
		}
		n.OnDemand = min(n.OnDemand, o.Count)
	}
	p.present[o.Domain] = n
	return false
}

func (p *fakeProvider) step(now time.Time) (total, onDemand int) {
	for d, n := range p.present {
		for len(p.reclaimableStarts[d]) > 0 && !now.Before(p.reclaimableStarts[d][0]) {
			p.reclaimableStarts[d] = p.reclaimableStarts[d][1:]
			n.Reclaimable++
		}
		for len(p.onDemandStarts[d]) > 0 && !now.Before(p.onDemandStarts[d][0]) {
			p.onDemandStarts[d] = p.onDemandStarts[d][1:]
			n.OnDemand++
		}
		p.present[d] = n
		total += n.OnDemand + n.Reclaimable
		onDemand += n.OnDemand
	}
	return total, onDemand
}

// simulate runs a planner against a fakeProvider, one step per second. It returns the lowest number of endpoints, and the total and
// on-demand numbers after the last step.
func simulate(t *testing.T, planner *DomainPlanner, p *fakeProvider, b DomainBounds, from time.Time, seconds int, demand float64) (least, total, onDemand int) {
	t.Helper()
	least = 1 << 30
	for s := range seconds {
		now := from.Add(time.Duration(s) * time.Second)
		total, onDemand = p.step(now)
		least = min(least, total)
		planner.RecordDemand(demand, now)
		for _, o := range planner.Plan(b, p.present, now) {
			planner.RecordOrder(o, p.order(o, b.Max, now, t), now)
		}
	}
	return least, total, onDemand
}

var bounds = DomainBounds{Min: 1, Max: 8, ColdStartTime: 4 * time.Second, Reclaimable: true}

// Guards against releasing on-demand endpoints before reclaimable ones serve, and against never releasing the more expensive
// on-demand ones.
func TestReplacementKeepsCapacity(t *testing.T) {
	p := newFakeProvider(4, "a", "b", "c")
	planner := NewDomainPlanner()
	start := time.Unix(1000, 0)
	simulate(t, planner, p, bounds, start, 8, 0)
	least, total, onDemand := simulate(t, planner, p, bounds, start.Add(8*time.Second), 60, 6)
	if least < 12 {
		t.Errorf("%d endpoints served at the minimum, want the initial 12 or more", least)
	}
	if total != 24 || onDemand != 6 {
		t.Errorf("%d endpoints with %d on demand at the end, want 24 and 6", total, onDemand)
	}
}

// Guards against an outage when all reclaimable endpoints of two failure domains are reclaimed and the provider has no others.
func TestReclaimOfTwoDomainsIsReplacedOnDemand(t *testing.T) {
	p := newFakeProvider(2, "a", "b", "c")
	planner := NewDomainPlanner()
	start := time.Unix(1000, 0)
	_, total, _ := simulate(t, planner, p, bounds, start, 60, 6)
	if total != 24 {
		t.Fatalf("%d endpoints before the reclaim", total)
	}
	for _, d := range []string{"a", "b"} {
		p.present[d] = DomainCount{OnDemand: p.present[d].OnDemand}
	}
	p.reclaimableUnavailable = true
	_, total, onDemand := simulate(t, planner, p, bounds, start.Add(60*time.Second), 8, 6)
	if total < 20 {
		t.Errorf("%d endpoints with %d on demand 8 s after the reclaim, want 20 or more", total, onDemand)
	}
	p.reclaimableUnavailable = false
	_, total, onDemand = simulate(t, planner, p, bounds, start.Add(70*time.Second), 90, 6)
	if total != 24 || onDemand != 6 {
		t.Errorf("%d endpoints with %d on demand after recovery, want 24 and 6", total, onDemand)
	}
}

// Guards against orders from an incomplete view: endpoints are discovered one by one when the whole deployment starts.
func TestNoOrdersDuringInitialDiscovery(t *testing.T) {
	planner := NewDomainPlanner()
	start := time.Unix(1000, 0)
	for n := 1; n <= 4; n++ {
		now := start.Add(time.Duration(n) * time.Second)
		if orders := planner.Plan(bounds, map[string]DomainCount{"a": {OnDemand: n}, "b": {}}, now); len(orders) > 0 {
			t.Errorf("orders %v after %d s", orders, n)
		}
	}
}

// Guards against orders of reclaimable endpoints for a service that has none.
func TestServiceWithoutReclaimableEndpoints(t *testing.T) {
	planner := NewDomainPlanner()
	b := bounds
	b.Reclaimable = false
	now := time.Unix(1000, 0)
	planner.RecordDemand(2, now)
	for _, o := range planner.Plan(b, map[string]DomainCount{"a": {OnDemand: 1}, "b": {OnDemand: 1}, "c": {OnDemand: 1}}, now) {
		if o.Reclaimable || o.Count != 3 {
			t.Errorf("order %+v, want 3 on demand", o)
		}
	}
}

// Guards against repeating an order every second while its endpoints start, and against never repeating an order that had no effect.
func TestOrdersAreRepeatedAfterAColdStart(t *testing.T) {
	planner := NewDomainPlanner()
	now := time.Unix(1000, 0)
	present := map[string]DomainCount{"a": {OnDemand: 1}, "b": {OnDemand: 1}, "c": {OnDemand: 1}}
	planner.RecordDemand(2, now)
	first := planner.Plan(bounds, present, now)
	for _, o := range first {
		planner.RecordOrder(o, false, now)
	}
	if again := planner.Plan(bounds, present, now.Add(time.Second)); len(again) > 0 {
		t.Errorf("orders %v while the endpoints of the first ones start", again)
	}
	if again := planner.Plan(bounds, present, now.Add(bounds.ColdStartTime+orderSettleTime)); len(again) != len(first) {
		t.Errorf("%d orders after a cold start without effect, want %d", len(again), len(first))
	}
}

// Guards against a new holder of the duties that shrinks the fleet after one sample of low demand and orders the endpoints again a
// second later, as happened in the scenario store-and-restarts.
func TestNewPlannerKeepsTheFleet(t *testing.T) {
	planner := NewDomainPlanner()
	now := time.Unix(1000, 0)
	present := map[string]DomainCount{"a": {OnDemand: 2, Reclaimable: 6}, "b": {OnDemand: 2, Reclaimable: 6}, "c": {OnDemand: 2, Reclaimable: 6}}
	planner.RecordDemand(1, now)
	for _, o := range planner.Plan(bounds, present, now) {
		if o.Reclaimable && o.Count < 6 {
			t.Errorf("order %+v", o)
		}
	}
}

// Guards against the loss of more than half of the fleet in a deployment of one failure domain, where a reclaim takes all
// reclaimable endpoints at once.
func TestOneDomainKeepsHalfOnDemand(t *testing.T) {
	b := bounds
	b.Max = 24
	p := newFakeProvider(12, "a")
	planner := NewDomainPlanner()
	start := time.Unix(1000, 0)
	least, total, onDemand := simulate(t, planner, p, b, start, 60, 6)
	if least < 12 || onDemand < total/2 {
		t.Errorf("%d endpoints with %d on demand, %d at the minimum", total, onDemand, least)
	}
	p.present["a"] = DomainCount{OnDemand: onDemand}
	if least, _, _ := simulate(t, planner, p, b, start.Add(60*time.Second), 8, 6); least < total/2 {
		t.Errorf("%d endpoints of %d served after the reclaim", least, total)
	}
}
