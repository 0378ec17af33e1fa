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
	// readInterval is the time between two reads of the configuration in force at a gateway.
	readInterval = 50 * time.Millisecond
	// readTimeout bounds one read; a frozen gateway does not respond.
	readTimeout = time.Second
)

// probeKind and probeName name the configuration object that tests write, and read back at the gateways.
const probeKind, probeName = apitypes.KindTeam, "probe"

// configReader polls each gateway for the version of the probe that it has in force and records it in the history. Gateways that
// are not ready are skipped.
type configReader struct {
	c       *cluster
	cancel  context.CancelFunc
	workers sync.WaitGroup
	mu      sync.Mutex
	// versions holds the version of the probe last read from each gateway, by VM name.
	versions map[string]uint64
	conns    []*grpc.ClientConn
}

// startConfigReader starts a reader, which is closed when the test ends at the latest.
func (c *cluster) startConfigReader() *configReader {
	ctx, cancel := context.WithCancel(context.Background())
	r := &configReader{c: c, cancel: cancel, versions: make(map[string]uint64)}
	for _, v := range c.vms {
		conn, err := grpc.NewClient("passthrough:///"+v.GatewayPeerAddr, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			c.t.Fatal(err)
		}
		r.conns = append(r.conns, conn)
		r.workers.Go(func() {
			for ctx.Err() == nil {
				r.read(ctx, v, peerpb.NewGatewayClient(conn))
				time.Sleep(readInterval)
			}
		})
	}
	c.t.Cleanup(r.close)
	return r
}

func (r *configReader) read(ctx context.Context, v *vm, client peerpb.GatewayClient) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
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
	r.versions[v.Name] = s.ObjectVersion
}

func (r *configReader) close() {
	r.cancel()
	r.workers.Wait()
	for _, conn := range r.conns {
		conn.Close()
	}
	r.conns = nil
}

// awaitVersion waits until every gateway, except the given ones, has at least the given version of the probe in force.
func (r *configReader) awaitVersion(version uint64, except ...*vm) {
	r.c.t.Helper()
	skip := make(map[string]bool)
	for _, v := range except {
		skip[v.Name] = true
	}
	start := time.Now()
	r.c.await(fmt.Sprintf("version %d of the probe at all gateways", version), func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, v := range r.c.vms {
			if !skip[v.Name] && r.versions[v.Name] < version {
				return false
			}
		}
		return true
	})
	r.c.t.Logf("version %d was in force at all gateways %v after the wait began", version, time.Since(start).Round(time.Millisecond))
}

// tryPut writes the probe once through one VM's controller, on the condition that its version is the given one; 0 means that it
// does not exist. weight distinguishes the writes. It returns the new version and the HTTP status.
func (c *cluster) tryPut(v *vm, version uint64, weight int) (uint64, int) {
	data, _ := json.Marshal(apitypes.Team{Name: probeName, Template: "boats", Weight: float64(1 + weight)})
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

// probeVersion returns the version of the probe on the platform, or 0 when it can't be read.
func (c *cluster) probeVersion() uint64 {
	o, err := c.platform.Get(context.Background(), probeKind, probeName)
	if err != nil {
		return 0
	}
	return o.Version
}

// Guards against a gateway whose configuration reverts to an older revision or stays out of date: operators write concurrently,
// watches lose events, the store serves stale reads, controllers freeze, and processes restart while the platform is down.
func TestConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	version, status := c.tryPut(c.vms[0], 0, 0)
	if status != http.StatusOK {
		t.Fatalf("first write of the probe: status %d", status)
	}
	reads := c.startConfigReader()
	// The history is checked even if a wait fails the test.
	defer func() {
		reads.close()
		c.checkGuarantees()
	}()
	reads.awaitVersion(version)

	for round := range 10 {
		var operators sync.WaitGroup
		var mu sync.Mutex
		var accepted []uint64
		for i := range vmCount {
			operators.Go(func() {
				if v, status := c.tryPut(c.vms[i], version, 10*round+i); status == http.StatusOK {
					mu.Lock()
					defer mu.Unlock()
					accepted = append(accepted, v)
				}
			})
		}
		operators.Wait()
		if len(accepted) != 1 {
			t.Fatalf("G12: %d of %d concurrent writes with the same version were accepted", len(accepted), vmCount)
		}
		version = accepted[0]
	}
	reads.awaitVersion(version)

	write := func(by *vm) uint64 {
		t.Helper()
		c.await("a write of the probe to be accepted", func() bool {
			v, status := c.tryPut(by, c.probeVersion(), int(time.Now().UnixNano()%1000))
			if status == http.StatusOK {
				version = v
			}
			return status == http.StatusOK
		})
		return version
	}
	// Watches lose events. Each write causes an event at several watches.
	c.platform.UpdateFaults(func(f *platformFaults) { f.DropEvents = 6 })
	for range 3 {
		write(c.vms[1])
	}
	c.platform.UpdateFaults(func(f *platformFaults) { f.DropEvents = 0 })
	reads.awaitVersion(version)

	// The store serves stale reads to processes that start.
	for range 3 {
		write(c.vms[2])
	}
	reads.awaitVersion(version)
	c.platform.UpdateFaults(func(f *platformFaults) { f.OldLists = 4 })
	c.restartController(c.vms[0])
	c.restartGateway(c.vms[0])
	time.Sleep(time.Second)
	c.platform.UpdateFaults(func(f *platformFaults) { f.OldLists = 0 })
	c.awaitReady(c.vms[0])
	reads.awaitVersion(version)

	// Controllers, which relay configuration to the gateways, freeze two of four at a time, so that both watchers of a failure
	// domain may be frozen.
	for i := range 2 {
		a, b := c.vms[i], c.vms[i+2]
		a.controller.Suspend()
		b.controller.Suspend()
		write(c.vms[1-i])
		reads.awaitVersion(version)
		a.controller.Resume()
		b.controller.Resume()
	}

	// A process that starts while the platform is down, without the list of VMs, must not serve an older configuration.
	c.platform.UpdateFaults(func(f *platformFaults) { f.Down = true })
	c.restartController(c.vms[1])
	c.restartGateway(c.vms[1])
	for range 20 {
		if r := c.call(1, "skippers", http.MethodGet, "/svc/lines/x", "", nil); r.complete {
			t.Error("G12: a gateway that started in the outage serves without the configuration of a majority")
		}
		time.Sleep(50 * time.Millisecond)
	}
	// With the list of VMs a restarted process gets the configuration from the other VMs. The VMs restart one after the other.
	c.serveVMsInOutage.Store(true)
	for _, v := range c.vms {
		c.restartController(v)
		c.restartGateway(v)
		c.await(v.Name+" to serve in the outage", func() bool {
			return c.call(v.index, "skippers", http.MethodGet, "/svc/lines/x", "", nil).status == http.StatusOK
		})
		reads.awaitVersion(version)
	}
	c.platform.UpdateFaults(func(f *platformFaults) { f.Down = false })
	write(c.vms[3])
	reads.awaitVersion(version)
}

// restartController kills a VM's controller and starts a new one.
func (c *cluster) restartController(v *vm) {
	if err := v.controller.Kill(); err != nil {
		c.t.Error(err)
	}
	c.startController(v)
}
