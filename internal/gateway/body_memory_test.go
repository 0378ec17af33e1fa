package gateway

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/buffer"
	"crocusglade.example/crocusglade/internal/endpoint"
	"crocusglade.example/crocusglade/internal/standin"
)

// Guards against bodies that occupy memory without a bound, against a refusal for lack of memory that lets the request run or names no time
// for a retry, and against memory that is not released after a request.
func TestBodyMemory(t *testing.T) {
	h := newHarness(t, standin.EngineConfig{})
	memory := buffer.NewMemory(64 << 10)
	var refused atomic.Int32
	addr := h.startGateway("vm-1", func(o *Options) { o.Bodies, o.OnBodyRefused = memory, func() { refused.Add(1) } })
	body := strings.Replace(chatStream, `"stream"`, `"user":"`+strings.Repeat("x", 6<<10)+`","stream"`, 1)
	held := memory.Reserve("clerk")
	if err := held.Resize(0, 34<<10); err != nil {
		t.Fatal(err)
	}
	before := h.endpointRequestCount()
	r := h.call("POST", addr, endpoint.ChatPath, "clerk", body)
	if r.status != 503 || r.err.Kind != apierror.Overloaded || r.err.Execution != apierror.NotExecuted || r.header.Get("Retry-After") == "" || refused.Load() != 1 {
		t.Errorf("no memory: %d %s, refusals %d", r.status, r.body, refused.Load())
	}
	if n := h.endpointRequestCount(); n != before {
		t.Errorf("%d endpoint requests for a refused body", n-before)
	}
	if r := h.call("POST", addr, endpoint.ChatPath, "rope", chatStream); r.status != 200 {
		t.Errorf("other team: %d %s", r.status, r.body)
	}
	held.Release()
	for _, c := range []struct {
		body   string
		status int
	}{{body, 200}, {strings.Repeat("x", 6<<10), 400}, {strings.Replace(body, `"m"`, `"none"`, 1), 404}} {
		if r := h.call("POST", addr, endpoint.ChatPath, "clerk", c.body); r.status != c.status {
			t.Errorf("got %d %s, want %d", r.status, r.body, c.status)
		}
	}
	for deadline := time.Now().Add(30 * time.Second); memory.Reserved() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes not released", memory.Reserved())
		}
	}
}
