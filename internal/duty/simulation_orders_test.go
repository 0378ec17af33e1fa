package duty

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/history"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/order"
)

// deliver gives an order to an engine.
func (b *bed) deliver(ctx context.Context, p *proc, a *lease.Authority, name string, epoch int, o apitypes.Order) error {
	b.mu.Lock()
	e, ok := b.engines[name]
	if !ok || e.down {
		b.mu.Unlock()
		return errors.Wrap(order.ErrNotSent, "connection refused")
	}
	if e.epoch != epoch {
		b.mu.Unlock()
		return errors.New("connection reset")
	}
	if e.hang {
		b.mu.Unlock()
		if ctx.Done() != nil {
			<-ctx.Done()
		}
		return errors.New("no answer")
	}
	defer b.mu.Unlock()
	b.checkSender(p, a, "G3", o)
	refused := e.checks && o.Fence < e.fence
	fresh := e.last != o.ID
	b.history.AddOrder(history.Order{Target: name, ID: o.ID, Fence: o.Fence, Kind: string(o.Kind), Value: o.Value, At: time.Now(),
		Applied: fresh && !refused})
	if refused {
		return errors.Wrap(order.ErrRefused, "old fencing number")
	}
	e.fence = max(e.fence, o.Fence)
	if fresh {
		e.last = o.ID
		b.apply(name, e, o)
	}
	if e.loseAnswers > 0 {
		e.loseAnswers--
		return errors.New("connection reset")
	}
	return nil
}

// apply carries out an order and records orders that conflict (G1) or cut streams (G2).
func (b *bed) apply(name string, e *fakeEngine, o apitypes.Order) {
	if e.running > 0 && o.Kind != apitypes.OrderResume {
		b.violate("G2: order %s of %s cut %d streams at %s", o.Kind, o.ID, e.running, name)
	}
	if e.changing != "" {
		b.violate("G1: order %s %s at %s during the change of %s", o.Kind, o.ID, name, e.changing)
	}
	switch o.Kind {
	case apitypes.OrderDrain:
		e.draining = true
	case apitypes.OrderResume:
		if b.cleaning(name) {
			b.violate("G2: %s is resumed while the provider cleans it", name)
		}
		e.draining = false
	default:
		if e.draining {
			b.violate("G1: order %s %s at %s between its drain and resume", o.Kind, o.ID, name)
		}
		e.changing = o.ID
		epoch := e.epoch
		time.AfterFunc(changeTime, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			if e.epoch == epoch {
				e.changing, e.role = "", o.Value
			}
		})
	}
}

// provide gives an order to the provider.
func (b *bed) provide(ctx context.Context, p *proc, a *lease.Authority, o apitypes.Order, expected uint64) (objectstore.ProviderView, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.providerDown {
		return objectstore.ProviderView{}, objectstore.ErrUnavailable
	}
	b.checkSender(p, a, "G5", o)
	v, err := b.mem.PlaceOrder(ctx, "p", o, expected)
	// The platform may lose the answer to an order that has taken effect; then its view is returned all the same.
	fresh := v.Version == expected+1 && !b.seen[o.ID]
	b.history.AddOrder(history.Order{Target: "provider", ID: o.ID, Fence: o.Fence, Kind: string(o.Kind), Value: o.Endpoint, At: time.Now(), Applied: fresh})
	if fresh {
		b.seen[o.ID] = true
		b.carryOut(o, v)
	}
	if err == nil && b.loseProviderAnswers > 0 {
		b.loseProviderAnswers--
		return objectstore.ProviderView{}, objectstore.ErrUnavailable
	}
	return v, err
}

// checkSender records an order from a process that believes it holds authority while another does too.
func (b *bed) checkSender(p *proc, a *lease.Authority, guarantee string, o apitypes.Order) {
	for _, other := range b.procs {
		if other != p && other.authority != nil && other.authority.Valid() && a.Valid() {
			b.violate("%s: order %s %s from %s while %s has authority too", guarantee, o.Kind, o.ID, p.name, other.name)
		}
	}
}

// carryOut is the provider's work on an order.
func (b *bed) carryOut(o apitypes.Order, v objectstore.ProviderView) {
	e := b.engines[o.Endpoint]
	if e != nil && e.running > 0 {
		b.violate("G2: provider order %s cut %d streams at %s", o.Kind, e.running, o.Endpoint)
	}
	switch o.Kind {
	case apitypes.OrderAdd:
		added := v.Endpoints[len(v.Endpoints)-1].Name
		time.AfterFunc(startTime, func() {
			b.mu.Lock()
			b.engines[added] = &fakeEngine{}
			b.mu.Unlock()
			b.mem.SetEndpointState("p", added, apitypes.EndpointReady, "")
		})
	case apitypes.OrderRemove:
		delete(b.engines, o.Endpoint)
	case apitypes.OrderClean:
		time.AfterFunc(cleaningTime, func() { b.mem.SetEndpointState("p", o.Endpoint, apitypes.EndpointReady, "") })
	}
}
