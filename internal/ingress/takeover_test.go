package ingress

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/placement"
	"crocusglade.example/crocusglade/internal/retry"
	"crocusglade.example/crocusglade/internal/upstream"
)

// step is a piece of a response that arrives after wait. reset breaks the response off.
type step struct {
	wait time.Duration
	text string
}

const reset = "reset"

// script is the response of an endpoint: its head arrives after head, with status 200 if status is 0.
type script struct {
	head   time.Duration
	status int
	notRun bool
	steps  []step
}

// scriptedBackend simulates endpoints whose responses follow scripts, and records to which of them the request was sent.
type scriptedBackend struct {
	scripts map[string]script

	mu   sync.Mutex
	sent []string
}

func (b *scriptedBackend) Run(ctx context.Context, e *catalog.Endpoint, _ *Request, _ *Dispatch) (*Answer, error) {
	b.mu.Lock()
	b.sent = append(b.sent, e.ID)
	b.mu.Unlock()
	s := b.scripts[e.ID]
	select {
	case <-ctx.Done():
		return nil, &upstream.SendError{MaySent: true, Err: context.Cause(ctx)}
	case <-time.After(s.head):
	}
	if s.notRun {
		return &Answer{Status: 503, NotRun: true, Body: io.NopCloser(strings.NewReader(""))}, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	return &Answer{Status: cmp.Or(s.status, http.StatusOK), Signed: true, Header: http.Header{}, Body: &scriptedBody{ctx: ctx, cancel: cancel, steps: s.steps}}, nil
}

// scriptedBody is a response body that follows a script.
type scriptedBody struct {
	ctx    context.Context
	cancel context.CancelFunc
	steps  []step
}

func (r *scriptedBody) Read(p []byte) (int, error) {
	if len(r.steps) == 0 {
		return 0, io.EOF
	}
	select {
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	case <-time.After(r.steps[0].wait):
	}
	t := r.steps[0].text
	r.steps = r.steps[1:]
	if t == reset {
		return 0, errors.New("connection reset")
	}
	return copy(p, t), nil
}
func (r *scriptedBody) Close() error {
	r.cancel()
	return nil
}

func (b *scriptedBackend) Prefill(context.Context, *catalog.Endpoint, *Request, *Dispatch) (*Handle, int, error) {
	return nil, 0, errors.New("no prefill engines")
}
func (b *scriptedBackend) IsReachable(context.Context, *catalog.Endpoint) bool { return true }
func (b *scriptedBackend) CachedParts(context.Context, *catalog.Endpoint) ([]placement.Part, error) {
	return nil, nil
}
func (b *scriptedBackend) FreeHandle(context.Context, *Handle) {}

// event returns the event with an id.
func event(n int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", n) }

// Guards against responses that are lost, doubled or run on too many endpoints when another endpoint takes over from a silent one and fails
// itself, or when the silent one goes on meanwhile.
func TestTakeoverFromSilentEndpoint(t *testing.T) {
	const ms = time.Millisecond
	const hang = time.Hour
	for _, c := range []struct {
		name      string
		ids       []string
		attempts  int
		path      string
		scripts   map[string]script
		want      string
		endpoints int
	}{
		{"second takeover", []string{"a", "b", "c"}, 3, "/stream/", map[string]script{
			"a": {steps: []step{{50 * ms, event(1)}, {hang, ""}}},
			"b": {steps: []step{{50 * ms, event(2)}, {hang, ""}}},
			"c": {steps: []step{{50 * ms, event(3)}, {50 * ms, event(4)}}}}, events(4), 3},
		{"second takeover with attempts left", []string{"a", "b", "c"}, 4, "/stream/", map[string]script{
			"a": {steps: []step{{50 * ms, event(1)}, {hang, ""}}},
			"b": {steps: []step{{50 * ms, event(2)}, {hang, ""}}},
			"c": {steps: []step{{50 * ms, event(3)}, {50 * ms, event(4)}}}}, events(4), 3},
		{"second engine goes on after another one took over", []string{"a", "b", "c"}, 4, "/stream/", map[string]script{
			"a": {steps: []step{{50 * ms, event(1)}, {hang, ""}}},
			"b": {steps: []step{{50 * ms, event(2)}, {2000 * ms, event(3)}, {50 * ms, event(4)}}},
			"c": {steps: []step{{50 * ms, event(3)}, {50 * ms, event(4)}}}}, events(4), 3},
		{"other engine breaks off after its head", []string{"a", "b"}, 2, "/stream/", map[string]script{
			"a": {steps: []step{{50 * ms, event(1)}, {1800 * ms, event(2)}, {50 * ms, event(3)}}},
			"b": {steps: []step{{50 * ms, reset}}}}, events(3), 2},
		{"silent one refuses late", []string{"a", "b"}, 2, "/read/", map[string]script{
			"a": {head: 1000 * ms, notRun: true},
			"b": {head: 400 * ms, steps: []step{{0, event(1)}}}}, events(1), 2},
		{"silent one fails late", []string{"a", "b"}, 2, "/read/", map[string]script{
			"a": {head: 1000 * ms, status: 500, steps: []step{{0, "err"}}},
			"b": {head: 400 * ms, steps: []step{{0, event(1)}}}}, events(1), 2},
		{"other engines answer 404", []string{"a", "b", "c"}, 2, "/stream/", map[string]script{
			"a": {steps: []step{{50 * ms, event(1)}, {3000 * ms, event(2)}}},
			"b": {status: 404, steps: []step{{0, "no"}}},
			"c": {status: 404, steps: []step{{0, "no"}}}}, events(2), 2},
		{"silent one sends its head late", []string{"a", "b"}, 2, "/stream/", map[string]script{
			"a": {head: 900 * ms, steps: []step{{hang, event(1)}}},
			"b": {head: 400 * ms, steps: []step{{0, event(1)}, {50 * ms, event(2)}}}}, events(2), 2},
		{"silent one goes on with an event in two pieces", []string{"a", "b"}, 2, "/stream/", map[string]script{
			"a": {steps: []step{{50 * ms, event(1)}, {1500 * ms, "id: 2\n"}, {10 * ms, "data: x\n\n"}, {50 * ms, event(3)}}},
			"b": {head: hang}}, events(3), 2},
		{"silent one goes on and breaks off", []string{"a", "b", "c"}, 2, "/stream/", map[string]script{
			"a": {steps: []step{{50 * ms, event(1)}, {1500 * ms, event(2)}, {50 * ms, reset}}},
			"b": {head: hang},
			"c": {steps: []step{{50 * ms, event(3)}}}}, "", 2},
		{"two silences", []string{"a", "b", "c", "d"}, 2, "/stream/", map[string]script{
			"a": {steps: []step{{50 * ms, event(1)}, {1500 * ms, event(2)}, {1500 * ms, event(3)}, {50 * ms, event(4)}}},
			"b": {head: hang}, "c": {head: hang}, "d": {head: hang}}, events(4), 2},
		{"engine that lost is tried again", []string{"a", "b"}, 3, "/stream/", map[string]script{
			"a": {steps: []step{{50 * ms, event(1)}, {1300 * ms, event(2)}, {50 * ms, reset}}},
			"b": {head: 500 * ms, steps: []step{{50 * ms, event(3)}}}}, events(3), 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &scriptedBackend{scripts: c.scripts}
				s := newTakeoverServer(b, c.ids, c.attempts)
				r := serveSilence(s, "r", c.path)
				time.Sleep(settleTime)
				slices.Sort(b.sent)
				if n := len(slices.Compact(b.sent)); n > c.endpoints {
					t.Errorf("sent to %d endpoints, of which %d may run the request", n, c.endpoints)
				}
				if c.want != "" && (r.aborted || r.status != http.StatusOK || r.body.String() != c.want) {
					t.Errorf("status %d, aborted %v, %q", r.status, r.aborted, r.body.String())
				}
			})
		})
	}
}

// newTakeoverServer returns a server for endpoints of a service with the routes /stream/, which may be resumed, and /read/, which is
// idempotent. The first endpoint is preferred.
func newTakeoverServer(b Backend, ids []string, attempts int) *Server {
	fleet := placement.New("z", placement.DefaultWeights)
	fleet.SetServices(map[string]catalog.Service{"llm": {Name: "llm"}})
	endpoints := []catalog.Endpoint{{ID: ids[0], Service: "llm", SoftwareVersion: "1", FailureDomain: "z", Slots: 100}}
	for _, id := range ids[1:] {
		endpoints = append(endpoints, catalog.Endpoint{ID: id, Service: "llm", SoftwareVersion: "1", FailureDomain: "far", Slots: 100})
	}
	fleet.SetEndpoints(endpoints)
	holder := &catalog.Holder{}
	route := func(prefix string, semantics catalog.Semantics, resumable bool) catalog.Route {
		return catalog.Route{Name: prefix, Host: "h", PathPrefix: prefix, Semantics: semantics, Resumable: resumable, Attempts: attempts,
			Timeout: 8 * time.Second, Objective: 200 * time.Millisecond, EventGap: 200 * time.Millisecond,
			WeightedServices: []catalog.WeightedService{{Service: "llm", Weight: 1}}}
	}
	holder.Apply(&catalog.Catalog{Revision: 1, Version: 1, Services: map[string]catalog.Service{"llm": {Name: "llm"}},
		Routes: []catalog.Route{route("/stream/", catalog.Stream, true), route("/read/", catalog.Idempotent, false)}}, bootclock.Now())
	return New(Config{Catalog: holder, Fleet: fleet, Backend: b, Usage: noUsage{}, Budget: retry.NewWindowBudget(0, 100, 10*time.Second),
		Quarantine: retry.NewQuarantine(time.Minute), Parts: retry.NewPartQuarantine(bootclock.NowAsTime), Log: zerolog.Nop(), Observe: noObserver{},
		Ready: func() bool { return true }, Bounds: func() Bounds { return Bounds{time.Hour, time.Hour} }})
}
