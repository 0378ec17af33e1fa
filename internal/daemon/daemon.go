// Package daemon runs the roles of crocusgladed: a gateway or a controller, each as a group of components.
//
// GatewayComponents and ControllerComponents create the components of a role; Run runs them until one ends or a signal arrives.
package daemon

import (
	"context"
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
	// ExitForced means that SIGINT ended the process before its drain was complete.
	ExitForced = 3
)

// Component is a part of a process that runs in its own goroutine.
type Component struct {
	Name string
	// Run runs the component until ctx ends or it fails.
	Run func(ctx context.Context) error
	// Drain, when not nil, is called when the process is stopped, before the context of any Run is cancelled. It returns when the
	// component has finished its work in progress or ctx ends.
	Drain func(ctx context.Context) error
	// InFlight, when not nil, returns the number of requests in progress. Requests in progress after all drains are interrupted.
	InFlight func() int
}

// process is a running role.
type process struct {
	components []Component
	log        zerolog.Logger
	telemetry  *telemetry.Telemetry
	drainLimit time.Duration
	signals    <-chan os.Signal
	// exit ends the process immediately.
	exit func(code int)
}

// Run runs components until one ends, ctx ends, or SIGTERM or SIGINT arrives. After a signal it drains all components, for at most
// drainLimit, before it cancels them. SIGINT during the drain ends the process immediately with ExitForced; a repeated SIGTERM has no effect,
// because planned stops overlap. Run returns the exit code.
func Run(ctx context.Context, t *telemetry.Telemetry, drainLimit time.Duration, components []Component) int {
	KeepHangups()
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	p := &process{components: components, log: t.Log, telemetry: t, drainLimit: drainLimit, signals: signals, exit: os.Exit}
	return p.run(ctx)
}

// KeepHangups keeps SIGHUP from ending the process, at any time until its end. Components that reload on SIGHUP subscribe to it themselves.
func KeepHangups() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }

func (p *process) run(ctx context.Context) int {
	var group run.Group
	for _, component := range p.components {
		// Components must outlive ctx: the group cancels them after the drain.
		componentCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		group.Add(func() error { return p.runComponent(componentCtx, component) }, func(error) { cancel() })
	}
	stopCtx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return p.awaitStop(stopCtx) }, func(error) { cancel() })
	p.log.Info().Msg("started")
	err := group.Run()
	if err != nil && !errors.Is(err, errStopped) {
		p.log.Error().Str("error", telemetry.Redact(err.Error())).Msg("stopped because a component failed")
		return ExitFailed
	}
	p.log.Info().Msg("stopped")
	return ExitOK
}

// errStopped is the result of awaitStop. It marks a stop that was not caused by the failure of a component.
var errStopped = errors.New("stopped")

// runComponent runs a component until its context ends. A component that ends earlier is treated as failed.
func (p *process) runComponent(ctx context.Context, component Component) error {
	err := component.Run(ctx)
	if ctx.Err() != nil {
		return nil
	}
	if err == nil {
		return errors.Errorf("component %s ended before it was stopped", component.Name)
	}
	return errors.Wrapf(err, "run component %s", component.Name)
}

// awaitStop waits for a signal and then drains the process. It returns without a drain when ctx ends, which is also the case when a
// component fails. It always returns errStopped.
func (p *process) awaitStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return errStopped
	case s := <-p.signals:
		p.log.Info().Str("signal", s.String()).Msg("draining")
	}
	p.telemetry.Health.SetPending("stop", "the process is stopping")
	drainCtx, cancel := context.WithTimeout(ctx, p.drainLimit)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.drain(drainCtx)
	}()
	for {
		select {
		case <-done:
			return errStopped
		case s := <-p.signals:
			if s != os.Interrupt {
				p.log.Info().Str("signal", s.String()).Msg("already draining")
				continue
			}
			p.log.Warn().Str("signal", s.String()).Msg("exiting before the drain is complete")
			p.exit(ExitForced)
			return errStopped
		}
	}
}

// drain drains the components one after the other, in their order, and counts the requests that are still in progress afterwards.
func (p *process) drain(ctx context.Context) {
	started := time.Now()
	p.telemetry.Metrics.Drain.Started(ctx, "process")
	for _, component := range p.components {
		if component.Drain == nil {
			continue
		}
		if err := component.Drain(ctx); err != nil {
			p.log.Warn().Str("part", component.Name).Str("error", telemetry.Redact(err.Error())).Msg("drain incomplete")
		}
	}
	interrupted := 0
	for _, component := range p.components {
		if component.InFlight != nil {
			interrupted += component.InFlight()
		}
	}
	if interrupted > 0 {
		p.log.Warn().Int("requests", interrupted).Msg("requests still in progress after the drain are interrupted")
	}
	p.telemetry.Metrics.Drain.Ended(ctx, "process", time.Since(started).Seconds(), int64(interrupted))
}
