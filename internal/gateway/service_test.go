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

func (b *bed) declare(addr, key, body string) reply {
	return b.call("POST", addr, "/svc/harvest/declare", "rope", body, idempotencyHeader, key)
}

// Guards against a second run of a declaration, whatever is repeated where.
func TestNonIdempotentRunsOnce(t *testing.T) {
	b := newBed(t)
	first, second := b.gateway("vm-1"), b.gateway("vm-2")
	b.service.SetFaults(standin.ServiceFaults{ExecutionDelay: 300 * time.Millisecond})
	var wg sync.WaitGroup
	replies := make([]reply, 8)
	for i := range replies {
		wg.Add(1)
		go func() {
			defer wg.Done()
			replies[i] = b.declare([]string{first, second}[i%2], "k", "{}")
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
	later := b.declare(second, "k", "{}")
	if ok != 1 || later.status != 200 || later.header.Get(replayHeader) != "true" || b.service.TotalExecutions() != 1 {
		t.Fatalf("%d answers, replay %d %s, %d runs", ok, later.status, later.body, b.service.TotalExecutions())
	}
	if r := b.declare(first, "k", `{"tonnes":2}`); r.err.Kind != apierror.IdempotencyMismatch {
		t.Fatalf("another body gave %d %s", r.status, r.body)
	}
}

// Guards against an unknown outcome that is told as "not run", and against a repeat of a call that ran.
func TestServiceFaults(t *testing.T) {
	for name, c := range map[string]struct {
		faults       standin.ServiceFaults
		noLookup     bool
		kind, repeat apierror.Kind
		runs         int
	}{
		"cut after executing": {standin.ServiceFaults{DisconnectAfterExecuting: true, MaxCalls: 1}, false, "", "", 1},
		"cut, can't be asked": {standin.ServiceFaults{DisconnectAfterExecuting: true, MaxCalls: 1}, true, apierror.OutcomeUnknown, apierror.OutcomeUnknown, 1},
		"cut before":          {standin.ServiceFaults{DisconnectBeforeExecuting: true, MaxCalls: 1}, false, apierror.OutcomeUnknown, apierror.OutcomeUnknown, 0},
		"short body":          {standin.ServiceFaults{ShortBody: true, MaxCalls: 1}, false, "", "", 1},
		"another id":          {standin.ServiceFaults{MismatchedRequestID: true, MaxCalls: 1}, true, apierror.OutcomeUnknown, apierror.OutcomeUnknown, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			b.service = standin.NewService(standin.ServiceConfig{NoLookup: c.noLookup, Faults: c.faults})
			b.pools[1].Endpoints[0].Addr = serve(t, b.service)
			first, second := b.gateway("vm-1"), b.gateway("vm-2")
			r, repeat := b.declare(first, "k", "{}"), b.declare(second, "k", "{}")
			if r.err.Kind != c.kind || repeat.err.Kind != c.repeat || r.err.Execution == apierror.NotExecuted {
				t.Fatalf("got %d %s, then %d %s", r.status, r.body, repeat.status, repeat.body)
			}
			if n := b.service.TotalExecutions(); n != c.runs {
				t.Fatalf("the call ran %d times, want %d", n, c.runs)
			}
		})
	}
}

// Guards against a key that is used up by a call that its service turned away, and against a second run of a call that ran although
// its service answered 503.
func TestTurnedAwayCalls(t *testing.T) {
	refuse, after := standin.ServiceFaults{RefuseBeforeExecuting: true, MaxCalls: 1}, standin.ServiceFaults{RefuseAfterExecuting: true, MaxCalls: 1}
	restart := after
	restart.RestartOnRefusal = true
	for name, c := range map[string]struct {
		config standin.ServiceConfig
		again  bool // the repeat runs
		runs   int
	}{
		"not executed":             {standin.ServiceConfig{Faults: refuse}, true, 1},
		"executed":                 {standin.ServiceConfig{Faults: after}, false, 1},
		"executed, restarted":      {standin.ServiceConfig{Faults: restart}, false, 1},
		"executed, can't be asked": {standin.ServiceConfig{Faults: after, NoLookup: true}, false, 1},
		"executed, no instance":    {standin.ServiceConfig{Faults: restart, NoLoad: true}, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			b.service = standin.NewService(c.config)
			b.pools[1].Endpoints[0].Addr = serve(t, b.service)
			first, second := b.gateway("vm-1"), b.gateway("vm-2")
			r, repeat := b.declare(first, "k", "{}"), b.declare(second, "k", "{}")
			if r.status != 503 || (r.err.Execution == apierror.NotExecuted) != c.again {
				t.Errorf("got %d %s", r.status, r.body)
			}
			if again := repeat.status == 200 && repeat.header.Get(replayHeader) == ""; again != c.again {
				t.Errorf("the repeat got %d %s", repeat.status, repeat.body)
			}
			if n := b.service.TotalExecutions(); n != c.runs {
				t.Errorf("the call ran %d times, want %d", n, c.runs)
			}
		})
	}
}

// Guards against idempotent calls that are not repeated, or that are repeated although the answer came.
func TestIdempotentIsRetried(t *testing.T) {
	b := newBed(t)
	spare := standin.NewService(standin.ServiceConfig{})
	e := b.pools[1].Endpoints[0]
	e.Name, e.Addr = "s", serve(t, spare)
	b.pools[1].Endpoints[0].Name = "s"
	b.service.SetFaults(standin.ServiceFaults{DisconnectBeforeExecuting: true})
	addr := b.gateway("vm-1", func(o *Options) {
		e.Name = "spare"
		o.Balancer.UpdateEndpoint("svc", balancer.Endpoint{Endpoint: e})
	})
	for range 6 {
		if r := b.call("GET", addr, "/svc/harvest/x?q=1", "rope", ""); r.status != 200 || !strings.Contains(r.body, `"path":"/x"`) {
			t.Fatalf("got %d %s", r.status, r.body)
		}
	}
	if spare.TotalExecutions() != 6 {
		t.Fatalf("%d runs", spare.TotalExecutions())
	}
}

// Guards against non-idempotent work without a claim while the platform is out, and against refusals that turn out false.
func TestPlatformFaults(t *testing.T) {
	b := newBed(t)
	addr := b.gateway("vm-1")
	b.platform.SetFaults(memplatform.Faults{Down: true})
	r := b.declare(addr, "k", "{}")
	if r.err.Kind != apierror.Unavailable || r.err.Execution != apierror.NotExecuted || b.service.TotalExecutions() != 0 {
		t.Fatalf("an outage gave %d %s after %d runs", r.status, r.body, b.service.TotalExecutions())
	}
	if r := b.call("GET", addr, "/svc/harvest/x", "rope", ""); r.status != 200 {
		t.Fatalf("idempotent work stopped: %d %s", r.status, r.body)
	}
	b.platform.SetFaults(memplatform.Faults{})
	if err := b.gateways["vm-1"].opts.Claims.(*claim.Store).Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	b.platform.SetFaults(memplatform.Faults{LoseAnswers: 1})
	if r := b.declare(addr, "k", "{}"); r.status != 200 || b.service.TotalExecutions() != 2 {
		t.Fatalf("after the outage, with a lost answer: %d %s, %d runs", r.status, r.body, b.service.TotalExecutions())
	}
}

// Guards against a claim that blocks its key although nothing was sent.
func TestUnreachableServiceReleasesClaim(t *testing.T) {
	b := newBed(t)
	addr := b.pools[1].Endpoints[0].Addr
	b.pools[1].Endpoints[0].Addr = "127.0.0.1:1"
	r := b.declare(b.gateway("vm-1"), "k", "{}")
	if r.err.Execution != apierror.NotExecuted || r.status != 503 {
		t.Fatalf("got %d %s", r.status, r.body)
	}
	b.pools[1].Endpoints[0].Addr = addr
	if r := b.declare(b.gateway("vm-2"), "k", "{}"); r.status != 200 {
		t.Fatalf("the repeat got %d %s", r.status, r.body)
	}
}

// pausedClaims returns from CreateClaim late, as in a process that was paused after its claim was written.
type pausedClaims struct{ claim.Claims }

func (p pausedClaims) CreateClaim(ctx context.Context, c apitypes.Claim) (apitypes.Claim, bool, error) {
	existing, won, err := p.Claims.CreateClaim(ctx, c)
	time.Sleep(20 * time.Millisecond)
	return existing, won, err
}

// Guards against a second run by a gateway that wakes after its claim was reconciled as not run.
func TestPausedGatewaySendsNothing(t *testing.T) {
	b := newBed(t)
	paused := b.gateway("vm-1", func(o *Options) { o.Claims, o.DispatchTimeout = pausedClaims{o.Claims}, 10*time.Millisecond })
	if r := b.declare(paused, "k", "{}"); r.err.Execution != apierror.NotExecuted || b.service.TotalExecutions() != 0 {
		t.Fatalf("got %d %s", r.status, r.body)
	}
	if r := b.declare(b.gateway("vm-2"), "k", "{}"); r.status != 200 || b.service.TotalExecutions() != 1 {
		t.Fatalf("the repeat got %d %s", r.status, r.body)
	}
}

// Guards against a withdrawn key whose waiting call is sent, and against a dispatched call that its withdrawal cuts.
func TestWithdrawalOfNonIdempotentCalls(t *testing.T) {
	b := newBed(t)
	b.service.SetFaults(standin.ServiceFaults{ExecutionDelay: time.Second})
	addr := b.gateway("vm-1", func(o *Options) { o.Admission.SetCapacity("svc", 1, 1000) })
	replies := [2]chan reply{make(chan reply, 1), make(chan reply, 1)}
	go func() { replies[0] <- b.declare(addr, "k1", "{}") }()
	for b.service.TotalExecutions() == 0 {
		time.Sleep(time.Millisecond)
	}
	go func() { replies[1] <- b.declare(addr, "k2", "{}") }()
	for b.gateways["vm-1"].InFlight() < 2 {
		time.Sleep(time.Millisecond)
	}
	b.withdraw("rope")
	if r := <-replies[0]; r.status != 200 {
		t.Fatalf("a dispatched call got %d %s", r.status, r.body)
	}
	if r := <-replies[1]; r.err.Kind != apierror.KeyWithdrawn || r.err.Execution != apierror.NotExecuted || b.service.TotalExecutions() != 1 {
		t.Fatalf("a waiting call got %d %s", r.status, r.body)
	}
}
