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
	// the answer or only be busy. Callers disconnect after two seconds or eight gaps, whichever is longer.
	minStallEngineActive    = 1200 * time.Millisecond
	gapsToStallEngineActive = 5
	// An idempotent request without an answer is retried at another endpoint after answerTimeoutFactor times the route's objective or
	// minAnswerTimeout, whichever is longer. Nearly all answers arrive within the objective, and the queues of endpoints are shorter.
	answerTimeoutFactor = 3
	minAnswerTimeout    = 400 * time.Millisecond
)

var (
	errStalled  = errors.New("engine stopped sending events")
	errNoAnswer = errors.New("endpoint did not answer within the time limit")
)

// stallWatch cancels an exchange with an engine that has become silent or has lost the answer, if another engine can take over the
// request. Without it the caller would wait until the deadline.
type stallWatch struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// startedAt has a monotonic clock reading, because the wall clock may jump.
	startedAt time.Time
	// lastActivity is when the engine last sent a part of the answer, in nanoseconds after startedAt; 0 before the first part.
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
	firstTokenLimit, canFailOver := placement.FirstTokenLimit(plan.Predicted), c.failoverCheck(&plan.Decode.Endpoint)
	go func() {
		for ctxtime.Sleep(w.ctx, stallCheckInterval) {
			idle, answered := w.idleTime()
			lost := !answered && idle > firstTokenLimit
			stalled := answered && st.started.Load() && (idle > stallEngineActive || idle > stall && plan.Decode.IdleTime() > engineSilenceLimit)
			switch {
			case !lost && !stalled || !canFailOver():
			case lost:
				w.cancel(errNoAnswer)
			default:
				w.cancel(errStalled)
			}
		}
	}()
	return w
}

// failoverCheck returns a function that reports whether the request can currently be retried at another endpoint. If it can't, the exchange
// goes on, because a late answer is better than none. The function may be called from another goroutine.
func (c *call) failoverCheck(from *catalog.Endpoint) func() bool {
	attemptsLeft, excluded, model := c.possibleRuns+1 < c.route.Attempts, maps.Clone(c.excluded), ""
	if c.r.Prompt != nil {
		model = c.r.Prompt.Model
	}
	return func() bool {
		return attemptsLeft && c.Budget.RetryAvailable(c.service) && c.Fleet.HasOtherEndpoint(c.service, model, from.ID, excluded)
	}
}

// idleTime returns the time since the engine last sent a part of the answer, or since the start, and whether it has sent any.
func (w *stallWatch) idleTime() (time.Duration, bool) {
	last := w.lastActivity.Load()
	return time.Since(w.startedAt) - time.Duration(last), last > 0
}

// recordActivity records that the engine has sent a part of the answer.
func (w *stallWatch) recordActivity() { w.lastActivity.Store(max(int64(time.Since(w.startedAt)), 1)) }

func (w *stallWatch) stop() { w.cancel(nil) }

// withAnswerTimeout returns a context with a time-out for an endpoint's answer if the request can be retried at another endpoint.
func (c *call) withAnswerTimeout(e *catalog.Endpoint) (context.Context, context.CancelFunc) {
	if c.route.Semantics != catalog.Idempotent || !c.failoverCheck(e)() {
		return c.ctx, func() {}
	}
	return context.WithTimeoutCause(c.ctx, max(answerTimeoutFactor*c.route.Objective, minAnswerTimeout), errNoAnswer)
}
