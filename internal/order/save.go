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

// load reads orders/<pool> before the take-over, and retries while the platform is unavailable.
func (d *Dispatcher) load(ctx context.Context) error {
	var wait httpplatform.Backoff
	for {
		state, version, err := d.read(ctx)
		if err == nil || errors.Is(err, objectstore.ErrNotFound) {
			if state.Fence > d.o.Authority.FencingToken() {
				return ErrSuperseded
			}
			d.store(state, version)
			return nil
		}
		if !transient(err) {
			return err
		}
		if wait.Wait(ctx) != nil {
			return d.ended(ctx)
		}
	}
}

func (d *Dispatcher) read(ctx context.Context) (apitypes.PoolOrders, uint64, error) {
	var state apitypes.PoolOrders
	o, err := d.o.Store.Get(ctx, apitypes.KindOrders, d.o.Pool)
	if err != nil {
		return state, 0, err
	}
	if err := json.Unmarshal(o.Data, &state); err != nil {
		return state, 0, errors.Wrapf(err, "orders/%s is not readable; repair the object", d.o.Pool)
	}
	if found := state.Validate(); len(found) > 0 {
		return state, 0, errors.Wrapf(found[0], "orders/%s holds an impossible value", d.o.Pool)
	}
	return state, o.Version, nil
}

// save changes orders/<pool> conditionally. It returns once the write is known to have won or lost: a write without answer
// is looked up by its writer id, and sent again while the object is unchanged.
func (d *Dispatcher) save(ctx context.Context, change func(*apitypes.PoolOrders)) error {
	if err := d.take(ctx, d.writing); err != nil {
		return err
	}
	defer func() { <-d.writing }()
	next := d.State()
	change(&next)
	next.Fence, next.Holder, next.Writer = d.o.Authority.FencingToken(), d.o.Holder, uuid.NewString()
	data, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode orders")
	}
	var wait httpplatform.Backoff
	for {
		if !d.o.Authority.Valid() {
			return lease.ErrNoAuthority
		}
		version, err := d.o.Store.Put(ctx, apitypes.KindOrders, d.o.Pool, data, d.version)
		if err != nil && !transient(err) && !errors.Is(err, objectstore.ErrConflict) {
			return err
		}
		if err != nil {
			version, err = d.outcome(ctx, next.Writer)
		}
		if err == nil {
			d.store(next, version)
			return nil
		}
		if !transient(err) {
			return err
		}
		if wait.Wait(ctx) != nil {
			return d.ended(ctx)
		}
	}
}

func (d *Dispatcher) store(state apitypes.PoolOrders, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state, d.version = state, version
}

// outcome looks a write up by its writer id. It returns the version of a write that won, ErrSuperseded for one that lost,
// and a transient error when that is not known yet.
func (d *Dispatcher) outcome(ctx context.Context, writer string) (uint64, error) {
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

// ended returns why work stopped: the end of the authority before the caller's own context.
func (d *Dispatcher) ended(ctx context.Context) error {
	if !d.o.Authority.Valid() {
		return lease.ErrNoAuthority
	}
	return ctx.Err()
}

// transient says that a call may be tried again while the authority lasts.
func transient(err error) bool {
	return errors.Is(err, objectstore.ErrUnavailable) || errors.Is(err, objectstore.ErrThrottled) ||
		errors.Is(err, context.DeadlineExceeded)
}
