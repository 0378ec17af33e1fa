package node

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/autoscale"
	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/metering"
	"crocusglade.example/crocusglade/internal/roles"
	"crocusglade.example/crocusglade/internal/vmlink"
)

// ErrNoEndpointAvailable means that the provider has no endpoint of the ordered kind at present.
var ErrNoEndpointAvailable = errors.New("node: the provider has no such endpoint now; order again later or another kind")

// Duties sends the calls that only the holder of the duties may send. Each call is bound to the holder's authority.
type Duties interface {
	ReportUsage(ctx context.Context, w metering.Window, counts metering.Counts) error
	// OrderEndpoints asks for a number of endpoints. It returns ErrNoEndpointAvailable when there are none.
	OrderEndpoints(ctx context.Context, service string, o autoscale.DomainOrder) error
	// ChangeRole orders an engine into a role. The order has no effect if the engine accepts another one before.
	ChangeRole(ctx context.Context, e *catalog.Endpoint, role catalog.Role) error
}

const (
	dutyLease = "duties"
	// leaseMargin is the part of the lease that the holder gives up early and candidates wait longer.
	leaseMargin = 0.25
	// renewals is how often the holder renews within the lease's time.
	renewals = 3
	// takeoverShare is the part of the lease's time for which a new holder sends nothing, so that two VMs never take turns within
	// the time that the platform looks at.
	takeoverShare = 0.6
	// dutyStep is how often duties are looked at, planStep how often orders are planned.
	dutyStep = 250 * time.Millisecond
	planStep = time.Second
	// orderTimeout bounds one order.
	orderTimeout = 1200 * time.Millisecond
	// changeNotice is how long before an order the other VMs are told of it; changeSlack is added to the time of the change for
	// work in progress and the engine's entry.
	changeNotice = 40 * time.Millisecond
	changeSlack  = 700 * time.Millisecond
	// rankedVMs is the number of VMs that compete for the lease first.
	rankedVMs = 4
)

// runDuties competes for the duties and carries them out while it holds them.
func (n *Node) runDuties(ctx context.Context) error {
	elector := lease.NewElector(lease.Options{Store: n.Store, Name: dutyLease, Holder: n.incarnation, TTL: n.Lease,
		Margin: time.Duration(leaseMargin * float64(n.Lease)), RenewEvery: n.Lease / renewals, PollEvery: n.Lease / renewals,
		Rank: n.dutyRank, Wall: bootclock.NowAsTime})
	if err := elector.Run(ctx, func(a *lease.Authority) { n.lead(a) }); ctx.Err() == nil {
		return err
	}
	return nil
}

// dutyRank orders the VMs by name, so that not all of them try to take a free lease at once. A draining VM comes last.
func (n *Node) dutyRank() int {
	if n.draining.Load() {
		return rankedVMs * 2
	}
	rank := 0
	for _, vm := range n.link.LivePeers() {
		if vm.Serving && vm.Name < n.VM {
			rank++
		}
	}
	return min(rank, rankedVMs)
}

// lead carries out the duties for one term.
func (n *Node) lead(a *lease.Authority) {
	ctx := a.Context()
	n.log.Info().Uint64("fence", a.FencingToken()).Msg("duties taken")
	defer func() { n.log.Info().Uint64("fence", a.FencingToken()).Msg("duties given up") }()
	pause := takeoverPause(n.lastFence, a.FencingToken(), n.Lease)
	n.lastFence = a.FencingToken()
	if !ctxtime.Sleep(ctx, pause) {
		return
	}
	n.learnLedgers(ctx)
	duties := n.Adapter.Duties(a, n.VM)
	reporter := &metering.Reporter{Meter: n.meter, Ledger: n.ledger, Store: n.Store, Now: n.trueTime.Now, Send: duties.ReportUsage, Log: n.log}
	planner := newEndpointPlanner(n, duties)
	var planned time.Time
	for ctxtime.Sleep(ctx, dutyStep) && !n.draining.Load() {
		n.ledger.MergeCounts(n.incarnation, n.meter.Recent())
		if n.ReportsUsage {
			if err := reporter.ReportEndedWindows(ctx); err != nil {
				n.log.Warn().Uint64("fence", a.FencingToken()).Err(err).Msg("usage not reported, trying again")
			}
		}
		if n.OrdersEndpoints && time.Since(planned) >= planStep {
			planned = time.Now()
			planner.step(ctx)
		}
	}
}

// takeoverPause is how long a new holder sends nothing. last is the fencing number of this VM's last term, 0 for none. Nobody
// else has held the duties between two successive terms of one VM, or before the very first one, so no pause is needed then.
func takeoverPause(last, fence uint64, lease time.Duration) time.Duration {
	if fence == last+1 {
		return 0
	}
	return time.Duration(takeoverShare * float64(lease))
}

// learnLedgers takes the usage counts that the other VMs know, those of VMs that have gone or restarted among them. It asks all at
// once, so that one that has just fallen silent doesn't hold up the rest.
func (n *Node) learnLedgers(ctx context.Context) {
	var asked sync.WaitGroup
	for _, vm := range n.link.LivePeers() {
		asked.Go(func() { n.learnLedger(ctx, vm) })
	}
	asked.Wait()
}

func (n *Node) learnLedger(ctx context.Context, vm vmlink.PeerStatus) {
	var ledger map[string]map[metering.Window]metering.Counts
	if err := askVM(ctx, vm.Link, ledgerPath, &ledger); err != nil {
		n.log.Warn().Str("peer", vm.Name).Err(err).Msg("usage counts of a VM not learned")
		return
	}
	for incarnation, windows := range ledger {
		n.ledger.MergeCounts(incarnation, windows)
	}
}

// endpointPlanner orders endpoints and roles during one term.
type endpointPlanner struct {
	n       *Node
	duties  Duties
	domains map[string]*autoscale.DomainPlanner
	mix     map[string]*roles.RoleSharePlanner
}

func newEndpointPlanner(n *Node, d Duties) *endpointPlanner {
	return &endpointPlanner{n: n, duties: d, domains: make(map[string]*autoscale.DomainPlanner), mix: make(map[string]*roles.RoleSharePlanner)}
}

func (p *endpointPlanner) step(ctx context.Context) {
	c := p.n.holder.Current()
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

func (p *endpointPlanner) scale(ctx context.Context, s *catalog.Service) {
	planner := p.domains[s.Name]
	if planner == nil {
		planner = autoscale.NewDomainPlanner()
		p.domains[s.Name] = planner
	}
	present := make(map[string]autoscale.DomainCount)
	for _, d := range p.n.FailureDomains {
		if _, priced := s.Scaling.DomainPrices[d]; priced || len(s.Scaling.DomainPrices) == 0 {
			present[d] = autoscale.DomainCount{}
		}
	}
	for _, e := range p.n.fleet.Endpoints(s.Name) {
		count, ok := present[e.FailureDomain]
		if !ok || e.Leaving {
			continue
		}
		if e.Reclaimable {
			count.Reclaimable++
		} else {
			count.OnDemand++
		}
		present[e.FailureDomain] = count
	}
	demand := p.n.fleet.Demand(s.Name)
	planner.RecordDemand(demand, time.Now())
	bounds := autoscale.DomainBounds{Min: s.Scaling.Min, Max: s.Scaling.Max, ColdStartTime: s.Scaling.Boot,
		Reclaimable: s.Scaling.ReclaimablePrice > 0 && s.Scaling.ReclaimablePrice < 1}
	for _, o := range planner.Plan(bounds, present, time.Now()) {
		p.order(ctx, planner, s.Name, o, demand, present[o.Domain])
	}
}

func (p *endpointPlanner) order(ctx context.Context, planner *autoscale.DomainPlanner, service string, o autoscale.DomainOrder, demand float64, present autoscale.DomainCount) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := p.duties.OrderEndpoints(ctx, service, o)
	unavailable := errors.Is(err, ErrNoEndpointAvailable)
	if err == nil || unavailable {
		planner.RecordOrder(o, unavailable, time.Now())
	}
	p.n.log.Info().Str("service", service).Str("domain", o.Domain).Bool("reclaimable", o.Reclaimable).Int("count", o.Count).
		Float64("demand", demand).Float64("rate", p.n.fleet.Rate(service)).Int("on_demand", present.OnDemand).Int("reclaimables", present.Reclaimable).Err(err).Msg("endpoints ordered")
}

func (p *endpointPlanner) assignRoles(ctx context.Context, s *catalog.Service) {
	if p.domains[s.Name] != nil && !p.domains[s.Name].Ready() {
		return
	}
	planner := p.mix[s.Name]
	if planner == nil {
		planner = roles.NewRoleSharePlanner(s.Engine.RoleSwitch)
		p.mix[s.Name] = planner
	}
	now := p.n.trueTime.Now()
	var engines []roles.MixEngine
	byID := make(map[string]catalog.Endpoint)
	for _, e := range p.n.fleet.Endpoints(s.Name) {
		if e.Leaving || e.Role == "" {
			continue
		}
		byID[e.ID] = e
		engines = append(engines, roles.MixEngine{ID: e.ID, Domain: e.FailureDomain, Prefill: e.Role == catalog.Prefill, Reclaimable: e.Reclaimable,
			Age: now.Sub(time.UnixMilli(e.StartedAtMS))})
	}
	for change := planner.Plan(engines, time.Now()); change != nil && ctx.Err() == nil; change = planner.Plan(engines, time.Now()) {
		e := byID[change.ID]
		p.changeRole(ctx, &e, change, len(engines))
	}
}

// switchTime is how long an engine of a service is out while its role changes.
func (p *endpointPlanner) switchTime(service string) time.Duration {
	if c := p.n.holder.Current(); c != nil && c.Services[service].Engine != nil {
		return c.Services[service].Engine.RoleSwitch
	}
	return 0
}

func (p *endpointPlanner) changeRole(ctx context.Context, e *catalog.Endpoint, change *roles.RoleChange, engines int) {
	role := catalog.Decode
	if change.Prefill {
		role = catalog.Prefill
	}
	// The other VMs are told first, so that no request meets an engine that turns it away.
	p.n.link.AnnounceUnavailableEndpoint(e.ID, p.switchTime(e.Service)+changeSlack)
	if !ctxtime.Sleep(ctx, changeNotice) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := p.duties.ChangeRole(ctx, e, role)
	p.n.log.Info().Str("service", e.Service).Str("endpoint", e.ID).Str("engine_role", string(role)).
		Int("engines", engines).Err(err).Msg("role ordered")
}
