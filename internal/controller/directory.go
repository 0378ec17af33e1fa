package controller

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/membership"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

const (
	// providerPollPeriod is the average delay between two reads of the provider's list of a pool by one of the pool's two pollers.
	// It is short because a reclaim notice gives only a few seconds.
	providerPollPeriod = 2 * time.Second
	// providerPollTimeout bounds one read.
	providerPollTimeout = 5 * time.Second
	// streamRetryDelay is the delay before a failed stream is opened again.
	streamRetryDelay = time.Second
	// sourceCheckPeriod is the time between two checks of whether a change in the list of VMs has changed the pollers of a pool.
	sourceCheckPeriod = time.Second
	// listHeartbeatPeriod is the longest time between two messages of a stream of lists. With 165 VMs a poller has as many
	// followers, and a heartbeat takes 40 B for each.
	listHeartbeatPeriod = 3 * time.Second
	// listSilenceTimeout is the time without a message after which a follower gives up a stream. An endpoint that leaves may get new
	// work for at most 5 s. With a timeout of 9 s it gets new work for 9 s when the followed controller is frozen.
	listSilenceTimeout = listHeartbeatPeriod + time.Second
)

// Directory holds the endpoints of all pools: those in the configuration and those that the provider lists. It polls the provider
// for the pools that are assigned to this VM and follows the controller of a polling VM for the others. In an outage of its
// source the last list of a pool stays in use.
type Directory struct {
	self      string
	snapshots *config.SnapshotStore
	members   *membership.Members
	provider  objectstore.Provider
	dial      config.DialControllerFunc

	mu    sync.Mutex
	lists map[string]providerList
	// changed is closed and replaced when a list changes.
	changed chan struct{}
}

// providerList is the provider's list of one pool, with its version and the time at which it was requested.
type providerList struct {
	version   uint64
	endpoints []apitypes.Endpoint
	readAt    time.Time
}

// NewFollowerDirectory returns the directory of a gateway. It never polls the provider: it follows the controller of its own VM,
// which causes no traffic between VMs, and falls back to the polling VMs when that fails.
func NewFollowerDirectory(self string, snapshots *config.SnapshotStore, members *membership.Members, dial config.DialControllerFunc) *Directory {
	return NewDirectory(self, snapshots, members, nil, dial)
}

// NewDirectory returns the directory of the controller on VM self. It has no provider lists until Run is called.
func NewDirectory(self string, snapshots *config.SnapshotStore, members *membership.Members, p objectstore.Provider,
	dial config.DialControllerFunc) *Directory {
	return &Directory{self: self, snapshots: snapshots, members: members, provider: p, dial: dial,
		lists: make(map[string]providerList), changed: make(chan struct{})}
}

// Run keeps the lists current until ctx ends, with one goroutine for each pool, and returns the context's error.
func (d *Directory) Run(ctx context.Context) error {
	running := make(map[string]context.CancelFunc)
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		pools := d.snapshots.Current().Pools()
		for name := range pools {
			if running[name] == nil {
				poolCtx, cancel := context.WithCancel(ctx)
				running[name] = cancel
				wg.Go(func() { d.maintainList(poolCtx, name) })
			}
		}
		for name, cancel := range running {
			if pools[name] == nil {
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

// maintainList keeps the list of one pool current until ctx ends: it polls the provider or follows one of the pool's sources in
// turn.
func (d *Directory) maintainList(ctx context.Context, pool string) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		sources, polls := d.sources(pool)
		if polls {
			d.poll(ctx, pool)
			ctxtime.Sleep(ctx, providerPollPeriod*3/4+rand.N(providerPollPeriod/2))
			continue
		}
		start := time.Now()
		if len(sources) > 0 && d.followWhileSource(ctx, sources[attempt%len(sources)], pool) {
			continue
		}
		// After a stream that lasted, the next source is tried at once. The delay limits the rate of attempts at sources that can't be
		// reached.
		if time.Since(start) < listSilenceTimeout {
			ctxtime.Sleep(ctx, streamRetryDelay)
		}
	}
}

// sources returns the VMs whose controllers may supply a pool's list. polls is true when this VM polls the provider itself.
func (d *Directory) sources(pool string) (vms []apitypes.VM, polls bool) {
	pollers := d.members.Pollers(pool)
	if d.provider == nil {
		return append([]apitypes.VM{d.members.Self()}, pollers...), false
	}
	return pollers, slices.ContainsFunc(pollers, func(vm apitypes.VM) bool { return vm.Name == d.self })
}

// followWhileSource follows a VM until the stream fails or the VM is no longer a source of the pool's list, and returns true in
// the second case. Without this check, a VM that became a poller would go on following a VM that no longer polls and that follows
// it in turn: both would serve an outdated list indefinitely.
func (d *Directory) followWhileSource(ctx context.Context, vm apitypes.VM, pool string) (noLongerSource bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.follow(ctx, vm, pool)
	}()
	ticker := time.NewTicker(sourceCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return noLongerSource
		case <-ticker.C:
		}
		sources, polls := d.sources(pool)
		if polls || !slices.ContainsFunc(sources, func(s apitypes.VM) bool { return s.Name == vm.Name }) {
			noLongerSource = true
			cancel()
		}
	}
}

// poll reads the provider's list of a pool once. A failed read leaves the last list in place.
func (d *Directory) poll(ctx context.Context, pool string) {
	ctx, cancel := context.WithTimeout(ctx, providerPollTimeout)
	defer cancel()
	start := time.Now()
	view, err := d.provider.Endpoints(ctx, pool)
	if err != nil {
		return
	}
	d.store(pool, providerList{view.Version, view.Endpoints, start})
}

// store replaces a pool's list unless the stored version is newer.
func (d *Directory) store(pool string, l providerList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.lists[pool]
	if l.version < old.version {
		return
	}
	d.lists[pool] = l
	if !slices.Equal(old.endpoints, l.endpoints) || l.version != old.version {
		close(d.changed)
		d.changed = make(chan struct{})
	}
}

// follow stores a pool's list as a VM's controller streams it, until the stream fails or is silent for listSilenceTimeout.
func (d *Directory) follow(ctx context.Context, vm apitypes.VM, pool string) error {
	conn, release, err := d.dial(vm)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(listSilenceTimeout, cancel)
	defer silence.Stop()
	stream, err := peerpb.NewLoadClient(conn).Endpoints(ctx, &peerpb.EndpointsRequest{Pools: []string{pool}})
	if err != nil {
		return err
	}
	// received is the list, by endpoint name, as received on this stream.
	received := make(map[string]apitypes.Endpoint)
	for {
		u, err := stream.Recv()
		if err != nil {
			return err
		}
		silence.Reset(listSilenceTimeout)
		if u.Pool != pool || u.ProviderVersion == 0 {
			continue
		}
		if u.Full {
			clear(received)
		}
		for _, e := range u.Endpoints {
			received[e.Name] = apitypes.Endpoint{Name: e.Name, Pool: pool, Addr: e.Addr, FailureDomain: e.FailureDomain,
				Class: apitypes.EndpointClass(e.Class), State: apitypes.EndpointState(e.State), ChecksFence: e.ChecksFence,
				ReclaimAt: e.ReclaimAt, LastCleaned: e.LastCleaned}
		}
		for _, name := range u.Gone {
			delete(received, name)
		}
		l := providerList{version: u.ProviderVersion, readAt: time.Now().Add(-time.Duration(u.AgeMs) * time.Millisecond)}
		for _, name := range slices.Sorted(maps.Keys(received)) {
			l.endpoints = append(l.endpoints, received[name])
		}
		d.store(pool, l)
	}
}

// Endpoints returns the endpoints of a pool by name: those that the configuration or the provider lists. For an endpoint in both
// lists the address and ChecksFence are those of the configuration and the rest is the provider's. The caller may change the map.
func (d *Directory) Endpoints(pool string) map[string]apitypes.Endpoint {
	out := make(map[string]apitypes.Endpoint)
	if p := d.snapshots.Current().Pool(pool); p != nil {
		for _, e := range p.Endpoints {
			e.Pool, e.State = pool, apitypes.EndpointReady
			out[e.Name] = e
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.lists[pool].endpoints {
		e.Pool = pool
		if configured, ok := out[e.Name]; ok {
			e.Addr, e.ChecksFence = configured.Addr, configured.ChecksFence
		}
		out[e.Name] = e
	}
	return out
}

// serveLists implements Load.Endpoints: it sends whole lists when the stream begins and then the changes, with heartbeats.
func (d *Directory) serveLists(r *peerpb.EndpointsRequest, stream grpc.ServerStreamingServer[peerpb.EndpointList]) error {
	ticker := time.NewTicker(listHeartbeatPeriod)
	defer ticker.Stop()
	sent := make(map[string]providerList)
	for {
		lists, changed := d.currentLists(r.Pools)
		for pool, l := range lists {
			last, wasSent := sent[pool]
			if err := stream.Send(listMessage(pool, l, last, !wasSent)); err != nil {
				return err
			}
			if l.version > 0 {
				sent[pool] = l
			}
		}
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-changed:
		case <-ticker.C:
		}
	}
}

// nextChange returns a channel that is closed at the next change of a list.
func (d *Directory) nextChange() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// currentLists returns the lists of the given pools, or of all when none is given, and a channel that is closed at the next
// change.
func (d *Directory) currentLists(pools []string) (map[string]providerList, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]providerList)
	for pool, l := range d.lists {
		if len(pools) == 0 {
			out[pool] = l
		}
	}
	for _, pool := range pools {
		out[pool] = d.lists[pool]
	}
	return out, d.changed
}

// listMessage returns a message with the changes of list l since old, which was sent before, or with the whole list when full is
// true.
func listMessage(pool string, l, old providerList, full bool) *peerpb.EndpointList {
	m := &peerpb.EndpointList{Pool: pool, ProviderVersion: l.version, AgeMs: time.Since(l.readAt).Milliseconds(), Full: full}
	unseen := make(map[string]apitypes.Endpoint, len(old.endpoints))
	for _, e := range old.endpoints {
		unseen[e.Name] = e
	}
	for _, e := range l.endpoints {
		previous, wasListed := unseen[e.Name]
		delete(unseen, e.Name)
		e.Pool, previous.Pool = "", ""
		if wasListed && e == previous && !full {
			continue
		}
		m.Endpoints = append(m.Endpoints, &peerpb.ProvidedEndpoint{Name: e.Name, Addr: e.Addr, FailureDomain: e.FailureDomain,
			Class: string(e.Class), State: string(e.State), ChecksFence: e.ChecksFence, ReclaimAt: e.ReclaimAt, LastCleaned: e.LastCleaned})
	}
	m.Gone = slices.Sorted(maps.Keys(unseen))
	return m
}
