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
	// stallCheck is how often a stream is looked at for a stall.
	stallCheck = 200 * time.Millisecond
	// silentEngine is how long an engine has sent nothing to this VM, on any connection, when it counts as lost.
	silentEngine = 900 * time.Millisecond
	// minStall is the shortest pause of a stream that counts as a stall, gapsToStall the same as a multiple of the route's pause.
	// The first event has a limit of its own, placement.FirstTokenLimit.
	minStall    = time.Second
	gapsToStall = 4
	// minLostStall and gapsToLostStall are the same for a stream whose engine is heard of on other connections: the engine may have
	// lost the answer, or only be busy. Callers leave after two seconds or eight pauses, whichever is longer.
	minLostStall    = 1200 * time.Millisecond
	gapsToLostStall = 5
	// lostAnswer is the time without an answer, as a multiple of the route's objective and at least leastLostAnswer, after which an
	// idempotent request is tried at another endpoint. Nearly all answers come within the objective, and queues in endpoints are
	// shorter than it.
	lostAnswer      = 3
	leastLostAnswer = 400 * time.Millisecond
)

var (
	errStalled    = errors.New("engine sends nothing")
	errUnanswered = errors.New("endpoint has not answered; its answer counts as lost")
)

// stallWatch cancels an exchange with an engine that has fallen silent or lost its answer, where the request may go on at another
// one. Without it a caller would wait for it until the deadline.
type stallWatch struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// began is read from the monotonic clock: the time of day may jump.
	began time.Time
	// progress is when the engine was last heard, in nanoseconds after began; 0 until it sends the first bytes of its answer.
	progress atomic.Int64
}

func (c *call) watchStall(plan *placement.Plan, st *stream) *stallWatch {
	w := &stallWatch{began: time.Now()}
	w.ctx, w.cancel = context.WithCancelCause(c.ctx)
	if !c.route.Repeatable() {
		return w
	}
	stall, lostStall := max(minStall, gapsToStall*c.route.EventGap), max(minLostStall, gapsToLostStall*c.route.EventGap)
	first, mayGoOn := placement.FirstTokenLimit(plan.Predicted), c.mayGoOn(&plan.Runner.Endpoint)
	go func() {
		for ctxtime.Sleep(w.ctx, stallCheck) {
			quiet, heard := w.quiet()
			lost := !heard && quiet > first
			stalled := heard && st.started.Load() && (quiet > lostStall || quiet > stall && plan.Runner.IdleTime() > silentEngine)
			switch {
			case !lost && !stalled || !mayGoOn():
			case lost:
				w.cancel(errUnanswered)
			default:
				w.cancel(errStalled)
			}
		}
	}()
	return w
}

// mayGoOn returns a function that tells whether the request could be tried at another endpoint at that moment. Otherwise a late
// answer is better than none. The function may be called from another goroutine.
func (c *call) mayGoOn(from *catalog.Endpoint) func() bool {
	attemptsLeft, exclude, model := c.ran+1 < c.route.Attempts, maps.Clone(c.exclude), ""
	if c.r.Prompt != nil {
		model = c.r.Prompt.Model
	}
	return func() bool {
		return attemptsLeft && c.Budget.RetryAvailable(c.service) && c.Fleet.HasOtherEndpoint(c.service, model, from.ID, exclude)
	}
}

// quiet returns for how long the engine has sent nothing, and whether it has sent anything.
func (w *stallWatch) quiet() (time.Duration, bool) {
	progress := w.progress.Load()
	return time.Since(w.began) - time.Duration(progress), progress > 0
}

// heard notes that the engine has sent something.
func (w *stallWatch) heard() { w.progress.Store(max(int64(time.Since(w.began)), 1)) }

func (w *stallWatch) stop() { w.cancel(nil) }

// limitAnswer bounds the wait for an endpoint's answer while the request may be tried at another one.
func (c *call) limitAnswer(e *catalog.Endpoint) (context.Context, context.CancelFunc) {
	if c.route.Semantics != catalog.Idempotent || !c.mayGoOn(e)() {
		return c.ctx, func() {}
	}
	return context.WithTimeoutCause(c.ctx, max(lostAnswer*c.route.Objective, leastLostAnswer), errUnanswered)
}
