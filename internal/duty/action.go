package duty

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/order"
)

// carryOut runs one action on an endpoint from drain to return. No request is cut: the endpoint gets no new work, its last
// stream ends, and only then it gets its order. After an error the endpoint stays drained, because an order may still take
// effect; startLeftOver returns it to service.
func (o *OrdersDuty) carryOut(ctx context.Context, d *order.Dispatcher, p Proposal) error {
	action, err := d.BeginAction(ctx, p.Endpoint)
	if err != nil {
		return err
	}
	defer action.End()
	if err := o.empty(ctx, d, p); err != nil {
		return err
	}
	switch p.Kind {
	case apitypes.OrderClean:
		err = o.clean(ctx, d, action, p)
	case apitypes.OrderRemove:
		return action.Submit(ctx, apitypes.Order{Kind: apitypes.OrderRemove, Endpoint: p.Endpoint})
	default:
		err = o.change(ctx, action, p)
	}
	if err != nil {
		return err
	}
	return d.Undrain(ctx, p.Endpoint)
}

// empty drains the endpoint and waits for its last stream. A drain that takes too long is withdrawn, except that an abandoned
// endpoint without any report in all that time is taken for lost.
func (o *OrdersDuty) empty(ctx context.Context, d *order.Dispatcher, p Proposal) error {
	if err := d.Drain(ctx, p.Endpoint, string(p.Kind)+": "+p.Reason); err != nil {
		return err
	}
	if err := o.awaitSettled(ctx, d); err != nil {
		return err
	}
	since := time.Now()
	err := o.await(ctx, p.Endpoint, emptyWithin, func(e EndpointView) bool { return e.IsIdleSince(since) })
	if !errors.Is(err, errLate) {
		return err
	}
	if !slices.Contains(d.State().Abandoned, p.Endpoint) {
		return errors.Join(ErrNotDrained, d.Undrain(ctx, p.Endpoint))
	}
	if e, ok := o.viewOf(p.Endpoint); ok && e.ReportedAt.After(since) {
		return ErrNotDrained
	}
	return nil
}

// awaitSettled waits until every gateway has had the settle time to learn of a drain. Gateways learn nothing during an outage of
// the platform and serve on, so the time counts anew after each read that fails.
func (o *OrdersDuty) awaitSettled(ctx context.Context, d *order.Dispatcher) error {
	for since := time.Now(); time.Since(since) < o.settleTime(); {
		if !ctxtime.Sleep(ctx, min(settlePollEvery, o.settleTime())) {
			return ctx.Err()
		}
		if d.Ping(ctx) != nil {
			since = time.Now()
		}
	}
	return nil
}

// change sends an engine order and waits until the engine serves again.
func (o *OrdersDuty) change(ctx context.Context, action *order.Action, p Proposal) error {
	if err := action.Submit(ctx, apitypes.Order{Kind: p.Kind, Endpoint: p.Endpoint, Value: p.Value}); err != nil {
		return err
	}
	sent := time.Now()
	return o.await(ctx, p.Endpoint, changeWithin, func(e EndpointView) bool { return e.ReportedAt.After(sent) && !e.Load.Changing })
}

// clean has an empty endpoint cleaned by the provider: drain order, clean order, check, resume order. Plain services take no
// orders and are only cleaned.
func (o *OrdersDuty) clean(ctx context.Context, d *order.Dispatcher, action *order.Action, p Proposal) error {
	pool, _ := o.Fleet.Pool(o.Pool)
	if pool.Kind == apitypes.PoolEngine {
		if err := action.Submit(ctx, apitypes.Order{Kind: apitypes.OrderDrain, Endpoint: p.Endpoint}); err != nil {
			return err
		}
	}
	if err := action.Submit(ctx, apitypes.Order{Kind: apitypes.OrderClean, Endpoint: p.Endpoint}); err != nil {
		return err
	}
	if err := o.awaitIdle(ctx, d, p.Endpoint); err != nil {
		return err
	}
	if pool.Kind == apitypes.PoolEngine {
		if err := action.Submit(ctx, apitypes.Order{Kind: apitypes.OrderResume, Endpoint: p.Endpoint}); err != nil {
			return err
		}
	}
	return d.SetCleaned(ctx, p.Endpoint, time.Now())
}

// awaitIdle waits until neither the provider cleans the endpoint nor an order changes it. The provider is asked directly: the
// fleet's list lags and may show the state before the clean order.
func (o *OrdersDuty) awaitIdle(ctx context.Context, d *order.Dispatcher, endpoint string) error {
	end := time.Now().Add(cleanWithin)
	for {
		e, listed, err := d.ProviderEndpoint(ctx, endpoint)
		if err == nil && (!listed || e.State != apitypes.EndpointCleaning) {
			break
		}
		if time.Now().After(end) {
			return errLate
		}
		if !ctxtime.Sleep(ctx, providerPollEvery) {
			return ctx.Err()
		}
	}
	since := time.Now()
	return o.await(ctx, endpoint, cleanWithin, func(e EndpointView) bool {
		return e.State != apitypes.EndpointCleaning && !e.Load.Changing && e.ReportedAt.After(since)
	})
}

// startLeftOver finishes what a predecessor or a failed action left half done: an order without answer is resolved, an abandoned
// endpoint is removed, an endpoint that is still drained for an action returns to service, and entries of endpoints that are gone
// are dropped. It returns true when it started an action. An operator's drain is part of the pool's configuration and is not
// touched.
func (o *OrdersDuty) startLeftOver(a *lease.Authority, d *order.Dispatcher, v PoolView, s apitypes.PoolOrders, actions *sync.WaitGroup) bool {
	if i := slices.IndexFunc(s.Intents, unresolved); i >= 0 {
		o.run(a, Proposal{Kind: s.Intents[i].Order.Kind, Endpoint: s.Intents[i].Order.Endpoint, Reason: "order without answer"}, actions, d.ResolvePending)
		return true
	}
	listed := make(map[string]bool)
	for _, e := range v.Endpoints {
		listed[e.Name] = true
		if e.DrainReason == "" || e.DrainReason == order.DrainReasonRemoved {
			continue
		}
		if e.Abandoned {
			o.start(a, d, Proposal{Kind: apitypes.OrderRemove, Endpoint: e.Name, Reason: "ambiguous order"}, actions)
			return true
		}
		o.run(a, Proposal{Kind: apitypes.OrderResume, Endpoint: e.Name, Reason: "unfinished action"}, actions, func(ctx context.Context) error {
			return o.giveBack(ctx, d, e.Name, v.Pool.Kind)
		})
		return true
	}
	for _, name := range slices.Sorted(maps.Keys(entries(s))) {
		if !listed[name] {
			o.run(a, Proposal{Kind: apitypes.OrderRemove, Endpoint: name, Reason: "endpoint is gone"}, actions, func(ctx context.Context) error {
				return o.forgetGone(ctx, d, name)
			})
			return true
		}
	}
	return false
}

// unresolved tells whether an order may still take effect. While no action runs nobody waits for its outcome.
func unresolved(i apitypes.Intent) bool {
	return i.State == apitypes.IntentPending || i.State == apitypes.IntentAmbiguous
}

// entries returns the endpoints that have an entry in the pool's orders.
func entries(s apitypes.PoolOrders) map[string]bool {
	names := make(map[string]bool)
	for name := range s.Drained {
		names[name] = true
	}
	for name := range s.Cleaned {
		names[name] = true
	}
	for _, name := range s.Abandoned {
		names[name] = true
	}
	return names
}

// forgetGone drops the entries of an endpoint that neither the fleet nor the provider has listed for the settle time. Other
// processes may still route to it until then.
func (o *OrdersDuty) forgetGone(ctx context.Context, d *order.Dispatcher, name string) error {
	if !ctxtime.Sleep(ctx, o.settleTime()) {
		return ctx.Err()
	}
	_, listed, err := d.ProviderEndpoint(ctx, name)
	if err != nil {
		return err
	}
	if _, known := o.viewOf(name); known || listed {
		return nil
	}
	return d.DeleteEndpointEntries(ctx, name)
}

// giveBack returns a drained endpoint to service after an unfinished action, once no order to it is unresolved.
func (o *OrdersDuty) giveBack(ctx context.Context, d *order.Dispatcher, name string, kind apitypes.PoolKind) error {
	action, err := d.BeginAction(ctx, name)
	if err != nil {
		return err
	}
	defer action.End()
	if err := d.ResolvePending(ctx); err != nil {
		return err
	}
	if d.State().Drained[name] == order.DrainReasonRemoved {
		return nil
	}
	if err := o.awaitIdle(ctx, d, name); err != nil {
		return err
	}
	if e, _ := o.viewOf(name); kind == apitypes.PoolEngine && e.Load.Draining {
		if err := action.Submit(ctx, apitypes.Order{Kind: apitypes.OrderResume, Endpoint: name}); err != nil {
			return err
		}
	}
	return d.Undrain(ctx, name)
}

// errLate ends a wait whose limit is over.
var errLate = errors.New("duty: the endpoint did not reach the expected state in time; check it with 'crocusgladectl endpoints'")

// await polls the endpoint's view until ready accepts it, the limit is over or ctx ends. An endpoint that has left is an error.
func (o *OrdersDuty) await(ctx context.Context, endpoint string, limit time.Duration, ready func(EndpointView) bool) error {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		e, ok := o.viewOf(endpoint)
		if !ok {
			return errors.Errorf("duty: endpoint %s has left the pool; plan again", endpoint)
		}
		if ready(e) {
			return nil
		}
		if !ctxtime.Sleep(ctx, pollEvery) {
			return ctx.Err()
		}
	}
	return errLate
}

func (o *OrdersDuty) settleTime() time.Duration {
	if o.DrainPropagationDelay > 0 {
		return o.DrainPropagationDelay
	}
	return settle
}
