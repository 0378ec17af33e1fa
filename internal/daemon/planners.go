package daemon

import (
	"slices"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/autoscale"
	"crocusglade.example/crocusglade/internal/cleaning"
	"crocusglade.example/crocusglade/internal/duty"
	"crocusglade.example/crocusglade/internal/roles"
)

const (
	// roleChangeTime is how long a role change takes an engine out of service: the settling time of its drain and the change itself.
	roleChangeTime = 10 * time.Second
	// demandWarmUp is how long demand is polled before planners act on it, since a new lease holder starts without demand data.
	demandWarmUp = time.Minute
	// usableRateFraction is the fraction of an endpoint's nominal rate that it can serve within the first-token target.
	usableRateFraction = 0.85
)

// newPlanners returns the planners of a lease term in order of precedence, and a function to call at the end of the term. Replacing lost
// capacity comes before role changes of engines; cleaning comes last because it can be delayed.
func (c *controllerNode) newPlanners() (planners []duty.Planner, release func()) {
	planners = []duty.Planner{
		&fleetPlanner{c.demand, autoscale.NewPlanner()},
		&rolePlanner{c.demand, roles.NewPlanner()},
		&cleaningPlanner{c.demand},
	}
	return planners, c.demand.subscribe()
}

// outOfService reports whether an endpoint currently serves no requests.
func outOfService(e duty.EndpointView) bool {
	return e.DrainReason != "" || e.OperatorDrained || e.Abandoned || e.State != apitypes.EndpointReady || e.ReclaimAt != 0 ||
		e.Load.Changing || e.Load.Draining || e.ReportedAt.IsZero()
}

// rolePlanner adapts roles.Planner to the interface duty.Planner.
type rolePlanner struct {
	demand  *demandAggregator
	planner *roles.Planner
}

// Plan implements duty.Planner.
func (p *rolePlanner) Plan(v duty.PoolView) (duty.Proposal, bool) {
	d := p.demand.rates(v.Pool.Name)
	if v.Pool.Kind != apitypes.PoolEngine || d.firstSampleAt.IsZero() || v.Now.Sub(d.firstSampleAt) < demandWarmUp {
		return duty.Proposal{}, false
	}
	pool := roles.Pool{Name: v.Pool.Name, Capacities: averageCapacities(v.Endpoints), ChangeTime: roleChangeTime, PlannedLoss: v.EndpointUnderAction != "",
		Demand: roles.Demand{PrefillShort: d.short.prefill, PrefillLong: d.long.prefill, DecodeShort: d.short.decode, DecodeLong: d.long.decode}}
	for _, e := range v.Endpoints {
		pool.Endpoints = append(pool.Endpoints, roles.Endpoint{Name: e.Name, FailureDomain: e.FailureDomain, Role: e.Load.Role,
			Running: e.Load.Running, OutOfService: outOfService(e)})
	}
	proposal := p.planner.Plan(pool)
	if proposal == nil {
		return duty.Proposal{}, false
	}
	return duty.Proposal{Kind: apitypes.OrderSetRole, Endpoint: proposal.Endpoint, Value: string(proposal.Role), Reason: proposal.Reason}, true
}

// averageCapacities returns the average reported rates of the engines in each role. A role without engines has no entry and is not
// proposed.
func averageCapacities(endpoints []duty.EndpointView) map[apitypes.Role]roles.Capacity {
	sums, counts := make(map[apitypes.Role]roles.Capacity), make(map[apitypes.Role]float64)
	for _, e := range endpoints {
		if e.Load.Role == "" || e.Load.PrefillRate <= 0 && e.Load.DecodeRate <= 0 {
			continue
		}
		s := sums[e.Load.Role]
		s.Prefill += e.Load.PrefillRate
		s.Decode += e.Load.DecodeRate
		sums[e.Load.Role] = s
		counts[e.Load.Role]++
	}
	for role, n := range counts {
		sums[role] = roles.Capacity{Prefill: sums[role].Prefill / n, Decode: sums[role].Decode / n}
	}
	return sums
}

// fleetPlanner adapts autoscale.Planner to the interface duty.Planner.
type fleetPlanner struct {
	demand  *demandAggregator
	planner *autoscale.Planner
}

// Plan implements duty.Planner.
func (p *fleetPlanner) Plan(v duty.PoolView) (duty.Proposal, bool) {
	d := p.demand.rates(v.Pool.Name)
	if v.Pool.MaxEndpoints == 0 || d.firstSampleAt.IsZero() || v.Now.Sub(d.firstSampleAt) < demandWarmUp {
		return duty.Proposal{}, false
	}
	perEndpoint := averageRates(v.Endpoints)
	current, long := endpointsFor(d.short, perEndpoint), endpointsFor(d.long, perEndpoint)
	pool := autoscale.Pool{Name: v.Pool.Name, Base: endpointsFor(d.daily, perEndpoint), Demand: current, Forecast: current + max(0, current-long),
		MinOnDemand: v.Pool.MinOnDemand, MaxEndpoints: v.Pool.MaxEndpoints, PlannedLoss: v.EndpointUnderAction != ""}
	for _, e := range v.Endpoints {
		if !slices.Contains(pool.Domains, e.FailureDomain) {
			pool.Domains = append(pool.Domains, e.FailureDomain)
		}
		pool.Endpoints = append(pool.Endpoints, autoscale.Endpoint{Name: e.Name, FailureDomain: e.FailureDomain, Class: e.Class,
			Starting: e.State == apitypes.EndpointStarting, Leaving: e.State == apitypes.EndpointLeaving || e.ReclaimAt != 0 || e.Abandoned,
			Busy: e.DrainReason != "" || e.Load.Changing || e.Name == v.EndpointUnderAction})
	}
	slices.Sort(pool.Domains)
	proposal := p.planner.Plan(pool)
	if proposal == nil {
		return duty.Proposal{}, false
	}
	return duty.Proposal{Kind: apitypes.OrderKind(proposal.Kind), Endpoint: proposal.Endpoint, FailureDomain: proposal.FailureDomain,
		Class: proposal.Class, Reason: proposal.Reason}, true
}

// averageRates returns the average rates of the endpoints that report a rate; zero when none does.
func averageRates(endpoints []duty.EndpointView) tokenRates {
	var sum tokenRates
	n := 0.0
	for _, e := range endpoints {
		if e.Load.PrefillRate > 0 || e.Load.DecodeRate > 0 {
			sum.prefill += e.Load.PrefillRate
			sum.decode += e.Load.DecodeRate
			n++
		}
	}
	if n == 0 {
		return tokenRates{}
	}
	return tokenRates{sum.prefill / n, sum.decode / n}
}

// endpointsFor returns the number of endpoints that are needed to serve a demand within the first-token target. An engine divides its time
// between prefill and decode, so the numbers for both are added.
func endpointsFor(demand, perEndpoint tokenRates) float64 {
	n := 0.0
	if perEndpoint.prefill > 0 {
		n += demand.prefill / perEndpoint.prefill
	}
	if perEndpoint.decode > 0 {
		n += demand.decode / perEndpoint.decode
	}
	return n / usableRateFraction
}

// cleaningPlanner adapts cleaning.Plan to the interface duty.Planner.
type cleaningPlanner struct{ demand *demandAggregator }

// Plan implements duty.Planner.
func (p *cleaningPlanner) Plan(v duty.PoolView) (duty.Proposal, bool) {
	d, perEndpoint := p.demand.rates(v.Pool.Name), averageRates(v.Endpoints)
	pool := cleaning.Pool{Name: v.Pool.Name, CleaningPeriod: apitypes.DefaultCleanEvery, DemandShort: endpointsFor(d.short, perEndpoint),
		DemandLong: endpointsFor(d.daily, perEndpoint), DisruptionInProgress: v.EndpointUnderAction != ""}
	if v.Pool.CleanEveryHours > 0 {
		pool.CleaningPeriod = time.Duration(v.Pool.CleanEveryHours) * time.Hour
	}
	for _, e := range v.Endpoints {
		pool.Endpoints = append(pool.Endpoints, cleaning.Endpoint{Name: e.Name, FailureDomain: e.FailureDomain, LastCleaned: e.LastCleanedAt,
			Capacity: 1, Running: e.Load.Running, OutOfService: outOfService(e)})
	}
	proposal := cleaning.Plan(pool)
	if proposal == nil {
		return duty.Proposal{}, false
	}
	return duty.Proposal{Kind: apitypes.OrderClean, Endpoint: proposal.Endpoint, Reason: proposal.Reason}, true
}
