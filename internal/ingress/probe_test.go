package ingress

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/placement"
	"crocusglade.example/crocusglade/internal/retry"
)

// prefillBackend is a scriptedBackend with prefill engines.
type prefillBackend struct {
	*scriptedBackend
	prefills    int
	prefillTime time.Duration
}

func (b *prefillBackend) Prefill(_ context.Context, e *catalog.Endpoint, _ *Request, _ *Dispatch) (*Handle, int, error) {
	b.prefills++
	time.Sleep(b.prefillTime)
	return &Handle{Endpoint: *e, ID: "handle"}, http.StatusOK, nil
}

// newProbeServer returns a server for a prefill engine "p" and decode engines, and its part quarantine, in which the part "bad" is blocked.
func newProbeServer(b Backend, decode ...string) (*Server, *retry.PartQuarantine) {
	services := map[string]catalog.Service{"llm": {Name: "llm", Engine: &catalog.Engine{Slots: 64, CacheTokens: 1 << 20, KVBytesPerToken: 1000, LinkMbps: 400_000,
		HandleTTL: 5 * time.Second}}}
	fleet := placement.New("z", placement.DefaultWeights)
	fleet.SetServices(services)
	endpoints := []catalog.Endpoint{{ID: "p", Service: "llm", FailureDomain: "z", Slots: 64, Role: catalog.Prefill}}
	for _, id := range decode {
		endpoints = append(endpoints, catalog.Endpoint{ID: id, Service: "llm", FailureDomain: "z", Slots: 64, Role: catalog.Decode})
	}
	fleet.SetEndpoints(endpoints)
	holder := &catalog.Holder{}
	holder.Apply(&catalog.Catalog{Revision: 1, Version: 1, Services: services, Routes: []catalog.Route{{Name: "stream", Host: "h", PathPrefix: "/stream/",
		Semantics: catalog.Stream, Resumable: true, HasPrompts: true, Attempts: 2, Timeout: 8 * time.Second, Objective: time.Second,
		WeightedServices: []catalog.WeightedService{{Service: "llm", Weight: 1}}}}}, bootclock.Now())
	parts := retry.NewPartQuarantine(time.Now)
	for n := range 3 {
		parts.RecordCrash([]retry.Part{retry.NewPart("llm", "bad")}, retry.CrashKey("e", int64(n)))
		time.Sleep(time.Second)
	}
	return New(Config{Catalog: holder, Fleet: fleet, Backend: b, Usage: noUsage{}, Budget: retry.NewWindowBudget(0, 100, 10*time.Second),
		Quarantine: retry.NewQuarantine(time.Minute), Parts: parts, Log: zerolog.Nop(), Observe: noObserver{},
		Ready: func() bool { return true }, Bounds: func() Bounds { return Bounds{time.Hour, time.Hour} }}), parts
}

// Guards against probes of a blocked part that never reach a decode engine, so that the part stays blocked for good: after a separate prefill,
// or after an engine that refused. Once an engine may have run it, a probe isn't sent again.
func TestProbeReachesDecodeEngine(t *testing.T) {
	answer := script{steps: []step{{10 * time.Millisecond, event(1)}}}
	for name, c := range map[string]struct {
		scripts map[string]script
		tokens  int
		sent    int
		blocked bool
	}{
		"separate prefill": {map[string]script{"a": answer, "b": answer}, 60_000, 1, false},
		"direct":           {map[string]script{"a": answer, "b": answer}, 100, 1, false},
		"first refuses":    {map[string]script{"a": {notRun: true}, "b": answer}, 100, 2, false},
		"first breaks off": {map[string]script{"a": {steps: []step{{0, reset}}}, "b": {steps: []step{{0, reset}}}}, 100, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &prefillBackend{scriptedBackend: &scriptedBackend{scripts: c.scripts}}
				ids := []string{"a"}
				if c.sent > 1 {
					ids = []string{"a", "b"}
				}
				s, parts := newProbeServer(b, ids...)
				if c.sent > 1 {
					s.Fleet.Avoid("b", 20*time.Second) // so that "a" is tried first
				}
				blocked := []retry.Part{retry.NewPart("llm", "bad")}
				if !parts.Blocked(blocked) {
					t.Fatal("the part is not blocked")
				}
				time.Sleep(16 * time.Second) // the first probe is due
				reply := &streamReply{}
				s.Serve(context.Background(), &Request{ID: "r", Method: http.MethodPost, Target: "/stream/x", Path: "/stream/x", Host: "h", Header: http.Header{},
					Arrived: time.Now(), Prompt: &placement.Prompt{Tokens: c.tokens, MaxOutput: 10,
						Parts: []placement.Part{{ID: "bad", Tokens: c.tokens / 2}, {ID: "own", Tokens: c.tokens / 2}}}}, reply)
				if slices.Sort(b.sent); len(b.sent) != c.sent || parts.Blocked(blocked) != c.blocked {
					t.Errorf("sent to %v, status %d, part still blocked %v", b.sent, reply.status, parts.Blocked(blocked))
				}
				if separate := c.tokens > 1000; separate != (b.prefills > 0) {
					t.Errorf("%d separate prefills", b.prefills)
				}
			})
		})
	}
}

// Guards against requests that are sent although they can't reach an endpoint before their caller's time ends, because packets wait on this VM's
// link: at once, and after a prefill that took the time that was left.
func TestRequestThatArrivesTooLateIsNotSent(t *testing.T) {
	const delay = 300 * time.Millisecond
	for name, c := range map[string]struct {
		left    time.Duration
		prefill time.Duration
		tokens  int
		sent    int
	}{
		"in time":                {time.Second, 0, 100, 1},
		"too late":               {delay, 0, 100, 0},
		"in time after prefill":  {time.Second, 100 * time.Millisecond, 60_000, 1},
		"too late after prefill": {time.Second, 800 * time.Millisecond, 60_000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &prefillBackend{scriptedBackend: &scriptedBackend{scripts: map[string]script{"a": {steps: []step{{0, event(1)}}}}}, prefillTime: c.prefill}
				s, _ := newProbeServer(b, "a")
				s.ConnectDelay = func() time.Duration { return delay }
				reply := &streamReply{}
				s.Serve(context.Background(), &Request{ID: "r", Method: http.MethodPost, Target: "/stream/x", Path: "/stream/x", Host: "h", Header: http.Header{},
					Arrived: time.Now(), Timeout: c.left, Prompt: &placement.Prompt{Tokens: c.tokens, MaxOutput: 10,
						Parts: []placement.Part{{ID: "sound", Tokens: c.tokens / 2}, {ID: "own", Tokens: c.tokens / 2}}}}, reply)
				if len(b.sent) != c.sent || (c.prefill > 0) != (b.prefills > 0) {
					t.Errorf("sent to %v after %d prefills, status %d", b.sent, b.prefills, reply.status)
				}
			})
		})
	}
}
