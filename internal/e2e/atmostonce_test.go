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

// startSubmit submits a declaration in the background and returns a function that waits for its reply.
func (d *declarations) startSubmit(vm int, key string) func() reply {
	done := make(chan reply, 1)
	go func() { done <- d.submit(vm, key, declarationBody(key)) }()
	return func() reply { return <-done }
}

// setServiceFaults sets the faults of all services.
func (c *cluster) setServiceFaults(f standin.ServiceFaults) {
	for _, s := range c.services {
		s.SetFaults(f)
	}
}

// executionCount returns the number of executed non-idempotent calls.
func (c *cluster) executionCount() int { return len(c.executions()) }

// Guards against a declaration that runs twice, or whose outcome is lost, when its caller repeats it at other gateways while the
// endpoint is slow or disconnects, and while the platform loses responses or is down.
func TestRepeatsAtOtherGatewaysRunOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{services: 2})
	d := &declarations{c: c}

	c.setServiceFaults(standin.ServiceFaults{ExecutionDelay: 400 * time.Millisecond})
	awaitSlow := d.startSubmit(0, "slow")
	c.await("the slow call to execute", func() bool { return c.executionCount() == 1 })
	for vm := 1; vm < vmCount; vm++ {
		if r := d.submit(vm, "slow", declarationBody("slow")); r.err.Kind != apierror.InProgress && !r.complete {
			t.Errorf("a repeat during the execution: status %d: %s", r.status, r.body)
		}
	}
	if r := awaitSlow(); !r.complete {
		t.Errorf("the slow call: status %d: %s", r.status, r.body)
	}

	c.setServiceFaults(standin.ServiceFaults{DisconnectAfterExecuting: true, MaxCalls: 1})
	d.submit(1, "cut", declarationBody("cut"))
	c.setServiceFaults(standin.ServiceFaults{DisconnectBeforeExecuting: true, MaxCalls: 1})
	if r := d.submit(2, "cut before", declarationBody("cut before")); r.err.Execution == apierror.NotExecuted {
		t.Errorf("a call that was sent and then disconnected was refused as not run")
	}
	c.setServiceFaults(standin.ServiceFaults{MismatchedRequestID: true, MaxCalls: 1})
	d.submit(3, "crossed", declarationBody("crossed"))
	c.setServiceFaults(standin.ServiceFaults{ShortBody: true, MaxCalls: 1})
	d.submit(3, "short", declarationBody("short"))
	c.setServiceFaults(standin.ServiceFaults{})

	c.platform.UpdateFaults(func(f *memplatform.Faults) { f.LoseAnswers = 3 })
	d.submit(0, "lost", declarationBody("lost"))

	c.platform.UpdateFaults(func(f *memplatform.Faults) { f.Down = true })
	for vm := range vmCount {
		if r := d.submit(vm, "outage", declarationBody("outage")); r.err.Execution != apierror.NotExecuted {
			t.Errorf("a call during the platform outage: status %d: %s", r.status, r.body)
		}
	}
	c.platform.UpdateFaults(func(f *memplatform.Faults) { f.Down = false })
	d.awaitSettledClaims()

	for _, key := range d.keys() {
		for vm := range vmCount {
			d.submit(vm, key, declarationBody(key))
		}
	}
	if r := d.submit(1, "slow", `{"another":"body"}`); r.err.Kind != apierror.IdempotencyMismatch {
		t.Errorf("a repeat with another body: status %d: %s", r.status, r.body)
	}
	d.awaitSettledClaims()
	d.checkClaims()
	c.checkGuarantees()
}

// Guards against a declaration that runs twice, or is lost without an error, when its gateway is killed before the call, between
// claim and outcome, or after the outcome, while its caller repeats it at other gateways.
func TestKilledGatewayLosesNoDeclaration(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{services: 2})
	d := &declarations{c: c}

	d.awaitInstanceInClaims(c.vms[2])

	// Kill after the outcome.
	if r := d.submit(0, "after", declarationBody("after")); !r.complete {
		t.Fatalf("the call: status %d: %s", r.status, r.body)
	}
	c.restartGateway(c.vms[0])

	// Kill between dispatch and outcome. One repeat comes before the reconciliation of the claim, the others come after it.
	c.setServiceFaults(standin.ServiceFaults{ExecutionDelay: time.Second})
	before := c.executionCount()
	call := d.startSubmit(1, "between")
	c.await("the call to execute", func() bool { return c.executionCount() > before })
	c.restartGateway(c.vms[1])
	call()
	d.submit(2, "between", declarationBody("between"))
	c.setServiceFaults(standin.ServiceFaults{})

	// Kill between claim and dispatch: the platform's response is delayed so that the gateway is killed before it arrives.
	c.vms[2].platformLink.SetDelay(100 * time.Millisecond)
	claimCount := len(c.claims())
	call = d.startSubmit(2, "claimed")
	c.awaitNewClaim(claimCount)
	c.vms[2].gateway.Kill()
	call()
	c.vms[2].platformLink.SetDelay(0)
	d.submit(3, "claimed", declarationBody("claimed"))

	// Kill before the call: the gateway is not running.
	d.submit(2, "before", declarationBody("before"))
	d.submit(3, "before", declarationBody("before"))
	c.startGateway(c.vms[2])
	for _, v := range c.vms {
		c.awaitReady(v)
	}
	d.awaitSettledClaims()
	for _, key := range d.keys() {
		for vm := range vmCount {
			if r := d.submit(vm, key, declarationBody(key)); !r.complete {
				t.Errorf("key %s at %s after the reconciliation: status %d: %s", key, c.vms[vm].Name, r.status, r.body)
			}
		}
	}
	d.awaitSettledClaims()
	d.checkClaims()
	c.checkGuarantees()
}

// Guards against a call that runs twice because its gateway is frozen between claim and dispatch, its claim is reconciled to "not
// run", a repeat runs at another gateway, and the resumed gateway then dispatches its call.
func TestFrozenGatewayDoesNotDispatchLate(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	d := &declarations{c: c}
	// The VM is the one whose controller reconciles claims, so that this controller must notice that its own VM has left the list.
	frozen := c.leaseHolder(string(apitypes.DutyClaims))
	d.awaitInstanceInClaims(frozen)
	key, call, claimed, claimedAt := d.freezeBeforeDispatch(frozen)
	if r := d.submit((frozen.index+1)%vmCount, key, declarationBody(key)); r.complete {
		t.Error("a repeat ran while the claim was open")
	}
	// The VM leaves the list, so that its claims are reconciled. The endpoint has not received the call.
	var remaining []apitypes.VM
	for _, v := range c.vms {
		if v != frozen {
			remaining = append(remaining, v.VM)
		}
	}
	c.platform.SetVMs(remaining)
	c.await("a repeat to run", func() bool { return d.submit((frozen.index+2)%vmCount, key, declarationBody(key)).complete })
	time.Sleep(time.Until(claimedAt.Add(dispatchTimeout + time.Second)))
	c.registerVMs()
	if err := frozen.gateway.Resume(); err != nil {
		t.Fatal(err)
	}
	if r := call(); r.complete && r.executionID() == claimed.RequestID {
		t.Errorf("the call of the frozen gateway ran: %s", r.body)
	}
	d.awaitSettledClaims()
	d.checkClaims()
	c.checkGuarantees()
}

// freezeBeforeDispatch submits a call at a gateway and freezes the gateway after it has written the claim and before it
// dispatches the call. On a busy machine the freeze may come too late; it is then retried with another key. It returns the
// idempotency key, a function that waits for the reply, and the claim with the time at which it was found.
func (d *declarations) freezeBeforeDispatch(v *vm) (key string, call func() reply, claimed apitypes.Claim, claimedAt time.Time) {
	d.c.t.Helper()
	const attempts = 5
	for attempt := range attempts {
		key = fmt.Sprintf("frozen-%d", attempt)
		v.platformLink.SetDelay(200 * time.Millisecond)
		claimCount := len(d.c.claims())
		call = d.startSubmit(v.index, key)
		claimed = d.c.awaitNewClaim(claimCount)
		claimedAt = time.Now()
		if err := v.gateway.Suspend(); err != nil {
			d.c.t.Fatal(err)
		}
		v.platformLink.SetDelay(0)
		// Leaves time for the arrival of a call that was dispatched before the freeze.
		time.Sleep(300 * time.Millisecond)
		if _, ran := d.c.executions()[claimed.RequestID]; !ran {
			return key, call, claimed, claimedAt
		}
		if err := v.gateway.Resume(); err != nil {
			d.c.t.Fatal(err)
		}
		call()
	}
	d.c.t.Fatalf("each of %d calls was dispatched before its gateway was frozen", attempts)
	return key, call, claimed, claimedAt
}

// leaseHolder waits until a lease is held and returns the VM whose controller holds it.
func (c *cluster) leaseHolder(lease string) *vm {
	c.t.Helper()
	var holder *vm
	c.await("a holder of lease "+lease, func() bool {
		o, err := c.platform.Get(context.Background(), apitypes.KindLease, lease)
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

// Guards against an error that says "not run" for a request that reached an endpoint: requests to engines and to services run
// while each step between admission and first byte fails.
func TestNotRunMeansNotExecuted(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{engines: 2, services: 2, engine: standin.EngineConfig{Slots: 2, DecodeRate: 400}})
	d := &declarations{c: c}
	steps := []struct {
		name       string
		start, end func()
	}{
		{"engines cut at once", func() { c.setEngineFaults(standin.EngineFaults{DisconnectAfter: -1}) }, func() { c.setEngineFaults(standin.EngineFaults{}) }},
		{"engines stop in mid-stream", func() { c.setEngineFaults(standin.EngineFaults{DisconnectAfter: 3, RefuseResume: true}) }, func() { c.setEngineFaults(standin.EngineFaults{}) }},
		{"engines answer garbage", func() { c.setEngineFaults(standin.EngineFaults{InvalidDataAfter: -1}) }, func() { c.setEngineFaults(standin.EngineFaults{}) }},
		{"engines answer others", func() { c.setEngineFaults(standin.EngineFaults{MismatchedRequestID: true}) }, func() { c.setEngineFaults(standin.EngineFaults{}) }},
		{"engines down", func() { c.crashEngines(500 * time.Millisecond) }, func() {}},
		{"services cut before executing", func() { c.setServiceFaults(standin.ServiceFaults{DisconnectBeforeExecuting: true}) }, func() { c.setServiceFaults(standin.ServiceFaults{}) }},
		{"services cut after executing", func() { c.setServiceFaults(standin.ServiceFaults{DisconnectAfterExecuting: true}) }, func() { c.setServiceFaults(standin.ServiceFaults{}) }},
		{"services refuse", func() { c.setServiceFaults(standin.ServiceFaults{RefuseBeforeExecuting: true}) }, func() { c.setServiceFaults(standin.ServiceFaults{}) }},
		{"services refuse after executing", func() { c.setServiceFaults(standin.ServiceFaults{RefuseAfterExecuting: true}) }, func() { c.setServiceFaults(standin.ServiceFaults{}) }},
		{"platform out", func() { c.platform.UpdateFaults(func(f *memplatform.Faults) { f.Down = true }) }, func() { c.platform.UpdateFaults(func(f *memplatform.Faults) { f.Down = false }) }},
		{"platform's answers lost", func() { c.platform.UpdateFaults(func(f *memplatform.Faults) { f.LoseAnswers = 20 }) }, func() { c.platform.UpdateFaults(func(f *memplatform.Faults) { f.LoseAnswers = 0 }) }},
		{"platform's answers held back", func() { c.setPlatformLinks(fault.BlockResponses) }, func() { c.setPlatformLinks(fault.ForwardAll) }},
		{"a gateway cut off", func() { c.partition(c.vms[0], true) }, func() { c.heal(c.vms[0]) }},
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
				d.submit(n%vmCount, key, declarationBody(key))
			})
			calls.Go(func() {
				// A deadline of 1 to 12 ms, which may be missed.
				path, header := fmt.Sprintf("/svc/lines/of/clerks/%d-%d", i, n), map[string]string{"X-Request-Deadline-Ms": fmt.Sprint(1 + n)}
				start := time.Now()
				r := c.call(n%vmCount, "clerks", http.MethodGet, path, "", header)
				c.record(n%vmCount, "clerks", "lines", start, r, r.text)
			})
		}
		calls.Wait()
		s.end()
		c.await("all gateways to serve after the step", func() bool {
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
		t.Error("no request was refused as not run, so the run tested nothing")
	}
	t.Logf("%d of %d requests were refused as not run", notRun, len(c.history.Requests))
	d.awaitSettledClaims()
	d.checkClaims()
	c.checkGuarantees()
}

func (c *cluster) setEngineFaults(f standin.EngineFaults) {
	for _, e := range c.engines {
		e.SetFaults(f)
	}
}

func (c *cluster) crashEngines(downtime time.Duration) {
	for _, e := range c.engines {
		e.Crash(downtime)
	}
}

func (c *cluster) setPlatformLinks(m fault.Mode) {
	for _, v := range c.vms {
		v.platformLink.SetMode(m)
	}
}

// Guards against concurrent submissions of one declaration at four gateways whose outcomes don't match a single execution, while
// gateways are killed and frozen, services disconnect or refuse, and the platform fails.
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
						d.submit(rng.IntN(vmCount), key, declarationBody(key))
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
					c.setServiceFaults(standin.ServiceFaults{DisconnectAfterExecuting: true, MaxCalls: 3})
				case 3:
					c.platform.UpdateFaults(func(f *memplatform.Faults) { f.LoseAnswers = 5 })
				case 4:
					c.platform.UpdateFaults(func(f *memplatform.Faults) { f.Down = true })
					time.Sleep(pause)
					c.platform.UpdateFaults(func(f *memplatform.Faults) { f.Down = false })
				case 5:
					c.setServiceFaults(standin.ServiceFaults{RefuseBeforeExecuting: true, MaxCalls: 20})
				case 6:
					c.setServiceFaults(standin.ServiceFaults{RefuseAfterExecuting: true, MaxCalls: 3})
				}
				time.Sleep(pause)
			}
			stop()
			callers.Wait()
			for _, v := range c.vms {
				c.awaitReady(v)
			}
			c.setServiceFaults(standin.ServiceFaults{})
			d.awaitSettledClaims()
			for _, key := range d.keys() {
				d.submit(rng.IntN(vmCount), key, declarationBody(key))
			}
			d.awaitSettledClaims()
			d.checkClaims()
			c.checkGuarantees()
		})
	}
}
