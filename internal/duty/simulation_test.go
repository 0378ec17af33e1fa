package duty

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/history"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
)

const (
	// viewEvery is the period with which gateways and controllers renew their view; they act on the view before.
	viewEvery = 700 * time.Millisecond
	// listEvery is the period with which the provider's list is read.
	listEvery = 2 * time.Second
	// callTimeout is that of the platform's client.
	callTimeout  = 1500 * time.Millisecond
	changeTime   = 3 * time.Second
	cleaningTime = 20 * time.Second
	startTime    = 10 * time.Second
)

// fakeEngine is one endpoint. It recognises a repetition of its last order only, so that a late copy of an older one shows.
type fakeEngine struct {
	checks   bool
	fence    uint64
	last     string
	role     string
	changing string
	draining bool
	running  int
	// epoch changes with a crash, which ends all streams and changes.
	epoch int
	down  bool
	hang  bool
	// loseAnswers makes this many orders take effect without an answer.
	loseAnswers int
}

// view is what gateways and controllers know, late.
type view struct {
	endpoints []apitypes.Endpoint
	loads     map[string]apitypes.Load
	orders    apitypes.PoolOrders
	at        time.Time
}

// bed is a pool "p" with engines, the provider, gateways that send streams and controllers that hold the lease in turn.
type bed struct {
	t       *testing.T
	mem     *memplatform.Platform
	history *history.History

	mu      sync.Mutex
	rng     *rand.Rand
	pool    apitypes.Pool
	engines map[string]*fakeEngine
	// seen holds the provider's order ids that took effect.
	seen       map[string]bool
	now, old   view
	listedAt   time.Time
	procs      []*proc
	violations []string
	streams    int
	// providerDown refuses provider calls; dropped counts provider answers to lose.
	providerDown        bool
	loseProviderAnswers int
	quiet               bool
	done                chan struct{}
	wg                  sync.WaitGroup
}

func newBed(t *testing.T, seed int64, checks ...bool) *bed {
	b := &bed{t: t, mem: memplatform.New(), history: &history.History{}, rng: rand.New(rand.NewSource(seed)),
		pool: apitypes.Pool{Name: "p", Kind: apitypes.PoolEngine}, engines: make(map[string]*fakeEngine), seen: make(map[string]bool),
		done: make(chan struct{})}
	var endpoints []apitypes.Endpoint
	for i, c := range checks {
		name := fmt.Sprintf("e%d", i+1)
		endpoints = append(endpoints, apitypes.Endpoint{Name: name, FailureDomain: "roja", Class: apitypes.OnDemand,
			State: apitypes.EndpointReady, ChecksFence: c, LastCleaned: time.Now().UnixMilli()})
		b.engines[name] = &fakeEngine{checks: c}
	}
	b.mem.SetEndpoints("p", endpoints)
	b.refresh()
	b.refresh()
	b.wg.Go(b.keepViews)
	return b
}

// stop ends the background work of the bed and its processes.
func (b *bed) stop() {
	for _, p := range b.procs {
		p.stop()
	}
	close(b.done)
	b.wg.Wait()
}

func (b *bed) keepViews() {
	for b.sleep(viewEvery) {
		b.refresh()
	}
}

func (b *bed) sleep(d time.Duration) bool {
	select {
	case <-b.done:
		return false
	case <-time.After(d):
		return true
	}
}

// refresh takes a new view. During an outage of the platform the lists stay as they are.
func (b *bed) refresh() {
	providerView, err := b.mem.Endpoints(context.Background(), "p")
	object, getErr := b.mem.Get(context.Background(), apitypes.KindOrders, "p")
	b.mu.Lock()
	defer b.mu.Unlock()
	b.old = b.now
	next := view{endpoints: b.now.endpoints, orders: b.now.orders, loads: make(map[string]apitypes.Load), at: time.Now()}
	if err == nil && !b.providerDown && time.Since(b.listedAt) >= listEvery {
		b.listedAt = time.Now()
		next.endpoints = providerView.Endpoints
	}
	if getErr == nil {
		var s apitypes.PoolOrders
		if json.Unmarshal(object.Data, &s) == nil {
			next.orders = s
		}
	}
	for name, e := range b.engines {
		if !e.down {
			next.loads[name] = apitypes.Load{Running: e.running, Changing: e.changing != "", Draining: e.draining, Role: apitypes.Role(e.role)}
		}
	}
	b.now = next
}

// Pool implements Fleet.
func (b *bed) Pool(string) (apitypes.Pool, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool, true
}

// Endpoints implements Fleet.
func (b *bed) Endpoints(string) []EndpointView {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []EndpointView
	for _, e := range b.old.endpoints {
		v := EndpointView{Endpoint: e}
		if l, ok := b.old.loads[e.Name]; ok {
			v.Load, v.ReportedAt = l, b.old.at
		}
		out = append(out, v)
	}
	return out
}

// violate records a breach.
func (b *bed) violate(format string, args ...any) {
	b.violations = append(b.violations, fmt.Sprintf(format, args...))
}

// load runs gateways that send streams to what their old view allows.
func (b *bed) load(gateways int) { b.loadEvery(gateways, 300*time.Millisecond) }

func (b *bed) loadEvery(gateways int, period time.Duration) {
	for range gateways {
		b.wg.Go(func() {
			for b.sleep(period) {
				b.sendStream()
			}
		})
	}
}

func (b *bed) sendStream() {
	b.mu.Lock()
	defer b.mu.Unlock()
	var open []string
	for _, e := range b.old.endpoints {
		l, reported := b.old.loads[e.Name]
		_, drained := b.old.orders.Drained[e.Name]
		if e.State == apitypes.EndpointReady && e.ReclaimAt == 0 && reported && !l.Changing && !l.Draining && !drained &&
			!slices.Contains(b.old.orders.Abandoned, e.Name) && !slices.Contains(b.pool.Drained, e.Name) {
			open = append(open, e.Name)
		}
	}
	if len(open) == 0 || b.quiet {
		return
	}
	name := open[b.rng.Intn(len(open))]
	e, ok := b.engines[name]
	if !ok {
		b.violate("G10: new stream at %s, which is removed", name)
		return
	}
	if e.down {
		return
	}
	if e.changing != "" || e.draining || b.cleaning(name) {
		b.violate("G2: new stream at %s while changing %q, draining %v", name, e.changing, e.draining)
		return
	}
	e.running++
	b.streams++
	epoch := e.epoch
	time.AfterFunc(time.Duration(200+b.rng.Intn(6000))*time.Millisecond, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if e.epoch == epoch {
			e.running--
		}
	})
}

func (b *bed) cleaning(name string) bool {
	v, err := b.mem.Endpoints(context.Background(), "p")
	return err == nil && slices.ContainsFunc(v.Endpoints, func(e apitypes.Endpoint) bool {
		return e.Name == name && e.State == apitypes.EndpointCleaning
	})
}

func (b *bed) check() {
	b.t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, v := range b.history.CheckGuarantees(history.DefaultBounds) {
		b.t.Error(v)
	}
	for _, v := range b.violations {
		b.t.Error(v)
	}
}

// state returns orders/p.
func (b *bed) state() apitypes.PoolOrders {
	b.t.Helper()
	o, err := b.mem.Get(context.Background(), apitypes.KindOrders, "p")
	var s apitypes.PoolOrders
	if err == nil {
		err = json.Unmarshal(o.Data, &s)
	}
	if err != nil {
		b.t.Fatal(err)
	}
	return s
}

// await lets virtual time pass until ready; a state that is never reached fails the test.
func (b *bed) await(what string, ready func() bool) {
	b.t.Helper()
	for end := time.Now().Add(3 * time.Hour); !ready(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("waited in vain for %s; state %+v", what, b.state())
		}
	}
}

// orderKinds returns the kinds of the orders that a target applied.
func (b *bed) orderKinds(target string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, o := range b.history.Orders {
		if o.Target == target && o.Applied {
			out = append(out, o.Kind)
		}
	}
	return out
}
