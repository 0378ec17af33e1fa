// Package daemon runs the roles of crocusgladed: a gateway or a controller as a group of parts.
//
// GatewayComponents and ControllerComponents construct the parts of a role; Run runs them until one ends or a signal arrives.
package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/telemetry"
)

// Exit codes of crocusgladed besides settings.ExitUsage.
const (
	ExitOK     = 0
	ExitFailed = 1
	// ExitForced: a second signal ended the process before its drain did.
	ExitForced = 3
)

// headerLimit bounds the wait for a request's header, so that idle connections don't pile up.
const headerLimit = 10 * time.Second

// Component is one part of a process.
type Component struct {
	Name string
	// Run works until its context ends or it fails.
	Run func(ctx context.Context) error
	// Drain, when not nil, is called when the process is to stop, before any Run is cancelled. It returns when the part
	// has finished its work in progress or ctx ends.
	Drain func(ctx context.Context) error
	// InFlight, when not nil, returns the requests in progress. What is left after all drains is cut.
	InFlight func() int
}

// process is a running role.
type process struct {
	parts      []Component
	log        zerolog.Logger
	telemetry  *telemetry.Telemetry
	drainLimit time.Duration
	signals    <-chan os.Signal
	// exit ends the process at once.
	exit func(code int)
}

// Run runs parts until a part fails, ctx ends or SIGTERM or SIGINT arrives. Then it drains all parts, for at most
// drainLimit, and cancels them. A second signal ends the process at once with ExitForced. It returns the exit code.
func Run(ctx context.Context, t *telemetry.Telemetry, drainLimit time.Duration, parts []Component) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	p := &process{parts: parts, log: t.Log, telemetry: t, drainLimit: drainLimit, signals: signals, exit: os.Exit}
	return p.run(ctx)
}

func (p *process) run(ctx context.Context) int {
	var group run.Group
	for _, part := range p.parts {
		// Parts outlive ctx: they are cancelled by the group, after the drain.
		own, cancel := context.WithCancel(context.WithoutCancel(ctx))
		group.Add(func() error { return p.runPart(own, part) }, func(error) { cancel() })
	}
	stop, cancel := context.WithCancel(ctx)
	group.Add(func() error { return p.awaitStop(stop) }, func(error) { cancel() })
	p.log.Info().Msg("started")
	err := group.Run()
	if err != nil && !errors.Is(err, errStopped) {
		p.log.Error().Str("error", telemetry.Redact(err.Error())).Msg("stopped by a failure")
		return ExitFailed
	}
	p.log.Info().Msg("stopped")
	return ExitOK
}

// errStopped is the result of a planned stop.
var errStopped = errors.New("stopped")

func (p *process) runPart(ctx context.Context, part Component) error {
	err := part.Run(ctx)
	if ctx.Err() != nil {
		return nil
	}
	if err == nil {
		return errors.Errorf("part %s ended without being stopped", part.Name)
	}
	return errors.Wrapf(err, "part %s", part.Name)
}

// awaitStop waits for a signal and drains. It returns nil when a part's failure ends the wait.
func (p *process) awaitStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return errStopped
	case s := <-p.signals:
		p.log.Info().Str("signal", s.String()).Msg("draining")
	}
	p.telemetry.Health.SetPending("stop", "the process is stopping")
	drain, cancel := context.WithTimeout(ctx, p.drainLimit)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.drain(drain)
	}()
	select {
	case <-done:
	case s := <-p.signals:
		p.log.Warn().Str("signal", s.String()).Msg("second signal: ending at once")
		p.exit(ExitForced)
	}
	return errStopped
}

// drain drains the parts one after the other, in their order.
func (p *process) drain(ctx context.Context) {
	started := time.Now()
	p.telemetry.Metrics.Drain.Started(ctx, "process")
	for _, part := range p.parts {
		if part.Drain == nil {
			continue
		}
		if err := part.Drain(ctx); err != nil {
			p.log.Warn().Str("part", part.Name).Str("error", telemetry.Redact(err.Error())).Msg("drain incomplete")
		}
	}
	cut := 0
	for _, part := range p.parts {
		if part.InFlight != nil {
			cut += part.InFlight()
		}
	}
	if cut > 0 {
		p.log.Warn().Int("requests", cut).Msg("the drain cuts requests")
	}
	p.telemetry.Metrics.Drain.Ended(ctx, "process", time.Since(started).Seconds(), int64(cut))
}

// HTTPServerComponent returns a part that serves HTTP on an address, over TLS unless config is nil. Its drain waits for requests in progress.
func HTTPServerComponent(name, address string, config *tls.Config, handler http.Handler) Component {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerLimit}
	return Component{Name: name,
		Run: func(ctx context.Context) error {
			listener, err := net.Listen("tcp", address)
			if err != nil {
				return errors.Wrap(err, "listen (check the address, and that no other process has it)")
			}
			defer context.AfterFunc(ctx, func() { _ = server.Close() })()
			if config != nil {
				listener = tls.NewListener(listener, config)
			}
			err = server.Serve(listener)
			if errors.Is(err, http.ErrServerClosed) {
				<-ctx.Done() // a drain closed the listener; the part ends with its context
				return nil
			}
			return err
		},
		Drain: server.Shutdown,
	}
}
