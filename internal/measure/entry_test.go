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

const entryLifetime = httpgateway.DefaultEntryLifetime

// discoveryCluster runs gateways that serve only discovery. Handler, membership, exchange and drain are the real code; the
// network is in memory.
type discoveryCluster struct {
	ctx              context.Context
	listOnly         bool // gateways respond with the plain VM list
	platform         *memplatform.Platform
	initialAddresses []string // of the first VMs
	background       sync.WaitGroup

	mu        sync.Mutex
	vmList    []apitypes.VM
	running   map[string]*discoveryGateway // by VM
	listeners map[string]*memnet.Listener  // by VM
	starts    int                          // gateways started, for unique incarnations
}

// discoveryGateway is one gateway process.
type discoveryGateway struct {
	http *httpgateway.Gateway
	stop func()
}

// refusesNewWork reports whether the gateway refuses new work. A gateway that accepts work checks the API key next and
// responds with 401, because these callers send none.
func (g *discoveryGateway) refusesNewWork() bool {
	if !g.http.Draining() {
		return false
	}
	w := httptest.NewRecorder()
	g.http.ServeHTTP(w, httptest.NewRequest(http.MethodPost, endpoint.ChatPath, nil))
	return w.Code != http.StatusUnauthorized
}

// newDiscoveryCluster starts one gateway on each VM.
func newDiscoveryCluster(ctx context.Context, listOnly bool) *discoveryCluster {
	c := &discoveryCluster{ctx: ctx, listOnly: listOnly, platform: memplatform.New(), running: make(map[string]*discoveryGateway), listeners: make(map[string]*memnet.Listener)}
	for i := range gatewayCount {
		name := fmt.Sprintf("vm-%d", i+1)
		c.vmList = append(c.vmList, apitypes.VM{Name: name, FailureDomain: fmt.Sprint("d", i%3), State: apitypes.VMLive, GatewayAddr: name, GatewayPeerAddr: name})
		c.initialAddresses = append(c.initialAddresses, name)
	}
	c.platform.SetVMs(c.vmList)
	for _, vm := range c.vms() {
		c.start(vm)
	}
	return c
}

func (c *discoveryCluster) wait() { c.background.Wait() }

// vms returns the VMs of the VM list.
func (c *discoveryCluster) vms() []apitypes.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.vmList)
}

// gatewayAt returns the gateway that runs at an address, or nil.
func (c *discoveryCluster) gatewayAt(addr string) *discoveryGateway {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running[addr]
}

// countInService returns the number of gateways that run and do not drain.
func (c *discoveryCluster) countInService() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, g := range c.running {
		if !g.http.Draining() {
			n++
		}
	}
	return n
}

// start starts a gateway process on a VM.
func (c *discoveryCluster) start(vm apitypes.VM) {
	ctx, cancel := context.WithCancel(c.ctx)
	members := membership.New(vm, c.platform)
	members.Refresh(ctx)
	g := &discoveryGateway{}
	c.mu.Lock()
	c.starts++
	incarnation := fmt.Sprint("i", c.starts)
	listener := memnet.Listen()
	c.listeners[vm.Name] = listener
	c.mu.Unlock()
	snapshots, freshness := config.NewSnapshotStore(), &config.Freshness{}
	clients := peer.NewClients(nil, grpc.WithContextDialer(c.dial))
	mesh := peer.NewMesh(vm.Name, incarnation, members, clients, snapshots, freshness, drainOnlyPeer{draining: func() bool { return g.http.Draining() }}, drainOnlyPeer{})
	var directory httpgateway.Discovery = membership.NewGatewayDirectory(vm, members, mesh.IsNeighbourServing)
	if c.listOnly {
		directory = vmListDiscovery{members}
	}
	g.http = httpgateway.New(httpgateway.Options{VM: vm.Name, Incarnation: incarnation, Config: snapshots, Discovery: directory})
	server := grpc.NewServer()
	peerpb.RegisterGatewayServer(server, &peer.Server{VM: vm.Name, Incarnation: incarnation, Config: snapshots, Freshness: freshness, Mesh: mesh})
	g.stop = func() { cancel(); clients.Close(); server.Stop() }
	c.background.Go(func() { _ = server.Serve(listener) })
	c.background.Go(func() { _ = members.Run(ctx) })
	c.background.Go(func() { _ = mesh.Run(ctx); g.stop() })
	c.mu.Lock()
	c.running[vm.Name] = g
	c.mu.Unlock()
}

func (c *discoveryCluster) dial(ctx context.Context, addr string) (net.Conn, error) {
	c.mu.Lock()
	listener := c.listeners[addr]
	c.mu.Unlock()
	if listener == nil {
		return nil, net.ErrClosed
	}
	return listener.Dial(ctx)
}

// drain drains a gateway and then stops it.
func (c *discoveryCluster) drain(vm string) {
	_ = c.gatewayAt(vm).http.Drain(c.ctx) // The drain fails only when the run is cancelled.
	c.kill(vm)
}

// kill stops a gateway without a drain.
func (c *discoveryCluster) kill(vm string) {
	c.mu.Lock()
	g := c.running[vm]
	delete(c.running, vm)
	delete(c.listeners, vm)
	c.mu.Unlock()
	g.stop()
}

// changeListAfter changes the VM list after the given lag.
func (c *discoveryCluster) changeListAfter(lag time.Duration, change func()) {
	c.background.Go(func() { time.Sleep(lag); change() })
}

func (c *discoveryCluster) removeFromList(vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vmList = slices.DeleteFunc(c.vmList, func(v apitypes.VM) bool { return v.Name == vm })
	c.platform.SetVMs(c.vmList)
}

func (c *discoveryCluster) addToList(vm apitypes.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vmList = append(c.vmList, vm)
	c.platform.SetVMs(c.vmList)
}

// vmListDiscovery is the baseline: it returns all live VMs of the platform's list in random order.
type vmListDiscovery struct{ members *membership.Members }

// Addresses implements httpgateway.Discovery.
func (d vmListDiscovery) Addresses() []string {
	var out []string
	for _, vm := range d.members.Live() {
		out = append(out, vm.GatewayAddr)
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// LeaveDiscovery implements httpgateway.Discovery. The VM list does not show whether a gateway drains.
func (d vmListDiscovery) LeaveDiscovery() {}

// drainOnlyPeer sends only the drain state to other gateways and ignores what they send. It implements peer.LocalState and
// peer.NeighbourHandler.
type drainOnlyPeer struct{ draining func() bool }

func (drainOnlyPeer) PeerDemand() map[string]*peerpb.TeamDemand        { return nil }
func (drainOnlyPeer) CollectLoadDeltas() map[string]balancer.LoadDelta { return nil }
func (drainOnlyPeer) PeerQuarantine() map[uint64]time.Duration         { return nil }
func (drainOnlyPeer) CollectEndpointDeaths() []peer.EndpointDeath      { return nil }
func (p drainOnlyPeer) Draining() bool                                 { return p.draining() }
func (drainOnlyPeer) OnNeighbourDemand(string, []*peerpb.TeamDemand)   {}
func (drainOnlyPeer) OnNeighbourLoadDelta(string, string, int64, int)  {}
func (drainOnlyPeer) OnNeighbourQuarantine(uint64, time.Duration)      {}
func (drainOnlyPeer) OnNeighbourDeath(uint64, string)                  {}
func (drainOnlyPeer) OnNeighbourLost(string)                           {}
