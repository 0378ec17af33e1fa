package autoscale

import (
	"testing"
	"time"
)

// provider plays the platform's side: it boots what is ordered and drains what is given up.
type provider struct {
	present map[string]DomainCount
	booting map[string][]time.Time // of reclaimable endpoints
	starts  map[string][]time.Time // of on-demand endpoints
	want    map[orderKey]int
	dry     bool
	boot    time.Duration
}

func newProvider(onDemand int, domains ...string) *provider {
	p := &provider{present: make(map[string]DomainCount), booting: make(map[string][]time.Time), starts: make(map[string][]time.Time),
		want: make(map[orderKey]int), boot: 4 * time.Second}
	for _, d := range domains {
		p.present[d] = DomainCount{OnDemand: onDemand}
	}
	return p
}

func (p *provider) order(o DomainOrder, max int, now time.Time, t *testing.T) (unavailable bool) {
	n := p.present[o.Domain]
	other := n.Reclaimable + len(p.booting[o.Domain])
	if o.Reclaimable {
		other = n.OnDemand + len(p.starts[o.Domain])
	}
	if o.Count+other > max {
		t.Errorf("order of %d in %s goes beyond the limit of %d with %d of the other kind", o.Count, o.Domain, max, other)
	}
	if o.Reclaimable {
		if p.dry && o.Count > n.Reclaimable {
			return true
		}
		for n.Reclaimable+len(p.booting[o.Domain]) < o.Count {
			p.booting[o.Domain] = append(p.booting[o.Domain], now.Add(p.boot))
		}
		n.Reclaimable = min(n.Reclaimable, o.Count)
	} else {
		for n.OnDemand+len(p.starts[o.Domain]) < o.Count {
			p.starts[o.Domain] = append(p.starts[o.Domain], now.Add(p.boot))
		}
		n.OnDemand = min(n.OnDemand, o.Count)
	}
	p.present[o.Domain] = n
	return false
}

func (p *provider) step(now time.Time) (total, onDemand int) {
	for d, n := range p.present {
		for len(p.booting[d]) > 0 && !now.Before(p.booting[d][0]) {
			p.booting[d] = p.booting[d][1:]
			n.Reclaimable++
		}
		for len(p.starts[d]) > 0 && !now.Before(p.starts[d][0]) {
			p.starts[d] = p.starts[d][1:]
			n.OnDemand++
		}
		p.present[d] = n
		total += n.OnDemand + n.Reclaimable
		onDemand += n.OnDemand
	}
	return total, onDemand
}

// play runs a planner against a provider for some seconds and returns the least number of endpoints and the last numbers.
func play(t *testing.T, planner *DomainPlanner, p *provider, b DomainBounds, from time.Time, seconds int, demand float64) (least, total, onDemand int) {
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

// Guards against giving up on-demand endpoints before reclaimable ones serve, and against keeping the dear ones for good.
func TestExchangeKeepsCapacity(t *testing.T) {
	p := newProvider(4, "a", "b", "c")
	planner := NewDomainPlanner()
	start := time.Unix(1000, 0)
	play(t, planner, p, bounds, start, 8, 0)
	least, total, onDemand := play(t, planner, p, bounds, start.Add(8*time.Second), 60, 6)
	if least < 12 {
		t.Errorf("%d endpoints served at the worst moment, want the first 12 or more", least)
	}
	if total != 24 || onDemand != 6 {
		t.Errorf("%d endpoints with %d on demand at the end, want 24 and 6", total, onDemand)
	}
}

// Guards against an outage of service when a whole failure domain is reclaimed and no reclaimable endpoint is to be had.
func TestReclaimOfTwoDomainsIsMadeUpOnDemand(t *testing.T) {
	p := newProvider(2, "a", "b", "c")
	planner := NewDomainPlanner()
	start := time.Unix(1000, 0)
	_, total, _ := play(t, planner, p, bounds, start, 60, 6)
	if total != 24 {
		t.Fatalf("%d endpoints before the reclaim", total)
	}
	for _, d := range []string{"a", "b"} {
		p.present[d] = DomainCount{OnDemand: p.present[d].OnDemand}
	}
	p.dry = true
	_, total, onDemand := play(t, planner, p, bounds, start.Add(60*time.Second), 8, 6)
	if total < 20 {
		t.Errorf("%d endpoints with %d on demand 8 s after the reclaim, want 20 or more", total, onDemand)
	}
	p.dry = false
	_, total, onDemand = play(t, planner, p, bounds, start.Add(70*time.Second), 90, 6)
	if total != 24 || onDemand != 6 {
		t.Errorf("%d endpoints with %d on demand in the end, want 24 and 6", total, onDemand)
	}
}

// Guards against orders from a view that is not whole: endpoints show up one by one when everything starts.
func TestNoOrdersWhileEndpointsShowUp(t *testing.T) {
	planner := NewDomainPlanner()
	start := time.Unix(1000, 0)
	for n := 1; n <= 4; n++ {
		now := start.Add(time.Duration(n) * time.Second)
		if orders := planner.Plan(bounds, map[string]DomainCount{"a": {OnDemand: n}, "b": {}}, now); len(orders) > 0 {
			t.Errorf("orders %v after %d s", orders, n)
		}
	}
}

// Guards against services without cheap endpoints being scaled on them.
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

// Guards against repeating an order every second while its endpoints start, and against never repeating one that was lost.
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
		t.Errorf("orders %v while the first ones start", again)
	}
	if again := planner.Plan(bounds, present, now.Add(bounds.ColdStartTime+orderSettle)); len(again) != len(first) {
		t.Errorf("%d orders after a cold start without effect, want %d", len(again), len(first))
	}
}

// Guards against a new holder of the duties that shrinks the fleet because it saw only a moment of low demand, and orders it anew a
// second later: found on the day store-and-restarts.
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

// Guards a deployment of one failure domain, where a reclaim takes all reclaimable endpoints at once: half of the fleet serves on.
// Found on a copy of a site file with one domain.
func TestOneDomainKeepsHalfOnDemand(t *testing.T) {
	b := bounds
	b.Max = 24
	p := newProvider(12, "a")
	planner := NewDomainPlanner()
	start := time.Unix(1000, 0)
	least, total, onDemand := play(t, planner, p, b, start, 60, 6)
	if least < 12 || onDemand < total/2 {
		t.Errorf("%d endpoints with %d on demand, %d at the worst moment", total, onDemand, least)
	}
	p.present["a"] = DomainCount{OnDemand: onDemand}
	if least, _, _ := play(t, planner, p, b, start.Add(60*time.Second), 8, 6); least < total/2 {
		t.Errorf("%d endpoints of %d served after the reclaim", least, total)
	}
}
