package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/history"
	"crocusglade.example/crocusglade/internal/standin"
)

// billedTeams send only requests that are recorded.
var billedTeams = []string{"pilots", "buyers"}

const (
	// decodeRate lets an answer of answerTokens take about 200 ms, so that some are in flight at every fault.
	decodeRate   = 40
	answerTokens = 8
	// callersPerGateway is the number of answers in flight at each gateway.
	callersPerGateway = 3
)

// usageCluster is a cluster whose usage reports are recorded with the VM that sent them.
type usageCluster struct {
	*cluster
	// callers run until stop is closed.
	callers sync.WaitGroup
	stop    chan struct{}
}

func newUsageCluster(t *testing.T) *usageCluster {
	u := &usageCluster{stop: make(chan struct{})}
	u.cluster = newCluster(t, options{engines: 3, engine: standin.EngineConfig{DecodeRate: decodeRate}, platform: func(c *cluster, v *vm, next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/usage/windows/") {
				c.recordReport(v, r)
			}
			next.ServeHTTP(w, r)
		})
	}})
	for _, team := range billedTeams {
		u.put("team", team, apitypes.Team{Name: team, Template: "boats"})
		u.issueKey(team)
		for i := range u.vms {
			u.await("the key of "+team, func() bool { return u.call(i, team, http.MethodGet, "/v1/models", "", nil).status == http.StatusOK })
		}
	}
	return u
}

// recordReport records a report, and fails the test when its sender does not hold the lease at its arrival (G6).
func (c *cluster) recordReport(v *vm, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	if err != nil {
		return // The sender's connection was reset, as at the end of its authority.
	}
	var w apitypes.UsageWindow
	if err := json.Unmarshal(body, &w); err != nil {
		c.t.Errorf("report of %s: %v", v.Name, err)
		return
	}
	o, err := c.mem.Get(context.Background(), apitypes.KindLease, string(apitypes.DutyUsage))
	var l apitypes.Lease
	if err == nil {
		err = json.Unmarshal(o.Data, &l)
	}
	if err != nil {
		c.t.Errorf("the usage lease can't be read while %s reports: %v", v.Name, err)
		return
	}
	if l.Holder != "" && !strings.HasPrefix(l.Holder, v.Name+".") {
		c.t.Errorf("%s reported window %s while %s holds the lease", v.Name, w.ID, l.Holder)
	}
	c.history.AddUsageWindow(history.UsageReport{Fence: l.Fence, At: time.Now()}, w)
}

// startCallers streams answers of both billed teams through all gateways. Each call's result is recorded.
func (u *usageCluster) startCallers() {
	for caller := range vmCount * callersPerGateway {
		i := caller % vmCount
		u.callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-u.stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				team := billedTeams[n%2]
				prompt, start := fmt.Sprintf("line %d of caller %d", n, caller), time.Now()
				u.recordCall(i, team, start, u.chat(i, team, prompt, answerTokens, true), expected(prompt, answerTokens))
			}
		})
	}
}

// recordCall records a call with the tokens that the engine's usage chunk names.
func (u *usageCluster) recordCall(i int, team string, start time.Time, r reply, want string) {
	h := history.Request{ID: r.id, Team: team, Gateway: u.vms[i].Name, Start: start, End: time.Now(), Answer: r.text, Expected: want,
		ErrorKind: string(r.err.Kind), RunState: string(r.err.Execution), Result: history.ResultDisconnected}
	switch {
	case r.whole:
		h.Result, h.Tokens = history.ResultComplete, streamTokens(r.body)
	case r.status == 0 && r.id == "":
		// No connection, or it ended before an answer began.
	case r.status >= 400:
		h.Result = history.ResultRefused
	}
	u.history.AddRequest(h)
}

// streamTokens returns prompt plus output tokens as a stream's usage chunk, or an answer that is not streamed, says.
func streamTokens(body string) uint64 {
	for line := range strings.Lines(body) {
		var chunk struct {
			Usage *struct {
				PromptTokens     uint64 `json:"prompt_tokens"`
				CompletionTokens uint64 `json:"completion_tokens"`
			}
		}
		data := strings.TrimPrefix(strings.TrimSpace(line), "data: ")
		if json.Unmarshal([]byte(data), &chunk) == nil && chunk.Usage != nil {
			return chunk.Usage.PromptTokens + chunk.Usage.CompletionTokens
		}
	}
	return 0
}

// awaitReports waits until n more windows are reported than now.
func (u *usageCluster) awaitReports(n int) {
	u.t.Helper()
	before := len(u.mem.Reports())
	u.await(fmt.Sprintf("%d reports", n), func() bool { return len(u.mem.Reports()) >= before+n })
}

// sealer returns the VM that holds the usage lease.
func (u *usageCluster) sealer() *vm {
	var found *vm
	u.await("a holder of the usage lease", func() bool {
		o, err := u.mem.Get(u.t.Context(), apitypes.KindLease, string(apitypes.DutyUsage))
		var l apitypes.Lease
		if err != nil || json.Unmarshal(o.Data, &l) != nil {
			return false
		}
		for _, v := range u.vms {
			if strings.HasPrefix(l.Holder, v.Name+".") {
				found = v
				return true
			}
		}
		return false
	})
	return found
}

// finish stops the callers, waits until all usage is reported and checks the history.
func (u *usageCluster) finish() {
	close(u.stop)
	u.callers.Wait()
	length := int64(usageWindow / time.Second)
	current := time.Now().Unix() / length * length
	u.await("reports of all whole answers", func() bool {
		_, ended := u.mem.Reports()[fmt.Sprint(current)]
		return ended && u.billedAll()
	})
	u.awaitReports(1) // Usage that is billed twice may come in a later window.
	for _, v := range append(u.history.CheckGuarantees(history.DefaultBounds), u.history.CheckBilling("skippers", "clerks", apitypes.OpenRouteTeam)...) {
		u.t.Error(v)
	}
	u.t.Log(u.history.Summary())
}

// billedAll tells whether each team has at least as many requests in reports as it got whole answers.
func (u *usageCluster) billedAll() bool {
	for _, team := range billedTeams {
		whole := uint64(0)
		for _, r := range u.history.Requests {
			if r.Team == team && r.Result == history.ResultComplete {
				whole++
			}
		}
		if n, _ := u.history.BilledUsage(team); n < whole {
			return false
		}
	}
	return true
}

// Guards against usage that is lost or billed twice, and windows with two figures, when two of four gateways are killed at once and
// the controller that seals is killed.
func TestUsageUnderKills(t *testing.T) {
	t.Parallel()
	u := newUsageCluster(t)
	u.startCallers()
	u.awaitReports(1)
	// Usage of half a window is lost if copies don't cover it.
	time.Sleep(time.Until(time.Now().Truncate(usageWindow).Add(usageWindow + usageWindow/2)))
	for _, v := range u.vms[1:3] {
		if err := v.gateway.Kill(); err != nil {
			t.Fatal(err)
		}
	}
	for _, v := range u.vms[1:3] {
		u.startGateway(v)
	}
	holder := u.sealer()
	if err := holder.controller.Kill(); err != nil {
		t.Fatal(err)
	}
	u.startController(holder)
	u.awaitReports(1)
	u.finish()
}

// Guards against usage that is lost or billed twice, and windows with two figures, when the sealer is frozen past its lease, a
// gateway is frozen over a window's end, and a VM is cut off from the others.
func TestUsageUnderFreezesAndCuts(t *testing.T) {
	t.Parallel()
	u := newUsageCluster(t)
	u.startCallers()
	u.awaitReports(1)
	holder := u.sealer()
	if err := holder.controller.Suspend(); err != nil {
		t.Fatal(err)
	}
	u.await("another sealer", func() bool { return u.sealer() != holder })
	if err := holder.controller.Resume(); err != nil {
		t.Fatal(err)
	}
	frozen, cut := u.vms[0], u.vms[2]
	time.Sleep(time.Until(time.Now().Truncate(usageWindow).Add(usageWindow - time.Second)))
	u.isolate(cut, false)
	if err := frozen.gateway.Suspend(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	u.heal(cut)
	if err := frozen.gateway.Resume(); err != nil {
		t.Fatal(err)
	}
	u.awaitReports(1)
	u.finish()
}

// Guards against an answer that is billed again when it is fetched by its id elsewhere after its gateway was killed: the gateway had
// counted it, and each gateway that resumes it at the engine would count it too. And against answers in progress at the kill that are
// billed by each gateway that resumes them, or by none (G6, G7).
func TestFetchedAnswersAreBilledOnce(t *testing.T) {
	t.Parallel()
	u := newUsageCluster(t)
	const calls = 8
	prompts := make(map[string]string)
	for n := range calls {
		prompt, start := fmt.Sprint("dossier ", n), time.Now()
		r := u.chat(0, billedTeams[0], prompt, answerTokens, n%2 == 0)
		u.recordCall(0, billedTeams[0], start, r, expected(prompt, answerTokens))
		prompts[r.id] = prompt
	}
	open := make(map[string]string)
	for n := range calls {
		prompt := fmt.Sprint("open dossier ", n)
		open[u.openChat(0, u.key(billedTeams[0]), prompt, longAnswer).id] = prompt
	}
	if err := u.vms[0].gateway.Kill(); err != nil {
		t.Fatal(err)
	}
	var fetches sync.WaitGroup
	for id, prompt := range prompts {
		fetches.Go(func() { u.fetchEverywhere(id, expected(prompt, answerTokens), false) })
	}
	for id, prompt := range open {
		fetches.Go(func() { u.fetchEverywhere(id, expected(prompt, longAnswer), true) })
	}
	fetches.Wait()
	u.startGateway(u.vms[0])
	u.finish()
}

// longAnswer is the length in tokens of answers that take 1.5 s, so that they are in progress when their gateway is killed.
const longAnswer = 60

// fetchEverywhere fetches an answer of the first VM's gateway at all others at once. When the caller has not had the answer yet, its first
// whole copy is recorded.
func (u *usageCluster) fetchEverywhere(id, want string, record bool) {
	var all sync.WaitGroup
	var first sync.Once
	for vm := 1; vm < vmCount; vm++ {
		all.Go(func() {
			start, r := time.Now(), u.fetch(vm, billedTeams[0], id)
			if !r.whole || r.text != want {
				u.t.Errorf("G7: fetch of %s at %s: %d, whole %v, %q", id, u.vms[vm].Name, r.status, r.whole, r.text)
				return
			}
			first.Do(func() {
				if record {
					u.recordCall(vm, billedTeams[0], start, r, want)
				}
			})
		})
	}
	all.Wait()
}
