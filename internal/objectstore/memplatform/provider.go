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
	version   uint64
	endpoints []apitypes.Endpoint
	applied   map[string]bool
	ordered   int
	// refuseReclaimable makes orders of reclaimable endpoints fail: none are available.
	refuseReclaimable bool
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
	if err := p.refuse(ctx); err != nil {
		return nil, err
	}
	return slices.Clone(p.vms), nil
}

// SetEndpoints replaces the provider's endpoints of a pool.
func (p *Platform) SetEndpoints(name string, endpoints []apitypes.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.pool(name)
	s.endpoints = slices.Clone(endpoints)
	s.version++
}

// SetReclaimableAvailable says whether reclaimable endpoints can be ordered.
func (p *Platform) SetReclaimableAvailable(name string, available bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool(name).refuseReclaimable = !available
}

// Reclaim gives notice to all reclaimable endpoints of a failure domain: they disappear after the notice.
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

func (p *Platform) pool(name string) *pool {
	s, ok := p.pools[name]
	if !ok {
		s = &pool{applied: make(map[string]bool), version: 1}
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
	if err := p.refuse(ctx); err != nil {
		return objectstore.ProviderView{}, err
	}
	return p.pool(name).view(name), nil
}

// PlaceOrder implements objectstore.Provider. Added endpoints start in state starting; SetEndpointState moves them on.
func (p *Platform) PlaceOrder(ctx context.Context, name string, o apitypes.Order, expected uint64) (objectstore.ProviderView, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Provider++
	if err := p.refuse(ctx); err != nil {
		return objectstore.ProviderView{}, err
	}
	s := p.pool(name)
	if s.applied[o.ID] {
		return s.view(name), p.lostAnswer()
	}
	if s.version != expected {
		return objectstore.ProviderView{}, objectstore.ErrConflict
	}
	if o.Kind == apitypes.OrderAdd && o.Class == apitypes.Reclaimable && s.refuseReclaimable {
		return objectstore.ProviderView{}, objectstore.ErrThrottled
	}
	s.apply(name, o)
	return s.view(name), p.lostAnswer()
}

func (s *pool) apply(name string, o apitypes.Order) {
	s.applied[o.ID] = true
	s.version++
	if o.Kind == apitypes.OrderAdd {
		s.ordered++
		s.endpoints = append(s.endpoints, apitypes.Endpoint{
			Name: fmt.Sprintf("%s-ordered-%d", name, s.ordered), FailureDomain: o.FailureDomain,
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
	if err := p.refuse(ctx); err != nil {
		return err
	}
	if p.onReport != nil {
		p.onReport(w)
	}
	first, ok := p.reports[w.ID]
	if ok && !reflect.DeepEqual(first.Teams, w.Teams) {
		return objectstore.ErrConflict
	}
	p.reports[w.ID] = w
	return p.lostAnswer()
}

// OnReport calls f, under the platform's lock, for every usage report that arrives.
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
