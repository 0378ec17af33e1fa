package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/history"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

const (
	// readEvery is the time between two reads of the configuration in force at a gateway.
	readEvery = 50 * time.Millisecond
	// readLimit bounds one read; a frozen gateway does not answer.
	readLimit = time.Second
)

// probe is the configuration object that tests change and read.
const probeKind, probeName = apitypes.KindTeam, "probe"

// configReads reads, over and over, which version of the probe each ready gateway has in force.
type configReads struct {
	c     *cluster
	stop  context.CancelFunc
	done  sync.WaitGroup
	mu    sync.Mutex
	at    map[string]uint64
	conns []*grpc.ClientConn
}

func (c *cluster) startReads() *configReads {
	ctx, cancel := context.WithCancel(context.Background())
	r := &configReads{c: c, stop: cancel, at: make(map[string]uint64)}
	for _, v := range c.vms {
		conn, err := grpc.NewClient("passthrough:///"+v.GatewayPeerAddr, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			c.t.Fatal(err)
		}
		r.conns = append(r.conns, conn)
		r.done.Go(func() {
			for ctx.Err() == nil {
				r.read(ctx, v, peerpb.NewGatewayClient(conn))
				time.Sleep(readEvery)
			}
		})
	}
	c.t.Cleanup(r.end)
	return r
}

func (r *configReads) read(ctx context.Context, v *vm, client peerpb.GatewayClient) {
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	s, err := client.GetStatus(ctx, &peerpb.StatusRequest{Kind: probeKind, Name: probeName})
	if err != nil || !s.Ready {
		return
	}
	now := time.Now()
	r.c.history.AddConfigRead(history.ConfigRead{Process: v.Name, Incarnation: s.Incarnation, Revision: s.Revision, At: now})
	r.c.history.AddConfigRead(history.ConfigRead{Process: v.Name + "/probe", Incarnation: s.Incarnation, Revision: s.ObjectVersion, At: now})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at[v.Name] = s.ObjectVersion
}

func (r *configReads) end() {
	r.stop()
	r.done.Wait()
	for _, conn := range r.conns {
		conn.Close()
	}
	r.conns = nil
}

// awaitEverywhere waits until all gateways but the given ones have a version of the probe in force.
func (r *configReads) awaitEverywhere(version uint64, except ...*vm) {
	r.c.t.Helper()
	skip := make(map[string]bool)
	for _, v := range except {
		skip[v.Name] = true
	}
	start := time.Now()
	r.c.await(fmt.Sprintf("version %d of the probe everywhere", version), func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, v := range r.c.vms {
			if !skip[v.Name] && r.at[v.Name] < version {
				return false
			}
		}
		return true
	})
	r.c.t.Logf("version %d was in force everywhere %v after its acceptance", version, time.Since(start).Round(time.Millisecond))
}

// tryPut writes the probe once through one VM's controller with a known version. It returns the new version and the status.
func (c *cluster) tryPut(v *vm, version uint64, note int) (uint64, int) {
	data, _ := json.Marshal(apitypes.Team{Name: probeName, Template: "boats", Weight: float64(1 + note)})
	header := map[string]string{"If-Match": fmt.Sprintf("%q", fmt.Sprint(version))}
	if version == 0 {
		header = map[string]string{"If-None-Match": "*"}
	}
	status, body := c.adminAt(v, http.MethodPut, "/config/"+probeKind+"/"+probeName, data, header)
	var result struct{ Version uint64 }
	if status == http.StatusOK && json.Unmarshal(body, &result) == nil {
		c.history.AddConfigWrite(history.ConfigWrite{Revision: result.Version, At: time.Now()})
	}
	return result.Version, status
}

// probeVersion reads the version of the probe from the platform.
func (c *cluster) probeVersion() uint64 {
	o, err := c.mem.Get(context.Background(), probeKind, probeName)
	if err != nil {
		return 0
	}
	return o.Version
}

// Guards against a gateway whose configuration goes back or never catches up: operators race, watches lose events, the store
// serves old reads, relays freeze, and processes restart while the platform is out.
func TestConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	version, status := c.tryPut(c.vms[0], 0, 0)
	if status != http.StatusOK {
		t.Fatalf("the first write: %d", status)
	}
	reads := c.startReads()
	// The history is checked also when a wait fails.
	defer func() {
		reads.end()
		c.check()
	}()
	reads.awaitEverywhere(version)

	for round := range 10 {
		var operators sync.WaitGroup
		var mu sync.Mutex
		var won []uint64
		for i := range vmCount {
			operators.Go(func() {
				if v, status := c.tryPut(c.vms[i], version, 10*round+i); status == http.StatusOK {
					mu.Lock()
					defer mu.Unlock()
					won = append(won, v)
				}
			})
		}
		operators.Wait()
		if len(won) != 1 {
			t.Fatalf("G12: %d of %d operators won with one version", len(won), vmCount)
		}
		version = won[0]
	}
	reads.awaitEverywhere(version)

	write := func(by *vm) uint64 {
		t.Helper()
		c.await("a write", func() bool {
			v, status := c.tryPut(by, c.probeVersion(), int(time.Now().UnixNano()%1000))
			if status == http.StatusOK {
				version = v
			}
			return status == http.StatusOK
		})
		return version
	}
	// Watches lose events. Each write has events at several watches.
	c.mem.UpdateFaults(func(f *memFaults) { f.DropEvents = 6 })
	for range 3 {
		write(c.vms[1])
	}
	c.mem.UpdateFaults(func(f *memFaults) { f.DropEvents = 0 })
	reads.awaitEverywhere(version)

	// The store serves old reads to processes that start.
	for range 3 {
		write(c.vms[2])
	}
	reads.awaitEverywhere(version)
	c.mem.UpdateFaults(func(f *memFaults) { f.OldLists = 4 })
	c.restartController(c.vms[0])
	c.restartGateway(c.vms[0])
	time.Sleep(time.Second)
	c.mem.UpdateFaults(func(f *memFaults) { f.OldLists = 0 })
	c.awaitReady(c.vms[0])
	reads.awaitEverywhere(version)

	// Relays freeze, two of four at a time, so that both watchers of a failure domain may be among them.
	for i := range 2 {
		a, b := c.vms[i], c.vms[i+2]
		a.controller.Suspend()
		b.controller.Suspend()
		write(c.vms[1-i])
		reads.awaitEverywhere(version)
		a.controller.Resume()
		b.controller.Resume()
	}

	// A process that starts while the platform is out, and knows no other VM, must not serve an older configuration.
	c.mem.UpdateFaults(func(f *memFaults) { f.Down = true })
	c.restartController(c.vms[1])
	c.restartGateway(c.vms[1])
	for range 20 {
		if r := c.call(1, "skippers", http.MethodGet, "/svc/lines/x", "", nil); r.whole {
			t.Error("G12: a gateway serves in an outage without a majority's configuration")
		}
		time.Sleep(50 * time.Millisecond)
	}
	// With the list of VMs it gets the others' configuration. Processes restart one after the other.
	c.listInOutage.Store(true)
	for _, v := range c.vms {
		c.restartController(v)
		c.restartGateway(v)
		c.await(v.Name+" in the outage", func() bool {
			return c.call(v.index, "skippers", http.MethodGet, "/svc/lines/x", "", nil).status == http.StatusOK
		})
		reads.awaitEverywhere(version)
	}
	c.mem.UpdateFaults(func(f *memFaults) { f.Down = false })
	write(c.vms[3])
	reads.awaitEverywhere(version)
}

// restartController kills a VM's controller and starts a new one.
func (c *cluster) restartController(v *vm) {
	if err := v.controller.Kill(); err != nil {
		c.t.Error(err)
	}
	c.startController(v)
}
