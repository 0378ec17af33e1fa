package httpplatform_test

import (
	"bytes"
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/goleak"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/objectstore/httpplatform"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
	"crocusglade.example/crocusglade/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func serve(t *testing.T, h http.Handler, o httpplatform.Options) *httpplatform.Client {
	t.Helper()
	server := httptest.NewServer(h)
	c, err := httpplatform.New(server.URL, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); server.CloseClientConnections(); server.Close() })
	return c
}

// Guards against a failure reported by the platform that reaches the caller as an error other than the matching one of package
// objectstore.
func TestErrorsAndVersions(t *testing.T) {
	mem := memplatform.New()
	c := serve(t, standin.NewPlatform(mem), httpplatform.Options{})
	ctx := t.Context()
	version, err := c.Put(ctx, "team", "a/b", []byte(`{"x":1}`), 0)
	if err != nil {
		t.Fatal(err)
	}
	o, err := c.Get(ctx, "team", "a/b")
	if err != nil || o.Version != version || string(o.Data) != `{"x":1}` {
		t.Fatalf("got %+v, %v", o, err)
	}
	_, missing := c.Get(ctx, "team", "none")
	_, conflict := c.Put(ctx, "team", "a/b", []byte(`{}`), version+1)
	_, exists := c.Put(ctx, "team", "a/b", []byte(`{}`), 0)
	_, tooLarge := c.Put(ctx, "team", "big", bytes.Repeat([]byte("1"), objectstore.MaxValueBytes+1), 0)
	mem.SetFaults(memplatform.Faults{Down: true})
	_, _, down := c.List(ctx, "team")
	mem.SetFaults(memplatform.Faults{})
	for _, tc := range []struct{ got, want error }{
		{missing, objectstore.ErrNotFound}, {conflict, objectstore.ErrConflict}, {exists, objectstore.ErrConflict},
		{tooLarge, objectstore.ErrTooLarge}, {down, objectstore.ErrUnavailable},
		{c.Delete(ctx, "team", "a/b", version+1), objectstore.ErrConflict}, {c.Delete(ctx, "team", "a/b", version), nil},
		{c.Watch(ctx, []string{"team"}, 0, func(apitypes.Event) error { return objectstore.ErrCompacted }), objectstore.ErrCompacted},
	} {
		if !errors.Is(tc.got, tc.want) {
			t.Errorf("got %v, want %v", tc.got, tc.want)
		}
	}
}

// Guards against a write that is sent twice because the client retries when the response is lost, and against a lost response that
// is not reported as ErrUnavailable.
func TestLostResponseIsNotRetried(t *testing.T) {
	for name, respond := range map[string]http.HandlerFunc{
		"connection closed": func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := http.NewResponseController(w).Hijack()
			_ = conn.Close()
		},
		"truncated response": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"vers`)) },
		"response timeout":   func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"redirect": func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
		},
	} {
		var writes atomic.Int32
		c := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				_, _ = w.Write([]byte(`{"revision":1,"items":[]}`))
				return
			}
			writes.Add(1)
			_, _ = io.Copy(io.Discard, r.Body) // net/http detects a disconnected client only after the body is read.
			respond(w, r)
		}), httpplatform.Options{Timeout: 200 * time.Millisecond})
		// The read leaves an idle connection, on which net/http may retry a failed request.
		if _, _, err := c.List(t.Context(), "lease"); err != nil {
			t.Fatal(err)
		}
		_, err := c.Put(t.Context(), "lease", "p.orders", []byte(`{}`), 0)
		if name != "redirect" && !errors.Is(err, objectstore.ErrUnavailable) || err == nil {
			t.Errorf("%s: got error %v", name, err)
		}
		if writes.Load() != 1 {
			t.Errorf("%s: the write was sent %d times", name, writes.Load())
		}
	}
}

// Guards against watches that reorder or lose events, that go on during an outage of the platform, or that miss compaction.
func TestWatch(t *testing.T) {
	mem := memplatform.New()
	c := serve(t, standin.NewPlatform(mem), httpplatform.Options{})
	for _, name := range []string{"a", "b", "c"} {
		if _, err := c.Put(t.Context(), "team", name, []byte(`{}`), 0); err != nil {
			t.Fatal(err)
		}
	}
	var seen []string
	err := c.Watch(t.Context(), []string{"team"}, 2, func(e apitypes.Event) error {
		if e.Type == apitypes.EventPut {
			seen = append(seen, e.Object.Name)
		}
		if len(seen) == 2 {
			mem.SetFaults(memplatform.Faults{Down: true})
		}
		return nil
	})
	if !errors.Is(err, objectstore.ErrUnavailable) || strings.Join(seen, "") != "bc" {
		t.Fatalf("saw %v, ended with %v", seen, err)
	}
	mem.SetFaults(memplatform.Faults{})
	// Writes one object more often than the platform retains events, so that revision 2 is compacted. All writes but the second one
	// succeed.
	for i := range uint64(5000) {
		_, _ = mem.Put(t.Context(), "pool", "p", []byte(`{}`), map[bool]uint64{true: 3 + i}[i > 0])
	}
	if err := c.Watch(t.Context(), []string{"team"}, 2, func(apitypes.Event) error { return nil }); !errors.Is(err, objectstore.ErrCompacted) {
		t.Fatalf("compacted watch: %v", err)
	}
}

// Guards against a watch that hangs forever after its connection was lost without a FIN or RST.
func TestIdleWatchEnds(t *testing.T) {
	c := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}), httpplatform.Options{WatchIdle: 50 * time.Millisecond})
	err := c.Watch(t.Context(), []string{"team"}, 0, func(apitypes.Event) error { return nil })
	if !errors.Is(err, objectstore.ErrUnavailable) {
		t.Fatal(err)
	}
}

// Guards against provider orders and usage reports whose id, precondition or conflict is lost between client and platform.
func TestProviderAndUsage(t *testing.T) {
	mem := memplatform.New()
	mem.SetEndpoints("p", []apitypes.Endpoint{{Name: "e1", State: apitypes.EndpointReady}})
	mem.SetVMs([]apitypes.VM{{Name: "vm-1", State: apitypes.VMLive}})
	c := serve(t, standin.NewPlatform(mem), httpplatform.Options{})
	ctx := t.Context()
	view, err := c.Endpoints(ctx, "p")
	if err != nil || len(view.Endpoints) != 1 {
		t.Fatal(view, err)
	}
	o := apitypes.Order{ID: "o1", Kind: apitypes.OrderAdd, FailureDomain: "engure", Class: apitypes.OnDemand}
	if _, err := c.PlaceOrder(ctx, "p", o, view.Version+1); !errors.Is(err, objectstore.ErrConflict) {
		t.Fatal(err)
	}
	for range 2 {
		if after, err := c.PlaceOrder(ctx, "p", o, view.Version); err != nil || len(after.Endpoints) != 2 {
			t.Fatal(after, err)
		}
	}
	w := apitypes.UsageWindow{ID: "300", Teams: map[string]apitypes.Usage{"a": {Requests: 1}}}
	if err := c.ReportWindow(ctx, w); err != nil {
		t.Fatal(err)
	}
	w.Teams = map[string]apitypes.Usage{"a": {Requests: 2}}
	if err := c.ReportWindow(ctx, w); !errors.Is(err, objectstore.ErrConflict) {
		t.Fatal(err)
	}
	if vms, err := c.ListVMs(ctx); err != nil || len(vms) != 1 {
		t.Fatal(vms, err)
	}
}

// Guards against a client without a rate limit, and against a call that waits for the limiter past its deadline.
func TestClientRateLimit(t *testing.T) {
	c := serve(t, standin.NewPlatform(memplatform.New()), httpplatform.Options{Rate: 0.001, Burst: 1})
	ctx, cancel := context.WithTimeout(t.Context(), time.Hour/60)
	defer cancel()
	if _, err := c.ListVMs(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err := c.ListVMs(ctx); !errors.Is(err, objectstore.ErrThrottled) {
		t.Fatal(err)
	}
}

// Guards against a DialContext option that is ignored, which would let provider orders reach the platform after the
// lease that covers them has ended.
func TestDialContext(t *testing.T) {
	refused := errors.New("refused by dialer")
	c := serve(t, standin.NewPlatform(memplatform.New()), httpplatform.Options{
		DialContext: func(context.Context, string, string) (net.Conn, error) { return nil, refused }})
	if _, err := c.ListVMs(t.Context()); !errors.Is(err, objectstore.ErrUnavailable) || !strings.Contains(err.Error(), refused.Error()) {
		t.Fatal(err)
	}
}

// Guards against delays that exceed the cap or fall below half of the bound.
func TestBackoff(t *testing.T) {
	b := httpplatform.Backoff{Base: 10 * time.Millisecond, Cap: 40 * time.Millisecond, Rand: rand.New(rand.NewPCG(1, 2))}
	bound := b.Base
	for i := range 50 {
		if delay := b.Next(); delay < bound/2 || delay > bound {
			t.Fatalf("delay %d is %v, outside [%v, %v]", i, delay, bound/2, bound)
		}
		bound = min(2*bound, b.Cap)
	}
}

// Guards against lists that are sent in full although they did not change, and against a conditional read that returns the cached
// list after a change.
func TestConditionalReads(t *testing.T) {
	mem := memplatform.New()
	fullResponses := 0
	handler := standin.NewPlatform(mem)
	c := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, r)
		if recorder.Code == http.StatusOK {
			fullResponses++
		}
		maps.Copy(w.Header(), recorder.Header())
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}), httpplatform.Options{})
	ctx := t.Context()
	for i, state := range []apitypes.EndpointState{apitypes.EndpointReady, apitypes.EndpointLeaving} {
		mem.SetVMs([]apitypes.VM{{Name: "vm-1", State: apitypes.VMLive, GatewayAddr: string(state)}})
		mem.SetEndpoints("p", []apitypes.Endpoint{{Name: "e", State: state}})
		for range 3 {
			vms, err := c.ListVMs(ctx)
			if err != nil || len(vms) != 1 || vms[0].GatewayAddr != string(state) {
				t.Fatalf("VMs: %v, %v", vms, err)
			}
			view, err := c.Endpoints(ctx, "p")
			if err != nil || len(view.Endpoints) != 1 || view.Endpoints[0].State != state {
				t.Fatalf("endpoints: %v, %v", view, err)
			}
		}
		if fullResponses != 2*(i+1) {
			t.Errorf("%d full responses after %d changes of two lists", fullResponses, i+1)
		}
	}
}

// Guards against a conditional read that fails because a later read has replaced the cached response in the meantime: its 304 Not
// Modified refers to the response that was cached when it was sent.
func TestConditionalReadDuringLaterRead(t *testing.T) {
	slowArrived, release := make(chan struct{}), make(chan struct{})
	var reads atomic.Int32
	c := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch reads.Add(1) {
		case 1:
			w.Header().Set("ETag", `"1"`)
			_, _ = w.Write([]byte(`{"vms":[{"name":"old"}]}`))
		case 2:
			close(slowArrived)
			<-release
			w.Header().Set("ETag", `"1"`)
			w.WriteHeader(http.StatusNotModified)
		default:
			w.Header().Set("ETag", `"2"`)
			_, _ = w.Write([]byte(`{"vms":[{"name":"new"}]}`))
		}
	}), httpplatform.Options{})
	if _, err := c.ListVMs(t.Context()); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() {
		vms, err := c.ListVMs(t.Context())
		if err == nil && (len(vms) != 1 || vms[0].Name != "old") {
			err = errors.Errorf("got %+v", vms)
		}
		done <- err
	}()
	<-slowArrived
	if _, err := c.ListVMs(t.Context()); err != nil {
		t.Fatal(err)
	}
	close(release)
	if err := <-done; err != nil {
		t.Errorf("the slow read: %v", err)
	}
}

// Guards against a healthy watch that ends because handling an event took longer than the idle limit.
func TestSlowHandlerDoesNotEndWatch(t *testing.T) {
	const idle = 100 * time.Millisecond
	c := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range 2 {
			_, _ = w.Write([]byte(`{"type":"put","revision":1}` + "\n"))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(3 * idle) // the second event arrives while the first is handled
		}
	}), httpplatform.Options{WatchIdle: idle})
	errDone := errors.New("both events handled")
	events := 0
	err := c.Watch(t.Context(), []string{"team"}, 0, func(apitypes.Event) error {
		if events++; events == 2 {
			return errDone
		}
		time.Sleep(4 * idle)
		return nil
	})
	if !errors.Is(err, errDone) {
		t.Errorf("the watch ended with %v after %d events", err, events)
	}
}
