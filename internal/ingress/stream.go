package ingress

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/placement"
	"crocusglade.example/crocusglade/internal/upstream"
)

const (
	// maxEnginePriority is the least urgent priority of engines.
	maxEnginePriority = 9
	// retryWhenNoEngine is when callers may come back when no engine takes work.
	retryWhenNoEngine = 400 * time.Millisecond
	// retryWhenBusy is the shortest time, and the spread, after which callers may come back when the engines have too much work.
	retryWhenBusy = 200 * time.Millisecond
	// maxSends bounds the exchanges of one request, those that endpoints turned away included.
	maxSends = 8
	// streamBuffer is the size of one read from an engine.
	streamBuffer = 4096
)

// stream is what the caller has of a streamed answer so far.
type stream struct {
	started atomic.Bool
	// lastEvent is the id of the last event that was passed on.
	lastEvent string
	// pending holds the bytes of an event that has not arrived whole.
	pending []byte
}

// serveEngine has a prompt read and its tokens streamed, and goes on at another engine where that is allowed.
func (c *call) serveEngine() {
	if !c.Fleet.Fits(c.service, c.r.Prompt) {
		c.refuse(apierror.New(apierror.Unavailable, "send a shorter prompt", "no engine has memory for a prompt of %d tokens", c.r.Prompt.Tokens), 0)
		return
	}
	st := &stream{lastEvent: c.r.ResumeAfter}
	for {
		if c.remaining() < minRemaining || c.ctx.Err() != nil {
			break
		}
		c.limitWait(st)
		plan := c.Fleet.PlacePrompt(c.service, c.r.Prompt, c.exclude)
		if plan == nil {
			c.detail = appendDetail(c.detail, "no engine takes work")
			break
		}
		if plan.LimitExcess > 0 {
			c.predicted = plan.Predicted
			c.giveUp("the engines have more work than they read in time", plan.LimitExcess+retryWhenBusy+rand.N(retryWhenBusy))
			return
		}
		done, again := c.tryEngine(plan, st)
		if done {
			c.finish("streamed")
			return
		}
		if !again || c.sends >= maxSends || !c.mayTry(c.detail) {
			break
		}
	}
	if st.started.Load() {
		c.w.Abort()
		outcome := "broken_off"
		if c.left() {
			outcome = "caller_left"
		}
		c.finish(outcome)
		return
	}
	c.giveUp("no engine served the request", retryWhenNoEngine)
}

// limitWait sets how long the request may wait behind other work. Streams that have begun go on whatever the load is.
func (c *call) limitWait(st *stream) {
	p := c.r.Prompt
	p.MaxWait, p.MaxTimeToFirstToken = 0, 0
	if st.started.Load() || c.r.ResumeAfter != "" {
		return
	}
	p.MaxTimeToFirstToken = c.remaining()
	if c.sends == 0 {
		p.MaxWait = placement.MaxWait(c.objective, c.route.Priority)
	}
}

// tryEngine follows one plan. It returns whether the answer is complete, and if not, whether another plan may be tried.
func (c *call) tryEngine(plan *placement.Plan, st *stream) (done, again bool) {
	var handle *Handle
	c.predicted, c.unread, c.fetched = plan.Predicted, plan.Runner.UnreadTokens, plan.Runner.FetchFrom != ""
	c.reader = ""
	if plan.Reader != nil {
		c.unread, c.fetched = plan.Reader.UnreadTokens, plan.Reader.FetchFrom != ""
		var ok bool
		if handle, ok = c.readPrompt(plan); !ok {
			plan.Runner.Done(placement.Abandoned)
			return false, c.ctx.Err() == nil
		}
		if !c.Fleet.RenewRunner(plan, c.r.Prompt, c.exclude) {
			plan.Runner.Done(placement.Abandoned)
			c.free(handle)
			return false, true
		}
	}
	for {
		done, again, misdirected := c.run(plan, handle, st)
		if !misdirected || handle == nil {
			return done, again
		}
		// Nobody has taken what was read, so another engine may.
		if c.sends >= maxSends || !c.mayTry(c.detail) || !c.Fleet.RenewRunner(plan, c.r.Prompt, c.exclude) {
			c.free(handle)
			return false, false
		}
	}
}

// run sends the request to the plan's runner and passes on its answer. misdirected is set when the runner did not look at the
// handle, which is still good then.
func (c *call) run(plan *placement.Plan, handle *Handle, st *stream) (done, again, misdirected bool) {
	d := c.dispatch(plan.Runner)
	d.Handle = handle
	d.ResumeAfter = st.lastEvent
	c.sends++
	c.arrived = true
	c.endpoint = plan.Runner.Endpoint.ID
	w := c.watchStall(plan, st)
	defer w.stop()
	a, err := c.Backend.Run(w.ctx, &plan.Runner.Endpoint, c.r, d)
	if err != nil {
		again := c.failed(plan.Runner, err)
		c.exclude[plan.Runner.Endpoint.ID] = true
		c.free(handle)
		return false, again, false
	}
	defer a.Body.Close()
	if a.NotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxAnswerBytes)) // only to keep the connection; the answer is not used
		c.turnedAway(plan.Runner, a.Misdirected)
		if !a.Misdirected {
			c.free(handle)
		}
		return false, true, a.Misdirected
	}
	done, again = c.passOn(plan, a, st, w)
	return done, again, false
}

// readPrompt has the plan's reader read the prompt.
func (c *call) readPrompt(plan *placement.Plan) (*Handle, bool) {
	reader := plan.Reader
	c.reader = reader.Endpoint.ID
	if c.reads > 0 && !c.Budget.AllowRetry(c.service) {
		// A further reading counts as a retry by itself, beside the one of the run that follows.
		reader.Done(placement.Abandoned)
		c.detail = appendDetail(c.detail, "retry budget spent")
		return nil, false
	}
	c.sends++
	c.arrived = true
	ctx, cancel := c.ctx, func() {}
	if c.Budget.RetryAvailable(c.service) && c.Fleet.HasOtherEndpoint(c.service, c.r.Prompt.Model, reader.Endpoint.ID, c.exclude) {
		ctx, cancel = context.WithTimeoutCause(c.ctx, placement.FirstTokenLimit(plan.Predicted), errUnanswered)
	}
	defer cancel()
	handle, status, err := c.Backend.ReadPrompt(ctx, &reader.Endpoint, c.r, c.dispatch(reader))
	switch {
	case c.ctx.Err() != nil:
		reader.Done(placement.Abandoned)
	case err != nil && unsent(err):
		reader.Done(placement.Unreachable)
		c.arrived = false
		c.detail = appendDetail(c.detail, "reading at "+c.reader+": "+err.Error())
	case err != nil:
		reader.Done(placement.Failed)
		c.detail = appendDetail(c.detail, "reading at "+c.reader+": "+err.Error())
		go c.reachable(context.WithoutCancel(c.ctx), &reader.Endpoint)
	case handle == nil:
		c.turnedAway(reader, status == http.StatusMisdirectedRequest)
	default:
		c.reads++
		reader.RecordFirstToken()
		reader.Done(placement.Served)
		return handle, true
	}
	c.exclude[reader.Endpoint.ID] = true
	return nil, false
}

func (c *call) dispatch(s *placement.Attempt) *Dispatch {
	return &Dispatch{Team: c.team, Remaining: c.remaining(), HasPriority: true, FetchFrom: s.FetchFrom,
		Priority: min(max(c.priority, 0), maxEnginePriority)}
}

// free gives up a handle beside the request.
func (c *call) free(h *Handle) {
	if h == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), time.Second)
		defer cancel()
		c.Backend.FreeHandle(ctx, h)
	}()
}

// passOn passes an engine's answer to the caller as it arrives.
func (c *call) passOn(plan *placement.Plan, a *Answer, st *stream, w *stallWatch) (done, again bool) {
	send := plan.Runner
	c.mayHaveRun = true
	if a.Status >= http.StatusMultipleChoices {
		return c.passFailure(send, a, st)
	}
	if !a.Signed && !st.started.Load() {
		return false, c.failed(send, &upstream.SendError{MaySent: true, Err: upstream.ErrMalformed})
	}
	buf := make([]byte, streamBuffer)
	first := true
	for {
		n, err := a.Body.Read(buf)
		if n > 0 {
			w.heard()
			send.RecordActivity()
			if first {
				first = false
				send.RecordFirstToken()
				plan.RecordFirstToken()
				c.began()
			}
			if writeErr := c.forward(st, a, buf[:n]); writeErr != nil {
				send.Done(placement.Abandoned)
				c.detail = appendDetail(c.detail, "caller: "+writeErr.Error())
				return false, false
			}
		}
		if err == io.EOF {
			return c.complete(send, a, st), false
		}
		if err != nil {
			if w.ctx.Err() != nil {
				err = context.Cause(w.ctx)
			}
			st.pending = nil
			c.exclude[send.Endpoint.ID] = true
			return false, c.failed(send, &upstream.SendError{MaySent: true, Err: err})
		}
	}
}

// passFailure passes on an engine's own failure, unless the stream has begun or another engine may be tried.
func (c *call) passFailure(send *placement.Attempt, a *Answer, st *stream) (done, again bool) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	if err != nil {
		return false, c.failed(send, &upstream.SendError{MaySent: true, Err: err})
	}
	c.exclude[send.Endpoint.ID] = true
	c.ran++
	c.detail = appendDetail(c.detail, "failed by "+send.Endpoint.ID+": "+http.StatusText(a.Status))
	outcome := placement.Failed
	if a.Status < http.StatusInternalServerError {
		outcome = placement.Served
	}
	send.Done(outcome)
	again = c.route.Repeatable() && outcome == placement.Failed && c.ran < c.route.Attempts
	if st.started.Load() || again {
		return false, again
	}
	c.w.WriteAnswer(a.Status, a.Header, body)
	return true, false
}

// forward passes on what has arrived. Of streams that may go on elsewhere only whole events are passed on.
func (c *call) forward(st *stream, a *Answer, p []byte) error {
	if !c.route.Resumable {
		c.start(st, a)
		return c.w.WriteEvent(p)
	}
	st.pending = append(st.pending, p...)
	end := bytes.LastIndex(st.pending, eventEnd)
	if end < 0 {
		return nil
	}
	whole := st.pending[:end+len(eventEnd)]
	c.start(st, a)
	if err := c.w.WriteEvent(whole); err != nil {
		return err
	}
	if id, ok := lastEventID(whole); ok {
		st.lastEvent = id
	}
	st.pending = append([]byte(nil), st.pending[len(whole):]...)
	return nil
}

func (c *call) start(st *stream, a *Answer) {
	if st.started.Load() {
		return
	}
	st.started.Store(true)
	c.first = time.Since(c.r.Arrived)
	c.w.StartStream(a.Status, a.Header)
}

// complete ends a stream whose engine ended it in the protocol.
func (c *call) complete(send *placement.Attempt, a *Answer, st *stream) bool {
	send.Done(placement.Served)
	c.start(st, a)
	if len(st.pending) > 0 {
		if err := c.w.WriteEvent(st.pending); err != nil {
			c.detail = appendDetail(c.detail, "caller: "+err.Error())
			return false
		}
	}
	return true
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// lastEventID returns the id of the last event among whole events.
func lastEventID(events []byte) (string, bool) {
	at := bytes.LastIndex(events, idField)
	for at > 0 && events[at-1] != '\n' {
		at = bytes.LastIndex(events[:at], idField)
	}
	if at < 0 {
		return "", false
	}
	line, _, _ := bytes.Cut(events[at+len(idField):], []byte("\n"))
	return string(bytes.TrimSpace(line)), true
}
