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
	readEndpointsCall = "GET /provider/endpoints"
	postOrderCall     = "POST /provider/orders"
)

// providerInterceptor is middleware between the VMs and the provider of pool "logreader". It blocks a call that the first holder
// of the orders lease makes after it has written its intent, drops responses, and records which orders take effect.
type providerInterceptor struct {
	c *cluster
	// blockedCall is the call to block, as method and path.
	blockedCall string
	released    chan struct{}
	once        sync.Once

	mu       sync.Mutex
	blocking bool
	// lastBlockedAt is the time at which a call was last blocked.
	lastBlockedAt time.Time
	// responsesToLose is the number of following orders that take effect without a response.
	responsesToLose int
	arrivals        []arrival
	// callsByVM counts the requests to the platform by VM name.
	callsByVM map[string]int
}

// arrival is an order that reached the provider. applied is true when it took effect.
type arrival struct {
	order   apitypes.Order
	status  int
	applied bool
}

// release unblocks the blocked calls. A blocked call continues when its sender has disconnected, like bytes in transit.
func (p *providerInterceptor) release() { p.once.Do(func() { close(p.released) }) }

// wrap returns the handler to serve to a VM in place of the platform.
func (p *providerInterceptor) wrap(v *vm, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.callsByVM[v.Name]++
		p.mu.Unlock()
		call := r.Method + " " + r.URL.Path
		if call != readEndpointsCall && call != postOrderCall {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r = r.WithContext(context.WithoutCancel(r.Context()))
		r.Body = io.NopCloser(bytes.NewReader(body))
		recorder := httptest.NewRecorder()
		if call == readEndpointsCall {
			next.ServeHTTP(recorder, r)
			p.block(v, call)
		} else {
			p.block(v, call)
			p.forwardOrder(recorder, r, body, next)
		}
		for k, values := range recorder.Header() {
			w.Header()[k] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes()) // The sender may have disconnected.
	})
}

// block waits for release when the call is the one to block and its VM holds the orders lease and has written a pending intent.
func (p *providerInterceptor) block(v *vm, call string) {
	p.mu.Lock()
	match := p.blocking && call == p.blockedCall
	p.mu.Unlock()
	if !match {
		return
	}
	holder, fence := p.c.ordersLeaseHolder()
	if holder != v || !slices.ContainsFunc(p.c.poolOrders().Intents, func(i apitypes.Intent) bool {
		return i.State == apitypes.IntentPending && i.Order.Fence == fence
	}) {
		return
	}
	p.mu.Lock()
	p.lastBlockedAt = time.Now()
	p.mu.Unlock()
	<-p.released
}

// forwardOrder forwards an order to the provider and records whether it took effect. It aborts the response while responsesToLose
// is positive.
func (p *providerInterceptor) forwardOrder(w http.ResponseWriter, r *http.Request, body []byte, next http.Handler) {
	var o apitypes.Order
	if err := json.Unmarshal(body, &o); err != nil {
		p.c.t.Error(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.endpointsVersion()
	recorder := httptest.NewRecorder()
	next.ServeHTTP(recorder, r)
	a := arrival{order: o, status: recorder.Code, applied: p.endpointsVersion() != before}
	p.arrivals = append(p.arrivals, a)
	p.c.history.AddOrder(history.Order{Target: "provider/logreader", ID: o.ID, FencingToken: o.Fence, Kind: string(o.Kind), Value: o.Endpoint,
		At: time.Now(), Applied: a.applied})
	if p.responsesToLose > 0 {
		p.responsesToLose--
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes()) // w is a recorder, whose writes never fail.
}

// endpointsVersion returns the version of the provider's list of endpoints, which changes when an order takes effect.
func (p *providerInterceptor) endpointsVersion() uint64 {
	v, err := p.c.platform.Endpoints(context.Background(), "logreader")
	if err != nil {
		p.c.t.Error(err)
	}
	return v.Version
}

// filterArrivals returns the arrivals for which accept is true, in order.
func (p *providerInterceptor) filterArrivals(accept func(arrival) bool) []arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(p.arrivals), func(a arrival) bool { return !accept(a) })
}

// appliedKinds returns the kinds of the orders that took effect, in order.
func (p *providerInterceptor) appliedKinds() []string {
	var kinds []string
	for _, a := range p.filterArrivals(func(a arrival) bool { return a.applied }) {
		kinds = append(kinds, string(a.order.Kind))
	}
	return kinds
}

// setEndpointState sets an endpoint's state and address. It holds the lock, so that forwardOrder does not mistake the change for
// the effect of an order.
func (p *providerInterceptor) setEndpointState(endpoint string, state apitypes.EndpointState, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.c.platform.SetEndpointState("logreader", endpoint, state, addr)
}

// newProviderCluster starts a cluster whose platform already stores the pending order of a new endpoint, written by an earlier
// lease holder, so that the first holder sends it, and in which the cleaning of logreader-1 is due. The given call of the first
// holder is blocked.
func newProviderCluster(t *testing.T, blockedCall string, class apitypes.EndpointClass) (*cluster, *providerInterceptor) {
	p := &providerInterceptor{blockedCall: blockedCall, blocking: true, released: make(chan struct{}), callsByVM: make(map[string]int)}
	c := newCluster(t, options{engines: 3, checksFence: true, engine: standin.EngineConfig{DecodeRate: 40},
		wrapPlatform: func(c *cluster, v *vm, next http.Handler) http.Handler {
			p.c = c
			return p.wrap(v, next)
		},
		beforeStart: func(c *cluster) {
			now, due := time.Now().UnixMilli(), time.Now().Add(-apitypes.DefaultCleanEvery).UnixMilli()
			stored, _ := json.Marshal(apitypes.PoolOrders{Cleaned: map[string]int64{"logreader-1": due, "logreader-2": now, "logreader-3": now},
				Intents: []apitypes.Intent{{State: apitypes.IntentPending, Order: apitypes.Order{ID: "left-over", Kind: apitypes.OrderAdd,
					FailureDomain: failureDomains[0], Class: class}}}})
			if _, err := c.platform.Put(context.Background(), apitypes.KindOrders, "logreader", stored, 0); err != nil {
				t.Fatal(err)
			}
		}})
	// When a test fails early, the platform's server would otherwise wait for the blocked handlers.
	t.Cleanup(p.release)
	return c, p
}

// awaitFailover makes the lease holder fail while its call is blocked, stops blocking and waits for the next holder. It returns the
// former holder and its fencing token.
func (p *providerInterceptor) awaitFailover(fail func(*vm)) (former *vm, fence uint64) {
	// Waits for a recently blocked call, because the sender of an older one may have timed out.
	p.c.await("a blocked call", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return time.Since(p.lastBlockedAt) < 300*time.Millisecond
	})
	former, fence = p.c.ordersLeaseHolder()
	fail(former)
	p.mu.Lock()
	p.blocking = false
	p.mu.Unlock()
	p.c.await("the next lease holder", func() bool {
		v, next := p.c.ordersLeaseHolder()
		return v != nil && v != former && next > fence
	})
	return former, fence
}

// awaitCalls waits until a VM has made the given number of further requests to the platform.
func (p *providerInterceptor) awaitCalls(v *vm, more int) {
	count := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.callsByVM[v.Name]
	}
	before := count()
	p.c.await("requests of "+v.Name+" to the platform", func() bool { return count() >= before+more })
}

// Guards against an order that takes effect after the successor's orders: the lease holder is frozen for longer than its lease,
// either between its decision and the dispatch of the order, or while the order is in transit. The provider refuses the
// successor's repeat of the order, so that neither the order id nor the intent prevents the late order from taking effect
// (guarantees G3 and G5).
func TestFrozenLeaseHolderWithPendingProviderOrder(t *testing.T) {
	t.Parallel()
	for _, blockedCall := range []string{readEndpointsCall, postOrderCall} {
		t.Run(blockedCall, func(t *testing.T) {
			t.Parallel()
			c, p := newProviderCluster(t, blockedCall, apitypes.Reclaimable)
			c.platform.SetReclaimableAvailable("logreader", false)
			former, fence := p.awaitFailover(func(v *vm) {
				if err := v.controller.Suspend(); err != nil {
					t.Fatal(err)
				}
				if blockedCall == readEndpointsCall {
					p.release()
				}
			})
			c.await("the successor's repeat to be refused", func() bool {
				return len(p.filterArrivals(func(a arrival) bool { return a.order.Fence > fence && a.status == http.StatusTooManyRequests })) > 0
			})
			c.platform.SetReclaimableAvailable("logreader", true)
			c.await("the successor's clean order to take effect", func() bool { return slices.Contains(p.appliedKinds(), "clean") })
			if err := former.controller.Resume(); err != nil {
				t.Fatal(err)
			}
			p.release()
			if blockedCall == postOrderCall {
				c.await("the former holder's order to arrive", func() bool { return len(p.filterArrivals(func(a arrival) bool { return a.order.Fence <= fence })) > 0 })
			}
			p.awaitCalls(former, 30)
			p.setEndpointState("logreader-1", apitypes.EndpointReady, "")
			c.await("the cleaning to end", func() bool { return len(c.poolOrders().Drained) == 0 })
			if got := p.appliedKinds(); !slices.Equal(got, []string{"clean"}) {
				t.Errorf("orders %v took effect, want only the successor's clean order", got)
			}
			c.checkGuarantees()
		})
	}
}

// Guards against an endpoint that is ordered twice, or is ordered and never put into service: the lease holder receives no
// responses from the platform while its order is in transit, the provider's responses to its successor are lost after the orders
// took effect, and the former holder's order arrives after its connection is restored (guarantee G5).
func TestPartitionedLeaseHolderWithPendingProviderOrder(t *testing.T) {
	t.Parallel()
	c, p := newProviderCluster(t, postOrderCall, apitypes.OnDemand)
	p.mu.Lock()
	p.responsesToLose = 2
	p.mu.Unlock()
	former, fence := p.awaitFailover(func(v *vm) { v.platformLink.SetMode(fault.BlockResponses) })
	c.await("the successor to complete the order", func() bool {
		return slices.ContainsFunc(c.poolOrders().Intents, func(i apitypes.Intent) bool {
			return i.Order.Fence > fence && (i.State == apitypes.IntentDone || i.Order.Kind != apitypes.OrderAdd)
		})
	})
	former.platformLink.SetMode(fault.ForwardAll)
	p.release()
	c.await("the former holder's order to arrive", func() bool { return len(p.filterArrivals(func(a arrival) bool { return a.order.Fence <= fence })) > 0 })
	p.awaitCalls(former, 30)
	if got := p.appliedKinds(); len(got) == 0 || got[0] != "add" || slices.Contains(got[1:], "add") {
		t.Errorf("orders %v took effect, want add first and only once", got)
	}
	p.startOrderedEndpoint()
	c.checkGuarantees()
}

// startOrderedEndpoint starts an engine for the ordered endpoint and waits until it receives a request.
func (p *providerInterceptor) startOrderedEndpoint() {
	c, name := p.c, "logreader-ordered-1"
	engine := standin.NewEngine(standin.EngineConfig{Name: name, Model: "logreader", Version: "1", DecodeRate: 40})
	p.setEndpointState(name, apitypes.EndpointReady, c.endpoint(name, 0, engine, false).Addr)
	n := 0
	c.await("a request at the ordered endpoint", func() bool {
		n++
		c.chat(n%vmCount, "skippers", fmt.Sprint("call ", n), 4, true)
		return len(engine.Requests()) > 0
	})
	c.engines[name] = engine
}
