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
	// changeTime is the time for which a role change takes an engine out of service: the drain's settling time and the change.
	changeTime = 10 * time.Second
	// warmUp is how long demand is read before planners act on it; a new holder knows nothing of demand.
	warmUp = time.Minute
	// usableShare is the share of an endpoint's nominal rate that serves within the first-token target.
	usableShare = 0.85
)

// newPlanners returns the planners of a term, in order of precedence: lost capacity is ordered first, then engines follow the
// work, and cleaning comes last because it can wait.
func (c *controllerNode) newPlanners() (planners []duty.Planner, release func()) {
	planners = []duty.Planner{
		&fleetPlanner{c.demand, autoscale.NewPlanner()},
		&rolePlanner{c.demand, roles.NewPlanner()},
		&cleaningPlanner{c.demand},
	}
	return planners, c.demand.hold()
}

// out tells whether an endpoint serves nothing now.
func out(e duty.EndpointView) bool {
	return e.DrainReason != "" || e.OperatorDrained || e.Abandoned || e.State != apitypes.EndpointReady || e.ReclaimAt != 0 ||
		e.Load.Changing || e.Load.Draining || e.ReportedAt.IsZero()
}

// rolePlanner adapts package roles.
type rolePlanner struct {
	demand  *demandReader
	planner *roles.Planner
}

// Plan implements duty.Planner.
func (p *rolePlanner) Plan(v duty.PoolView) (duty.Proposal, bool) {
	d := p.demand.rates(v.Pool.Name)
	if v.Pool.Kind != apitypes.PoolEngine || d.since.IsZero() || v.Now.Sub(d.since) < warmUp {
		return duty.Proposal{}, false
	}
	pool := roles.Pool{Name: v.Pool.Name, Capacities: capacities(v.Endpoints), ChangeTime: changeTime, PlannedLoss: v.EndpointUnderAction != "",
		Demand: roles.Demand{PrefillShort: d.short.prefill, PrefillLong: d.long.prefill, DecodeShort: d.short.decode, DecodeLong: d.long.decode}}
	for _, e := range v.Endpoints {
		pool.Endpoints = append(pool.Endpoints, roles.Endpoint{Name: e.Name, FailureDomain: e.FailureDomain, Role: e.Load.Role,
			Running: e.Load.Running, OutOfService: out(e)})
	}
	proposal := p.planner.Plan(pool)
	if proposal == nil {
		return duty.Proposal{}, false
	}
	return duty.Proposal{Kind: apitypes.OrderSetRole, Endpoint: proposal.Endpoint, Value: string(proposal.Role), Reason: proposal.Reason}, true
}

// capacities averages the reported rates of the engines in each role. Roles that no engine has are unknown and not proposed.
func capacities(endpoints []duty.EndpointView) map[apitypes.Role]roles.Capacity {
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

// fleetPlanner adapts package autoscale.
type fleetPlanner struct {
	demand  *demandReader
	planner *autoscale.Planner
}

// Plan implements duty.Planner.
func (p *fleetPlanner) Plan(v duty.PoolView) (duty.Proposal, bool) {
	d := p.demand.rates(v.Pool.Name)
	if v.Pool.MaxEndpoints == 0 || d.since.IsZero() || v.Now.Sub(d.since) < warmUp {
		return duty.Proposal{}, false
	}
	one := perEndpoint(v.Endpoints)
	now, long := endpointsFor(d.short, one), endpointsFor(d.long, one)
	pool := autoscale.Pool{Name: v.Pool.Name, Base: endpointsFor(d.slow, one), Demand: now, Forecast: now + max(0, now-long),
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

// perEndpoint returns the average rates of the endpoints that report any.
func perEndpoint(endpoints []duty.EndpointView) rates {
	var sum rates
	n := 0.0
	for _, e := range endpoints {
		if e.Load.PrefillRate > 0 || e.Load.DecodeRate > 0 {
			sum.prefill += e.Load.PrefillRate
			sum.decode += e.Load.DecodeRate
			n++
		}
	}
	if n == 0 {
		return rates{}
	}
	return rates{sum.prefill / n, sum.decode / n}
}

// endpointsFor returns the number of endpoints that serve a demand within the first-token target. An engine spends a share of its
// time on prefill and the rest on decoding, so both shares add up.
func endpointsFor(d, one rates) float64 {
	n := 0.0
	if one.prefill > 0 {
		n += d.prefill / one.prefill
	}
	if one.decode > 0 {
		n += d.decode / one.decode
	}
	return n / usableShare
}

// cleaningPlanner adapts package cleaning.
type cleaningPlanner struct{ demand *demandReader }

// Plan implements duty.Planner.
func (p *cleaningPlanner) Plan(v duty.PoolView) (duty.Proposal, bool) {
	d, one := p.demand.rates(v.Pool.Name), perEndpoint(v.Endpoints)
	pool := cleaning.Pool{Name: v.Pool.Name, CleaningPeriod: apitypes.DefaultCleanEvery, DemandShort: endpointsFor(d.short, one),
		DemandLong: endpointsFor(d.slow, one), DisruptionPlanned: v.EndpointUnderAction != ""}
	if v.Pool.CleanEveryHours > 0 {
		pool.CleaningPeriod = time.Duration(v.Pool.CleanEveryHours) * time.Hour
	}
	for _, e := range v.Endpoints {
		pool.Endpoints = append(pool.Endpoints, cleaning.Endpoint{Name: e.Name, FailureDomain: e.FailureDomain, LastCleaned: e.LastCleanedAt,
			Capacity: 1, Running: e.Load.Running, OutOfService: out(e)})
	}
	proposal := cleaning.Plan(pool)
	if proposal == nil {
		return duty.Proposal{}, false
	}
	return duty.Proposal{Kind: apitypes.OrderClean, Endpoint: proposal.Endpoint, Reason: proposal.Reason}, true
}
