package duty

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/order"
	"crocusglade.example/crocusglade/internal/world"

	"sync"
)

// carryOut runs one action on an endpoint from drain to return. No request is cut: the endpoint gets no new work, its last
// stream ends, and only then it gets its order.
func (o *Orders) carryOut(ctx context.Context, d *order.Dispatcher, p Proposal) error {
	action, err := d.Begin(ctx, p.Endpoint)
	if err != nil {
		return err
	}
	defer action.End()
	if err := o.empty(ctx, d, p); err != nil {
		return err
	}
	switch p.Kind {
	case world.OrderClean:
		err = o.clean(ctx, d, action, p)
	case world.OrderRemove:
		return o.remove(ctx, d, action, p)
	default:
		err = o.change(ctx, action, p)
	}
	if err != nil && errors.Is(err, order.ErrAbandoned) {
		return err
	}
	return errors.Join(err, d.Undrain(ctx, p.Endpoint))
}

// empty drains the endpoint and waits for its last stream. A drain that takes too long is withdrawn.
func (o *Orders) empty(ctx context.Context, d *order.Dispatcher, p Proposal) error {
	if err := d.Drain(ctx, p.Endpoint, string(p.Kind)+": "+p.Reason); err != nil {
		return err
	}
	if !pause(ctx, o.settleTime()) {
		return ctx.Err()
	}
	since := time.Now()
	err := o.await(ctx, p.Endpoint, emptyWithin, func(e EndpointView) bool { return e.Empty(since) })
	if errors.Is(err, errLate) {
		return errors.Join(ErrNotDrained, d.Undrain(ctx, p.Endpoint))
	}
	return err
}

// change sends an engine order and waits until the engine serves again.
func (o *Orders) change(ctx context.Context, action *order.Action, p Proposal) error {
	if err := action.Submit(ctx, world.Order{Kind: p.Kind, Endpoint: p.Endpoint, Value: p.Value}); err != nil {
		return err
	}
	sent := time.Now()
	return o.await(ctx, p.Endpoint, changeWithin, func(e EndpointView) bool { return e.ReportedAt.After(sent) && !e.Load.Changing })
}

// clean has an empty endpoint cleaned by the provider: drain order, clean order, check, resume order. Plain services take no
// orders and are only cleaned.
func (o *Orders) clean(ctx context.Context, d *order.Dispatcher, action *order.Action, p Proposal) error {
	pool, _ := o.Fleet.Pool(o.Pool)
	if pool.Kind == world.PoolEngine {
		if err := action.Submit(ctx, world.Order{Kind: world.OrderDrain, Endpoint: p.Endpoint}); err != nil {
			return err
		}
	}
	if err := action.Submit(ctx, world.Order{Kind: world.OrderClean, Endpoint: p.Endpoint}); err != nil {
		return err
	}
	sent := time.Now()
	err := o.await(ctx, p.Endpoint, cleanWithin, func(e EndpointView) bool {
		return e.State != world.EndpointCleaning && e.ReportedAt.After(sent)
	})
	if err != nil {
		return err
	}
	if pool.Kind == world.PoolEngine {
		if err := action.Submit(ctx, world.Order{Kind: world.OrderResume, Endpoint: p.Endpoint}); err != nil {
			return err
		}
	}
	return d.SetCleaned(ctx, p.Endpoint, time.Now())
}

// remove gives an empty endpoint back to the provider.
func (o *Orders) remove(ctx context.Context, d *order.Dispatcher, action *order.Action, p Proposal) error {
	if err := action.Submit(ctx, world.Order{Kind: world.OrderRemove, Endpoint: p.Endpoint}); err != nil {
		return err
	}
	return d.Forget(ctx, p.Endpoint)
}

// startLeftOver finishes what a predecessor left half done: an abandoned endpoint is removed once it is replaced, and an endpoint that
// is still drained for an action returns to service. It returns true when it started an action.
func (o *Orders) startLeftOver(a *lease.Authority, d *order.Dispatcher, v PoolView, actions *sync.WaitGroup) bool {
	for _, e := range v.Endpoints {
		if e.Drained == "" {
			continue
		}
		if e.Abandoned {
			o.start(a, d, Proposal{Kind: world.OrderRemove, Endpoint: e.Name, Reason: "ambiguous order"}, actions)
			return true
		}
		o.setLosing(e.Name)
		name, needsResume := e.Name, v.Pool.Kind == world.PoolEngine && e.Load.Draining
		actions.Go(func() {
			defer o.setLosing("")
			o.finish(Proposal{Kind: world.OrderResume, Endpoint: name}, o.giveBack(a.Context(), d, name, needsResume))
		})
		return true
	}
	return false
}

// giveBack returns a drained endpoint to service after an unfinished action.
func (o *Orders) giveBack(ctx context.Context, d *order.Dispatcher, name string, needsResume bool) error {
	action, err := d.Begin(ctx, name)
	if err != nil {
		return err
	}
	defer action.End()
	err = o.await(ctx, name, cleanWithin, func(e EndpointView) bool {
		return e.State != world.EndpointCleaning && !e.Load.Changing && !e.ReportedAt.IsZero()
	})
	if err != nil {
		return err
	}
	if needsResume {
		if err := action.Submit(ctx, world.Order{Kind: world.OrderResume, Endpoint: name}); err != nil {
			return err
		}
	}
	return d.Undrain(ctx, name)
}

// errLate ends a wait whose limit is over.
var errLate = errors.New("duty: the endpoint did not reach the expected state in time; check it with 'crocusgladectl endpoints'")

// await polls the endpoint's view until ready accepts it, the limit is over or ctx ends. An endpoint that has left is an error.
func (o *Orders) await(ctx context.Context, endpoint string, limit time.Duration, ready func(EndpointView) bool) error {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		e, ok := o.viewOf(endpoint)
		if !ok {
			return errors.Errorf("duty: endpoint %s has left the pool; plan again", endpoint)
		}
		if ready(e) {
			return nil
		}
		if !pause(ctx, pollEvery) {
			return ctx.Err()
		}
	}
	return errLate
}

func (o *Orders) settleTime() time.Duration {
	if o.Settle > 0 {
		return o.Settle
	}
	return settle
}

// pause sleeps and returns false when ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
