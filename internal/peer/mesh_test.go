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

// gateway is a fake gateway with a mesh.
type gateway struct {
	mu         sync.Mutex
	demand     map[string]*peerpb.TeamDemand
	sends      map[string]balancer.LoadDelta
	quarantine map[uint64]time.Time
	deaths     []EndpointDeath

	gotDemand     map[string]float64
	gotSends      map[string]int64
	gotQuarantine map[uint64]int
	gotDeaths     int
	gone          []string

	ready     bool
	holder    *config.SnapshotStore
	freshness config.Freshness
	mesh      *Mesh
}

func (g *gateway) lock(f func()) { g.mu.Lock(); defer g.mu.Unlock(); f() }

func (g *gateway) PeerDemand() (d map[string]*peerpb.TeamDemand) {
	g.lock(func() { d = g.demand })
	return d
}
func (g *gateway) CollectLoadDeltas() (s map[string]balancer.LoadDelta) {
	g.lock(func() { s, g.sends = g.sends, nil })
	return s
}
func (g *gateway) PeerQuarantine() (q map[uint64]time.Duration) {
	g.lock(func() {
		q = make(map[uint64]time.Duration)
		for fingerprint, until := range g.quarantine {
			q[fingerprint] = time.Until(until)
		}
	})
	return q
}
func (g *gateway) CollectEndpointDeaths() (d []EndpointDeath) {
	g.lock(func() { d, g.deaths = g.deaths, nil })
	return d
}
func (g *gateway) Draining() bool { return false }
func (g *gateway) PeerStatus() (r *peerpb.StatusResponse) {
	g.lock(func() { r = &peerpb.StatusResponse{Ready: g.ready} })
	return r
}
func (g *gateway) setReady(ready bool) { g.lock(func() { g.ready = ready }) }

func (g *gateway) OnNeighbourDemand(vm string, demand []*peerpb.TeamDemand) {
	g.lock(func() {
		for _, d := range demand {
			g.gotDemand[vm+"/"+d.Team] = d.TokensPerSecond
		}
	})
}
func (g *gateway) OnNeighbourLoadDelta(vm, endpoint string, tokens int64, _ int) {
	g.lock(func() { g.gotSends[endpoint] += tokens })
}
func (g *gateway) OnNeighbourQuarantine(fingerprint uint64, _ time.Duration) {
	g.lock(func() { g.gotQuarantine[fingerprint]++ })
}
func (g *gateway) OnNeighbourDeath(uint64, string) { g.lock(func() { g.gotDeaths++ }) }
func (g *gateway) OnNeighbourLost(vm string)       { g.lock(func() { g.gone = append(g.gone, vm) }) }

// cluster is n gateways that reach each other in memory.
type cluster struct {
	gateways  []*gateway
	listeners map[string]*memnet.Listener
	mu        sync.Mutex
	cut       map[string]bool
	conns     []net.Conn
}

// isolate closes and refuses all connections from and to a VM by dropping every connection and refusing the VM's address.
func (c *cluster) isolate(vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[vm] = true
	for _, conn := range c.conns {
		conn.Close()
	}
}

func startCluster(t *testing.T, n int) *cluster {
	c := &cluster{listeners: map[string]*memnet.Listener{}, cut: map[string]bool{}}
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

func (c *cluster) start(ctx context.Context, t *testing.T, wg *sync.WaitGroup, p *memplatform.Platform, vm apitypes.VM) *gateway {
	g := &gateway{holder: config.NewSnapshotStore(), ready: true, gotDemand: map[string]float64{}, gotSends: map[string]int64{}, gotQuarantine: map[uint64]int{}}
	members := membership.New(vm, p)
	members.Refresh(ctx)
	clients := NewClients(nil, grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.cut[addr] || c.cut[vm.Name] {
			return nil, net.ErrClosed
		}
		conn, err := c.listeners[addr].Dial(ctx)
		c.conns = append(c.conns, conn)
		return conn, err
	}))
	g.mesh = NewMesh(vm.Name, "i1", members, clients, g.holder, &g.freshness, g, g)
	server := grpc.NewServer()
	peerpb.RegisterGatewayServer(server, &Server{VM: vm.Name, Incarnation: "i1", Config: g.holder, Freshness: &g.freshness, Mesh: g.mesh, Status: g})
	wg.Go(func() { _ = server.Serve(c.listeners[vm.Name]) })
	wg.Go(func() { _ = g.mesh.Run(ctx); clients.Close(); server.Stop() })
	return g
}

func team(name string, version uint64) apitypes.Event {
	data, _ := json.Marshal(apitypes.Team{Name: name})
	return apitypes.Event{Revision: version, Type: apitypes.EventPut, Object: apitypes.Object{Kind: apitypes.KindTeam, Name: name, Version: version, Data: data}}
}

// Guards against deltas that are lost, sent twice or sent to one neighbour only.
func TestExchangeDeltas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 4)
		time.Sleep(2 * time.Second)
		c.gateways[1].lock(func() {
			c.gateways[1].demand = map[string]*peerpb.TeamDemand{"a": {TokensPerSecond: 10}}
			c.gateways[1].sends = map[string]balancer.LoadDelta{"e": {PromptTokens: 7, Requests: 1}}
			c.gateways[1].quarantine = map[uint64]time.Time{5: time.Now().Add(time.Minute)}
			c.gateways[1].deaths = []EndpointDeath{{5, "e"}}
		})
		time.Sleep(5 * time.Second)
		for i, g := range c.gateways {
			if i == 1 {
				continue
			}
			g.lock(func() {
				if g.gotDemand["vm-1/a"] != 10 || g.gotSends["e"] != 7 || g.gotQuarantine[5] != 1 || g.gotDeaths != 1 || len(g.gone) != 0 {
					t.Errorf("gateway %d got demand %v, sends %v, quarantine %v, %d deaths, gone %v", i, g.gotDemand, g.gotSends, g.gotQuarantine, g.gotDeaths, g.gone)
				}
			})
		}
		c.gateways[1].lock(func() { c.gateways[1].demand = nil })
		time.Sleep(2 * time.Second)
		c.gateways[0].lock(func() {
			if d, ok := c.gateways[0].gotDemand["vm-1/a"]; !ok || d != 0 {
				t.Errorf("ended demand stays at %v", d)
			}
		})
	})
}

// Guards against a cut-off gateway that goes on admitting keyed work, and against an outage of the platform that stops the others.
func TestContactOfCutOffGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 4)
		time.Sleep(2 * time.Second)
		for i, g := range c.gateways {
			if !g.mesh.HasPlatformOrMajority() {
				t.Fatalf("gateway %d has lost contact while all are connected and the platform is down", i)
			}
		}
		c.isolate("vm-3")
		time.Sleep(3 * time.Second)
		if !c.gateways[0].mesh.IsNeighbourAlive("vm-1") {
			t.Fatal("connected gateways did not reconnect")
		}
		time.Sleep(2*time.Second + 500*time.Millisecond)
		cut := c.gateways[3]
		if cut.mesh.HasPlatformOrMajority() || c.gateways[0].mesh.IsNeighbourAlive("vm-3") || c.gateways[0].mesh.IsNeighbourServing("vm-3") {
			t.Fatalf("cut-off gateway in contact: %v", cut.mesh.HasPlatformOrMajority())
		}
		for i := range 3 {
			if !c.gateways[i].mesh.HasPlatformOrMajority() {
				t.Fatalf("gateway %d of the majority has lost contact", i)
			}
		}
		c.gateways[0].lock(func() {
			if len(c.gateways[0].gone) != 1 || c.gateways[0].gone[0] != "vm-3" {
				t.Errorf("gone: %v", c.gateways[0].gone)
			}
		})
	})
}

// Guards against a gateway that hears the majority again after a partition and admits keyed work before it has their
// configuration, in which the key may be withdrawn.
func TestNoContactWhileBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 4)
		time.Sleep(2 * time.Second)
		late := c.gateways[3]
		for _, g := range c.gateways[:3] {
			g.holder.ApplyEvents([]apitypes.Event{team("a", 9)})
		}
		level := func() bool { return late.holder.Current().Team("a") != nil }
		time.Sleep(1500 * time.Millisecond)
		if level() || late.mesh.HasPlatformOrMajority() {
			t.Fatalf("level %v, in contact %v, one heartbeat after a change elsewhere", level(), late.mesh.HasPlatformOrMajority())
		}
		time.Sleep(5 * time.Second)
		if !level() || !late.mesh.HasPlatformOrMajority() {
			t.Fatalf("level %v, in contact %v, after the snapshot of a neighbour", level(), late.mesh.HasPlatformOrMajority())
		}
		// The system's own writes hold no keys. They come first after an outage and must not stop keyed work.
		c.gateways[0].holder.ApplyEvents([]apitypes.Event{{Revision: 12, Type: apitypes.EventPut,
			Object: apitypes.Object{Kind: apitypes.KindOrders, Name: "p", Version: 12, Data: []byte(`{"fence":2}`)}}})
		time.Sleep(1500 * time.Millisecond)
		if !late.mesh.HasPlatformOrMajority() {
			t.Fatal("lost contact because a neighbour has newer orders")
		}
	})
}

// Guards against a neighbour that confirms a configuration other than this gateway's.
func TestAgeCountsOnlyAtEqualRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := startCluster(t, 1).gateways[0]
		g.holder.ApplyEvents([]apitypes.Event{team("a", 9)})
		for _, revision := range []uint64{8, 10} {
			g.mesh.take(&peerpb.PeerUpdate{Vm: "x", Revision: revision})
		}
		if g.freshness.AgeMS() != config.UnknownAge {
			t.Fatalf("age %d ms from another revision", g.freshness.AgeMS())
		}
		g.mesh.take(&peerpb.PeerUpdate{Vm: "x", Revision: 9, PlatformAgeMs: 1500})
		if age := g.freshness.AgeMS(); age != 1500 {
			t.Fatalf("age %d ms from the same revision", age)
		}
	})
}

// Guards against a change that only a neighbour has, because this gateway's relays are gone.
func TestSnapshotFromNeighbour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 3)
		c.gateways[2].holder.ApplyEvents([]apitypes.Event{team("a", 9)})
		time.Sleep(5 * time.Second)
		for i, g := range c.gateways {
			if g.holder.Current().Team("a") == nil {
				t.Errorf("gateway %d lacks the change", i)
			}
		}
	})
}

// Guards against a gateway that restarts in an outage and serves without what a majority has confirmed: with the snapshot of one
// ready gateway, which may lack it, or with the smaller of two. Guards too against two restarted gateways that never serve again.
func TestReadinessInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 4)
		c.gateways[1].holder.ApplyEvents([]apitypes.Event{team("b", 5)})
		for _, g := range c.gateways[2:] {
			g.holder.ApplyEvents([]apitypes.Event{team("a", 9)})
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
			t.Fatal("ready with the answer of one ready gateway of four")
		}
		c.gateways[2].setReady(true)
		time.Sleep(2 * time.Second)
		if !r.Ready() || c.gateways[0].holder.Current().Team("a") == nil {
			t.Fatal("not ready with the larger snapshot of two ready gateways of four")
		}
		cancel()
		<-done
	})
}
