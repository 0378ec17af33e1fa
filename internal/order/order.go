// Package order records and sends orders to engines and to the provider of endpoints, and takes over the orders of a previous lease
// holder.
//
// A Dispatcher belongs to one term of the lease "<pool>.orders". It writes an order's intent to the object orders/<pool> before it
// sends the order, has at most one unresolved intent per pool, and resolves the intents that the previous holder left unresolved.
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
	// ErrSuperseded is returned when another process has rewritten orders/<pool>; this write had no effect.
	ErrSuperseded = errors.New("order: another holder has taken over the pool; acquire the lease again")
	// ErrRefused is returned for an order that had no effect and will have none.
	ErrRefused = errors.New("order: refused; read the reason and plan again")
	// ErrAbandoned is returned for an endpoint that had an ambiguous order; it gets no further order except its removal.
	ErrAbandoned = errors.New("order: endpoint is abandoned after an ambiguous order; wait for its replacement")
	// ErrUnresolved is returned when the outcome of a provider order is unknown; the order is sent again, with the same id, before the
	// next order.
	ErrUnresolved = errors.New("order: no response from the provider; the order is sent again before the next one")
)

// DefaultSendTimeout limits the attempts to get a response to one order. It equals the lifetime of a lease: an endpoint that does not
// respond for that long is treated as lost.
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
	// SendTimeout limits the attempts to send one order; zero means DefaultSendTimeout.
	SendTimeout time.Duration
	// EndpointTLS configures TLS connections to engines; nil means the system's root CAs and no client certificate.
	EndpointTLS *auth.TLS
	// OnOutcome, when not nil, is called when the outcome of an order is recorded.
	OnOutcome func(apitypes.OrderKind, apitypes.IntentState)
	// EngineClient sends orders to engines; nil means the engines' control protocol over connections bound to Authority.
	EngineClient EngineClient
}

// Dispatcher sends the orders of one pool during one term. Its methods may be called concurrently.
type Dispatcher struct {
	opts Options
	// sendSem is a semaphore of one. Only its holder may have an unresolved intent.
	sendSem chan struct{}

	endpointSemsMu sync.Mutex
	// endpointSems holds a semaphore of one for each endpoint; an action holds it from BeginAction to End.
	endpointSems map[string]chan struct{}

	// writeSem is a semaphore of one that is held while the object is written. State does not wait for it.
	writeSem chan struct{}
	// mu guards state and version, the object as last read or written. After TakeOver only the holder of writeSem changes them.
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
		o.EngineClient = newHTTPEngineClient(o.Authority, o.EndpointTLS)
	}
	return &Dispatcher{opts: o, sendSem: make(chan struct{}, 1), writeSem: make(chan struct{}, 1), endpointSems: make(map[string]chan struct{})}
}

// State returns a copy of orders/<pool> as last written by this dispatcher.
func (d *Dispatcher) State() apitypes.PoolOrders {
	d.mu.Lock()
	defer d.mu.Unlock()
	return clone(d.state)
}

// Action is a sequence of orders to one endpoint with which the orders of no other action on that endpoint interleave. End must be
// called.
type Action struct {
	d        *Dispatcher
	endpoint string
	sem      chan struct{}
	once     sync.Once
}

// BeginAction waits until no other action runs on the endpoint and returns a new one.
func (d *Dispatcher) BeginAction(ctx context.Context, endpoint string) (*Action, error) {
	d.endpointSemsMu.Lock()
	sem, ok := d.endpointSems[endpoint]
	if !ok {
		sem = make(chan struct{}, 1)
		d.endpointSems[endpoint] = sem
	}
	d.endpointSemsMu.Unlock()
	if err := d.acquire(ctx, sem); err != nil {
		return nil, err
	}
	return &Action{d: d, endpoint: endpoint, sem: sem}, nil
}

// End ends the action, so that the next one on the endpoint can begin.
func (a *Action) End() { a.once.Do(func() { <-a.sem }) }

// Submit sends an order to the action's endpoint and returns once its outcome is known.
func (a *Action) Submit(ctx context.Context, o apitypes.Order) error {
	if o.Endpoint != a.endpoint {
		return errors.Errorf("order for endpoint %q in an action on %q; begin an action on the right endpoint", o.Endpoint, a.endpoint)
	}
	return a.d.submit(ctx, o)
}

// Submit waits for other actions on the order's endpoint, sends the order and returns once its outcome is known. It sets an empty id,
// and the fencing token. Submitting an order again with the same id has no second effect.
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
	if err := d.acquire(ctx, d.sendSem); err != nil {
		return err
	}
	defer func() { <-d.sendSem }()
	ctx, cancel := d.withAuthority(ctx)
	defer cancel()
	if err := d.resolveIntents(ctx); err != nil {
		return err
	}
	if slices.Contains(d.State().Abandoned, o.Endpoint) && o.Kind != apitypes.OrderRemove {
		return ErrAbandoned
	}
	if _, known := d.opts.LookupEndpoint(o.Endpoint); !known && !isProviderOrder(o.Kind) {
		return errors.Wrapf(ErrRefused, "endpoint %q is not known in pool %q", o.Endpoint, d.opts.Pool)
	}
	return d.dispatch(ctx, o, false)
}

// dispatch writes the intent, then sends the order. maybeSent is true when an earlier attempt may have arrived. The caller holds
// sendSem.
func (d *Dispatcher) dispatch(ctx context.Context, o apitypes.Order, maybeSent bool) error {
	if o.ID == "" {
		o.ID = uuid.NewString()
	}
	o.Fence = d.opts.Authority.FencingToken()
	intent := apitypes.Intent{Order: o, State: apitypes.IntentPending}
	if err := d.save(ctx, func(s *apitypes.PoolOrders) { setIntent(s, intent) }); err != nil {
		return err
	}
	return d.send(ctx, o, maybeSent)
}

// TakeOver rewrites orders/<pool> with the dispatcher's own fencing token, so that a stale holder's next write of an intent fails, and
// resolves the previous holder's intents. An order to which the provider does not respond stays pending and is not an error.
func (d *Dispatcher) TakeOver(ctx context.Context) error {
	if err := d.acquire(ctx, d.sendSem); err != nil {
		return err
	}
	defer func() { <-d.sendSem }()
	ctx, cancel := d.withAuthority(ctx)
	defer cancel()
	if err := d.writeFencingToken(ctx); err != nil {
		return err
	}
	if err := d.resolveIntents(ctx); err != nil && !errors.Is(err, ErrUnresolved) {
		return err
	}
	return nil
}

// writeFencingToken writes the dispatcher's fencing token to the object. On a conflict it reads the object again: a stale holder, whose
// token is smaller, has written it, or the platform returned an outdated read.
func (d *Dispatcher) writeFencingToken(ctx context.Context) error {
	var backoff httpplatform.Backoff
	for {
		if err := d.load(ctx); err != nil {
			return err
		}
		err := d.save(ctx, func(*apitypes.PoolOrders) {})
		if !errors.Is(err, ErrSuperseded) {
			return err
		}
		if backoff.Wait(ctx) != nil {
			return d.stopCause(ctx)
		}
	}
}

// resolveIntents resolves all intents that have no final state.
func (d *Dispatcher) resolveIntents(ctx context.Context) error {
	for _, intent := range d.State().Intents {
		var err error
		switch intent.State {
		case apitypes.IntentPending:
			err = d.resolveOrder(ctx, intent.Order)
		case apitypes.IntentAmbiguous:
			err = d.orderReplacement(ctx, intent.Order)
		}
		if err != nil && !errors.Is(err, ErrRefused) && !errors.Is(err, ErrAbandoned) {
			return err
		}
	}
	return nil
}

// resolveOrder sends an unresolved order again with the same id. It abandons the endpoint instead when the order is from an earlier
// holder and the engine does not check fencing tokens, because the engine can't distinguish a late copy of that order from a new one.
func (d *Dispatcher) resolveOrder(ctx context.Context, o apitypes.Order) error {
	if isProviderOrder(o.Kind) {
		return d.dispatch(ctx, o, true)
	}
	e, known := d.opts.LookupEndpoint(o.Endpoint)
	inherited := o.Fence != d.opts.Authority.FencingToken()
	if inherited && !(known && e.ChecksFence) {
		return d.abandon(ctx, o, "sent by an earlier holder to an endpoint that does not check fencing numbers")
	}
	return d.dispatch(ctx, o, true)
}

// abandon marks an order as ambiguous, drains its endpoint and orders a replacement.
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
	d.opts.OnOutcome(o.Kind, apitypes.IntentAmbiguous)
	if err := d.orderReplacement(ctx, o); err != nil && !errors.Is(err, ErrRefused) {
		return err
	}
	return ErrAbandoned
}

// orderReplacement orders a replacement for the endpoint of an ambiguous order and deletes the ambiguous intent. The id of the new
// order is derived from the ambiguous order, so that a successor that repeats it adds no second endpoint. The abandoned endpoint may
// still run streams, so its removal is left to package duty.
func (d *Dispatcher) orderReplacement(ctx context.Context, ambiguous apitypes.Order) error {
	if e, known := d.opts.LookupEndpoint(ambiguous.Endpoint); known {
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

// Drain marks an endpoint as drained, with the reason; gateways send it no new work. It returns ErrRefused for a removed endpoint.
func (d *Dispatcher) Drain(ctx context.Context, endpoint, reason string) error {
	if d.State().Drained[endpoint] == DrainReasonRemoved {
		return errors.Wrapf(ErrRefused, "endpoint %s has been removed", endpoint)
	}
	return d.update(ctx, func(s *apitypes.PoolOrders) { setEntry(&s.Drained, endpoint, reason) })
}

// Undrain ends the drain of an endpoint. It returns ErrAbandoned for an abandoned endpoint, ErrRefused for a removed
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
	return d.update(ctx, func(s *apitypes.PoolOrders) { delete(s.Drained, endpoint) })
}

// ResolvePending sends orders with an unknown outcome again. It returns ErrUnresolved while the outcome of one is still unknown.
func (d *Dispatcher) ResolvePending(ctx context.Context) error {
	if err := d.acquire(ctx, d.sendSem); err != nil {
		return err
	}
	defer func() { <-d.sendSem }()
	ctx, cancel := d.withAuthority(ctx)
	defer cancel()
	return d.resolveIntents(ctx)
}

// Ping reads orders/<pool> once and returns an error when the platform does not respond.
func (d *Dispatcher) Ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, _, err := d.read(ctx)
	return err
}

// pingTimeout limits one Ping.
const pingTimeout = 1500 * time.Millisecond

// ProviderEndpoint reads the provider's current entry of an endpoint. listed is false when the provider has none.
func (d *Dispatcher) ProviderEndpoint(ctx context.Context, name string) (e apitypes.Endpoint, listed bool, err error) {
	view, err := d.opts.Provider.Endpoints(ctx, d.opts.Pool)
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
	return d.update(ctx, func(s *apitypes.PoolOrders) { setEntry(&s.Cleaned, endpoint, at.UnixMilli()) })
}

// SetAllCleaned records the times of several endpoints' last cleanings in one write.
func (d *Dispatcher) SetAllCleaned(ctx context.Context, cleaned map[string]time.Time) error {
	return d.update(ctx, func(s *apitypes.PoolOrders) {
		for endpoint, at := range cleaned {
			setEntry(&s.Cleaned, endpoint, at.UnixMilli())
		}
	})
}

// ClearCleaned deletes the time of an endpoint's last cleaning, for an endpoint that no longer exists.
func (d *Dispatcher) ClearCleaned(ctx context.Context, endpoint string) error {
	return d.update(ctx, func(s *apitypes.PoolOrders) { delete(s.Cleaned, endpoint) })
}

// DeleteEndpointEntries deletes all entries of an endpoint that the provider no longer lists.
func (d *Dispatcher) DeleteEndpointEntries(ctx context.Context, endpoint string) error {
	return d.update(ctx, func(s *apitypes.PoolOrders) {
		delete(s.Drained, endpoint)
		delete(s.Cleaned, endpoint)
		s.Abandoned = slices.DeleteFunc(s.Abandoned, func(name string) bool { return name == endpoint })
	})
}

// update changes orders/<pool> as save does, but stops when the authority ends.
func (d *Dispatcher) update(ctx context.Context, change func(*apitypes.PoolOrders)) error {
	ctx, cancel := d.withAuthority(ctx)
	defer cancel()
	return d.save(ctx, change)
}

// withAuthority returns a context that also ends when the authority ends.
func (d *Dispatcher) withAuthority(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(d.opts.Authority.Context(), cancel)
	return ctx, func() { stop(); cancel() }
}

// acquire acquires a semaphore of one. Waiters get it in order of arrival. It returns an error when ctx or the authority ends first.
func (d *Dispatcher) acquire(ctx context.Context, sem chan struct{}) error {
	select {
	case sem <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-d.opts.Authority.Context().Done():
		return lease.ErrNoAuthority
	}
}

func isProviderOrder(k apitypes.OrderKind) bool {
	return k == apitypes.OrderAdd || k == apitypes.OrderRemove || k == apitypes.OrderClean
}

// setIntent adds i and deletes the intents that are done or refused and the earlier intent with the same order id.
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
