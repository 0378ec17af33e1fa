package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/fault"
	"crocusglade.example/crocusglade/internal/history"
	"crocusglade.example/crocusglade/internal/standin"
)

const (
	readProvider = "GET /provider/endpoints"
	postOrder    = "POST /provider/orders"
)

// providerGate stands between the VMs and the provider of pool "logreader". It holds back what the first holder of the orders sends
// once its intent is written, loses answers, and records which orders take effect.
type providerGate struct {
	c *cluster
	// held is the call that is held back.
	held string
	open chan struct{}
	once sync.Once

	mu      sync.Mutex
	holding bool
	// heldAt is when a call was held back last.
	heldAt time.Time
	// lose makes this many orders take effect without an answer.
	lose     int
	arrivals []arrival
	// calls counts the requests of each VM.
	calls map[string]int
}

// arrival is an order that reached the provider.
type arrival struct {
	order   apitypes.Order
	status  int
	applied bool
}

// release lets the held calls go on, also when their senders have gone, as bytes on their way do.
func (g *providerGate) release() { g.once.Do(func() { close(g.open) }) }

func (g *providerGate) wrap(v *vm, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.mu.Lock()
		g.calls[v.Name]++
		g.mu.Unlock()
		call := r.Method + " " + r.URL.Path
		if call != readProvider && call != postOrder {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r = r.WithContext(context.WithoutCancel(r.Context()))
		r.Body = io.NopCloser(bytes.NewReader(body))
		answer := httptest.NewRecorder()
		if call == readProvider {
			next.ServeHTTP(answer, r)
			g.hold(v, call)
		} else {
			g.hold(v, call)
			g.order(answer, r, body, next)
		}
		for k, values := range answer.Header() {
			w.Header()[k] = values
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes()) // The sender may have gone.
	})
}

// hold waits for the release when a VM that holds the lease and has written its intent makes the held call.
func (g *providerGate) hold(v *vm, call string) {
	g.mu.Lock()
	holding := g.holding && call == g.held
	g.mu.Unlock()
	if !holding {
		return
	}
	holder, fence := g.c.ordersHolder()
	if holder != v || !slices.ContainsFunc(g.c.poolOrders().Intents, func(i apitypes.Intent) bool {
		return i.State == apitypes.IntentPending && i.Order.Fence == fence
	}) {
		return
	}
	g.mu.Lock()
	g.heldAt = time.Now()
	g.mu.Unlock()
	<-g.open
}

// order passes one order on and records whether it took effect.
func (g *providerGate) order(w http.ResponseWriter, r *http.Request, body []byte, next http.Handler) {
	var o apitypes.Order
	if err := json.Unmarshal(body, &o); err != nil {
		g.c.t.Error(err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.version()
	answer := httptest.NewRecorder()
	next.ServeHTTP(answer, r)
	a := arrival{order: o, status: answer.Code, applied: g.version() != before}
	g.arrivals = append(g.arrivals, a)
	g.c.history.AddOrder(history.Order{Target: "provider/logreader", ID: o.ID, Fence: o.Fence, Kind: string(o.Kind), Value: o.Endpoint,
		At: time.Now(), Applied: a.applied})
	if g.lose > 0 {
		g.lose--
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // A recorder takes all bytes.
}

func (g *providerGate) version() uint64 {
	v, err := g.c.mem.Endpoints(context.Background(), "logreader")
	if err != nil {
		g.c.t.Error(err)
	}
	return v.Version
}

// arrived returns the orders that accept chooses.
func (g *providerGate) arrived(accept func(arrival) bool) []arrival {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(g.arrivals), func(a arrival) bool { return !accept(a) })
}

// effects returns the kinds of the orders that took effect.
func (g *providerGate) effects() []string {
	var kinds []string
	for _, a := range g.arrived(func(a arrival) bool { return a.applied }) {
		kinds = append(kinds, string(a.order.Kind))
	}
	return kinds
}

// setState moves an endpoint on without being taken for an order's effect.
func (g *providerGate) setState(endpoint string, state apitypes.EndpointState, addr string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.c.mem.SetEndpointState("logreader", endpoint, state, addr)
}

// providerCluster starts a cluster in which a former holder has left an order of an endpoint without answer, so that the first holder
// sends it, and in which the cleaning of logreader-1 is due. The given call of the first holder is held back.
func providerCluster(t *testing.T, held string, class apitypes.EndpointClass) (*cluster, *providerGate) {
	g := &providerGate{held: held, holding: true, open: make(chan struct{}), calls: make(map[string]int)}
	c := newCluster(t, options{engines: 3, checksFence: true, engine: standin.EngineConfig{DecodeRate: 40},
		platform: func(c *cluster, v *vm, next http.Handler) http.Handler {
			g.c = c
			return g.wrap(v, next)
		},
		beforeStart: func(c *cluster) {
			now, due := time.Now().UnixMilli(), time.Now().Add(-apitypes.DefaultCleanEvery).UnixMilli()
			left, _ := json.Marshal(apitypes.PoolOrders{Cleaned: map[string]int64{"logreader-1": due, "logreader-2": now, "logreader-3": now},
				Intents: []apitypes.Intent{{State: apitypes.IntentPending, Order: apitypes.Order{ID: "left-over", Kind: apitypes.OrderAdd,
					FailureDomain: failureDomains[0], Class: class}}}})
			if _, err := c.mem.Put(context.Background(), apitypes.KindOrders, "logreader", left, 0); err != nil {
				t.Fatal(err)
			}
		}})
	// A test that fails early leaves no handler behind that the platform's server would wait for.
	t.Cleanup(g.release)
	return c, g
}

// takeOver makes the holder fail while its call is held back, and waits for the next holder.
func (g *providerGate) takeOver(fail func(*vm)) (former *vm, fence uint64) {
	// A call that was held for long may have been given up by its sender.
	g.c.await("a call under way", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return time.Since(g.heldAt) < 300*time.Millisecond
	})
	former, fence = g.c.ordersHolder()
	fail(former)
	g.mu.Lock()
	g.holding = false
	g.mu.Unlock()
	g.c.await("the next holder", func() bool {
		v, next := g.c.ordersHolder()
		return v != nil && v != former && next > fence
	})
	return former, fence
}

// awaitCalls waits until a VM has made some more calls of the platform.
func (g *providerGate) awaitCalls(v *vm, more int) {
	count := func() int {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.calls[v.Name]
	}
	before := count()
	g.c.await("calls of "+v.Name, func() bool { return count() >= before+more })
}

// Guards against an order of a controller that was frozen for longer than its lease, between its decision and the send or with the
// order's bytes under way, that takes effect after its successor's orders. The successor's repeat of it was refused, so that neither
// its id nor its intent stops the late one (G3, G5).
func TestFrozenHolderOfProviderOrders(t *testing.T) {
	t.Parallel()
	for _, held := range []string{readProvider, postOrder} {
		t.Run(held, func(t *testing.T) {
			t.Parallel()
			c, g := providerCluster(t, held, apitypes.Reclaimable)
			c.mem.SetReclaimableAvailable("logreader", false)
			former, fence := g.takeOver(func(v *vm) {
				if err := v.controller.Suspend(); err != nil {
					t.Fatal(err)
				}
				if held == readProvider {
					g.release()
				}
			})
			c.await("the refusal of the repeat", func() bool {
				return len(g.arrived(func(a arrival) bool { return a.order.Fence > fence && a.status == http.StatusTooManyRequests })) > 0
			})
			c.mem.SetReclaimableAvailable("logreader", true)
			c.await("the successor's cleaning", func() bool { return slices.Contains(g.effects(), "clean") })
			if err := former.controller.Resume(); err != nil {
				t.Fatal(err)
			}
			g.release()
			if held == postOrder {
				c.await("the late order", func() bool { return len(g.arrived(func(a arrival) bool { return a.order.Fence <= fence })) > 0 })
			}
			g.awaitCalls(former, 30)
			g.setState("logreader-1", apitypes.EndpointReady, "")
			c.await("the end of the cleaning", func() bool { return len(c.poolOrders().Drained) == 0 })
			if got := g.effects(); !slices.Equal(got, []string{"clean"}) {
				t.Errorf("orders %v took effect, want the successor's cleaning", got)
			}
			c.check()
		})
	}
}

// Guards against an endpoint that is ordered twice, or ordered and then forgotten, when the holder is cut off from the platform's
// answers with its order under way, the provider's answers to its successor are lost after they took effect, and the late order
// arrives after the cut is healed (G5).
func TestCutOffHolderOfProviderOrders(t *testing.T) {
	t.Parallel()
	c, g := providerCluster(t, postOrder, apitypes.OnDemand)
	g.mu.Lock()
	g.lose = 2
	g.mu.Unlock()
	former, fence := g.takeOver(func(v *vm) { v.platform.SetMode(fault.BlockResponses) })
	c.await("the order's end", func() bool {
		return slices.ContainsFunc(c.poolOrders().Intents, func(i apitypes.Intent) bool {
			return i.Order.Fence > fence && (i.State == apitypes.IntentDone || i.Order.Kind != apitypes.OrderAdd)
		})
	})
	former.platform.SetMode(fault.ForwardAll)
	g.release()
	c.await("the late order", func() bool { return len(g.arrived(func(a arrival) bool { return a.order.Fence <= fence })) > 0 })
	g.awaitCalls(former, 30)
	if got := g.effects(); len(got) == 0 || got[0] != "add" || slices.Contains(got[1:], "add") {
		t.Errorf("orders %v took effect, want one that adds an endpoint", got)
	}
	g.serveOrdered()
	c.check()
}

// serveOrdered starts the ordered endpoint and waits until it gets work.
func (g *providerGate) serveOrdered() {
	c, name := g.c, "logreader-ordered-1"
	engine := standin.NewEngine(standin.EngineConfig{Name: name, Model: "logreader", Version: "1", DecodeRate: 40})
	g.setState(name, apitypes.EndpointReady, c.endpoint(name, 0, engine, false).Addr)
	n := 0
	c.await("work at the ordered endpoint", func() bool {
		n++
		c.chat(n%vmCount, "skippers", fmt.Sprint("call ", n), 4, true)
		return len(engine.Requests()) > 0
	})
	c.engines[name] = engine
}
