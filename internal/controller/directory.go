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
	// providerPeriod is the time between two reads of the provider's list of a pool by one of its two pollers. A reclaim
	// notice is a few seconds long.
	providerPeriod = 2 * time.Second
	// providerTimeout bounds one read.
	providerTimeout = 5 * time.Second
	// followRetry is the wait before a lost stream from a poller is set up again.
	followRetry = time.Second
	// sourcesEvery is how often a follower looks whether the list of VMs has changed the pollers.
	sourcesEvery = time.Second
	// listHeartbeat is the longest time between two messages of a list's stream. With 165 VMs a poller has as many followers, whose
	// heartbeats cost it 40 B each.
	listHeartbeat = 3 * time.Second
	// listSilence is how long a stream may be silent. A leaving endpoint may get new work for 5 s, and with 9 s here it did for as long
	// when the followed controller was frozen.
	listSilence = listHeartbeat + time.Second
)

// Directory knows the endpoints of all pools: those in the configuration and those that the provider lists. It reads the provider for
// the pools that this VM polls and follows a poller for the others. The last list is kept in an outage.
type Directory struct {
	self     string
	holder   *config.SnapshotStore
	members  *membership.Members
	provider objectstore.Provider
	dial     config.DialControllerFunc

	mu      sync.Mutex
	lists   map[string]providerList
	changed chan struct{}
}

type providerList struct {
	version   uint64
	endpoints []apitypes.Endpoint
	at        time.Time
}

// NewFollowerDirectory returns the directory of a gateway. It never reads the provider: it follows the controller of its own VM, which costs no
// traffic between VMs, and the pollers when that fails.
func NewFollowerDirectory(self string, h *config.SnapshotStore, m *membership.Members, dial config.DialControllerFunc) *Directory {
	return NewDirectory(self, h, m, nil, dial)
}

// NewDirectory returns a directory without provider lists.
func NewDirectory(self string, h *config.SnapshotStore, m *membership.Members, p objectstore.Provider, dial config.DialControllerFunc) *Directory {
	return &Directory{self: self, holder: h, members: m, provider: p, dial: dial,
		lists: make(map[string]providerList), changed: make(chan struct{})}
}

// Run keeps the lists current until ctx ends, with one goroutine for each pool.
func (d *Directory) Run(ctx context.Context) error {
	running := make(map[string]context.CancelFunc)
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		pools := d.holder.Current().Pools()
		for name := range pools {
			if running[name] == nil {
				poolCtx, cancel := context.WithCancel(ctx)
				running[name] = cancel
				wg.Go(func() { d.keep(poolCtx, name) })
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

// keep keeps the list of one pool current.
func (d *Directory) keep(ctx context.Context, pool string) {
	for try := 0; ctx.Err() == nil; try++ {
		sources, polls := d.sources(pool)
		if polls {
			d.poll(ctx, pool)
			ctxtime.Sleep(ctx, providerPeriod*3/4+rand.N(providerPeriod/2))
			continue
		}
		began := time.Now()
		if len(sources) > 0 && d.followWhileSource(ctx, sources[try%len(sources)], pool) {
			continue
		}
		// After a stream that lasted the next source is followed at once; one that can't be reached is not asked all the time.
		if time.Since(began) < listSilence {
			ctxtime.Sleep(ctx, followRetry)
		}
	}
}

// sources returns the VMs to take a pool's list from, or true when this VM polls the provider itself.
func (d *Directory) sources(pool string) (vms []apitypes.VM, polls bool) {
	pollers := d.members.Pollers(pool)
	if d.provider == nil {
		return append([]apitypes.VM{d.members.Self()}, pollers...), false
	}
	return pollers, slices.ContainsFunc(pollers, func(vm apitypes.VM) bool { return vm.Name == d.self })
}

// followWhileSource follows a VM until that fails. It returns true when the VM is no source any more. Without that check a VM that became
// a poller went on following one that was none any more, and that one followed it: both passed on an old list for ever.
func (d *Directory) followWhileSource(ctx context.Context, vm apitypes.VM, pool string) (changed bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = d.follow(ctx, vm, pool)
	}()
	ticker := time.NewTicker(sourcesEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return changed
		case <-ticker.C:
		}
		sources, polls := d.sources(pool)
		if polls || !slices.ContainsFunc(sources, func(s apitypes.VM) bool { return s.Name == vm.Name }) {
			changed = true
			cancel()
		}
	}
}

func (d *Directory) poll(ctx context.Context, pool string) {
	ctx, cancel := context.WithTimeout(ctx, providerTimeout)
	defer cancel()
	asked := time.Now()
	v, err := d.provider.Endpoints(ctx, pool)
	if err != nil {
		return
	}
	d.store(pool, providerList{v.Version, v.Endpoints, asked})
}

// store keeps a list unless a newer version is known.
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

// follow takes the list from a VM that polls the provider, until that fails or is silent.
func (d *Directory) follow(ctx context.Context, vm apitypes.VM, pool string) error {
	conn, release, err := d.dial(vm)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(listSilence, cancel)
	defer silence.Stop()
	stream, err := peerpb.NewLoadClient(conn).Endpoints(ctx, &peerpb.EndpointsRequest{Pools: []string{pool}})
	if err != nil {
		return err
	}
	// told is the list as this stream gave it.
	told := make(map[string]apitypes.Endpoint)
	for {
		u, err := stream.Recv()
		if err != nil {
			return err
		}
		silence.Reset(listSilence)
		if u.Pool != pool || u.ProviderVersion == 0 {
			continue
		}
		if u.Full {
			clear(told)
		}
		for _, e := range u.Endpoints {
			told[e.Name] = apitypes.Endpoint{Name: e.Name, Pool: pool, Addr: e.Addr, FailureDomain: e.FailureDomain,
				Class: apitypes.EndpointClass(e.Class), State: apitypes.EndpointState(e.State), ChecksFence: e.ChecksFence,
				ReclaimAt: e.ReclaimAt, LastCleaned: e.LastCleaned}
		}
		for _, name := range u.Gone {
			delete(told, name)
		}
		l := providerList{version: u.ProviderVersion, at: time.Now().Add(-time.Duration(u.AgeMs) * time.Millisecond)}
		for _, name := range slices.Sorted(maps.Keys(told)) {
			l.endpoints = append(l.endpoints, told[name])
		}
		d.store(pool, l)
	}
}

// Endpoints returns the endpoints of a pool by name: the configured ones, with the provider's state where it lists them, and the
// provider's others.
func (d *Directory) Endpoints(pool string) map[string]apitypes.Endpoint {
	out := make(map[string]apitypes.Endpoint)
	if p := d.holder.Current().Pool(pool); p != nil {
		for _, e := range p.Endpoints {
			e.Pool, e.State = pool, apitypes.EndpointReady
			out[e.Name] = e
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.lists[pool].endpoints {
		e.Pool = pool
		if own, ok := out[e.Name]; ok {
			e.Addr, e.ChecksFence = own.Addr, own.ChecksFence
		}
		out[e.Name] = e
	}
	return out
}

// serve implements the server's side of Load.Endpoints: a list when the stream begins, then what changes, and a heartbeat.
func (d *Directory) serve(r *peerpb.EndpointsRequest, stream grpc.ServerStreamingServer[peerpb.EndpointList]) error {
	ticker := time.NewTicker(listHeartbeat)
	defer ticker.Stop()
	told := make(map[string]providerList)
	for {
		lists, changed := d.listed(r.Pools)
		for pool, l := range lists {
			old, known := told[pool]
			if err := stream.Send(listMessage(pool, l, old, !known)); err != nil {
				return err
			}
			if l.version > 0 {
				told[pool] = l
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

// listed returns the lists of some pools, or of all, and a channel that is closed at the next change.
func (d *Directory) listed(pools []string) (map[string]providerList, <-chan struct{}) {
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

// listMessage returns a list's difference from the one that was told before, or the whole list.
func listMessage(pool string, l, old providerList, full bool) *peerpb.EndpointList {
	m := &peerpb.EndpointList{Pool: pool, ProviderVersion: l.version, AgeMs: time.Since(l.at).Milliseconds(), Full: full}
	before := make(map[string]apitypes.Endpoint, len(old.endpoints))
	for _, e := range old.endpoints {
		before[e.Name] = e
	}
	for _, e := range l.endpoints {
		was, known := before[e.Name]
		delete(before, e.Name)
		e.Pool, was.Pool = "", ""
		if known && e == was && !full {
			continue
		}
		m.Endpoints = append(m.Endpoints, &peerpb.ProvidedEndpoint{Name: e.Name, Addr: e.Addr, FailureDomain: e.FailureDomain,
			Class: string(e.Class), State: string(e.State), ChecksFence: e.ChecksFence, ReclaimAt: e.ReclaimAt, LastCleaned: e.LastCleaned})
	}
	m.Gone = slices.Sorted(maps.Keys(before))
	return m
}
