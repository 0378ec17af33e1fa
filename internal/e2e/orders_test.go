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

// orderInterceptor is middleware in front of an engine that blocks orders until release. A blocked order still reaches the engine
// when its sender has disconnected, like bytes in transit.
type orderInterceptor struct {
	mu           sync.Mutex
	blocking     bool
	blockedCount int
	released     chan struct{}
	once         sync.Once
}

// release forwards the blocked orders to the engine.
func (i *orderInterceptor) release() { i.once.Do(func() { close(i.released) }) }

// wrap returns the handler to serve in place of an engine.
func (i *orderInterceptor) wrap(engine http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/control/orders" {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			r = r.WithContext(context.WithoutCancel(r.Context()))
			r.Body = io.NopCloser(bytes.NewReader(body))
			if released := i.block(); released != nil {
				<-released
			}
		}
		engine.ServeHTTP(w, r)
	})
}

// block counts an order as blocked and returns the channel that it must wait on, or returns nil when orders are not blocked.
func (i *orderInterceptor) block() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.blocking {
		return nil
	}
	i.blockedCount++
	return i.released
}

// countBlocked returns the number of orders that were blocked.
func (i *orderInterceptor) countBlocked() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.blockedCount
}

// stopBlocking forwards later orders at once; those already blocked stay blocked until release.
func (i *orderInterceptor) stopBlocking() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.blocking = false
}

// newOrderCluster starts a cluster whose platform already stores the pending order of a role change of logreader-1, written by an
// earlier lease holder, so that the first holder sends it. The order is blocked in front of the engine.
func newOrderCluster(t *testing.T, checksFence bool) (*cluster, *orderInterceptor) {
	interceptor := &orderInterceptor{blocking: true, released: make(chan struct{})}
	c := newCluster(t, options{engines: 3, checksFence: checksFence,
		engine: standin.EngineConfig{DecodeRate: 40, ChangeDuration: 2 * time.Second},
		wrapEngine: func(name string, engine http.Handler) http.Handler {
			if name == "logreader-1" {
				return interceptor.wrap(engine)
			}
			return engine
		},
		beforeStart: func(c *cluster) {
			stored, _ := json.Marshal(apitypes.PoolOrders{Drained: map[string]string{"logreader-1": "set_role: test"}, Intents: []apitypes.Intent{
				{Order: apitypes.Order{ID: "left-over", Kind: apitypes.OrderSetRole, Value: "decode", Endpoint: "logreader-1"}, State: apitypes.IntentPending}}})
			if _, err := c.platform.Put(context.Background(), apitypes.KindOrders, "logreader", stored, 0); err != nil {
				t.Fatal(err)
			}
		}})
	// When a test fails early, the engine's server would otherwise wait for the blocked handlers.
	t.Cleanup(interceptor.release)
	return c, interceptor
}

// ordersLeaseHolder returns the VM whose controller holds the lease on the orders of pool "logreader", or nil, and the fencing
// token of the lease.
func (c *cluster) ordersLeaseHolder() (*vm, uint64) {
	o, err := c.platform.Get(context.Background(), apitypes.KindLease, "logreader.orders")
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

// poolOrders returns the stored orders of pool "logreader".
func (c *cluster) poolOrders() apitypes.PoolOrders {
	var s apitypes.PoolOrders
	o, err := c.platform.Get(context.Background(), apitypes.KindOrders, "logreader")
	if err == nil {
		err = json.Unmarshal(o.Data, &s)
	}
	if err != nil {
		c.t.Fatal(err)
	}
	return s
}

// recordProviderOrders adds the orders that the provider received to the history and returns the kinds of the accepted ones.
func (c *cluster) recordProviderOrders() []string {
	resp, err := c.client.Get(c.url(c.vms[0].platformLink.Addr()) + "/fault")
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
		c.history.AddOrder(history.Order{Target: "provider/" + a.Pool, ID: a.Order.ID, FencingToken: a.Order.Fence, Kind: string(a.Order.Kind),
			Value: a.Order.Endpoint, At: time.Unix(0, a.At), Applied: accepted})
		if accepted {
			kinds = append(kinds, string(a.Order.Kind))
		}
	}
	return kinds
}

// appliedOrders returns the orders that an engine applied.
func (c *cluster) appliedOrders(engine string) []standin.EngineOrder {
	return slices.DeleteFunc(c.engines[engine].Orders(), func(o standin.EngineOrder) bool { return !o.Applied })
}

// awaitFailover waits until an order is blocked, makes the lease holder fail, waits for the next holder and stops blocking. It
// returns the former holder and its fencing token.
func (c *cluster) awaitFailover(interceptor *orderInterceptor, fail func(*vm)) (former *vm, fence uint64) {
	c.await("an order in transit", func() bool { return interceptor.countBlocked() > 0 })
	former, fence = c.ordersLeaseHolder()
	fail(former)
	c.await("the next lease holder", func() bool {
		v, next := c.ordersLeaseHolder()
		return v != nil && v != former && next > fence
	})
	// The former holder may have held the lease until now; the orders that it sends from now on must have no effect.
	interceptor.stopBlocking()
	return former, fence
}

// checkRoleChanged waits for the end of the role change, forwards the blocked order of the former holder, and checks that the
// engine applied only the successor's order and refused those with the former holder's fencing token.
func (c *cluster) checkRoleChanged(interceptor *orderInterceptor, restore func(), formerFence uint64) {
	c.await("the role change to end", func() bool { return len(c.appliedOrders("logreader-1")) == 1 && len(c.poolOrders().Drained) == 0 })
	interceptor.release()
	restore()
	c.await("the blocked order to arrive", func() bool {
		return slices.ContainsFunc(c.engines["logreader-1"].Orders(), func(o standin.EngineOrder) bool { return o.Fence <= formerFence })
	})
	for _, o := range c.engines["logreader-1"].Orders() {
		if o.Rejected != (o.Fence <= formerFence) {
			c.t.Errorf("order %s with fencing token %d: applied %v, refused %v", o.ID, o.Fence, o.Applied, o.Rejected)
		}
	}
	if n := len(c.appliedOrders("logreader-1")); n != 1 {
		c.t.Errorf("%d orders were applied, want 1", n)
	}
	if kinds := c.recordProviderOrders(); len(kinds) != 0 {
		c.t.Errorf("the provider accepted orders %v, want none", kinds)
	}
}

// Guards against an order that is applied in addition to the successor's order: the lease holder is frozen for longer than its
// lease while the order is in transit (guarantees G1 and G3).
func TestFrozenOrdersLeaseHolder(t *testing.T) {
	t.Parallel()
	c, interceptor := newOrderCluster(t, true)
	stop := c.startStreamCallers(6)
	former, fence := c.awaitFailover(interceptor, func(v *vm) { v.controller.Suspend() })
	c.checkRoleChanged(interceptor, func() {
		former.controller.Resume()
		c.awaitReady(former)
	}, fence)
	stop()
	c.checkAllComplete()
}

// Guards against a lease holder that still acts as the holder after its lease has expired, because it receives no responses from
// the platform (guarantees G3 and G5).
func TestOrdersLeaseHolderWithoutPlatformResponses(t *testing.T) {
	t.Parallel()
	c, interceptor := newOrderCluster(t, true)
	stop := c.startStreamCallers(6)
	former, fence := c.awaitFailover(interceptor, func(v *vm) { v.platformLink.SetMode(fault.BlockResponses) })
	c.checkRoleChanged(interceptor, func() { former.platformLink.SetMode(fault.ForwardAll) }, fence)
	stop()
	c.checkAllComplete()
}

// Guards against a second order to an engine that does not check fencing tokens, when an earlier lease holder died with one in
// transit, and against such an engine that is not replaced, or is removed while it runs streams (guarantees G1 and G2).
func TestKilledOrdersLeaseHolderAtEngineWithoutFencing(t *testing.T) {
	t.Parallel()
	c, interceptor := newOrderCluster(t, false)
	// The first holder finds the pending order, so it replaces logreader-1 at once and sends nothing to it.
	stop := c.startStreamCallers(6)
	c.await("logreader-1 to be removed", func() bool { return c.poolOrders().Drained["logreader-1"] == "removed" })
	c.await("the order metrics by result", func() bool {
		return c.scrapeAll(false, "order_total", `kind="set_role",result="ambiguous"`) == 1 && c.scrapeAll(false, "order_total", `result="done"`) == 2
	})
	former, fence := c.ordersLeaseHolder()
	former.controller.Kill()
	c.await("the next lease holder", func() bool {
		v, next := c.ordersLeaseHolder()
		return v != nil && v != former && next > fence
	})
	c.await("the next lease holder to write its fencing token", func() bool { return c.poolOrders().Fence > fence })
	stop()
	if interceptor.countBlocked() != 0 || len(c.engines["logreader-1"].Requests()) != 0 {
		t.Errorf("logreader-1 received %d orders and %d requests, want none", interceptor.countBlocked(), len(c.engines["logreader-1"].Requests()))
	}
	if kinds := c.recordProviderOrders(); !slices.Equal(kinds, []string{"add", "remove"}) {
		t.Errorf("the provider accepted orders %v, want add and remove", kinds)
	}
	c.checkAllComplete()
}
