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

// newProcess returns a process with the given components, and the channel of its signals.
func newProcess(t *testing.T, components ...Component) (*process, chan os.Signal) {
	t.Helper()
	tel, err := telemetry.New(io.Discard, "info", telemetry.Identity{})
	if err != nil {
		t.Fatal(err)
	}
	signals := make(chan os.Signal, 2)
	return &process{components: components, log: tel.Log, telemetry: tel, drainLimit: time.Hour, signals: signals,
		exit: func(int) { t.Error("the process exited before its drain was complete") }}, signals
}

// waitForCancel is a Component.Run that ends when its context is cancelled.
func waitForCancel(ctx context.Context) error { <-ctx.Done(); return nil }

// Guards against a planned stop that cancels a component before its requests in progress have finished (guarantee G11).
func TestSignalDrainsBeforeCancel(t *testing.T) {
	var running atomic.Bool
	var p *process
	component := Component{Name: "a",
		Run: func(ctx context.Context) error {
			running.Store(true)
			<-ctx.Done()
			running.Store(false)
			return nil
		},
		Drain: func(context.Context) error {
			if !running.Load() || len(p.telemetry.Health.Reasons()) == 0 {
				t.Error("cancelled, or reported as ready, during the drain")
			}
			return nil
		}}
	started := make(chan struct{})
	p, signals := newProcess(t, component, Component{Name: "b", Run: func(ctx context.Context) error { close(started); return waitForCancel(ctx) }})
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

// Guards against a process that can't be stopped while a drain takes long.
func TestInterruptDuringDrainEndsAtOnce(t *testing.T) {
	p, signals := newProcess(t, Component{Name: "a", Run: waitForCancel, Drain: func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}})
	code := ExitOK
	p.exit = func(c int) { code = c }
	signals <- syscall.SIGTERM
	signals <- os.Interrupt
	p.run(t.Context())
	if code != ExitForced {
		t.Errorf("exit code %d", code)
	}
}

// Guards against a repeated SIGTERM that ends the drain of a process, which cuts its requests, or starts another drain.
func TestRepeatedTerminationDoesntEndTheDrain(t *testing.T) {
	var drains atomic.Int32
	p, signals := newProcess(t, Component{Name: "a", Run: waitForCancel})
	p.components[0].Drain = func(context.Context) error {
		drains.Add(1)
		for range 5 {
			signals <- syscall.SIGTERM
		}
		for len(signals) > 0 {
			time.Sleep(time.Millisecond)
		}
		return nil
	}
	signals <- syscall.SIGTERM
	if code := p.run(t.Context()); code != ExitOK || drains.Load() != 1 {
		t.Errorf("exit code %d after %d drains", code, drains.Load())
	}
}

// Guards against a SIGHUP that ends a process while no component is subscribed to it: before the first one is, and after a drain.
func TestHangupDoesntEndTheProcess(t *testing.T) {
	KeepHangups()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // the default action would end the test process
}

// Guards against a process that keeps running after one of its components has ended.
func TestFailingComponentEndsProcess(t *testing.T) {
	for _, result := range []error{errors.New("broken"), nil} {
		p, _ := newProcess(t, Component{Name: "a", Run: waitForCancel}, Component{Name: "b", Run: func(context.Context) error { return result }})
		if code := p.run(t.Context()); code != ExitFailed {
			t.Errorf("%v: exit code %d", result, code)
		}
	}
}

// Guards against invalid settings that don't give exit code 2.
func TestInvalidSettings(t *testing.T) {
	for name, role := range map[string]func(context.Context, []string, io.Writer, io.Writer) int{"gateway": RunGateway, "controller": RunController} {
		var stdout, stderr bytes.Buffer
		if code := role(t.Context(), []string{"--region=X"}, &stdout, &stderr); code != 2 || !strings.Contains(stderr.String(), "--region") {
			t.Errorf("%s: %d %s", name, code, stderr.String())
		}
		if code := role(t.Context(), []string{"--help"}, &stdout, &stderr); code != 0 || !strings.Contains(stdout.String(), "--vm-name") {
			t.Errorf("%s --help: %d", name, code)
		}
	}
}

// Guards against a drain that interrupts requests but is counted as one that interrupted none (guarantees G2 and G11).
func TestDrainCountsInterruptedRequests(t *testing.T) {
	p, signals := newProcess(t, Component{Name: "a", Run: waitForCancel, InFlight: func() int { return 3 },
		Drain: func(context.Context) error { return errors.New("requests are still in progress") }})
	signals <- syscall.SIGTERM
	if code := p.run(t.Context()); code != ExitOK {
		t.Errorf("code %d", code)
	}
	w := httptest.NewRecorder()
	p.telemetry.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if !regexp.MustCompile(`(?m)^crocusglade_drain_cut_total\{[^}]*what="process"[^}]*\} 3$`).Match(w.Body.Bytes()) {
		t.Errorf("no count of 3 interrupted requests in:\n%s", w.Body)
	}
}
