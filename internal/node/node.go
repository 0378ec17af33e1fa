// Package node runs the one process of a VM on a platform that has no machines for control: it serves callers, answers the
// directory, follows the store, tells other VMs what it knows, and competes for the duties.
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
	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/daemon"
	"crocusglade.example/crocusglade/internal/discovery"
	"crocusglade.example/crocusglade/internal/ingress"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/metering"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/placement"
	"crocusglade.example/crocusglade/internal/retry"
	"crocusglade.example/crocusglade/internal/telemetry"
	"crocusglade.example/crocusglade/internal/upstream"
	"crocusglade.example/crocusglade/internal/vmlink"
)

// Store is the platform's store as a node uses it.
type Store interface {
	objectstore.Store
	objectstore.Poller
}

// Kinds names the objects of the store.
type Kinds struct {
	Config, ConfigName, Endpoints, VMs string
}

// Adapter translates between a node and its platform.
type Adapter struct {
	Store               Store
	Backend             ingress.Backend
	Upstream            *upstream.Client
	Kinds               Kinds
	DecodeCatalog       func(raw []byte, revision uint64) (*catalog.Catalog, error)
	DecodeEndpoint      func(apitypes.Object) (catalog.Endpoint, bool)
	EncodeVM            func(link string) []byte
	DecodeVM            func(apitypes.Object) (string, bool)
	NewCallerHandler    func(server *ingress.Server, holder *catalog.Holder, draining func() bool) http.Handler
	NewDirectoryHandler func(addresses func(domain string, limit int) ([]string, time.Duration)) http.Handler
	NewReadinessHandler func(ready func() bool) http.Handler
	// Reload reads the settings again. It is nil where they can't change.
	Reload func() (*Settings, error)
	// Duties returns the calls of one term of the duties.
	Duties func(a *lease.Authority, holder string) Duties
}

const (
	// quarantineFor is how long a request that crashed endpoints is refused.
	quarantineFor = 2 * time.Minute
	// retryShare is the part of the allowed retries that VMs use, so that their sum stays below the bound while demand moves.
	retryShare = 0.7
	// memoryShare is the part of the process's memory limit at which the garbage collector works harder.
	memoryShare = 0.6
	// incarnationLength is the number of characters that tell the starts of a deployment's processes apart.
	incarnationLength = 8
	// pruneEvery is how often idle connections are looked over.
	pruneEvery = time.Second
)

// Node is the process of one VM.
type Node struct {
	Settings
	Adapter
	log         zerolog.Logger
	telemetry   *telemetry.Telemetry
	incarnation string
	holder      *catalog.Holder
	fleet       *placement.Fleet
	registry    *discovery.Registry
	link        *vmlink.Link
	trueTime    *vmlink.MedianClock
	meter       *metering.Meter
	ledger      *metering.Ledger
	server      *ingress.Server
	budget      *retry.WindowBudget
	bounds      atomic.Pointer[ingress.Bounds]
	draining    atomic.Bool
	started     time.Time
	relays      map[string]*discovery.WatchCache
	// lastFence is the fencing number of this VM's last term of the duties; 0 before the first. Only the duties' goroutine uses it.
	lastFence uint64
	// relayFailed holds the bootclock.Instant of the last failure to follow another VM, by kind.
	// storeFailed holds the same for the store.
	relayFailed, storeFailed sync.Map
}

// New constructs a node.
func New(s Settings, a Adapter, t *telemetry.Telemetry) (*Node, error) {
	n := &Node{Settings: s, Adapter: a, log: t.Log, telemetry: t, incarnation: uuid.NewString()[:incarnationLength], holder: &catalog.Holder{},
		trueTime: vmlink.NewMedianClock(), ledger: metering.NewLedger(), started: time.Now()}
	n.relays = map[string]*discovery.WatchCache{a.Kinds.Config: discovery.NewWatchCache(), a.Kinds.Endpoints: discovery.NewWatchCache()}
	n.fleet = placement.New(s.FailureDomain, placement.DefaultWeights)
	n.fleet.Log = n.log
	n.meter = metering.NewMeter(s.UsageWindow, n.trueTime.Now)
	n.registry = &discovery.Registry{Decode: a.DecodeEndpoint, Changed: n.endpointsChanged, SinceStoreRecovery: n.holder.SinceStoreOutage, Log: n.log}
	quarantine := retry.NewQuarantine(quarantineFor)
	n.link = vmlink.New(vmlink.Config{VM: s.VM, Incarnation: n.incarnation, Domain: s.FailureDomain, Front: s.CallerListenAddress,
		Link: n.linkAddress(s.IP), Catalog: n.holder, Fleet: n.fleet, Meter: n.meter, Ledger: n.ledger, Quarantine: quarantine,
		TrueTime: n.trueTime, FetchCatalog: n.fetchCatalog, Log: n.log})
	n.budget = retry.NewWindowBudget(s.RetryRatio*retryShare, s.RetrySlack*retryShare, s.RetryWindow)
	n.bounds.Store(&ingress.Bounds{RevokeWithin: s.RevokeWithin, ApplyWithin: s.ApplyWithin})
	observer, err := t.NewRequestMetrics()
	if err != nil {
		return nil, err
	}
	n.server = ingress.New(ingress.Config{Catalog: n.holder, Fleet: n.fleet, Backend: a.Backend, Usage: n.meter,
		Budget: n.budget, Quarantine: quarantine, Log: n.log, Observe: observer, OnMisdirected: n.link.AnnounceUnavailableEndpoint,
		Ready:  func() bool { return n.holder.Current() != nil && n.registry.HasSynced() },
		Bounds: func() ingress.Bounds { return *n.bounds.Load() }})
	return n, nil
}

// Run runs a node until it is stopped and returns the exit code.
func Run(ctx context.Context, s Settings, a Adapter, stdout io.Writer) int {
	logs := newLogWriter(stdout)
	t, err := telemetry.New(logs, "info", telemetry.Identity{Role: "node", VMName: s.VM, Region: s.Region, FailureDomain: s.FailureDomain})
	if err != nil {
		return daemon.ExitFailed
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * memoryShare))
	}
	if err := t.ObserveDroppedLines(logs.Dropped); err != nil {
		t.Log.Error().Err(err).Msg("dropped log lines are not counted")
	}
	n, err := New(s, a, t)
	if err != nil {
		t.Log.Error().Err(err).Msg("can't start")
		return daemon.ExitFailed
	}
	t.Log.Info().Str("incarnation", n.incarnation).Str("front", s.CallerListenAddress).Str("store", s.StoreAddress).Msg("starting")
	code := daemon.Run(ctx, t, s.Grace, n.parts())
	_ = logs.Close() // the process ends
	return code
}

func (n *Node) linkAddress(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(n.LinkPort)) }

func (n *Node) parts() []daemon.Component {
	parts := []daemon.Component{
		n.frontPart(),
		{Name: "configuration", Run: n.follower(n.Kinds.Config, n.listConfig, n.configEvents).Run},
		{Name: "endpoints", Run: n.follower(n.Kinds.Endpoints, n.registry.ReplaceEntries, n.registry.ApplyEvents).Run},
		{Name: "vms", Run: n.announce},
		{Name: "link", Run: n.link.Run},
		withoutDrain(daemon.HTTPServerComponent("link catalog", n.linkAddress(n.IP), nil, n.linkHandler())),
		withoutDrain(daemon.HTTPServerComponent("ready", n.Settings.ReadinessListenAddress, nil, n.Adapter.NewReadinessHandler(n.ready))),
		withoutDrain(daemon.HTTPServerComponent("directory", n.Settings.DirectoryListenAddress, nil, n.Adapter.NewDirectoryHandler(n.addresses))),
		{Name: "connections", Run: n.prune},
		{Name: "duties", Run: n.runDuties},
		{Name: "kept parts", Run: n.warmUp},
		{Name: "settings", Run: n.followSettings},
	}
	if n.MetricsPort > 0 {
		address := net.JoinHostPort(n.IP, strconv.Itoa(n.MetricsPort))
		parts = append(parts, withoutDrain(daemon.HTTPServerComponent("metrics", address, nil, n.telemetry.Handler())))
	}
	return parts
}

// withoutDrain keeps a part running while others drain.
func withoutDrain(p daemon.Component) daemon.Component {
	p.Drain = nil
	return p
}

func (n *Node) follower(kind string, list func([]apitypes.Object, uint64, bootclock.Instant, time.Duration),
	events func([]apitypes.Event, uint64, bootclock.Instant)) *discovery.Watcher {
	return &discovery.Watcher{Source: func() discovery.Source { return n.source(kind) }, Kind: kind, Log: n.log,
		Relay: n.relays[kind], OnList: list, OnEvents: events}
}

func (n *Node) listConfig(items []apitypes.Object, _ uint64, at bootclock.Instant, _ time.Duration) {
	for _, o := range items {
		if o.Name == n.Kinds.ConfigName {
			n.applyConfig(o, at)
		}
	}
}

func (n *Node) configEvents(events []apitypes.Event, _ uint64, at bootclock.Instant) {
	for _, ev := range events {
		if ev.Object.Name == n.Kinds.ConfigName && ev.Type == apitypes.EventPut {
			n.applyConfig(ev.Object, at)
		}
	}
	if c := n.holder.Current(); c != nil {
		n.holder.Confirm(c.Revision, at)
	}
}

// applyConfig puts a configuration in force. One that can't be read leaves the last good one in force, without confirming it.
func (n *Node) applyConfig(o apitypes.Object, at bootclock.Instant) {
	if c := n.holder.Current(); c != nil && c.Revision == o.Version {
		n.holder.Confirm(o.Version, at)
		return
	}
	c, err := n.DecodeCatalog(o.Data, o.Version)
	if err != nil {
		n.log.Error().Uint64("revision", o.Version).Err(err).Msg("configuration rejected")
		return
	}
	n.useCatalog(c, at, "store")
}

func (n *Node) useCatalog(c *catalog.Catalog, at bootclock.Instant, source string) {
	if !n.holder.Apply(c, at) {
		return
	}
	n.fleet.SetServices(c.Services)
	n.log.Info().Uint64("version", c.Version).Uint64("revision", c.Revision).Int("routes", len(c.Routes)).
		Int("keys", len(c.TeamsByKey)).Str("source", source).Msg("configuration in force")
}

// endpointsChanged takes over the endpoints, and closes connections to those that have gone.
func (n *Node) endpointsChanged(list []catalog.Endpoint) {
	for _, address := range n.fleet.SetEndpoints(list) {
		n.Upstream.CloseIdleTo(address)
	}
}

func (n *Node) prune(ctx context.Context) error {
	tick := time.NewTicker(pruneEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			n.Upstream.Prune()
			n.budget.SetVMs(n.link.Size())
		}
	}
}
