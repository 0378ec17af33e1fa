package gateway

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/claim"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
	"crocusglade.example/crocusglade/internal/standin"
)

// declare sends a non-idempotent call with an idempotency key.
func (h *harness) declare(addr, key, body string) reply {
	return h.call("POST", addr, "/svc/harvest/declare", "rope", body, idempotencyHeader, key)
}

// Guards against a second execution of a non-idempotent call that is repeated concurrently or later, at the same or another gateway.
func TestNonIdempotentRunsOnce(t *testing.T) {
	h := newHarness(t)
	first, second := h.startGateway("vm-1"), h.startGateway("vm-2")
	h.service.SetFaults(standin.ServiceFaults{ExecutionDelay: 300 * time.Millisecond})
	var wg sync.WaitGroup
	replies := make([]reply, 8)
	for i := range replies {
		wg.Add(1)
		go func() {
			defer wg.Done()
			replies[i] = h.declare([]string{first, second}[i%2], "k", "{}")
		}()
	}
	wg.Wait()
	ok := 0
	for _, r := range replies {
		switch {
		case r.status == 200 && r.header.Get(replayHeader) == "":
			ok++
		case r.status == 200:
		case r.err.Kind != apierror.InProgress || r.err.Execution != apierror.ExecutionUnknown:
			t.Fatalf("got %d %s", r.status, r.body)
		}
	}
	replay := h.declare(second, "k", "{}")
	if ok != 1 || replay.status != 200 || replay.header.Get(replayHeader) != "true" || h.service.TotalExecutions() != 1 {
		t.Fatalf("%d successful responses, replay %d %s, %d runs", ok, replay.status, replay.body, h.service.TotalExecutions())
	}
	if r := h.declare(first, "k", `{"tonnes":2}`); r.err.Kind != apierror.IdempotencyMismatch {
		t.Fatalf("another body returned %d %s", r.status, r.body)
	}
}

// Guards against an unknown outcome that is reported as "not_run", and against a second execution of a call that ran. The service
// breaks the connection or returns a corrupt response before or after it ran the call.
func TestServiceFaults(t *testing.T) {
	for name, c := range map[string]struct {
		faults       standin.ServiceFaults
		noLookup     bool
		kind, repeat apierror.Kind
		runs         int
	}{
		"disconnect after executing":            {standin.ServiceFaults{DisconnectAfterExecuting: true, MaxCalls: 1}, false, "", "", 1},
		"disconnect after executing, no lookup": {standin.ServiceFaults{DisconnectAfterExecuting: true, MaxCalls: 1}, true, apierror.OutcomeUnknown, apierror.OutcomeUnknown, 1},
		"disconnect before executing":           {standin.ServiceFaults{DisconnectBeforeExecuting: true, MaxCalls: 1}, false, apierror.OutcomeUnknown, apierror.OutcomeUnknown, 0},
		"short body":                            {standin.ServiceFaults{ShortBody: true, MaxCalls: 1}, false, "", "", 1},
		"other request id":                      {standin.ServiceFaults{MismatchedRequestID: true, MaxCalls: 1}, true, apierror.OutcomeUnknown, apierror.OutcomeUnknown, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.service = standin.NewService(standin.ServiceConfig{NoLookup: c.noLookup, Faults: c.faults})
			h.pools[1].Endpoints[0].Addr = serve(t, h.service)
			first, second := h.startGateway("vm-1"), h.startGateway("vm-2")
			r, repeat := h.declare(first, "k", "{}"), h.declare(second, "k", "{}")
			if r.err.Kind != c.kind || repeat.err.Kind != c.repeat || r.err.Execution == apierror.NotExecuted {
				t.Fatalf("got %d %s, then %d %s", r.status, r.body, repeat.status, repeat.body)
			}
			if n := h.service.TotalExecutions(); n != c.runs {
				t.Fatalf("the call ran %d times, want %d", n, c.runs)
			}
		})
	}
}

// Guards against an idempotency key that stays claimed after the service refused the call without running it, and against a second
// execution of a call that ran although the service responded with 503.
func TestRefusedNonIdempotentCalls(t *testing.T) {
	refuseBefore, refuseAfter := standin.ServiceFaults{RefuseBeforeExecuting: true, MaxCalls: 1}, standin.ServiceFaults{RefuseAfterExecuting: true, MaxCalls: 1}
	restart := refuseAfter
	restart.RestartOnRefusal = true
	for name, c := range map[string]struct {
		config standin.ServiceConfig
		reruns bool // the repeated call is executed
		runs   int
	}{
		"not executed":          {standin.ServiceConfig{Faults: refuseBefore}, true, 1},
		"executed":              {standin.ServiceConfig{Faults: refuseAfter}, false, 1},
		"executed, restarted":   {standin.ServiceConfig{Faults: restart}, false, 1},
		"executed, no lookup":   {standin.ServiceConfig{Faults: refuseAfter, NoLookup: true}, false, 1},
		"executed, no instance": {standin.ServiceConfig{Faults: restart, NoLoad: true}, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.service = standin.NewService(c.config)
			h.pools[1].Endpoints[0].Addr = serve(t, h.service)
			first, second := h.startGateway("vm-1"), h.startGateway("vm-2")
			r, repeat := h.declare(first, "k", "{}"), h.declare(second, "k", "{}")
			if r.status != 503 || (r.err.Execution == apierror.NotExecuted) != c.reruns {
				t.Errorf("got %d %s", r.status, r.body)
			}
			if reruns := repeat.status == 200 && repeat.header.Get(replayHeader) == ""; reruns != c.reruns {
				t.Errorf("the repeat got %d %s", repeat.status, repeat.body)
			}
			if n := h.service.TotalExecutions(); n != c.runs {
				t.Errorf("the call ran %d times, want %d", n, c.runs)
			}
		})
	}
}

// Guards against idempotent calls that are not retried on another endpoint after a failure, or that are retried after a response.
func TestIdempotentCallIsRetried(t *testing.T) {
	h := newHarness(t)
	spare := standin.NewService(standin.ServiceConfig{})
	e := h.pools[1].Endpoints[0]
	e.Name, e.Addr = "s", serve(t, spare)
	h.pools[1].Endpoints[0].Name = "s"
	h.service.SetFaults(standin.ServiceFaults{DisconnectBeforeExecuting: true})
	addr := h.startGateway("vm-1", func(o *Options) {
		e.Name = "spare"
		o.Balancer.UpdateEndpoint("svc", balancer.Endpoint{Endpoint: e})
	})
	for range 6 {
		if r := h.call("GET", addr, "/svc/harvest/x?q=1", "rope", ""); r.status != 200 || !strings.Contains(r.body, `"path":"/x"`) {
			t.Fatalf("got %d %s", r.status, r.body)
		}
	}
	if spare.TotalExecutions() != 6 {
		t.Fatalf("%d runs", spare.TotalExecutions())
	}
}

// Guards against non-idempotent calls that run without a claim during a platform outage, and against a call that is refused although
// its claim was written and only the platform's response was lost.
func TestPlatformFaults(t *testing.T) {
	h := newHarness(t)
	addr := h.startGateway("vm-1")
	h.platform.SetFaults(memplatform.Faults{Down: true})
	r := h.declare(addr, "k", "{}")
	if r.err.Kind != apierror.Unavailable || r.err.Execution != apierror.NotExecuted || h.service.TotalExecutions() != 0 {
		t.Fatalf("the outage returned %d %s after %d runs", r.status, r.body, h.service.TotalExecutions())
	}
	if r := h.call("GET", addr, "/svc/harvest/x", "rope", ""); r.status != 200 {
		t.Fatalf("idempotent work stopped: %d %s", r.status, r.body)
	}
	h.platform.SetFaults(memplatform.Faults{})
	if err := h.gateways["vm-1"].opts.Claims.(*claim.Store).Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	h.platform.SetFaults(memplatform.Faults{LoseAnswers: 1})
	if r := h.declare(addr, "k", "{}"); r.status != 200 || h.service.TotalExecutions() != 2 {
		t.Fatalf("after the outage, with a lost response: %d %s, %d runs", r.status, r.body, h.service.TotalExecutions())
	}
}

// Guards against a claim that blocks its idempotency key although the service was unreachable and nothing was sent.
func TestUnreachableServiceReleasesClaim(t *testing.T) {
	h := newHarness(t)
	addr := h.pools[1].Endpoints[0].Addr
	h.pools[1].Endpoints[0].Addr = "127.0.0.1:1"
	r := h.declare(h.startGateway("vm-1"), "k", "{}")
	if r.err.Execution != apierror.NotExecuted || r.status != 503 {
		t.Fatalf("got %d %s", r.status, r.body)
	}
	h.pools[1].Endpoints[0].Addr = addr
	if r := h.declare(h.startGateway("vm-2"), "k", "{}"); r.status != 200 {
		t.Fatalf("the repeat got %d %s", r.status, r.body)
	}
}

// pausedClaims delays the return from CreateClaim, like a process that is paused after it wrote its claim.
type pausedClaims struct{ claim.ClaimStore }

func (p pausedClaims) CreateClaim(ctx context.Context, c apitypes.Claim) (apitypes.Claim, bool, error) {
	existing, won, err := p.ClaimStore.CreateClaim(ctx, c)
	time.Sleep(20 * time.Millisecond)
	return existing, won, err
}

// Guards against a second execution by a gateway that was paused and resumes after its claim was reconciled as not run.
func TestPausedGatewaySendsNothing(t *testing.T) {
	h := newHarness(t)
	paused := h.startGateway("vm-1", func(o *Options) { o.Claims, o.DispatchTimeout = pausedClaims{o.Claims}, 10*time.Millisecond })
	if r := h.declare(paused, "k", "{}"); r.err.Execution != apierror.NotExecuted || h.service.TotalExecutions() != 0 {
		t.Fatalf("got %d %s", r.status, r.body)
	}
	if r := h.declare(h.startGateway("vm-2"), "k", "{}"); r.status != 200 || h.service.TotalExecutions() != 1 {
		t.Fatalf("the repeat got %d %s", r.status, r.body)
	}
}

// Guards against a waiting call that is sent after its key was withdrawn, and against a dispatched call that is interrupted when its
// key is withdrawn.
func TestWithdrawalOfNonIdempotentCalls(t *testing.T) {
	h := newHarness(t)
	h.service.SetFaults(standin.ServiceFaults{ExecutionDelay: time.Second})
	addr := h.startGateway("vm-1", func(o *Options) { o.Admission.SetCapacity("svc", 1, 1000) })
	replies := [2]chan reply{make(chan reply, 1), make(chan reply, 1)}
	go func() { replies[0] <- h.declare(addr, "k1", "{}") }()
	for h.service.TotalExecutions() == 0 {
		time.Sleep(time.Millisecond)
	}
	go func() { replies[1] <- h.declare(addr, "k2", "{}") }()
	for h.gateways["vm-1"].InFlight() < 2 {
		time.Sleep(time.Millisecond)
	}
	h.withdrawKey("rope")
	if r := <-replies[0]; r.status != 200 {
		t.Fatalf("a dispatched call got %d %s", r.status, r.body)
	}
	if r := <-replies[1]; r.err.Kind != apierror.KeyWithdrawn || r.err.Execution != apierror.NotExecuted || h.service.TotalExecutions() != 1 {
		t.Fatalf("a waiting call got %d %s", r.status, r.body)
	}
}
