package duty

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
	"crocusglade.example/crocusglade/internal/order"
)

// once proposes each given proposal one time, whichever holder asks.
func once(proposals ...Proposal) func() []Planner {
	var next atomic.Int32
	return func() []Planner {
		return []Planner{plannerFunc(func(v PoolView) (Proposal, bool) {
			if v.EndpointUnderAction != "" {
				return Proposal{}, false
			}
			if i := int(next.Add(1)) - 1; i < len(proposals) {
				return proposals[i], true
			}
			return Proposal{}, false
		})}
	}
}

type plannerFunc func(PoolView) (Proposal, bool)

func (f plannerFunc) Plan(v PoolView) (Proposal, bool) { return f(v) }

func (b *bed) wantKinds(target string, want ...string) {
	b.t.Helper()
	if got := b.orderKinds(target); !slices.Equal(got, want) {
		b.t.Errorf("%s applied %v, want %v", target, got, want)
	}
}

// inService tells whether nothing keeps work from an endpoint.
func (b *bed) inService(name string) bool {
	_, drained := b.state().Drained[name]
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engines[name]
	return e != nil && !drained && !e.draining && e.changing == ""
}

// Guards against a planned change that cuts streams or leaves its endpoint out of service: each kind of change under load.
func TestPlannedChangesCutNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, 1, true, false, true)
		b.load(4)
		b.start("h1", once(
			Proposal{Kind: apitypes.OrderSetRole, Endpoint: "e1", Value: "decode"},
			Proposal{Kind: apitypes.OrderLoadModel, Endpoint: "e1", Value: "m"},
			Proposal{Kind: apitypes.OrderLoadAdapter, Endpoint: "e2", Value: "a"},
			Proposal{Kind: apitypes.OrderSetVersion, Endpoint: "e2", Value: "2"},
			Proposal{Kind: apitypes.OrderClean, Endpoint: "e1"},
			Proposal{Kind: apitypes.OrderRemove, Endpoint: "e3"},
			Proposal{Kind: apitypes.OrderAdd, FailureDomain: "roja", Class: apitypes.OnDemand},
		), clocks{})
		b.await("all orders", func() bool { return len(b.orderKinds("provider")) == 3 })
		time.Sleep(time.Minute)
		b.wantKinds("e1", "set_role", "load_model", "drain", "resume")
		b.wantKinds("e2", "load_adapter", "set_version")
		b.wantKinds("provider", "clean", "remove", "add")
		if s := b.state(); len(s.Drained) != 0 || s.Cleaned["e1"] == 0 || !b.inService("e1") || !b.inService("e2") {
			t.Errorf("after the changes: %+v", s)
		}
		b.stop()
		if b.streams < 100 {
			t.Errorf("only %d streams ran", b.streams)
		}
		b.check()
	})
}

// Guards against an engine that is resumed while the provider still cleans it, because the lists that name it lag.
func TestCleaningWithLaggingLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for offset := range 20 {
			b := newBed(t, int64(offset), true, true)
			b.load(2)
			time.Sleep(time.Duration(offset) * 100 * time.Millisecond)
			b.start("h1", once(Proposal{Kind: apitypes.OrderClean, Endpoint: "e1"}), clocks{})
			b.await("the cleaning", func() bool { return len(b.orderKinds("e1")) == 2 && b.inService("e1") })
			b.wantKinds("e1", "drain", "resume")
			b.stop()
			b.check()
		}
	})
}

// Guards against a drain that never ends and keeps the endpoint out of service, and against an order to an endpoint with work.
func TestDrainThatTakesTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, 1, true)
		b.engines["e1"].running = 1
		b.start("h1", once(Proposal{Kind: apitypes.OrderSetRole, Endpoint: "e1", Value: "decode"}), clocks{})
		b.await("the drain", func() bool { return b.mem.Calls().Put > 2 && b.state().Drained["e1"] != "" })
		time.Sleep(emptyWithin / 2)
		if b.state().Drained["e1"] == "" {
			t.Error("the drain was withdrawn early")
		}
		b.await("its withdrawal", func() bool { return b.inService("e1") })
		b.wantKinds("e1")
		b.stop()
		b.check()
	})
}

// Guards against work that gateways send because an outage of the platform kept the drain from them during the settle time.
func TestDrainDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for seed := range int64(20) {
			b := newBed(t, seed, true)
			b.loadEvery(1, 2900*time.Millisecond)
			b.start("h1", once(Proposal{Kind: apitypes.OrderSetRole, Endpoint: "e1", Value: "decode"}), clocks{})
			b.await("the drain", func() bool { return b.mem.Calls().Put > 2 && b.state().Drained["e1"] != "" })
			b.mem.SetFaults(memplatform.Faults{Down: true})
			time.Sleep(6*time.Second + time.Duration(seed)*50*time.Millisecond)
			b.mem.SetFaults(memplatform.Faults{})
			b.await("the order", func() bool { return len(b.orderKinds("e1")) == 1 && b.inService("e1") })
			b.stop()
			b.check()
		}
	})
}

// Guards against actions that a predecessor left in any step and that a successor forgets, repeats or undoes too early.
func TestSuccessorFinishesLeftOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, kind := range []apitypes.OrderKind{apitypes.OrderSetRole, apitypes.OrderClean, apitypes.OrderRemove} {
			for after := 0; after < 40; after += 2 {
				b := newBed(t, int64(after), true, true)
				b.load(3)
				first := b.start("h1", once(Proposal{Kind: kind, Endpoint: "e1", Value: "decode"}), clocks{})
				time.Sleep(time.Duration(after) * time.Second)
				first.freeze(time.Minute)
				b.start("h2", func() []Planner { return nil }, clocks{})
				time.Sleep(4 * time.Minute)
				s := b.state()
				gone := kind == apitypes.OrderRemove && len(b.orderKinds("provider")) == 1
				if len(s.Drained)+len(s.Abandoned) != 0 || (!gone && !b.inService("e1")) {
					t.Errorf("%s, frozen after %d s: state %+v", kind, after, s)
				}
				b.stop()
				b.check()
			}
		}
	})
}

// Guards against an endpoint that returns to service while the provider may still carry out an order without answer.
func TestProviderOrderWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, kind := range []apitypes.OrderKind{apitypes.OrderClean, apitypes.OrderRemove} {
			b := newBed(t, 1, true, true)
			b.load(4)
			b.start("h1", once(Proposal{Kind: kind, Endpoint: "e1"}), clocks{})
			b.mu.Lock()
			b.providerDown = true
			b.mu.Unlock()
			time.Sleep(time.Minute)
			if b.state().Drained["e1"] == "" {
				t.Errorf("%s: back in service with an unresolved order", kind)
			}
			b.mu.Lock()
			b.providerDown, b.loseProviderAnswers = false, 2
			b.mu.Unlock()
			time.Sleep(3 * time.Minute)
			b.wantKinds("provider", string(kind))
			if s := b.state(); len(s.Drained) != 0 || (kind == apitypes.OrderClean && !b.inService("e1")) {
				t.Errorf("%s: state %+v", kind, s)
			}
			b.stop()
			b.check()
		}
	})
}

// Guards against an endpoint with an ambiguous order that is ordered again, never replaced, or never removed because it is
// silent.
func TestAbandonedEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, silent := range []bool{false, true} {
			b := newBed(t, 1, false, true)
			b.load(2)
			b.engines["e1"].hang = true
			b.start("h1", once(Proposal{Kind: apitypes.OrderSetRole, Endpoint: "e1", Value: "decode"}), clocks{})
			b.await("the abandonment", func() bool { return b.mem.Calls().Put > 2 && len(b.state().Abandoned) == 1 })
			b.mu.Lock()
			b.engines["e1"].down = silent
			b.mu.Unlock()
			b.await("its removal", func() bool { return len(b.state().Abandoned) == 0 })
			b.wantKinds("e1")
			b.wantKinds("provider", "add", "remove")
			b.stop()
			b.check()
		}
	})
}

// Guards against a predecessor's drain that is lost when an operator drains the endpoint too: the engine would never be resumed, and
// against an operator's drain that the system lifts.
func TestOperatorDrainsLeftOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, 1, true, true)
		b.load(2)
		b.engines["e1"].draining = true
		b.pool.Drained = []string{"e1"}
		left, _ := json.Marshal(apitypes.PoolOrders{Fence: 1, Drained: map[string]string{"e1": "clean: due"}})
		if _, err := b.mem.Put(context.Background(), apitypes.KindOrders, "p", left, 0); err != nil {
			t.Fatal(err)
		}
		// The lease's fencing number continues from the predecessor's.
		old, _ := json.Marshal(apitypes.Lease{Fence: 1})
		if _, err := b.mem.Put(context.Background(), apitypes.KindLease, "p.orders", old, 0); err != nil {
			t.Fatal(err)
		}
		b.start("h1", func() []Planner { return nil }, clocks{})
		time.Sleep(time.Minute)
		b.wantKinds("e1", "resume")
		before := b.streamsNow("e1")
		if !b.inService("e1") || before != 0 {
			t.Errorf("state %+v, %d streams at an endpoint that an operator drains", b.state(), before)
		}
		b.mu.Lock()
		b.pool.Drained = nil
		b.mu.Unlock()
		b.await("streams after the operator's return", func() bool { return b.streamsNow("e1") > 0 })
		b.stop()
		b.check()
	})
}

func (b *bed) streamsNow(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.engines[name].running
}

// Guards against orders to a paused pool, and against an action that a pause leaves half done.
func TestPausedPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, 1, true, true)
		b.load(2)
		b.pool.Paused = true
		b.start("h1", once(Proposal{Kind: apitypes.OrderSetRole, Endpoint: "e1"}, Proposal{Kind: apitypes.OrderSetRole, Endpoint: "e2"}), clocks{})
		setPaused := func(paused bool) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.pool.Paused = paused
		}
		time.Sleep(time.Minute)
		b.wantKinds("e1")
		setPaused(false)
		b.await("the first action", func() bool { return b.state().Drained["e1"] != "" })
		setPaused(true)
		time.Sleep(time.Minute)
		b.wantKinds("e1", "set_role")
		b.wantKinds("e2")
		if !b.inService("e1") {
			t.Errorf("the running action was left half done: %+v", b.state())
		}
		b.stop()
		b.check()
	})
}

// Guards against a removed endpoint that returns to service while lists still name it.
func TestRemovedStaysDrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, 1, true, true)
		b.start("h1", once(Proposal{Kind: apitypes.OrderRemove, Endpoint: "e1"}), clocks{})
		b.await("the removal", func() bool { return len(b.orderKinds("provider")) == 1 })
		time.Sleep(2 * viewEvery / 3)
		if got := b.state().Drained["e1"]; got != order.DrainReasonRemoved {
			t.Errorf("drained for %q right after the removal", got)
		}
		b.await("the end of its entry", func() bool { return len(b.state().Drained) == 0 })
		b.stop()
		b.check()
	})
}

// Guards against a holder that keeps the lease although another process has rewritten the pool's orders, so that no order can be
// sent any more.
func TestRewrittenOrdersEndTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, 1, true)
		p := b.start("h1", once(Proposal{Kind: apitypes.OrderSetRole, Endpoint: "e1"}, Proposal{Kind: apitypes.OrderSetRole, Endpoint: "e1"}), clocks{})
		b.await("the first order", func() bool { return len(b.orderKinds("e1")) == 1 && b.inService("e1") })
		o, _ := b.mem.Get(context.Background(), apitypes.KindOrders, "p")
		if _, err := b.mem.Put(context.Background(), apitypes.KindOrders, "p", []byte(`{"fence":1}`), o.Version); err != nil {
			t.Fatal(err)
		}
		b.await("the next term", func() bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			return p.terms == 2
		})
		b.stop()
		b.check()
	})
}

// Guards against an endpoint that is ordered twice or that nobody knows of, when the order of a reclaimable endpoint leaves a frozen
// process after its successor's repeat was refused. The refusal does not move the provider's version, so the late order may still take
// effect once; after any order of the successor it must not (G5).
func TestLateOrderOfReclaimableEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, orderBefore := range []bool{false, true} {
			b := newBed(t, 1, true, true)
			add := Proposal{Kind: apitypes.OrderAdd, FailureDomain: "roja", Class: apitypes.Reclaimable}
			proposals := []Proposal{add}
			if orderBefore {
				proposals = append(proposals, Proposal{Kind: apitypes.OrderClean, Endpoint: "e1"})
			}
			b.mem.SetReclaimableAvailable("p", false)
			planners := once(proposals...)
			first := b.start("h1", planners, clocks{})
			b.mu.Lock()
			first.freezeAtSend = 2 * time.Minute
			b.mu.Unlock()
			time.Sleep(10 * time.Second)
			b.start("h2", planners, clocks{})
			b.await("the refusal of the repeat", func() bool {
				s := b.state()
				return s.Fence == 2 && slices.ContainsFunc(s.Intents, func(i apitypes.Intent) bool {
					return i.Order.Kind == apitypes.OrderAdd && i.State == apitypes.IntentRefused
				})
			})
			b.mem.SetReclaimableAvailable("p", true)
			time.Sleep(5 * time.Minute)
			want, endpoints := []string{"add"}, 3
			if orderBefore {
				want, endpoints = []string{"clean"}, 2
			}
			b.wantKinds("provider", want...)
			if v := b.Endpoints("p"); len(v) != endpoints || len(b.state().Drained) != 0 {
				t.Errorf("order before %v: planners see %d endpoints, want %d; drained %v", orderBefore, len(v), endpoints, b.state().Drained)
			}
			b.stop()
			b.check()
		}
	})
}
