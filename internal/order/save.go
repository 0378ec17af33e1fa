package order

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/objectstore/httpplatform"
)

// load reads orders/<pool> for TakeOver and retries while the platform is unavailable. It returns ErrSuperseded when the object has a
// higher fencing token.
func (d *Dispatcher) load(ctx context.Context) error {
	var backoff httpplatform.Backoff
	for {
		state, version, err := d.read(ctx)
		if err == nil || errors.Is(err, objectstore.ErrNotFound) {
			if state.Fence > d.opts.Authority.FencingToken() {
				return ErrSuperseded
			}
			d.setState(state, version)
			return nil
		}
		if !isTransient(err) {
			return err
		}
		if backoff.Wait(ctx) != nil {
			return d.stopCause(ctx)
		}
	}
}

func (d *Dispatcher) read(ctx context.Context) (apitypes.PoolOrders, uint64, error) {
	var state apitypes.PoolOrders
	o, err := d.opts.Store.Get(ctx, apitypes.KindOrders, d.opts.Pool)
	if err != nil {
		return state, 0, err
	}
	if err := json.Unmarshal(o.Data, &state); err != nil {
		return state, 0, errors.Wrapf(err, "decode orders/%s; repair the object", d.opts.Pool)
	}
	if problems := state.Validate(); len(problems) > 0 {
		return state, 0, errors.Wrapf(problems[0], "orders/%s has an invalid value", d.opts.Pool)
	}
	return state, o.Version, nil
}

// save changes orders/<pool> with a conditional write and returns once it is known whether the write succeeded. After a write without
// a response it looks for its writer id in the object, and writes again while the object is unchanged.
func (d *Dispatcher) save(ctx context.Context, change func(*apitypes.PoolOrders)) error {
	if err := d.acquire(ctx, d.writeSem); err != nil {
		return err
	}
	defer func() { <-d.writeSem }()
	next := d.State()
	change(&next)
	next.Fence, next.Holder, next.Writer = d.opts.Authority.FencingToken(), d.opts.Holder, uuid.NewString()
	data, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode orders")
	}
	var backoff httpplatform.Backoff
	for {
		if !d.opts.Authority.Valid() {
			return lease.ErrNoAuthority
		}
		version, err := d.opts.Store.Put(ctx, apitypes.KindOrders, d.opts.Pool, data, d.version)
		if err != nil && !isTransient(err) && !errors.Is(err, objectstore.ErrConflict) {
			return err
		}
		if err != nil {
			version, err = d.writeOutcome(ctx, next.Writer)
		}
		if err == nil {
			d.setState(next, version)
			return nil
		}
		if !isTransient(err) {
			return err
		}
		if backoff.Wait(ctx) != nil {
			return d.stopCause(ctx)
		}
	}
}

func (d *Dispatcher) setState(state apitypes.PoolOrders, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state, d.version = state, version
}

// writeOutcome looks for a write in the object by its writer id. It returns the version if the write succeeded, ErrSuperseded if
// another write was first, and a transient error if the outcome is not known yet.
func (d *Dispatcher) writeOutcome(ctx context.Context, writer string) (uint64, error) {
	state, version, err := d.read(ctx)
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		return 0, objectstore.ErrUnavailable
	case err != nil:
		return 0, err
	case state.Writer == writer:
		return version, nil
	case version <= d.version:
		return 0, objectstore.ErrUnavailable
	}
	return 0, ErrSuperseded
}

// stopCause returns why a retry loop stopped: lease.ErrNoAuthority if the authority has ended, otherwise the error of ctx.
func (d *Dispatcher) stopCause(ctx context.Context) error {
	if !d.opts.Authority.Valid() {
		return lease.ErrNoAuthority
	}
	return ctx.Err()
}

// isTransient reports whether a call that returned err may be retried while the authority is valid.
func isTransient(err error) bool {
	return errors.Is(err, objectstore.ErrUnavailable) || errors.Is(err, objectstore.ErrThrottled) ||
		errors.Is(err, context.DeadlineExceeded)
}
