package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/standin"
)

// keepDeclaring runs callers that file one declaration after another at the addresses of GET /v1/entry. The returned function stops
// them and waits for their last answers.
func (d *declarations) keepDeclaring(callers int) (stop func()) {
	done := make(chan struct{})
	var all sync.WaitGroup
	for caller := range callers {
		all.Go(func() {
			var vms []int
			var until time.Time
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				if !time.Now().Before(until) {
					vms, until = d.c.entry(vms)
				}
				key := fmt.Sprintf("caller-%d-%d", caller, n)
				d.submit(vms[n%len(vms)], key, declaredBody(key))
			}
		})
	}
	return func() {
		close(done)
		all.Wait()
	}
}

// work returns the requests that each endpoint has got, and those that it runs now.
func (c *cluster) work(endpoint string) (got, running int) {
	if e, ok := c.engines[endpoint]; ok {
		return len(e.Requests()), c.loadOf(endpoint).Running
	}
	return len(c.services[endpoint].Calls()), c.loadOf(endpoint).Running
}

// loadOf asks an endpoint for its load.
func (c *cluster) loadOf(endpoint string) (load apitypes.Load) {
	for _, pool := range c.pools {
		for _, e := range pool.Endpoints {
			if e.Name != endpoint {
				continue
			}
			resp, err := c.client.Get("http://" + e.Addr + "/v1/load")
			if err != nil {
				c.t.Fatal(err)
			}
			defer resp.Body.Close()
			if err := json.NewDecoder(resp.Body).Decode(&load); err != nil {
				c.t.Error(err)
			}
		}
	}
	return load
}

// cleanOne waits until the provider is told to clean an endpoint, checks that it runs nothing and gets nothing until it is clean, and
// waits until it is back in service.
func (c *cluster) cleanOne(pool, endpoint string, engine bool) {
	state := func() apitypes.EndpointState {
		v, err := c.mem.Endpoints(context.Background(), pool)
		i := slices.IndexFunc(v.Endpoints, func(e apitypes.Endpoint) bool { return e.Name == endpoint })
		if err != nil || i < 0 {
			c.t.Errorf("the provider does not list %s: %v", endpoint, err)
			return ""
		}
		return v.Endpoints[i].State
	}
	before, _ := c.work(endpoint)
	if before == 0 {
		c.t.Errorf("%s got no work before its cleaning", endpoint)
	}
	c.await("the clean order of "+endpoint, func() bool { return state() == apitypes.EndpointCleaning })
	got, running := c.work(endpoint)
	if running != 0 {
		c.t.Errorf("%s is cleaned under %d requests", endpoint, running)
	}
	time.Sleep(cleaningTime)
	if after, _ := c.work(endpoint); after != got {
		c.t.Errorf("%s got %d requests while it was cleaned", endpoint, after-got)
	}
	if draining := c.loadOf(endpoint).Draining; draining != engine {
		c.t.Errorf("%s is draining: %v, while it is cleaned", endpoint, draining)
	}
	c.mem.SetEndpointState(pool, endpoint, apitypes.EndpointReady, "")
	c.await("work at "+endpoint+" after its cleaning", func() bool {
		after, _ := c.work(endpoint)
		return after > got
	})
}

// cleaningTime is how long the provider takes to clean an endpoint.
const cleaningTime = time.Second

// Guards against a cleaning that cuts a stream or a non-idempotent call, or leaves its endpoint out of service: the controllers' own
// planners clean an engine and a plain service under load (G2, G9).
func TestCleaningUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{engines: 6, services: 3, checksFence: true, engine: standin.EngineConfig{DecodeRate: 40},
		service: standin.ServiceConfig{Faults: standin.ServiceFaults{ExecutionDelay: 300 * time.Millisecond}}, beforeStart: leaveCleanings})
	d := &declarations{c: c}
	stopStreams, stopDeclaring := c.stream(3), d.keepDeclaring(4)
	c.await("work at the endpoints that are due", func() bool {
		streams, _ := c.work("logreader-1")
		calls, _ := c.work("quayside-1")
		return streams > 2 && calls > 2
	})
	var both sync.WaitGroup
	for pool, engine := range map[string]bool{"logreader": true, "quayside": false} {
		p := c.pools[pool]
		p.CleanEveryHours = 24
		c.put("pool", pool, p)
		both.Go(func() { c.cleanOne(pool, pool+"-1", engine) })
	}
	both.Wait()
	stopStreams()
	stopDeclaring()
	d.settle()
	d.check()
	c.checkWhole()
}

// leaveCleanings records the last cleanings of all endpoints: the first of each pool was cleaned a day ago, which is not due while
// the pool is cleaned once a week.
func leaveCleanings(c *cluster) {
	for name, pool := range c.pools {
		cleaned := make(map[string]int64)
		for _, e := range pool.Endpoints {
			cleaned[e.Name] = time.Now().UnixMilli()
		}
		cleaned[name+"-1"] = time.Now().Add(-24 * time.Hour).UnixMilli()
		data, err := json.Marshal(apitypes.PoolOrders{Cleaned: cleaned})
		if err != nil {
			c.t.Fatal(err)
		}
		if _, err := c.mem.Put(context.Background(), apitypes.KindOrders, name, data, 0); err != nil {
			c.t.Fatal(err)
		}
	}
}

// Guards against an answer that is cut at a VM that the platform lists as leaving or has removed from its list while the VM still
// serves: callers that keep its address, and calls in progress (G11).
func TestLeavingVMsCutNoAnswer(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{engines: 3, services: 2, engine: standin.EngineConfig{DecodeRate: 40},
		service: standin.ServiceConfig{Faults: standin.ServiceFaults{ExecutionDelay: 500 * time.Millisecond}}})
	d := &declarations{c: c}
	stopStreams, stopDeclaring := c.stream(8), d.keepDeclaring(4)
	leaving := c.vms[3]
	c.awaitStreams(leaving.Name, 4)
	list := func(change func(vms []apitypes.VM) []apitypes.VM) {
		vms, err := c.mem.ListVMs(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		c.mem.SetVMs(change(vms))
	}
	list(func(vms []apitypes.VM) []apitypes.VM {
		vms[3].State = apitypes.VMLeaving
		return vms
	})
	c.awaitOutOfEntry(leaving)
	c.awaitStreams(c.vms[0].Name, 8)
	list(func(vms []apitypes.VM) []apitypes.VM { return vms[:3] })
	c.awaitStreams(c.vms[0].Name, 16)
	// A caller that kept the address goes on to use the VM.
	for n := range 4 {
		prompt, start := fmt.Sprint("late call ", n), time.Now()
		r := c.chat(leaving.index, "skippers", prompt, 8, true)
		c.record(leaving.index, "skippers", "chat", start, r, expected(prompt, 8))
		d.submit(leaving.index, prompt, declaredBody(prompt))
	}
	// These streams outlast the time in which the gateway serves on: 1 s of lifetime and 2 s of notice.
	stopLate := c.streamAt(leaving, 3, 200)
	if err := leaving.gateway.Terminate(); err != nil {
		t.Fatal(err)
	}
	stopLate()
	select {
	case <-leaving.gateway.Done():
	case <-time.After(patience):
		t.Fatal("the gateway did not stop")
	}
	if err := leaving.gateway.Err(); err != nil {
		t.Errorf("the gateway ended with %v", err)
	}
	stopStreams()
	stopDeclaring()
	d.settle()
	d.check()
	c.checkWhole()
}

// streamAt sends a few long streams to one VM and returns, when they are in progress, a function that waits for their answers.
func (c *cluster) streamAt(v *vm, callers, tokens int) (wait func()) {
	var all sync.WaitGroup
	before := c.engineRequests()
	for i := range callers {
		all.Go(func() {
			prompt, start := fmt.Sprintf("long call %d at %s", i, v.Name), time.Now()
			r := c.chat(v.index, "skippers", prompt, tokens, true)
			c.record(v.index, "skippers", "chat", start, r, expected(prompt, tokens))
		})
	}
	c.await("streams at "+v.Name, func() bool { return c.engineRequests() >= before+callers })
	return all.Wait
}

// awaitOutOfEntry waits until no other VM names a VM's address to callers.
func (c *cluster) awaitOutOfEntry(v *vm) {
	c.await(v.Name+" to leave discovery", func() bool {
		for _, other := range c.vms {
			if other == v {
				continue
			}
			resp, err := c.client.Get("http://" + other.GatewayAddr + "/v1/entry")
			if err != nil {
				return false
			}
			var answer struct{ Addresses []string }
			err = json.NewDecoder(resp.Body).Decode(&answer)
			resp.Body.Close()
			if err != nil || resp.StatusCode != http.StatusOK || slices.Contains(answer.Addresses, v.GatewayAddr) {
				return false
			}
		}
		return true
	})
}
