package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/fault"
	"crocusglade.example/crocusglade/internal/history"
	"crocusglade.example/crocusglade/internal/standin"
)

// heldOrders stands in front of an engine and holds orders back until release, also when their senders have gone, as bytes on
// their way are.
type heldOrders struct {
	mu      sync.Mutex
	holding bool
	held    int
	open    chan struct{}
	once    sync.Once
}

// release lets the held orders arrive.
func (h *heldOrders) release() { h.once.Do(func() { close(h.open) }) }

func (h *heldOrders) wrap(engine http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/control/orders" {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			r = r.WithContext(context.WithoutCancel(r.Context()))
			r.Body = io.NopCloser(bytes.NewReader(body))
			if open := h.hold(); open != nil {
				<-open
			}
		}
		engine.ServeHTTP(w, r)
	})
}

// hold returns what an order has to wait for, or nil.
func (h *heldOrders) hold() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.holding {
		return nil
	}
	h.held++
	return h.open
}

func (h *heldOrders) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held
}

// pass lets later orders through; the held ones stay.
func (h *heldOrders) pass() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holding = false
}

// orderCluster starts a cluster in which a former holder has left the order of a role change of logreader-1 half done, so that the
// first holder sends it. The order is held back before the engine.
func orderCluster(t *testing.T, checksFence bool) (*cluster, *heldOrders) {
	held := &heldOrders{holding: true, open: make(chan struct{})}
	c := newCluster(t, options{engines: 3, checksFence: checksFence,
		engine: standin.EngineConfig{DecodeRate: 40, ChangeTime: 2 * time.Second},
		wrapEngine: func(name string, engine http.Handler) http.Handler {
			if name == "logreader-1" {
				return held.wrap(engine)
			}
			return engine
		},
		beforeStart: func(c *cluster) {
			left, _ := json.Marshal(apitypes.PoolOrders{Drained: map[string]string{"logreader-1": "set_role: test"}, Intents: []apitypes.Intent{
				{Order: apitypes.Order{ID: "left-over", Kind: apitypes.OrderSetRole, Value: "decode", Endpoint: "logreader-1"}, State: apitypes.IntentPending}}})
			if _, err := c.mem.Put(context.Background(), apitypes.KindOrders, "logreader", left, 0); err != nil {
				t.Fatal(err)
			}
		}})
	// A test that fails early leaves no handler behind that the engine's server would wait for.
	t.Cleanup(held.release)
	return c, held
}

// ordersHolder returns the VM whose controller holds the orders of pool "logreader", or nil.
func (c *cluster) ordersHolder() (*vm, uint64) {
	o, err := c.mem.Get(context.Background(), apitypes.KindLease, "logreader.orders")
	if err != nil {
		return nil, 0
	}
	var l apitypes.Lease
	if err := json.Unmarshal(o.Data, &l); err != nil {
		c.t.Fatal(err)
	}
	for _, v := range c.vms {
		if len(l.Holder) > len(v.Name) && l.Holder[:len(v.Name)+1] == v.Name+"." {
			return v, l.Fence
		}
	}
	return nil, l.Fence
}

func (c *cluster) poolOrders() apitypes.PoolOrders {
	var s apitypes.PoolOrders
	o, err := c.mem.Get(context.Background(), apitypes.KindOrders, "logreader")
	if err == nil {
		err = json.Unmarshal(o.Data, &s)
	}
	if err != nil {
		c.t.Fatal(err)
	}
	return s
}

// gatherProvider adds the provider orders that arrived to the history and returns the kinds of those that were accepted.
func (c *cluster) gatherProvider() []string {
	resp, err := c.client.Get(c.url(c.vms[0].platform.Addr()) + "/fault")
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	var status standin.FaultResponse
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		c.t.Fatal(err)
	}
	var kinds []string
	for _, a := range status.Arrivals {
		if a.Kind != standin.ArrivalOrder {
			continue
		}
		accepted := a.Status == http.StatusOK
		c.history.AddOrder(history.Order{Target: "provider/" + a.Pool, ID: a.Order.ID, Fence: a.Order.Fence, Kind: string(a.Order.Kind),
			Value: a.Order.Endpoint, At: time.Unix(0, a.At), Applied: accepted})
		if accepted {
			kinds = append(kinds, string(a.Order.Kind))
		}
	}
	return kinds
}

// applied returns the orders that an engine applied.
func (c *cluster) applied(engine string) []standin.EngineOrder {
	return slices.DeleteFunc(c.engines[engine].Orders(), func(o standin.EngineOrder) bool { return !o.Applied })
}

// takeOver makes the holder fail while its order is under way, and waits for the next holder and the orders of its term.
func (c *cluster) takeOver(held *heldOrders, fail func(*vm)) (former *vm, fence uint64) {
	c.await("an order under way", func() bool { return held.count() > 0 })
	former, fence = c.ordersHolder()
	fail(former)
	c.await("the next holder", func() bool {
		v, next := c.ordersHolder()
		return v != nil && v != former && next > fence
	})
	// Until here the former holder may have had authority; what it sends from now on must have no effect.
	held.pass()
	return former, fence
}

// checkRoleChanged waits for the end of the role change, lets the former holder's late order arrive, and checks that only the
// successor's order had an effect.
func (c *cluster) checkRoleChanged(held *heldOrders, recover func(), former uint64) {
	c.await("the role change", func() bool { return len(c.applied("logreader-1")) == 1 && len(c.poolOrders().Drained) == 0 })
	held.release()
	recover()
	c.await("the late order", func() bool {
		return slices.ContainsFunc(c.engines["logreader-1"].Orders(), func(o standin.EngineOrder) bool { return o.Fence <= former })
	})
	for _, o := range c.engines["logreader-1"].Orders() {
		if o.Refused != (o.Fence <= former) {
			c.t.Errorf("order %s with fencing number %d: applied %v, refused %v", o.ID, o.Fence, o.Applied, o.Refused)
		}
	}
	if n := len(c.applied("logreader-1")); n != 1 {
		c.t.Errorf("%d orders had an effect, want 1", n)
	}
	if kinds := c.gatherProvider(); len(kinds) != 0 {
		c.t.Errorf("provider got %v", kinds)
	}
}

// Guards against a controller that is frozen for longer than its lease while its order is under way, whose order then still
// has an effect beside its successor's (G1, G3).
func TestFrozenHolderOfOrders(t *testing.T) {
	t.Parallel()
	c, held := orderCluster(t, true)
	stop := c.stream(6)
	former, fence := c.takeOver(held, func(v *vm) { v.controller.Suspend() })
	c.checkRoleChanged(held, func() {
		former.controller.Resume()
		c.awaitReady(former)
	}, fence)
	stop()
	c.checkWhole()
}

// Guards against a controller without the platform's answers that goes on as holder although its lease has lapsed (G3, G5).
func TestHolderWithoutAnswersOfThePlatform(t *testing.T) {
	t.Parallel()
	c, held := orderCluster(t, true)
	stop := c.stream(6)
	former, fence := c.takeOver(held, func(v *vm) { v.platform.SetMode(fault.BlockResponses) })
	c.checkRoleChanged(held, func() { former.platform.SetMode(fault.ForwardAll) }, fence)
	stop()
	c.checkWhole()
}

// Guards against an engine that ignores fencing numbers and gets a second order after a holder died with one under way, and
// against one that is not replaced, or removed with streams (G1, G2).
func TestKilledHolderAtEngineWithoutFencing(t *testing.T) {
	t.Parallel()
	c, held := orderCluster(t, false)
	// The first holder inherits the order, so it replaces logreader-1 at once; nothing is sent to it.
	stop := c.stream(6)
	c.await("the removal", func() bool { return c.poolOrders().Drained["logreader-1"] == "removed" })
	c.await("the orders by result", func() bool {
		return c.scrapeAll(false, "order_total", `kind="set_role",result="ambiguous"`) == 1 && c.scrapeAll(false, "order_total", `result="done"`) == 2
	})
	former, fence := c.ordersHolder()
	former.controller.Kill()
	c.await("the next holder", func() bool {
		v, next := c.ordersHolder()
		return v != nil && v != former && next > fence
	})
	c.await("the next holder's take-over", func() bool { return c.poolOrders().Fence > fence })
	stop()
	if held.count() != 0 || len(c.engines["logreader-1"].Requests()) != 0 {
		t.Errorf("logreader-1 got %d orders and %d requests", held.count(), len(c.engines["logreader-1"].Requests()))
	}
	if kinds := c.gatherProvider(); !slices.Equal(kinds, []string{"add", "remove"}) {
		t.Errorf("provider got %v", kinds)
	}
	c.checkWhole()
}
