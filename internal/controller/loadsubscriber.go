package controller

import (
	"context"
	"slices"
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/membership"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
	"crocusglade.example/crocusglade/internal/world"
)

// forgetAfter is how long an endpoint that is not in the configuration stays known without a report.
const forgetAfter = 60 * time.Second

// Balancer is what the subscriber feeds; *balancer.Balancer implements it.
type Balancer interface {
	Update(pool string, e balancer.Endpoint)
	Remove(pool, name string)
	CacheEvent(endpoint string, stored, removed []uint64, reset bool)
}

// LoadSubscriber feeds a gateway's balancer from the controllers and from the configuration: endpoints of the configuration are known
// at once, and drained ones are excluded as soon as the snapshot says so.
type LoadSubscriber struct {
	vm       string
	holder   *config.Holder
	members  *membership.Members
	dial     config.Dial
	balancer Balancer

	mu sync.Mutex
	// reported holds endpoints as their controllers report them, known what the balancer was told.
	reported map[string]reportedEndpoint
	known    map[string]balancer.Endpoint
	heard    map[string]time.Time
}

type reportedEndpoint struct {
	balancer.Endpoint
	heard time.Time
}

// NewLoadSubscriber returns the subscriber of the gateway on a VM. Create it before the holder is used.
func NewLoadSubscriber(vm string, h *config.Holder, m *membership.Members, dial config.Dial, b Balancer) *LoadSubscriber {
	s := &LoadSubscriber{vm: vm, holder: h, members: m, dial: dial, balancer: b, reported: make(map[string]reportedEndpoint),
		known: make(map[string]balancer.Endpoint), heard: make(map[string]time.Time)}
	h.OnChange(s.refresh)
	return s
}

// Run follows the controllers of all live VMs until ctx ends, with one goroutine for each.
func (s *LoadSubscriber) Run(ctx context.Context) error {
	running := make(map[string]context.CancelFunc)
	var wg sync.WaitGroup
	ctx, cancelAll := context.WithCancel(ctx)
	defer wg.Wait()
	defer cancelAll()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		wanted := make(map[string]bool)
		for _, vm := range s.members.Live() {
			wanted[vm.Name] = true
			if running[vm.Name] == nil {
				vmCtx, cancel := context.WithCancel(ctx)
				running[vm.Name] = cancel
				s.touch(vm.Name)
				wg.Go(func() { s.follow(vmCtx, vm.Name) })
			}
		}
		for name, cancel := range running {
			if !wanted[name] {
				cancel()
				delete(running, name)
			}
		}
		s.forget()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// follow keeps one controller's stream going. When the set of unreachable controllers changes, the stream is set up again so that
// the controller covers them.
func (s *LoadSubscriber) follow(ctx context.Context, name string) {
	for ctx.Err() == nil {
		if vm, ok := s.members.VM(name); ok {
			_ = s.subscribe(ctx, vm)
		}
		pause(ctx, followRetry)
	}
}

func (s *LoadSubscriber) subscribe(ctx context.Context, vm world.VM) error {
	conn, release, err := s.dial(vm)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(loadSilence, cancel)
	defer silence.Stop()
	without := s.unreachable()
	stream, err := peerpb.NewLoadClient(conn).Subscribe(ctx, &peerpb.LoadRequest{Vm: s.vm, Without: without})
	if err != nil {
		return err
	}
	for {
		u, err := stream.Recv()
		if err != nil {
			return err
		}
		silence.Reset(loadSilence)
		s.touch(vm.Name)
		s.take(u)
		if !slices.Equal(without, s.unreachable()) {
			return nil
		}
	}
}

func (s *LoadSubscriber) touch(vm string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[vm] = time.Now()
}

// unreachable returns live VMs whose controllers were not heard for a while, by name.
func (s *LoadSubscriber) unreachable() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, vm := range s.members.Live() {
		if heard, ok := s.heard[vm.Name]; ok && time.Since(heard) > 2*loadSilence {
			out = append(out, vm.Name)
		}
	}
	return out
}

// take applies one controller's update.
func (s *LoadSubscriber) take(u *peerpb.LoadUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range u.Endpoints {
		e := endpointOf(m)
		if old, ok := s.reported[m.Name]; !ok || !e.ReportedAt.Before(old.ReportedAt) || m.Instance != old.Load.Instance {
			s.reported[m.Name] = reportedEndpoint{e, time.Now()}
		}
		if len(m.CacheStored)+len(m.CacheRemoved) > 0 || m.CacheReset {
			s.balancer.CacheEvent(m.Name, m.CacheStored, m.CacheRemoved, m.CacheReset)
		}
		s.tell(s.holder.Current(), m.Name)
	}
	for _, name := range u.Gone {
		delete(s.reported, name)
		s.tell(s.holder.Current(), name)
	}
}

func endpointOf(m *peerpb.EndpointLoad) balancer.Endpoint {
	return balancer.Endpoint{
		Endpoint: world.Endpoint{Name: m.Name, Pool: m.Pool, Addr: m.Addr, FailureDomain: m.FailureDomain,
			Class: world.EndpointClass(m.Class), State: world.EndpointState(m.State), ReclaimAt: m.ReclaimAt},
		Load: world.Load{Endpoint: m.Name, Role: world.Role(m.Role), Model: m.Model, Version: m.Version, Adapters: m.Adapters,
			Running: int(m.Running), Waiting: int(m.Waiting), Slots: int(m.Slots), QueuedPrefillTokens: int(m.QueuedPrefillTokens),
			KVFree: int(m.KvFree), KVTotal: int(m.KvTotal), PrefillRate: m.PrefillRate, DecodeRate: m.DecodeRate,
			Instance: m.Instance, AgeMS: m.AgeMs},
		NoNewWork:  m.NoNewWork,
		ReportedAt: time.Now().Add(-time.Duration(m.AgeMs) * time.Millisecond),
	}
}

// forget drops endpoints whose controller has stopped reporting them without saying that they are gone.
func (s *LoadSubscriber) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, r := range s.reported {
		if time.Since(r.heard) > forgetAfter {
			delete(s.reported, name)
			s.tell(s.holder.Current(), name)
		}
	}
}

// refresh tells the balancer of every endpoint that a new snapshot adds, drains, returns or removes.
func (s *LoadSubscriber) refresh(now *config.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make(map[string]bool, len(s.known))
	for name := range s.known {
		names[name] = true
	}
	for name := range s.reported {
		names[name] = true
	}
	for _, p := range now.Pools() {
		for _, e := range p.Endpoints {
			names[e.Name] = true
		}
	}
	for name := range names {
		s.tell(now, name)
	}
}

// tell passes the present view of one endpoint to the balancer. The caller holds the lock.
func (s *LoadSubscriber) tell(now *config.Snapshot, name string) {
	e, exists := s.viewOf(now, name)
	old, told := s.known[name]
	if told && (!exists || old.Pool != e.Pool) {
		s.balancer.Remove(old.Pool, name)
		delete(s.known, name)
	}
	if exists {
		s.known[name] = e
		s.balancer.Update(e.Pool, e)
	}
}

// viewOf joins the configuration and the last report of an endpoint.
func (s *LoadSubscriber) viewOf(now *config.Snapshot, name string) (balancer.Endpoint, bool) {
	e := balancer.Endpoint{}
	r, exists := s.reported[name]
	if exists {
		e = r.Endpoint
	}
	for poolName, p := range now.Pools() {
		for _, own := range p.Endpoints {
			if own.Name == name && !exists {
				own.Pool, own.State = poolName, world.EndpointReady
				e, exists = balancer.Endpoint{Endpoint: own}, true
			}
		}
	}
	if !exists || now.Pool(e.Pool) == nil {
		return e, false
	}
	e.NoNewWork = e.NoNewWork || Drained(now, e.Pool, name) != ""
	return e, true
}

// Drained returns why the configuration keeps new work from an endpoint, or "".
func Drained(now *config.Snapshot, pool, name string) string {
	if p := now.Pool(pool); p != nil && slices.Contains(p.Drained, name) {
		return "drained by an operator"
	}
	o := now.Orders(pool)
	if o == nil {
		return ""
	}
	if slices.Contains(o.Abandoned, name) {
		return "an order's outcome is unknown; it is being replaced"
	}
	if reason, ok := o.Drained[name]; ok {
		return "drained by the system: " + reason
	}
	return ""
}
