package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

func init() { sections = append(sections, section{8, "discovery", measureDiscovery}) }

const (
	discoveryCallers = 1000
	// callerInterval is the time step of the callers. Each caller sends one request a second.
	callerInterval = 100 * time.Millisecond
	// gatewayDowntime is the time between the end of a gateway and the start of the next on its VM.
	gatewayDowntime = 10 * time.Second
	// vmListLag is the time after which the VM list shows the loss or the start of a VM.
	vmListLag = 10 * time.Second
	// maxEvenSpread is the largest spread that counts as even. Random choice of 1,000 callers among four gateways gives about
	// 1.07.
	maxEvenSpread = 1.2
)

// caller is a client that keeps the addresses of GET /v1/entry for their lifetime and uses the first one that responds.
type caller struct {
	addresses []string
	expiresAt time.Time
	gateway   string // address of the gateway that took the last request
}

// discoveryRun is a run of callers against four gateways.
type discoveryRun struct {
	*discoveryCluster
	rng              *rand.Rand
	callers          []*caller
	callersByGateway map[string]int
	figures          discoveryFigures
	// evenSince is the time since which the spread is even. It is zero while the spread is uneven.
	evenSince time.Time
}

// discoveryFigures holds the figures of one run. A spread is the largest share of callers on one gateway, in multiples of the mean
// over the gateways in service.
type discoveryFigures struct {
	worstSpread   float64
	steadySpread  float64 // mean over the first part of the run, in which nothing changes
	sentToStopped float64 // requests sent to the address of a stopped gateway
	refused       float64 // requests sent to a gateway that refuses new work
	secondsToEven float64 // from the last change to an even spread that lasts
	requests      float64
}

// fetchAddresses gets the addresses and their expiry from the real handler of a gateway.
func (d *discoveryRun) fetchAddresses(addr string) ([]string, time.Time, bool) {
	g := d.gatewayAt(addr)
	if g == nil {
		return nil, time.Time{}, false
	}
	w := httptest.NewRecorder()
	g.http.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/entry", nil))
	var body struct {
		Addresses []string `json:"addresses"`
		Lifetime  int      `json:"lifetime_seconds"`
	}
	if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil || len(body.Addresses) == 0 {
		return nil, time.Time{}, false
	}
	return body.Addresses, time.Now().Add(time.Duration(body.Lifetime) * time.Second), true
}

// refreshAddresses asks the current gateway, then the other known ones, then those of the caller's settings, until one responds.
func (d *discoveryRun) refreshAddresses(c *caller) {
	known := append([]string{c.gateway}, c.addresses...)
	for _, addr := range append(known, d.configuredAddresses()...) {
		if addresses, expiresAt, ok := d.fetchAddresses(addr); ok {
			c.addresses, c.expiresAt = addresses, expiresAt
			return
		}
	}
}

// configuredAddresses returns the addresses in a caller's settings: those of the first four VMs, in random order.
func (d *discoveryRun) configuredAddresses() []string {
	out := slices.Clone(d.initialAddresses)
	d.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// send sends one request to the first address that takes it. Addresses that fail are dropped until the caller fetches new ones.
func (d *discoveryRun) send(c *caller) {
	if !time.Now().Before(c.expiresAt) {
		d.refreshAddresses(c)
	}
	d.figures.requests++
	for len(c.addresses) > 0 {
		g := d.gatewayAt(c.addresses[0])
		if g != nil && !g.refusesNewWork() {
			d.moveCaller(c, c.addresses[0])
			return
		}
		if g == nil {
			d.figures.sentToStopped++
		} else {
			d.figures.refused++
		}
		c.addresses = c.addresses[1:]
	}
	c.expiresAt = time.Time{}
}

// moveCaller counts a caller at the gateway that took its request.
func (d *discoveryRun) moveCaller(c *caller, to string) {
	d.callersByGateway[c.gateway]--
	d.callersByGateway[to]++
	c.gateway = to
}

// spread returns the largest share of callers on one gateway, in multiples of the mean over the gateways in service.
func (d *discoveryRun) spread() float64 {
	most := 0
	for _, n := range d.callersByGateway {
		most = max(most, n)
	}
	return float64(most) * float64(max(1, d.countInService())) / float64(len(d.callers))
}

// runCallers lets the callers send requests for the given time and returns the mean spread.
func (d *discoveryRun) runCallers(length time.Duration) float64 {
	sum, n := 0.0, 0
	steps := int(time.Second / callerInterval)
	for end := time.Now().Add(length); time.Now().Before(end); n++ {
		for i := n % steps; i < len(d.callers); i += steps {
			d.send(d.callers[i])
		}
		spread := d.spread()
		sum += spread
		d.figures.worstSpread = max(d.figures.worstSpread, spread)
		switch {
		case spread > maxEvenSpread:
			d.evenSince = time.Time{}
		case d.evenSince.IsZero():
			d.evenSince = time.Now()
		}
		time.Sleep(callerInterval)
	}
	return sum / float64(max(1, n))
}

// runCallersUntil lets the callers send requests until done is closed.
func (d *discoveryRun) runCallersUntil(done <-chan struct{}) {
	for {
		d.runCallers(time.Second)
		select {
		case <-done:
			return
		default:
		}
	}
}

// rollingRestart drains and restarts all gateways, one after another. A draining gateway leaves discovery and still serves until
// it stops.
func (d *discoveryRun) rollingRestart() {
	for _, vm := range d.vms() {
		done := make(chan struct{})
		go func() { defer close(done); d.drain(vm.Name) }()
		d.runCallersUntil(done)
		d.runCallers(gatewayDowntime)
		d.start(vm)
		d.runCallers(10 * time.Second)
	}
}

// replaceVM kills a VM without notice and starts another one with a new name in its place. The VM list shows both changes late.
func (d *discoveryRun) replaceVM() {
	old := d.vms()[1]
	next := old
	next.Name, next.GatewayAddr, next.GatewayPeerAddr = "vm-5", "vm-5", "vm-5"
	d.kill(old.Name)
	d.changeListAfter(vmListLag, func() { d.removeFromList(old.Name) })
	d.runCallers(30 * time.Second)
	d.start(next)
	d.changeListAfter(vmListLag, func() { d.addToList(next) })
}

func runDiscovery(t *testing.T, seed uint64, listOnly bool, change func(*discoveryRun)) discoveryFigures {
	var out discoveryFigures
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		d := &discoveryRun{discoveryCluster: newDiscoveryCluster(ctx, listOnly), rng: rand.New(rand.NewPCG(seed, 9)), callersByGateway: make(map[string]int)}
		defer func() { cancel(); d.wait() }()
		time.Sleep(5 * time.Second)
		for range discoveryCallers {
			c := &caller{gateway: d.configuredAddresses()[0]}
			d.callersByGateway[c.gateway]++
			d.callers = append(d.callers, c)
		}
		// All callers fetch addresses within the first second. Random expiry times spread the next fetches over a lifetime.
		d.runCallers(time.Second)
		for _, c := range d.callers {
			c.expiresAt = time.Now().Add(rand.N(entryLifetime))
		}
		d.figures.worstSpread = 0
		steady := d.runCallers(90 * time.Second)
		if change != nil {
			d.figures.worstSpread, d.figures.sentToStopped, d.figures.refused, d.figures.requests = 0, 0, 0, 0
			change(d)
			changeEnd := time.Now()
			d.runCallers(2 * time.Minute)
			// A spread that never becomes even counts with the whole time.
			d.figures.secondsToEven = 120
			if !d.evenSince.IsZero() {
				d.figures.secondsToEven = max(0, d.evenSince.Sub(changeEnd).Seconds())
			}
		}
		d.figures.steadySpread = steady
		out = d.figures
	})
	return out
}

// discoveryCases are the changes for which the spread is measured.
var discoveryCases = []struct {
	name   string
	change func(*discoveryRun)
}{
	{"rolling restart", (*discoveryRun).rollingRestart},
	{"VM replaced", (*discoveryRun).replaceVM},
}

const (
	neighbourRule = "live neighbours (crocusglade)"
	vmListRule    = "VM list alone"
)

func measureDiscovery(t *testing.T, r *report) {
	r.printf("## Discovery (design 6.3)\n\n%d callers cache a response of `GET /v1/entry` for its lifetime of %s, use its first address that responds, and send one\n", discoveryCallers, entryLifetime)
	r.printf("request a second. Four gateways in three failure domains run the real handler, membership, exchange and drain in memory.\n")
	r.printf("In the rolling restart each gateway drains, is down for %s and comes back, one after another. In the other case a VM\n", gatewayDowntime)
	r.printf("is lost without notice and another with a new name starts 30 s later, while the VM list lags by %s. Spread is the\n", vmListLag)
	r.printf("largest share of callers on one gateway in multiples of the mean over the gateways in service; %.1f or less counts as\n", maxEvenSpread)
	r.printf("even. Random choice alone gives about 1.07 for %d callers. Requests that failed over to the next address are counted.\n\n", discoveryCallers)
	var rows [][]string
	for _, c := range discoveryCases {
		for _, rule := range []string{neighbourRule, vmListRule} {
			if short() && rule == vmListRule {
				continue
			}
			list := eachSeed(t, func(t *testing.T, seed uint64) discoveryFigures {
				return runDiscovery(t, seed, rule == vmListRule, c.change)
			})
			rows = append(rows, discoveryRow(c.name, rule, list))
			if rule == neighbourRule && c.name == "rolling restart" {
				checkRollingRestart(t, list)
			}
		}
	}
	r.table([]string{"change", "rule", "spread before", "worst spread", "seconds until even after the last change", "requests to a stopped gateway", "requests refused", "requests"}, rows)
	t.Logf("%v", rows)
}

func discoveryRow(change, rule string, list []discoveryFigures) []string {
	return []string{change, rule, collect(list, func(f discoveryFigures) float64 { return f.steadySpread }).String(),
		collect(list, func(f discoveryFigures) float64 { return f.worstSpread }).String(),
		collect(list, func(f discoveryFigures) float64 { return f.secondsToEven }).format("%.0f"),
		collect(list, func(f discoveryFigures) float64 { return f.sentToStopped }).format("%.0f"),
		collect(list, func(f discoveryFigures) float64 { return f.refused }).format("%.0f"),
		fmt.Sprintf("%.0f", collect(list, func(f discoveryFigures) float64 { return f.requests }).mean())}
}

// checkRollingRestart fails when a planned stop costs a caller a request (guarantee G11). A gateway must serve as long as callers
// hold its address.
func checkRollingRestart(t *testing.T, list []discoveryFigures) {
	for _, f := range list {
		if f.sentToStopped+f.refused > 0 {
			t.Errorf("rolling restart: %.0f requests went to a stopped gateway and %.0f were refused, want none", f.sentToStopped, f.refused)
		}
	}
}
