package gateway

import (
	"io"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/standin"
)

// Guards against streams that are interrupted when their endpoint is reclaimed or drained, against migrations that the team's template
// does not allow, and against migrations without another endpoint.
func TestStreamMigration(t *testing.T) {
	for _, c := range []struct {
		name       string
		reclaimed  bool
		retireMode apitypes.RetireMode
		engines    int
		migrates   bool
	}{
		{"reclaimed", true, apitypes.RetireWait, 2, true},
		{"drained, move", false, apitypes.RetireMove, 2, true},
		{"drained, wait", false, apitypes.RetireWait, 2, false},
		{"reclaimed, no other engine", true, apitypes.RetireMove, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, []standin.EngineConfig{slowEngine, slowEngine}[:c.engines]...)
			h.retireMode = c.retireMode
			h.applyConfig(2)
			addr := h.startGateway("vm-1")
			resp, reader := h.startStream(addr, "rope")
			g := h.gateways["vm-1"]
			source, other := h.streamEndpoint(t)
			e, _ := g.opts.Balancer.Endpoint(source)
			e.NoNewWork = true
			if c.reclaimed {
				e.ReclaimAt = time.Now().Add(time.Minute).UnixMilli()
			}
			g.opts.Balancer.UpdateEndpoint("llm", e)
			g.migrateStreams()
			rest, err := io.ReadAll(reader)
			if err != nil {
				t.Fatal(err)
			}
			r := reply{status: resp.StatusCode, body: "data: \n" + string(rest)}
			if got, done := r.output(); !done || !isSuffix(standin.ExpectedOutput(standin.ChatPrompt("user", "rope"), 100), got) {
				t.Errorf("end marker %v, %d bytes of output", done, len(got))
			}
			migrated := other != nil && len(other.Requests()) == 1 && other.Requests()[0].ContinueAfter > 0
			if migrated != c.migrates {
				t.Errorf("migrated %v, want %v", migrated, c.migrates)
			}
			if choice, err := g.opts.Balancer.Choose(balancer.Request{Pool: "llm"}); err == nil {
				choice.Done(balancer.Outcome{})
			}
			if n := len(g.streams.streams); n != 0 {
				t.Errorf("%d streams are still registered", n)
			}
		})
	}
}

// streamEndpoint returns the name of the endpoint that runs the only stream, and another engine or nil.
func (h *harness) streamEndpoint(t *testing.T) (name string, other *standin.Engine) {
	for i, e := range h.engines {
		if len(e.Requests()) > 0 {
			name = string(rune('a' + i))
			continue
		}
		other = e
	}
	if name == "" {
		t.Fatal("no engine runs the stream")
	}
	return name, other
}

// isSuffix reports whether got is a non-empty suffix of want. The first token of got was already consumed by startStream.
func isSuffix(want, got string) bool { return len(got) > 0 && want[len(want)-len(got):] == got }
