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

// deliverToEngine delivers an order to an engine and returns the engine's response.
func (sim *simulation) deliverToEngine(ctx context.Context, p *process, a *lease.Authority, name string, epoch int, o apitypes.Order) error {
	sim.mu.Lock()
	e, ok := sim.engines[name]
	if !ok || e.down {
		sim.mu.Unlock()
		return errors.Wrap(order.ErrNotSent, "connection refused")
	}
	if e.epoch != epoch {
		sim.mu.Unlock()
		return errors.New("connection reset")
	}
	if e.hang {
		sim.mu.Unlock()
		if ctx.Done() != nil {
			<-ctx.Done()
		}
		return errors.New("no response")
	}
	defer sim.mu.Unlock()
	sim.checkSingleAuthority(p, a, "G3", o)
	refused := e.checksFence && o.Fence < e.fence
	isNew := e.lastOrderID != o.ID
	sim.history.AddOrder(history.Order{Target: name, ID: o.ID, FencingToken: o.Fence, Kind: string(o.Kind), Value: o.Value, At: time.Now(),
		Applied: isNew && !refused})
	if refused {
		return errors.Wrap(order.ErrRefused, "old fencing token")
	}
	e.fence = max(e.fence, o.Fence)
	if isNew {
		e.lastOrderID = o.ID
		sim.applyEngineOrder(name, e, o)
	}
	if e.loseResponses > 0 {
		e.loseResponses--
		return errors.New("connection reset")
	}
	return nil
}

// applyEngineOrder applies an order and records a violation when it conflicts with another order (guarantee G1) or interrupts
// streams (guarantee G2).
func (sim *simulation) applyEngineOrder(name string, e *fakeEngine, o apitypes.Order) {
	if e.running > 0 && o.Kind != apitypes.OrderResume {
		sim.addViolation("G2: order %s of %s interrupted %d streams at %s", o.Kind, o.ID, e.running, name)
	}
	if e.changing != "" {
		sim.addViolation("G1: order %s %s at %s during the change of %s", o.Kind, o.ID, name, e.changing)
	}
	switch o.Kind {
	case apitypes.OrderDrain:
		e.draining = true
	case apitypes.OrderResume:
		if sim.isCleaning(name) {
			sim.addViolation("G2: %s is resumed while the provider cleans it", name)
		}
		e.draining = false
	default:
		if e.draining {
			sim.addViolation("G1: order %s %s at %s between its drain and resume", o.Kind, o.ID, name)
		}
		e.changing = o.ID
		epoch := e.epoch
		time.AfterFunc(changeDuration, func() {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			if e.epoch == epoch {
				e.changing, e.role = "", o.Value
			}
		})
	}
}

// deliverToProvider delivers an order to the provider and returns the provider's response.
func (sim *simulation) deliverToProvider(ctx context.Context, p *process, a *lease.Authority, o apitypes.Order, expected uint64) (objectstore.ProviderView, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.providerDown {
		return objectstore.ProviderView{}, objectstore.ErrUnavailable
	}
	sim.checkSingleAuthority(p, a, "G5", o)
	v, err := sim.mem.PlaceOrder(ctx, "p", o, expected)
	// The view is also returned with the error when the platform loses the response to an order that has taken effect.
	isNew := v.Version == expected+1 && !sim.appliedProviderOrders[o.ID]
	sim.history.AddOrder(history.Order{Target: "provider", ID: o.ID, FencingToken: o.Fence, Kind: string(o.Kind), Value: o.Endpoint, At: time.Now(), Applied: isNew})
	if isNew {
		sim.appliedProviderOrders[o.ID] = true
		sim.applyProviderOrder(o, v)
	}
	if err == nil && sim.loseProviderResponses > 0 {
		sim.loseProviderResponses--
		return objectstore.ProviderView{}, objectstore.ErrUnavailable
	}
	return v, err
}

// checkSingleAuthority records a violation when a process with a valid authority sends an order while another process has one too.
func (sim *simulation) checkSingleAuthority(p *process, a *lease.Authority, guarantee string, o apitypes.Order) {
	for _, other := range sim.processes {
		if other != p && other.authority != nil && other.authority.Valid() && a.Valid() {
			sim.addViolation("%s: order %s %s from %s while %s has authority too", guarantee, o.Kind, o.ID, p.name, other.name)
		}
	}
}

// applyProviderOrder applies an order as the provider does and records a violation when it interrupts streams
// (guarantee G2).
func (sim *simulation) applyProviderOrder(o apitypes.Order, v objectstore.ProviderView) {
	e := sim.engines[o.Endpoint]
	if e != nil && e.running > 0 {
		sim.addViolation("G2: provider order %s interrupted %d streams at %s", o.Kind, e.running, o.Endpoint)
	}
	switch o.Kind {
	case apitypes.OrderAdd:
		added := v.Endpoints[len(v.Endpoints)-1].Name
		time.AfterFunc(startDuration, func() {
			sim.mu.Lock()
			sim.engines[added] = &fakeEngine{}
			sim.mu.Unlock()
			sim.mem.SetEndpointState("p", added, apitypes.EndpointReady, "")
		})
	case apitypes.OrderRemove:
		delete(sim.engines, o.Endpoint)
	case apitypes.OrderClean:
		time.AfterFunc(cleaningDuration, func() { sim.mem.SetEndpointState("p", o.Endpoint, apitypes.EndpointReady, "") })
	}
}
