package ingress

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/placement"
	"crocusglade.example/crocusglade/internal/retry"
)

const (
	// stallCheckInterval is how often an exchange that can be replaced is checked for a stall.
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
	// An idempotent request or resumable stream without a response is tried at another endpoint after responseTimeoutFactor times the route's objective or
	// minResponseTimeout, whichever is longer. Nearly all responses arrive within the objective, and the queues of endpoints are shorter.
	responseTimeoutFactor = 3
	minResponseTimeout    = 400 * time.Millisecond
	// silenceProbeDelay is the time without progress after which an endpoint is probed, so that new requests avoid it if it accepts no
	// connection.
	silenceProbeDelay = time.Second
	// crashConfirmDelay is how long after a first failed probe a silent endpoint must still accept no connection to count as crashed. A sound
	// endpoint may be silent for a second or so.
	crashConfirmDelay = 2 * time.Second
)

var (
	errStalled    = errors.New("engine stopped sending events")
	errNoResponse = errors.New("endpoint did not respond within the time limit")
	// errWentOn ends an exchange with an endpoint because the silent one, which it was to replace, went on.
	errWentOn = errors.New("the silent endpoint went on")
)

// receive waits for the next part of an exchange. While stalled returns an error, it tries to replace the exchange by one that place prepares; if
// that succeeds, it returns replaced, and the request has been handled as far as the other exchange got.
func (c *call) receive(x *exchange, stalled func() error, place func() *candidate) (p part, replaced bool) {
	interval := silenceProbeDelay
	if c.route.Repeatable() {
		interval = stallCheckInterval
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case p = <-x.parts:
			if p.completed > 0 {
				x.lastProgress, x.progressed = time.Now(), true
			}
			return p, false
		case <-timer.C:
		}
		c.probeSilent(x)
		if cause := stalled(); cause != nil && c.canFailOver(x) && c.replace(x, cause, place) {
			return part{}, true
		}
		timer.Reset(interval)
	}
}

// candidate is an attempt at another endpoint that may replace a silent one.
type candidate struct {
	// run executes the attempt. It calls adopt before it relays the response.
	run func()
	// abandon ends it without an exchange.
	abandon func()
}

// replace tries another endpoint while the exchange with a silent one goes on, and keeps the one that makes progress first: silence alone is
// no reason to end a request. It returns whether the other one has replaced it.
func (c *call) replace(x *exchange, cause error, place func() *candidate) bool {
	c.excluded[x.attempt.Endpoint.ID] = true
	other := place()
	if other == nil {
		return false
	}
	if !c.takeRetry(cause.Error()) {
		other.abandon()
		return false
	}
	saved, ctx := c.current, c.ctx
	contestCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.contest(func() { cancel(errWentOn) })
	c.ctx, c.standby = contestCtx, x
	other.run()
	c.ctx, c.standby = ctx, nil
	if x.endContest() {
		return true
	}
	c.current = saved
	return false
}

// lostContest reports whether the silent endpoint went on, which the current exchange was to replace.
func (c *call) lostContest() bool { return context.Cause(c.ctx) == errWentOn }

// adopt makes the current exchange, which makes progress, replace the silent one, if there is one. It returns false if the silent one went
// on before.
func (c *call) adopt() bool {
	x := c.standby
	if x == nil {
		return true
	}
	if !x.yield() {
		return false
	}
	c.standby = nil
	c.close(x)
	c.detail = appendDetail(c.detail, x.attempt.Endpoint.ID+": "+x.silenceError().Error())
	x.attempt.Done(placement.Failed)
	c.mayHaveRun = true
	c.possibleRuns++
	go c.confirmCrash(context.WithoutCancel(c.ctx), silentRequest{endpoint: x.attempt.Endpoint, fingerprint: c.fingerprint, parts: c.sharedParts, suspect: !x.progressed})
	return true
}

func (x *exchange) silenceError() error {
	if x.progressed {
		return errStalled
	}
	return errNoResponse
}

// streamStall returns an error while a stream is silent for so long that another engine should take it over.
func (c *call) streamStall(x *exchange, plan *placement.Plan) error {
	idle := time.Since(x.lastProgress)
	if !x.progressed {
		if idle > c.firstEventLimit(plan) {
			return errNoResponse
		}
		return nil
	}
	stall, stallEngineActive := max(minStall, gapsToStall*c.route.EventGap), max(minStallEngineActive, gapsToStallEngineActive*c.route.EventGap)
	if idle > stallEngineActive || idle > stall && x.attempt.IdleTime() > engineSilenceLimit {
		return errStalled
	}
	return nil
}

// firstEventLimit returns the time-out for the first event of a stream.
func (c *call) firstEventLimit(plan *placement.Plan) time.Duration {
	if c.hasPrompt() {
		return placement.FirstTokenLimit(plan.Predicted)
	}
	return c.responseTimeout()
}

// responseTimeout returns the time after which a request without a response is tried at another endpoint, if it may be repeated.
func (c *call) responseTimeout() time.Duration {
	return max(responseTimeoutFactor*c.route.Objective, minResponseTimeout)
}

// canFailOver reports whether the request can currently be tried at another endpoint. If it can't, the exchange goes on, because a late
// response is better than none. An exchange that is to replace another one isn't replaced itself.
func (c *call) canFailOver(x *exchange) bool {
	return c.standby == nil && c.route.Repeatable() && c.possibleRuns+c.openExchanges < c.route.Attempts && c.dispatches < maxDispatches &&
		c.canDispatch() && c.hasOther(&x.attempt.Endpoint)
}

// hasOther reports whether the retry budget and the other endpoints allow to try another one than e.
func (c *call) hasOther(e *catalog.Endpoint) bool {
	model := ""
	if c.r.Prompt != nil {
		model = c.r.Prompt.Model
	}
	return c.Budget.RetryAvailable(c.service) && c.Fleet.HasOtherEndpoint(c.service, model, e.ID, c.filter())
}

// probeSilent probes the endpoint of a silent exchange once, unless it sends data on other connections.
func (c *call) probeSilent(x *exchange) {
	if x.probed || time.Since(x.lastProgress) < silenceProbeDelay || x.attempt.IdleTime() < silenceProbeDelay {
		return
	}
	x.probed = true
	go c.probeReachable(context.WithoutCancel(c.ctx), &x.attempt.Endpoint)
}

// silentRequest is a request that another endpoint took over from a silent one. suspect is false if the endpoint had begun to answer it.
type silentRequest struct {
	endpoint    catalog.Endpoint
	fingerprint uint64
	parts       []retry.Part
	suspect     bool
}

// confirmCrash records that a silent endpoint has crashed, if it accepts no connection for longer than a sound one may be silent.
func (s *Server) confirmCrash(ctx context.Context, r silentRequest) {
	if s.probeReachable(ctx, &r.endpoint) || !ctxtime.Sleep(ctx, crashConfirmDelay) || s.probeReachable(ctx, &r.endpoint) {
		return
	}
	if s.Quarantine.RecordCrash(r.fingerprint, r.endpoint.ID) {
		s.Log.Warn().Str("endpoint", r.endpoint.ID).Uint64("fingerprint", r.fingerprint).Msg("request quarantined")
	}
	if r.suspect {
		s.Parts.RecordCrash(r.parts, retry.CrashKey(r.endpoint.ID, r.endpoint.StartedAtMS))
	}
}
