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

// startCallers runs callers that submit one declaration after another to the addresses that GET /v1/entry returns. The returned
// function stops them and waits for their last replies.
func (d *declarations) startCallers(callers int) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	for caller := range callers {
		running.Go(func() {
			var vms []int
			var expiry time.Time
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				if !time.Now().Before(expiry) {
					vms, expiry = d.c.fetchEntry(vms)
				}
				key := fmt.Sprintf("caller-%d-%d", caller, n)
				d.submit(vms[n%len(vms)], key, declarationBody(key))
			}
		})
	}
	return func() {
		close(done)
		running.Wait()
	}
}

// requestCounts returns the number of requests that an endpoint has received and the number that it runs now.
func (c *cluster) requestCounts(endpoint string) (received, running int) {
	if e, ok := c.engines[endpoint]; ok {
		return len(e.Requests()), c.fetchLoad(endpoint).Running
	}
	return len(c.services[endpoint].Calls()), c.fetchLoad(endpoint).Running
}

// fetchLoad returns the load that an endpoint reports.
func (c *cluster) fetchLoad(endpoint string) (load apitypes.Load) {
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

// checkCleaning waits until the provider gets the order to clean an endpoint, checks that the endpoint runs no request and
// receives none while it is cleaned, and waits until it is back in service. engine is true for an engine, which reports that it
// is draining.
func (c *cluster) checkCleaning(pool, endpoint string, engine bool) {
	state := func() apitypes.EndpointState {
		v, err := c.platform.Endpoints(context.Background(), pool)
		i := slices.IndexFunc(v.Endpoints, func(e apitypes.Endpoint) bool { return e.Name == endpoint })
		if err != nil || i < 0 {
			c.t.Errorf("the provider does not list %s: %v", endpoint, err)
			return ""
		}
		return v.Endpoints[i].State
	}
	before, _ := c.requestCounts(endpoint)
	if before == 0 {
		c.t.Errorf("%s received no request before its cleaning", endpoint)
	}
	c.await("the cleaning of "+endpoint+" to start", func() bool { return state() == apitypes.EndpointCleaning })
	received, running := c.requestCounts(endpoint)
	if running != 0 {
		c.t.Errorf("%s is cleaned while it runs %d requests", endpoint, running)
	}
	time.Sleep(cleaningDuration)
	if after, _ := c.requestCounts(endpoint); after != received {
		c.t.Errorf("%s received %d requests while it was cleaned", endpoint, after-received)
	}
	if draining := c.fetchLoad(endpoint).Draining; draining != engine {
		c.t.Errorf("%s reports draining %v while it is cleaned", endpoint, draining)
	}
	c.platform.SetEndpointState(pool, endpoint, apitypes.EndpointReady, "")
	c.await(endpoint+" to receive requests after its cleaning", func() bool {
		after, _ := c.requestCounts(endpoint)
		return after > received
	})
}

// cleaningDuration is how long the provider takes to clean an endpoint.
const cleaningDuration = time.Second

// Guards against a cleaning that interrupts a stream or a non-idempotent call, or leaves its endpoint out of service. The
// controllers schedule the cleaning of an engine and of a service endpoint under load (guarantees G2 and G9).
func TestCleaningUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{engines: 6, services: 3, checksFence: true, engine: standin.EngineConfig{DecodeRate: 40},
		service: standin.ServiceConfig{Faults: standin.ServiceFaults{ExecutionDelay: 300 * time.Millisecond}}, beforeStart: storeCleaningTimes})
	d := &declarations{c: c}
	stopStreams, stopDeclaring := c.startStreamCallers(3), d.startCallers(4)
	c.await("requests at the endpoints that are due for cleaning", func() bool {
		streams, _ := c.requestCounts("logreader-1")
		calls, _ := c.requestCounts("quayside-1")
		return streams > 2 && calls > 2
	})
	var cleanings sync.WaitGroup
	for pool, engine := range map[string]bool{"logreader": true, "quayside": false} {
		p := c.pools[pool]
		p.CleanEveryHours = 24
		c.put("pool", pool, p)
		cleanings.Go(func() { c.checkCleaning(pool, pool+"-1", engine) })
	}
	cleanings.Wait()
	stopStreams()
	stopDeclaring()
	d.awaitSettledClaims()
	d.checkClaims()
	c.checkAllComplete()
}

// storeCleaningTimes stores the time of the last cleaning of each endpoint: a day ago for the first endpoint of each pool, now
// for the others. The first endpoint is not due while its pool is cleaned once a week; it is due when the interval is 24 hours.
func storeCleaningTimes(c *cluster) {
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
		if _, err := c.platform.Put(context.Background(), apitypes.KindOrders, name, data, 0); err != nil {
			c.t.Fatal(err)
		}
	}
}

// Guards against interrupted answers at a VM that the platform lists as leaving, or has removed from its list, while the VM still
// serves callers that use a known address and requests in progress (guarantee G11).
func TestLeavingVMsInterruptNoAnswer(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{engines: 3, services: 2, engine: standin.EngineConfig{DecodeRate: 40},
		service: standin.ServiceConfig{Faults: standin.ServiceFaults{ExecutionDelay: 500 * time.Millisecond}}})
	d := &declarations{c: c}
	stopStreams, stopDeclaring := c.startStreamCallers(8), d.startCallers(4)
	leaving := c.vms[3]
	c.awaitStreams(leaving.Name, 4)
	updateVMs := func(change func(vms []apitypes.VM) []apitypes.VM) {
		vms, err := c.platform.ListVMs(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		c.platform.SetVMs(change(vms))
	}
	updateVMs(func(vms []apitypes.VM) []apitypes.VM {
		vms[3].State = apitypes.VMLeaving
		return vms
	})
	c.awaitRemovedFromEntry(leaving)
	c.awaitStreams(c.vms[0].Name, 8)
	updateVMs(func(vms []apitypes.VM) []apitypes.VM { return vms[:3] })
	c.awaitStreams(c.vms[0].Name, 16)
	// A caller that still has the address continues to use the VM.
	for n := range 4 {
		prompt, start := fmt.Sprint("late call ", n), time.Now()
		r := c.chat(leaving.index, "skippers", prompt, 8, true)
		c.record(leaving.index, "skippers", "chat", start, r, expected(prompt, 8))
		d.submit(leaving.index, prompt, declarationBody(prompt))
	}
	// These streams last longer than the gateway serves after its termination signal: 1 s of entry lifetime and 2 s of notice.
	awaitLong := c.startLongStreams(leaving, 3, 200)
	if err := leaving.gateway.Terminate(); err != nil {
		t.Fatal(err)
	}
	awaitLong()
	select {
	case <-leaving.gateway.Done():
	case <-time.After(waitTimeout):
		t.Fatal("the gateway did not exit")
	}
	if err := leaving.gateway.Err(); err != nil {
		t.Errorf("the gateway exited with %v", err)
	}
	stopStreams()
	stopDeclaring()
	d.awaitSettledClaims()
	d.checkClaims()
	c.checkAllComplete()
}

// startLongStreams starts streams of the given length in tokens at one VM and waits until the engines have received as many more
// requests. The returned function waits for the end of the streams.
func (c *cluster) startLongStreams(v *vm, callers, tokens int) (wait func()) {
	var running sync.WaitGroup
	before := c.countEngineRequests()
	for i := range callers {
		running.Go(func() {
			prompt, start := fmt.Sprintf("long call %d at %s", i, v.Name), time.Now()
			r := c.chat(v.index, "skippers", prompt, tokens, true)
			c.record(v.index, "skippers", "chat", start, r, expected(prompt, tokens))
		})
	}
	c.await("streams at "+v.Name, func() bool { return c.countEngineRequests() >= before+callers })
	return running.Wait
}

// awaitRemovedFromEntry waits until the GET /v1/entry responses of the other VMs no longer contain a VM's address.
func (c *cluster) awaitRemovedFromEntry(v *vm) {
	c.await(v.Name+" to be removed from GET /v1/entry", func() bool {
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
