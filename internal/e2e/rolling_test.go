package e2e

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/history"
	"crocusglade.example/crocusglade/internal/standin"
)

// maxStreamTokens bounds the length of the streams that startStreamCallers sends. At 40 tokens per second the longest take about
// 1.5 s.
const maxStreamTokens = 60

// startStreamCallers runs callers that send one streamed chat after another, to addresses of GET /v1/entry that they use for
// their full lifetime. The returned function stops them and waits for their last streams.
func (c *cluster) startStreamCallers(callers int) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() { c.runStreamCaller(i, done) })
	}
	return func() {
		close(done)
		running.Wait()
	}
}

// runStreamCaller sends streamed chats of random length to random addresses until done is closed.
func (c *cluster) runStreamCaller(caller int, done <-chan struct{}) {
	var vms []int
	var expiry time.Time
	rng := rand.New(rand.NewSource(int64(caller)))
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		default:
		}
		if !time.Now().Before(expiry) {
			vms, expiry = c.fetchEntry(vms)
		}
		tokens := 4 + rng.Intn(maxStreamTokens-4)
		vm, prompt, start := vms[rng.Intn(len(vms))], fmt.Sprintf("caller %d, call %d", caller, n), time.Now()
		r := c.chat(vm, "skippers", prompt, tokens, true)
		c.record(vm, "skippers", "chat", start, r, expected(prompt, tokens))
	}
}

// fetchEntry gets the addresses to use from GET /v1/entry of the known VMs, or of any other, and returns the indexes of their VMs
// and the time at which they expire.
func (c *cluster) fetchEntry(known []int) ([]int, time.Time) {
	for _, i := range append(slices.Clone(known), 0, 1, 2, 3) {
		resp, err := c.client.Get(c.url(c.vms[i].GatewayAddr) + "/v1/entry")
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			Lifetime  int      `json:"lifetime_seconds"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		resp.Body.Close()
		expiry := time.Now().Add(time.Duration(answer.Lifetime) * time.Second)
		var vms []int
		for j, v := range c.vms {
			if slices.Contains(answer.Addresses, v.GatewayAddr) {
				vms = append(vms, j)
			}
		}
		if err == nil && len(vms) > 0 {
			return vms, expiry
		}
	}
	c.t.Error("no VM returns entry addresses")
	return []int{0}, time.Now().Add(time.Second)
}

// awaitStreams waits until a VM's gateway has given the given number of further complete answers.
func (c *cluster) awaitStreams(vm string, more int) {
	c.t.Helper()
	count := func() int { return c.history.CountCompleteAnswers(vm) }
	before := count()
	c.await("complete answers at "+vm, func() bool { return count() >= before+more })
}

// checkAllComplete checks the guarantees and fails the test when a request has no complete answer. It reports the first ten.
func (c *cluster) checkAllComplete() {
	c.t.Helper()
	incomplete := 0
	for _, r := range c.history.Requests {
		if r.Result == history.ResultComplete {
			continue
		}
		if incomplete++; incomplete <= 10 {
			c.t.Errorf("request %q at %s after %v: result %s, error kind %q, run state %q", r.ID, r.Gateway, r.End.Sub(r.Start), r.Result, r.ErrorKind, r.RunState)
		}
	}
	if len(c.history.Requests) == 0 {
		c.t.Error("no request ran")
	}
	c.checkGuarantees()
}

// Guards against planned stops that interrupt a request: all gateways and controllers are replaced one VM after another under
// streams and non-idempotent calls, and callers use old addresses for their full lifetime (guarantees G11 and G9).
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	flags := []string{"--entry-lifetime=3s"}
	c := newCluster(t, options{engines: 3, services: 2, engine: standin.EngineConfig{DecodeRate: 40}, gatewayFlags: flags,
		service: standin.ServiceConfig{Faults: standin.ServiceFaults{ExecutionDelay: 300 * time.Millisecond}}})
	d := &declarations{c: c}
	stopStreams, stopDeclaring := c.startStreamCallers(12), d.startCallers(4)
	for _, v := range c.vms {
		c.awaitStreams(v.Name, 8)
		c.delayLinks(v, linkDelay)
		// These streams last longer than the gateway serves after its termination signal: 3 s of entry lifetime and 2 s of notice.
		awaitLong := c.startLongStreams(v, 2, 260)
		v.gateway.Terminate()
		v.controller.Terminate()
		for _, p := range []interface {
			Done() <-chan struct{}
			Err() error
		}{v.gateway, v.controller} {
			select {
			case <-p.Done():
			case <-time.After(waitTimeout):
				t.Fatalf("a process of %s did not exit", v.Name)
			}
			if p.Err() != nil {
				t.Errorf("a process of %s exited with %v", v.Name, p.Err())
			}
		}
		awaitLong()
		c.delayLinks(v, 0)
		c.startController(v)
		c.startGateway(v, flags...)
		c.awaitReady(v)
	}
	stopStreams()
	stopDeclaring()
	d.awaitSettledClaims()
	d.checkClaims()
	c.checkAllComplete()
}

// linkDelay delays the message by which the other VMs see that a gateway leaves discovery, which they otherwise receive at once.
// Until then they return its address to callers. The delay is below the heartbeat period of 1 s.
const linkDelay = 500 * time.Millisecond

// delayLinks delays the traffic between a VM and the other VMs in both directions.
func (c *cluster) delayLinks(v *vm, d time.Duration) {
	for _, other := range c.vms {
		if other == v {
			continue
		}
		for i := range 2 {
			v.links[other.Name][i].SetDelay(d)
			other.links[v.Name][i].SetDelay(d)
		}
	}
}

// Guards against new work at a leaving endpoint, whether an operator's drain, the provider's state or a reclaim notice makes it
// leave. The engines' own load reports lag by 2 s (guarantee G10).
func TestLeavingEndpointsGetNoNewWork(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{engines: 4, engine: standin.EngineConfig{DecodeRate: 40, Slots: 64, LoadLag: 2 * time.Second},
		beforeStart: func(c *cluster) {
			pool := c.pools["logreader"]
			pool.Endpoints[2].Class = apitypes.Reclaimable
			c.platform.SetEndpoints(pool.Name, pool.Endpoints)
		}})
	stop := c.startStreamCallers(12)
	c.await("requests at each engine", func() bool {
		for _, e := range c.engines {
			if len(e.Requests()) == 0 {
				return false
			}
		}
		return true
	})
	if status, body := c.admin(http.MethodPost, "/endpoints/logreader/logreader-1/drain", nil, nil); status != http.StatusOK {
		t.Fatalf("drain logreader-1: status %d: %s", status, body)
	}
	c.awaitNoNewWork("logreader-1", "an operator's drain")
	c.platform.SetEndpointState("logreader", "logreader-2", apitypes.EndpointLeaving, "")
	c.awaitNoNewWork("logreader-2", "the provider's state")
	c.platform.Reclaim(failureDomains[2], time.Hour)
	c.awaitNoNewWork("logreader-3", "a reclaim notice")
	before := [3]int{}
	for i := range before {
		before[i] = len(c.engines[fmt.Sprintf("logreader-%d", i+1)].Requests())
	}
	countBefore := len(c.engines["logreader-4"].Requests())
	c.await("more requests at the remaining engine", func() bool { return len(c.engines["logreader-4"].Requests()) > countBefore+20 })
	for i, n := range before {
		if got := len(c.engines[fmt.Sprintf("logreader-%d", i+1)].Requests()); got != n {
			t.Errorf("logreader-%d received %d requests long after it left", i+1, got-n)
		}
	}
	stop()
	c.checkAllComplete()
}

// awaitNoNewWork waits until an engine has received no request for 3 s and logs the time of the last one. Under the load of the
// test an engine in service receives several requests in that time.
func (c *cluster) awaitNoNewWork(engine, source string) {
	c.t.Helper()
	start, lastRequest, count := time.Now(), time.Now(), len(c.engines[engine].Requests())
	c.await("no new work at "+engine, func() bool {
		if n := len(c.engines[engine].Requests()); n != count {
			count, lastRequest = n, time.Now()
		}
		return time.Since(lastRequest) > 3*time.Second
	})
	c.t.Logf("%s: last request %v after %s", engine, lastRequest.Sub(start).Round(10*time.Millisecond), source)
}
