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

// billedTeams are the teams whose billing is checked; all their requests are recorded.
var billedTeams = []string{"pilots", "buyers"}

const (
	// decodeRate, in tokens per second, makes an answer of answerTokens take about 200 ms, so that some are in progress at every
	// fault.
	decodeRate   = 40
	answerTokens = 8
	// callersPerGateway is the number of concurrent callers at each gateway.
	callersPerGateway = 3
)

// usageCluster is a cluster whose usage reports are recorded, and checked against the holder of the usage lease, when they arrive.
type usageCluster struct {
	*cluster
	// callers waits for the callers, which run until stop is closed.
	callers sync.WaitGroup
	stop    chan struct{}
}

// newUsageCluster starts a cluster with both billed teams and waits until every gateway accepts their keys.
func newUsageCluster(t *testing.T) *usageCluster {
	u := &usageCluster{stop: make(chan struct{})}
	u.cluster = newCluster(t, options{engines: 3, engine: standin.EngineConfig{DecodeRate: decodeRate}, wrapPlatform: func(c *cluster, v *vm, next http.Handler) http.Handler {
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
			u.await("the key of "+team+" to be accepted", func() bool { return u.call(i, team, http.MethodGet, "/v1/models", "", nil).status == http.StatusOK })
		}
	}
	return u
}

// recordReport records a usage report, and fails the test when its sender does not hold the usage lease on arrival (guarantee G6).
func (c *cluster) recordReport(v *vm, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	if err != nil {
		return // The sender reset the connection, as it does when its lease ends.
	}
	var w apitypes.UsageWindow
	if err := json.Unmarshal(body, &w); err != nil {
		c.t.Errorf("decode a usage report of %s: %v", v.Name, err)
		return
	}
	o, err := c.platform.Get(context.Background(), apitypes.KindLease, string(apitypes.DutyUsage))
	var l apitypes.Lease
	if err == nil {
		err = json.Unmarshal(o.Data, &l)
	}
	if err != nil {
		c.t.Errorf("read the usage lease during a report of %s: %v", v.Name, err)
		return
	}
	if l.Holder != "" && !strings.HasPrefix(l.Holder, v.Name+".") {
		c.t.Errorf("%s reported window %s while %s holds the usage lease", v.Name, w.ID, l.Holder)
	}
	c.history.AddUsageWindow(history.UsageReport{FencingToken: l.Fence, At: time.Now()}, w)
}

// startCallers starts callers of both billed teams that stream answers through all gateways and record each result.
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

// recordCall adds a request to the history. For a complete answer it includes the token count of the engine's usage.
func (u *usageCluster) recordCall(i int, team string, start time.Time, r reply, want string) {
	h := history.Request{ID: r.id, Team: team, Gateway: u.vms[i].Name, Start: start, End: time.Now(), Answer: r.text, Expected: want,
		ErrorKind: string(r.err.Kind), RunState: string(r.err.Execution), Result: history.ResultDisconnected}
	switch {
	case r.complete:
		h.Result, h.Tokens = history.ResultComplete, streamTokens(r.body)
	case r.status == 0 && r.id == "":
		// The connection failed or ended before the response began.
	case r.status >= 400:
		h.Result = history.ResultRefused
	}
	u.history.AddRequest(h)
}

// streamTokens returns the prompt plus completion tokens of the usage in a stream or in an answer that is not streamed, or 0.
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

// awaitReports waits until n further usage windows have been reported.
func (u *usageCluster) awaitReports(n int) {
	u.t.Helper()
	before := len(u.platform.Reports())
	u.await(fmt.Sprintf("%d usage reports", n), func() bool { return len(u.platform.Reports()) >= before+n })
}

// usageLeaseHolder waits until the usage lease is held and returns the VM of its holder, which seals and reports usage windows.
func (u *usageCluster) usageLeaseHolder() *vm {
	var found *vm
	u.await("a holder of the usage lease", func() bool {
		o, err := u.platform.Get(u.t.Context(), apitypes.KindLease, string(apitypes.DutyUsage))
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

// stopAndCheck stops the callers, waits until all usage is reported, and checks the guarantees and the billed usage.
func (u *usageCluster) stopAndCheck() {
	close(u.stop)
	u.callers.Wait()
	length := int64(usageWindow / time.Second)
	current := time.Now().Unix() / length * length
	u.await("usage reports of all complete answers", func() bool {
		_, ended := u.platform.Reports()[fmt.Sprint(current)]
		return ended && u.allAnswersBilled()
	})
	u.awaitReports(1) // Usage that is billed twice may be reported in a later window.
	for _, v := range append(u.history.CheckGuarantees(history.DefaultBounds), u.history.CheckBilling("skippers", "clerks", apitypes.OpenRouteTeam)...) {
		u.t.Error(v)
	}
	u.t.Log(u.history.Summary())
}

// allAnswersBilled reports whether the reported requests of each billed team are at least as many as its complete answers.
func (u *usageCluster) allAnswersBilled() bool {
	for _, team := range billedTeams {
		complete := uint64(0)
		for _, r := range u.history.Requests {
			if r.Team == team && r.Result == history.ResultComplete {
				complete++
			}
		}
		if n, _ := u.history.BilledUsage(team); n < complete {
			return false
		}
	}
	return true
}

// Guards against usage that is lost or billed twice, and windows that are reported with different usage, when two of four
// gateways are killed at the same time and the controller that holds the usage lease is killed.
func TestUsageUnderKills(t *testing.T) {
	t.Parallel()
	u := newUsageCluster(t)
	u.startCallers()
	u.awaitReports(1)
	// The gateways are killed in the middle of a window, so that usage of half a window is lost unless other VMs have copies of it.
	time.Sleep(time.Until(time.Now().Truncate(usageWindow).Add(usageWindow + usageWindow/2)))
	for _, v := range u.vms[1:3] {
		if err := v.gateway.Kill(); err != nil {
			t.Fatal(err)
		}
	}
	for _, v := range u.vms[1:3] {
		u.startGateway(v)
	}
	holder := u.usageLeaseHolder()
	if err := holder.controller.Kill(); err != nil {
		t.Fatal(err)
	}
	u.startController(holder)
	u.awaitReports(1)
	u.stopAndCheck()
}

// Guards against usage that is lost or billed twice, and windows that are reported with different usage, when the usage lease
// holder is frozen past the end of its lease, a gateway is frozen across the end of a window, and a VM is partitioned from the
// others.
func TestUsageUnderFreezesAndPartitions(t *testing.T) {
	t.Parallel()
	u := newUsageCluster(t)
	u.startCallers()
	u.awaitReports(1)
	holder := u.usageLeaseHolder()
	if err := holder.controller.Suspend(); err != nil {
		t.Fatal(err)
	}
	u.await("another holder of the usage lease", func() bool { return u.usageLeaseHolder() != holder })
	if err := holder.controller.Resume(); err != nil {
		t.Fatal(err)
	}
	frozen, partitioned := u.vms[0], u.vms[2]
	time.Sleep(time.Until(time.Now().Truncate(usageWindow).Add(usageWindow - time.Second)))
	u.partition(partitioned, false)
	if err := frozen.gateway.Suspend(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	u.heal(partitioned)
	if err := frozen.gateway.Resume(); err != nil {
		t.Fatal(err)
	}
	u.awaitReports(1)
	u.stopAndCheck()
}

// Guards against an answer that is billed again when it is fetched from other gateways after its gateway was killed: the killed
// gateway had counted it, and each gateway that resumes it at the engine would count it too. Also guards against answers in
// progress at the kill that are billed by every gateway that resumes them, or by none (guarantees G6 and G7).
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
	inProgress := make(map[string]string)
	for n := range calls {
		prompt := fmt.Sprint("open dossier ", n)
		inProgress[u.openChat(0, u.key(billedTeams[0]), prompt, longAnswerTokens).id] = prompt
	}
	if err := u.vms[0].gateway.Kill(); err != nil {
		t.Fatal(err)
	}
	var fetches sync.WaitGroup
	for id, prompt := range prompts {
		fetches.Go(func() { u.fetchFromAllOthers(id, expected(prompt, answerTokens), false) })
	}
	for id, prompt := range inProgress {
		fetches.Go(func() { u.fetchFromAllOthers(id, expected(prompt, longAnswerTokens), true) })
	}
	fetches.Wait()
	u.startGateway(u.vms[0])
	u.stopAndCheck()
}

// longAnswerTokens is the length of answers that take 1.5 s, so that they are in progress when their gateway is killed.
const longAnswerTokens = 60

// fetchFromAllOthers fetches an answer of the first VM's gateway from all other gateways concurrently. With record, the first
// complete copy is recorded, for an answer that its caller has not received in full.
func (u *usageCluster) fetchFromAllOthers(id, want string, record bool) {
	var fetches sync.WaitGroup
	var recordOnce sync.Once
	for vm := 1; vm < vmCount; vm++ {
		fetches.Go(func() {
			start, r := time.Now(), u.fetch(vm, billedTeams[0], id)
			if !r.complete || r.text != want {
				u.t.Errorf("G7: fetch of answer %s at %s: status %d, complete %v, text %q", id, u.vms[vm].Name, r.status, r.complete, r.text)
				return
			}
			recordOnce.Do(func() {
				if record {
					u.recordCall(vm, billedTeams[0], start, r, want)
				}
			})
		})
	}
	fetches.Wait()
}
