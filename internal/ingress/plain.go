package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/eventstream"
	"crocusglade.example/crocusglade/internal/placement"
	"crocusglade.example/crocusglade/internal/retry"
	"crocusglade.example/crocusglade/internal/upstream"
)

const (
	// retryAfterFull is the Retry-After time of a plain service none of whose endpoints responded.
	retryAfterFull = 150 * time.Millisecond
	// crashProbeTimeout is the time-out of the connection attempt that checks whether an endpoint has crashed.
	crashProbeTimeout = 150 * time.Millisecond
	// minDispatchTime is the shortest time that an endpoint must have left when a request arrives there.
	minDispatchTime = 15 * time.Millisecond
	// maxSuspectEvents is the largest number of events that an engine may have sent for a request that crashed it. Requests that crash
	// engines do so when the answer begins.
	maxSuspectEvents = 1
)

// plainResponse is the complete response of a plain service.
type plainResponse struct {
	status int
	header http.Header
	body   []byte
}

// servePlain serves a request of a plain service, which has no engines. It retries at other endpoints where the route allows that.
func (c *call) servePlain() {
	var last *plainResponse
	for {
		if !c.canDispatch() || c.ctx.Err() != nil {
			break
		}
		attempt := c.Fleet.PlaceCall(c.service, c.filter())
		if attempt == nil && c.awaitFreeEndpoint() {
			continue
		}
		if attempt == nil {
			c.detail = appendDetail(c.detail, "no endpoint accepts requests")
			break
		}
		response, retryable := c.tryPlain(attempt)
		if response != nil {
			last = response
		}
		if !retryable || c.dispatches >= maxDispatches || !c.takeRetry(c.detail) {
			break
		}
	}
	if last != nil {
		c.w.WriteAnswer(last.status, last.header, last.body)
		c.finish("answered_" + http.StatusText(last.status))
		return
	}
	c.giveUp("no endpoint answered", retryAfterFull)
}

// plainStall returns an error while an idempotent request is without a response for so long that another endpoint should be tried.
func (c *call) plainStall(x *exchange) error {
	if time.Since(x.lastProgress) > c.responseTimeout() {
		return errNoResponse
	}
	return nil
}

// tryPlain sends the request to one endpoint. It returns the endpoint's response, if there is one, and whether the request may be retried at
// another endpoint.
func (c *call) tryPlain(attempt *placement.Attempt) (response *plainResponse, retryable bool) {
	c.endpoint = attempt.Endpoint.ID
	c.excluded[c.endpoint] = true
	c.dispatches++
	c.reachedEndpoint = true
	d := &Dispatch{Team: c.team, Remaining: c.remaining(), ResumeAfter: c.r.ResumeAfter,
		NewConnection: c.route.Semantics == catalog.AtMostOnce && c.dispatches > 1}
	x := c.startExchange(attempt, d, buffered)
	defer c.close(x)
	var other *plainResponse
	var otherRetryable bool
	p, replaced := c.receive(x, func() error { return c.plainStall(x) }, func() *candidate {
		next := c.Fleet.PlaceCall(c.service, c.filter())
		if next == nil {
			return nil
		}
		return &candidate{run: func() { other, otherRetryable = c.tryPlain(next) }, abandon: func() { next.Done(placement.Abandoned) }}
	})
	if replaced {
		return other, otherRetryable
	}
	a := p.answer
	if a == nil {
		return other, c.recordFailure(attempt, p.err)
	}
	if a.NotRun {
		c.uncountPossibleRun()
		c.recordRefusal(attempt, a.Misdirected)
		return other, true
	}
	c.mayHaveRun = true
	c.firstResponseAfter = time.Since(c.r.Arrived)
	c.countUsage()
	if err := c.checkPlain(&p); err != nil {
		return other, c.recordFailure(attempt, &upstream.SendError{MaySent: true, Err: err})
	}
	if p.isProgress() && !c.adopt() {
		c.recordLostContest(attempt, true)
		return nil, false
	}
	retryable = c.recordResponse(attempt, a)
	if c.mustReplace(a) {
		return nil, false
	}
	return &plainResponse{status: a.Status, header: a.Header, body: p.bytes}, retryable
}

// checkPlain returns an error if a response of a plain service can't be passed on.
func (c *call) checkPlain(p *part) error {
	switch {
	case p.err != io.EOF:
		return p.err
	case !p.answer.Signed && p.answer.Status < http.StatusMultipleChoices:
		return upstream.ErrMalformed
	case eventstream.IsBrokenOff(p.answer.Header, p.bytes):
		return errIncompleteStream
	}
	return nil
}

// recordResponse records the outcome of an endpoint's response that isn't a refusal without a run. It returns whether the request may be
// retried at another endpoint.
func (c *call) recordResponse(attempt *placement.Attempt, a *Answer) (retryable bool) {
	if a.Status >= http.StatusBadRequest {
		c.detail = appendDetail(c.detail, "error response from "+attempt.Endpoint.ID+": "+http.StatusText(a.Status))
	}
	if a.Status < http.StatusInternalServerError {
		attempt.Done(placement.Served)
		return false
	}
	attempt.Done(placement.Failed)
	c.possibleRuns++
	return c.route.Repeatable() && c.possibleRuns < c.route.Attempts
}

// mustReplace reports whether an endpoint's response must be replaced by an error of this VM: its status would make the caller send a
// request again that has run and may not be repeated.
func (c *call) mustReplace(a *Answer) bool { return a.DeniesRun && !c.route.Repeatable() }

// recordFailure records a broken exchange with an endpoint. It returns whether the request may be retried at another endpoint.
func (c *call) recordFailure(attempt *placement.Attempt, err error) (retryable bool) {
	if unsent(err) {
		c.uncountPossibleRun()
	}
	if c.lostContest() {
		c.recordLostContest(attempt, !unsent(err))
		return false
	}
	if c.ctx.Err() != nil {
		attempt.Done(placement.Abandoned)
		c.mayHaveRun = c.mayHaveRun || !unsent(err)
		c.detail = appendDetail(c.detail, "request ended while waiting for "+attempt.Endpoint.ID)
		return false
	}
	c.detail = appendDetail(c.detail, attempt.Endpoint.ID+": "+err.Error())
	if unsent(err) {
		attempt.Done(placement.Unreachable)
		c.reachedEndpoint = false
		return true
	}
	attempt.Done(placement.Failed)
	c.mayHaveRun = true
	c.possibleRuns++
	c.checkCrash(&attempt.Endpoint)
	return c.route.Repeatable() && c.possibleRuns < c.route.Attempts
}

// recordLostContest ends an attempt because the silent endpoint went on, which it was to replace. The endpoint may be tried again.
func (c *call) recordLostContest(attempt *placement.Attempt, sent bool) {
	attempt.Done(placement.Abandoned)
	c.detail = appendDetail(c.detail, "left "+attempt.Endpoint.ID+" because "+errWentOn.Error())
	delete(c.excluded, attempt.Endpoint.ID)
	if sent {
		c.mayHaveRun = true
		c.possibleRuns++
	}
}

// unsent reports whether an exchange failed before any byte of the request was sent.
func unsent(err error) bool {
	var sendErr *upstream.SendError
	return errors.As(err, &sendErr) && !sendErr.MaySent
}

// checkCrash checks whether an endpoint has crashed after an exchange with it broke, and records a crash in the quarantines, unless the
// endpoint had already answered for a while. It runs before a retry, because a request that crashes several endpoints must not be sent to
// another one.
func (c *call) checkCrash(e *catalog.Endpoint) {
	if c.probeReachable(c.ctx, e) {
		return
	}
	if c.Quarantine.RecordCrash(c.fingerprint, e.ID) {
		c.Log.Warn().Str("request", c.r.ID).Str("endpoint", e.ID).Uint64("fingerprint", c.fingerprint).Msg("request quarantined")
	}
	c.sawCrash = true
	c.detail = appendDetail(c.detail, fmt.Sprintf("%s crashed after %d events", e.ID, c.eventCount))
	if c.eventCount > maxSuspectEvents {
		return
	}
	c.Parts.RecordCrash(c.sharedParts, retry.CrashKey(e.ID, e.StartedAtMS))
}

// probeReachable reports whether an endpoint accepts connections. If it does not, the fleet avoids it for a time.
func (s *Server) probeReachable(ctx context.Context, e *catalog.Endpoint) bool {
	probeCtx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	if s.Backend.IsReachable(probeCtx, e) || ctx.Err() != nil {
		return true
	}
	s.Fleet.ReportUnreachable(e.ID)
	return false
}
