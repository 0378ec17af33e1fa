package node

import (
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/callerlimit"
)

// Guards against a log line for each refusal, which floods the log while callers exceed the limits, and against none.
func TestRefusalsAreLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var text strings.Builder
		n := &Node{log: zerolog.New(&text), callers: callerlimit.NewGate(callerlimit.Limits{MemoryBytes: 1 << 20, MaxConns: 1})}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- n.logCallerRefusals(ctx) }()
		for range 30 { // one for 3 s; each new connection closes the last one, or is closed
			near, far := net.Pipe()
			defer far.Close()
			n.callers.Admit(near)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		if got := text.String(); strings.Count(got, "\n") != 2 || strings.Count(got, "callers exceed the limits") != 1 ||
			!strings.Contains(got, `"refused":29`) || !strings.Contains(got, "inside the limits again") {
			t.Errorf("log:\n%s", got)
		}
	})
}
