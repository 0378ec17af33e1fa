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

// executeProposal drains the endpoint, sends it the proposed order and returns it to service. No request is interrupted: the order
// is sent only after the endpoint gets no new work and its last stream has ended. After an error the endpoint stays drained, because
// an order may still take effect; startRecovery returns it to service.
func (o *OrdersDuty) executeProposal(ctx context.Context, d *order.Dispatcher, p Proposal) error {
	action, err := d.BeginAction(ctx, p.Endpoint)
	if err != nil {
		return err
	}
	defer action.End()
	if err := o.drainEndpoint(ctx, d, p); err != nil {
		return err
	}
	switch p.Kind {
	case apitypes.OrderClean:
		err = o.cleanEndpoint(ctx, d, action, p)
	case apitypes.OrderRemove:
		return action.Submit(ctx, apitypes.Order{Kind: apitypes.OrderRemove, Endpoint: p.Endpoint})
	default:
		err = o.changeEngine(ctx, action, p)
	}
	if err != nil {
		return err
	}
	return d.Undrain(ctx, p.Endpoint)
}

// drainEndpoint drains the endpoint and waits for its last stream to end. After drainTimeout it withdraws the drain and returns
// ErrNotDrained. The drain of an abandoned endpoint stays; if the endpoint has sent no report since the drain, it is treated as
// lost and the error is nil.
func (o *OrdersDuty) drainEndpoint(ctx context.Context, d *order.Dispatcher, p Proposal) error {
	if err := d.Drain(ctx, p.Endpoint, string(p.Kind)+": "+p.Reason); err != nil {
		return err
	}
	if err := o.awaitDrainPropagation(ctx, d); err != nil {
		return err
	}
	since := time.Now()
	err := o.awaitEndpoint(ctx, p.Endpoint, drainTimeout, func(e EndpointView) bool { return e.IsIdleSince(since) })
	if !errors.Is(err, errWaitTimeout) {
		return err
	}
	if !slices.Contains(d.State().Abandoned, p.Endpoint) {
		return errors.Join(ErrNotDrained, d.Undrain(ctx, p.Endpoint))
	}
	if e, ok := o.endpointView(p.Endpoint); ok && e.ReportedAt.After(since) {
		return ErrNotDrained
	}
	return nil
}

// awaitDrainPropagation waits until every gateway has had the drain propagation delay to apply a drain. During an outage of the
// platform gateways receive no drains and keep sending work, so the delay starts again after each failed read.
func (o *OrdersDuty) awaitDrainPropagation(ctx context.Context, d *order.Dispatcher) error {
	for since := time.Now(); time.Since(since) < o.drainPropagationDelay(); {
		if !ctxtime.Sleep(ctx, min(pingEvery, o.drainPropagationDelay())) {
			return ctx.Err()
		}
		if d.Ping(ctx) != nil {
			since = time.Now()
		}
	}
	return nil
}

// changeEngine sends an engine order and waits for a later report that shows no change in progress.
func (o *OrdersDuty) changeEngine(ctx context.Context, action *order.Action, p Proposal) error {
	if err := action.Submit(ctx, apitypes.Order{Kind: p.Kind, Endpoint: p.Endpoint, Value: p.Value}); err != nil {
		return err
	}
	sentAt := time.Now()
	return o.awaitEndpoint(ctx, p.Endpoint, changeTimeout, func(e EndpointView) bool { return e.ReportedAt.After(sentAt) && !e.Load.Changing })
}

// cleanEndpoint has the provider clean a drained endpoint: it sends the drain order and the clean order, waits for the end of the
// cleaning and sends the resume order. Endpoints that are not engines accept no orders and are only cleaned.
func (o *OrdersDuty) cleanEndpoint(ctx context.Context, d *order.Dispatcher, action *order.Action, p Proposal) error {
	pool, _ := o.Fleet.Pool(o.Pool)
	if pool.Kind == apitypes.PoolEngine {
		if err := action.Submit(ctx, apitypes.Order{Kind: apitypes.OrderDrain, Endpoint: p.Endpoint}); err != nil {
			return err
		}
	}
	if err := action.Submit(ctx, apitypes.Order{Kind: apitypes.OrderClean, Endpoint: p.Endpoint}); err != nil {
		return err
	}
	if err := o.awaitNoOngoingChange(ctx, d, p.Endpoint); err != nil {
		return err
	}
	if pool.Kind == apitypes.PoolEngine {
		if err := action.Submit(ctx, apitypes.Order{Kind: apitypes.OrderResume, Endpoint: p.Endpoint}); err != nil {
			return err
		}
	}
	return d.SetCleaned(ctx, p.Endpoint, time.Now())
}

// awaitNoOngoingChange waits until neither the provider is cleaning the endpoint nor an order is changing it. It queries the
// provider directly, because the fleet's list lags and may show the state from before the clean order.
func (o *OrdersDuty) awaitNoOngoingChange(ctx context.Context, d *order.Dispatcher, endpoint string) error {
	deadline := time.Now().Add(cleanTimeout)
	for {
		e, listed, err := d.ProviderEndpoint(ctx, endpoint)
		if err == nil && (!listed || e.State != apitypes.EndpointCleaning) {
			break
		}
		if time.Now().After(deadline) {
			return errWaitTimeout
		}
		if !ctxtime.Sleep(ctx, providerPollEvery) {
			return ctx.Err()
		}
	}
	since := time.Now()
	return o.awaitEndpoint(ctx, endpoint, cleanTimeout, func(e EndpointView) bool {
		return e.State != apitypes.EndpointCleaning && !e.Load.Changing && e.ReportedAt.After(since)
	})
}

// startRecovery starts at most one action to finish what a previous holder or a failed action left unfinished, and reports whether
// it started one. It resolves orders whose outcome is unknown, removes abandoned endpoints, returns endpoints that are still drained
// for an action to service, and deletes the entries of endpoints that no longer exist. It does not change an operator's drain, which
// is part of the pool's configuration.
func (o *OrdersDuty) startRecovery(a *lease.Authority, d *order.Dispatcher, v PoolView, s apitypes.PoolOrders, actions *sync.WaitGroup) bool {
	if i := slices.IndexFunc(s.Intents, isUnresolved); i >= 0 {
		o.startAction(a, Proposal{Kind: s.Intents[i].Order.Kind, Endpoint: s.Intents[i].Order.Endpoint, Reason: "order without answer"}, actions, d.ResolvePending)
		return true
	}
	listed := make(map[string]bool)
	for _, e := range v.Endpoints {
		listed[e.Name] = true
		if e.DrainReason == "" || e.DrainReason == order.DrainReasonRemoved {
			continue
		}
		if e.Abandoned {
			o.startProposal(a, d, Proposal{Kind: apitypes.OrderRemove, Endpoint: e.Name, Reason: "ambiguous order"}, actions)
			return true
		}
		o.startAction(a, Proposal{Kind: apitypes.OrderResume, Endpoint: e.Name, Reason: "unfinished action"}, actions, func(ctx context.Context) error {
			return o.returnToService(ctx, d, e.Name, v.Pool.Kind)
		})
		return true
	}
	for _, name := range slices.Sorted(maps.Keys(endpointsWithEntries(s))) {
		if !listed[name] {
			o.startAction(a, Proposal{Kind: apitypes.OrderRemove, Endpoint: name, Reason: "endpoint is gone"}, actions, func(ctx context.Context) error {
				return o.deleteStaleEntries(ctx, d, name)
			})
			return true
		}
	}
	return false
}

// isUnresolved reports whether an order may still take effect. While no action runs, no other code waits for its outcome.
func isUnresolved(i apitypes.Intent) bool {
	return i.State == apitypes.IntentPending || i.State == apitypes.IntentAmbiguous
}

// endpointsWithEntries returns the names of the endpoints that have an entry in the pool's orders object.
func endpointsWithEntries(s apitypes.PoolOrders) map[string]bool {
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

// deleteStaleEntries deletes the entries of an endpoint that neither the fleet nor the provider lists after the drain propagation
// delay. Until then other processes may still route to it.
func (o *OrdersDuty) deleteStaleEntries(ctx context.Context, d *order.Dispatcher, name string) error {
	if !ctxtime.Sleep(ctx, o.drainPropagationDelay()) {
		return ctx.Err()
	}
	_, listed, err := d.ProviderEndpoint(ctx, name)
	if err != nil {
		return err
	}
	if _, known := o.endpointView(name); known || listed {
		return nil
	}
	return d.DeleteEndpointEntries(ctx, name)
}

// returnToService returns a drained endpoint to service after an unfinished action, once no order to it is unresolved.
func (o *OrdersDuty) returnToService(ctx context.Context, d *order.Dispatcher, name string, kind apitypes.PoolKind) error {
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
	if err := o.awaitNoOngoingChange(ctx, d, name); err != nil {
		return err
	}
	if e, _ := o.endpointView(name); kind == apitypes.PoolEngine && e.Load.Draining {
		if err := action.Submit(ctx, apitypes.Order{Kind: apitypes.OrderResume, Endpoint: name}); err != nil {
			return err
		}
	}
	return d.Undrain(ctx, name)
}

// errWaitTimeout is returned when an endpoint does not reach the awaited state within the limit.
var errWaitTimeout = errors.New("duty: the endpoint did not reach the expected state in time; check it with 'crocusgladectl endpoints'")

// awaitEndpoint polls the endpoint's view until ready returns true. It returns errWaitTimeout after the limit, the context's error
// when ctx ends, and an error when the endpoint is no longer in the pool.
func (o *OrdersDuty) awaitEndpoint(ctx context.Context, endpoint string, limit time.Duration, ready func(EndpointView) bool) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		e, ok := o.endpointView(endpoint)
		if !ok {
			return errors.Errorf("duty: endpoint %s is no longer in the pool; plan again", endpoint)
		}
		if ready(e) {
			return nil
		}
		if !ctxtime.Sleep(ctx, reportPollEvery) {
			return ctx.Err()
		}
	}
	return errWaitTimeout
}

func (o *OrdersDuty) drainPropagationDelay() time.Duration {
	if o.DrainPropagationDelay > 0 {
		return o.DrainPropagationDelay
	}
	return defaultDrainPropagationDelay
}
