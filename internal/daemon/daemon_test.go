package daemon

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/telemetry"
)

func newProcess(t *testing.T, parts ...Component) (*process, chan os.Signal) {
	t.Helper()
	tel, err := telemetry.New(io.Discard, "info", telemetry.Identity{})
	if err != nil {
		t.Fatal(err)
	}
	signals := make(chan os.Signal, 2)
	return &process{parts: parts, log: tel.Log, telemetry: tel, drainLimit: time.Hour, signals: signals,
		exit: func(int) { t.Error("ended at once") }}, signals
}

func untilDone(ctx context.Context) error { <-ctx.Done(); return nil }

// Guards against a planned stop that cancels a part before its requests in progress have ended (G11).
func TestSignalDrainsBeforeCancel(t *testing.T) {
	var running atomic.Bool
	var p *process
	part := Component{Name: "a",
		Run: func(ctx context.Context) error {
			running.Store(true)
			<-ctx.Done()
			running.Store(false)
			return nil
		},
		Drain: func(context.Context) error {
			if !running.Load() || len(p.telemetry.Health.Reasons()) == 0 {
				t.Error("cancelled, or called ready, during the drain")
			}
			return nil
		}}
	started := make(chan struct{})
	p, signals := newProcess(t, part, Component{Name: "b", Run: func(ctx context.Context) error { close(started); return untilDone(ctx) }})
	go func() {
		<-started
		for !running.Load() {
			time.Sleep(time.Millisecond)
		}
		signals <- syscall.SIGTERM
	}()
	if code := p.run(t.Context()); code != ExitOK || running.Load() {
		t.Errorf("code %d, running %v", code, running.Load())
	}
}

// Guards against a process that can't be ended while it drains.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	p, signals := newProcess(t, Component{Name: "a", Run: untilDone, Drain: func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}})
	code := ExitOK
	p.exit = func(c int) { code = c }
	signals <- syscall.SIGTERM
	signals <- syscall.SIGTERM
	p.run(t.Context())
	if code != ExitForced {
		t.Errorf("exit code %d", code)
	}
}

// Guards against a process that runs on without one of its parts.
func TestFailingPartEndsProcess(t *testing.T) {
	for _, result := range []error{errors.New("broken"), nil} {
		p, _ := newProcess(t, Component{Name: "a", Run: untilDone}, Component{Name: "b", Run: func(context.Context) error { return result }})
		if code := p.run(t.Context()); code != ExitFailed {
			t.Errorf("%v: exit code %d", result, code)
		}
	}
}

// Guards against wrong settings that don't give exit code 2.
func TestWrongSettings(t *testing.T) {
	for name, role := range map[string]func(context.Context, []string, io.Writer, io.Writer) int{"gateway": RunGateway, "controller": RunController} {
		var out, failure bytes.Buffer
		if code := role(t.Context(), []string{"--region=X"}, &out, &failure); code != 2 || !strings.Contains(failure.String(), "--region") {
			t.Errorf("%s: %d %s", name, code, failure.String())
		}
		if code := role(t.Context(), []string{"--help"}, &out, &failure); code != 0 || !strings.Contains(out.String(), "--vm-name") {
			t.Errorf("%s --help: %d", name, code)
		}
	}
}

// Guards against a drain that cuts requests and is counted as one that cut none (G2, G11).
func TestDrainCountsCutRequests(t *testing.T) {
	p, signals := newProcess(t, Component{Name: "a", Run: untilDone, InFlight: func() int { return 3 },
		Drain: func(context.Context) error { return errors.New("requests are still in progress") }})
	signals <- syscall.SIGTERM
	if code := p.run(t.Context()); code != ExitOK {
		t.Errorf("code %d", code)
	}
	w := httptest.NewRecorder()
	p.telemetry.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if !regexp.MustCompile(`(?m)^crocusglade_drain_cut_total\{[^}]*what="process"[^}]*\} 3$`).Match(w.Body.Bytes()) {
		t.Errorf("no count of 3 cut requests in:\n%s", w.Body)
	}
}
