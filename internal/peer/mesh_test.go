package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/membership"
	"crocusglade.example/crocusglade/internal/memnet"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

// fakeGateway is a fake gateway with a mesh. It records what the mesh passes to the handler.
type fakeGateway struct {
	mu         sync.Mutex
	demand     map[string]*peerpb.TeamDemand
	loadDeltas map[string]balancer.LoadDelta
	quarantine map[uint64]time.Time
	deaths     []EndpointDeath

	gotDemand     map[string]float64
	gotLoadDeltas map[string]int64
	gotQuarantine map[uint64]int
	gotDeaths     int
	lost          []string

	ready     bool
	snapshots *config.SnapshotStore
	freshness config.Freshness
	mesh      *Mesh
}

func (g *fakeGateway) withLock(f func()) { g.mu.Lock(); defer g.mu.Unlock(); f() }

func (g *fakeGateway) PeerDemand() (d map[string]*peerpb.TeamDemand) {
	g.withLock(func() { d = g.demand })
	return d
}
func (g *fakeGateway) CollectLoadDeltas() (deltas map[string]balancer.LoadDelta) {
	g.withLock(func() { deltas, g.loadDeltas = g.loadDeltas, nil })
	return deltas
}
func (g *fakeGateway) PeerQuarantine() (q map[uint64]time.Duration) {
	g.withLock(func() {
		q = make(map[uint64]time.Duration)
		for fingerprint, until := range g.quarantine {
			q[fingerprint] = time.Until(until)
		}
	})
	return q
}
func (g *fakeGateway) CollectEndpointDeaths() (d []EndpointDeath) {
	g.withLock(func() { d, g.deaths = g.deaths, nil })
	return d
}
func (g *fakeGateway) Draining() bool { return false }
func (g *fakeGateway) PeerStatus() (r *peerpb.StatusResponse) {
	g.withLock(func() { r = &peerpb.StatusResponse{Ready: g.ready} })
	return r
}
func (g *fakeGateway) setReady(ready bool) { g.withLock(func() { g.ready = ready }) }

func (g *fakeGateway) OnNeighbourDemand(vm string, demand []*peerpb.TeamDemand) {
	g.withLock(func() {
		for _, d := range demand {
			g.gotDemand[vm+"/"+d.Team] = d.TokensPerSecond
		}
	})
}
func (g *fakeGateway) OnNeighbourLoadDelta(vm, endpoint string, tokens int64, _ int) {
	g.withLock(func() { g.gotLoadDeltas[endpoint] += tokens })
}
func (g *fakeGateway) OnNeighbourQuarantine(fingerprint uint64, _ time.Duration) {
	g.withLock(func() { g.gotQuarantine[fingerprint]++ })
}
func (g *fakeGateway) OnNeighbourDeath(uint64, string) { g.withLock(func() { g.gotDeaths++ }) }
func (g *fakeGateway) OnNeighbourLost(vm string)       { g.withLock(func() { g.lost = append(g.lost, vm) }) }

// cluster is a set of gateways that are connected in memory.
type cluster struct {
	gateways  []*fakeGateway
	listeners map[string]*memnet.Listener
	mu        sync.Mutex
	isolated  map[string]bool
	conns     []net.Conn
}

// isolate closes all connections of the cluster and refuses new ones from and to a VM.
func (c *cluster) isolate(vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[vm] = true
	for _, conn := range c.conns {
		conn.Close()
	}
}

// startCluster starts a cluster of n gateways and stops it at the end of the test.
func startCluster(t *testing.T, n int) *cluster {
	c := &cluster{listeners: map[string]*memnet.Listener{}, isolated: map[string]bool{}}
	p := memplatform.New()
	var vms []apitypes.VM
	for i := range n {
		name := fmt.Sprintf("vm-%d", i)
		vms = append(vms, apitypes.VM{Name: name, FailureDomain: fmt.Sprintf("d%d", i%3), State: apitypes.VMLive, GatewayPeerAddr: name})
		c.listeners[name] = memnet.Listen()
	}
	p.SetVMs(vms)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	for _, vm := range vms {
		c.gateways = append(c.gateways, c.start(ctx, t, &wg, p, vm))
	}
	return c
}

// start starts the gateway on a VM.
func (c *cluster) start(ctx context.Context, t *testing.T, wg *sync.WaitGroup, p *memplatform.Platform, vm apitypes.VM) *fakeGateway {
	g := &fakeGateway{snapshots: config.NewSnapshotStore(), ready: true, gotDemand: map[string]float64{}, gotLoadDeltas: map[string]int64{}, gotQuarantine: map[uint64]int{}}
	members := membership.New(vm, p)
	members.Refresh(ctx)
	clients := NewClients(nil, grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.isolated[addr] || c.isolated[vm.Name] {
			return nil, net.ErrClosed
		}
		conn, err := c.listeners[addr].Dial(ctx)
		c.conns = append(c.conns, conn)
		return conn, err
	}))
	g.mesh = NewMesh(vm.Name, "i1", members, clients, g.snapshots, &g.freshness, g, g)
	server := grpc.NewServer()
	peerpb.RegisterGatewayServer(server, &Server{VM: vm.Name, Incarnation: "i1", Config: g.snapshots, Freshness: &g.freshness, Mesh: g.mesh, Status: g})
	wg.Go(func() { _ = server.Serve(c.listeners[vm.Name]) })
	wg.Go(func() { _ = g.mesh.Run(ctx); clients.Close(); server.Stop() })
	return g
}

// teamEvent returns an event that puts a team with a version.
func teamEvent(name string, version uint64) apitypes.Event {
	data, _ := json.Marshal(apitypes.Team{Name: name})
	return apitypes.Event{Revision: version, Type: apitypes.EventPut, Object: apitypes.Object{Kind: apitypes.KindTeam, Name: name, Version: version, Data: data}}
}

// Guards against changes that are lost, sent twice or sent to only one neighbour.
func TestExchangeDeltas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 4)
		time.Sleep(2 * time.Second)
		c.gateways[1].withLock(func() {
			c.gateways[1].demand = map[string]*peerpb.TeamDemand{"a": {TokensPerSecond: 10}}
			c.gateways[1].loadDeltas = map[string]balancer.LoadDelta{"e": {PromptTokens: 7, Requests: 1}}
			c.gateways[1].quarantine = map[uint64]time.Time{5: time.Now().Add(time.Minute)}
			c.gateways[1].deaths = []EndpointDeath{{5, "e"}}
		})
		time.Sleep(5 * time.Second)
		for i, g := range c.gateways {
			if i == 1 {
				continue
			}
			g.withLock(func() {
				if g.gotDemand["vm-1/a"] != 10 || g.gotLoadDeltas["e"] != 7 || g.gotQuarantine[5] != 1 || g.gotDeaths != 1 || len(g.lost) != 0 {
					t.Errorf("gateway %d got demand %v, load deltas %v, quarantine %v, %d deaths, lost neighbours %v", i, g.gotDemand, g.gotLoadDeltas, g.gotQuarantine, g.gotDeaths, g.lost)
				}
			})
		}
		c.gateways[1].withLock(func() { c.gateways[1].demand = nil })
		time.Sleep(2 * time.Second)
		c.gateways[0].withLock(func() {
			if d, ok := c.gateways[0].gotDemand["vm-1/a"]; !ok || d != 0 {
				t.Errorf("demand that ended is still %v", d)
			}
		})
	})
}

// Guards against an isolated gateway that keeps admitting requests that need a key, and against a platform outage that stops the connected
// gateways.
func TestIsolatedGatewayLosesContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 4)
		time.Sleep(2 * time.Second)
		for i, g := range c.gateways {
			if !g.mesh.HasPlatformOrMajority() {
				t.Fatalf("gateway %d has lost contact while all are connected and the platform confirms nothing", i)
			}
		}
		c.isolate("vm-3")
		time.Sleep(3 * time.Second)
		if !c.gateways[0].mesh.IsNeighbourAlive("vm-1") {
			t.Fatal("connected gateways did not reconnect")
		}
		time.Sleep(2*time.Second + 500*time.Millisecond)
		isolated := c.gateways[3]
		if isolated.mesh.HasPlatformOrMajority() || c.gateways[0].mesh.IsNeighbourAlive("vm-3") || c.gateways[0].mesh.IsNeighbourServing("vm-3") {
			t.Fatalf("isolated gateway in contact: %v", isolated.mesh.HasPlatformOrMajority())
		}
		for i := range 3 {
			if !c.gateways[i].mesh.HasPlatformOrMajority() {
				t.Fatalf("gateway %d of the majority has lost contact", i)
			}
		}
		c.gateways[0].withLock(func() {
			if len(c.gateways[0].lost) != 1 || c.gateways[0].lost[0] != "vm-3" {
				t.Errorf("lost neighbours: %v", c.gateways[0].lost)
			}
		})
	})
}

// Guards against a gateway that receives messages from the majority again after a partition and admits requests before it has the
// majority's configuration, in which their key may be withdrawn.
func TestNoContactWhileBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 4)
		time.Sleep(2 * time.Second)
		rejoined := c.gateways[3]
		for _, g := range c.gateways[:3] {
			g.snapshots.ApplyEvents([]apitypes.Event{teamEvent("a", 9)})
		}
		upToDate := func() bool { return rejoined.snapshots.Current().Team("a") != nil }
		time.Sleep(1500 * time.Millisecond)
		if upToDate() || rejoined.mesh.HasPlatformOrMajority() {
			t.Fatalf("up to date %v, in contact %v, one heartbeat after a change at the other gateways", upToDate(), rejoined.mesh.HasPlatformOrMajority())
		}
		time.Sleep(5 * time.Second)
		if !upToDate() || !rejoined.mesh.HasPlatformOrMajority() {
			t.Fatalf("up to date %v, in contact %v, after the time to fetch a neighbour's snapshot", upToDate(), rejoined.mesh.HasPlatformOrMajority())
		}
		// The system's own writes contain no keys. They are the first writes after an outage and must not stop requests that need a key.
		c.gateways[0].snapshots.ApplyEvents([]apitypes.Event{{Revision: 12, Type: apitypes.EventPut,
			Object: apitypes.Object{Kind: apitypes.KindOrders, Name: "p", Version: 12, Data: []byte(`{"fence":2}`)}}})
		time.Sleep(1500 * time.Millisecond)
		if !rejoined.mesh.HasPlatformOrMajority() {
			t.Fatal("contact was lost because a neighbour has newer orders")
		}
	})
}

// Guards against an age from a neighbour with another revision that counts as a confirmation of this gateway's configuration.
func TestAgeCountsOnlyAtEqualRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := startCluster(t, 1).gateways[0]
		g.snapshots.ApplyEvents([]apitypes.Event{teamEvent("a", 9)})
		for _, revision := range []uint64{8, 10} {
			g.mesh.handleUpdate(&peerpb.PeerUpdate{Vm: "x", Revision: revision})
		}
		if g.freshness.AgeMS() != config.UnknownAgeMS {
			t.Fatalf("age %d ms from a neighbour with another revision", g.freshness.AgeMS())
		}
		g.mesh.handleUpdate(&peerpb.PeerUpdate{Vm: "x", Revision: 9, PlatformAgeMs: 1500})
		if age := g.freshness.AgeMS(); age != 1500 {
			t.Fatalf("age %d ms from a neighbour with the same revision", age)
		}
	})
}

// Guards against a change that does not reach a gateway without a relay although a neighbour has it.
func TestSnapshotFromNeighbour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 3)
		c.gateways[2].snapshots.ApplyEvents([]apitypes.Event{teamEvent("a", 9)})
		time.Sleep(5 * time.Second)
		for i, g := range c.gateways {
			if g.snapshots.Current().Team("a") == nil {
				t.Errorf("gateway %d lacks the change", i)
			}
		}
	})
}

// Guards against a gateway that restarts during a platform outage and serves without a change that a majority has confirmed, because it
// loads the snapshot of only one ready gateway, which may lack the change, or the smaller of two. Guards also against two restarted
// gateways that never become ready again.
func TestReadinessInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 4)
		c.gateways[1].snapshots.ApplyEvents([]apitypes.Event{teamEvent("b", 5)})
		for _, g := range c.gateways[2:] {
			g.snapshots.ApplyEvents([]apitypes.Event{teamEvent("a", 9)})
		}
		for _, i := range []int{0, 2, 3} {
			c.gateways[i].setReady(false)
		}
		r := NewReadiness(c.gateways[0].mesh, func() bool { return false })
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = r.Run(ctx) }()
		time.Sleep(4 * time.Second)
		if r.Ready() {
			t.Fatal("ready with the snapshot of one ready gateway of four")
		}
		c.gateways[2].setReady(true)
		time.Sleep(2 * time.Second)
		if !r.Ready() || c.gateways[0].snapshots.Current().Team("a") == nil {
			t.Fatal("not ready with the larger snapshot of two ready gateways of four")
		}
		cancel()
		<-done
	})
}
