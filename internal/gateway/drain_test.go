package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/endpoint"
)

// Guards against a drain that ends while a disconnected caller may still fetch its answer, which would then be lost (guarantees G7
// and G11).
func TestDrainWaitsForFetches(t *testing.T) {
	h := newHarness(t, slowEngine)
	addr := h.startGateway("vm-1", func(o *Options) { o.EntryLifetime, o.DiscoveryLeaveDelay = time.Millisecond, time.Millisecond })
	g := h.gateways["vm-1"]
	resp, _ := h.startStream(addr, "rope")
	id := resp.Header.Get(requestIDHeader)
	resp.Body.Close()
	for g.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan error, 1)
	go func() { drained <- g.Drain(t.Context()) }()
	for !g.Draining() {
		time.Sleep(time.Millisecond)
	}
	select {
	case err := <-drained:
		t.Fatalf("the drain ended before the answer was fetched: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	if r := h.call("GET", addr, "/v1/answers/"+id, "rope", ""); r.status != http.StatusOK || !strings.HasSuffix(r.body, "data: [DONE]\n\n") {
		t.Fatalf("the fetch returned %d %s", r.status, r.body)
	}
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
}

// Guards against a draining gateway that refuses requests while callers still hold its address: a neighbour that has not yet received
// the change still returns the address, and callers use it for the entry lifetime from then on.
func TestDrainServesUntilDiscoveredAddressesExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Options{Config: config.NewSnapshotStore(), Discovery: &fakeDiscovery{}})
		drained := make(chan error, 1)
		go func() { drained <- g.Drain(t.Context()) }()
		time.Sleep(DefaultDiscoveryLeaveDelay + DefaultEntryLifetime - time.Millisecond)
		w := httptest.NewRecorder()
		g.ServeHTTP(w, httptest.NewRequest(http.MethodPost, endpoint.ChatPath, nil))
		if w.Code != http.StatusUnauthorized {
			t.Errorf("a request without a key returned %d, want %d", w.Code, http.StatusUnauthorized)
		}
		if err := <-drained; err != nil {
			t.Error(err)
		}
	})
}

// Guards against a request that keeps running after its caller disconnected without having received the request id, so that nobody can
// fetch the answer.
func TestCallerDisconnectBeforeAnswerCancelsRequest(t *testing.T) {
	h := newHarness(t, slowEngine)
	addr := h.startGateway("vm-1", func(o *Options) { o.AbandonAfter = time.Hour })
	ctx, cancel := context.WithCancel(t.Context())
	body := strings.Replace(longStream, `"stream":true`, `"stream":false`, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		resp, err := http.DefaultClient.Do(h.newRequest("POST", addr, endpoint.ChatPath, "rope", body).WithContext(ctx))
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}()
	for len(h.engines[0].Requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	for len(h.engines[0].CancelledRequestIDs()) == 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a drain that doesn't wait for a request whose body is still being read: it would be cut in its run, although it was accepted.
func TestDrainWaitsForSlowUpload(t *testing.T) {
	h := newHarness(t, slowEngine)
	addr := h.startGateway("vm-1", func(o *Options) { o.EntryLifetime, o.DiscoveryLeaveDelay = time.Millisecond, time.Millisecond })
	g := h.gateways["vm-1"]
	body := strings.Replace(longStream, `"stream":true`, `"stream":false`, 1)
	rest, upload := io.Pipe()
	status := make(chan int, 1)
	go func() {
		req := h.newRequest("POST", addr, endpoint.ChatPath, "rope", "")
		req.Body, req.ContentLength = rest, int64(len(body))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Error(err)
			status <- 0
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		status <- resp.StatusCode
	}()
	if _, err := io.WriteString(upload, body[:10]); err != nil {
		t.Fatal(err)
	}
	isPending := func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.pendingWork > 0
	}
	for !isPending() {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan error, 1)
	go func() { drained <- g.Drain(t.Context()) }()
	select {
	case err := <-drained:
		t.Fatalf("the drain ended before the request was complete: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	if _, err := io.WriteString(upload, body[10:]); err != nil {
		t.Fatal(err)
	}
	upload.Close()
	if s := <-status; s != http.StatusOK {
		t.Errorf("status %d", s)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}
