package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/placement"
	"crocusglade.example/crocusglade/internal/retry"
	"crocusglade.example/crocusglade/internal/upstream"
)

// silentBackend simulates endpoints that stream events and may fall silent: they send nothing and accept no connection for a time, and go on.
type silentBackend struct {
	events int
	// silent holds the silences of endpoints, and refusing those that refuse all requests, breaking those that reset them.
	silent             map[string]silence
	refusing, breaking map[string]bool
	start              time.Time
}

// silence is a time without a sign of life, from the start of the test.
type silence struct{ from, to time.Duration }

const (
	silentEventInterval = 50 * time.Millisecond
	// settleTime is longer than what goes on in the background after a request.
	settleTime = 5 * time.Second
)

// awaitSound waits until an endpoint isn't silent.
func (b *silentBackend) awaitSound(ctx context.Context, id string) error {
	s, at := b.silent[id], time.Since(b.start)
	if at < s.from || at >= s.to {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-time.After(s.to - at):
		return nil
	}
}

func (b *silentBackend) Run(ctx context.Context, e *catalog.Endpoint, _ *Request, d *Dispatch) (*Answer, error) {
	if err := b.awaitSound(ctx, e.ID); err != nil {
		return nil, &upstream.SendError{MaySent: true, Err: err}
	}
	if b.breaking[e.ID] {
		return nil, &upstream.SendError{MaySent: true, Err: errors.New("connection reset")}
	}
	if b.refusing[e.ID] {
		return &Answer{Status: http.StatusServiceUnavailable, NotRun: true, Body: io.NopCloser(strings.NewReader(""))}, nil
	}
	first := 1
	if d.ResumeAfter != "" {
		if _, err := fmt.Sscan(d.ResumeAfter, &first); err != nil {
			return nil, err
		}
		first++
	}
	ctx, cancel := context.WithCancel(ctx)
	return &Answer{Status: http.StatusOK, Signed: true, Header: http.Header{"Content-Type": {"text/event-stream"}},
		Body: &silentBody{b: b, ctx: ctx, cancel: cancel, id: e.ID, next: first}}, nil
}

// silentBody is a response whose events arrive every silentEventInterval while the endpoint isn't silent.
type silentBody struct {
	b      *silentBackend
	ctx    context.Context
	cancel context.CancelFunc
	id     string
	next   int
}

func (r *silentBody) Read(p []byte) (int, error) {
	if r.next > r.b.events {
		return 0, io.EOF
	}
	select {
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	case <-time.After(silentEventInterval):
	}
	if err := r.b.awaitSound(r.ctx, r.id); err != nil {
		return 0, err
	}
	r.next++
	return copy(p, fmt.Sprintf("id: %d\ndata: x\n\n", r.next-1)), nil
}

func (r *silentBody) Close() error {
	r.cancel()
	return nil
}

func (b *silentBackend) Prefill(context.Context, *catalog.Endpoint, *Request, *Dispatch) (*Handle, int, error) {
	return nil, 0, errors.New("no prefill engines")
}

func (b *silentBackend) IsReachable(ctx context.Context, e *catalog.Endpoint) bool {
	return !b.breaking[e.ID] && b.awaitSound(ctx, e.ID) == nil
}

func (b *silentBackend) CachedParts(context.Context, *catalog.Endpoint) ([]placement.Part, error) {
	return nil, nil
}
func (b *silentBackend) FreeHandle(context.Context, *Handle) {}

// streamReply records the response to one request.
type streamReply struct {
	status  int
	body    strings.Builder
	aborted bool
}

func (r *streamReply) WriteAnswer(status int, _ http.Header, body []byte) {
	r.status = status
	r.body.Write(body)
}
func (r *streamReply) StartStream(status int, _ http.Header) { r.status = status }
func (r *streamReply) WriteEvent(p []byte) error             { r.body.Write(p); return nil }
func (r *streamReply) Abort()                                { r.aborted = true }
func (r *streamReply) WriteError(err *apierror.Error, _ time.Duration) {
	r.status = err.HTTPStatus()
}

// newSilenceServer returns a server for two endpoints, "a" and "b", of a service with the routes /stream/, which may be resumed, /once/, which
// may not, and /read/, which is idempotent. New requests go to "a" while it is healthy.
func newSilenceServer(t *testing.T, b *silentBackend, retries float64) *Server {
	t.Helper()
	fleet := placement.New("z", placement.DefaultWeights)
	fleet.SetServices(map[string]catalog.Service{"llm": {Name: "llm"}})
	fleet.SetEndpoints([]catalog.Endpoint{{ID: "a", Service: "llm", SoftwareVersion: "1", FailureDomain: "z", Slots: 100}, {ID: "b", Service: "llm", SoftwareVersion: "1", FailureDomain: "far", Slots: 100}})
	holder := &catalog.Holder{}
	route := func(prefix string, semantics catalog.Semantics, resumable bool) catalog.Route {
		return catalog.Route{Name: prefix, Host: "h", PathPrefix: prefix, Semantics: semantics, Resumable: resumable, Attempts: 2,
			Timeout: 5 * time.Second, Objective: 200 * time.Millisecond, EventGap: 200 * time.Millisecond,
			WeightedServices: []catalog.WeightedService{{Service: "llm", Weight: 1}}}
	}
	holder.Apply(&catalog.Catalog{Revision: 1, Version: 1, Services: map[string]catalog.Service{"llm": {Name: "llm"}}, Routes: []catalog.Route{
		route("/stream/", catalog.Stream, true), route("/once/", catalog.Stream, false), route("/read/", catalog.Idempotent, false)}}, bootclock.Now())
	b.start = time.Now()
	return New(Config{Catalog: holder, Fleet: fleet, Backend: b, Usage: noUsage{}, Budget: retry.NewWindowBudget(0, retries, 10*time.Second),
		Quarantine: retry.NewQuarantine(time.Minute), Parts: retry.NewPartQuarantine(bootclock.NowAsTime), Log: zerolog.Nop(), Observe: noObserver{},
		Ready: func() bool { return true }, Bounds: func() Bounds { return Bounds{time.Hour, time.Hour} }})
}

// serveSilence sends a request and returns the response.
func serveSilence(s *Server, id, path string) *streamReply {
	reply := &streamReply{}
	s.Serve(context.Background(), &Request{ID: id, Method: http.MethodPost, Target: path, Path: path, Host: "h", Header: http.Header{}, Arrived: time.Now()}, reply)
	return reply
}

// events returns a stream of n events.
func events(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i+1)
	}
	return b.String()
}

// Guards against streams that are cut because a sound engine was silent for a second or so, when no other engine takes them over.
func TestStreamOfSilentEngineIsNotCut(t *testing.T) {
	silentAt := func(from time.Duration) silence { return silence{from, from + 1400*time.Millisecond} }
	for name, c := range map[string]struct {
		backend silentBackend
		path    string
		retries float64
		streams int
	}{
		"other engine refuses":     {silentBackend{silent: map[string]silence{"a": silentAt(120 * time.Millisecond)}, refusing: map[string]bool{"b": true}}, "/stream/", 100, 3},
		"other engine breaks off":  {silentBackend{silent: map[string]silence{"a": silentAt(120 * time.Millisecond)}, breaking: map[string]bool{"b": true}}, "/stream/", 100, 3},
		"other engine is silent":   {silentBackend{silent: map[string]silence{"a": silentAt(120 * time.Millisecond), "b": silentAt(900 * time.Millisecond)}}, "/stream/", 100, 3},
		"retry budget is too low":  {silentBackend{silent: map[string]silence{"a": silentAt(120 * time.Millisecond)}}, "/stream/", 2, 12},
		"no retry at all":          {silentBackend{silent: map[string]silence{"a": silentAt(120 * time.Millisecond)}}, "/stream/", 0, 3},
		"not resumable":            {silentBackend{silent: map[string]silence{"a": silentAt(120 * time.Millisecond)}}, "/once/", 100, 3},
		"silent before the answer": {silentBackend{silent: map[string]silence{"a": silentAt(0), "b": silentAt(0)}}, "/stream/", 100, 3},
		"refused before an answer": {silentBackend{silent: map[string]silence{"a": silentAt(0)}, refusing: map[string]bool{"b": true}}, "/stream/", 100, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := &c.backend
				backend.events = 6
				s := newSilenceServer(t, backend, c.retries)
				replies := make([]*streamReply, c.streams)
				var wg sync.WaitGroup
				for i := range replies {
					wg.Go(func() { replies[i] = serveSilence(s, fmt.Sprint("r", i), c.path) })
				}
				wg.Wait()
				time.Sleep(settleTime)
				for i, r := range replies {
					if r.aborted || r.status != http.StatusOK || r.body.String() != events(6) {
						t.Errorf("stream %d: status %d, aborted %v, %d bytes of %d", i, r.status, r.aborted, r.body.Len(), len(events(6)))
					}
				}
			})
		})
	}
}

// Guards against idempotent requests that fail because a sound endpoint was silent for a second or so and the other one doesn't serve them.
func TestIdempotentRequestOfSilentEndpointIsServed(t *testing.T) {
	for name, backend := range map[string]*silentBackend{
		"other endpoint refuses":    {refusing: map[string]bool{"b": true}},
		"other endpoint breaks off": {breaking: map[string]bool{"b": true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend.events, backend.silent = 1, map[string]silence{"a": {0, 1400 * time.Millisecond}}
				s := newSilenceServer(t, backend, 100)
				if r := serveSilence(s, "r", "/read/"); r.status != http.StatusOK || r.body.String() != events(1) {
					t.Errorf("status %d, %q", r.status, r.body.String())
				}
				time.Sleep(settleTime)
			})
		})
	}
}

// Guards against sound requests that are quarantined because the endpoints that ran them were silent, not crashed.
func TestSilenceIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &silentBackend{events: 6, silent: map[string]silence{"a": {0, 1400 * time.Millisecond}, "b": {0, 1400 * time.Millisecond}}}
		s := newSilenceServer(t, backend, 100)
		serveSilence(s, "r", "/read/")
		time.Sleep(settleTime)
		if s.Quarantine.HasCrashRecord(retry.Fingerprint("", "/read/\x00/read/", nil)) {
			t.Error("a crash is on record")
		}
	})
}

// Guards against requests that crash their endpoints without a trace on the connection and are sent to one after the other.
func TestEndpointThatStaysSilentCountsAsCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &silentBackend{events: 6, silent: map[string]silence{"a": {0, time.Minute}}}
		s := newSilenceServer(t, backend, 100)
		if r := serveSilence(s, "r", "/read/"); r.status != http.StatusOK {
			t.Errorf("status %d", r.status)
		}
		time.Sleep(settleTime)
		if !s.Quarantine.HasCrashRecord(retry.Fingerprint("", "/read/\x00/read/", nil)) {
			t.Error("no crash is on record")
		}
	})
}
