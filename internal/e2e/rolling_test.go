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

// maxStreamTokens bounds the length of the streams under load; at 40 tokens a second the longest run for about 1.5 s.
const maxStreamTokens = 60

// stream runs callers that keep the addresses of GET /v1/entry for their lifetime and send one stream after another. The
// returned function stops them and waits for their last streams.
func (c *cluster) stream(callers int) (stop func()) {
	done := make(chan struct{})
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() { c.keepCalling(i, done) })
	}
	return func() {
		close(done)
		all.Wait()
	}
}

func (c *cluster) keepCalling(caller int, done <-chan struct{}) {
	var vms []int
	var until time.Time
	rng := rand.New(rand.NewSource(int64(caller)))
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		default:
		}
		if !time.Now().Before(until) {
			vms, until = c.entry(vms)
		}
		tokens := 4 + rng.Intn(maxStreamTokens-4)
		vm, prompt, start := vms[rng.Intn(len(vms))], fmt.Sprintf("caller %d, call %d", caller, n), time.Now()
		r := c.chat(vm, "skippers", prompt, tokens, true)
		c.record(vm, "skippers", "chat", start, r, expected(prompt, tokens))
	}
}

// entry asks the known VMs, or any, which addresses to use, and returns them as indexes with the end of their lifetime.
func (c *cluster) entry(known []int) ([]int, time.Time) {
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
		until := time.Now().Add(time.Duration(answer.Lifetime) * time.Second)
		var vms []int
		for j, v := range c.vms {
			if slices.Contains(answer.Addresses, v.GatewayAddr) {
				vms = append(vms, j)
			}
		}
		if err == nil && len(vms) > 0 {
			return vms, until
		}
	}
	c.t.Error("no VM answers with addresses")
	return []int{0}, time.Now().Add(time.Second)
}

// awaitStreams waits until a VM's gateway has answered some more streams.
func (c *cluster) awaitStreams(vm string, more int) {
	c.t.Helper()
	count := func() int { return c.history.CountCompleteAnswers(vm) }
	before := count()
	c.await("streams at "+vm, func() bool { return count() >= before+more })
}

// checkWhole checks the history and fails for each request without a whole answer.
func (c *cluster) checkWhole() {
	c.t.Helper()
	bad := 0
	for _, r := range c.history.Requests {
		if r.Result == history.ResultComplete {
			continue
		}
		if bad++; bad <= 10 {
			c.t.Errorf("request %q at %s after %v: %s %s %s", r.ID, r.Gateway, r.End.Sub(r.Start), r.Result, r.ErrorKind, r.RunState)
		}
	}
	if len(c.history.Requests) == 0 {
		c.t.Error("no request ran")
	}
	c.check()
}

// Guards against planned stops that cut a request: all gateways and controllers are replaced one VM after another under
// streams and non-idempotent calls, and callers keep old addresses for their full lifetime (G11, G9).
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	flags := []string{"--entry-lifetime=3s"}
	c := newCluster(t, options{engines: 3, services: 2, engine: standin.EngineConfig{DecodeRate: 40}, gatewayFlags: flags,
		service: standin.ServiceConfig{Faults: standin.ServiceFaults{ExecutionDelay: 300 * time.Millisecond}}})
	d := &declarations{c: c}
	stop, stopDeclaring := c.stream(12), d.keepDeclaring(4)
	for _, v := range c.vms {
		c.awaitStreams(v.Name, 8)
		c.delayLinks(v, noticeDelay)
		// These streams outlast the time in which the gateway serves on: 3 s of lifetime and 2 s of notice.
		awaitLong := c.streamAt(v, 2, 260)
		v.gateway.Terminate()
		v.controller.Terminate()
		for _, p := range []interface {
			Done() <-chan struct{}
			Err() error
		}{v.gateway, v.controller} {
			select {
			case <-p.Done():
			case <-time.After(patience):
				t.Fatalf("a process of %s did not stop", v.Name)
			}
			if p.Err() != nil {
				t.Errorf("a process of %s ended with %v", v.Name, p.Err())
			}
		}
		awaitLong()
		c.delayLinks(v, 0)
		c.startController(v)
		c.startGateway(v, flags...)
		c.awaitReady(v)
	}
	stop()
	stopDeclaring()
	d.settle()
	d.check()
	c.checkWhole()
}

// noticeDelay is how late the other VMs learn that a gateway leaves discovery, which a busy mesh tells at once. Until then they name
// its address to callers. It is below the heartbeat period of 1 s.
const noticeDelay = 500 * time.Millisecond

// delayLinks delays what other VMs get from a VM and what it gets from them.
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

// Guards against new work at an endpoint that leaves, whichever source tells of it: an operator's drain, the provider's state or a
// reclaim notice; the engines' own reports lag (G10).
func TestLeavingEndpointsGetNoNewWork(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{engines: 4, engine: standin.EngineConfig{DecodeRate: 40, Slots: 64, LoadLag: 2 * time.Second},
		beforeStart: func(c *cluster) {
			pool := c.pools["logreader"]
			pool.Endpoints[2].Class = apitypes.Reclaimable
			c.mem.SetEndpoints(pool.Name, pool.Endpoints)
		}})
	stop := c.stream(12)
	c.await("work at each engine", func() bool {
		for _, e := range c.engines {
			if len(e.Requests()) == 0 {
				return false
			}
		}
		return true
	})
	if status, body := c.admin(http.MethodPost, "/endpoints/logreader/logreader-1/drain", nil, nil); status != http.StatusOK {
		t.Fatalf("drain: %d %s", status, body)
	}
	c.awaitNoNewWork("logreader-1", "an operator's drain")
	c.mem.SetEndpointState("logreader", "logreader-2", apitypes.EndpointLeaving, "")
	c.awaitNoNewWork("logreader-2", "the provider's state")
	c.mem.Reclaim(failureDomains[2], time.Hour)
	c.awaitNoNewWork("logreader-3", "a reclaim notice")
	before := [3]int{}
	for i := range before {
		before[i] = len(c.engines[fmt.Sprintf("logreader-%d", i+1)].Requests())
	}
	served := len(c.engines["logreader-4"].Requests())
	c.await("more work at the last engine", func() bool { return len(c.engines["logreader-4"].Requests()) > served+20 })
	for i, n := range before {
		if got := len(c.engines[fmt.Sprintf("logreader-%d", i+1)].Requests()); got != n {
			t.Errorf("logreader-%d got %d requests long after it left", i+1, got-n)
		}
	}
	stop()
	c.checkWhole()
}

// awaitNoNewWork waits until an engine has had no new request for three seconds and logs how long it took; the load would have
// brought several in that time.
func (c *cluster) awaitNoNewWork(engine, source string) {
	c.t.Helper()
	told, last, seen := time.Now(), time.Now(), len(c.engines[engine].Requests())
	c.await("no new work at "+engine, func() bool {
		if n := len(c.engines[engine].Requests()); n != seen {
			seen, last = n, time.Now()
		}
		return time.Since(last) > 3*time.Second
	})
	c.t.Logf("%s: last new work %v after %s", engine, last.Sub(told).Round(10*time.Millisecond), source)
}
