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
	// reportLifetime is the time for which a received report stays in use. Endpoints that the filter no longer names get no new
	// ones.
	reportLifetime = 60 * time.Second
	// periodPerEndpoint is what each followed endpoint adds to the period between two reports of an endpoint, up to maxReportPeriod.
	// It limits a subscriber to 50 reports per second for all endpoints together: at about 40 bytes each they take 2 KB/s of the 6
	// KB/s that a node may use.
	periodPerEndpoint = 20 * time.Millisecond
	// maxReportPeriod bounds the period between two reports of an endpoint: the balancer predicts queues from the last report and
	// the requests that it dispatched since.
	maxReportPeriod = 5 * time.Second
	// maxCacheBlocksPerSecond bounds the prefix blocks that are sent to a gateway for all endpoints together while it follows at
	// most fullCacheRateEndpoints endpoints: 1 KB/s, and as much for their removal. With more endpoints the reports need that
	// bandwidth, and the bound falls with their number down to minCacheBlocksPerSecond.
	maxCacheBlocksPerSecond, minCacheBlocksPerSecond = 128, 32
	fullCacheRateEndpoints                           = 40
)

// EndpointSink receives the state of endpoints from a LoadSubscriber; *balancer.Balancer implements it.
type EndpointSink interface {
	UpdateEndpoint(pool string, e balancer.Endpoint)
	RemoveEndpoint(pool, name string)
	ApplyCacheEvent(endpoint string, stored, removed []uint64, reset bool)
	RecordCacheGap(endpoint string)
}

// LoadSubscriber feeds a balancer from the load streams of controllers, the provider's lists and the configuration. A listed
// endpoint is published at once, before its first report, and a drained one is closed to new work as soon as the snapshot drains
// it. Loads are followed only for the endpoints that the filter names, each at the controller that collects it.
type LoadSubscriber struct {
	vm        string
	snapshots *config.SnapshotStore
	members   *membership.Members
	dial      config.DialControllerFunc
	balancer  EndpointSink
	directory *Directory
	// ownsDirectory is true when Run also runs the directory.
	ownsDirectory bool
	// endpointFilter returns the endpoints of a pool whose load is followed.
	endpointFilter func(pool string) []string

	mu sync.Mutex
	// reported holds endpoints as controllers report them, listed those of the directory, published those last passed to the
	// balancer; all by endpoint name.
	reported  map[string]reportedEndpoint
	listed    map[string]apitypes.Endpoint
	published map[string]balancer.Endpoint
	// lastMessageAt holds, by VM name, the time of the last message of a followed controller, or the time from which it is followed.
	lastMessageAt     map[string]time.Time
	followedEndpoints int
}

// reportedEndpoint is the last report of an endpoint.
type reportedEndpoint struct {
	balancer.Endpoint
	receivedAt time.Time
}

// NewLoadSubscriber returns the subscriber of a process on a VM, which feeds b. It must be created before the snapshot store is
// used, because it registers for its changes.
func NewLoadSubscriber(vm string, snapshots *config.SnapshotStore, members *membership.Members, dial config.DialControllerFunc,
	b EndpointSink) *LoadSubscriber {
	s := &LoadSubscriber{vm: vm, snapshots: snapshots, members: members, dial: dial, balancer: b,
		directory: NewFollowerDirectory(vm, snapshots, members, dial), ownsDirectory: true,
		reported: make(map[string]reportedEndpoint), published: make(map[string]balancer.Endpoint), lastMessageAt: make(map[string]time.Time)}
	s.endpointFilter = s.allEndpoints
	snapshots.OnChange(func(*config.Snapshot) { s.refreshEndpoints() })
	return s
}

// SetEndpointFilter sets the function that returns the endpoints of a pool whose load is followed. Without it, the load of all
// endpoints is followed. Call it before Run.
func (s *LoadSubscriber) SetEndpointFilter(filter func(pool string) []string) {
	s.endpointFilter = filter
}

// UseDirectory replaces the subscriber's own directory by one that the caller runs. Call it before Run.
func (s *LoadSubscriber) UseDirectory(d *Directory) { s.directory, s.ownsDirectory = d, false }

func (s *LoadSubscriber) allEndpoints(pool string) []string {
	return slices.Collect(maps.Keys(s.directory.Endpoints(pool)))
}

// Run follows the controllers that collect the endpoints of the filter until ctx ends, with one goroutine for each controller,
// and returns the context's error.
func (s *LoadSubscriber) Run(ctx context.Context) error {
	running := make(map[string]subscription)
	var wg sync.WaitGroup
	ctx, cancelAll := context.WithCancel(ctx)
	defer wg.Wait()
	defer cancelAll()
	if s.ownsDirectory {
		wg.Go(func() { _ = s.directory.Run(ctx) })
	}
	wg.Go(func() { s.followDirectory(ctx) })
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		wanted := s.endpointsByCollector()
		for vm, sub := range running {
			if !slices.Equal(sub.endpoints, wanted[vm]) {
				sub.cancel()
				delete(running, vm)
			}
		}
		for vm, endpoints := range wanted {
			if _, ok := running[vm]; !ok {
				vmCtx, cancel := context.WithCancel(ctx)
				running[vm] = subscription{cancel, endpoints}
				wg.Go(func() { s.followController(vmCtx, vm, endpoints) })
			}
		}
		s.dropStaleReports()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// subscription is a running stream from one controller, with the endpoints whose load it carries.
type subscription struct {
	cancel    context.CancelFunc
	endpoints []string
}

// followDirectory publishes changes of the directory's lists until ctx ends.
func (s *LoadSubscriber) followDirectory(ctx context.Context) {
	for ctx.Err() == nil {
		changed := s.directory.nextChange()
		s.refreshEndpoints()
		select {
		case <-ctx.Done():
		case <-changed:
			ctxtime.Sleep(ctx, minLoadMessageGap)
		}
	}
}

// endpointsByCollector returns the endpoints of the filter, sorted by name, by the VM whose controller collects them. While that
// controller is unreachable, the endpoint is also requested from the controller that is next in line.
func (s *LoadSubscriber) endpointsByCollector() map[string][]string {
	unreachable := s.unreachableVMs()
	wanted := make(map[string][]string)
	followed := 0
	for pool := range s.snapshots.Current().Pools() {
		for _, name := range s.endpointFilter(pool) {
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
	s.followedEndpoints = followed
	for vm, names := range wanted {
		slices.Sort(names)
		if _, ok := s.lastMessageAt[vm]; !ok {
			s.lastMessageAt[vm] = time.Now()
		}
	}
	maps.DeleteFunc(s.lastMessageAt, func(vm string, _ time.Time) bool { return wanted[vm] == nil })
	return wanted
}

// reportPeriod returns the shortest time between two reports of one endpoint.
func (s *LoadSubscriber) reportPeriod() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(maxReportPeriod, time.Duration(s.followedEndpoints)*periodPerEndpoint)
}

// cacheBlockRate returns the bound of the prefix blocks per second that may be sent for each endpoint.
func (s *LoadSubscriber) cacheBlockRate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := float64(max(1, s.followedEndpoints))
	return min(maxCacheBlocksPerSecond, max(minCacheBlocksPerSecond, maxCacheBlocksPerSecond*fullCacheRateEndpoints/n)) / n
}

// silenceTimeout returns the time without a message after which a stream is given up.
func (s *LoadSubscriber) silenceTimeout() time.Duration {
	return max(loadSilenceTimeout, 3*s.reportPeriod())
}

// followController follows one controller's stream and opens it again when it ends, until ctx ends.
func (s *LoadSubscriber) followController(ctx context.Context, name string, endpoints []string) {
	for ctx.Err() == nil {
		if vm, ok := s.members.VM(name); ok {
			_ = s.subscribe(ctx, vm, endpoints)
		}
		ctxtime.Sleep(ctx, streamRetryDelay)
	}
}

// subscribe applies the updates from one controller until the stream fails or is silent. It returns nil when the set of
// unreachable VMs has changed, so that the next stream requests the endpoints of these VMs.
func (s *LoadSubscriber) subscribe(ctx context.Context, vm apitypes.VM, endpoints []string) error {
	conn, release, err := s.dial(vm)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	period, timeout := s.reportPeriod(), s.silenceTimeout()
	silence := time.AfterFunc(timeout, cancel)
	defer silence.Stop()
	unreachable := s.unreachableVMs()
	request := &peerpb.LoadRequest{Vm: s.vm, Without: unreachable, Endpoints: endpoints, PeriodMs: period.Milliseconds(),
		CacheBlocks: s.cacheBlockRate()}
	stream, err := peerpb.NewLoadClient(conn).Subscribe(ctx, request)
	if err != nil {
		return err
	}
	// descriptions holds the last message with a description by its ref, which is valid on this stream only.
	descriptions := make(map[uint32]*peerpb.EndpointLoad)
	for {
		u, err := stream.Recv()
		if err != nil {
			return err
		}
		silence.Reset(timeout)
		s.recordMessage(vm.Name)
		for i, m := range u.Endpoints {
			if m.Name != "" {
				descriptions[m.Ref] = m
			} else if d := descriptions[m.Ref]; d != nil {
				u.Endpoints[i] = mergeDescription(m, d)
			}
		}
		s.applyUpdate(u)
		if !slices.Equal(unreachable, s.unreachableVMs()) {
			return nil
		}
	}
}

// recordMessage records that a VM's controller has just sent a message.
func (s *LoadSubscriber) recordMessage(vm string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastMessageAt[vm] = time.Now()
}

// unreachableVMs returns the names of the live VMs whose controllers are followed and have sent nothing for twice the silence
// timeout.
func (s *LoadSubscriber) unreachableVMs() []string {
	timeout := 2 * s.silenceTimeout()
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for vm, at := range s.lastMessageAt {
		if member, ok := s.members.VM(vm); ok && member.State == apitypes.VMLive && time.Since(at) > timeout {
			names = append(names, vm)
		}
	}
	slices.Sort(names)
	return names
}

// applyUpdate applies one controller's update. A report that was measured before the one in use is ignored unless the endpoint
// has restarted.
func (s *LoadSubscriber) applyUpdate(u *peerpb.LoadUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range u.Endpoints {
		if m.Name == "" {
			continue
		}
		e := endpointFromMessage(m)
		if old, ok := s.reported[m.Name]; !ok || !e.ReportedAt.Before(old.ReportedAt) || m.Instance != old.Load.Instance {
			s.reported[m.Name] = reportedEndpoint{e, time.Now()}
		}
		if m.CacheGap {
			s.balancer.RecordCacheGap(m.Name)
		}
		if len(m.CacheStored)+len(m.CacheRemoved) > 0 || m.CacheReset {
			s.balancer.ApplyCacheEvent(m.Name, m.CacheStored, m.CacheRemoved, m.CacheReset)
		}
		s.publish(s.snapshots.Current(), m.Name)
	}
	for _, name := range u.Gone {
		delete(s.reported, name)
		s.publish(s.snapshots.Current(), name)
	}
}

// endpointFromMessage converts a message that has a description.
func endpointFromMessage(m *peerpb.EndpointLoad) balancer.Endpoint {
	return balancer.Endpoint{
		Endpoint: apitypes.Endpoint{Name: m.Name, Pool: m.Pool, Addr: m.Addr, FailureDomain: m.FailureDomain,
			Class: apitypes.EndpointClass(m.Class), State: apitypes.EndpointState(m.State), ReclaimAt: m.ReclaimAt},
		Load: apitypes.Load{Endpoint: m.Name, Role: apitypes.Role(m.Role), Model: m.Model, Version: m.Version, Adapters: m.Adapters,
			Running: int(m.Running), Waiting: int(m.Waiting), Slots: int(m.Slots), QueuedPrefillTokens: int(m.QueuedPrefillTokens),
			KVFree: int(m.KvFree), KVTotal: int(m.KvTotal), PrefillRate: m.PrefillRate, DecodeRate: m.DecodeRate,
			Instance: m.Instance, SoftwareVersion: m.SoftwareVersion, AgeMS: m.AgeMs},
		NoNewWork:  m.NoNewWork,
		ReportedAt: time.Now().Add(-time.Duration(m.AgeMs) * time.Millisecond),
	}
}

// dropStaleReports drops the reports of endpoints whose controller has stopped reporting them without sending that the endpoints
// are gone.
func (s *LoadSubscriber) dropStaleReports() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, r := range s.reported {
		if time.Since(r.receivedAt) > reportLifetime {
			delete(s.reported, name)
			s.publish(s.snapshots.Current(), name)
		}
	}
}

// refreshEndpoints publishes all endpoints after a change of the snapshot or of the lists.
func (s *LoadSubscriber) refreshEndpoints() {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Read under the lock, so that of two refreshes the later one has the newer snapshot.
	snapshot, listed := s.snapshots.Current(), make(map[string]apitypes.Endpoint)
	for pool := range snapshot.Pools() {
		maps.Copy(listed, s.directory.Endpoints(pool))
	}
	s.listed = listed
	names := make(map[string]bool, len(listed))
	for name := range s.published {
		names[name] = true
	}
	for name := range s.reported {
		names[name] = true
	}
	for name := range listed {
		names[name] = true
	}
	for name := range names {
		s.publish(snapshot, name)
	}
}

// publish passes the current state of one endpoint to the balancer. The caller must hold s.mu.
func (s *LoadSubscriber) publish(snapshot *config.Snapshot, name string) {
	e, exists := s.currentEndpoint(snapshot, name)
	old, wasPublished := s.published[name]
	if wasPublished && (!exists || old.Pool != e.Pool) {
		s.balancer.RemoveEndpoint(old.Pool, name)
		delete(s.published, name)
	}
	if exists {
		s.published[name] = e
		s.balancer.UpdateEndpoint(e.Pool, e)
	}
}

// currentEndpoint returns an endpoint as its last report, the lists and the configuration describe it. It returns false for an
// endpoint that is no longer listed, even if a controller still reports it.
func (s *LoadSubscriber) currentEndpoint(snapshot *config.Snapshot, name string) (balancer.Endpoint, bool) {
	fromList, listed := s.listed[name]
	if !listed || snapshot.Pool(fromList.Pool) == nil {
		return balancer.Endpoint{}, false
	}
	e := balancer.Endpoint{Endpoint: fromList}
	if r, ok := s.reported[name]; ok && r.Pool == fromList.Pool {
		e = r.Endpoint
	}
	e.NoNewWork = e.NoNewWork || !acceptsNewWork(fromList) || DrainReason(snapshot, e.Pool, name) != ""
	return e, true
}

// DrainReason returns the reason for which the configuration drains an endpoint, or "" when it does not.
func DrainReason(snapshot *config.Snapshot, pool, name string) string {
	if p := snapshot.Pool(pool); p != nil && slices.Contains(p.Drained, name) {
		return "drained by an operator"
	}
	o := snapshot.Orders(pool)
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
