package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/endpoint"
	"crocusglade.example/crocusglade/internal/retry"
	"crocusglade.example/crocusglade/internal/standin"
)

// Guards against streams that are truncated, mixed up or repeated when an engine fails, and against usage that is counted twice.
func TestStreamSurvivesFaults(t *testing.T) {
	for name, f := range map[string]standin.EngineFaults{
		"healthy":               {},
		"disconnect":            {DisconnectAfter: 3},
		"disconnect at start":   {DisconnectAfter: -1},
		"disconnect, no resume": {DisconnectAfter: 3, RefuseResume: true},
		"truncated":             {TruncateAfter: 3},
		"truncated, no resume":  {TruncateAfter: 3, RefuseResume: true},
		"truncated at the end":  {TruncateAfter: 8},
		"stall":                 {StallAfter: 3},
		"invalid data":          {InvalidDataAfter: 3},
		"other request id":      {MismatchedRequestID: true},
		"crash":                 {CrashMarker: "rope", CrashAfter: 3},
		"crash at start":        {CrashMarker: "rope"},
		"crash, no restart":     {CrashMarker: "rope", CrashAfter: 3, CrashDowntime: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, standin.EngineConfig{Faults: f}, standin.EngineConfig{})
			// The faulty engine gets the request first.
			addr := h.startGateway("vm-1", func(o *Options) { preferFirstEngine(o, h) })
			r := h.call("POST", addr, endpoint.ChatPath, "rope", chatStream)
			text, done := r.output()
			if r.status != 200 || text != chatOutput || !done {
				t.Fatalf("got %d, end marker %v, output %q, want %q\n%s", r.status, done, text, chatOutput, r.body)
			}
			if strings.Count(r.body, `"finish_reason":"stop"`) != 1 || strings.Count(r.body, `"usage":`) != 1 {
				t.Fatalf("the finish reason or the usage was not sent exactly once:\n%s", r.body)
			}
			if len(h.recordedUsage) != 1 || h.recordedUsage[0].OutputTokens != 8 || h.recordedUsage[0].Requests != 1 {
				t.Fatalf("usage %+v", h.recordedUsage)
			}
			if crash := strings.HasPrefix(name, "crash"); crash != (len(h.crashedEndpoints) == 1) {
				t.Fatalf("crashed endpoints %v", h.crashedEndpoints)
			}
		})
	}
}

// preferFirstEngine makes the second engine appear busy to a gateway, so that the first engine gets the request.
func preferFirstEngine(o *Options, h *harness) { h.makeBusy(o, h.pools[0].Endpoints[1]) }

// makeBusy makes an engine appear busy to a gateway.
func (h *harness) makeBusy(o *Options, e apitypes.Endpoint) {
	load, err := o.Endpoints.Load(h.t.Context(), e.Addr)
	if err != nil {
		h.t.Fatal(err)
	}
	load.QueuedPrefillTokens = 1e6
	o.Balancer.UpdateEndpoint("llm", balancer.Endpoint{Endpoint: e, Load: load, ReportedAt: time.Now()})
}

// Guards against a failed answer that is reported as complete or as not run.
func TestFailedRequestReturnsTypedError(t *testing.T) {
	for name, c := range map[string]struct {
		faults    standin.EngineFaults
		kind      apierror.Kind
		execution apierror.Execution
	}{
		"disconnect":       {standin.EngineFaults{DisconnectAfter: 3, RefuseResume: true, ApplyToResumes: true}, apierror.AnswerIncomplete, apierror.Executed},
		"invalid data":     {standin.EngineFaults{InvalidDataAfter: -1}, apierror.InvalidEndpointAnswer, apierror.ExecutionUnknown},
		"other request id": {standin.EngineFaults{MismatchedRequestID: true}, apierror.InvalidEndpointAnswer, apierror.ExecutionUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, standin.EngineConfig{Faults: c.faults}, standin.EngineConfig{Faults: c.faults})
			addr := h.startGateway("vm-1")
			r := h.call("POST", addr, endpoint.ChatPath, "rope", chatStream)
			if _, done := r.output(); done || r.err.Kind != c.kind || r.err.Execution != c.execution || r.err.RequestID == "" {
				t.Fatalf("got %d, end marker %v: %s", r.status, done, r.body)
			}
			nonStreaming := h.call("POST", addr, endpoint.ChatPath, "rope", strings.Replace(chatStream, `,"stream":true`, "", 1))
			if nonStreaming.status < 500 || nonStreaming.err.Execution != apierror.ExecutionUnknown {
				t.Fatalf("got %d %s", nonStreaming.status, nonStreaming.body)
			}
			if len(h.recordedUsage) != 0 {
				t.Fatalf("usage of failed requests %+v", h.recordedUsage)
			}
		})
	}
	h := newHarness(t, standin.EngineConfig{})
	h.pools[0].Endpoints[0].Addr = "127.0.0.1:1"
	r := h.call("POST", h.startGateway("vm-1"), endpoint.ChatPath, "rope", chatStream)
	if r.status != 503 || r.err.Execution != apierror.NotExecuted {
		t.Fatalf("an unreachable pool returned %d %s", r.status, r.body)
	}
}

// Guards against truncated or invalid non-streaming answers of a faulty engine that reach the caller.
func TestNonStreamingAnswerSurvivesFaults(t *testing.T) {
	for name, f := range map[string]standin.EngineFaults{
		"disconnect": {DisconnectAfter: 3}, "truncated": {TruncateAfter: 1}, "invalid data": {InvalidDataAfter: 1},
		"other request id": {MismatchedRequestID: true}, "crash": {CrashMarker: "rope"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, standin.EngineConfig{Faults: f}, standin.EngineConfig{})
			addr := h.startGateway("vm-1", func(o *Options) { preferFirstEngine(o, h) })
			r := h.call("POST", addr, endpoint.ChatPath, "rope", strings.Replace(chatStream, `,"stream":true`, "", 1))
			if r.status != 200 || !strings.Contains(r.body, chatOutput) {
				t.Fatalf("got %d %s", r.status, r.body)
			}
			if r.header.Get(requestIDHeader) == "" || len(h.recordedUsage) != 1 || len(h.engines[1].Requests()) != 1 {
				t.Fatalf("id %q, usage %+v", r.header.Get(requestIDHeader), h.recordedUsage)
			}
		})
	}
}

// slowEngine is the configuration of an engine whose streams last long enough for a test to act while they run.
var slowEngine = standin.EngineConfig{DecodeRate: 200}

const longStream = `{"model":"m","messages":[{"role":"user","content":"rope"}],"max_tokens":100,"stream":true}`

// startStream sends longStream and returns the response and its body after the first line.
func (h *harness) startStream(addr, team string) (*http.Response, *bufio.Reader) {
	h.t.Helper()
	resp, err := http.DefaultClient.Do(h.newRequest("POST", addr, endpoint.ChatPath, team, longStream))
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { resp.Body.Close() })
	reader := bufio.NewReader(resp.Body)
	if _, err := reader.ReadString('\n'); err != nil {
		h.t.Fatal(err)
	}
	return resp, reader
}

// Guards against streams that continue after their key was withdrawn, and against a cancelled stream that looks complete.
func TestWithdrawalCancelsStreams(t *testing.T) {
	h := newHarness(t, slowEngine)
	addr := h.startGateway("vm-1")
	resp, reader := h.startStream(addr, "rope")
	h.withdrawKey("rope")
	rest, _ := io.ReadAll(reader)
	if !strings.Contains(string(rest), string(apierror.KeyWithdrawn)) || strings.Contains(string(rest), "[DONE]") {
		t.Fatalf("the stream ended with %s", rest)
	}
	if got := h.engines[0].CancelledRequestIDs(); len(got) != 1 || got[0] != resp.Header.Get(requestIDHeader) {
		t.Fatalf("cancelled at the engine: %v", got)
	}
}

// Guards against answers that are lost when the caller's connection breaks or its gateway is lost, and against answers that another team
// can fetch.
func TestAnswersAreFetched(t *testing.T) {
	h := newHarness(t, slowEngine)
	first, second := h.startGateway("vm-1"), h.startGateway("vm-2")
	resp, _ := h.startStream(first, "rope")
	id := resp.Header.Get(requestIDHeader)
	resp.Body.Close()
	want := standin.ExpectedOutput(standin.ChatPrompt("user", "rope"), 100)
	if r := h.call("GET", second, "/v1/answers/"+id, "clerk", ""); r.status != 404 {
		t.Fatalf("another team got %d %s", r.status, r.body)
	}
	h.mu.Lock()
	removed := h.gateways["vm-1"]
	delete(h.gateways, "vm-1")
	h.mu.Unlock()
	if r := h.call("GET", second, "/v1/answers/"+id, "clerk", ""); r.status != 404 {
		t.Fatalf("another team resumed at the engine: %d %s", r.status, r.body)
	}
	r := h.call("GET", second, "/v1/answers/"+id, "rope", "")
	if text, done := r.output(); text != want || !done {
		t.Fatalf("resumed at the engine: %d, end marker %v, %q", r.status, done, text)
	}
	h.mu.Lock()
	h.gateways["vm-1"] = removed
	h.mu.Unlock()
	third := h.startGateway("vm-3")
	for _, addr := range []string{first, third} {
		r := h.call("GET", addr, "/v1/answers/"+id+"?offset=10", "rope", "")
		if _, done := r.output(); !done || r.header.Get(offsetHeader) != "10" {
			t.Fatalf("fetched: %d %s", r.status, r.body)
		}
	}
	if r := h.call("GET", first, "/v1/answers/nonsense", "rope", ""); r.status != 404 {
		t.Fatalf("a malformed id returned %d", r.status)
	}
}

// Guards against a drain that interrupts a stream, accepts requests after its address has expired, or leaves the gateway in discovery.
func TestDrain(t *testing.T) {
	h := newHarness(t, slowEngine)
	onDrainedCalled := make(chan struct{})
	addr := h.startGateway("vm-1", func(o *Options) {
		o.EntryLifetime, o.DiscoveryLeaveDelay = 100*time.Millisecond, time.Millisecond
		o.OnDrained = func(context.Context) error { close(onDrainedCalled); return nil }
	})
	g := h.gateways["vm-1"]
	_, reader := h.startStream(addr, "rope")
	drained := make(chan error, 1)
	go func() { drained <- g.Drain(t.Context()) }()
	for !g.Draining() {
		time.Sleep(time.Millisecond)
	}
	var refused reply
	for refused.status != 503 {
		refused = h.call("GET", addr, "/svc/public/x", "", "")
	}
	if refused.err.Kind != apierror.Draining || refused.err.Execution != apierror.NotExecuted || len(refused.err.Addresses) != 1 {
		t.Fatalf("refused with %s", refused.body)
	}
	if r := h.call("GET", addr, "/v1/entry", "", ""); strings.Contains(r.body, "10.0.0.1") {
		t.Fatalf("a draining gateway lists itself: %s", r.body)
	}
	rest, err := io.ReadAll(reader)
	if err != nil || !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
		t.Fatalf("the stream was interrupted: %v", err)
	}
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	<-onDrainedCalled
}

// Guards against a request that crashes one engine after another, through retries or when its caller sends it again.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	faults := standin.EngineFaults{CrashMarker: "rope"}
	h := newHarness(t, standin.EngineConfig{Faults: faults}, standin.EngineConfig{Faults: faults}, standin.EngineConfig{Faults: faults})
	addr := h.startGateway("vm-1", func(o *Options) { o.Budget = retry.NewBudget(10) })
	for range 3 {
		r := h.call("POST", addr, endpoint.ChatPath, "rope", chatStream)
		if r.err.Kind != apierror.Quarantined {
			t.Fatalf("got %d %s", r.status, r.body)
		}
	}
	if len(h.crashedEndpoints) != 2 || h.endpointRequestCount() != 2 {
		t.Fatalf("crashed endpoints %v after %d requests", h.crashedEndpoints, h.endpointRequestCount())
	}
	if r := h.call("POST", addr, endpoint.ChatPath, "rope", strings.Replace(chatStream, `"rope"`, `"line"`, 1)); r.status != 200 {
		t.Fatalf("another request got %d %s", r.status, r.body)
	}
}

// Guards against requests that share a message, no two alike, and crash one engine after the other.
func TestMessageThatCrashesEnginesIsQuarantined(t *testing.T) {
	var engines []standin.EngineConfig
	for range 16 {
		engines = append(engines, standin.EngineConfig{Faults: standin.EngineFaults{CrashMarker: "knot"}})
	}
	h := newHarness(t, engines...)
	addr := h.startGateway("vm-1", func(o *Options) { o.Budget = retry.NewBudget(10) })
	chat := func(system string, n int) reply {
		return h.call("POST", addr, endpoint.ChatPath, "rope", fmt.Sprintf(
			`{"model":"m","messages":[{"role":"system","content":"common"},{"role":"system","content":%q},{"role":"user","content":"%d"}],"max_tokens":8,"stream":true}`, system, n))
	}
	for n := range 10 { // the span of the first crashes and the settle time pass
		chat("knot", n)
		if r := chat("sound", n); r.status != 200 {
			t.Fatalf("a request without the message got %d %s", r.status, r.body)
		}
		time.Sleep(120 * time.Millisecond)
	}
	before := len(h.crashedEndpoints)
	for n := range 5 {
		if r := chat("knot", 100+n); r.err.Kind != apierror.Quarantined || r.err.RetryAfterSeconds == 0 {
			t.Errorf("got %d %s", r.status, r.body)
		}
	}
	if r := chat("sound", 200); r.status != 200 {
		t.Errorf("a request without the message got %d %s", r.status, r.body)
	}
	if after := len(h.crashedEndpoints); after != before || after == len(engines) {
		t.Errorf("%d engines crashed, %d of them after the message was blocked", after, after-before)
	}
}

// Guards against retries that put more load on a failing pool than the retry budget allows.
func TestBudgetBoundsRetries(t *testing.T) {
	faults := standin.EngineFaults{MismatchedRequestID: true}
	h := newHarness(t, standin.EngineConfig{Faults: faults}, standin.EngineConfig{Faults: faults})
	addr := h.startGateway("vm-1", func(o *Options) { o.Budget = retry.NewBudget(0.1) })
	for range 30 {
		h.call("POST", addr, endpoint.ChatPath, "rope", chatStream)
	}
	if n := h.endpointRequestCount(); n > 33 {
		t.Fatalf("30 requests caused %d requests to the engines", n)
	}
}

// blockingRecorder blocks in Record until release is closed.
type blockingRecorder struct{ entered, release chan struct{} }

func (r blockingRecorder) Record(context.Context, string, apitypes.Usage) error {
	close(r.entered)
	<-r.release
	return nil
}

// Guards against an end marker that reaches the caller before the usage is copied to neighbours: a crash in between would lose the
// usage.
func TestUsageIsRecordedBeforeEndMarker(t *testing.T) {
	h := newHarness(t, standin.EngineConfig{})
	recorder := blockingRecorder{make(chan struct{}), make(chan struct{})}
	addr := h.startGateway("vm-1", func(o *Options) { o.Usage = recorder })
	resp, reader := h.startStream(addr, "rope")
	<-recorder.entered
	stored := h.gateways["vm-1"].answers.get(resp.Header.Get(requestIDHeader), "rope").readFrom(0)
	if stored.finished || strings.Contains(string(stored.data), "[DONE]") {
		t.Fatal("the end marker was sent before usage was recorded")
	}
	close(recorder.release)
	if rest, _ := io.ReadAll(reader); !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
		t.Fatalf("the answer ended with %s", rest)
	}
}

// Guards against requests that keep running at an engine after their caller has disconnected.
func TestAbandonedRequestIsCancelled(t *testing.T) {
	h := newHarness(t, slowEngine)
	addr := h.startGateway("vm-1", func(o *Options) { o.AbandonAfter = 20 * time.Millisecond })
	resp, _ := h.startStream(addr, "rope")
	resp.Body.Close()
	for len(h.engines[0].CancelledRequestIDs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	for h.gateways["vm-1"].InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	if len(h.recordedUsage) != 1 || h.recordedUsage[0].OutputTokens == 0 || h.recordedUsage[0].OutputTokens >= 100 {
		t.Fatalf("usage %+v", h.recordedUsage)
	}
}

// Guards against probes of a blocked message that end at the first endpoint without a connection, and against probes that are sent again
// after an endpoint may have run them.
func TestProbeOfBlockedMessageIsRetriedUntilItMayHaveRun(t *testing.T) {
	h := newHarness(t, standin.EngineConfig{})
	h.startGateway("vm-1")
	g := h.gateways["vm-1"]
	now := time.Now()
	g.opts.Parts = retry.NewPartQuarantine(func() time.Time { return now })
	blocked := []retry.Part{retry.NewPart("llm", "bad")}
	for n := range 3 {
		g.opts.Parts.RecordCrash(blocked, retry.CrashKey("a", int64(n)))
		now = now.Add(3 * time.Second)
	}
	c := &call{pool: &apitypes.Pool{Name: "llm"}, sharedParts: blocked}
	g.opts.Budget.RecordFirstTry("llm")
	if g.mayRetry(c, &endpoint.Error{Reason: endpoint.Unreachable}) {
		t.Error("a request with a blocked message is tried again")
	}
	now = now.Add(time.Minute)
	if c.probesPart = g.opts.Parts.Admit(blocked).Probe; !c.probesPart {
		t.Fatal("no probe is admitted")
	}
	if !g.mayRetry(c, &endpoint.Error{Reason: endpoint.Unreachable}) {
		t.Error("a probe that was not sent is not tried elsewhere")
	}
	if g.mayRetry(c, &endpoint.Error{Reason: endpoint.Interrupted, MaybeSent: true}) {
		t.Error("a probe that may have run is tried again")
	}
}
