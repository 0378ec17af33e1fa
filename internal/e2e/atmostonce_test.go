package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/fault"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
	"crocusglade.example/crocusglade/internal/standin"
)

// restartGateway kills a VM's gateway and starts a new one.
func (c *cluster) restartGateway(v *vm) {
	if err := v.gateway.Kill(); err != nil {
		c.t.Error(err)
	}
	c.startGateway(v)
}

// submitAt starts a submission and returns a function that waits for its reply.
func (d *declarations) submitAt(vm int, key string) func() reply {
	done := make(chan reply, 1)
	go func() { done <- d.submit(vm, key, declaredBody(key)) }()
	return func() reply { return <-done }
}

// serviceFaults sets the faults of all services.
func (c *cluster) serviceFaults(f standin.ServiceFaults) {
	for _, s := range c.services {
		s.SetFaults(f)
	}
}

func (c *cluster) executed() int { return len(c.executions()) }

// Guards against a declaration that runs twice, or whose outcome is lost, when its caller repeats it at other gateways while
// the endpoint is slow, cuts its answer, or the platform loses answers or is out.
func TestRepeatsAtOtherGatewaysRunOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{services: 2})
	d := &declarations{c: c}

	c.serviceFaults(standin.ServiceFaults{ExecutionDelay: 400 * time.Millisecond})
	first := d.submitAt(0, "slow")
	c.await("the slow execution", func() bool { return c.executed() == 1 })
	for vm := 1; vm < vmCount; vm++ {
		if r := d.submit(vm, "slow", declaredBody("slow")); r.err.Kind != apierror.InProgress && !r.whole {
			t.Errorf("a repeat at once got %d %s", r.status, r.body)
		}
	}
	if r := first(); !r.whole {
		t.Errorf("the slow call got %d %s", r.status, r.body)
	}

	c.serviceFaults(standin.ServiceFaults{DisconnectAfterExecuting: true, MaxCalls: 1})
	d.submit(1, "cut", declaredBody("cut"))
	c.serviceFaults(standin.ServiceFaults{DisconnectBeforeExecuting: true, MaxCalls: 1})
	if r := d.submit(2, "cut before", declaredBody("cut before")); r.err.Execution == apierror.NotExecuted {
		t.Errorf("a call that was sent and cut was refused as not run")
	}
	c.serviceFaults(standin.ServiceFaults{MismatchedRequestID: true, MaxCalls: 1})
	d.submit(3, "crossed", declaredBody("crossed"))
	c.serviceFaults(standin.ServiceFaults{ShortBody: true, MaxCalls: 1})
	d.submit(3, "short", declaredBody("short"))
	c.serviceFaults(standin.ServiceFaults{})

	c.mem.UpdateFaults(func(f *memplatform.Faults) { f.LoseAnswers = 3 })
	d.submit(0, "lost", declaredBody("lost"))

	c.mem.UpdateFaults(func(f *memplatform.Faults) { f.Down = true })
	for vm := range vmCount {
		if r := d.submit(vm, "outage", declaredBody("outage")); r.err.Execution != apierror.NotExecuted {
			t.Errorf("a call in an outage got %d %s", r.status, r.body)
		}
	}
	c.mem.UpdateFaults(func(f *memplatform.Faults) { f.Down = false })
	d.settle()

	for _, key := range d.keys() {
		for vm := range vmCount {
			d.submit(vm, key, declaredBody(key))
		}
	}
	if r := d.submit(1, "slow", `{"another":"body"}`); r.err.Kind != apierror.IdempotencyMismatch {
		t.Errorf("a key with another body got %d %s", r.status, r.body)
	}
	d.settle()
	d.check()
	c.check()
}

// Guards against a declaration that runs twice, or is lost in silence, when its gateway is killed before the call, between
// claim and outcome, and after the outcome, while its caller repeats it elsewhere.
func TestKilledGatewayLosesNoDeclaration(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{services: 2})
	d := &declarations{c: c}

	d.awaitInstance(c.vms[2])

	// After the outcome.
	if r := d.submit(0, "after", declaredBody("after")); !r.whole {
		t.Fatalf("the call got %d %s", r.status, r.body)
	}
	c.restartGateway(c.vms[0])

	// Between the dispatch and the outcome. The repeats come before and after the reconciliation.
	c.serviceFaults(standin.ServiceFaults{ExecutionDelay: time.Second})
	before := c.executed()
	call := d.submitAt(1, "between")
	c.await("the execution", func() bool { return c.executed() > before })
	c.restartGateway(c.vms[1])
	call()
	d.submit(2, "between", declaredBody("between"))
	c.serviceFaults(standin.ServiceFaults{})

	// Between the claim and the dispatch: the platform's answer comes late enough to kill the gateway before it.
	c.vms[2].platform.SetDelay(100 * time.Millisecond)
	known := len(c.claims())
	call = d.submitAt(2, "claimed")
	c.awaitNewClaim(known)
	c.vms[2].gateway.Kill()
	call()
	c.vms[2].platform.SetDelay(0)
	d.submit(3, "claimed", declaredBody("claimed"))

	// Before the call: nobody listens.
	d.submit(2, "before", declaredBody("before"))
	d.submit(3, "before", declaredBody("before"))
	c.startGateway(c.vms[2])
	for _, v := range c.vms {
		c.awaitReady(v)
	}
	d.settle()
	for _, key := range d.keys() {
		for vm := range vmCount {
			if r := d.submit(vm, key, declaredBody(key)); !r.whole {
				t.Errorf("key %s at %s after the reconciliation: %d %s", key, c.vms[vm].Name, r.status, r.body)
			}
		}
	}
	d.settle()
	d.check()
	c.check()
}

// Guards against a gateway that is stopped between claim and dispatch, is given up meanwhile, and sends its call after it
// wakes, when a repeat has run elsewhere.
func TestFrozenGatewayDoesNotDispatchLate(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	d := &declarations{c: c}
	// The VM whose controller reconciles claims has to learn that its own VM has left the list.
	frozen := c.holderOf(string(apitypes.DutyClaims))
	d.awaitInstance(frozen)
	key, call, claimed, claimedAt := d.freezeBeforeDispatch(frozen)
	if r := d.submit((frozen.index+1)%vmCount, key, declaredBody(key)); r.whole {
		t.Error("a repeat ran while the claim was open")
	}
	// The VM leaves the list, so that its claims are reconciled. The endpoint knows nothing of the call.
	var rest []apitypes.VM
	for _, v := range c.vms {
		if v != frozen {
			rest = append(rest, v.VM)
		}
	}
	c.mem.SetVMs(rest)
	c.await("a repeat to run", func() bool { return d.submit((frozen.index+2)%vmCount, key, declaredBody(key)).whole })
	time.Sleep(time.Until(claimedAt.Add(dispatchLimit + time.Second)))
	c.listVMs()
	if err := frozen.gateway.Resume(); err != nil {
		t.Fatal(err)
	}
	if r := call(); r.whole && r.executionID() == claimed.RequestID {
		t.Errorf("the frozen gateway's call ran: %s", r.body)
	}
	d.settle()
	d.check()
	c.check()
}

// freezeBeforeDispatch submits a call at a gateway and freezes the gateway after it has claimed the call's key and before it has sent the
// call. On a busy machine the freeze may come too late; it is tried again with another key then.
func (d *declarations) freezeBeforeDispatch(v *vm) (key string, call func() reply, claimed apitypes.Claim, claimedAt time.Time) {
	d.c.t.Helper()
	const tries = 5
	for try := range tries {
		key = fmt.Sprintf("frozen-%d", try)
		v.platform.SetDelay(200 * time.Millisecond)
		known := len(d.c.claims())
		call = d.submitAt(v.index, key)
		claimed = d.c.awaitNewClaim(known)
		claimedAt = time.Now()
		if err := v.gateway.Suspend(); err != nil {
			d.c.t.Fatal(err)
		}
		v.platform.SetDelay(0)
		// A call that left before the freeze arrives meanwhile.
		time.Sleep(300 * time.Millisecond)
		if _, ran := d.c.executions()[claimed.RequestID]; !ran {
			return key, call, claimed, claimedAt
		}
		if err := v.gateway.Resume(); err != nil {
			d.c.t.Fatal(err)
		}
		call()
	}
	d.c.t.Fatalf("in %d tries each call was sent before its gateway was frozen", tries)
	return key, call, claimed, claimedAt
}

// holderOf returns the VM whose controller holds a lease.
func (c *cluster) holderOf(lease string) *vm {
	c.t.Helper()
	var holder *vm
	c.await("a holder of the lease "+lease, func() bool {
		o, err := c.mem.Get(context.Background(), apitypes.KindLease, lease)
		var l apitypes.Lease
		if err != nil || json.Unmarshal(o.Data, &l) != nil {
			return false
		}
		for _, v := range c.vms {
			if l.Holder == v.Name || strings.HasPrefix(l.Holder, v.Name+".") || strings.HasPrefix(l.Holder, v.Name+"@") || strings.HasPrefix(l.Holder, v.Name+"/") {
				holder = v
			}
		}
		return holder != nil
	})
	return holder
}

// Guards against a refusal that says "not run" for a request that reached an endpoint: requests of both kinds while each step
// between admission and first byte fails.
func TestNotRunIsTrue(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{engines: 2, services: 2, engine: standin.EngineConfig{Slots: 2, DecodeRate: 400}})
	d := &declarations{c: c}
	steps := []struct {
		name       string
		start, end func()
	}{
		{"engines cut at once", func() { c.engineFaults(standin.EngineFaults{DisconnectAfter: -1}) }, func() { c.engineFaults(standin.EngineFaults{}) }},
		{"engines stop in mid-stream", func() { c.engineFaults(standin.EngineFaults{DisconnectAfter: 3, RefuseResume: true}) }, func() { c.engineFaults(standin.EngineFaults{}) }},
		{"engines answer garbage", func() { c.engineFaults(standin.EngineFaults{InvalidDataAfter: -1}) }, func() { c.engineFaults(standin.EngineFaults{}) }},
		{"engines answer others", func() { c.engineFaults(standin.EngineFaults{MismatchedRequestID: true}) }, func() { c.engineFaults(standin.EngineFaults{}) }},
		{"engines down", func() { c.crashEngines(500 * time.Millisecond) }, func() {}},
		{"services cut before executing", func() { c.serviceFaults(standin.ServiceFaults{DisconnectBeforeExecuting: true}) }, func() { c.serviceFaults(standin.ServiceFaults{}) }},
		{"services cut after executing", func() { c.serviceFaults(standin.ServiceFaults{DisconnectAfterExecuting: true}) }, func() { c.serviceFaults(standin.ServiceFaults{}) }},
		{"services refuse", func() { c.serviceFaults(standin.ServiceFaults{RefuseBeforeExecuting: true}) }, func() { c.serviceFaults(standin.ServiceFaults{}) }},
		{"services refuse after executing", func() { c.serviceFaults(standin.ServiceFaults{RefuseAfterExecuting: true}) }, func() { c.serviceFaults(standin.ServiceFaults{}) }},
		{"platform out", func() { c.mem.UpdateFaults(func(f *memplatform.Faults) { f.Down = true }) }, func() { c.mem.UpdateFaults(func(f *memplatform.Faults) { f.Down = false }) }},
		{"platform's answers lost", func() { c.mem.UpdateFaults(func(f *memplatform.Faults) { f.LoseAnswers = 20 }) }, func() { c.mem.UpdateFaults(func(f *memplatform.Faults) { f.LoseAnswers = 0 }) }},
		{"platform's answers held back", func() { c.platformLinks(fault.BlockResponses) }, func() { c.platformLinks(fault.ForwardAll) }},
		{"a gateway cut off", func() { c.isolate(c.vms[0], true) }, func() { c.heal(c.vms[0]) }},
	}
	for i, s := range steps {
		s.start()
		var calls sync.WaitGroup
		for n := range 12 {
			calls.Go(func() {
				prompt, start := fmt.Sprintf("%s %d", s.name, n), time.Now()
				c.record(n%vmCount, "clerks", "chat", start, c.chat(n%vmCount, "clerks", prompt, 8, n%2 == 0), expected(prompt, 8))
			})
			calls.Go(func() {
				key := fmt.Sprintf("step-%d-%d", i, n)
				d.submit(n%vmCount, key, declaredBody(key))
			})
			calls.Go(func() {
				// The caller leaves soon, or gives a deadline that may not be met.
				path, header := fmt.Sprintf("/svc/lines/of/clerks/%d-%d", i, n), map[string]string{"X-Request-Deadline-Ms": fmt.Sprint(1 + n)}
				start := time.Now()
				r := c.call(n%vmCount, "clerks", http.MethodGet, path, "", header)
				c.record(n%vmCount, "clerks", "lines", start, r, r.text)
			})
		}
		calls.Wait()
		s.end()
		c.await("service after the step", func() bool {
			for vm := range vmCount {
				if c.call(vm, "clerks", http.MethodGet, "/svc/lines/of/clerks/ready", "", nil).status != http.StatusOK {
					return false
				}
			}
			return true
		})
	}
	notRun := 0
	for _, r := range c.history.Requests {
		if r.RunState == string(apierror.NotExecuted) {
			notRun++
		}
	}
	if notRun == 0 {
		t.Error("no request was refused as not run, so the run shows nothing")
	}
	t.Logf("%d of %d requests were refused as not run", notRun, len(c.history.Requests))
	d.settle()
	d.check()
	c.check()
}

func (c *cluster) engineFaults(f standin.EngineFaults) {
	for _, e := range c.engines {
		e.SetFaults(f)
	}
}

func (c *cluster) crashEngines(downtime time.Duration) {
	for _, e := range c.engines {
		e.Crash(downtime)
	}
}

func (c *cluster) platformLinks(m fault.Mode) {
	for _, v := range c.vms {
		v.platform.SetMode(m)
	}
}

// Guards against an interleaving of submissions at four gateways that no single execution explains, while gateways are
// killed and frozen, services cut answers and the platform fails.
func TestConcurrentSubmissions(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, options{services: 2, service: standin.ServiceConfig{Faults: standin.ServiceFaults{ExecutionDelay: 20 * time.Millisecond}}})
			d := &declarations{c: c}
			ctx, stop := context.WithCancel(context.Background())
			var callers sync.WaitGroup
			for worker := range 8 {
				callers.Go(func() {
					rng := rand.New(rand.NewPCG(seed, uint64(worker)))
					for ctx.Err() == nil {
						key := fmt.Sprintf("declaration-%d", rng.IntN(60))
						d.submit(rng.IntN(vmCount), key, declaredBody(key))
					}
				})
			}
			rng := rand.New(rand.NewPCG(seed, 1000))
			for range 4 {
				v := c.vms[rng.IntN(vmCount)]
				pause := time.Duration(200+rng.IntN(800)) * time.Millisecond
				switch rng.IntN(7) {
				case 0:
					c.restartGateway(v)
				case 1:
					v.gateway.Suspend()
					time.Sleep(pause)
					v.gateway.Resume()
				case 2:
					c.serviceFaults(standin.ServiceFaults{DisconnectAfterExecuting: true, MaxCalls: 3})
				case 3:
					c.mem.UpdateFaults(func(f *memplatform.Faults) { f.LoseAnswers = 5 })
				case 4:
					c.mem.UpdateFaults(func(f *memplatform.Faults) { f.Down = true })
					time.Sleep(pause)
					c.mem.UpdateFaults(func(f *memplatform.Faults) { f.Down = false })
				case 5:
					c.serviceFaults(standin.ServiceFaults{RefuseBeforeExecuting: true, MaxCalls: 20})
				case 6:
					c.serviceFaults(standin.ServiceFaults{RefuseAfterExecuting: true, MaxCalls: 3})
				}
				time.Sleep(pause)
			}
			stop()
			callers.Wait()
			for _, v := range c.vms {
				c.awaitReady(v)
			}
			c.serviceFaults(standin.ServiceFaults{})
			d.settle()
			for _, key := range d.keys() {
				d.submit(rng.IntN(vmCount), key, declaredBody(key))
			}
			d.settle()
			d.check()
			c.check()
		})
	}
}
