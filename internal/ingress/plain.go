package ingress

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/placement"
	"crocusglade.example/crocusglade/internal/upstream"
)

const (
	// maxAnswerBytes bounds the answers of plain services, which are read whole before they are passed on.
	maxAnswerBytes = 16 << 20
	// retryWhenFull is when callers may come back to a plain service whose endpoints turned a request away.
	retryWhenFull = 150 * time.Millisecond
	// crashProbe bounds the wait for a connection that tells whether an endpoint has crashed.
	crashProbe = 150 * time.Millisecond
	// minRemaining is the time below which a request is no longer sent to an endpoint.
	minRemaining = 15 * time.Millisecond
)

// plainAnswer is an answer of a plain service, read whole.
type plainAnswer struct {
	status int
	header http.Header
	body   []byte
}

// servePlain sends a request to an endpoint of a plain service, and to another where that is allowed.
func (c *call) servePlain() {
	var last *plainAnswer
	for {
		if c.remaining() < minRemaining || c.ctx.Err() != nil {
			break
		}
		send := c.Fleet.PlaceCall(c.service, c.exclude)
		if send == nil {
			c.detail = appendDetail(c.detail, "no endpoint takes work")
			break
		}
		answer, again := c.tryPlain(send)
		if answer != nil {
			last = answer
		}
		c.exclude[send.Endpoint.ID] = true
		if !again || c.sends >= maxSends || !c.mayTry(c.detail) {
			break
		}
	}
	if last != nil {
		c.w.WriteAnswer(last.status, last.header, last.body)
		c.finish("answered_" + http.StatusText(last.status))
		return
	}
	c.giveUp("no endpoint answered", retryWhenFull)
}

// tryPlain sends the request to one endpoint. It returns the answer for the caller, if there is one, and whether another
// endpoint may be tried.
func (c *call) tryPlain(send *placement.Attempt) (answer *plainAnswer, again bool) {
	c.endpoint = send.Endpoint.ID
	c.sends++
	c.arrived = true
	d := &Dispatch{Team: c.team, Remaining: c.remaining(), ResumeAfter: c.r.ResumeAfter,
		NewConnection: c.route.Semantics == catalog.AtMostOnce && c.sends > 1}
	ctx, cancel := c.limitAnswer(&send.Endpoint)
	defer cancel()
	a, err := c.Backend.Run(ctx, &send.Endpoint, c.r, d)
	if err != nil {
		return nil, c.failed(send, err)
	}
	defer a.Body.Close()
	if a.NotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxAnswerBytes)) // only to keep the connection; the answer is not used
		c.turnedAway(send, a.Misdirected)
		return nil, true
	}
	c.mayHaveRun = true
	c.first = time.Since(c.r.Arrived)
	c.began()
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	if err != nil {
		return nil, c.failed(send, &upstream.SendError{MaySent: true, Err: err})
	}
	if !a.Signed && a.Status < http.StatusMultipleChoices {
		return nil, c.failed(send, &upstream.SendError{MaySent: true, Err: upstream.ErrMalformed})
	}
	answer = &plainAnswer{status: a.Status, header: a.Header, body: body}
	if a.Status < http.StatusInternalServerError {
		send.Done(placement.Served)
		return answer, false
	}
	send.Done(placement.Failed)
	c.ran++
	c.detail = appendDetail(c.detail, "failed by "+send.Endpoint.ID)
	return answer, c.route.Semantics == catalog.Idempotent && c.ran < c.route.Attempts
}

// failed notes that an exchange with an endpoint broke, and tells whether another endpoint may be tried.
func (c *call) failed(send *placement.Attempt, err error) (again bool) {
	if c.ctx.Err() != nil {
		send.Done(placement.Abandoned)
		c.mayHaveRun = true
		c.detail = appendDetail(c.detail, "still waiting for "+send.Endpoint.ID)
		return false
	}
	c.detail = appendDetail(c.detail, send.Endpoint.ID+": "+err.Error())
	if unsent(err) {
		send.Done(placement.Unreachable)
		c.arrived = false
		return true
	}
	send.Done(placement.Failed)
	c.mayHaveRun = true
	c.ran++
	c.checkCrash(&send.Endpoint)
	return c.route.Repeatable() && c.ran < c.route.Attempts
}

// unsent tells whether an exchange failed before any byte of the request left.
func unsent(err error) bool {
	var broken *upstream.SendError
	return errors.As(err, &broken) && !broken.MaySent
}

// checkCrash finds out, before the request may go elsewhere, whether an endpoint that broke off has crashed. Requests under which
// endpoints crash one after the other are quarantined.
func (c *call) checkCrash(e *catalog.Endpoint) {
	if c.reachable(c.ctx, e) {
		return
	}
	if c.Quarantine.RecordCrash(c.fingerprint, e.ID) {
		c.Log.Warn().Str("request", c.r.ID).Str("endpoint", e.ID).Uint64("fingerprint", c.fingerprint).Msg("request quarantined")
	}
	c.detail = appendDetail(c.detail, e.ID+" crashed")
}

// reachable tells whether an endpoint that broke off accepts connections. One that doesn't gets no work for a time.
func (c *call) reachable(ctx context.Context, e *catalog.Endpoint) bool {
	probe, cancel := context.WithTimeout(ctx, crashProbe)
	defer cancel()
	if c.Backend.IsReachable(probe, e) || ctx.Err() != nil {
		return true
	}
	c.Fleet.ReportUnreachable(e.ID)
	return false
}
