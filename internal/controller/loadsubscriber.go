package controller

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/membership"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

const (
	// forgetAfter is how long a report stays in use. An endpoint outside the subset gets none.
	forgetAfter = 60 * time.Second
	// reportCost is the time for which one report uses a subscriber's bandwidth: 50 reports a second of about 40 bytes are 2 KB/s of the
	// 6 KB/s that a node may use. So the period between reports of an endpoint grows with the number of endpoints followed.
	reportCost = 20 * time.Millisecond
	// maxLoadPeriod bounds that period: the balancer predicts queues from the last report and what was sent since.
	maxLoadPeriod = 5 * time.Second
	// cacheBlocksPerSecond bounds the prefix blocks that a gateway is told of, all endpoints together, while it follows no more than
	// fewEndpoints: 1 KB/s, and as much for their removal. With more endpoints the reports need that share, and least blocks a second stay.
	cacheBlocksPerSecond, leastCacheBlocks = 128, 32
	fewEndpoints                           = 40
)

// EndpointSink is what the subscriber feeds; *balancer.Balancer implements it.
type EndpointSink interface {
	UpdateEndpoint(pool string, e balancer.Endpoint)
	RemoveEndpoint(pool, name string)
	ApplyCacheEvent(endpoint string, stored, removed []uint64, reset bool)
	RecordCacheGap(endpoint string)
}

// LoadSubscriber feeds a balancer from the controllers, the provider's lists and the configuration. Endpoints that are listed are known at
// once, and drained ones are excluded as soon as the snapshot says so. Loads are asked for only where they are of interest, each from the
// controller that collects it.
type LoadSubscriber struct {
	vm        string
	holder    *config.SnapshotStore
	members   *membership.Members
	dial      config.DialControllerFunc
	balancer  EndpointSink
	directory *Directory
	// follows tells whether the directory runs as a part of this subscriber.
	follows  bool
	interest func(pool string) []string

	mu sync.Mutex
	// reported holds endpoints as their controllers report them, listed those of the directory, known what the balancer was told.
	reported map[string]reportedEndpoint
	listed   map[string]apitypes.Endpoint
	known    map[string]balancer.Endpoint
	heard    map[string]time.Time
	followed int
}

type reportedEndpoint struct {
	balancer.Endpoint
	heard time.Time
}

// NewLoadSubscriber returns the subscriber of the gateway on a VM. Create it before the holder is used.
func NewLoadSubscriber(vm string, h *config.SnapshotStore, m *membership.Members, dial config.DialControllerFunc, b EndpointSink) *LoadSubscriber {
	s := &LoadSubscriber{vm: vm, holder: h, members: m, dial: dial, balancer: b, directory: NewFollowerDirectory(vm, h, m, dial), follows: true,
		reported: make(map[string]reportedEndpoint), known: make(map[string]balancer.Endpoint), heard: make(map[string]time.Time)}
	s.interest = s.all
	h.OnChange(func(*config.Snapshot) { s.refresh() })
	return s
}

// SetEndpointFilter sets the function that names the endpoints of a pool whose load is of interest. Without it all are. Call it before Run.
func (s *LoadSubscriber) SetEndpointFilter(interest func(pool string) []string) {
	s.interest = interest
}

// UseDirectory replaces the subscriber's own directory by one that runs elsewhere. Call it before Run.
func (s *LoadSubscriber) UseDirectory(d *Directory) { s.directory, s.follows = d, false }

func (s *LoadSubscriber) all(pool string) []string {
	return slices.Collect(maps.Keys(s.directory.Endpoints(pool)))
}

// Run follows the controllers that collect endpoints of interest until ctx ends, with one goroutine for each.
func (s *LoadSubscriber) Run(ctx context.Context) error {
	running := make(map[string]following)
	var wg sync.WaitGroup
	ctx, cancelAll := context.WithCancel(ctx)
	defer wg.Wait()
	defer cancelAll()
	if s.follows {
		wg.Go(func() { _ = s.directory.Run(ctx) })
	}
	wg.Go(func() { s.followDirectory(ctx) })
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		wanted := s.assign()
		for name, f := range running {
			if !slices.Equal(f.endpoints, wanted[name]) {
				f.cancel()
				delete(running, name)
			}
		}
		for name, endpoints := range wanted {
			if _, ok := running[name]; !ok {
				vmCtx, cancel := context.WithCancel(ctx)
				running[name] = following{cancel, endpoints}
				wg.Go(func() { s.follow(vmCtx, name, endpoints) })
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

// following is a running subscription to one controller.
type following struct {
	cancel    context.CancelFunc
	endpoints []string
}

// followDirectory passes changes of the provider's lists on.
func (s *LoadSubscriber) followDirectory(ctx context.Context) {
	for ctx.Err() == nil {
		changed := s.directory.nextChange()
		s.refresh()
		select {
		case <-ctx.Done():
		case <-changed:
			ctxtime.Sleep(ctx, loadBatch)
		}
	}
}

// assign returns the endpoints of interest by the VM whose controller collects them. While that controller is not heard, the endpoint is
// asked for at the next one as well.
func (s *LoadSubscriber) assign() map[string][]string {
	unreachable := s.unreachable()
	wanted := make(map[string][]string)
	followed := 0
	for pool := range s.holder.Current().Pools() {
		for _, name := range s.interest(pool) {
			followed++
			vm, ok := s.members.Collector(name)
			if !ok {
				continue
			}
			wanted[vm.Name] = append(wanted[vm.Name], name)
			if !slices.Contains(unreachable, vm.Name) {
				continue
			}
			if vm, ok = s.members.Collector(name, unreachable...); ok {
				wanted[vm.Name] = append(wanted[vm.Name], name)
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followed = followed
	for vm, names := range wanted {
		slices.Sort(names)
		if _, ok := s.heard[vm]; !ok {
			s.heard[vm] = time.Now()
		}
	}
	maps.DeleteFunc(s.heard, func(vm string, _ time.Time) bool { return wanted[vm] == nil })
	return wanted
}

// period is the shortest time between two reports of one endpoint.
func (s *LoadSubscriber) period() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(maxLoadPeriod, time.Duration(s.followed)*reportCost)
}

// cacheBudget is the number of prefix blocks of each endpoint that this subscriber may be told a second.
func (s *LoadSubscriber) cacheBudget() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := float64(max(1, s.followed))
	return min(cacheBlocksPerSecond, max(leastCacheBlocks, cacheBlocksPerSecond*fewEndpoints/n)) / n
}

// silence is how long a controller may send nothing.
func (s *LoadSubscriber) silence() time.Duration { return max(loadSilence, 3*s.period()) }

// follow keeps one controller's stream going. When the set of unreachable controllers changes, the stream is set up again so that
// the controller covers them.
func (s *LoadSubscriber) follow(ctx context.Context, name string, endpoints []string) {
	for ctx.Err() == nil {
		if vm, ok := s.members.VM(name); ok {
			_ = s.subscribe(ctx, vm, endpoints)
		}
		ctxtime.Sleep(ctx, followRetry)
	}
}

func (s *LoadSubscriber) subscribe(ctx context.Context, vm apitypes.VM, endpoints []string) error {
	conn, release, err := s.dial(vm)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	period, limit := s.period(), s.silence()
	silence := time.AfterFunc(limit, cancel)
	defer silence.Stop()
	without := s.unreachable()
	request := &peerpb.LoadRequest{Vm: s.vm, Without: without, Endpoints: endpoints, PeriodMs: period.Milliseconds(),
		CacheBlocks: s.cacheBudget()}
	stream, err := peerpb.NewLoadClient(conn).Subscribe(ctx, request)
	if err != nil {
		return err
	}
	// described holds the descriptions of this stream by number.
	described := make(map[uint32]*peerpb.EndpointLoad)
	for {
		u, err := stream.Recv()
		if err != nil {
			return err
		}
		silence.Reset(limit)
		s.touch(vm.Name)
		for i, m := range u.Endpoints {
			if m.Name != "" {
				described[m.Ref] = m
			} else if d := described[m.Ref]; d != nil {
				u.Endpoints[i] = describe(m, d)
			}
		}
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

// unreachable returns VMs whose controllers are followed and were not heard for a while, by name.
func (s *LoadSubscriber) unreachable() []string {
	limit := 2 * s.silence()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for vm, heard := range s.heard {
		if known, ok := s.members.VM(vm); ok && known.State == apitypes.VMLive && time.Since(heard) > limit {
			out = append(out, vm)
		}
	}
	slices.Sort(out)
	return out
}

// take applies one controller's update.
func (s *LoadSubscriber) take(u *peerpb.LoadUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range u.Endpoints {
		if m.Name == "" {
			continue
		}
		e := endpointOf(m)
		if old, ok := s.reported[m.Name]; !ok || !e.ReportedAt.Before(old.ReportedAt) || m.Instance != old.Load.Instance {
			s.reported[m.Name] = reportedEndpoint{e, time.Now()}
		}
		if m.CacheGap {
			s.balancer.RecordCacheGap(m.Name)
		}
		if len(m.CacheStored)+len(m.CacheRemoved) > 0 || m.CacheReset {
			s.balancer.ApplyCacheEvent(m.Name, m.CacheStored, m.CacheRemoved, m.CacheReset)
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
		Endpoint: apitypes.Endpoint{Name: m.Name, Pool: m.Pool, Addr: m.Addr, FailureDomain: m.FailureDomain,
			Class: apitypes.EndpointClass(m.Class), State: apitypes.EndpointState(m.State), ReclaimAt: m.ReclaimAt},
		Load: apitypes.Load{Endpoint: m.Name, Role: apitypes.Role(m.Role), Model: m.Model, Version: m.Version, Adapters: m.Adapters,
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

// refresh tells the balancer of every endpoint that a new snapshot or list adds, drains, returns or removes.
func (s *LoadSubscriber) refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Read under the lock, so that of two refreshes the later one has the newer snapshot.
	now, listed := s.holder.Current(), make(map[string]apitypes.Endpoint)
	for pool := range now.Pools() {
		maps.Copy(listed, s.directory.Endpoints(pool))
	}
	s.listed = listed
	names := make(map[string]bool, len(listed))
	for name := range s.known {
		names[name] = true
	}
	for name := range s.reported {
		names[name] = true
	}
	for name := range listed {
		names[name] = true
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
		s.balancer.RemoveEndpoint(old.Pool, name)
		delete(s.known, name)
	}
	if exists {
		s.known[name] = e
		s.balancer.UpdateEndpoint(e.Pool, e)
	}
}

// viewOf joins the last report of an endpoint, the lists and the configuration. An endpoint that is no longer listed has no view, whatever
// its controller still reports.
func (s *LoadSubscriber) viewOf(now *config.Snapshot, name string) (balancer.Endpoint, bool) {
	own, listed := s.listed[name]
	if !listed || now.Pool(own.Pool) == nil {
		return balancer.Endpoint{}, false
	}
	e := balancer.Endpoint{Endpoint: own}
	if r, ok := s.reported[name]; ok && r.Pool == own.Pool {
		e = r.Endpoint
	}
	e.NoNewWork = e.NoNewWork || !takesWork(own) || DrainReason(now, e.Pool, name) != ""
	return e, true
}

// DrainReason returns why the configuration keeps new work from an endpoint, or "".
func DrainReason(now *config.Snapshot, pool, name string) string {
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
