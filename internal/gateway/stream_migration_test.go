package gateway

import (
	"io"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/standin"
)

// Guards against streams that are cut when their endpoint is reclaimed or emptied, against moves that the team's template does not
// allow, and against moves to nowhere.
func TestStreamsMove(t *testing.T) {
	for _, c := range []struct {
		name      string
		reclaimed bool
		retire    apitypes.RetireMode
		engines   int
		moves     bool
	}{
		{"reclaimed", true, apitypes.RetireWait, 2, true},
		{"emptied, move", false, apitypes.RetireMove, 2, true},
		{"emptied, wait", false, apitypes.RetireWait, 2, false},
		{"reclaimed, no other engine", true, apitypes.RetireMove, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBed(t, []standin.EngineConfig{slow, slow}[:c.engines]...)
			b.retire = c.retire
			b.configure(2)
			addr := b.gateway("vm-1")
			resp, reader := b.start(addr, "rope")
			g := b.gateways["vm-1"]
			first, other := b.runningAt(t)
			e, _ := g.opts.Balancer.Endpoint(first)
			e.NoNewWork = true
			if c.reclaimed {
				e.ReclaimAt = time.Now().Add(time.Minute).UnixMilli()
			}
			g.opts.Balancer.UpdateEndpoint("llm", e)
			g.moveStreams()
			rest, err := io.ReadAll(reader)
			if err != nil {
				t.Fatal(err)
			}
			r := reply{status: resp.StatusCode, body: "data: \n" + string(rest)}
			if got, whole := r.text(); !whole || !endsWith(standin.ExpectedOutput(standin.ChatPrompt("user", "rope"), 100), got) {
				t.Errorf("whole %v, %d bytes of output", whole, len(got))
			}
			moved := other != nil && len(other.Requests()) == 1 && other.Requests()[0].ContinueAfter > 0
			if moved != c.moves {
				t.Errorf("moved %v, want %v", moved, c.moves)
			}
			if place, err := g.opts.Balancer.Choose(balancer.Request{Pool: "llm"}); err == nil {
				place.Done(balancer.Outcome{})
			}
			if n := len(g.streams.streams); n != 0 {
				t.Errorf("%d streams are still registered", n)
			}
		})
	}
}

// runningAt returns the endpoint that runs the bed's only stream and another engine, or nil.
func (b *bed) runningAt(t *testing.T) (name string, other *standin.Engine) {
	for i, e := range b.engines {
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

// endsWith tells whether the text, less its first token that the bed has read already, ends the wanted output.
func endsWith(want, got string) bool { return len(got) > 0 && want[len(want)-len(got):] == got }
