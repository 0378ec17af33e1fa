package daemon

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/claim"
	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/controller"
	"crocusglade.example/crocusglade/internal/duty"
	"crocusglade.example/crocusglade/internal/endpoint"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/objectstore/httpplatform"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
	"crocusglade.example/crocusglade/internal/settings"
	"crocusglade.example/crocusglade/internal/telemetry"
	"crocusglade.example/crocusglade/internal/usage"
)

// poolsEvery is how often the set of pools with an orders duty is compared with the configuration.
const poolsEvery = time.Second

// controllerNode is a controller with its connections to the rest of the system.
type controllerNode struct {
	*node
	supply    *config.SourceSelector
	relay     *config.Relay
	directory *controller.Directory
	collector *controller.Collector
	fleet     *fleetTable
	endpoints *endpoint.Client
	demand    *demandReader
}

// ControllerComponents constructs the parts of a controller.
func ControllerComponents(s *settings.Controller, t *telemetry.Telemetry) ([]Component, error) {
	base, err := newNode(s.Common, t, apitypes.VM{ControllerAddr: s.AdminAdvertise, ControllerPeerAddr: s.PeerAdvertise})
	if err != nil {
		return nil, err
	}
	if err := checkPlain("administration", s.AdminListen, s.AdminTLS); err != nil {
		return nil, err
	}
	adminTLS, err := loadTLS(s.AdminTLS)
	if err != nil {
		return nil, err
	}
	c := newControllerNode(base)
	loads := controller.NewLoadSubscriber(s.VMName, c.holder, c.members, c.clients.DialController, c.fleet)
	loads.UseDirectory(c.directory)
	loads.SetEndpointFilter(c.fleet.interest)
	parts := append(c.parts(),
		Component{Name: "configuration", Run: c.supply.Run},
		Component{Name: "provider lists", Run: c.directory.Run},
		Component{Name: "collector", Run: c.collector.Run},
		Component{Name: "load", Run: loads.Run},
		Component{Name: "demand", Run: c.demand.Run},
		Component{Name: "orders", Run: c.runOrders},
		Component{Name: "usage windows", Run: c.runUsage},
		Component{Name: "claims", Run: c.runClaims},
		Component{Name: "health check", Run: c.watchReadiness},
		c.peerServer(func(r *grpc.Server) {
			peerpb.RegisterConfigServer(r, c.relay)
			peerpb.RegisterLoadServer(r, &controller.LoadServer{Collector: c.collector, Directory: c.directory})
		}),
	)
	if adminTLS != nil {
		parts = append(parts, Component{Name: "administration TLS", Run: adminTLS.Run})
	}
	return append(parts, c.administration(s, adminTLS)), nil
}

func newControllerNode(base *node) *controllerNode {
	source := config.NewPlatformSource(base.platform, base.holder, base.freshness)
	subscriber := config.NewSubscriber(base.settings.VMName, "controller", base.holder, base.freshness, base.members.Parents, base.clients.DialController)
	// A controller's calls to endpoints are control, a gateway's carry requests.
	endpoints := base.endpointOptions()
	endpoints.DialContext = base.dialer(telemetry.LinkEndpoint, endpoint.DefaultDialTimeout)
	c := &controllerNode{node: base, endpoints: endpoint.New(endpoints), demand: newDemandReader(base.members, base.clients)}
	c.supply = config.NewSourceSelector(base.settings.VMName, base.members.All, source, subscriber)
	c.relay = config.NewRelay(base.holder, base.freshness)
	base.telemetry.Metrics.Relay.ObserveSubscribers(c.relay.StreamsByRole)
	c.relay.OnObjectsSent(func(objects int) { base.telemetry.Metrics.Relay.Sent(context.Background(), "config", int64(objects)) })
	subscriber.OnStreamLost(base.countLost)
	c.directory = controller.NewDirectory(base.settings.VMName, base.holder, base.members, base.platform, base.clients.DialController)
	c.collector = controller.NewCollector(base.settings.VMName, base.holder, base.members, c.directory, &collectorClient{c.endpoints})
	c.fleet = newFleetTable(base.holder, c.directory)
	return c
}

// holderName is unique for each incarnation, as leases need.
func (c *controllerNode) holderName() string { return c.settings.VMName + "." + c.incarnation }

// runOrders runs one orders duty for each pool in the configuration.
func (c *controllerNode) runOrders(ctx context.Context) error {
	running := make(map[string]context.CancelFunc)
	var duties sync.WaitGroup
	defer duties.Wait()
	ticker := time.NewTicker(poolsEvery)
	defer ticker.Stop()
	for {
		pools := c.holder.Current().Pools()
		for name := range pools {
			if running[name] == nil && c.members.IsLeaseCandidate(ordersLease(name)) {
				poolCtx, cancel := context.WithCancel(ctx)
				running[name] = cancel
				duties.Go(func() { _ = c.orders(name).Run(poolCtx) })
			}
		}
		for name, cancel := range running {
			if pools[name] == nil || !c.members.IsLeaseCandidate(ordersLease(name)) {
				cancel()
				delete(running, name)
			}
		}
		select {
		case <-ctx.Done():
			for _, cancel := range running {
				cancel()
			}
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// ordersLease names the lease of a pool's orders, as internal/duty does.
func ordersLease(pool string) string { return pool + "." + string(apitypes.DutyOrders) }

// whileCandidate runs a part while this VM is a candidate for a lease, until ctx ends. A part that ends by itself is run again.
func (c *controllerNode) whileCandidate(ctx context.Context, lease string, run func(context.Context) error) error {
	ticker := time.NewTicker(poolsEvery)
	defer ticker.Stop()
	for {
		if c.members.IsLeaseCandidate(lease) {
			c.runWhileCandidate(ctx, lease, run)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (c *controllerNode) runWhileCandidate(ctx context.Context, lease string, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = run(ctx)
	}()
	ticker := time.NewTicker(poolsEvery)
	defer ticker.Stop()
	for c.members.IsLeaseCandidate(lease) {
		select {
		case <-ended:
			cancel()
			return
		case <-ticker.C:
		}
	}
	cancel()
	<-ended
}

func (c *controllerNode) orders(pool string) *duty.OrdersDuty {
	return &duty.OrdersDuty{Pool: pool, Holder: c.holderName(), Store: c.platform, Fleet: c.fleet, Log: c.telemetry.Log, Rank: c.members.Rank,
		OnOrder: func(kind apitypes.OrderKind, result apitypes.IntentState) {
			c.telemetry.Metrics.Lease.Order(context.Background(), string(kind), string(result))
		},
		OnTerm:      func(held bool) { c.countTerm(string(apitypes.DutyOrders), held) },
		NewProvider: func(a *lease.Authority) objectstore.Provider { return c.boundPlatform(a) },
		NewPlanners: c.newPlanners, EndpointTLS: c.endpointTLS}
}

// boundPlatform returns a platform client whose connections end with the authority.
func (c *controllerNode) boundPlatform(a *lease.Authority) *httpplatform.Client {
	options, err := c.platformOptions()
	if err != nil {
		// The same settings were accepted at start.
		panic(err)
	}
	options.DialContext = a.DialContext
	p, err := httpplatform.New(c.settings.PlatformURL, options)
	if err != nil {
		// The same URL was accepted at start.
		panic(err)
	}
	return p
}

// runUsage seals and reports usage windows while it holds the lease.
func (c *controllerNode) runUsage(ctx context.Context) error {
	return c.whileCandidate(ctx, string(apitypes.DutyUsage), func(ctx context.Context) error {
		return duty.RunUsageDuty(ctx, c.platform, c.holderName(), c.members.Rank, c.sealWindows)
	})
}

// countTerm counts the begin or the end of a term.
func (c *controllerNode) countTerm(duty string, held bool) {
	if held {
		c.telemetry.Metrics.Lease.Taken(context.Background(), duty)
		return
	}
	c.telemetry.Metrics.Lease.Lost(context.Background(), duty)
}

// countClaims counts what a pass over open claims did.
func (c *controllerNode) countClaims(r claim.ReconcileReport) {
	ctx, m := context.Background(), c.telemetry.Metrics
	m.Claim.SetUnresolved(ctx, r.Unresolved)
	for range r.Done {
		m.Claim.Reconciled(ctx, string(apitypes.ClaimDone))
	}
	for range r.NotRun {
		m.Claim.Reconciled(ctx, string(apitypes.ClaimNotRun))
	}
}

// sealWindows runs the sealer for one term.
func (c *controllerNode) sealWindows(a *lease.Authority) {
	metrics, ctx := c.telemetry.Metrics, context.Background()
	c.countTerm(string(apitypes.DutyUsage), true)
	defer c.countTerm(string(apitypes.DutyUsage), false)
	sealer := &usage.Sealer{Store: c.platform, VMs: c.platform, Sink: c.boundPlatform(a), Collector: &windowCollector{c.node},
		Holder: c.holderName(), WindowLength: int64(c.settings.WindowLength / time.Second),
		OnSeal:   func(missing int) { metrics.Usage.Sealed(ctx, missing) },
		OnReport: func(accepted bool) { metrics.Usage.Reported(ctx, accepted) }}
	sealer.Run(a)
}

// runClaims reconciles claims that gateways left open while it holds the lease.
func (c *controllerNode) runClaims(ctx context.Context) error {
	store := claim.NewStore(claim.Options{Platform: c.platform, Log: c.telemetry.Log, OnShardWrite: c.countGroup})
	r := claim.Reconciler{Store: store, Incarnations: &incarnations{c.node},
		Endpoints: claim.HTTPEndpointQuerier{Client: c.endpoints, Addr: c.fleet.address}}
	return c.whileCandidate(ctx, string(apitypes.DutyClaims), func(ctx context.Context) error {
		return duty.RunClaimsDuty(ctx, c.platform, c.holderName(), c.members.Rank, r, c.telemetry.Log, c.countClaims)
	})
}

// watchReadiness keeps /readyz and the metric of the configuration's age.
func (c *controllerNode) watchReadiness(ctx context.Context) error {
	ticker := time.NewTicker(readyEvery)
	defer ticker.Stop()
	for {
		if c.holder.Current().Revision() > 0 || c.supply.Watching() {
			c.telemetry.Health.SetReady("configuration")
		} else {
			c.telemetry.Health.SetPending("configuration", "the platform or a watching controller has not answered yet")
		}
		c.telemetry.Metrics.Config.SetAge(ctx, float64(c.freshness.AgeMS())/1000)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// collectorClient adapts the endpoint client. It implements controller.EndpointClient.
type collectorClient struct{ client *endpoint.Client }

// Load implements controller.EndpointClient.
func (c *collectorClient) Load(ctx context.Context, e apitypes.Endpoint) (apitypes.Load, error) {
	return c.client.Load(ctx, e.Addr)
}

// CacheEvents implements controller.EndpointClient.
func (c *collectorClient) CacheEvents(ctx context.Context, e apitypes.Endpoint, handle func(controller.CacheEvent)) error {
	return c.client.CacheEvents(ctx, e.Addr, func(ev endpoint.CacheEvent) error {
		handle(controller.CacheEvent{Seq: ev.Seq, Stored: ev.Stored, Removed: ev.Removed})
		return nil
	})
}

// interestFor is how long the loads of a pool are followed after they were last asked for. A duty asks every second.
const interestFor = time.Minute

// fleetTable is the last report of each endpoint, joined with the directory. It implements duty.Fleet, and controller.EndpointSink to be fed.
// Only the pools that are asked for are followed, so a controller that holds no orders gets no loads.
type fleetTable struct {
	holder    *config.SnapshotStore
	directory *controller.Directory

	mu      sync.Mutex
	reports map[string]balancer.Endpoint
	asked   map[string]time.Time
}

func newFleetTable(h *config.SnapshotStore, d *controller.Directory) *fleetTable {
	return &fleetTable{holder: h, directory: d, reports: make(map[string]balancer.Endpoint), asked: make(map[string]time.Time)}
}

// interest names the endpoints of a pool whose load is of interest.
func (f *fleetTable) interest(pool string) []string {
	f.mu.Lock()
	asked, ok := f.asked[pool]
	f.mu.Unlock()
	if !ok || time.Since(asked) > interestFor {
		return nil
	}
	return slices.Collect(maps.Keys(f.directory.Endpoints(pool)))
}

// UpdateEndpoint implements controller.EndpointSink.
func (f *fleetTable) UpdateEndpoint(_ string, e balancer.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports[e.Name] = e
}

// RemoveEndpoint implements controller.EndpointSink.
func (f *fleetTable) RemoveEndpoint(_, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.reports, name)
}

// ApplyCacheEvent implements controller.EndpointSink. Planners don't use the cache.
func (f *fleetTable) ApplyCacheEvent(string, []uint64, []uint64, bool) {}

// RecordCacheGap implements controller.EndpointSink.
func (f *fleetTable) RecordCacheGap(string) {}

// Pool implements duty.Fleet.
func (f *fleetTable) Pool(name string) (apitypes.Pool, bool) {
	p := f.holder.Current().Pool(name)
	if p == nil {
		return apitypes.Pool{}, false
	}
	return *p, true
}

// Endpoints implements duty.Fleet.
func (f *fleetTable) Endpoints(pool string) []duty.EndpointView {
	listed := f.directory.Endpoints(pool)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked[pool] = time.Now()
	out := make([]duty.EndpointView, 0, len(listed))
	for name, e := range listed {
		v := duty.EndpointView{Endpoint: e}
		if r, ok := f.reports[name]; ok {
			v.Load, v.ReportedAt = r.Load, r.ReportedAt
		}
		out = append(out, v)
	}
	return out
}

func (f *fleetTable) address(name string) (string, bool) {
	for pool := range f.holder.Current().Pools() {
		if e, ok := f.directory.Endpoints(pool)[name]; ok {
			return e.Addr, e.Addr != ""
		}
	}
	return "", false
}

// windowCollector closes windows at gateways. It implements usage.Collector.
type windowCollector struct{ *node }

// CollectWindow implements usage.Collector.
func (c *windowCollector) CollectWindow(ctx context.Context, vm apitypes.VM, window int64, holder string, fence uint64) (usage.WindowCounters, error) {
	client, err := c.clients.GatewayClient(vm)
	if err != nil {
		return usage.WindowCounters{}, err
	}
	r, err := client.CollectWindow(ctx, &peerpb.CollectWindowRequest{Window: window, Holder: holder, Fence: fence})
	if err != nil {
		return usage.WindowCounters{}, err
	}
	return usage.WindowCounters{Incarnation: vm.Name + "." + r.Incarnation, Counters: usageCounters(r.Counters)}, nil
}

// incarnations asks gateways about themselves. It implements claim.Incarnations. Gateways are named "<vm>.<incarnation>".
type incarnations struct{ *node }

// splitGateway returns VM and incarnation. The name of a VM may hold dots, an incarnation holds none.
func splitGateway(gateway string) (vmName, incarnation string) {
	i := strings.LastIndex(gateway, ".")
	if i < 0 {
		return gateway, ""
	}
	return gateway[:i], gateway[i+1:]
}

// IsGone implements claim.Incarnations.
func (i *incarnations) IsGone(ctx context.Context, gateway string) (bool, error) {
	name, incarnation := splitGateway(gateway)
	// A process counts its own VM as a member, also when the VM has left the list.
	listed, err := i.members.IsListed(name)
	if err != nil {
		return false, err
	}
	if !listed {
		return true, nil
	}
	vm, _ := i.members.VM(name)
	s, err := i.status(ctx, vm)
	if err != nil {
		return false, err
	}
	return s.Incarnation != incarnation, nil
}

// OwnsAttempt implements claim.Incarnations.
func (i *incarnations) OwnsAttempt(ctx context.Context, gateway, attempt string) (bool, error) {
	name, incarnation := splitGateway(gateway)
	vm, ok := i.members.VM(name)
	if !ok {
		return false, nil
	}
	s, err := i.status(ctx, vm)
	if status.Code(err) == codes.Unavailable {
		return true, nil
	}
	if err != nil {
		return true, err
	}
	if s.Incarnation != incarnation {
		return false, nil
	}
	for _, a := range s.Attempts {
		if a == attempt {
			return true, nil
		}
	}
	return false, nil
}

func (i *incarnations) status(ctx context.Context, vm apitypes.VM) (*peerpb.StatusResponse, error) {
	client, err := i.clients.GatewayClient(vm)
	if err != nil {
		return nil, err
	}
	return client.GetStatus(ctx, &peerpb.StatusRequest{})
}
