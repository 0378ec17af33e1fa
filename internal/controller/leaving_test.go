package controller

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/history"
	"crocusglade.example/crocusglade/internal/membership"
	"crocusglade.example/crocusglade/internal/memnet"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

// silentConn passes nothing on to its reader while its VM is silent, as a frozen or cut-off VM does.
type silentConn struct {
	net.Conn
	silent func() bool
	closed atomic.Bool
}

func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for c.silent() && !c.closed.Load() {
		time.Sleep(50 * time.Millisecond)
	}
	return n, err
}

func (c *silentConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// laggingEndpoints report a state that is two seconds old and that never shows a change.
type laggingEndpoints struct{}

func (laggingEndpoints) Load(context.Context, apitypes.Endpoint) (apitypes.Load, error) {
	return apitypes.Load{Instance: "i", AgeMS: 2000}, nil
}

func (laggingEndpoints) CacheEvents(ctx context.Context, _ apitypes.Endpoint, _ func(CacheEvent)) error {
	<-ctx.Done()
	return ctx.Err()
}

// leavingEndpoints are the endpoints that the provider lists. They are many, so that each controller collects some.
var leavingEndpoints = []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"}

// leavingBed is four controllers and the gateway of vm-0 with pool "p".
type leavingBed struct {
	mem     *memplatform.Platform
	holder  *config.SnapshotStore
	gateway *fakeBalancer
	members *membership.Members
	stop    map[string]func()

	mu     sync.Mutex
	silent map[string]bool
}

func newLeavingBed(ctx context.Context, wg *sync.WaitGroup) *leavingBed {
	b := &leavingBed{mem: memplatform.New(), holder: config.NewSnapshotStore(), stop: make(map[string]func()), silent: make(map[string]bool),
		gateway: &fakeBalancer{endpoints: make(map[string]balancer.Endpoint), blocks: make(map[string]map[uint64]bool)}}
	var vms []apitypes.VM
	listeners := make(map[string]*memnet.Listener)
	for i := range 4 {
		vms = append(vms, apitypes.VM{Name: fmt.Sprintf("vm-%d", i), State: apitypes.VMLive})
		listeners[vms[i].Name] = memnet.Listen()
	}
	b.mem.SetVMs(vms)
	dial := func(vm apitypes.VM) (grpc.ClientConnInterface, func(), error) {
		conn, err := grpc.NewClient("passthrough:///"+vm.Name, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
				c, err := listeners[vm.Name].Dial(ctx)
				return &silentConn{Conn: c, silent: func() bool { return b.isSilent(vm.Name) }}, err
			}))
		return conn, func() { conn.Close() }, err
	}
	for _, vm := range vms {
		b.startController(ctx, wg, vm, listeners[vm.Name], dial)
	}
	b.members = b.runMembers(ctx, wg, vms[0])
	configure(b.holder, apitypes.KindPool, "p", apitypes.Pool{Name: "p", Kind: apitypes.PoolEngine})
	var endpoints []apitypes.Endpoint
	for _, name := range leavingEndpoints {
		endpoints = append(endpoints, apitypes.Endpoint{Name: name, Addr: "https://10.0.1.1:1", State: apitypes.EndpointReady, Class: apitypes.Reclaimable})
	}
	b.mem.SetEndpoints("p", endpoints)
	s := NewLoadSubscriber("vm-0", b.holder, b.members, dial, b.gateway)
	wg.Go(func() { _ = s.Run(ctx) })
	return b
}

func (b *leavingBed) runMembers(ctx context.Context, wg *sync.WaitGroup, vm apitypes.VM) *membership.Members {
	m := membership.New(vm, b.mem)
	m.Refresh(ctx)
	wg.Go(func() { _ = m.Run(ctx) })
	return m
}

func (b *leavingBed) startController(ctx context.Context, wg *sync.WaitGroup, vm apitypes.VM, l *memnet.Listener, dial config.DialControllerFunc) {
	ctx, b.stop[vm.Name] = context.WithCancel(ctx)
	members := b.runMembers(ctx, wg, vm)
	d := NewDirectory(vm.Name, b.holder, members, b.mem, dial)
	c := NewCollector(vm.Name, b.holder, members, d, laggingEndpoints{})
	server := grpc.NewServer()
	peerpb.RegisterLoadServer(server, &LoadServer{Collector: c, Directory: d})
	wg.Go(func() { _ = server.Serve(l) })
	wg.Go(func() { _ = d.Run(ctx) })
	wg.Go(func() { _ = c.Run(ctx) })
	wg.Go(func() { <-ctx.Done(); server.Stop() })
}

func (b *leavingBed) isSilent(vm string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.silent[vm]
}

func (b *leavingBed) setSilent(vm string, silent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent[vm] = silent
}

// end stops all and lets virtual time pass until the readers of silent connections have ended.
func (b *leavingBed) end(cancel context.CancelFunc, wg *sync.WaitGroup) {
	for vm := range b.stop {
		b.setSilent(vm, false)
	}
	time.Sleep(time.Second)
	cancel()
	wg.Wait()
	time.Sleep(time.Second)
}

// open returns to how many endpoints the gateway sends new work.
func (b *leavingBed) open() (n int) {
	for _, name := range leavingEndpoints {
		if e, ok := b.gateway.get("p/" + name); ok && !e.NoNewWork && e.ReclaimAt == 0 {
			n++
		}
	}
	return n
}

// leavingSources are the ways in which an endpoint is told as leaving.
var leavingSources = map[string]func(*leavingBed){
	"the provider's state": func(b *leavingBed) {
		for _, name := range leavingEndpoints {
			b.mem.SetEndpointState("p", name, apitypes.EndpointLeaving, "")
		}
	},
	"a reclaim notice":    func(b *leavingBed) { b.mem.Reclaim("", time.Hour) },
	"the provider's list": func(b *leavingBed) { b.mem.SetEndpoints("p", nil) },
	"an operator's drain": func(b *leavingBed) {
		configure(b.holder, apitypes.KindPool, "p", apitypes.Pool{Name: "p", Kind: apitypes.PoolEngine, Drained: leavingEndpoints})
	},
	"the system's drain": func(b *leavingBed) {
		drained := make(map[string]string)
		for _, name := range leavingEndpoints {
			drained[name] = "clean"
		}
		configure(b.holder, apitypes.KindOrders, "p", apitypes.PoolOrders{Drained: drained})
	},
}

// leavingFaults are what makes the other sources late: the reports lag always.
var leavingFaults = map[string]func(*leavingBed){
	"nothing":                      func(*leavingBed) {},
	"the collector is killed":      func(b *leavingBed) { b.stop[b.collector()]() },
	"the collector is silent":      func(b *leavingBed) { b.setSilent(b.collector(), true) },
	"a poller is killed":           func(b *leavingBed) { b.stop[b.members.Pollers("p")[0].Name]() },
	"a poller is silent":           func(b *leavingBed) { b.setSilent(b.members.Pollers("p")[0].Name, true) },
	"the own controller is silent": func(b *leavingBed) { b.setSilent("vm-0", true) },
	"the own controller is killed": func(b *leavingBed) { b.stop["vm-0"]() },
	"a poller's VM leaves": func(b *leavingBed) {
		vms, _ := b.mem.ListVMs(context.Background())
		for i := range vms {
			if vms[i].Name == b.members.Pollers("p")[0].Name {
				vms[i].State = apitypes.VMLeaving
			}
		}
		b.mem.SetVMs(vms)
	},
}

func (b *leavingBed) collector() string {
	vm, _ := b.members.Collector(leavingEndpoints[0])
	return vm.Name
}

// Guards against new work at an endpoint later than 5 s after one source told that it leaves, while all other sources lag (G10).
func TestLeavingEndpointWithinBound(t *testing.T) {
	for _, source := range slices.Sorted(maps.Keys(leavingSources)) {
		for _, fault := range slices.Sorted(maps.Keys(leavingFaults)) {
			tell, provoke := leavingSources[source], leavingFaults[fault]
			t.Run(source+", "+fault, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(context.Background())
					var wg sync.WaitGroup
					b := newLeavingBed(ctx, &wg)
					defer b.end(cancel, &wg)
					time.Sleep(20 * time.Second)
					if n := b.open(); n != len(leavingEndpoints) {
						t.Fatalf("%d endpoints get work before they leave", n)
					}
					provoke(b)
					told := time.Now()
					tell(b)
					for b.open() > 0 && time.Since(told) < time.Minute {
						time.Sleep(50 * time.Millisecond)
					}
					if late := time.Since(told); late > history.DefaultBounds.Leaving {
						t.Errorf("no new work after %v, want at most %v", late, history.DefaultBounds.Leaving)
					}
				})
			})
		}
	}
}
