package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/auth"
	"crocusglade.example/crocusglade/internal/fault"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
	"crocusglade.example/crocusglade/internal/standin"
)

const (
	credential = "bootstrap-credential-of-the-measurement-0123456789"
	keySecret  = "key-secret-of-the-measurement-0123456789-0123456789"
	// poolCount is the number of pools, one per model, as in the target deployment.
	poolCount = 5
	// readyTimeout limits the time for all processes of a cluster to become ready.
	readyTimeout = 90 * time.Second
)

var failureDomains = []string{"engure", "salacgriva", "roja"}

// clusterSize is the size and load of one cluster.
type clusterSize struct {
	vms, endpoints, teams int
	// busy makes each endpoint change its load report at each read and publish cacheBlocks prefix blocks per second.
	busy        bool
	cacheBlocks int
	// decodeRate is the decode rate of the engines in output tokens per second of one request; 0 means defaultDecodeRate.
	decodeRate float64
}

// defaultDecodeRate is in output tokens per second of one request.
const defaultDecodeRate = 200

func (s clusterSize) String() string {
	load := "idle"
	if s.busy {
		load = fmt.Sprintf("busy, %d blocks/s", s.cacheBlocks)
	}
	return fmt.Sprintf("%d VMs, %d endpoints (%s), %d teams", s.vms, s.endpoints, load, s.teams)
}

// cluster is a running deployment. The platform and the endpoints run in this process.
type cluster struct {
	size  clusterSize
	mem   *memplatform.Platform
	calls *callCounter
	vms   []apitypes.VM
	// endpoints holds all engines, grouped by pool.
	endpoints    []apitypes.Endpoint
	platformAddr string
	gateways     []*fault.Process
	controllers  []*fault.Process
	servers      []*http.Server
	keys         []string
	workDir      string
	// startDuration is the time from the start of the last process until all processes were ready.
	startDuration time.Duration
}

// vmHost returns the loopback address of a VM.
func vmHost(i int) string { return fmt.Sprintf("127.81.%d.%d", i/250, 1+i%250) }

// address returns the host and port of one listener of a VM.
func (c *cluster) address(vm, port int) string {
	return net.JoinHostPort(vmHost(vm), fmt.Sprint(7000+port))
}

// Listeners of a VM, as offsets from its base port.
const (
	portGateway = iota
	portGatewayPeer
	portGatewayMetrics
	portController
	portControllerPeer
	portControllerMetrics
)

// startCluster starts a cluster and waits until all its processes are ready. On an error, the cluster must be stopped unless it is nil.
func startCluster(ctx context.Context, daemon string, s clusterSize) (*cluster, error) {
	workDir, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return nil, err
	}
	c := &cluster{size: s, mem: memplatform.New(), calls: newCallCounter(), workDir: workDir}
	if err := c.populatePlatform(ctx); err != nil {
		return c, err
	}
	if c.platformAddr, err = c.serve("127.81.254.1:0", c.calls.wrap(standin.NewPlatform(c.mem))); err != nil {
		return c, err
	}
	for i := range s.vms {
		if err := c.startVM(daemon, i); err != nil {
			return c, err
		}
	}
	return c, c.waitAllReady(ctx)
}

// serve starts an HTTP server on addr and returns the address that it listens on.
func (c *cluster) serve(addr string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", errors.Wrap(err, "listen for a stand-in server")
	}
	server := &http.Server{Handler: h}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// populatePlatform starts the endpoints and writes VMs, endpoints and configuration to the platform.
func (c *cluster) populatePlatform(ctx context.Context) error {
	for i := range c.size.vms {
		c.vms = append(c.vms, apitypes.VM{Name: fmt.Sprintf("vm-%03d", i+1), Region: "riga-gulf", FailureDomain: failureDomains[i%len(failureDomains)],
			State: apitypes.VMLive, GatewayAddr: c.address(i, portGateway), GatewayPeerAddr: c.address(i, portGatewayPeer),
			ControllerAddr: c.address(i, portController), ControllerPeerAddr: c.address(i, portControllerPeer)})
	}
	c.mem.SetVMs(c.vms)
	template := apitypes.Template{Name: "boats", Priority: apitypes.PriorityNormal, Retire: apitypes.RetireWait}
	for p := range poolCount {
		pool := apitypes.Pool{Name: fmt.Sprintf("model-%d", p+1), Kind: apitypes.PoolEngine, Model: fmt.Sprintf("model-%d", p+1), Version: "1"}
		for i := p; i < c.size.endpoints; i += poolCount {
			e, err := c.startEndpoint(pool.Name, i)
			if err != nil {
				return err
			}
			pool.Endpoints = append(pool.Endpoints, e)
			e.Pool = pool.Name
			c.endpoints = append(c.endpoints, e)
		}
		template.Models = append(template.Models, apitypes.ModelGrant{Model: pool.Model})
		c.mem.SetEndpoints(pool.Name, pool.Endpoints)
		if err := c.put(ctx, apitypes.KindPool, pool.Name, pool); err != nil {
			return err
		}
	}
	if err := c.put(ctx, apitypes.KindTemplate, template.Name, template); err != nil {
		return err
	}
	return c.writeTeams(ctx)
}

// teamRequestRate is the limit of each team in requests per second: five times the rate that a team uses in the callers scenario with
// 16 VMs. With a limit, gateways report the demand of the team for the division of limits.
const teamRequestRate = 3

// writeTeams writes the teams and one API key for each.
func (c *cluster) writeTeams(ctx context.Context) error {
	keyring := auth.NewKeyring([]byte(keySecret))
	sets := make(map[string]*apitypes.KeySet)
	for i := range c.size.teams {
		team := apitypes.Team{Name: fmt.Sprintf("team-%04d", i+1), Template: "boats", Weight: 1, Limits: apitypes.Limits{RequestsPerSecond: teamRequestRate}}
		if err := c.put(ctx, apitypes.KindTeam, team.Name, team); err != nil {
			return err
		}
		key := auth.NewKey(team.Name)
		hash := keyring.Hash(key)
		shard := auth.KeyShard(hash)
		if sets[shard] == nil {
			sets[shard] = &apitypes.KeySet{}
		}
		sets[shard].Keys = append(sets[shard].Keys, apitypes.KeyRecord{ID: fmt.Sprintf("key-%04d", i+1), Hash: hash, Team: team.Name, IssuedAt: 1})
		c.keys = append(c.keys, key)
	}
	for shard, set := range sets {
		if err := c.put(ctx, apitypes.KindKeySet, shard, set); err != nil {
			return err
		}
	}
	return nil
}

// put writes a configuration object unconditionally.
func (c *cluster) put(ctx context.Context, kind, name string, v any) error {
	_, err := c.putVersion(ctx, kind, name, v)
	return err
}

// putVersion writes a configuration object unconditionally and returns its new version.
func (c *cluster) putVersion(ctx context.Context, kind, name string, v any) (uint64, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return 0, err
	}
	old, err := c.mem.Get(ctx, kind, name)
	if err != nil {
		old.Version = 0
	}
	return c.mem.Put(ctx, kind, name, data, old.Version)
}

// startEndpoint starts stand-in engine i of a pool.
func (c *cluster) startEndpoint(pool string, i int) (apitypes.Endpoint, error) {
	name := fmt.Sprintf("engine-%03d", i+1)
	engine := standin.NewEngine(standin.EngineConfig{Name: name, Model: pool, Version: "1", Slots: 64, ChecksFence: true,
		DecodeRate: cmp.Or(c.size.decodeRate, defaultDecodeRate)})
	h := http.Handler(engine)
	if c.size.busy {
		h = busyEndpoint(engine, name, pool, c.size.cacheBlocks)
	}
	addr, err := c.serve(fmt.Sprintf("127.82.%d.%d:8000", i/250, 1+i%250), h)
	return apitypes.Endpoint{Name: name, Addr: addr, FailureDomain: failureDomains[i%len(failureDomains)], Class: apitypes.OnDemand,
		State: apitypes.EndpointReady, ChecksFence: true}, err
}

// startVM starts the controller and the gateway of VM i.
func (c *cluster) startVM(daemon string, i int) error {
	p, err := c.startProcess(daemon, c.vms[i].Name+"-controller", c.arguments("controller", i))
	if err != nil {
		return err
	}
	c.controllers = append(c.controllers, p)
	if p, err = c.startProcess(daemon, c.vms[i].Name+"-gateway", c.arguments("gateway", i)); err != nil {
		return err
	}
	c.gateways = append(c.gateways, p)
	return nil
}

// arguments returns the command-line arguments of the gateway or controller of VM i.
func (c *cluster) arguments(role string, i int) []string {
	vm := c.vms[i]
	common := []string{"--vm-name=" + vm.Name, "--region=" + vm.Region, "--failure-domain=" + vm.FailureDomain,
		"--platform-url=http://" + c.platformAddr, "--log-level=warn", "--usage-window=10s"}
	if role == "controller" {
		return append([]string{role, "--admin-listen=" + vm.ControllerAddr, "--peer-listen=" + vm.ControllerPeerAddr,
			"--metrics-listen=" + c.address(i, portControllerMetrics)}, common...)
	}
	return append([]string{role, "--listen=" + vm.GatewayAddr, "--peer-listen=" + vm.GatewayPeerAddr,
		"--metrics-listen=" + c.address(i, portGatewayMetrics)}, common...)
}

// startProcess starts a daemon that logs to a file in the work directory.
func (c *cluster) startProcess(daemon, name string, args []string) (*fault.Process, error) {
	log, err := os.Create(filepath.Join(c.workDir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	return fault.StartProcess(log, []string{"CROCUSGLADE_KEY_SECRET=" + keySecret, "CROCUSGLADE_BOOTSTRAP_CREDENTIAL=" + credential}, daemon, args...)
}

// waitAllReady waits until all processes are ready and sets startDuration.
func (c *cluster) waitAllReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	began := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	for i := range c.vms {
		for _, port := range []int{portControllerMetrics, portGatewayMetrics} {
			group.Go(func() error { return waitReady(ctx, c.address(i, port)) })
		}
	}
	err := group.Wait()
	c.startDuration = time.Since(began)
	if err != nil {
		return errors.Wrapf(err, "start cluster of %s", c.size)
	}
	return nil
}

// waitReady polls the readiness endpoint at addr until it responds with 200 or ctx ends.
func waitReady(ctx context.Context, addr string) error {
	for {
		body, err := httpGet(ctx, "http://"+addr+"/readyz")
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("%s is not ready: %s", addr, strings.TrimSpace(string(body)))
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// httpGet returns the body of a GET response. A status other than 200 is an error, returned together with the body.
func httpGet(ctx context.Context, url string) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Errorf("status %d", resp.StatusCode)
	}
	return bytes.TrimSpace(body), err
}

// stop kills all processes of the cluster, closes its servers and removes the work directory.
func (c *cluster) stop() {
	var wg sync.WaitGroup
	for _, p := range append(c.gateways, c.controllers...) {
		wg.Go(func() { _ = p.Kill() })
	}
	wg.Wait()
	for _, s := range c.servers {
		_ = s.Close()
	}
	http.DefaultClient.CloseIdleConnections()
	_ = os.RemoveAll(c.workDir)
}
