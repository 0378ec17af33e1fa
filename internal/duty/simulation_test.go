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
	// snapshotEvery is the interval at which gateways and controllers refresh their snapshot; they act on the previous one.
	snapshotEvery = 700 * time.Millisecond
	// providerListEvery is the interval at which the provider's list is read.
	providerListEvery = 2 * time.Second
	// callTimeout is the timeout of the platform's client.
	callTimeout      = 1500 * time.Millisecond
	changeDuration   = 3 * time.Second
	cleaningDuration = 20 * time.Second
	startDuration    = 10 * time.Second
)

// fakeEngine is one endpoint. It ignores only repetitions of its last order, so that a late copy of an older order has an effect that
// the test sees.
type fakeEngine struct {
	checksFence bool
	fence       uint64
	lastOrderID string
	role        string
	changing    string
	draining    bool
	running     int
	// epoch grows with each crash, which ends all streams and changes.
	epoch int
	down  bool
	hang  bool
	// loseResponses is the number of next orders that take effect without a response.
	loseResponses int
}

// snapshot is the state that gateways and controllers act on, with a delay.
type snapshot struct {
	endpoints []apitypes.Endpoint
	loads     map[string]apitypes.Load
	orders    apitypes.PoolOrders
	takenAt   time.Time
}

// simulation runs a pool "p" with engines, the provider, gateways that start streams and controllers that compete for the lease.
type simulation struct {
	t       *testing.T
	mem     *memplatform.Platform
	history *history.History

	mu      sync.Mutex
	rng     *rand.Rand
	pool    apitypes.Pool
	engines map[string]*fakeEngine
	// appliedProviderOrders holds the ids of the provider orders that have taken effect.
	appliedProviderOrders map[string]bool
	latest, previous      snapshot
	listedAt              time.Time
	processes             []*process
	violations            []string
	startedStreams        int
	// providerDown makes provider calls fail; loseProviderResponses is the number of next provider responses that are lost.
	providerDown          bool
	loseProviderResponses int
	noNewStreams          bool
	done                  chan struct{}
	wg                    sync.WaitGroup
}

func newSimulation(t *testing.T, seed int64, checks ...bool) *simulation {
	sim := &simulation{t: t, mem: memplatform.New(), history: &history.History{}, rng: rand.New(rand.NewSource(seed)),
		pool: apitypes.Pool{Name: "p", Kind: apitypes.PoolEngine}, engines: make(map[string]*fakeEngine), appliedProviderOrders: make(map[string]bool),
		done: make(chan struct{})}
	var endpoints []apitypes.Endpoint
	for i, c := range checks {
		name := fmt.Sprintf("e%d", i+1)
		endpoints = append(endpoints, apitypes.Endpoint{Name: name, FailureDomain: "roja", Class: apitypes.OnDemand,
			State: apitypes.EndpointReady, ChecksFence: c, LastCleaned: time.Now().UnixMilli()})
		sim.engines[name] = &fakeEngine{checksFence: c}
	}
	sim.mem.SetEndpoints("p", endpoints)
	sim.refreshSnapshot()
	sim.refreshSnapshot()
	sim.wg.Go(sim.refreshPeriodically)
	return sim
}

// stop ends the processes and the background work of the simulation.
func (sim *simulation) stop() {
	for _, p := range sim.processes {
		p.stop()
	}
	close(sim.done)
	sim.wg.Wait()
}

func (sim *simulation) refreshPeriodically() {
	for sim.sleep(snapshotEvery) {
		sim.refreshSnapshot()
	}
}

func (sim *simulation) sleep(d time.Duration) bool {
	select {
	case <-sim.done:
		return false
	case <-time.After(d):
		return true
	}
}

// refreshSnapshot takes a new snapshot. During an outage of the platform the new snapshot repeats the old lists.
func (sim *simulation) refreshSnapshot() {
	providerView, err := sim.mem.Endpoints(context.Background(), "p")
	object, getErr := sim.mem.Get(context.Background(), apitypes.KindOrders, "p")
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.previous = sim.latest
	next := snapshot{endpoints: sim.latest.endpoints, orders: sim.latest.orders, loads: make(map[string]apitypes.Load), takenAt: time.Now()}
	if err == nil && !sim.providerDown && time.Since(sim.listedAt) >= providerListEvery {
		sim.listedAt = time.Now()
		next.endpoints = providerView.Endpoints
	}
	if getErr == nil {
		var s apitypes.PoolOrders
		if json.Unmarshal(object.Data, &s) == nil {
			next.orders = s
		}
	}
	for name, e := range sim.engines {
		if !e.down {
			next.loads[name] = apitypes.Load{Running: e.running, Changing: e.changing != "", Draining: e.draining, Role: apitypes.Role(e.role)}
		}
	}
	sim.latest = next
}

// Pool implements Fleet.
func (sim *simulation) Pool(string) (apitypes.Pool, bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.pool, true
}

// Endpoints implements Fleet.
func (sim *simulation) Endpoints(string) []EndpointView {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var out []EndpointView
	for _, e := range sim.previous.endpoints {
		v := EndpointView{Endpoint: e}
		if l, ok := sim.previous.loads[e.Name]; ok {
			v.Load, v.ReportedAt = l, sim.previous.takenAt
		}
		out = append(out, v)
	}
	return out
}

// addViolation records a violation. The message starts with the id of the violated guarantee, like that of a history.Violation. The
// caller holds mu.
func (sim *simulation) addViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// startLoad runs gateways that start streams at endpoints that are in service by their previous snapshot.
func (sim *simulation) startLoad(gateways int) { sim.startLoadEvery(gateways, 300*time.Millisecond) }

func (sim *simulation) startLoadEvery(gateways int, period time.Duration) {
	for range gateways {
		sim.wg.Go(func() {
			for sim.sleep(period) {
				sim.startStream()
			}
		})
	}
}

func (sim *simulation) startStream() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var candidates []string
	for _, e := range sim.previous.endpoints {
		l, reported := sim.previous.loads[e.Name]
		_, drained := sim.previous.orders.Drained[e.Name]
		if e.State == apitypes.EndpointReady && e.ReclaimAt == 0 && reported && !l.Changing && !l.Draining && !drained &&
			!slices.Contains(sim.previous.orders.Abandoned, e.Name) && !slices.Contains(sim.pool.Drained, e.Name) {
			candidates = append(candidates, e.Name)
		}
	}
	if len(candidates) == 0 || sim.noNewStreams {
		return
	}
	name := candidates[sim.rng.Intn(len(candidates))]
	e, ok := sim.engines[name]
	if !ok {
		sim.addViolation("G10: new stream at %s, which has been removed", name)
		return
	}
	if e.down {
		return
	}
	if e.changing != "" || e.draining || sim.isCleaning(name) {
		sim.addViolation("G2: new stream at %s while changing %q, draining %v", name, e.changing, e.draining)
		return
	}
	e.running++
	sim.startedStreams++
	epoch := e.epoch
	time.AfterFunc(time.Duration(200+sim.rng.Intn(6000))*time.Millisecond, func() {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if e.epoch == epoch {
			e.running--
		}
	})
}

func (sim *simulation) isCleaning(name string) bool {
	v, err := sim.mem.Endpoints(context.Background(), "p")
	return err == nil && slices.ContainsFunc(v.Endpoints, func(e apitypes.Endpoint) bool {
		return e.Name == name && e.State == apitypes.EndpointCleaning
	})
}

// checkViolations fails the test for each violation.
func (sim *simulation) checkViolations() {
	sim.t.Helper()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, v := range sim.history.CheckGuarantees(history.DefaultBounds) {
		sim.t.Error(v)
	}
	for _, v := range sim.violations {
		sim.t.Error(v)
	}
}

// poolOrders returns the object orders/p.
func (sim *simulation) poolOrders() apitypes.PoolOrders {
	sim.t.Helper()
	o, err := sim.mem.Get(context.Background(), apitypes.KindOrders, "p")
	var s apitypes.PoolOrders
	if err == nil {
		err = json.Unmarshal(o.Data, &s)
	}
	if err != nil {
		sim.t.Fatal(err)
	}
	return s
}

// await lets virtual time pass until ready returns true; the test fails after three hours.
func (sim *simulation) await(what string, ready func() bool) {
	sim.t.Helper()
	for end := time.Now().Add(3 * time.Hour); !ready(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			sim.t.Fatalf("timed out waiting for %s; state %+v", what, sim.poolOrders())
		}
	}
}

// appliedKinds returns the kinds of the orders that a target applied.
func (sim *simulation) appliedKinds(target string) []string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var out []string
	for _, o := range sim.history.Orders {
		if o.Target == target && o.Applied {
			out = append(out, o.Kind)
		}
	}
	return out
}
