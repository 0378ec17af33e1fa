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

// poolCheckInterval is how often the pools in the configuration and the lease candidacy of this VM are checked, to start and stop
// duties.
const poolCheckInterval = time.Second

// controllerNode is a controller with its connections to other processes, the platform and endpoints.
type controllerNode struct {
	*node
	configSource *config.SourceSelector
	relay        *config.Relay
	directory    *controller.Directory
	collector    *controller.Collector
	fleet        *fleetTable
	endpoints    *endpoint.Client
	demand       *demandAggregator
}

// ControllerComponents creates the components of a controller. It opens no connections. It returns an error for TLS files that can't be
// loaded and for addresses that would need TLS files.
func ControllerComponents(s *settings.Controller, t *telemetry.Telemetry) ([]Component, error) {
	base, err := newNode(s.Common, t, apitypes.VM{ControllerAddr: s.AdminAdvertise, ControllerPeerAddr: s.PeerAdvertise})
	if err != nil {
		return nil, err
	}
	if err := checkPlaintext("administration", s.AdminListen, s.AdminTLS); err != nil {
		return nil, err
	}
	adminTLS, err := loadTLS(s.AdminTLS)
	if err != nil {
		return nil, err
	}
	c := newControllerNode(base)
	loads := controller.NewLoadSubscriber(s.VMName, c.configStore, c.members, c.clients.DialController, c.fleet)
	loads.UseDirectory(c.directory)
	loads.SetEndpointFilter(c.fleet.endpointsInUse)
	components := append(c.components(),
		Component{Name: "configuration", Run: c.configSource.Run},
		Component{Name: "provider lists", Run: c.directory.Run},
		Component{Name: "collector", Run: c.collector.Run},
		Component{Name: "load", Run: loads.Run},
		Component{Name: "demand", Run: c.demand.Run},
		Component{Name: "orders", Run: c.runOrdersDuties},
		Component{Name: "usage windows", Run: c.runUsageDuty},
		Component{Name: "claims", Run: c.runClaimsDuty},
		Component{Name: "health check", Run: c.watchReadiness},
		c.peerServer(func(r *grpc.Server) {
			peerpb.RegisterConfigServer(r, c.relay)
			peerpb.RegisterLoadServer(r, &controller.LoadServer{Collector: c.collector, Directory: c.directory})
		}),
	)
	if adminTLS != nil {
		components = append(components, Component{Name: "administration TLS", Run: adminTLS.Run})
	}
	return append(components, c.adminServer(s, adminTLS)), nil
}

// newControllerNode creates the parts of a controller and connects them.
func newControllerNode(base *node) *controllerNode {
	source := config.NewPlatformSource(base.platform, base.configStore, base.freshness)
	subscriber := config.NewSubscriber(base.settings.VMName, "controller", base.configStore, base.freshness, base.members.Parents, base.clients.DialController)
	// The calls of a controller to endpoints are control traffic and are counted; those of a gateway carry requests.
	endpoints := base.endpointOptions()
	endpoints.DialContext = base.dialer(telemetry.LinkEndpoint, endpoint.DefaultDialTimeout)
	c := &controllerNode{node: base, endpoints: endpoint.New(endpoints), demand: newDemandAggregator(base.members, base.clients)}
	c.configSource = config.NewSourceSelector(base.settings.VMName, base.members.All, source, subscriber)
	c.relay = config.NewRelay(base.configStore, base.freshness)
	base.telemetry.Metrics.Relay.ObserveSubscribers(c.relay.StreamsByRole)
	c.relay.OnObjectsSent(func(objects int) {
		base.telemetry.Metrics.Relay.ObjectsSent(context.Background(), "config", int64(objects))
	})
	subscriber.OnStreamLost(base.countLostStream)
	c.directory = controller.NewDirectory(base.settings.VMName, base.configStore, base.members, base.platform, base.clients.DialController)
	c.collector = controller.NewCollector(base.settings.VMName, base.configStore, base.members, c.directory, &collectorClient{c.endpoints})
	c.fleet = newFleetTable(base.configStore, c.directory)
	return c
}

// holderName returns the name under which this process holds leases. It differs between incarnations, so that a restarted process is a
// different holder.
func (c *controllerNode) holderName() string { return c.settings.VMName + "." + c.incarnation }

// runOrdersDuties runs an orders duty for each pool in the configuration for whose lease this VM is a candidate, until ctx ends.
func (c *controllerNode) runOrdersDuties(ctx context.Context) error {
	cancelByPool := make(map[string]context.CancelFunc)
	var duties sync.WaitGroup
	defer duties.Wait()
	ticker := time.NewTicker(poolCheckInterval)
	defer ticker.Stop()
	for {
		pools := c.configStore.Current().Pools()
		for name := range pools {
			if cancelByPool[name] == nil && c.members.IsLeaseCandidate(ordersLeaseName(name)) {
				poolCtx, cancel := context.WithCancel(ctx)
				cancelByPool[name] = cancel
				duties.Go(func() { _ = c.ordersDuty(name).Run(poolCtx) })
			}
		}
		for name, cancel := range cancelByPool {
			if pools[name] == nil || !c.members.IsLeaseCandidate(ordersLeaseName(name)) {
				cancel()
				delete(cancelByPool, name)
			}
		}
		select {
		case <-ctx.Done():
			for _, cancel := range cancelByPool {
				cancel()
			}
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// ordersLeaseName returns the name of the lease for a pool's orders. It is the same name as in package duty.
func ordersLeaseName(pool string) string { return pool + "." + string(apitypes.DutyOrders) }

// runWhileCandidate calls run while this VM is a candidate for a lease, until ctx ends. It calls run again when run returns.
func (c *controllerNode) runWhileCandidate(ctx context.Context, lease string, run func(context.Context) error) error {
	ticker := time.NewTicker(poolCheckInterval)
	defer ticker.Stop()
	for {
		if c.members.IsLeaseCandidate(lease) {
			c.runOnceWhileCandidate(ctx, lease, run)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// runOnceWhileCandidate calls run once. It cancels the context of run when this VM is no longer a candidate for the lease, and returns when
// run has returned.
func (c *controllerNode) runOnceWhileCandidate(ctx context.Context, lease string, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = run(ctx)
	}()
	ticker := time.NewTicker(poolCheckInterval)
	defer ticker.Stop()
	for c.members.IsLeaseCandidate(lease) {
		select {
		case <-done:
			cancel()
			return
		case <-ticker.C:
		}
	}
	cancel()
	<-done
}

// ordersDuty returns the orders duty of a pool.
func (c *controllerNode) ordersDuty(pool string) *duty.OrdersDuty {
	return &duty.OrdersDuty{Pool: pool, Holder: c.holderName(), Store: c.platform, Fleet: c.fleet, Log: c.telemetry.Log, Rank: c.members.Rank,
		OnOrder: func(kind apitypes.OrderKind, result apitypes.IntentState) {
			c.telemetry.Metrics.Lease.Order(context.Background(), string(kind), string(result))
		},
		OnTerm:      func(held bool) { c.countLeaseTerm(string(apitypes.DutyOrders), held) },
		NewProvider: func(a *lease.Authority) objectstore.Provider { return c.platformForTerm(a) },
		NewPlanners: c.newPlanners, EndpointTLS: c.endpointTLS}
}

// platformForTerm returns a platform client for one term of a lease. Its connections are closed when the authority ends.
func (c *controllerNode) platformForTerm(a *lease.Authority) *httpplatform.Client {
	options, err := c.platformOptions()
	if err != nil {
		// newNode has accepted the same settings.
		panic(err)
	}
	options.DialContext = a.DialContext
	p, err := httpplatform.New(c.settings.PlatformURL, options)
	if err != nil {
		// newNode has accepted the same URL.
		panic(err)
	}
	return p
}

// runUsageDuty seals and reports usage windows while this process holds the usage lease.
func (c *controllerNode) runUsageDuty(ctx context.Context) error {
	return c.runWhileCandidate(ctx, string(apitypes.DutyUsage), func(ctx context.Context) error {
		return duty.RunUsageDuty(ctx, c.platform, c.holderName(), c.members.Rank, c.sealWindows)
	})
}

// countLeaseTerm counts the start of a term of a duty when held is true, and its end otherwise.
func (c *controllerNode) countLeaseTerm(duty string, held bool) {
	if held {
		c.telemetry.Metrics.Lease.Acquired(context.Background(), duty)
		return
	}
	c.telemetry.Metrics.Lease.Lost(context.Background(), duty)
}

// countReconciledClaims records the result of one pass over the open claims in the metrics.
func (c *controllerNode) countReconciledClaims(r claim.ReconcileReport) {
	ctx, m := context.Background(), c.telemetry.Metrics
	m.Claim.SetUnresolved(ctx, r.Unresolved)
	for range r.Done {
		m.Claim.Reconciled(ctx, string(apitypes.ClaimDone))
	}
	for range r.NotRun {
		m.Claim.Reconciled(ctx, string(apitypes.ClaimNotRun))
	}
}

// sealWindows seals and reports usage windows for one term of the lease.
func (c *controllerNode) sealWindows(a *lease.Authority) {
	metrics, ctx := c.telemetry.Metrics, context.Background()
	c.countLeaseTerm(string(apitypes.DutyUsage), true)
	defer c.countLeaseTerm(string(apitypes.DutyUsage), false)
	sealer := &usage.Sealer{Store: c.platform, VMs: c.platform, Sink: c.platformForTerm(a), Collector: &windowCollector{c.node},
		Holder: c.holderName(), WindowLength: int64(c.settings.WindowLength / time.Second),
		OnSeal:   func(missing int) { metrics.Usage.Sealed(ctx, missing) },
		OnReport: func(accepted bool) { metrics.Usage.Reported(ctx, accepted) }}
	sealer.Run(a)
}

// runClaimsDuty reconciles claims that gateways have left open, while this process holds the claims lease.
func (c *controllerNode) runClaimsDuty(ctx context.Context) error {
	store := claim.NewStore(claim.Options{Platform: c.platform, Log: c.telemetry.Log, OnShardWrite: c.recordClaimGroup})
	r := claim.Reconciler{Store: store, Incarnations: &incarnationChecker{c.node},
		Endpoints: claim.HTTPRequestQuerier{Client: c.endpoints, Addr: c.fleet.endpointAddress}}
	return c.runWhileCandidate(ctx, string(apitypes.DutyClaims), func(ctx context.Context) error {
		return duty.RunClaimsDuty(ctx, c.platform, c.holderName(), c.members.Rank, r, c.telemetry.Log, c.countReconciledClaims)
	})
}

// watchReadiness updates the readiness of the process and the metric of the configuration's age, until ctx ends.
func (c *controllerNode) watchReadiness(ctx context.Context) error {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		if c.configStore.Current().Revision() > 0 || c.configSource.Watching() {
			c.telemetry.Health.SetReady("configuration")
		} else {
			c.telemetry.Health.SetPending("configuration", "the platform or a watching controller has not responded yet")
		}
		c.telemetry.Metrics.Config.SetAge(ctx, float64(c.freshness.AgeMS())/1000)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// collectorClient adapts endpoint.Client to the interface controller.EndpointClient.
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

// poolUseTimeout is how long after the last call of Endpoints for a pool its loads are still subscribed to. A running duty calls
// Endpoints every second.
const poolUseTimeout = time.Minute

// fleetTable holds the latest load report of each endpoint and joins the reports with the endpoints in the directory. It implements
// duty.Fleet and receives the reports as a controller.EndpointSink. Only loads of pools in use are subscribed to, so that a controller
// without an orders lease receives none.
type fleetTable struct {
	configStore *config.SnapshotStore
	directory   *controller.Directory

	mu       sync.Mutex
	reports  map[string]balancer.Endpoint
	lastUsed map[string]time.Time
}

func newFleetTable(configStore *config.SnapshotStore, directory *controller.Directory) *fleetTable {
	return &fleetTable{configStore: configStore, directory: directory, reports: make(map[string]balancer.Endpoint), lastUsed: make(map[string]time.Time)}
}

// endpointsInUse returns the names of a pool's endpoints if the pool is in use, and nil otherwise.
func (f *fleetTable) endpointsInUse(pool string) []string {
	f.mu.Lock()
	lastUsed, ok := f.lastUsed[pool]
	f.mu.Unlock()
	if !ok || time.Since(lastUsed) > poolUseTimeout {
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

// ApplyCacheEvent implements controller.EndpointSink. It does nothing, because planners don't use the contents of caches.
func (f *fleetTable) ApplyCacheEvent(string, []uint64, []uint64, bool) {}

// RecordCacheGap implements controller.EndpointSink. It does nothing, as ApplyCacheEvent.
func (f *fleetTable) RecordCacheGap(string) {}

// Pool implements duty.Fleet.
func (f *fleetTable) Pool(name string) (apitypes.Pool, bool) {
	p := f.configStore.Current().Pool(name)
	if p == nil {
		return apitypes.Pool{}, false
	}
	return *p, true
}

// Endpoints implements duty.Fleet. The call marks the pool as in use.
func (f *fleetTable) Endpoints(pool string) []duty.EndpointView {
	listed := f.directory.Endpoints(pool)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastUsed[pool] = time.Now()
	out := make([]duty.EndpointView, 0, len(listed))
	for name, e := range listed {
		view := duty.EndpointView{Endpoint: e}
		if report, ok := f.reports[name]; ok {
			view.Load, view.ReportedAt = report.Load, report.ReportedAt
		}
		out = append(out, view)
	}
	return out
}

// endpointAddress returns the address of the endpoint with the given name in any pool, and whether there is one.
func (f *fleetTable) endpointAddress(name string) (string, bool) {
	for pool := range f.configStore.Current().Pools() {
		if e, ok := f.directory.Endpoints(pool)[name]; ok {
			return e.Addr, e.Addr != ""
		}
	}
	return "", false
}

// windowCollector closes usage windows at gateways and collects their counters. It implements usage.Collector.
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

// incarnationChecker queries gateways for their incarnation and the attempts of claims that they are running. It implements
// claim.IncarnationTracker, where gateways are named "<vm>.<incarnation>".
type incarnationChecker struct{ *node }

// splitGatewayName returns the VM and the incarnation in the name of a gateway. The name of a VM may contain dots, an incarnation does
// not.
func splitGatewayName(gateway string) (vmName, incarnation string) {
	i := strings.LastIndex(gateway, ".")
	if i < 0 {
		return gateway, ""
	}
	return gateway[:i], gateway[i+1:]
}

// IsGone implements claim.IncarnationTracker.
func (i *incarnationChecker) IsGone(ctx context.Context, gateway string) (bool, error) {
	name, incarnation := splitGatewayName(gateway)
	// members.VM also returns this process's own VM when that VM is not in the list, so IsListed is checked first.
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

// OwnsAttempt implements claim.IncarnationTracker.
func (i *incarnationChecker) OwnsAttempt(ctx context.Context, gateway, attempt string) (bool, error) {
	name, incarnation := splitGatewayName(gateway)
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
	for _, owned := range s.Attempts {
		if owned == attempt {
			return true, nil
		}
	}
	return false, nil
}

// status returns the status of the gateway on a VM.
func (i *incarnationChecker) status(ctx context.Context, vm apitypes.VM) (*peerpb.StatusResponse, error) {
	client, err := i.clients.GatewayClient(vm)
	if err != nil {
		return nil, err
	}
	return client.GetStatus(ctx, &peerpb.StatusRequest{})
}
