package duty

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/auth"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/order"
)

const (
	// planEvery is the planning period.
	planEvery = time.Second
	// settle is the time after a drain in which every gateway learns of it. Configuration is in force at connected
	// gateways within 2 s; cut-off gateways stop admitting within 5 s.
	settle = 5 * time.Second
	// pollEvery is how often an action looks at the endpoint's reports.
	pollEvery = 250 * time.Millisecond
	// settlePollEvery is how often the platform is tried during the settle time.
	settlePollEvery = time.Second
	// providerPollEvery is how often an action reads the provider's list; each read counts against the platform's rates.
	providerPollEvery = time.Second
	// emptyWithin bounds the wait for the last stream of a drained endpoint; the action is given up after it.
	emptyWithin = 30 * time.Minute
	// changeWithin bounds the wait for an engine to carry out a change.
	changeWithin = 5 * time.Minute
	// cleanWithin bounds the wait for the provider to clean an endpoint.
	cleanWithin = 2 * time.Hour
)

// ErrNotDrained: the endpoint still had work when the wait for its last stream ended.
var ErrNotDrained = errors.New("duty: endpoint did not become empty in time; its drain was withdrawn, try again at lower load")

// OrdersDuty holds the lease "<pool>.orders" and carries out what the planners propose.
type OrdersDuty struct {
	Pool   string
	Holder string
	Store  objectstore.Store
	// NewProvider returns a provider client whose connections are bound to the authority.
	NewProvider func(a *lease.Authority) objectstore.Provider
	Fleet       Fleet
	// NewPlanners returns fresh planners for a term, in order of precedence, and a function that ends their use.
	NewPlanners func() (planners []Planner, release func())
	Log         zerolog.Logger
	// Rank spreads the leases of pools over controllers; nil means that all try at once.
	Rank Rank
	// OnTerm, when not nil, is called with true when a term begins and with false when it ends.
	OnTerm func(held bool)
	// OnOrder, when not nil, is called when the outcome of an order is recorded.
	OnOrder func(apitypes.OrderKind, apitypes.IntentState)
	// EndpointTLS is the identity towards engines; nil means the system's authorities and no client certificate.
	EndpointTLS *auth.TLS
	// EngineClient, when not nil, replaces the control protocol of engines; for tests.
	EngineClient order.EngineClient
	// DrainPropagationDelay replaces the wait for gateways to learn of a drain; for tests. Zero means 5 s.
	DrainPropagationDelay time.Duration

	mu     sync.Mutex
	losing string
}

// Run competes for the lease until ctx ends.
func (o *OrdersDuty) Run(ctx context.Context) error {
	name := o.Pool + "." + string(apitypes.DutyOrders)
	k := lease.NewElector(lease.Options{Store: o.Store, Name: name, Holder: o.Holder, Rank: o.Rank.of(name)})
	return k.Run(ctx, o.lead)
}

// lead runs one term.
func (o *OrdersDuty) lead(a *lease.Authority) {
	d, err := o.establishLeadership(a)
	if err != nil {
		o.Log.Warn().Err(err).Str("pool", o.Pool).Msg("take-over of orders failed")
		return
	}
	if o.OnTerm != nil {
		o.OnTerm(true)
		defer o.OnTerm(false)
	}
	var actions sync.WaitGroup
	defer o.revokeLeadership(&actions)
	planners, release := o.NewPlanners()
	defer release()
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	for a.Valid() {
		o.plan(a, d, planners, &actions)
		select {
		case <-a.Context().Done():
		case <-ticker.C:
		}
	}
}

// establishLeadership takes the pool's orders over and finishes what the predecessor left half done.
func (o *OrdersDuty) establishLeadership(a *lease.Authority) (*order.Dispatcher, error) {
	d := order.New(order.Options{Pool: o.Pool, Holder: o.Holder, Authority: a, Store: o.Store, Provider: o.NewProvider(a),
		LookupEndpoint: o.endpoint, EngineClient: o.EngineClient, EndpointTLS: o.EndpointTLS, OnOutcome: o.OnOrder})
	if err := d.TakeOver(a.Context()); err != nil {
		return nil, err
	}
	o.Log.Info().Str("pool", o.Pool).Uint64("fence", a.FencingToken()).Msg("orders taken over")
	return d, nil
}

// revokeLeadership waits for running actions, which end with the authority's context.
func (o *OrdersDuty) revokeLeadership(actions *sync.WaitGroup) {
	actions.Wait()
	o.setLosing("")
	o.Log.Info().Str("pool", o.Pool).Msg("orders given up")
}

// plan carries out at most one proposal. Additions run at once; everything that takes an endpoint out of service runs as
// the pool's only action.
func (o *OrdersDuty) plan(a *lease.Authority, d *order.Dispatcher, planners []Planner, actions *sync.WaitGroup) {
	pool, ok := o.Fleet.Pool(o.Pool)
	if !ok || pool.Paused {
		return
	}
	// The running action is read before the state, so that an action that ends in between is not taken for a left-over one.
	losing := o.losingNow()
	state := d.State()
	v := o.view(pool, state, losing)
	if losing == "" && o.startLeftOver(a, d, v, state, actions) {
		return
	}
	if recordFirstSeen(a.Context(), d, v) {
		return
	}
	for _, planner := range planners {
		p, ok := planner.Plan(v)
		if !ok {
			continue
		}
		if p.Kind == apitypes.OrderAdd {
			o.finish(a, p, d.Submit(a.Context(), providerOrder(p)))
			return
		}
		if v.EndpointUnderAction == "" {
			o.start(a, d, p, actions)
			return
		}
	}
}

// view joins reports with what the system itself has ordered.
func (o *OrdersDuty) view(pool apitypes.Pool, s apitypes.PoolOrders, losing string) PoolView {
	v := PoolView{Pool: pool, Endpoints: o.Fleet.Endpoints(o.Pool), EndpointUnderAction: losing, Now: time.Now()}
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		e.DrainReason = s.Drained[e.Name]
		e.OperatorDrained = slices.Contains(pool.Drained, e.Name)
		e.Abandoned = slices.Contains(s.Abandoned, e.Name)
		if at := max(s.Cleaned[e.Name], e.LastCleaned); at > 0 {
			e.LastCleanedAt = time.UnixMilli(at)
		}
	}
	return v
}

// start runs a proposal as the pool's action.
func (o *OrdersDuty) start(a *lease.Authority, d *order.Dispatcher, p Proposal, actions *sync.WaitGroup) {
	o.run(a, p, actions, func(ctx context.Context) error { return o.carryOut(ctx, d, p) })
}

// run starts the pool's only action.
func (o *OrdersDuty) run(a *lease.Authority, p Proposal, actions *sync.WaitGroup, action func(context.Context) error) {
	o.setLosing(p.Endpoint)
	o.Log.Info().Str("pool", o.Pool).Str("endpoint", p.Endpoint).Str("order", string(p.Kind)).Str("value", p.Value).
		Str("reason", p.Reason).Msg("action started")
	actions.Go(func() {
		defer o.setLosing("")
		o.finish(a, p, action(a.Context()))
	})
}

// finish logs the end of an action. A term whose orders object another process has rewritten can send nothing more and ends.
func (o *OrdersDuty) finish(a *lease.Authority, p Proposal, err error) {
	line := o.Log.Info()
	if err != nil {
		line = o.Log.Warn().Err(err)
	}
	line.Str("pool", o.Pool).Str("endpoint", p.Endpoint).Str("order", string(p.Kind)).Msg("action ended")
	if errors.Is(err, order.ErrSuperseded) {
		a.End()
	}
}

func (o *OrdersDuty) losingNow() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.losing
}

func (o *OrdersDuty) setLosing(endpoint string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.losing = endpoint
}

func (o *OrdersDuty) endpoint(name string) (apitypes.Endpoint, bool) {
	v, ok := o.viewOf(name)
	return v.Endpoint, ok
}

func (o *OrdersDuty) viewOf(name string) (EndpointView, bool) {
	for _, e := range o.Fleet.Endpoints(o.Pool) {
		if e.Name == name {
			return e, true
		}
	}
	return EndpointView{}, false
}

func providerOrder(p Proposal) apitypes.Order {
	return apitypes.Order{Kind: p.Kind, Endpoint: p.Endpoint, FailureDomain: p.FailureDomain, Class: p.Class, Value: p.Value}
}
