// Package order writes, sends and takes over orders to endpoints and to the provider.
//
// A Dispatcher belongs to one term of the lease "<pool>.orders". It writes an order's intent to the object orders/<pool>
// before it sends the order, keeps at most one unresolved intent in the pool, and resolves what its predecessor left.
package order

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/auth"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/objectstore/httpplatform"
)

// Errors of a Dispatcher, possibly wrapped.
var (
	// ErrSuperseded: another process rewrote orders/<pool>; nothing of this write took effect.
	ErrSuperseded = errors.New("order: another holder has taken over the pool; acquire the lease again")
	// ErrRefused: the order had no effect and none will follow.
	ErrRefused = errors.New("order: refused; read the reason and plan again")
	// ErrAbandoned: the endpoint has an ambiguous order and gets no further one.
	ErrAbandoned = errors.New("order: endpoint is abandoned after an ambiguous order; wait for its replacement")
	// ErrUnresolved: the outcome of a provider order is unknown; it is sent again, with the same id, before the next order.
	ErrUnresolved = errors.New("order: provider gave no answer; the order is repeated with the next one")
)

// DefaultSendTimeout bounds the tries to get an answer to one order. It is the lifetime of a lease: an endpoint that is silent
// for that long is handled as lost.
const DefaultSendTimeout = lease.DefaultTTL

// Options configures a Dispatcher.
type Options struct {
	Pool      string
	Holder    string
	Authority *lease.Authority
	Store     objectstore.Store
	// Provider should use connections bound to Authority (httpplatform.Options.DialContext).
	Provider objectstore.Provider
	// LookupEndpoint finds an endpoint of the pool by name.
	LookupEndpoint func(name string) (apitypes.Endpoint, bool)
	// SendTimeout bounds the tries of one order; zero means DefaultSendTimeout.
	SendTimeout time.Duration
	// EndpointTLS is the identity towards engines; nil means the system's authorities and no client certificate.
	EndpointTLS *auth.TLS
	// OnOutcome, when not nil, is called when the outcome of an order is recorded.
	OnOutcome func(apitypes.OrderKind, apitypes.IntentState)
	// EngineClient sends an order to an engine; nil means the control protocol over connections bound to Authority.
	EngineClient EngineClient
}

// Dispatcher sends the orders of one pool during one term. Its methods may be called concurrently.
type Dispatcher struct {
	o Options
	// sending has room for one token: whoever holds it may have an unresolved intent.
	sending chan struct{}

	queueMu sync.Mutex
	queues  map[string]chan struct{}

	// writing has room for one token, held while the object is written. State does not wait for it.
	writing chan struct{}
	// mu guards the object's state and version, which only the holder of the writing token changes.
	mu      sync.Mutex
	state   apitypes.PoolOrders
	version uint64
}

// New returns a dispatcher. TakeOver must succeed before other methods are called.
func New(o Options) *Dispatcher {
	if o.SendTimeout <= 0 {
		o.SendTimeout = DefaultSendTimeout
	}
	if o.OnOutcome == nil {
		o.OnOutcome = func(apitypes.OrderKind, apitypes.IntentState) {}
	}
	if o.EngineClient == nil {
		o.EngineClient = newHTTPControl(o.Authority, o.EndpointTLS)
	}
	return &Dispatcher{o: o, sending: make(chan struct{}, 1), writing: make(chan struct{}, 1), queues: make(map[string]chan struct{})}
}

// State returns a copy of orders/<pool> as last written by this dispatcher.
func (d *Dispatcher) State() apitypes.PoolOrders {
	d.mu.Lock()
	defer d.mu.Unlock()
	return clone(d.state)
}

// Action is a sequence of orders to one endpoint with which no other duty's orders interleave. End must be called.
type Action struct {
	d        *Dispatcher
	endpoint string
	queue    chan struct{}
	once     sync.Once
}

// BeginAction waits for its turn in the endpoint's queue.
func (d *Dispatcher) BeginAction(ctx context.Context, endpoint string) (*Action, error) {
	d.queueMu.Lock()
	queue, ok := d.queues[endpoint]
	if !ok {
		queue = make(chan struct{}, 1)
		d.queues[endpoint] = queue
	}
	d.queueMu.Unlock()
	if err := d.take(ctx, queue); err != nil {
		return nil, err
	}
	return &Action{d: d, endpoint: endpoint, queue: queue}, nil
}

// End lets the next action on the endpoint begin.
func (a *Action) End() { a.once.Do(func() { <-a.queue }) }

// Submit sends an order to the action's endpoint and returns once its outcome is known.
func (a *Action) Submit(ctx context.Context, o apitypes.Order) error {
	if o.Endpoint != a.endpoint {
		return errors.Errorf("order for endpoint %q in an action on %q; begin an action on the right endpoint", o.Endpoint, a.endpoint)
	}
	return a.d.submit(ctx, o)
}

// Submit queues an order behind other actions on its endpoint and returns once its outcome is known. An empty id is filled
// in; repeating a submission with the same id has no second effect. The fencing number is set here.
func (d *Dispatcher) Submit(ctx context.Context, o apitypes.Order) error {
	if o.Endpoint == "" {
		return d.submit(ctx, o)
	}
	a, err := d.BeginAction(ctx, o.Endpoint)
	if err != nil {
		return err
	}
	defer a.End()
	return a.Submit(ctx, o)
}

func (d *Dispatcher) submit(ctx context.Context, o apitypes.Order) error {
	if err := d.take(ctx, d.sending); err != nil {
		return err
	}
	defer func() { <-d.sending }()
	ctx, cancel := d.bound(ctx)
	defer cancel()
	if err := d.resolveAll(ctx); err != nil {
		return err
	}
	if slices.Contains(d.State().Abandoned, o.Endpoint) && o.Kind != apitypes.OrderRemove {
		return ErrAbandoned
	}
	if _, known := d.o.LookupEndpoint(o.Endpoint); !known && !toProvider(o.Kind) {
		return errors.Wrapf(ErrRefused, "endpoint %q is not known in pool %q", o.Endpoint, d.o.Pool)
	}
	return d.dispatch(ctx, o, false)
}

// dispatch writes the intent, then sends the order. sent says that an earlier try may have arrived. The caller holds the
// sending token.
func (d *Dispatcher) dispatch(ctx context.Context, o apitypes.Order, sent bool) error {
	if o.ID == "" {
		o.ID = uuid.NewString()
	}
	o.Fence = d.o.Authority.FencingToken()
	intent := apitypes.Intent{Order: o, State: apitypes.IntentPending}
	if err := d.save(ctx, func(s *apitypes.PoolOrders) { setIntent(s, intent) }); err != nil {
		return err
	}
	return d.send(ctx, o, sent)
}

// TakeOver rewrites orders/<pool> with the dispatcher's own fencing number, so that a stale holder's next intent fails, and
// resolves the predecessor's intents.
func (d *Dispatcher) TakeOver(ctx context.Context) error {
	if err := d.take(ctx, d.sending); err != nil {
		return err
	}
	defer func() { <-d.sending }()
	ctx, cancel := d.bound(ctx)
	defer cancel()
	if err := d.rewrite(ctx); err != nil {
		return err
	}
	if err := d.resolveAll(ctx); err != nil && !errors.Is(err, ErrUnresolved) {
		return err
	}
	return nil
}

// rewrite puts the dispatcher's fencing number into the object. It reads again when the object changed under it: by a stale
// holder, whose number is smaller, or because the platform served an old read.
func (d *Dispatcher) rewrite(ctx context.Context) error {
	var wait httpplatform.Backoff
	for {
		if err := d.load(ctx); err != nil {
			return err
		}
		err := d.save(ctx, func(*apitypes.PoolOrders) {})
		if !errors.Is(err, ErrSuperseded) {
			return err
		}
		if wait.Wait(ctx) != nil {
			return d.ended(ctx)
		}
	}
}

// resolveAll deals with all intents without a final state.
func (d *Dispatcher) resolveAll(ctx context.Context) error {
	for _, i := range d.State().Intents {
		var err error
		switch i.State {
		case apitypes.IntentPending:
			err = d.resolve(ctx, i.Order)
		case apitypes.IntentAmbiguous:
			err = d.replace(ctx, i.Order)
		}
		if err != nil && !errors.Is(err, ErrRefused) && !errors.Is(err, ErrAbandoned) {
			return err
		}
	}
	return nil
}

// resolve sends an unresolved order again with the same id, or abandons its endpoint when a late copy of the predecessor's
// order could not be told from a new one.
func (d *Dispatcher) resolve(ctx context.Context, o apitypes.Order) error {
	if toProvider(o.Kind) {
		return d.dispatch(ctx, o, true)
	}
	e, known := d.o.LookupEndpoint(o.Endpoint)
	inherited := o.Fence != d.o.Authority.FencingToken()
	if inherited && !(known && e.ChecksFence) {
		return d.abandon(ctx, o, "sent by an earlier holder to an endpoint that does not check fencing numbers")
	}
	return d.dispatch(ctx, o, true)
}

// abandon marks an order ambiguous, drains its endpoint and orders a replacement.
func (d *Dispatcher) abandon(ctx context.Context, o apitypes.Order, reason string) error {
	err := d.save(ctx, func(s *apitypes.PoolOrders) {
		setIntent(s, apitypes.Intent{Order: o, State: apitypes.IntentAmbiguous, Reason: reason})
		if !slices.Contains(s.Abandoned, o.Endpoint) {
			s.Abandoned = append(s.Abandoned, o.Endpoint)
		}
		setEntry(&s.Drained, o.Endpoint, "ambiguous order "+o.ID+": "+reason)
	})
	if err != nil {
		return err
	}
	d.o.OnOutcome(o.Kind, apitypes.IntentAmbiguous)
	if err := d.replace(ctx, o); err != nil && !errors.Is(err, ErrRefused) {
		return err
	}
	return ErrAbandoned
}

// replace orders a substitute for the endpoint of an ambiguous order. Its id derives from the order, so a successor that
// repeats it gets one substitute. Removing the abandoned endpoint is left to the planner, since it may still run streams.
func (d *Dispatcher) replace(ctx context.Context, ambiguous apitypes.Order) error {
	if e, known := d.o.LookupEndpoint(ambiguous.Endpoint); known {
		err := d.dispatch(ctx, apitypes.Order{ID: "replace-" + ambiguous.ID, Kind: apitypes.OrderAdd,
			FailureDomain: e.FailureDomain, Class: e.Class}, true)
		if err != nil {
			return err
		}
	}
	return d.save(ctx, func(s *apitypes.PoolOrders) {
		s.Intents = slices.DeleteFunc(s.Intents, func(i apitypes.Intent) bool { return i.Order.ID == ambiguous.ID })
	})
}

// DrainReasonRemoved is the drain reason of an endpoint whose removal the provider has accepted. The entry stays
// until DeleteEndpointEntries, since gateways may list the endpoint for a while.
const DrainReasonRemoved = "removed"

// Drain lists an endpoint as drained, with the reason; gateways send it no new work. A removed endpoint is refused.
func (d *Dispatcher) Drain(ctx context.Context, endpoint, reason string) error {
	if d.State().Drained[endpoint] == DrainReasonRemoved {
		return errors.Wrapf(ErrRefused, "endpoint %s has been removed", endpoint)
	}
	return d.edit(ctx, func(s *apitypes.PoolOrders) { setEntry(&s.Drained, endpoint, reason) })
}

// Undrain removes an endpoint from the drained list. It returns ErrAbandoned for an abandoned endpoint, ErrRefused for a removed
// one, and ErrUnresolved while an order to the endpoint may still take effect.
func (d *Dispatcher) Undrain(ctx context.Context, endpoint string) error {
	s := d.State()
	switch {
	case slices.Contains(s.Abandoned, endpoint):
		return ErrAbandoned
	case s.Drained[endpoint] == DrainReasonRemoved:
		return errors.Wrapf(ErrRefused, "endpoint %s has been removed", endpoint)
	case slices.ContainsFunc(s.Intents, func(i apitypes.Intent) bool {
		return i.Order.Endpoint == endpoint && i.State == apitypes.IntentPending
	}):
		return ErrUnresolved
	}
	return d.edit(ctx, func(s *apitypes.PoolOrders) { delete(s.Drained, endpoint) })
}

// ResolvePending sends orders of unknown outcome again. It returns ErrUnresolved while one remains.
func (d *Dispatcher) ResolvePending(ctx context.Context) error {
	if err := d.take(ctx, d.sending); err != nil {
		return err
	}
	defer func() { <-d.sending }()
	ctx, cancel := d.bound(ctx)
	defer cancel()
	return d.resolveAll(ctx)
}

// Ping reads orders/<pool> once and returns an error when the platform does not answer.
func (d *Dispatcher) Ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, _, err := d.read(ctx)
	return err
}

// pingTimeout bounds one Ping.
const pingTimeout = 1500 * time.Millisecond

// ProviderEndpoint reads the provider's present entry of an endpoint. listed is false when the provider has none.
func (d *Dispatcher) ProviderEndpoint(ctx context.Context, name string) (e apitypes.Endpoint, listed bool, err error) {
	view, err := d.o.Provider.Endpoints(ctx, d.o.Pool)
	if err != nil {
		return e, false, err
	}
	i := slices.IndexFunc(view.Endpoints, func(e apitypes.Endpoint) bool { return e.Name == name })
	if i < 0 {
		return e, false, nil
	}
	return view.Endpoints[i], true, nil
}

// SetCleaned records the time of an endpoint's last cleaning.
func (d *Dispatcher) SetCleaned(ctx context.Context, endpoint string, at time.Time) error {
	return d.edit(ctx, func(s *apitypes.PoolOrders) { setEntry(&s.Cleaned, endpoint, at.UnixMilli()) })
}

// SetAllCleaned records the times of several endpoints' last cleanings in one write.
func (d *Dispatcher) SetAllCleaned(ctx context.Context, cleaned map[string]time.Time) error {
	return d.edit(ctx, func(s *apitypes.PoolOrders) {
		for endpoint, at := range cleaned {
			setEntry(&s.Cleaned, endpoint, at.UnixMilli())
		}
	})
}

// ClearCleaned forgets an endpoint's cleaning, for an endpoint that is gone.
func (d *Dispatcher) ClearCleaned(ctx context.Context, endpoint string) error {
	return d.edit(ctx, func(s *apitypes.PoolOrders) { delete(s.Cleaned, endpoint) })
}

// DeleteEndpointEntries drops all entries of an endpoint that the provider no longer lists.
func (d *Dispatcher) DeleteEndpointEntries(ctx context.Context, endpoint string) error {
	return d.edit(ctx, func(s *apitypes.PoolOrders) {
		delete(s.Drained, endpoint)
		delete(s.Cleaned, endpoint)
		s.Abandoned = slices.DeleteFunc(s.Abandoned, func(name string) bool { return name == endpoint })
	})
}

func (d *Dispatcher) edit(ctx context.Context, change func(*apitypes.PoolOrders)) error {
	ctx, cancel := d.bound(ctx)
	defer cancel()
	return d.save(ctx, change)
}

// bound returns a context that also ends with the authority.
func (d *Dispatcher) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(d.o.Authority.Context(), cancel)
	return ctx, func() { stop(); cancel() }
}

// take puts a token into a queue of one. Waiting senders are served in order of arrival.
func (d *Dispatcher) take(ctx context.Context, queue chan struct{}) error {
	select {
	case queue <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-d.o.Authority.Context().Done():
		return lease.ErrNoAuthority
	}
}

func toProvider(k apitypes.OrderKind) bool {
	return k == apitypes.OrderAdd || k == apitypes.OrderRemove || k == apitypes.OrderClean
}

// setIntent replaces resolved intents, and the intent with the same order id, by i.
func setIntent(s *apitypes.PoolOrders, i apitypes.Intent) {
	i.UpdatedAt = time.Now().UnixMilli()
	s.Intents = slices.DeleteFunc(s.Intents, func(old apitypes.Intent) bool {
		return old.Order.ID == i.Order.ID || old.State == apitypes.IntentDone || old.State == apitypes.IntentRefused
	})
	s.Intents = append(s.Intents, i)
}

func setEntry[V any](m *map[string]V, key string, value V) {
	if *m == nil {
		*m = make(map[string]V)
	}
	(*m)[key] = value
}

func clone(s apitypes.PoolOrders) apitypes.PoolOrders {
	s.Intents, s.Abandoned = slices.Clone(s.Intents), slices.Clone(s.Abandoned)
	s.Cleaned, s.Drained = maps.Clone(s.Cleaned), maps.Clone(s.Drained)
	return s
}
