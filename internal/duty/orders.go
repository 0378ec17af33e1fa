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
	// planEvery is the planning interval.
	planEvery = time.Second
	// defaultDrainPropagationDelay is the time after which every gateway applies a drain. Connected gateways apply a configuration
	// change within 2 s; disconnected gateways stop admitting requests within 5 s.
	defaultDrainPropagationDelay = 5 * time.Second
	// reportPollEvery is the interval at which an action reads the endpoint's reports.
	reportPollEvery = 250 * time.Millisecond
	// pingEvery is the interval at which an action checks that the platform responds during the drain propagation delay.
	pingEvery = time.Second
	// providerPollEvery is the interval at which an action reads the provider's list; each read counts against the platform's rate
	// limits.
	providerPollEvery = time.Second
	// drainTimeout limits the wait for the last stream of a drained endpoint; the action fails after it, except for an abandoned
	// endpoint that sends no reports.
	drainTimeout = 30 * time.Minute
	// changeTimeout limits the wait for an engine to complete a change.
	changeTimeout = 5 * time.Minute
	// cleanTimeout limits the wait for the provider to clean an endpoint.
	cleanTimeout = 2 * time.Hour
)

// ErrNotDrained is returned when the endpoint has not finished its requests within drainTimeout.
var ErrNotDrained = errors.New("duty: endpoint did not finish its requests in time; its drain was withdrawn, try again at lower load")

// OrdersDuty competes for the lease "<pool>.orders" and executes the proposals of the planners while it holds the lease.
type OrdersDuty struct {
	Pool   string
	Holder string
	Store  objectstore.Store
	// NewProvider returns a provider client whose connections are bound to the authority.
	NewProvider func(a *lease.Authority) objectstore.Provider
	Fleet       Fleet
	// NewPlanners returns new planners for a term, in order of precedence, and a function that releases them.
	NewPlanners func() (planners []Planner, release func())
	Log         zerolog.Logger
	// Rank spreads the leases of the pools over the controllers; nil means that all controllers compete at the same time.
	Rank Rank
	// OnTerm, when not nil, is called with true when a term begins and with false when it ends.
	OnTerm func(held bool)
	// OnOrder, when not nil, is called when the outcome of an order is recorded.
	OnOrder func(apitypes.OrderKind, apitypes.IntentState)
	// EndpointTLS configures TLS connections to engines; nil means the system's root CAs and no client certificate.
	EndpointTLS *auth.TLS
	// EngineClient, when not nil, replaces the client of the engines' control protocol; for tests.
	EngineClient order.EngineClient
	// DrainPropagationDelay replaces the time that gateways get to apply a drain; for tests. Zero means 5 s.
	DrainPropagationDelay time.Duration

	mu sync.Mutex
	// underAction names the endpoint of the running action; empty when none runs. Guarded by mu.
	underAction string
}

// Run competes for the lease until ctx ends.
func (o *OrdersDuty) Run(ctx context.Context) error {
	name := o.Pool + "." + string(apitypes.DutyOrders)
	elector := lease.NewElector(lease.Options{Store: o.Store, Name: name, Holder: o.Holder, Rank: o.Rank.forLease(name)})
	return elector.Run(ctx, o.lead)
}

// lead runs one term: it takes over the pool's orders and plans until the authority ends.
func (o *OrdersDuty) lead(a *lease.Authority) {
	d, err := o.establishLeadership(a)
	if err != nil {
		o.Log.Warn().Err(err).Str("pool", o.Pool).Msg("failed to take over the pool's orders")
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

// establishLeadership takes over the pool's orders and resolves the orders that the previous holder left unresolved.
func (o *OrdersDuty) establishLeadership(a *lease.Authority) (*order.Dispatcher, error) {
	d := order.New(order.Options{Pool: o.Pool, Holder: o.Holder, Authority: a, Store: o.Store, Provider: o.NewProvider(a),
		LookupEndpoint: o.lookupEndpoint, EngineClient: o.EngineClient, EndpointTLS: o.EndpointTLS, OnOutcome: o.OnOrder})
	if err := d.TakeOver(a.Context()); err != nil {
		return nil, err
	}
	o.Log.Info().Str("pool", o.Pool).Uint64("fence", a.FencingToken()).Msg("took over the pool's orders")
	return d, nil
}

// revokeLeadership waits for the running action, which ends with the authority's context.
func (o *OrdersDuty) revokeLeadership(actions *sync.WaitGroup) {
	actions.Wait()
	o.setEndpointUnderAction("")
	o.Log.Info().Str("pool", o.Pool).Msg("released the pool's orders")
}

// plan executes at most one proposal. An order to add an endpoint is sent directly; a proposal that takes an endpoint out of service
// runs as the pool's only action.
func (o *OrdersDuty) plan(a *lease.Authority, d *order.Dispatcher, planners []Planner, actions *sync.WaitGroup) {
	pool, ok := o.Fleet.Pool(o.Pool)
	if !ok || pool.Paused {
		return
	}
	// The running action is read before the state, so that an action that ends in between is not mistaken for an unfinished one.
	underAction := o.endpointUnderAction()
	state := d.State()
	v := o.poolView(pool, state, underAction)
	if underAction == "" && o.startRecovery(a, d, v, state, actions) {
		return
	}
	if recordInitialCleaningTimes(a.Context(), d, v) {
		return
	}
	for _, planner := range planners {
		p, ok := planner.Plan(v)
		if !ok {
			continue
		}
		if p.Kind == apitypes.OrderAdd {
			o.finishProposal(a, p, d.Submit(a.Context(), providerOrder(p)))
			return
		}
		if v.EndpointUnderAction == "" {
			o.startProposal(a, d, p, actions)
			return
		}
	}
}

// poolView combines the endpoints' reports with the drains, abandoned endpoints and cleaning times of the pool's orders object, and
// with the operator's drains.
func (o *OrdersDuty) poolView(pool apitypes.Pool, s apitypes.PoolOrders, underAction string) PoolView {
	v := PoolView{Pool: pool, Endpoints: o.Fleet.Endpoints(o.Pool), EndpointUnderAction: underAction, Now: time.Now()}
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		e.DrainReason = s.Drained[e.Name]
		e.OperatorDrained = slices.Contains(pool.Drained, e.Name)
		e.Abandoned = slices.Contains(s.Abandoned, e.Name)
		if cleanedMS := max(s.Cleaned[e.Name], e.LastCleaned); cleanedMS > 0 {
			e.LastCleanedAt = time.UnixMilli(cleanedMS)
		}
	}
	return v
}

// startProposal executes a proposal in the background as the pool's only action.
func (o *OrdersDuty) startProposal(a *lease.Authority, d *order.Dispatcher, p Proposal, actions *sync.WaitGroup) {
	o.startAction(a, p, actions, func(ctx context.Context) error { return o.executeProposal(ctx, d, p) })
}

// startAction runs a function in the background as the pool's only action.
func (o *OrdersDuty) startAction(a *lease.Authority, p Proposal, actions *sync.WaitGroup, action func(context.Context) error) {
	o.setEndpointUnderAction(p.Endpoint)
	o.Log.Info().Str("pool", o.Pool).Str("endpoint", p.Endpoint).Str("order", string(p.Kind)).Str("value", p.Value).
		Str("reason", p.Reason).Msg("action started")
	actions.Go(func() {
		defer o.setEndpointUnderAction("")
		o.finishProposal(a, p, action(a.Context()))
	})
}

// finishProposal logs the result of a proposal. It ends the term when another process has rewritten the pool's orders object, because
// this holder can send no more orders then.
func (o *OrdersDuty) finishProposal(a *lease.Authority, p Proposal, err error) {
	event := o.Log.Info()
	if err != nil {
		event = o.Log.Warn().Err(err)
	}
	event.Str("pool", o.Pool).Str("endpoint", p.Endpoint).Str("order", string(p.Kind)).Msg("action ended")
	if errors.Is(err, order.ErrSuperseded) {
		a.End()
	}
}

func (o *OrdersDuty) endpointUnderAction() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.underAction
}

func (o *OrdersDuty) setEndpointUnderAction(endpoint string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.underAction = endpoint
}

func (o *OrdersDuty) lookupEndpoint(name string) (apitypes.Endpoint, bool) {
	v, ok := o.endpointView(name)
	return v.Endpoint, ok
}

func (o *OrdersDuty) endpointView(name string) (EndpointView, bool) {
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
