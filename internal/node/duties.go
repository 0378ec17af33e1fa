package node

import (
	"context"
	"sort"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/autoscale"
	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/metering"
	"crocusglade.example/crocusglade/internal/roles"
)

// ErrNoEndpointAvailable means that the provider currently has no endpoint of the ordered kind.
var ErrNoEndpointAvailable = errors.New("node: the provider has no endpoint of the ordered kind available; retry later or order another kind")

// Duties sends the calls that only the holder of the duties lease may send. Each call fails once the holder's authority has ended.
type Duties interface {
	// ReportUsage reports the request counts of a usage window to the platform.
	ReportUsage(ctx context.Context, w metering.Window, counts metering.Counts) error
	// OrderEndpoints orders a number of endpoints from the provider. It returns ErrNoEndpointAvailable when the provider has none.
	OrderEndpoints(ctx context.Context, service string, o autoscale.DomainOrder) error
	// ChangeRole orders an engine to change its role. The order has no effect if the engine accepts another order before it.
	ChangeRole(ctx context.Context, e *catalog.Endpoint, role catalog.Role) error
}

const (
	dutyLease = "duties"
	// leaseMarginFraction is the safety margin as a fraction of the lease's TTL: the holder stops that much before the lease
	// expires, and candidates wait that much longer.
	leaseMarginFraction = 0.25
	// renewalsPerLease is the number of renewals per lease TTL.
	renewalsPerLease = 3
	// takeoverPauseFraction is the fraction of the lease's TTL for which a new holder sends no calls. The pause keeps calls of two
	// VMs from alternating within the TTL, which the platform treats as a conflict.
	takeoverPauseFraction = 0.6
	// dutyInterval is the time between two rounds of the duties, planInterval the time between two rounds of planning orders.
	dutyInterval = 250 * time.Millisecond
	planInterval = time.Second
	// orderTimeout bounds one order.
	orderTimeout = 1200 * time.Millisecond
	// roleChangeNotice is the time between the announcement of a role change to the other VMs and the order. roleChangeSlack is
	// added to the duration of the change, for work in progress and for the update of the engine's entry in the store.
	roleChangeNotice = 40 * time.Millisecond
	roleChangeSlack  = 700 * time.Millisecond
	// maxDutyRank is the number of VMs with a rank of their own, which compete for the lease first. The other VMs share this rank.
	maxDutyRank = 4
)

// runDuties competes for the duties lease and performs the duties while this VM holds it.
func (n *Node) runDuties(ctx context.Context) error {
	elector := lease.NewElector(lease.Options{Store: n.Store, Name: dutyLease, Holder: n.incarnation, TTL: n.Lease,
		Margin: time.Duration(leaseMarginFraction * float64(n.Lease)), RenewInterval: n.Lease / renewalsPerLease, PollInterval: n.Lease / renewalsPerLease,
		Rank: n.dutyRank, WallClock: bootclock.NowAsTime, Eras: n.Store.Eras(), Now: n.medianClock.Now, HighestToken: n.link.HighestDutyToken})
	if err := elector.Run(ctx, func(a *lease.Authority) { n.runTerm(a) }); ctx.Err() == nil {
		return err
	}
	return nil
}

// dutyRank returns this VM's rank among the serving VMs by name, so that not all of them try to acquire a free lease at once. A
// draining VM ranks last.
func (n *Node) dutyRank() int {
	if n.draining.Load() {
		return maxDutyRank * 2
	}
	rank := 0
	for _, vm := range n.link.LivePeers() {
		if vm.Serving && vm.Name < n.VM {
			rank++
		}
	}
	return min(rank, maxDutyRank)
}

// runTerm performs the duties from the acquisition of the lease until its loss or a drain.
func (n *Node) runTerm(a *lease.Authority) {
	ctx := a.Context()
	n.log.Info().Uint64("fence", a.FencingToken()).Msg("duties lease acquired")
	n.link.SetDutyToken(a.FencingToken())
	defer func() {
		n.link.SetDutyToken(0)
		n.log.Info().Uint64("fence", a.FencingToken()).Msg("duties lease released")
	}()
	pause := takeoverPause(n.lastFencingToken, a.FencingToken(), n.Lease)
	if a.Continues() {
		pause = 0
	}
	n.lastFencingToken = a.FencingToken()
	if !ctxtime.Sleep(ctx, pause) {
		return
	}
	n.fetchPeerLedgers(ctx)
	duties := n.Adapter.Duties(a, n.VM)
	reporter := n.newUsageReporter(a, duties)
	planner := newEndpointPlanner(n, duties)
	var lastPlan time.Time
	for ctxtime.Sleep(ctx, dutyInterval) && !n.draining.Load() {
		counts, current := n.meter.Recent()
		n.ledger.MergeCounts(n.incarnation, counts, current)
		if n.ReportsUsage {
			if err := reporter.ReportEndedWindows(ctx); err != nil {
				n.log.Warn().Uint64("fence", a.FencingToken()).Err(err).Msg("usage report failed, retrying")
			}
		}
		if n.OrdersEndpoints && time.Since(lastPlan) >= planInterval {
			lastPlan = time.Now()
			planner.planAll(ctx)
		}
	}
}

// takeoverPause returns how long a new holder sends no calls. lastToken is the fencing token of this VM's previous term, 0 for none.
// When the tokens are consecutive, no other VM has held the lease in between (or ever, for the first term), so no pause is needed.
func takeoverPause(lastToken, token uint64, lease time.Duration) time.Duration {
	if token == lastToken+1 {
		return 0
	}
	return time.Duration(takeoverPauseFraction * float64(lease))
}

// endpointPlanner orders endpoints and role changes during one term of the duties. Its maps are keyed by service.
type endpointPlanner struct {
	node          *Node
	duties        Duties
	scalePlanners map[string]*autoscale.DomainPlanner
	rolePlanners  map[string]*roles.RoleSharePlanner
}

func newEndpointPlanner(node *Node, d Duties) *endpointPlanner {
	return &endpointPlanner{node: node, duties: d, scalePlanners: make(map[string]*autoscale.DomainPlanner), rolePlanners: make(map[string]*roles.RoleSharePlanner)}
}

// planAll plans endpoints and roles for all services, in the order of their names.
func (p *endpointPlanner) planAll(ctx context.Context) {
	c := p.node.catalogHolder.Current()
	if c == nil {
		return
	}
	names := make([]string, 0, len(c.Services))
	for name := range c.Services {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		s := c.Services[name]
		if s.Scaling != nil {
			p.scale(ctx, &s)
		}
		if s.Engine != nil {
			p.assignRoles(ctx, &s)
		}
	}
}

// scale counts a service's endpoints by failure domain and orders the changes that its demand needs.
func (p *endpointPlanner) scale(ctx context.Context, s *catalog.Service) {
	planner := p.scalePlanners[s.Name]
	if planner == nil {
		planner = autoscale.NewDomainPlanner()
		p.scalePlanners[s.Name] = planner
	}
	current := make(map[string]autoscale.DomainCount)
	for _, d := range p.node.FailureDomains {
		if _, priced := s.Scaling.DomainPrices[d]; priced || len(s.Scaling.DomainPrices) == 0 {
			current[d] = autoscale.DomainCount{}
		}
	}
	for _, e := range p.node.fleet.Endpoints(s.Name) {
		count, ok := current[e.FailureDomain]
		if !ok || e.Draining {
			continue
		}
		if e.Reclaimable {
			count.Reclaimable++
		} else {
			count.OnDemand++
		}
		current[e.FailureDomain] = count
	}
	demand := p.node.fleet.Demand(s.Name)
	planner.RecordDemand(demand, time.Now())
	bounds := autoscale.DomainBounds{Min: s.Scaling.Min, Max: s.Scaling.Max, ColdStartTime: s.Scaling.BootTime,
		Reclaimable: s.Scaling.ReclaimablePrice > 0 && s.Scaling.ReclaimablePrice < 1}
	for _, o := range planner.Plan(bounds, current, time.Now()) {
		p.orderEndpoints(ctx, planner, s.Name, o, demand, current[o.Domain])
	}
}

// orderEndpoints sends one order and records it with the planner, unless it failed for a reason other than availability.
func (p *endpointPlanner) orderEndpoints(ctx context.Context, planner *autoscale.DomainPlanner, service string, o autoscale.DomainOrder, demand float64, current autoscale.DomainCount) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := p.duties.OrderEndpoints(ctx, service, o)
	unavailable := errors.Is(err, ErrNoEndpointAvailable)
	if err == nil || unavailable {
		planner.RecordOrder(o, unavailable, time.Now())
	}
	p.node.log.Info().Str("service", service).Str("domain", o.Domain).Bool("reclaimable", o.Reclaimable).Int("count", o.Count).
		Float64("demand", demand).Float64("rate", p.node.fleet.PrefillRate(service)).Int("on_demand", current.OnDemand).Int("reclaimables", current.Reclaimable).Err(err).Msg("ordered endpoints")
}

// assignRoles orders the role changes that a service's engines need. It waits until the demand of a scaled service is known.
func (p *endpointPlanner) assignRoles(ctx context.Context, s *catalog.Service) {
	if p.scalePlanners[s.Name] != nil && !p.scalePlanners[s.Name].Ready() {
		return
	}
	planner := p.rolePlanners[s.Name]
	if planner == nil {
		planner = roles.NewRoleSharePlanner(s.Engine.RoleSwitchTime)
		p.rolePlanners[s.Name] = planner
	}
	now := p.node.medianClock.Now()
	var engines []roles.EngineState
	byID := make(map[string]catalog.Endpoint)
	for _, e := range p.node.fleet.Endpoints(s.Name) {
		if e.Draining || e.Role == "" {
			continue
		}
		byID[e.ID] = e
		engines = append(engines, roles.EngineState{ID: e.ID, Domain: e.FailureDomain, Prefill: e.Role == catalog.Prefill, Reclaimable: e.Reclaimable,
			Paused: !p.node.fleet.MayReceive(&e), Age: now.Sub(time.UnixMilli(e.StartedAtMS))})
	}
	for change := planner.Plan(engines, time.Now()); change != nil && ctx.Err() == nil; change = planner.Plan(engines, time.Now()) {
		e := byID[change.ID]
		p.changeRole(ctx, &e, change, len(engines))
	}
}

// roleSwitchTime returns how long an engine of a service is unavailable while its role changes.
func (p *endpointPlanner) roleSwitchTime(service string) time.Duration {
	if c := p.node.catalogHolder.Current(); c != nil && c.Services[service].Engine != nil {
		return c.Services[service].Engine.RoleSwitchTime
	}
	return 0
}

// changeRole announces a role change to the other VMs and then orders it.
func (p *endpointPlanner) changeRole(ctx context.Context, e *catalog.Endpoint, change *roles.RoleChange, engines int) {
	role := catalog.Decode
	if change.Prefill {
		role = catalog.Prefill
	}
	// Announced before the order, so that no VM sends a request to an engine that would refuse it.
	p.node.link.AnnounceUnavailableEndpoint(e.ID, p.roleSwitchTime(e.Service)+roleChangeSlack)
	if !ctxtime.Sleep(ctx, roleChangeNotice) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := p.duties.ChangeRole(ctx, e, role)
	p.node.log.Info().Str("service", e.Service).Str("endpoint", e.ID).Str("engine_role", string(role)).
		Int("engines", engines).Err(err).Msg("ordered role change")
}
