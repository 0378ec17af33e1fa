package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/endpoint"
	httpgateway "crocusglade.example/crocusglade/internal/gateway"
	"crocusglade.example/crocusglade/internal/membership"
	"crocusglade.example/crocusglade/internal/memnet"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
	"crocusglade.example/crocusglade/internal/peer"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

const discoveryLifetime = httpgateway.DefaultEntryLifetime

// entryBed holds gateways that serve discovery only: handler, membership, exchange and drain are real, the network is in memory.
type entryBed struct {
	ctx      context.Context
	listOnly bool
	platform *memplatform.Platform
	initial  []string // addresses of the first VMs
	work     sync.WaitGroup

	mu        sync.Mutex
	listed    []apitypes.VM
	running   map[string]*entryGateway // by VM
	listeners map[string]*memnet.Listener
	starts    int
}

// entryGateway is one run of a gateway.
type entryGateway struct {
	http *httpgateway.Gateway
	stop func()
}

// refuses tells whether the gateway takes no new work. A gateway that does goes on to look for the key, which these callers lack.
func (g *entryGateway) refuses() bool {
	if !g.http.Draining() {
		return false
	}
	w := httptest.NewRecorder()
	g.http.ServeHTTP(w, httptest.NewRequest(http.MethodPost, endpoint.ChatPath, nil))
	return w.Code != http.StatusUnauthorized
}

func newEntryBed(ctx context.Context, listOnly bool) *entryBed {
	b := &entryBed{ctx: ctx, listOnly: listOnly, platform: memplatform.New(), running: make(map[string]*entryGateway), listeners: make(map[string]*memnet.Listener)}
	for i := range gateways {
		name := fmt.Sprintf("vm-%d", i+1)
		b.listed = append(b.listed, apitypes.VM{Name: name, FailureDomain: fmt.Sprint("d", i%3), State: apitypes.VMLive, GatewayAddr: name, GatewayPeerAddr: name})
		b.initial = append(b.initial, name)
	}
	b.platform.SetVMs(b.listed)
	for _, vm := range b.vms() {
		b.start(vm)
	}
	return b
}

func (b *entryBed) wait() { b.work.Wait() }

// vms returns the VMs of the list.
func (b *entryBed) vms() []apitypes.VM {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.listed)
}

// at returns the gateway that runs at an address, or nil.
func (b *entryBed) at(addr string) *entryGateway {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running[addr]
}

// inService counts the gateways that run and have not left discovery.
func (b *entryBed) inService() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, g := range b.running {
		if !g.http.Draining() {
			n++
		}
	}
	return n
}

// start starts a gateway on a VM.
func (b *entryBed) start(vm apitypes.VM) {
	ctx, cancel := context.WithCancel(b.ctx)
	members := membership.New(vm, b.platform)
	members.Refresh(ctx)
	g := &entryGateway{}
	b.mu.Lock()
	b.starts++
	incarnation := fmt.Sprint("i", b.starts)
	listener := memnet.Listen()
	b.listeners[vm.Name] = listener
	b.mu.Unlock()
	holder, freshness := config.NewSnapshotStore(), &config.Freshness{}
	clients := peer.NewClients(nil, grpc.WithContextDialer(b.dial))
	mesh := peer.NewMesh(vm.Name, incarnation, members, clients, holder, freshness, entryPeer{draining: func() bool { return g.http.Draining() }}, entryPeer{})
	var answers httpgateway.Discovery = membership.NewGatewayDirectory(vm, members, mesh.IsNeighbourServing)
	if b.listOnly {
		answers = listEntry{members}
	}
	g.http = httpgateway.New(httpgateway.Options{VM: vm.Name, Incarnation: incarnation, Config: holder, Discovery: answers})
	server := grpc.NewServer()
	peerpb.RegisterGatewayServer(server, &peer.Server{VM: vm.Name, Incarnation: incarnation, Config: holder, Freshness: freshness, Mesh: mesh})
	g.stop = func() { cancel(); clients.Close(); server.Stop() }
	b.work.Go(func() { _ = server.Serve(listener) })
	b.work.Go(func() { _ = members.Run(ctx) })
	b.work.Go(func() { _ = mesh.Run(ctx); g.stop() })
	b.mu.Lock()
	b.running[vm.Name] = g
	b.mu.Unlock()
}

func (b *entryBed) dial(ctx context.Context, addr string) (net.Conn, error) {
	b.mu.Lock()
	listener := b.listeners[addr]
	b.mu.Unlock()
	if listener == nil {
		return nil, net.ErrClosed
	}
	return listener.Dial(ctx)
}

// drain stops a gateway as planned.
func (b *entryBed) drain(vm string) {
	_ = b.at(vm).http.Drain(b.ctx) // The context ends only with the run.
	b.kill(vm)
}

// kill ends a gateway at once.
func (b *entryBed) kill(vm string) {
	b.mu.Lock()
	g := b.running[vm]
	delete(b.running, vm)
	delete(b.listeners, vm)
	b.mu.Unlock()
	g.stop()
}

// listAfter changes the list later.
func (b *entryBed) listAfter(lag time.Duration, change func()) {
	b.work.Go(func() { time.Sleep(lag); change() })
}

func (b *entryBed) unlist(vm string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listed = slices.DeleteFunc(b.listed, func(v apitypes.VM) bool { return v.Name == vm })
	b.platform.SetVMs(b.listed)
}

func (b *entryBed) list(vm apitypes.VM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listed = append(b.listed, vm)
	b.platform.SetVMs(b.listed)
}

// listEntry is the baseline: all live VMs of the platform's list in random order.
type listEntry struct{ members *membership.Members }

// Addresses implements httpgateway.Discovery.
func (e listEntry) Addresses() []string {
	var out []string
	for _, vm := range e.members.Live() {
		out = append(out, vm.GatewayAddr)
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// LeaveDiscovery implements httpgateway.Discovery. The list knows nothing of a gateway's drain.
func (e listEntry) LeaveDiscovery() {}

// entryPeer has nothing to tell but the drain, and takes nothing. It implements peer.LocalState and peer.NeighbourHandler.
type entryPeer struct{ draining func() bool }

func (entryPeer) PeerDemand() map[string]*peerpb.TeamDemand        { return nil }
func (entryPeer) CollectLoadDeltas() map[string]balancer.LoadDelta { return nil }
func (entryPeer) PeerQuarantine() map[uint64]time.Duration         { return nil }
func (entryPeer) CollectEndpointDeaths() []peer.EndpointDeath      { return nil }
func (p entryPeer) Draining() bool                                 { return p.draining() }
func (entryPeer) OnNeighbourDemand(string, []*peerpb.TeamDemand)   {}
func (entryPeer) OnNeighbourLoadDelta(string, string, int64, int)  {}
func (entryPeer) OnNeighbourQuarantine(uint64, time.Duration)      {}
func (entryPeer) OnNeighbourDeath(uint64, string)                  {}
func (entryPeer) OnNeighbourLost(string)                           {}
