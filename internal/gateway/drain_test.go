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

// Guards against a planned stop that loses an answer whose caller was cut and may still fetch it (G7, G11).
func TestDrainWaitsForFetches(t *testing.T) {
	b := newBed(t, slow)
	addr := b.gateway("vm-1", func(o *Options) { o.EntryLifetime, o.DiscoveryLeaveDelay = time.Millisecond, time.Millisecond })
	g := b.gateways["vm-1"]
	resp, _ := b.start(addr, "rope")
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
	if r := b.call("GET", addr, "/v1/answers/"+id, "rope", ""); r.status != http.StatusOK || !strings.HasSuffix(r.body, "data: [DONE]\n\n") {
		t.Fatalf("the fetch gave %d %s", r.status, r.body)
	}
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
}

// Guards against new work refused while callers hold this address: a neighbour that has not heard of the drain yet still gives it
// out, for a lifetime from then on.
func TestDrainOutlastsAddressesOfNeighbours(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Options{Config: config.NewSnapshotStore(), Discovery: &members{}})
		drained := make(chan error, 1)
		go func() { drained <- g.Drain(t.Context()) }()
		time.Sleep(DefaultDiscoveryLeaveDelay + DefaultEntryLifetime - time.Millisecond)
		w := httptest.NewRecorder()
		g.ServeHTTP(w, httptest.NewRequest(http.MethodPost, endpoint.ChatPath, nil))
		if w.Code != http.StatusUnauthorized {
			t.Errorf("a request without a key gave %d, want %d", w.Code, http.StatusUnauthorized)
		}
		if err := <-drained; err != nil {
			t.Error(err)
		}
	})
}

// Guards against a request that runs on although its caller has left before it got the id by which it could fetch the answer.
func TestLeavingBeforeTheAnswerCancels(t *testing.T) {
	b := newBed(t, slow)
	addr := b.gateway("vm-1", func(o *Options) { o.AbandonAfter = time.Hour })
	ctx, cancel := context.WithCancel(t.Context())
	body := strings.Replace(longStream, `"stream":true`, `"stream":false`, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		resp, err := http.DefaultClient.Do(b.request("POST", addr, endpoint.ChatPath, "rope", body).WithContext(ctx))
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}()
	for len(b.engines[0].Requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	for len(b.engines[0].CancelledRequestIDs()) == 0 {
		time.Sleep(time.Millisecond)
	}
}
