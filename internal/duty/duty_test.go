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

// proposeOnce returns planners that propose each proposal once in total, also when the lease holder changes.
func proposeOnce(proposals ...Proposal) func() []Planner {
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

func (sim *simulation) wantAppliedKinds(target string, want ...string) {
	sim.t.Helper()
	if got := sim.appliedKinds(target); !slices.Equal(got, want) {
		sim.t.Errorf("%s applied %v, want %v", target, got, want)
	}
}

// inService reports whether an endpoint exists and is neither drained nor being changed.
func (sim *simulation) inService(name string) bool {
	_, drained := sim.poolOrders().Drained[name]
	sim.mu.Lock()
	defer sim.mu.Unlock()
	e := sim.engines[name]
	return e != nil && !drained && !e.draining && e.changing == ""
}

// Guards against a planned change that interrupts streams or leaves its endpoint out of service. Runs each kind of change under load.
func TestPlannedChangesCutNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1, true, false, true)
		sim.startLoad(4)
		sim.startProcess("h1", proposeOnce(
			Proposal{Kind: apitypes.OrderSetRole, Endpoint: "e1", Value: "decode"},
			Proposal{Kind: apitypes.OrderLoadModel, Endpoint: "e1", Value: "m"},
			Proposal{Kind: apitypes.OrderLoadAdapter, Endpoint: "e2", Value: "a"},
			Proposal{Kind: apitypes.OrderSetVersion, Endpoint: "e2", Value: "2"},
			Proposal{Kind: apitypes.OrderClean, Endpoint: "e1"},
			Proposal{Kind: apitypes.OrderRemove, Endpoint: "e3"},
			Proposal{Kind: apitypes.OrderAdd, FailureDomain: "roja", Class: apitypes.OnDemand},
		), clocks{})
		sim.await("all orders", func() bool { return len(sim.appliedKinds("provider")) == 3 })
		time.Sleep(time.Minute)
		sim.wantAppliedKinds("e1", "set_role", "load_model", "drain", "resume")
		sim.wantAppliedKinds("e2", "load_adapter", "set_version")
		sim.wantAppliedKinds("provider", "clean", "remove", "add")
		if s := sim.poolOrders(); len(s.Drained) != 0 || s.Cleaned["e1"] == 0 || !sim.inService("e1") || !sim.inService("e2") {
			t.Errorf("after the changes: %+v", s)
		}
		sim.stop()
		if sim.startedStreams < 100 {
			t.Errorf("only %d streams ran", sim.startedStreams)
		}
		sim.checkViolations()
	})
}

// Guards against an engine that is resumed while the provider is still cleaning it, because the endpoint lists lag.
func TestCleaningWithLaggingLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for offset := range 20 {
			sim := newSimulation(t, int64(offset), true, true)
			sim.startLoad(2)
			time.Sleep(time.Duration(offset) * 100 * time.Millisecond)
			sim.startProcess("h1", proposeOnce(Proposal{Kind: apitypes.OrderClean, Endpoint: "e1"}), clocks{})
			sim.await("the cleaning", func() bool { return len(sim.appliedKinds("e1")) == 2 && sim.inService("e1") })
			sim.wantAppliedKinds("e1", "drain", "resume")
			sim.stop()
			sim.checkViolations()
		}
	})
}

// Guards against a drain that keeps an endpoint out of service for ever because a stream never ends, and against an order to an
// endpoint with running requests.
func TestDrainThatTakesTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1, true)
		sim.engines["e1"].running = 1
		sim.startProcess("h1", proposeOnce(Proposal{Kind: apitypes.OrderSetRole, Endpoint: "e1", Value: "decode"}), clocks{})
		sim.await("the drain", func() bool { return sim.mem.Calls().Put > 2 && sim.poolOrders().Drained["e1"] != "" })
		time.Sleep(drainTimeout / 2)
		if sim.poolOrders().Drained["e1"] == "" {
			t.Error("the drain was withdrawn early")
		}
		sim.await("its withdrawal", func() bool { return sim.inService("e1") })
		sim.wantAppliedKinds("e1")
		sim.stop()
		sim.checkViolations()
	})
}

// Guards against requests that gateways send to a drained endpoint because a platform outage hides the drain from them during the
// drain propagation delay.
func TestDrainDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for seed := range int64(20) {
			sim := newSimulation(t, seed, true)
			sim.startLoadEvery(1, 2900*time.Millisecond)
			sim.startProcess("h1", proposeOnce(Proposal{Kind: apitypes.OrderSetRole, Endpoint: "e1", Value: "decode"}), clocks{})
			sim.await("the drain", func() bool { return sim.mem.Calls().Put > 2 && sim.poolOrders().Drained["e1"] != "" })
			sim.mem.SetFaults(memplatform.Faults{Down: true})
			time.Sleep(6*time.Second + time.Duration(seed)*50*time.Millisecond)
			sim.mem.SetFaults(memplatform.Faults{})
			sim.await("the order", func() bool { return len(sim.appliedKinds("e1")) == 1 && sim.inService("e1") })
			sim.stop()
			sim.checkViolations()
		}
	})
}

// Guards against a successor that ignores, repeats or reverts too early an action that the previous holder left unfinished at any step.
func TestSuccessorFinishesActions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, kind := range []apitypes.OrderKind{apitypes.OrderSetRole, apitypes.OrderClean, apitypes.OrderRemove} {
			for after := 0; after < 40; after += 2 {
				sim := newSimulation(t, int64(after), true, true)
				sim.startLoad(3)
				first := sim.startProcess("h1", proposeOnce(Proposal{Kind: kind, Endpoint: "e1", Value: "decode"}), clocks{})
				time.Sleep(time.Duration(after) * time.Second)
				first.freeze(time.Minute)
				sim.startProcess("h2", func() []Planner { return nil }, clocks{})
				time.Sleep(4 * time.Minute)
				s := sim.poolOrders()
				gone := kind == apitypes.OrderRemove && len(sim.appliedKinds("provider")) == 1
				if len(s.Drained)+len(s.Abandoned) != 0 || (!gone && !sim.inService("e1")) {
					t.Errorf("%s, frozen after %d s: state %+v", kind, after, s)
				}
				sim.stop()
				sim.checkViolations()
			}
		}
	})
}

// Guards against an endpoint that returns to service while the provider may still execute an order that got no response.
func TestProviderOrderWithoutResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, kind := range []apitypes.OrderKind{apitypes.OrderClean, apitypes.OrderRemove} {
			sim := newSimulation(t, 1, true, true)
			sim.startLoad(4)
			sim.startProcess("h1", proposeOnce(Proposal{Kind: kind, Endpoint: "e1"}), clocks{})
			sim.mu.Lock()
			sim.providerDown = true
			sim.mu.Unlock()
			time.Sleep(time.Minute)
			if sim.poolOrders().Drained["e1"] == "" {
				t.Errorf("%s: back in service with an unresolved order", kind)
			}
			sim.mu.Lock()
			sim.providerDown, sim.loseProviderResponses = false, 2
			sim.mu.Unlock()
			time.Sleep(3 * time.Minute)
			sim.wantAppliedKinds("provider", string(kind))
			if s := sim.poolOrders(); len(s.Drained) != 0 || (kind == apitypes.OrderClean && !sim.inService("e1")) {
				t.Errorf("%s: state %+v", kind, s)
			}
			sim.stop()
			sim.checkViolations()
		}
	})
}

// Guards against an endpoint with an ambiguous order that gets another order, is never replaced, or is never removed because it sends
// no reports.
func TestAbandonedEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, silent := range []bool{false, true} {
			sim := newSimulation(t, 1, false, true)
			sim.startLoad(2)
			sim.engines["e1"].hang = true
			sim.startProcess("h1", proposeOnce(Proposal{Kind: apitypes.OrderSetRole, Endpoint: "e1", Value: "decode"}), clocks{})
			sim.await("the abandonment", func() bool { return sim.mem.Calls().Put > 2 && len(sim.poolOrders().Abandoned) == 1 })
			sim.mu.Lock()
			sim.engines["e1"].down = silent
			sim.mu.Unlock()
			sim.await("its removal", func() bool { return len(sim.poolOrders().Abandoned) == 0 })
			sim.wantAppliedKinds("e1")
			sim.wantAppliedKinds("provider", "add", "remove")
			sim.stop()
			sim.checkViolations()
		}
	})
}

// Guards against an engine that is never resumed after the previous holder's drain because an operator drains the endpoint too, and
// against the system undoing the operator's drain.
func TestOperatorDrainsUnfinishedAction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1, true, true)
		sim.startLoad(2)
		sim.engines["e1"].draining = true
		sim.pool.Drained = []string{"e1"}
		orders, _ := json.Marshal(apitypes.PoolOrders{Fence: 1, Drained: map[string]string{"e1": "clean: due"}})
		if _, err := sim.mem.Put(context.Background(), apitypes.KindOrders, "p", orders, 0); err != nil {
			t.Fatal(err)
		}
		// The fencing token continues from the previous holder's lease.
		previousLease, _ := json.Marshal(apitypes.Lease{Fence: 1})
		if _, err := sim.mem.Put(context.Background(), apitypes.KindLease, "p.orders", previousLease, 0); err != nil {
			t.Fatal(err)
		}
		sim.startProcess("h1", func() []Planner { return nil }, clocks{})
		time.Sleep(time.Minute)
		sim.wantAppliedKinds("e1", "resume")
		streams := sim.runningStreams("e1")
		if !sim.inService("e1") || streams != 0 {
			t.Errorf("state %+v, %d streams at an endpoint that an operator drains", sim.poolOrders(), streams)
		}
		sim.mu.Lock()
		sim.pool.Drained = nil
		sim.mu.Unlock()
		sim.await("streams after the operator's return", func() bool { return sim.runningStreams("e1") > 0 })
		sim.stop()
		sim.checkViolations()
	})
}

func (sim *simulation) runningStreams(name string) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.engines[name].running
}

// Guards against orders to a paused pool, and against an action that a pause leaves unfinished.
func TestPausedPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1, true, true)
		sim.startLoad(2)
		sim.pool.Paused = true
		sim.startProcess("h1", proposeOnce(Proposal{Kind: apitypes.OrderSetRole, Endpoint: "e1"}, Proposal{Kind: apitypes.OrderSetRole, Endpoint: "e2"}), clocks{})
		setPaused := func(paused bool) {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			sim.pool.Paused = paused
		}
		time.Sleep(time.Minute)
		sim.wantAppliedKinds("e1")
		setPaused(false)
		sim.await("the first action", func() bool { return sim.poolOrders().Drained["e1"] != "" })
		setPaused(true)
		time.Sleep(time.Minute)
		sim.wantAppliedKinds("e1", "set_role")
		sim.wantAppliedKinds("e2")
		if !sim.inService("e1") {
			t.Errorf("the running action was not finished: %+v", sim.poolOrders())
		}
		sim.stop()
		sim.checkViolations()
	})
}

// Guards against a removed endpoint that returns to service while the lists still contain it.
func TestRemovedStaysDrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1, true, true)
		sim.startProcess("h1", proposeOnce(Proposal{Kind: apitypes.OrderRemove, Endpoint: "e1"}), clocks{})
		sim.await("the removal", func() bool { return len(sim.appliedKinds("provider")) == 1 })
		time.Sleep(2 * snapshotEvery / 3)
		if got := sim.poolOrders().Drained["e1"]; got != order.DrainReasonRemoved {
			t.Errorf("drained for %q right after the removal", got)
		}
		sim.await("the end of its entry", func() bool { return len(sim.poolOrders().Drained) == 0 })
		sim.stop()
		sim.checkViolations()
	})
}

// Guards against a holder that keeps the lease after another process has rewritten the pool's orders. Such a holder can send no more
// orders.
func TestRewrittenOrdersEndTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1, true)
		p := sim.startProcess("h1", proposeOnce(Proposal{Kind: apitypes.OrderSetRole, Endpoint: "e1"}, Proposal{Kind: apitypes.OrderSetRole, Endpoint: "e1"}), clocks{})
		sim.await("the first order", func() bool { return len(sim.appliedKinds("e1")) == 1 && sim.inService("e1") })
		o, _ := sim.mem.Get(context.Background(), apitypes.KindOrders, "p")
		if _, err := sim.mem.Put(context.Background(), apitypes.KindOrders, "p", []byte(`{"fence":1}`), o.Version); err != nil {
			t.Fatal(err)
		}
		sim.await("the next term", func() bool {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			return p.terms == 2
		})
		sim.stop()
		sim.checkViolations()
	})
}

// Guards against an endpoint that is added twice or that planners never see, when a frozen process sends its order for a reclaimable
// endpoint after the provider has refused the successor's repetition. A refusal does not change the provider's version, so the late
// order may still take effect once; after another order of the successor it must not (guarantee G5).
func TestLateOrderOfReclaimableEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, orderBefore := range []bool{false, true} {
			sim := newSimulation(t, 1, true, true)
			add := Proposal{Kind: apitypes.OrderAdd, FailureDomain: "roja", Class: apitypes.Reclaimable}
			proposals := []Proposal{add}
			if orderBefore {
				proposals = append(proposals, Proposal{Kind: apitypes.OrderClean, Endpoint: "e1"})
			}
			sim.mem.SetReclaimableAvailable("p", false)
			planners := proposeOnce(proposals...)
			first := sim.startProcess("h1", planners, clocks{})
			sim.mu.Lock()
			first.freezeAtSend = 2 * time.Minute
			sim.mu.Unlock()
			time.Sleep(10 * time.Second)
			sim.startProcess("h2", planners, clocks{})
			sim.await("the refusal of the repeated order", func() bool {
				s := sim.poolOrders()
				return s.Fence == 2 && slices.ContainsFunc(s.Intents, func(i apitypes.Intent) bool {
					return i.Order.Kind == apitypes.OrderAdd && i.State == apitypes.IntentRefused
				})
			})
			sim.mem.SetReclaimableAvailable("p", true)
			time.Sleep(5 * time.Minute)
			want, endpoints := []string{"add"}, 3
			if orderBefore {
				want, endpoints = []string{"clean"}, 2
			}
			sim.wantAppliedKinds("provider", want...)
			if v := sim.Endpoints("p"); len(v) != endpoints || len(sim.poolOrders().Drained) != 0 {
				t.Errorf("order before %v: planners see %d endpoints, want %d; drained %v", orderBefore, len(v), endpoints, sim.poolOrders().Drained)
			}
			sim.stop()
			sim.checkViolations()
		}
	})
}
