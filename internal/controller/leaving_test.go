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

// silentConn delivers no data to its reader while its VM is silent, like the connection of a frozen or unreachable VM.
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

// staleEndpointClient returns a load that is two seconds old and never changes.
type staleEndpointClient struct{}

func (staleEndpointClient) Load(context.Context, apitypes.Endpoint) (apitypes.Load, error) {
	return apitypes.Load{Instance: "i", AgeMS: 2000}, nil
}

func (staleEndpointClient) CacheEvents(ctx context.Context, _ apitypes.Endpoint, _ func(CacheEvent)) error {
	<-ctx.Done()
	return ctx.Err()
}

// providerEndpoints are the endpoints that the provider lists. There are enough of them for each controller to collect some.
var providerEndpoints = []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"}

// leavingCluster runs the controllers of four VMs and the load subscriber of the gateway on vm-0, with pool "p".
type leavingCluster struct {
	platform       *memplatform.Platform
	snapshots      *config.SnapshotStore
	gateway        *fakeBalancer
	members        *membership.Members
	stopController map[string]func()

	mu     sync.Mutex
	silent map[string]bool
}

func newLeavingCluster(ctx context.Context, wg *sync.WaitGroup) *leavingCluster {
	cl := &leavingCluster{platform: memplatform.New(), snapshots: config.NewSnapshotStore(), stopController: make(map[string]func()), silent: make(map[string]bool),
		gateway: &fakeBalancer{endpoints: make(map[string]balancer.Endpoint), blocks: make(map[string]map[uint64]bool)}}
	var vms []apitypes.VM
	listeners := make(map[string]*memnet.Listener)
	for i := range 4 {
		vms = append(vms, apitypes.VM{Name: fmt.Sprintf("vm-%d", i), State: apitypes.VMLive})
		listeners[vms[i].Name] = memnet.Listen()
	}
	cl.platform.SetVMs(vms)
	dial := func(vm apitypes.VM) (grpc.ClientConnInterface, func(), error) {
		conn, err := grpc.NewClient("passthrough:///"+vm.Name, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
				c, err := listeners[vm.Name].Dial(ctx)
				return &silentConn{Conn: c, silent: func() bool { return cl.isSilent(vm.Name) }}, err
			}))
		return conn, func() { conn.Close() }, err
	}
	for _, vm := range vms {
		cl.startController(ctx, wg, vm, listeners[vm.Name], dial)
	}
	cl.members = cl.runMembers(ctx, wg, vms[0])
	putObject(cl.snapshots, apitypes.KindPool, "p", apitypes.Pool{Name: "p", Kind: apitypes.PoolEngine})
	var endpoints []apitypes.Endpoint
	for _, name := range providerEndpoints {
		endpoints = append(endpoints, apitypes.Endpoint{Name: name, Addr: "https://10.0.1.1:1", State: apitypes.EndpointReady, Class: apitypes.Reclaimable})
	}
	cl.platform.SetEndpoints("p", endpoints)
	s := NewLoadSubscriber("vm-0", cl.snapshots, cl.members, dial, cl.gateway)
	wg.Go(func() { _ = s.Run(ctx) })
	return cl
}

func (cl *leavingCluster) runMembers(ctx context.Context, wg *sync.WaitGroup, vm apitypes.VM) *membership.Members {
	m := membership.New(vm, cl.platform)
	m.Refresh(ctx)
	wg.Go(func() { _ = m.Run(ctx) })
	return m
}

func (cl *leavingCluster) startController(ctx context.Context, wg *sync.WaitGroup, vm apitypes.VM, l *memnet.Listener, dial config.DialControllerFunc) {
	ctx, cl.stopController[vm.Name] = context.WithCancel(ctx)
	members := cl.runMembers(ctx, wg, vm)
	d := NewDirectory(vm.Name, cl.snapshots, members, cl.platform, dial)
	c := NewCollector(vm.Name, cl.snapshots, members, d, staleEndpointClient{})
	server := grpc.NewServer()
	peerpb.RegisterLoadServer(server, &LoadServer{Collector: c, Directory: d})
	wg.Go(func() { _ = server.Serve(l) })
	wg.Go(func() { _ = d.Run(ctx) })
	wg.Go(func() { _ = c.Run(ctx) })
	wg.Go(func() { <-ctx.Done(); server.Stop() })
}

func (cl *leavingCluster) isSilent(vm string) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.silent[vm]
}

func (cl *leavingCluster) setSilent(vm string, silent bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.silent[vm] = silent
}

// shutDown stops the cluster and waits until the readers of silent connections have ended.
func (cl *leavingCluster) shutDown(cancel context.CancelFunc, wg *sync.WaitGroup) {
	for vm := range cl.stopController {
		cl.setSilent(vm, false)
	}
	time.Sleep(time.Second)
	cancel()
	wg.Wait()
	time.Sleep(time.Second)
}

// openEndpoints returns the number of endpoints that the gateway considers open to new work.
func (cl *leavingCluster) openEndpoints() (n int) {
	for _, name := range providerEndpoints {
		if e, ok := cl.gateway.get("p/" + name); ok && !e.NoNewWork && e.ReclaimAt == 0 {
			n++
		}
	}
	return n
}

// leavingSignals are the sources from which the gateway can learn that an endpoint leaves.
var leavingSignals = map[string]func(*leavingCluster){
	"the provider's state": func(cl *leavingCluster) {
		for _, name := range providerEndpoints {
			cl.platform.SetEndpointState("p", name, apitypes.EndpointLeaving, "")
		}
	},
	"a reclaim notice":    func(cl *leavingCluster) { cl.platform.Reclaim("", time.Hour) },
	"the provider's list": func(cl *leavingCluster) { cl.platform.SetEndpoints("p", nil) },
	"an operator's drain": func(cl *leavingCluster) {
		putObject(cl.snapshots, apitypes.KindPool, "p", apitypes.Pool{Name: "p", Kind: apitypes.PoolEngine, Drained: providerEndpoints})
	},
	"the system's drain": func(cl *leavingCluster) {
		drained := make(map[string]string)
		for _, name := range providerEndpoints {
			drained[name] = "clean"
		}
		putObject(cl.snapshots, apitypes.KindOrders, "p", apitypes.PoolOrders{Drained: drained})
	},
}

// leavingFaults are the faults that delay the other sources. Load reports are stale in all cases.
var leavingFaults = map[string]func(*leavingCluster){
	"nothing":                        func(*leavingCluster) {},
	"the collector is killed":        func(cl *leavingCluster) { cl.stopController[cl.collectorVM()]() },
	"the collector is silent":        func(cl *leavingCluster) { cl.setSilent(cl.collectorVM(), true) },
	"a poller is killed":             func(cl *leavingCluster) { cl.stopController[cl.members.Pollers("p")[0].Name]() },
	"a poller is silent":             func(cl *leavingCluster) { cl.setSilent(cl.members.Pollers("p")[0].Name, true) },
	"the local controller is silent": func(cl *leavingCluster) { cl.setSilent("vm-0", true) },
	"the local controller is killed": func(cl *leavingCluster) { cl.stopController["vm-0"]() },
	"a poller's VM leaves": func(cl *leavingCluster) {
		vms, _ := cl.platform.ListVMs(context.Background())
		for i := range vms {
			if vms[i].Name == cl.members.Pollers("p")[0].Name {
				vms[i].State = apitypes.VMLeaving
			}
		}
		cl.platform.SetVMs(vms)
	},
}

// collectorVM returns the VM whose controller collects the first endpoint.
func (cl *leavingCluster) collectorVM() string {
	vm, _ := cl.members.Collector(providerEndpoints[0])
	return vm.Name
}

// Guards against new work at an endpoint more than 5 s after one source has signalled that it leaves, while the others lag
// (guarantee G10).
func TestLeavingEndpointWithinBound(t *testing.T) {
	for _, source := range slices.Sorted(maps.Keys(leavingSignals)) {
		for _, fault := range slices.Sorted(maps.Keys(leavingFaults)) {
			signal, injectFault := leavingSignals[source], leavingFaults[fault]
			t.Run(source+", "+fault, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(context.Background())
					var wg sync.WaitGroup
					cl := newLeavingCluster(ctx, &wg)
					defer cl.shutDown(cancel, &wg)
					time.Sleep(20 * time.Second)
					if n := cl.openEndpoints(); n != len(providerEndpoints) {
						t.Fatalf("%d endpoints are open before they leave", n)
					}
					injectFault(cl)
					signalledAt := time.Now()
					signal(cl)
					for cl.openEndpoints() > 0 && time.Since(signalledAt) < time.Minute {
						time.Sleep(50 * time.Millisecond)
					}
					if elapsed := time.Since(signalledAt); elapsed > history.DefaultBounds.Leaving {
						t.Errorf("no new work after %v, want at most %v", elapsed, history.DefaultBounds.Leaving)
					}
				})
			})
		}
	}
}
