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
	// callerStep is the resolution of callers; each sends a request a second.
	callerStep = 100 * time.Millisecond
	// goneFor is the time between the end of a gateway and the start of the next on its VM.
	goneFor = 10 * time.Second
	// listLag is the lag of the VM list when a VM is replaced.
	listLag = 10 * time.Second
	// evenShare is the largest share, in multiples of the mean, that counts as an even spread. 1,000 callers that choose among
	// four at random give about 1.07.
	evenShare = 1.2
)

// caller keeps the addresses of GET /v1/entry for their lifetime and uses the first one that answers.
type caller struct {
	addresses []string
	until     time.Time
	gateway   string // that took the last request
}

// discovery is a run of callers against four gateways.
type discovery struct {
	*entryBed
	rng     *rand.Rand
	callers []*caller
	counts  map[string]int // callers by gateway
	figures discoveryFigures
	// evenSince is since when the spread is even; zero while it is not.
	evenSince time.Time
}

// discoveryFigures are the figures of one run.
type discoveryFigures struct {
	worst    float64 // largest share of callers in multiples of the mean
	steady   float64 // the same on average over the first part of the run, in which nothing changes
	toGone   float64 // requests sent to a gateway that is gone
	refused  float64 // requests sent to a gateway that refuses new work
	toEven   float64 // seconds from the last change to an even spread that stays
	requests float64
}

// answer asks a gateway for addresses over its real handler.
func (d *discovery) answer(addr string) ([]string, time.Time, bool) {
	g := d.at(addr)
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

// renew asks the gateway in use first, then the other known ones, then those of the caller's settings.
func (d *discovery) renew(c *caller) {
	known := append([]string{c.gateway}, c.addresses...)
	for _, addr := range append(known, d.shuffled()...) {
		if addresses, until, ok := d.answer(addr); ok {
			c.addresses, c.until = addresses, until
			return
		}
	}
}

// shuffled returns the addresses of the first four VMs in random order, as callers have them in their settings.
func (d *discovery) shuffled() []string {
	out := slices.Clone(d.initial)
	d.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// send sends one request: to the first address that takes it. Addresses that failed are dropped until the next answer.
func (d *discovery) send(c *caller) {
	if !time.Now().Before(c.until) {
		d.renew(c)
	}
	d.figures.requests++
	for len(c.addresses) > 0 {
		g := d.at(c.addresses[0])
		if g != nil && !g.refuses() {
			d.move(c, c.addresses[0])
			return
		}
		if g == nil {
			d.figures.toGone++
		} else {
			d.figures.refused++
		}
		c.addresses = c.addresses[1:]
	}
	c.until = time.Time{}
}

// move counts a caller at the gateway that took its request.
func (d *discovery) move(c *caller, to string) {
	d.counts[c.gateway]--
	d.counts[to]++
	c.gateway = to
}

// spread returns the largest share of callers in multiples of the mean over the gateways that are in service.
func (d *discovery) spread() float64 {
	most := 0
	for _, n := range d.counts {
		most = max(most, n)
	}
	return float64(most) * float64(max(1, d.inService())) / float64(len(d.callers))
}

// play lets callers send for a time and returns the mean spread.
func (d *discovery) play(length time.Duration) float64 {
	sum, n := 0.0, 0
	slots := int(time.Second / callerStep)
	for end := time.Now().Add(length); time.Now().Before(end); n++ {
		for i := n % slots; i < len(d.callers); i += slots {
			d.send(d.callers[i])
		}
		spread := d.spread()
		sum += spread
		d.figures.worst = max(d.figures.worst, spread)
		switch {
		case spread > evenShare:
			d.evenSince = time.Time{}
		case d.evenSince.IsZero():
			d.evenSince = time.Now()
		}
		time.Sleep(callerStep)
	}
	return sum / float64(max(1, n))
}

// playUntil lets callers send until done is closed.
func (d *discovery) playUntil(done <-chan struct{}) {
	for {
		d.play(time.Second)
		select {
		case <-done:
			return
		default:
		}
	}
}

// rolling restarts all gateways one after another: each leaves discovery, serves on, is gone, and comes back.
func (d *discovery) rolling() {
	for _, vm := range d.vms() {
		done := make(chan struct{})
		go func() { defer close(done); d.drain(vm.Name) }()
		d.playUntil(done)
		d.play(goneFor)
		d.start(vm)
		d.play(10 * time.Second)
	}
}

// replace kills a VM without notice and starts another with a new name in its place; the list lags behind both.
func (d *discovery) replace() {
	old := d.vms()[1]
	next := old
	next.Name, next.GatewayAddr, next.GatewayPeerAddr = "vm-5", "vm-5", "vm-5"
	d.kill(old.Name)
	d.listAfter(listLag, func() { d.unlist(old.Name) })
	d.play(30 * time.Second)
	d.start(next)
	d.listAfter(listLag, func() { d.list(next) })
}

func runDiscovery(t *testing.T, seed uint64, listOnly bool, change func(*discovery)) discoveryFigures {
	var out discoveryFigures
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		d := &discovery{entryBed: newEntryBed(ctx, listOnly), rng: rand.New(rand.NewPCG(seed, 9)), counts: make(map[string]int)}
		defer func() { cancel(); d.wait() }()
		time.Sleep(5 * time.Second)
		for range discoveryCallers {
			c := &caller{gateway: d.shuffled()[0]}
			d.counts[c.gateway]++
			d.callers = append(d.callers, c)
		}
		// Callers of the first step all get their answers at once; a lifetime later they are spread over time.
		d.play(time.Second)
		for _, c := range d.callers {
			c.until = time.Now().Add(rand.N(discoveryLifetime))
		}
		d.figures.worst = 0
		steady := d.play(90 * time.Second)
		if change != nil {
			d.figures.worst, d.figures.toGone, d.figures.refused, d.figures.requests = 0, 0, 0, 0
			change(d)
			changed := time.Now()
			d.play(2 * time.Minute)
			// A spread that never becomes even counts as the whole time.
			d.figures.toEven = 120
			if !d.evenSince.IsZero() {
				d.figures.toEven = max(0, d.evenSince.Sub(changed).Seconds())
			}
		}
		d.figures.steady = steady
		out = d.figures
	})
	return out
}

// discoveryCases are the changes under which the spread is measured.
var discoveryCases = []struct {
	name   string
	change func(*discovery)
}{
	{"rolling restart", (*discovery).rolling},
	{"VM replaced", (*discovery).replace},
}

const (
	entryRule = "heard neighbours (ours)"
	listRule  = "VM list alone"
)

func measureDiscovery(t *testing.T, r *report) {
	r.printf("## Discovery (design 6.3)\n\n%d callers keep an answer of `GET /v1/entry` for its lifetime of %s, use its first address that answers, and send one\n", discoveryCallers, discoveryLifetime)
	r.printf("request a second. Four gateways in three failure domains run the real handler, membership, exchange and drain in memory.\n")
	r.printf("In the rolling restart each gateway drains, is gone for %s and comes back, one after another. In the other case a VM\n", goneFor)
	r.printf("is lost without notice and another with a new name starts 30 s later, while the VM list lags by %s. Spread is the\n", listLag)
	r.printf("largest share of callers on one gateway in multiples of the mean over the gateways in service; %.1f or less counts as\n", evenShare)
	r.printf("even. Random choice alone gives about 1.07 for %d callers. Requests that failed over to the next address are counted.\n\n", discoveryCallers)
	var rows [][]string
	for _, c := range discoveryCases {
		for _, rule := range []string{entryRule, listRule} {
			if short() && rule == listRule {
				continue
			}
			list := eachSeed(t, func(t *testing.T, seed uint64) discoveryFigures {
				return runDiscovery(t, seed, rule == listRule, c.change)
			})
			rows = append(rows, discoveryRow(c.name, rule, list))
			if rule == entryRule && c.name == "rolling restart" {
				checkRolling(t, list)
			}
		}
	}
	r.table([]string{"change", "rule", "spread before", "worst spread", "seconds to even after the last change", "requests to a gateway that is gone", "requests refused", "requests"}, rows)
	t.Logf("%v", rows)
}

func discoveryRow(change, rule string, list []discoveryFigures) []string {
	return []string{change, rule, column(list, func(f discoveryFigures) float64 { return f.steady }).String(),
		column(list, func(f discoveryFigures) float64 { return f.worst }).String(),
		column(list, func(f discoveryFigures) float64 { return f.toEven }).format("%.0f"),
		column(list, func(f discoveryFigures) float64 { return f.toGone }).format("%.0f"),
		column(list, func(f discoveryFigures) float64 { return f.refused }).format("%.0f"),
		fmt.Sprintf("%.0f", column(list, func(f discoveryFigures) float64 { return f.requests }).mean())}
}

// checkRolling fails when a planned stop costs a caller a request (G11): no gateway may end while callers hold its address.
func checkRolling(t *testing.T, list []discoveryFigures) {
	for _, f := range list {
		if f.toGone+f.refused > 0 {
			t.Errorf("%.0f requests reached a gateway that was gone and %.0f one that refused them, in a rolling restart", f.toGone, f.refused)
		}
	}
}
