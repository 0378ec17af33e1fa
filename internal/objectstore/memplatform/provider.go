package memplatform

import (
	"context"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/objectstore"
)

// pool is the provider's state of one pool.
type pool struct {
	version       uint64
	endpoints     []apitypes.Endpoint
	appliedOrders map[string]bool
	addedCount    int
	// reclaimableUnavailable makes orders that add reclaimable endpoints fail with ErrThrottled.
	reclaimableUnavailable bool
}

// SetVMs replaces the list of VMs.
func (p *Platform) SetVMs(vms []apitypes.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = slices.Clone(vms)
}

// ListVMs implements objectstore.VMLister.
func (p *Platform) ListVMs(ctx context.Context) ([]apitypes.VM, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.VMs++
	if err := p.checkAvailable(ctx); err != nil {
		return nil, err
	}
	return slices.Clone(p.vms), nil
}

// SetEndpoints replaces the endpoints of a pool.
func (p *Platform) SetEndpoints(name string, endpoints []apitypes.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.pool(name)
	s.endpoints = slices.Clone(endpoints)
	s.version++
}

// SetReclaimableAvailable sets whether a pool accepts orders that add reclaimable endpoints. It does by default.
func (p *Platform) SetReclaimableAvailable(name string, available bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool(name).reclaimableUnavailable = !available
}

// Reclaim gives notice to all reclaimable endpoints of a failure domain and returns them. It sets their state to leaving and their
// reclaim time to the end of the notice period; it does not remove them.
func (p *Platform) Reclaim(failureDomain string, notice time.Duration) []apitypes.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var reclaimed []apitypes.Endpoint
	for _, s := range p.pools {
		for i := range s.endpoints {
			e := &s.endpoints[i]
			if e.Class != apitypes.Reclaimable || e.FailureDomain != failureDomain {
				continue
			}
			e.State = apitypes.EndpointLeaving
			e.ReclaimAt = time.Now().Add(notice).UnixMilli()
			s.version++
			reclaimed = append(reclaimed, *e)
		}
	}
	return reclaimed
}

// pool returns the state of a pool, which it creates if needed. The caller holds mu.
func (p *Platform) pool(name string) *pool {
	s, ok := p.pools[name]
	if !ok {
		s = &pool{appliedOrders: make(map[string]bool), version: 1}
		p.pools[name] = s
	}
	return s
}

func (s *pool) view(name string) objectstore.ProviderView {
	v := objectstore.ProviderView{Version: s.version, Endpoints: slices.Clone(s.endpoints)}
	for i := range v.Endpoints {
		v.Endpoints[i].Pool = name
	}
	return v
}

// Endpoints implements objectstore.Provider.
func (p *Platform) Endpoints(ctx context.Context, name string) (objectstore.ProviderView, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Provider++
	if err := p.checkAvailable(ctx); err != nil {
		return objectstore.ProviderView{}, err
	}
	return p.pool(name).view(name), nil
}

// PlaceOrder implements objectstore.Provider. Endpoints are added in state starting; SetEndpointState changes it.
func (p *Platform) PlaceOrder(ctx context.Context, name string, o apitypes.Order, expected uint64) (objectstore.ProviderView, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Provider++
	if err := p.checkAvailable(ctx); err != nil {
		return objectstore.ProviderView{}, err
	}
	s := p.pool(name)
	if s.appliedOrders[o.ID] {
		return s.view(name), p.injectLostResponse()
	}
	if s.version != expected {
		return objectstore.ProviderView{}, objectstore.ErrConflict
	}
	if o.Kind == apitypes.OrderAdd && o.Class == apitypes.Reclaimable && s.reclaimableUnavailable {
		return objectstore.ProviderView{}, objectstore.ErrThrottled
	}
	s.apply(name, o)
	return s.view(name), p.injectLostResponse()
}

// apply applies an order and increments the version of the pool.
func (s *pool) apply(name string, o apitypes.Order) {
	s.appliedOrders[o.ID] = true
	s.version++
	if o.Kind == apitypes.OrderAdd {
		s.addedCount++
		s.endpoints = append(s.endpoints, apitypes.Endpoint{
			Name: fmt.Sprintf("%s-ordered-%d", name, s.addedCount), FailureDomain: o.FailureDomain,
			Class: o.Class, State: apitypes.EndpointStarting,
		})
		return
	}
	for i := range s.endpoints {
		if s.endpoints[i].Name != o.Endpoint {
			continue
		}
		switch o.Kind {
		case apitypes.OrderRemove:
			s.endpoints = slices.Delete(s.endpoints, i, i+1)
			return
		case apitypes.OrderClean:
			s.endpoints[i].State = apitypes.EndpointCleaning
		}
	}
}

// SetEndpointState changes an endpoint's state and, when addr is not empty, its address.
func (p *Platform) SetEndpointState(name, endpoint string, state apitypes.EndpointState, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.pool(name)
	for i := range s.endpoints {
		if s.endpoints[i].Name != endpoint {
			continue
		}
		s.endpoints[i].State = state
		if addr != "" {
			s.endpoints[i].Addr = addr
		}
		s.version++
	}
}

// ReportWindow implements objectstore.UsageSink.
func (p *Platform) ReportWindow(ctx context.Context, w apitypes.UsageWindow) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Usage++
	if err := p.checkAvailable(ctx); err != nil {
		return err
	}
	if p.onReport != nil {
		p.onReport(w)
	}
	accepted, ok := p.reports[w.ID]
	if ok && !reflect.DeepEqual(accepted.Teams, w.Teams) {
		return objectstore.ErrConflict
	}
	p.reports[w.ID] = w
	return p.injectLostResponse()
}

// OnReport sets a function that is called, under the platform's lock, for every usage report received while the platform is
// available.
func (p *Platform) OnReport(f func(apitypes.UsageWindow)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onReport = f
}

// Reports returns the accepted usage reports by window id.
func (p *Platform) Reports() map[string]apitypes.UsageWindow {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.reports)
}
