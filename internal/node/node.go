// Package node runs the single process of a VM on a platform without a separate control plane. The process serves callers and the
// directory, watches the store, exchanges status with the other VMs, and competes for the duties lease.
package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/buffer"
	"crocusglade.example/crocusglade/internal/callerlimit"
	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/continuation"
	"crocusglade.example/crocusglade/internal/daemon"
	"crocusglade.example/crocusglade/internal/discovery"
	"crocusglade.example/crocusglade/internal/ingress"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/metering"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/placement"
	"crocusglade.example/crocusglade/internal/quota"
	"crocusglade.example/crocusglade/internal/retry"
	"crocusglade.example/crocusglade/internal/telemetry"
	"crocusglade.example/crocusglade/internal/upstream"
	"crocusglade.example/crocusglade/internal/vmlink"
)

// Store is the part of the platform's store that a node uses.
type Store interface {
	objectstore.Store
	objectstore.Poller
	// Eras returns what is known of the eras of the store.
	Eras() *objectstore.Eras
}

// Kinds holds the kinds of the objects in the store, and the name of the configuration object.
type Kinds struct {
	Config, ConfigName, Endpoints, VMs string
	// Records is the kind of the records that VMs keep for each other.
	Records string
}

// Adapter holds the platform-specific parts of a node.
type Adapter struct {
	Store    Store
	Backend  ingress.Backend
	Upstream *upstream.Client
	// OnNotice registers a function that is called with what each response says about its endpoint. It is nil if responses say nothing.
	OnNotice            func(func(*catalog.Endpoint, placement.Notice))
	Kinds               Kinds
	DecodeCatalog       func(raw []byte, revision uint64) (*catalog.Catalog, error)
	DecodeEndpoint      func(apitypes.Object) (catalog.Endpoint, bool)
	EncodeVM            func(link string) []byte
	DecodeVM            func(apitypes.Object) (string, bool)
	NewCallerHandler    func(server *ingress.Server, holder *catalog.Holder, draining func() bool) http.Handler
	NewDirectoryHandler func(addresses func(domain string, limit int) ([]string, time.Duration)) http.Handler
	NewReadinessHandler func(ready func() bool) http.Handler
	// Reload reads the settings again. It is nil if they can't change at run time.
	Reload func() (*Settings, error)
	// Duties returns the client for the calls of one term of the duties.
	Duties func(a *lease.Authority, holder string) Duties
}

const (
	// quarantineDuration is how long a request that crashed endpoints is rejected.
	quarantineDuration = 2 * time.Minute
	// retryBudgetFraction is the fraction of the allowed retries that the VMs use, so that their sum stays below the bound while
	// demand shifts between VMs.
	retryBudgetFraction = 0.7
	// memoryLimitFraction is the fraction of MemoryMB that is set as the Go runtime's soft memory limit.
	memoryLimitFraction = 0.6
	// maxBufferedFraction is the fraction of MemoryMB that responses of endpoints may occupy while they are buffered. The rest is for
	// growing buffers, garbage and the process itself.
	maxBufferedFraction = 0.125
	// incarnationLength is the number of characters of an incarnation, the ID of one start of a VM's process.
	incarnationLength = 8
	// pruneInterval is how often idle connections are pruned.
	pruneInterval = time.Second
)

// Node is the process of one VM.
type Node struct {
	Settings
	Adapter
	log           zerolog.Logger
	telemetry     *telemetry.Telemetry
	incarnation   string
	catalogHolder *catalog.Holder
	fleet         *placement.Fleet
	registry      *discovery.Registry
	link          *vmlink.Link
	medianClock   *vmlink.MedianClock
	meter         *metering.Meter
	ledger        *metering.Ledger
	server        *ingress.Server
	retryBudget   *retry.WindowBudget
	quotas        *quota.Limiter
	streams       *continuation.Tracker
	// vmsListed is set once the store has listed the VMs.
	vmsListed   atomic.Bool
	bounds      atomic.Pointer[ingress.Bounds]
	activeConns activeConns
	// callers bounds what callers take of this process.
	callers *callerlimit.Gate
	// callerListener is nil until the server for callers has started.
	callerListener atomic.Pointer[callerListener]
	draining       atomic.Bool
	// drainStartedAt is nil until the drain starts. refusesAll is set when it ends.
	drainStartedAt atomic.Pointer[time.Time]
	refusesAll     atomic.Bool
	startedAt      time.Time
	watchCaches    map[string]*discovery.WatchCache
	// lastFencingToken is the fencing token of this VM's last term of the duties; 0 before the first. Only the duties goroutine uses it.
	lastFencingToken uint64
	// incompleteWindows counts the usage windows that were reported without the final counts of some VM.
	incompleteWindows atomic.Int64
	// omittedWindows counts the usage windows that were left out, because they may have been reported before the store came back from a copy.
	omittedWindows atomic.Int64
	// relayFailedAt holds the bootclock.Instant of the last failed read from another VM, by kind and link address. storeFailedAt holds the
	// same for reads from the store, by kind. watchesStore holds whether the last source of a kind was the store.
	relayFailedAt, storeFailedAt, watchesStore sync.Map
}

// New returns a node. It starts nothing.
func New(s Settings, a Adapter, t *telemetry.Telemetry) (*Node, error) {
	n := &Node{Settings: s, Adapter: a, log: t.Log, telemetry: t, incarnation: uuid.NewString()[:incarnationLength], catalogHolder: &catalog.Holder{},
		medianClock: vmlink.NewMedianClock(), ledger: metering.NewLedger(), startedAt: time.Now()}
	n.watchCaches = map[string]*discovery.WatchCache{a.Kinds.Config: discovery.NewWatchCache(), a.Kinds.Endpoints: discovery.NewWatchCache()}
	n.callers = callerlimit.NewGate(callerlimit.LimitsFor(s.MemoryMB, s.FileDescriptors))
	n.fleet = placement.New(s.FailureDomain, placement.DefaultWeights)
	n.fleet.Log = n.log
	if a.OnNotice != nil {
		a.OnNotice(n.fleet.RecordNotice)
	}
	n.meter = metering.NewMeter(s.UsageWindow, n.medianClock.Now)
	n.registry = &discovery.Registry{Decode: a.DecodeEndpoint, Changed: n.onEndpointsChanged, SinceStoreRecovery: n.catalogHolder.SinceStoreOutage, Log: n.log}
	requestMetrics, err := t.NewRequestMetrics()
	if err != nil {
		return nil, err
	}
	n.streams = continuation.NewTracker()
	n.streams.Peers, n.streams.ListAge, n.streams.Log, n.streams.OnTakeUp = streamPeers{n}, n.registry.Age, n.log, requestMetrics.StreamTakenUp
	n.quotas = newQuotaLimiter(quotaObserver{metrics: requestMetrics, log: n.log})
	quarantine, parts := retry.NewQuarantine(quarantineDuration), retry.NewPartQuarantine(bootclock.NowAsTime)
	n.link = vmlink.New(vmlink.Config{VM: s.VM, Incarnation: n.incarnation, Domain: s.FailureDomain, CallerAddress: s.CallerListenAddress,
		LinkAddress: n.linkAddress(s.IP), LinkMbps: s.LinkMbps, Catalog: n.catalogHolder, Eras: a.Store.Eras(), Fleet: n.fleet, Meter: n.meter, Ledger: n.ledger, Quarantine: quarantine, Parts: parts,
		MedianClock: n.medianClock, Quota: n.quotas, Entries: entryExchange{n}, Streams: n.streams, KeepsAllStreams: n.mayWriteJournal, Watches: n.watchStatus, FetchCatalog: n.fetchCatalog, Log: n.log})
	n.retryBudget = retry.NewWindowBudget(s.RetryRatio*retryBudgetFraction, s.RetrySlack*retryBudgetFraction, s.RetryWindow)
	n.bounds.Store(&ingress.Bounds{RevokeBound: s.RevokeBound, ApplyBound: s.ApplyBound})
	if err := t.ObserveExchange(n.link.OmittedReads, n.incompleteWindows.Load, n.omittedWindows.Load); err != nil {
		return nil, err
	}
	if err := t.ObserveDiscovery(n.registry.UnusableEntries); err != nil {
		return nil, err
	}
	if err := t.ObserveCallers(n.callerLoad); err != nil {
		return nil, err
	}
	n.fleet.OnNotice = requestMetrics.EndpointNotice
	parts.SetProbeOwnership(n.link.OwnsProbe)
	parts.OnChange(func(c retry.PartChange) {
		requestMetrics.PartChanged(c.Blocked)
		n.log.Warn().Str("service", c.Part.Service).EmbedObject(c).Msg("prompt part that crashes engines")
	})
	n.server = ingress.New(ingress.Config{Catalog: n.catalogHolder, Fleet: n.fleet, Backend: a.Backend, Usage: n.meter,
		Budget: n.retryBudget, Quarantine: quarantine, Quota: n.quotas, Streams: n.streams, Parts: parts, Log: n.log, Observe: requestMetrics, OnMisdirected: n.link.AnnounceUnavailableEndpoint,
		MaxBufferedBytes: bufferLimit(s.MemoryMB),
		Ready:            func() bool { return n.catalogHolder.Current() != nil && n.registry.HasSynced() },
		EndpointsAge:     n.registry.Age, ConnectDelay: n.Upstream.ConnectDelay,
		Bounds: func() ingress.Bounds { return *n.bounds.Load() }, TimeToStop: n.timeToStop})
	return n, nil
}

// Run runs a node until ctx ends, a component fails or a signal arrives, and returns the exit code. Logs go to stdout.
func Run(ctx context.Context, s Settings, a Adapter, stdout io.Writer) int {
	logs := newLogWriter(stdout)
	t, err := telemetry.New(logs, "info", telemetry.Identity{Role: "node", VMName: s.VM, Region: s.Region, FailureDomain: s.FailureDomain})
	if err != nil {
		return daemon.ExitFailed
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * memoryLimitFraction))
	}
	if err := t.ObserveDroppedLines(logs.Dropped); err != nil {
		t.Log.Error().Err(err).Msg("registering the metric of dropped log lines failed")
	}
	n, err := New(s, a, t)
	if err != nil {
		t.Log.Error().Err(err).Msg("creating the node failed")
		return daemon.ExitFailed
	}
	t.Log.Info().Str("incarnation", n.incarnation).Str("front", s.CallerListenAddress).Str("store", s.StoreAddress).Msg("starting")
	code := daemon.Run(ctx, t, s.Grace, n.components())
	_ = logs.Close() // the process exits, so a failure can't be reported
	return code
}

// bufferLimit returns how many bytes of responses a VM with this memory may buffer.
func bufferLimit(memoryMB int64) int64 {
	if memoryMB <= 0 {
		return buffer.DefaultMax
	}
	return min(int64(maxBufferedFraction*float64(memoryMB<<20)), buffer.DefaultMax)
}

// linkAddress returns the link address of the VM with an IP address.
func (n *Node) linkAddress(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(n.LinkPort)) }

// components returns the parts that make up the process.
func (n *Node) components() []daemon.Component {
	components := []daemon.Component{
		n.callerServerComponent(),
		{Name: "configuration", Run: n.newWatcher(n.Kinds.Config, n.onConfigList, n.onConfigEvents).Run},
		{Name: "endpoints", Run: n.newWatcher(n.Kinds.Endpoints, n.registry.ReplaceEntries, n.registry.ApplyEvents).Run},
		{Name: "vms", Run: n.maintainRegistration},
		{Name: "link", Run: n.link.Run},
		{Name: "software versions", Run: n.maintainStreamRecords},
		{Name: "streams", Run: n.tellBegunStreams},
		withoutDrain(daemon.VMServerComponent("link catalog", n.linkAddress(n.IP), n.linkHandler(), n.telemetry)),
		withoutDrain(daemon.HTTPServerComponent("ready", n.Settings.ReadinessListenAddress, nil, n.Adapter.NewReadinessHandler(n.ready), n.telemetry)),
		withoutDrain(daemon.HTTPServerComponent("directory", n.Settings.DirectoryListenAddress, nil, n.Adapter.NewDirectoryHandler(n.addresses), n.telemetry)),
		{Name: "connections", Run: n.pruneConnections},
		{Name: "caller limits", Run: n.logCallerRefusals},
		{Name: "duties", Run: n.runDuties},
		{Name: "kept parts", Run: n.warmUpCachedParts},
		{Name: "settings", Run: n.watchSettings},
	}
	if n.MetricsPort > 0 {
		address := net.JoinHostPort(n.IP, strconv.Itoa(n.MetricsPort))
		components = append(components, withoutDrain(daemon.HTTPServerComponent("metrics", address, nil, n.telemetry.Handler(), n.telemetry)))
	}
	return components
}

// withoutDrain removes a component's drain, so that it keeps running while other components drain.
func withoutDrain(c daemon.Component) daemon.Component {
	c.Drain = nil
	return c
}

// newWatcher returns a watcher of one kind that also fills the kind's watch cache.
func (n *Node) newWatcher(kind string, onList func([]apitypes.Object, uint64, bootclock.Instant, time.Duration),
	onEvents func([]apitypes.Event, uint64, bootclock.Instant)) *discovery.Watcher {
	return &discovery.Watcher{Source: func() discovery.Source { return n.watchSource(kind) }, Kind: kind, Log: n.log,
		Cache: n.watchCaches[kind], OnList: onList, OnEvents: onEvents}
}

func (n *Node) onConfigList(items []apitypes.Object, _ uint64, asOf bootclock.Instant, _ time.Duration) {
	for _, o := range items {
		if o.Name == n.Kinds.ConfigName {
			n.applyConfigObject(o, asOf)
		}
	}
}

func (n *Node) onConfigEvents(events []apitypes.Event, revision uint64, asOf bootclock.Instant) {
	for _, ev := range events {
		if ev.Object.Name == n.Kinds.ConfigName && ev.Type == apitypes.EventPut {
			n.applyConfigObject(ev.Object, asOf)
		}
	}
	// A configuration from before the store came back from a copy isn't known to be the newest one until the store has it again.
	if c := n.catalogHolder.Current(); c != nil && objectstore.SameEra(c.Revision, revision) {
		n.catalogHolder.Confirm(c.Revision, asOf)
	}
}

// applyConfigObject applies a configuration object that was current at asOf. If it can't be decoded, the last valid configuration
// stays in force but isn't confirmed.
func (n *Node) applyConfigObject(o apitypes.Object, asOf bootclock.Instant) {
	if c := n.catalogHolder.Current(); c != nil && c.Revision == o.Version {
		n.catalogHolder.Confirm(o.Version, asOf)
		return
	}
	c, err := n.DecodeCatalog(o.Data, o.Version)
	if err != nil {
		n.log.Error().Stringer("revision", objectstore.Revision(o.Version)).Err(err).Msg("configuration rejected")
		return
	}
	if current := n.catalogHolder.Current(); current != nil && !objectstore.SameEra(current.Revision, c.Revision) && current.Edition().Supersedes(c.Edition()) {
		n.log.Warn().Uint64("version", c.Version).Uint64("version_in_force", current.Version).Stringer("revision", objectstore.Revision(c.Revision)).
			Msg("the store came back from a copy with an older configuration than the one in force; write the newest one again, with at least the version in force")
	}
	if n.catalogHolder.Current() == nil {
		n.awaitNews(c.Edition())
	}
	n.applyCatalog(c, asOf, "store")
}

// applyCatalog puts a configuration in force unless the holder already has one at least as new.
func (n *Node) applyCatalog(c *catalog.Catalog, asOf bootclock.Instant, source string) {
	if !n.catalogHolder.Apply(c, asOf) {
		return
	}
	n.fleet.SetServices(c.Services)
	n.quotas.SetLimits(quotaLimits(n.catalogHolder.Current()))
	n.callers.SetHeaderTimeout(c.Limits.HeaderTimeout)
	n.log.Info().Uint64("version", c.Version).Stringer("revision", objectstore.Revision(c.Revision)).Int("routes", len(c.Routes)).
		Int("keys", len(c.TeamsByKey)).Str("source", source).Msg("configuration in force")
}

// onEndpointsChanged passes the endpoints to placement, and closes idle connections to addresses that are no longer used.
func (n *Node) onEndpointsChanged(list []catalog.Endpoint) {
	n.streams.SetEndpoints(list)
	for _, address := range n.fleet.SetEndpoints(list) {
		n.Upstream.CloseIdleConns(address)
	}
}

// pruneConnections prunes idle connections, and updates the number of VMs that share the retry budget, until ctx ends.
func (n *Node) pruneConnections(ctx context.Context) error {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.Upstream.Prune()
			n.retryBudget.SetVMs(n.link.Size())
			n.updateKnownVMs()
		}
	}
}
