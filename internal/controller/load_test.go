package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/membership"
	"crocusglade.example/crocusglade/internal/memnet"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

// fakeEndpointClient returns a fixed load and counts the polls of each endpoint.
type fakeEndpointClient struct {
	mu    sync.Mutex
	calls map[string]int
}

func (f *fakeEndpointClient) Load(_ context.Context, e apitypes.Endpoint) (apitypes.Load, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[e.Name]++
	return apitypes.Load{Running: 3, KVTotal: 2000, Instance: "i", AgeMS: 20}, nil
}

func (f *fakeEndpointClient) CacheEvents(ctx context.Context, _ apitypes.Endpoint, handle func(CacheEvent)) error {
	handle(CacheEvent{Seq: 0, Stored: []uint64{1, 2}})
	handle(CacheEvent{Seq: 1, Removed: []uint64{1}})
	// The gap follows after subscribers have received these events.
	time.Sleep(5 * time.Second)
	handle(CacheEvent{Seq: 5, Stored: []uint64{7}})
	<-ctx.Done()
	return ctx.Err()
}

func (f *fakeEndpointClient) takeCalls() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := f.calls
	f.calls = map[string]int{}
	return calls
}

// fakeBalancer records the endpoints and blocks that it receives.
type fakeBalancer struct {
	mu        sync.Mutex
	endpoints map[string]balancer.Endpoint
	blocks    map[string]map[uint64]bool
	gaps      map[string]int
}

func (b *fakeBalancer) UpdateEndpoint(pool string, e balancer.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endpoints[pool+"/"+e.Name] = e
}
func (b *fakeBalancer) RemoveEndpoint(pool, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.endpoints, pool+"/"+name)
}
func (b *fakeBalancer) ApplyCacheEvent(e string, stored, removed []uint64, reset bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.blocks[e] == nil || reset {
		b.blocks[e] = map[uint64]bool{}
	}
	for _, s := range stored {
		b.blocks[e][s] = true
	}
	for _, r := range removed {
		delete(b.blocks[e], r)
	}
}
func (b *fakeBalancer) RecordCacheGap(e string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gaps[e]++
}
func (b *fakeBalancer) get(name string) (balancer.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.endpoints[name]
	return e, ok
}

// putObject applies a new version of a configuration object.
func putObject(snapshots *config.SnapshotStore, kind, name string, v any) {
	data, _ := json.Marshal(v)
	r := snapshots.Current().Revision() + 1
	snapshots.ApplyEvents([]apitypes.Event{{Revision: r, Type: apitypes.EventPut, Object: apitypes.Object{Kind: kind, Name: name, Version: r, Data: data}}})
}

// Guards against endpoints with no collector or with two, a drained endpoint that still gets work, a new or removed endpoint of
// the provider that does not reach the gateway, and endpoints that no controller collects after others were killed.
func TestLoadFromControllersToGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform, snapshots := memplatform.New(), config.NewSnapshotStore()
		var vms []apitypes.VM
		for i := range 3 {
			vms = append(vms, apitypes.VM{Name: fmt.Sprintf("vm-%d", i), State: apitypes.VMLive})
		}
		platform.SetVMs(vms)
		listeners := map[string]*memnet.Listener{}
		for _, vm := range vms {
			listeners[vm.Name] = memnet.Listen()
		}
		dial := func(vm apitypes.VM) (grpc.ClientConnInterface, func(), error) {
			l := listeners[vm.Name]
			conn, err := grpc.NewClient("passthrough:///"+vm.Name, grpc.WithTransportCredentials(insecure.NewCredentials()),
				grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return l.Dial(ctx) }))
			return conn, func() { conn.Close() }, err
		}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		client := &fakeEndpointClient{calls: map[string]int{}}
		stopController := map[string]func(){}
		for _, vm := range vms {
			members := membership.New(vm, platform)
			members.Refresh(ctx)
			d := NewDirectory(vm.Name, snapshots, members, platform, dial)
			c := NewCollector(vm.Name, snapshots, members, d, client)
			server := grpc.NewServer()
			peerpb.RegisterLoadServer(server, &LoadServer{Collector: c, Directory: d})
			vmCtx, stop := context.WithCancel(ctx)
			wg.Go(func() { _ = server.Serve(listeners[vm.Name]) })
			wg.Go(func() { _ = d.Run(vmCtx) })
			wg.Go(func() { _ = c.Run(vmCtx) })
			wg.Go(func() { <-vmCtx.Done(); server.Stop() })
			stopController[vm.Name] = stop
		}
		b := &fakeBalancer{endpoints: map[string]balancer.Endpoint{}, blocks: map[string]map[uint64]bool{}, gaps: map[string]int{}}
		members := membership.New(vms[0], platform)
		members.Refresh(ctx)
		s := NewLoadSubscriber("vm-0", snapshots, members, dial, b)
		pool := apitypes.Pool{Name: "p", Kind: apitypes.PoolEngine}
		for i := range 6 {
			pool.Endpoints = append(pool.Endpoints, apitypes.Endpoint{Name: fmt.Sprintf("e%d", i), Addr: fmt.Sprintf("https://10.0.0.%d:1", i), Class: apitypes.OnDemand})
		}
		putObject(snapshots, apitypes.KindPool, "p", pool)
		if _, ok := b.get("p/e0"); !ok {
			t.Fatal("a configured endpoint is not published at once")
		}
		platform.SetEndpoints("p", []apitypes.Endpoint{{Name: "x", Addr: "https://10.0.1.1:1", State: apitypes.EndpointReady, Class: apitypes.Reclaimable},
			{Name: "plain", Addr: "10.0.1.2:1", State: apitypes.EndpointReady, Class: apitypes.OnDemand}})
		wg.Go(func() { _ = s.Run(ctx) })
		time.Sleep(10 * time.Second)
		client.takeCalls()
		time.Sleep(10 * time.Second)
		for name, n := range client.takeCalls() {
			if n < 15 || n > 21 || name == "plain" {
				t.Errorf("%s was polled %d times in 10 s", name, n)
			}
		}
		if e, ok := b.get("p/plain"); !ok || !e.NoNewWork {
			t.Errorf("an endpoint with a plaintext address outside loopback: %+v, %v", e, ok)
		}
		if e, ok := b.get("p/x"); !ok || e.Load.Running != 3 || e.NoNewWork || time.Since(e.ReportedAt) > 4*time.Second {
			t.Fatalf("endpoint of the provider: %+v, %v", e, ok)
		}
		b.mu.Lock()
		got, gaps := maps.Clone(b.blocks["e1"]), b.gaps["e1"]
		b.mu.Unlock()
		// A gap leaves earlier blocks in place and marks them as unconfirmed.
		if len(got) != 2 || !got[2] || !got[7] || gaps != 1 {
			t.Fatalf("blocks after a gap: %v, %d gaps", got, gaps)
		}
		pool.Drained = []string{"e0"}
		putObject(snapshots, apitypes.KindPool, "p", pool)
		putObject(snapshots, apitypes.KindOrders, "p", apitypes.PoolOrders{Abandoned: []string{"e1"}, Drained: map[string]string{"e2": ""}})
		for i := range 4 {
			if e, _ := b.get(fmt.Sprintf("p/e%d", i)); e.NoNewWork != (i < 3) {
				t.Errorf("e%d: no new work is %v", i, e.NoNewWork)
			}
		}
		platform.Reclaim("", 5*time.Second)
		time.Sleep(4 * time.Second)
		if e, _ := b.get("p/x"); !e.NoNewWork {
			t.Error("a reclaimed endpoint gets new work")
		}
		platform.SetEndpoints("p", nil)
		time.Sleep(5 * time.Second)
		if _, ok := b.get("p/x"); ok {
			t.Error("a removed endpoint stays published")
		}
		stopController["vm-1"]()
		stopController["vm-2"]()
		time.Sleep(10 * time.Second)
		client.takeCalls()
		time.Sleep(5 * time.Second)
		if calls := client.takeCalls(); len(calls) != 6 {
			t.Errorf("after two controllers were killed only %v are collected", calls)
		}
	})
}
