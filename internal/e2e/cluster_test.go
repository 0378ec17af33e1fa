package e2e

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/fault"
	"crocusglade.example/crocusglade/internal/history"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
	"crocusglade.example/crocusglade/internal/standin"
)

const (
	vmCount = 4
	// waitTimeout bounds every wait. It only ends a run that hangs; no check depends on the speed of the machine.
	waitTimeout = 90 * time.Second
	credential  = "bootstrap-credential-of-the-tests-0123456789"
	keySecret   = "key-secret-of-the-tests-0123456789-0123456789"
	region      = "riga-gulf"
	// usageWindow is the shortest usage window that the settings allow.
	usageWindow = 10 * time.Second
)

var failureDomains = []string{"engure", "salacgriva", "roja"}

// clusterCount is the number of clusters that this test process has started.
var clusterCount atomic.Int32

// daemonPath is the path of the crocusgladed binary that TestMain builds.
var daemonPath string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	daemonPath = filepath.Join(dir, "crocusgladed")
	build := exec.Command("go", "build", "-o", daemonPath, "crocusglade.example/crocusglade/cmd/crocusgladed")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build crocusgladed: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// vm is one VM of the cluster: a gateway process, a controller process, and the relays through which they reach the platform and
// the other VMs.
type vm struct {
	apitypes.VM
	index               int
	gateway, controller *fault.Process
	gatewayMetrics      string
	controllerMetrics   string
	// platformLink relays this VM's connections to the platform.
	platformLink *fault.Relay
	// links holds the relays to the gateway (0) and the controller (1) of each other VM, by VM name.
	links map[string][2]*fault.Relay
	log   *os.File
}

// cluster is a deployment of four VMs with stand-in endpoints and a stand-in platform.
type cluster struct {
	t        *testing.T
	platform *memplatform.Platform
	vms      []*vm
	hosts    []string
	engines  map[string]*standin.Engine
	services map[string]*standin.Service
	pools    map[string]apitypes.Pool
	history  *history.History
	client   *http.Client

	mu sync.Mutex
	// keys holds the API key last issued to each team.
	keys map[string]string
	// tls is nil when the cluster uses plain TCP.
	tls *clusterTLS
	// serveVMsInOutage keeps GET /vms available while the rest of the platform is down.
	serveVMsInOutage atomic.Bool
	// issuedKeys holds every API key issued in the run, withdrawn ones included.
	issuedKeys []string
}

// options configures a cluster.
type options struct {
	engines  int
	services int
	engine   standin.EngineConfig
	service  standin.ServiceConfig
	// tls makes every connection use TLS.
	tls bool
	// checksFence makes engines check fencing tokens.
	checksFence bool
	// gatewayFlags are appended to the flags of each gateway.
	gatewayFlags []string
	// wrapEngine, when set, returns the handler to serve in place of an engine.
	wrapEngine func(name string, engine http.Handler) http.Handler
	// beforeStart, when set, changes the platform's state before any process starts.
	beforeStart func(*cluster)
	// wrapPlatform, when set, returns the handler to serve to a VM in place of the platform.
	wrapPlatform func(c *cluster, v *vm, next http.Handler) http.Handler
}

// newCluster starts the stand-ins, four controllers and four gateways, applies a configuration with the teams "skippers" and
// "clerks", and issues a key for each. Everything is stopped when the test ends.
func newCluster(t *testing.T, o options) *cluster {
	t.Helper()
	c := &cluster{t: t, platform: memplatform.New(), engines: make(map[string]*standin.Engine), services: make(map[string]*standin.Service),
		pools: make(map[string]apitypes.Pool), history: &history.History{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		keys: make(map[string]string)}
	t.Cleanup(func() { c.client.CloseIdleConnections() })
	clusterNumber := int(clusterCount.Add(1)) % 250
	for i := range vmCount {
		c.hosts = append(c.hosts, fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()%200, clusterNumber, i+1))
	}
	if o.tls {
		c.tls = newClusterTLS(c)
	}
	c.startEndpoints(o)
	c.assignAddresses()
	c.startPlatform(o)
	if o.beforeStart != nil {
		o.beforeStart(c)
	}
	for _, v := range c.vms {
		c.startController(v)
		c.startGateway(v, o.gatewayFlags...)
	}
	for _, v := range c.vms {
		c.awaitReady(v)
	}
	c.configure()
	return c
}

// startEndpoints starts the engines of pool "logreader" and the services of pool "quayside" and lists them on the platform.
func (c *cluster) startEndpoints(o options) {
	llm := apitypes.Pool{Name: "logreader", Kind: apitypes.PoolEngine, Model: "logreader", Version: "1"}
	for i := range max(1, o.engines) {
		cfg := o.engine
		cfg.Name, cfg.Model, cfg.Version, cfg.ChecksFence = fmt.Sprintf("logreader-%d", i+1), "logreader", "1", o.checksFence
		e := standin.NewEngine(cfg)
		c.engines[cfg.Name] = e
		handler := http.Handler(e)
		if o.wrapEngine != nil {
			handler = o.wrapEngine(cfg.Name, e)
		}
		llm.Endpoints = append(llm.Endpoints, c.endpoint(cfg.Name, i, handler, o.checksFence))
	}
	svc := apitypes.Pool{Name: "quayside", Kind: apitypes.PoolService}
	for i := range max(1, o.services) {
		cfg := o.service
		cfg.Name = fmt.Sprintf("quayside-%d", i+1)
		s := standin.NewService(cfg)
		c.services[cfg.Name] = s
		svc.Endpoints = append(svc.Endpoints, c.endpoint(cfg.Name, i, s, false))
	}
	c.pools[llm.Name], c.pools[svc.Name] = llm, svc
	c.platform.SetEndpoints(llm.Name, llm.Endpoints)
	c.platform.SetEndpoints(svc.Name, svc.Endpoints)
}

// serve starts an HTTP server for a stand-in, which stops when the test ends, and returns its address.
func (c *cluster) serve(h http.Handler) string {
	server := httptest.NewUnstartedServer(h)
	if c.tls != nil {
		// StartTLS would use httptest's own certificate.
		server.Listener = tls.NewListener(server.Listener, c.tls.standins.ServerConfig(true))
	}
	server.Start()
	c.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// url returns the base URL for an address, with the scheme that the cluster uses.
func (c *cluster) url(addr string) string {
	if c.tls != nil {
		return "https://" + addr
	}
	return "http://" + addr
}

// endpoint serves a stand-in and returns its endpoint record.
func (c *cluster) endpoint(name string, i int, h http.Handler, checksFence bool) apitypes.Endpoint {
	addr := c.serve(h)
	if c.tls != nil {
		addr = c.url(addr)
	}
	return apitypes.Endpoint{Name: name, Addr: addr, FailureDomain: failureDomains[i%len(failureDomains)],
		Class: apitypes.OnDemand, State: apitypes.EndpointReady, ChecksFence: checksFence}
}

// assignAddresses creates the VMs with their addresses, log files and relays. Each VM reaches the others through its own relays, so
// that any pair can be partitioned. Each VM has its own loopback address, so that its fixed ports conflict neither with those of
// another cluster nor with those of outgoing connections, which use 127.0.0.1.
func (c *cluster) assignAddresses() {
	for i := range vmCount {
		v := &vm{index: i, links: make(map[string][2]*fault.Relay), VM: apitypes.VM{Name: fmt.Sprintf("vm-%d", i+1), Region: region,
			FailureDomain: failureDomains[i%len(failureDomains)], State: apitypes.VMLive}}
		for port, addr := range []*string{&v.GatewayAddr, &v.GatewayPeerAddr, &v.ControllerAddr, &v.ControllerPeerAddr, &v.gatewayMetrics, &v.controllerMetrics} {
			*addr = net.JoinHostPort(c.hosts[i], fmt.Sprint(7000+port))
		}
		log, err := os.Create(filepath.Join(c.t.TempDir(), v.Name+".log"))
		if err != nil {
			c.t.Fatal(err)
		}
		v.log = log
		c.t.Cleanup(func() { c.dumpLog(v) })
		c.vms = append(c.vms, v)
	}
	for _, from := range c.vms {
		for _, to := range c.vms {
			if from != to {
				from.links[to.Name] = [2]*fault.Relay{c.relay(to.GatewayPeerAddr), c.relay(to.ControllerPeerAddr)}
			}
		}
	}
}

func (c *cluster) relay(target string) *fault.Relay {
	r, err := fault.NewRelay(target)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { r.Close() })
	return r
}

// startPlatform serves the platform to each VM through its own relay. In the list of VMs that a VM gets, the peer addresses are
// those of its own relays.
func (c *cluster) startPlatform(o options) {
	handler := standin.NewPlatform(c.platform)
	for _, v := range c.vms {
		mux := http.NewServeMux()
		mux.Handle("/", handler)
		mux.HandleFunc("GET /vms", func(w http.ResponseWriter, r *http.Request) { c.serveVMs(v, w, r) })
		var served http.Handler = mux
		if o.wrapPlatform != nil {
			served = o.wrapPlatform(c, v, mux)
		}
		v.platformLink = c.relay(c.serve(served))
	}
	c.registerVMs()
}

// registerVMs sets the platform's list of VMs to all VMs.
func (c *cluster) registerVMs() {
	var vms []apitypes.VM
	for _, v := range c.vms {
		vms = append(vms, v.VM)
	}
	c.platform.SetVMs(vms)
}

// serveVMs responds to GET /vms for one VM.
func (c *cluster) serveVMs(v *vm, w http.ResponseWriter, r *http.Request) {
	vms, err := c.platform.ListVMs(r.Context())
	if err != nil && c.serveVMsInOutage.Load() {
		vms, err = nil, nil
		for _, member := range c.vms {
			vms = append(vms, member.VM)
		}
	}
	if err != nil {
		http.Error(w, `{"error":"unavailable"}`, http.StatusServiceUnavailable)
		return
	}
	for i := range vms {
		if links, ok := v.links[vms[i].Name]; ok {
			vms[i].GatewayPeerAddr, vms[i].ControllerPeerAddr = links[0].Addr(), links[1].Addr()
		}
	}
	json.NewEncoder(w).Encode(map[string]any{"vms": vms})
}

// flags returns the flags that gateways and controllers share.
func (c *cluster) flags(v *vm, role, peerAddr, metrics string) []string {
	flags := []string{role, "--vm-name=" + v.Name, "--region=" + region, "--failure-domain=" + v.FailureDomain,
		"--platform-url=" + c.url(v.platformLink.Addr()), "--peer-listen=" + peerAddr, "--metrics-listen=" + metrics,
		"--usage-window=" + usageWindow.String()}
	return append(flags, c.tls.flags("peer", "platform", "endpoint", "metrics")...)
}

func (c *cluster) startController(v *vm) {
	args := append(c.flags(v, "controller", v.ControllerPeerAddr, v.controllerMetrics), "--admin-listen="+v.ControllerAddr)
	args = append(args, c.tls.flags("admin")...)
	v.controller = c.startProcess(v, args)
}

func (c *cluster) startGateway(v *vm, extra ...string) {
	args := append(c.flags(v, "gateway", v.GatewayPeerAddr, v.gatewayMetrics), "--listen="+v.GatewayAddr, "--entry-lifetime=1s", "--drain-limit=60s")
	args = append(args, c.tls.flags("caller")...)
	v.gateway = c.startProcess(v, append(args, extra...))
}

func (c *cluster) startProcess(v *vm, args []string) *fault.Process {
	p, err := fault.StartProcess(v.log, []string{"CROCUSGLADE_KEY_SECRET=" + keySecret, "CROCUSGLADE_BOOTSTRAP_CREDENTIAL=" + credential}, daemonPath, args...)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { p.Kill() })
	return p
}

// dumpLog writes the end of a VM's log to the test log when the test has failed.
func (c *cluster) dumpLog(v *vm) {
	if c.t.Failed() {
		if data, err := os.ReadFile(v.log.Name()); err == nil {
			c.t.Logf("log of %s:\n%s", v.Name, tail(data, 4000))
		}
	}
	v.log.Close()
}

func tail(data []byte, n int) []byte { return data[max(0, len(data)-n):] }

func (c *cluster) awaitReady(v *vm) {
	c.t.Helper()
	for _, addr := range []string{v.controllerMetrics, v.gatewayMetrics} {
		last := ""
		defer func() {
			if c.t.Failed() {
				c.t.Logf("last readiness response of %s: %s", addr, last)
			}
		}()
		c.await(v.Name+" to be ready at "+addr, func() bool {
			r, err := c.client.Get(c.url(addr) + "/readyz")
			if err != nil {
				last = err.Error()
				return false
			}
			defer r.Body.Close()
			body, _ := io.ReadAll(r.Body)
			last = string(body)
			return r.StatusCode == http.StatusOK
		})
	}
}

// await polls a condition and fails the test when it does not hold within waitTimeout.
func (c *cluster) await(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out after %v waiting for %s", waitTimeout, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// configure applies pools, routes, a template and teams, issues a key for each team, and waits until every gateway accepts the
// keys.
func (c *cluster) configure() {
	for _, p := range c.pools {
		c.put("pool", p.Name, p)
	}
	c.put("route", "lines", apitypes.Route{Name: "lines", Pool: "quayside"})
	c.put("route", "declarations", apitypes.Route{Name: "declarations", Pool: "quayside"})
	c.put("template", "boats", apitypes.Template{Name: "boats", Models: []apitypes.ModelGrant{{Model: "logreader"}},
		Routes: []string{"lines", "declarations"}, Priority: apitypes.PriorityNormal, Retire: apitypes.RetireWait})
	for _, team := range []string{"skippers", "clerks"} {
		c.put("team", team, apitypes.Team{Name: team, Template: "boats"})
		c.issueKey(team)
	}
	for i := range c.vms {
		for team := range c.keys {
			c.await("the key of "+team+" to be accepted", func() bool {
				return c.call(i, team, http.MethodGet, "/svc/lines/ready", "", nil).status == http.StatusOK
			})
		}
	}
	c.await("an engine to serve", func() bool { return c.chat(0, "skippers", "ready", 1, false).complete })
}

// adminTimeout bounds a call of the administration API, so that a frozen controller does not block a test.
const adminTimeout = 15 * time.Second

// admin calls the administration API of the first controller that responds and returns the status and the body. The status is 0
// when none responds.
func (c *cluster) admin(method, path string, body any, header map[string]string) (int, []byte) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	for _, v := range c.vms {
		if status, out := c.adminAt(v, method, path, data, header); status != 0 {
			return status, out
		}
	}
	return 0, nil
}

// adminAt calls the administration API of one controller. The status is 0 when it does not respond.
func (c *cluster) adminAt(v *vm, method, path string, data []byte, header map[string]string) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.url(v.ControllerAddr)+"/admin/v1"+path, bytes.NewReader(data))
	if err != nil {
		c.t.Error(err)
		return 0, nil
	}
	req.Header.Set("Authorization", "Bearer "+credential)
	req.Header.Set("Content-Type", "application/json")
	for k, value := range header {
		req.Header.Set(k, value)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	out, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, out
}

// put creates or replaces a configuration object, records the accepted revision in the history and returns it.
func (c *cluster) put(kind, name string, v any) uint64 {
	c.t.Helper()
	header := map[string]string{"If-None-Match": "*"}
	status, body := c.admin(http.MethodGet, "/config/"+kind+"/"+name, nil, nil)
	if status == http.StatusOK {
		var o apitypes.Object
		if err := json.Unmarshal(body, &o); err != nil {
			c.t.Fatal(err)
		}
		header = map[string]string{"If-Match": fmt.Sprintf("%q", fmt.Sprint(o.Version))}
	}
	status, body = c.admin(http.MethodPut, "/config/"+kind+"/"+name, v, header)
	if status != http.StatusOK {
		c.t.Fatalf("put %s/%s: status %d: %s", kind, name, status, body)
	}
	var result struct{ Version uint64 }
	if err := json.Unmarshal(body, &result); err != nil {
		c.t.Fatal(err)
	}
	c.history.AddConfigWrite(history.ConfigWrite{Revision: result.Version, At: time.Now()})
	return result.Version
}

// issueKey issues a key for a team, which replaces the one that call uses, and returns its id.
func (c *cluster) issueKey(team string) string {
	c.t.Helper()
	status, body := c.admin(http.MethodPost, "/keys", map[string]string{"team": team}, nil)
	var key struct{ ID, Key string }
	if err := json.Unmarshal(body, &key); err != nil || key.Key == "" {
		c.t.Fatalf("issue a key: status %d: %s", status, body)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys[team] = key.Key
	c.issuedKeys = append(c.issuedKeys, key.Key)
	return key.ID
}

// partition blocks traffic between a VM and the other VMs in both directions, and between the VM and the platform when withPlatform
// is true. Callers still reach the VM, and the VM still reaches endpoints.
func (c *cluster) partition(v *vm, withPlatform bool) { c.setLinks(v, fault.BlockAll, withPlatform) }

// heal ends a partition.
func (c *cluster) heal(v *vm) { c.setLinks(v, fault.ForwardAll, true) }

func (c *cluster) setLinks(v *vm, m fault.Mode, withPlatform bool) {
	for _, other := range c.vms {
		if other == v {
			continue
		}
		for i := range 2 {
			v.links[other.Name][i].SetMode(m)
			other.links[v.Name][i].SetMode(m)
		}
	}
	if withPlatform {
		v.platformLink.SetMode(m)
	}
}
