package balancer

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
)

// engine returns a ready endpoint with the given load, 16 slots, 2000 free KV blocks and fixed prefill and decode rates.
func engine(name string, load apitypes.Load) Endpoint {
	load.Slots, load.KVFree, load.KVTotal = 16, 2000, 2000
	load.PrefillRate, load.DecodeRate = 10000, 800
	return Endpoint{Endpoint: apitypes.Endpoint{Name: name, State: apitypes.EndpointReady}, Load: load, ReportedAt: time.Now()}
}

// withEngines adds n idle engines to pool p.
func withEngines(b *Balancer, n int) {
	for i := range n {
		b.UpdateEndpoint("p", engine(fmt.Sprintf("e%03d", i), apitypes.Load{}))
	}
}

func choose(t *testing.T, b *Balancer, r Request) *Choice {
	t.Helper()
	r.Pool = "p"
	c, err := b.Choose(r)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against herding: when all load reports are outdated, no endpoint may get far more than its part of a burst.
func TestStaleReportsDoNotCauseHerding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1)
		for i := range 10 {
			b.UpdateEndpoint("p", engine(fmt.Sprint("e", i), apitypes.Load{QueuedPrefillTokens: min(i, 1) * 2000}))
		}
		got := make(map[string]int)
		for range 100 {
			got[choose(t, b, Request{PromptTokens: 1000}).Endpoint.Name]++
		}
		for name, n := range got {
			if n > 16 {
				t.Errorf("%s got %d of 100 requests", name, n)
			}
		}
	})
}

// Work that peer gateways report must count towards the predicted queue until a newer load report contains it.
func TestQueueFollowsDispatchesAndReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1)
		b.UpdateEndpoint("p", engine("a", apitypes.Load{QueuedPrefillTokens: 1000}))
		b.AddPeerLoad("vm2", "a", 4000, 2)
		if got := choose(t, b, Request{PromptTokens: 1000}).PredictedFirstTokenTime; got != 600*time.Millisecond {
			t.Errorf("predicted %v, want 600ms", got)
		}
		time.Sleep(100 * time.Millisecond)
		if got := b.InFlight()["p"]; got != 3 {
			t.Errorf("%d requests in flight, want 3: one own and two of a peer", got)
		}
		b.UpdateEndpoint("p", engine("a", apitypes.Load{QueuedPrefillTokens: 3000}))
		if got := choose(t, b, Request{}).PredictedFirstTokenTime; got != 300*time.Millisecond {
			t.Errorf("predicted %v after the report, want 300ms", got)
		}
	})
}

// An endpoint must not appear full until its next report when requests of peer gateways have ended.
func TestEndedRequestsOfPeersFreeSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := New(1), New(2)
		full := engine("a", apitypes.Load{Running: 16})
		a.UpdateEndpoint("p", engine("a", apitypes.Load{}))
		sent := choose(t, a, Request{PromptTokens: 10})
		a.CollectLoadDeltas()
		b.UpdateEndpoint("p", full)
		sent.Done(Outcome{})
		for name, s := range a.CollectLoadDeltas() {
			b.AddPeerLoad("vm1", name, s.PromptTokens, s.Requests)
		}
		choose(t, b, Request{PromptTokens: 10})
	})
}

// A delayed report, or a change of state without a report, must not overwrite a newer report or discard the cache index.
func TestOldReportChangesStateOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1)
		b.UpdateEndpoint("p", engine("a", apitypes.Load{Instance: "i2", QueuedPrefillTokens: 1000}))
		b.ApplyCacheEvent("a", []uint64{1}, nil, false)
		old := engine("a", apitypes.Load{Instance: "i1"})
		old.ReportedAt = time.Time{}
		b.UpdateEndpoint("p", old)
		if c := choose(t, b, Request{}); c.Instance != "i2" || c.PredictedFirstTokenTime != 100*time.Millisecond || len(b.index) != 1 {
			t.Errorf("instance %s, predicted %v, %d blocks", c.Instance, c.PredictedFirstTokenTime, len(b.index))
		}
		old.NoNewWork = true
		b.UpdateEndpoint("p", old)
		if _, err := b.Choose(Request{Pool: "p"}); err == nil {
			t.Error("chose an endpoint that takes no new work")
		}
	})
}

// Guards against choosing an endpoint without memory or slots for the request, and against the wrong kind of error.
func TestLimitsAndRefusals(t *testing.T) {
	b := New(1)
	var e *apierror.Error
	if _, err := b.Choose(Request{Pool: "p"}); !errors.As(err, &e) || e.Kind != apierror.Unavailable || e.Execution != apierror.NotExecuted {
		t.Errorf("empty pool: %v", err)
	}
	withEngines(b, 1)
	if _, err := b.Choose(Request{Pool: "p", PromptTokens: 40000}); !errors.As(err, &e) || e.Kind != apierror.Overloaded {
		t.Errorf("prompt larger than the KV memory: %v", err)
	}
	var last *Choice
	for range 16 {
		last = choose(t, b, Request{})
	}
	if _, err := b.Choose(Request{Pool: "p"}); !errors.As(err, &e) || e.Kind != apierror.Overloaded {
		t.Errorf("no free slot: %v", err)
	}
	last.Done(Outcome{})
	last.Done(Outcome{})
	choose(t, b, Request{})
	if _, err := b.Choose(Request{Pool: "p"}); err == nil {
		t.Error("a second Done freed a second slot")
	}
}

// Cache events that are delayed or incomplete must not count as exact: the expected hit decays without events and after a gap.
func TestHitProbabilityDecays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1)
		withEngines(b, 20)
		prefix := make([]uint64, 100)
		for i := range prefix {
			prefix[i] = uint64(i) + 1
		}
		b.ApplyCacheEvent("e007", prefix, nil, false)
		r := Request{PromptTokens: 1600, Prefix: prefix}
		c := choose(t, b, r)
		if c.Endpoint.Name != "e007" || c.CachedTokens != 1600 {
			t.Fatalf("chose %s with %d cached tokens", c.Endpoint.Name, c.CachedTokens)
		}
		c.Done(Outcome{})
		time.Sleep(5 * time.Second)
		decayed := choose(t, b, r)
		if decayed.CachedTokens >= 1600 || decayed.CachedTokens < 800 {
			t.Errorf("%d cached tokens 5 s after the last event", decayed.CachedTokens)
		}
		b.ApplyCacheEvent("e007", nil, nil, false)
		b.RecordCacheGap("e007")
		if afterGap := choose(t, b, r); afterGap.CachedTokens != 960 {
			t.Errorf("%d cached tokens after a gap, want 960", afterGap.CachedTokens)
		}
		b.ApplyCacheEvent("e007", nil, prefix, false)
		if len(b.index) != 0 {
			t.Errorf("%d blocks left in the index", len(b.index))
		}
	})
}

// A failing endpoint must stop getting requests, but at most half of the pool may be ejected. The duration doubles after a failed probe.
func TestEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1)
		withEngines(b, 4)
		for range 60 {
			choose(t, b, Request{}).Done(Outcome{Failed: true})
		}
		now := time.Now()
		var ejected []*endpointState
		for _, s := range b.endpoints {
			if s.ejection.excluded(now) {
				ejected = append(ejected, s)
			}
		}
		if len(ejected) != 2 {
			t.Fatalf("%d of 4 ejected, want 2", len(ejected))
		}
		time.Sleep(time.Second)
		e := &ejected[0].ejection
		if e.excluded(time.Now()) || !e.beginProbe() || !e.excluded(time.Now()) {
			t.Fatal("the probe must be exactly one request")
		}
		e.recordOutcome(ejected[0].pool, true, true, time.Now())
		if e.duration != 2*time.Second {
			t.Errorf("second ejection lasts %v, want 2s", e.duration)
		}
	})
}

// A gateway must not route over all 600 endpoints of a pool, and must widen its subset under pressure.
func TestSubsetIsBoundedAndWidens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, other := New(1), New(2)
		withEngines(b, 600)
		withEngines(other, 600)
		first := b.Subset("p")
		if len(first) != baseSubsetSize || fmt.Sprint(first) == fmt.Sprint(other.Subset("p")) {
			t.Fatalf("subset of %d, or equal for two gateways", len(first))
		}
		for range 400 {
			choose(t, b, Request{PromptTokens: 3000})
		}
		if wide := b.Subset("p"); len(wide) <= baseSubsetSize {
			t.Errorf("subset stayed at %d under pressure", len(wide))
		}
	})
}

// benchmarkChoose measures Choose, RecordFirstToken and Done with n endpoints, a third of which hold part of the prefix.
func benchmarkChoose(b *testing.B, n int) {
	lb := New(1)
	for i := range n {
		e := engine(fmt.Sprintf("e%03d", i), apitypes.Load{})
		// A very high prefill rate prevents refusals, since the benchmark dispatches far more than any engine serves.
		e.Load.PrefillRate = 1e13
		lb.UpdateEndpoint("p", e)
	}
	prefix := make([]uint64, 256)
	for i := range prefix {
		prefix[i] = uint64(i) + 1
	}
	for i := 0; i < n; i += 3 {
		lb.ApplyCacheEvent(fmt.Sprintf("e%03d", i), prefix[:128+i%128], nil, false)
	}
	b.ReportAllocs()
	for b.Loop() {
		c, err := lb.Choose(Request{Pool: "p", PromptTokens: 4096, OutputTokens: 200, Prefix: prefix})
		if err != nil {
			b.Fatal(err)
		}
		c.RecordFirstToken()
		c.Done(Outcome{TimeToFirstToken: time.Millisecond})
	}
}

func BenchmarkChoose40(b *testing.B)  { benchmarkChoose(b, 40) }
func BenchmarkChoose600(b *testing.B) { benchmarkChoose(b, 600) }

// Teams above their share must not use the headroom, and each gateway must get the same part of the remaining capacity.
func TestSurplusCapacityLeavesHeadroom(t *testing.T) {
	b := New(1)
	report := func(running int) {
		for _, name := range []string{"e1", "e2"} {
			b.UpdateEndpoint("p", Endpoint{Endpoint: apitypes.Endpoint{Name: name}, Load: apitypes.Load{Slots: 20, Running: running}, ReportedAt: time.Now()})
		}
	}
	report(10)
	if concurrent, inFlight := b.SurplusCapacity("p", 2); concurrent != 7 || inFlight != 20 {
		t.Errorf("%d for teams above their share, %d in flight; want 7 (half of 2 x 17 - 20) and 20", concurrent, inFlight)
	}
	report(18)
	if concurrent, _ := b.SurplusCapacity("p", 2); concurrent != 0 {
		t.Errorf("%d for teams above their share while the headroom is in use", concurrent)
	}
	if concurrent, _ := b.Capacity("p", 2); concurrent != 2 {
		t.Errorf("%d for the others, want half of the 4 free slots", concurrent)
	}
}
