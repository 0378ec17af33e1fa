package ingress

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/placement"
)

const (
	// stallCheckInterval is how often a stream is checked for a stall.
	stallCheckInterval = 200 * time.Millisecond
	// engineSilenceLimit is the time without data from an engine on any connection of this VM after which the engine counts as silent.
	engineSilenceLimit = 900 * time.Millisecond
	// A stream of a silent engine counts as stalled after a pause of minStall or gapsToStall times the route's event gap, whichever is
	// longer. The first event has a limit of its own, placement.FirstTokenLimit.
	minStall    = time.Second
	gapsToStall = 4
	// minStallEngineActive and gapsToStallEngineActive are the same for an engine that sends data on other connections: it may have lost
	// the response or only be busy. Callers disconnect after two seconds or eight gaps, whichever is longer.
	minStallEngineActive    = 1200 * time.Millisecond
	gapsToStallEngineActive = 5
	// An idempotent request or resumable stream without a response is retried at another endpoint after responseTimeoutFactor times the route's objective or
	// minResponseTimeout, whichever is longer. Nearly all responses arrive within the objective, and the queues of endpoints are shorter.
	responseTimeoutFactor = 3
	minResponseTimeout    = 400 * time.Millisecond
)

var (
	errStalled    = errors.New("engine stopped sending events")
	errNoResponse = errors.New("endpoint did not respond within the time limit")
)

// stallWatch cancels an exchange with an engine that has become silent or has lost the response, if another engine can take over the
// request. Without it the caller would wait until the deadline.
type stallWatch struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// startedAt has a monotonic clock reading, because the wall clock may jump.
	startedAt time.Time
	// lastActivity is when the engine last sent a part of the response, in nanoseconds after startedAt; 0 before the first part.
	lastActivity atomic.Int64
}

// watchStall starts the watch of a plan's decode engine. It never cancels requests that must not be repeated.
func (c *call) watchStall(plan *placement.Plan, st *streamState) *stallWatch {
	w := &stallWatch{startedAt: time.Now()}
	w.ctx, w.cancel = context.WithCancelCause(c.ctx)
	if !c.route.Repeatable() {
		return w
	}
	stall, stallEngineActive := max(minStall, gapsToStall*c.route.EventGap), max(minStallEngineActive, gapsToStallEngineActive*c.route.EventGap)
	firstEventLimit, canFailOver := c.firstEventLimit(plan), c.failoverCheck(&plan.Decode.Endpoint)
	go func() {
		for ctxtime.Sleep(w.ctx, stallCheckInterval) {
			idle, responded := w.idleTime()
			lost := !responded && idle > firstEventLimit
			stalled := responded && st.started.Load() && (idle > stallEngineActive || idle > stall && plan.Decode.IdleTime() > engineSilenceLimit)
			switch {
			case !lost && !stalled || !canFailOver():
			case lost:
				w.cancel(errNoResponse)
			default:
				w.cancel(errStalled)
			}
		}
	}()
	return w
}

// firstEventLimit returns the time-out for the first event of a stream.
func (c *call) firstEventLimit(plan *placement.Plan) time.Duration {
	if c.hasPrompt() {
		return placement.FirstTokenLimit(plan.Predicted)
	}
	return c.responseTimeout()
}

// responseTimeout returns the time-out for the response of a plain service, or its first event, if the request can be retried.
func (c *call) responseTimeout() time.Duration {
	return max(responseTimeoutFactor*c.route.Objective, minResponseTimeout)
}

// failoverCheck returns a function that reports whether the request can currently be retried at another endpoint. If it can't, the exchange
// goes on, because a late response is better than none. The function may be called from another goroutine.
func (c *call) failoverCheck(from *catalog.Endpoint) func() bool {
	attemptsLeft, excluded, model := c.possibleRuns+1 < c.route.Attempts, maps.Clone(c.excluded), ""
	if c.r.Prompt != nil {
		model = c.r.Prompt.Model
	}
	return func() bool {
		return attemptsLeft && c.Budget.RetryAvailable(c.service) && c.Fleet.HasOtherEndpoint(c.service, model, from.ID, excluded)
	}
}

// idleTime returns the time since the engine last sent a part of the response, or since the start, and whether it has sent any.
func (w *stallWatch) idleTime() (time.Duration, bool) {
	last := w.lastActivity.Load()
	return time.Since(w.startedAt) - time.Duration(last), last > 0
}

// recordActivity records that the engine has sent a part of the response.
func (w *stallWatch) recordActivity() { w.lastActivity.Store(max(int64(time.Since(w.startedAt)), 1)) }

func (w *stallWatch) stop() { w.cancel(nil) }

// withResponseTimeout returns a context with a time-out for an endpoint's response if the request can be retried at another endpoint.
func (c *call) withResponseTimeout(e *catalog.Endpoint) (context.Context, context.CancelFunc) {
	if c.route.Semantics != catalog.Idempotent || !c.failoverCheck(e)() {
		return c.ctx, func() {}
	}
	return context.WithTimeoutCause(c.ctx, c.responseTimeout(), errNoResponse)
}
