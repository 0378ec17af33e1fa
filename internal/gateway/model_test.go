package gateway

import (
	"bufio"
	"context"
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

// Guards against streams that are cut, crossed or doubled when an engine fails, and against usage that is counted twice.
func TestStreamSurvivesFaults(t *testing.T) {
	for name, f := range map[string]standin.EngineFaults{
		"healthy":         {},
		"cut":             {DisconnectAfter: 3},
		"cut at once":     {DisconnectAfter: -1},
		"cut, no resume":  {DisconnectAfter: 3, RefuseResume: true},
		"half":            {TruncateAfter: 3},
		"half, no resume": {TruncateAfter: 3, RefuseResume: true},
		"half at the end": {TruncateAfter: 8},
		"stall":           {StallAfter: 3},
		"garbage":         {InvalidDataAfter: 3},
		"another id":      {MismatchedRequestID: true},
		"crash":           {CrashMarker: "rope", CrashAfter: 3},
		"crash at once":   {CrashMarker: "rope"},
		"crash and down":  {CrashMarker: "rope", CrashAfter: 3, CrashDowntime: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, standin.EngineConfig{Faults: f}, standin.EngineConfig{})
			// The faulty engine is the only one until it has failed.
			addr := b.gateway("vm-1", func(o *Options) { preferFirst(o, b) })
			r := b.call("POST", addr, endpoint.ChatPath, "rope", chatStream)
			text, done := r.text()
			if r.status != 200 || text != chatOutput || !done {
				t.Fatalf("got %d, whole %v, output %q, want %q\n%s", r.status, done, text, chatOutput, r.body)
			}
			if strings.Count(r.body, `"finish_reason":"stop"`) != 1 || strings.Count(r.body, `"usage":`) != 1 {
				t.Fatalf("the end of the answer came more than once:\n%s", r.body)
			}
			if len(b.usage) != 1 || b.usage[0].OutputTokens != 8 || b.usage[0].Requests != 1 {
				t.Fatalf("usage %+v", b.usage)
			}
			if crash := strings.HasPrefix(name, "crash"); crash != (len(b.deaths) == 1) {
				t.Fatalf("deaths %v", b.deaths)
			}
		})
	}
}

// preferFirst makes a gateway know the second engine as busy, so that the first gets the request.
func preferFirst(o *Options, b *bed) {
	load, err := o.Endpoints.Load(b.t.Context(), b.pools[0].Endpoints[1].Addr)
	if err != nil {
		b.t.Fatal(err)
	}
	load.QueuedPrefillTokens = 1e6
	o.Balancer.UpdateEndpoint("llm", balancer.Endpoint{Endpoint: b.pools[0].Endpoints[1], Load: load, ReportedAt: time.Now()})
}

// Guards against a failed answer that is passed off as whole or as not run.
func TestFailureIsTold(t *testing.T) {
	for name, c := range map[string]struct {
		faults standin.EngineFaults
		kind   apierror.Kind
		run    apierror.Execution
	}{
		"cut":        {standin.EngineFaults{DisconnectAfter: 3, RefuseResume: true, ApplyToResumes: true}, apierror.AnswerIncomplete, apierror.Executed},
		"garbage":    {standin.EngineFaults{InvalidDataAfter: -1}, apierror.InvalidEndpointAnswer, apierror.ExecutionUnknown},
		"another id": {standin.EngineFaults{MismatchedRequestID: true}, apierror.InvalidEndpointAnswer, apierror.ExecutionUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, standin.EngineConfig{Faults: c.faults}, standin.EngineConfig{Faults: c.faults})
			addr := b.gateway("vm-1")
			r := b.call("POST", addr, endpoint.ChatPath, "rope", chatStream)
			if _, done := r.text(); done || r.err.Kind != c.kind || r.err.Execution != c.run || r.err.RequestID == "" {
				t.Fatalf("got %d, whole %v: %s", r.status, done, r.body)
			}
			whole := b.call("POST", addr, endpoint.ChatPath, "rope", strings.Replace(chatStream, `,"stream":true`, "", 1))
			if whole.status < 500 || whole.err.Execution != apierror.ExecutionUnknown {
				t.Fatalf("got %d %s", whole.status, whole.body)
			}
			if len(b.usage) != 0 {
				t.Fatalf("usage of failed requests %+v", b.usage)
			}
		})
	}
	b := newBed(t, standin.EngineConfig{})
	b.pools[0].Endpoints[0].Addr = "127.0.0.1:1"
	r := b.call("POST", b.gateway("vm-1"), endpoint.ChatPath, "rope", chatStream)
	if r.status != 503 || r.err.Execution != apierror.NotExecuted {
		t.Fatalf("an unreachable pool gave %d %s", r.status, r.body)
	}
}

// Guards against whole answers of a faulty engine that reach the caller.
func TestWholeAnswerSurvivesFaults(t *testing.T) {
	for name, f := range map[string]standin.EngineFaults{
		"cut": {DisconnectAfter: 3}, "half": {TruncateAfter: 1}, "garbage": {InvalidDataAfter: 1}, "another id": {MismatchedRequestID: true}, "crash": {CrashMarker: "rope"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, standin.EngineConfig{Faults: f}, standin.EngineConfig{})
			addr := b.gateway("vm-1", func(o *Options) { preferFirst(o, b) })
			r := b.call("POST", addr, endpoint.ChatPath, "rope", strings.Replace(chatStream, `,"stream":true`, "", 1))
			if r.status != 200 || !strings.Contains(r.body, chatOutput) {
				t.Fatalf("got %d %s", r.status, r.body)
			}
			if r.header.Get(requestIDHeader) == "" || len(b.usage) != 1 || len(b.engines[1].Requests()) != 1 {
				t.Fatalf("id %q, usage %+v", r.header.Get(requestIDHeader), b.usage)
			}
		})
	}
}

// slow is an engine whose answers last long enough to act on them while they run.
var slow = standin.EngineConfig{DecodeRate: 200}

const longStream = `{"model":"m","messages":[{"role":"user","content":"rope"}],"max_tokens":100,"stream":true}`

// start sends a streamed request and returns its response after the first line.
func (b *bed) start(addr, team string) (*http.Response, *bufio.Reader) {
	b.t.Helper()
	resp, err := http.DefaultClient.Do(b.request("POST", addr, endpoint.ChatPath, team, longStream))
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { resp.Body.Close() })
	reader := bufio.NewReader(resp.Body)
	if _, err := reader.ReadString('\n'); err != nil {
		b.t.Fatal(err)
	}
	return resp, reader
}

// Guards against a withdrawn key whose streams go on, and against a cancelled stream that looks whole.
func TestWithdrawalCancelsStreams(t *testing.T) {
	b := newBed(t, slow)
	addr := b.gateway("vm-1")
	resp, reader := b.start(addr, "rope")
	b.withdraw("rope")
	rest, _ := io.ReadAll(reader)
	if !strings.Contains(string(rest), string(apierror.KeyWithdrawn)) || strings.Contains(string(rest), "[DONE]") {
		t.Fatalf("the stream ended with %s", rest)
	}
	if got := b.engines[0].CancelledRequestIDs(); len(got) != 1 || got[0] != resp.Header.Get(requestIDHeader) {
		t.Fatalf("cancelled at the engine: %v", got)
	}
}

// Guards against answers that are lost with the caller's connection or the gateway, or that another team can read.
func TestAnswersAreFetched(t *testing.T) {
	b := newBed(t, slow)
	first, second := b.gateway("vm-1"), b.gateway("vm-2")
	resp, _ := b.start(first, "rope")
	id := resp.Header.Get(requestIDHeader)
	resp.Body.Close()
	want := standin.ExpectedOutput(standin.ChatPrompt("user", "rope"), 100)
	if r := b.call("GET", second, "/v1/answers/"+id, "clerk", ""); r.status != 404 {
		t.Fatalf("another team got %d %s", r.status, r.body)
	}
	b.mu.Lock()
	gone := b.gateways["vm-1"]
	delete(b.gateways, "vm-1")
	b.mu.Unlock()
	if r := b.call("GET", second, "/v1/answers/"+id, "clerk", ""); r.status != 404 {
		t.Fatalf("another team resumed at the engine: %d %s", r.status, r.body)
	}
	r := b.call("GET", second, "/v1/answers/"+id, "rope", "")
	if text, done := r.text(); text != want || !done {
		t.Fatalf("resumed at the engine: %d, whole %v, %q", r.status, done, text)
	}
	b.mu.Lock()
	b.gateways["vm-1"] = gone
	b.mu.Unlock()
	third := b.gateway("vm-3")
	for _, addr := range []string{first, third} {
		r := b.call("GET", addr, "/v1/answers/"+id+"?offset=10", "rope", "")
		if _, done := r.text(); !done || r.header.Get(offsetHeader) != "10" {
			t.Fatalf("fetched: %d %s", r.status, r.body)
		}
	}
	if r := b.call("GET", first, "/v1/answers/nonsense", "rope", ""); r.status != 404 {
		t.Fatalf("a malformed id gave %d", r.status)
	}
}

// Guards against a planned stop that cuts a stream, takes new work late or stays in discovery.
func TestDrain(t *testing.T) {
	b := newBed(t, slow)
	handedOver := make(chan struct{})
	addr := b.gateway("vm-1", func(o *Options) {
		o.EntryLifetime, o.DiscoveryLeaveDelay = 100*time.Millisecond, time.Millisecond
		o.OnDrained = func(context.Context) error { close(handedOver); return nil }
	})
	g := b.gateways["vm-1"]
	_, reader := b.start(addr, "rope")
	drained := make(chan error, 1)
	go func() { drained <- g.Drain(t.Context()) }()
	for !g.Draining() {
		time.Sleep(time.Millisecond)
	}
	var refused reply
	for refused.status != 503 {
		refused = b.call("GET", addr, "/svc/public/x", "", "")
	}
	if refused.err.Kind != apierror.Draining || refused.err.Execution != apierror.NotExecuted || len(refused.err.Addresses) != 1 {
		t.Fatalf("refused with %s", refused.body)
	}
	if r := b.call("GET", addr, "/v1/entry", "", ""); strings.Contains(r.body, "10.0.0.1") {
		t.Fatalf("a stopping gateway names itself: %s", r.body)
	}
	rest, err := io.ReadAll(reader)
	if err != nil || !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
		t.Fatalf("the stream was cut: %v", err)
	}
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	<-handedOver
}

// Guards against a request that kills one engine after another, also when its caller sends it again.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	faults := standin.EngineFaults{CrashMarker: "rope"}
	b := newBed(t, standin.EngineConfig{Faults: faults}, standin.EngineConfig{Faults: faults}, standin.EngineConfig{Faults: faults})
	addr := b.gateway("vm-1", func(o *Options) { o.Budget = retry.NewBudget(10) })
	for range 3 {
		r := b.call("POST", addr, endpoint.ChatPath, "rope", chatStream)
		if r.err.Kind != apierror.Quarantined {
			t.Fatalf("got %d %s", r.status, r.body)
		}
	}
	if len(b.deaths) != 2 || b.seenByEndpoints() != 2 {
		t.Fatalf("deaths %v after %d requests", b.deaths, b.seenByEndpoints())
	}
	if r := b.call("POST", addr, endpoint.ChatPath, "rope", strings.Replace(chatStream, `"rope"`, `"line"`, 1)); r.status != 200 {
		t.Fatalf("another request got %d %s", r.status, r.body)
	}
}

// Guards against continuations that put more load on a failing pool than the budget allows.
func TestBudgetBoundsRetries(t *testing.T) {
	faults := standin.EngineFaults{MismatchedRequestID: true}
	b := newBed(t, standin.EngineConfig{Faults: faults}, standin.EngineConfig{Faults: faults})
	addr := b.gateway("vm-1", func(o *Options) { o.Budget = retry.NewBudget(0.1) })
	for range 30 {
		b.call("POST", addr, endpoint.ChatPath, "rope", chatStream)
	}
	if n := b.seenByEndpoints(); n > 33 {
		t.Fatalf("30 requests put %d on the engines", n)
	}
}

// heldRecorder holds the recording of usage until it is released.
type heldRecorder struct{ entered, release chan struct{} }

func (h heldRecorder) Record(context.Context, string, apitypes.Usage) error {
	close(h.entered)
	<-h.release
	return nil
}

// Guards against an end marker that reaches the caller before its usage is copied, which a crash would then lose.
func TestUsageComesBeforeTheEnd(t *testing.T) {
	b := newBed(t, standin.EngineConfig{})
	held := heldRecorder{make(chan struct{}), make(chan struct{})}
	addr := b.gateway("vm-1", func(o *Options) { o.Usage = held })
	resp, reader := b.start(addr, "rope")
	<-held.entered
	kept := b.gateways["vm-1"].answers.get(resp.Header.Get(requestIDHeader), "rope").since(0)
	if kept.finished || strings.Contains(string(kept.data), "[DONE]") {
		t.Fatal("the end marker was sent before usage was recorded")
	}
	close(held.release)
	if rest, _ := io.ReadAll(reader); !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
		t.Fatalf("the answer ended with %s", rest)
	}
}

// Guards against requests that go on at an engine for ever after their caller has left.
func TestAbandonedRequestIsCancelled(t *testing.T) {
	b := newBed(t, slow)
	addr := b.gateway("vm-1", func(o *Options) { o.AbandonAfter = 20 * time.Millisecond })
	resp, _ := b.start(addr, "rope")
	resp.Body.Close()
	for len(b.engines[0].CancelledRequestIDs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	for b.gateways["vm-1"].InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	if len(b.usage) != 1 || b.usage[0].OutputTokens == 0 || b.usage[0].OutputTokens >= 100 {
		t.Fatalf("usage %+v", b.usage)
	}
}
