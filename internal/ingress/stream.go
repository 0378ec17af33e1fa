package ingress

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/buffer"
	"crocusglade.example/crocusglade/internal/eventstream"
	"crocusglade.example/crocusglade/internal/placement"
	"crocusglade.example/crocusglade/internal/upstream"
)

const (
	// maxEnginePriority is the least urgent priority of engines.
	maxEnginePriority = 9
	// retryAfterNoEngine is the Retry-After time if no engine served the request.
	retryAfterNoEngine = 400 * time.Millisecond
	// retryAfterOverload is the minimum and the jitter that are added to the excess wait for the Retry-After time of overloaded engines.
	retryAfterOverload = 200 * time.Millisecond
	// maxDispatches is the largest number of exchanges with endpoints for one request, including those that endpoints refused.
	maxDispatches = 8
	// longAnswer is how long an engine must have streamed events to prove, before the end of the stream, that the prompt doesn't crash it.
	longAnswer = time.Second
	// streamBuffer is the size in bytes of one read from an engine.
	streamBuffer = 4096
)

// streamState is the part of a streamed response that the caller has received. It spans several engines if the stream is resumed.
type streamState struct {
	started bool
	// lastEvent is the id of the last event that was sent to the caller.
	lastEvent string
	// partialEvent holds the bytes of an event that is not complete yet. It is empty for streams that can't be resumed.
	partialEvent []byte
	// resuming is true until the first event of an endpoint that resumes the stream has arrived.
	resuming bool
	// pending is the number of bytes of the incomplete event that the current engine has sent. moreEvents is true if an engine broke the
	// stream off inside an event, so that at least one event must follow.
	pending    int
	moreEvents bool
}

// serveStream serves a request whose response is a stream of events, or that has a prompt. It retries or resumes at other endpoints where
// the route allows that.
func (c *call) serveStream() {
	if c.hasPrompt() && !c.Fleet.FitsKVCache(c.service, c.r.Prompt) {
		c.refuse(apierror.New(apierror.Unavailable, "send a shorter prompt", "the engines' KV cache is too small for a prompt of %d tokens", c.r.Prompt.Tokens), 0)
		return
	}
	st := &streamState{lastEvent: c.r.ResumeAfter}
	for {
		if c.remaining() < minDispatchTime || c.ctx.Err() != nil {
			break
		}
		plan := c.placeStream(st)
		if plan == nil && c.awaitFreeEndpoint() {
			continue
		}
		if plan == nil {
			c.detail = appendDetail(c.detail, "no endpoint accepts requests")
			break
		}
		if plan.LimitExcess > 0 {
			c.predicted = plan.Predicted
			c.giveUp("the engines are overloaded; the predicted wait is too long", plan.LimitExcess+retryAfterOverload+rand.N(retryAfterOverload))
			return
		}
		done, retryable := c.tryEngine(plan, st)
		if done {
			c.finish("streamed")
			return
		}
		if !retryable || c.dispatches >= maxDispatches || !c.takeRetry(c.detail) {
			break
		}
	}
	c.endUnservedStream(st)
}

// endUnservedStream ends a stream that no endpoint completed. One that has started is broken off, so that it doesn't look complete.
func (c *call) endUnservedStream(st *streamState) {
	switch {
	case st.started:
		c.w.Abort()
		outcome := "broken_off"
		if c.callerLeft() {
			outcome = "caller_left"
		}
		c.finish(outcome)
	case c.hasPrompt():
		c.giveUp("no engine served the request", retryAfterNoEngine)
	default:
		c.giveUp("no endpoint answered", retryAfterFull)
	}
}

// hasPrompt reports whether the request describes a prompt for an engine.
func (c *call) hasPrompt() bool { return c.route.HasPrompts && c.r.Prompt != nil }

// placeStream selects the endpoints for the next attempt. It returns nil if none accepts the request.
func (c *call) placeStream(st *streamState) *placement.Plan {
	if !c.hasPrompt() {
		return c.Fleet.PlaceStream(c.service, c.excluded)
	}
	c.setWaitLimits(st)
	return c.Fleet.PlacePrompt(c.service, c.r.Prompt, c.excluded)
}

// setWaitLimits sets the prompt's limits for the queueing time and the time to the first token. A stream that is being resumed has no
// limits, so that it continues regardless of the load.
func (c *call) setWaitLimits(st *streamState) {
	p := c.r.Prompt
	p.MaxWait, p.MaxTimeToFirstToken = 0, 0
	if st.started || c.r.ResumeAfter != "" {
		return
	}
	p.MaxTimeToFirstToken = c.remaining()
	if c.dispatches == 0 {
		p.MaxWait = placement.MaxWait(c.objective, c.route.Priority)
	}
}

// tryEngine executes one plan. It returns whether the response is complete, and if not, whether another plan may be tried.
func (c *call) tryEngine(plan *placement.Plan, st *streamState) (done, retryable bool) {
	var handle *Handle
	c.predicted, c.prefillTokens, c.fetchedCache = plan.Predicted, plan.Decode.PrefillTokens, plan.Decode.FetchFrom != ""
	c.prefillEndpoint = ""
	if plan.Prefill != nil {
		c.prefillTokens, c.fetchedCache = plan.Prefill.PrefillTokens, plan.Prefill.FetchFrom != ""
		var ok bool
		if handle, ok = c.runPrefill(plan); !ok {
			plan.Decode.Done(placement.Abandoned)
			return false, c.ctx.Err() == nil
		}
		if c.Parts.Blocked(c.sharedParts) { // blocked during the prefill
			plan.Decode.Done(placement.Abandoned)
			c.freeHandle(handle)
			return false, false
		}
		if !c.Fleet.ReplaceDecodeEngine(plan, c.r.Prompt, c.excluded) {
			plan.Decode.Done(placement.Abandoned)
			c.freeHandle(handle)
			return false, true
		}
	}
	for {
		done, retryable, misdirected := c.runDecode(plan, handle, st)
		if !misdirected || handle == nil {
			return done, retryable
		}
		// The KV cache has not been transferred, so another decode engine can use the handle.
		if c.dispatches >= maxDispatches || !c.takeRetry(c.detail) || !c.Fleet.ReplaceDecodeEngine(plan, c.r.Prompt, c.excluded) {
			c.freeHandle(handle)
			return false, false
		}
	}
}

// runDecode sends the request to the plan's decode engine and relays its response. It returns misdirected if the engine refused without
// using the handle, which is still valid then.
func (c *call) runDecode(plan *placement.Plan, handle *Handle, st *streamState) (done, retryable, misdirected bool) {
	d := c.newDispatch(plan.Decode)
	d.Handle = handle
	d.ResumeAfter = st.lastEvent
	c.dispatches++
	c.reachedEndpoint = true
	c.endpoint = plan.Decode.Endpoint.ID
	c.eventCount, c.firstEventAt, c.longAnswer = 0, time.Time{}, false
	x := c.startExchange(plan.Decode, d, nil)
	defer c.close(x)
	p, replaced := c.receiveStream(x, plan, st, &done, &retryable)
	if replaced {
		return done, retryable, false
	}
	if p.err != nil {
		retryable := c.recordFailure(plan.Decode, p.err)
		c.excluded[plan.Decode.Endpoint.ID] = true
		c.freeHandle(handle)
		return false, retryable, false
	}
	a := p.answer
	if a.NotRun {
		drain(a.Body)
		c.recordRefusal(plan.Decode, a.Misdirected)
		if !a.Misdirected {
			c.freeHandle(handle)
		}
		return false, true, a.Misdirected
	}
	done, retryable = c.relayResponse(x, plan, a, st)
	return done, retryable, false
}

// receiveStream is receive for a stream. If another engine replaces the exchange, done and retryable are set to how that ended.
func (c *call) receiveStream(x *exchange, plan *placement.Plan, st *streamState, done, retryable *bool) (part, bool) {
	return c.receive(x, func() error { return c.streamStall(x, plan) }, func() *candidate {
		next := c.placeStream(st)
		if next == nil || next.LimitExcess > 0 {
			return nil
		}
		return &candidate{run: func() { *done, *retryable = c.tryEngine(next, st) }, abandon: next.Abandon}
	})
}

// runPrefill makes the plan's prefill engine prefill the prompt. It returns the handle of the KV cache, and false if that failed.
func (c *call) runPrefill(plan *placement.Plan) (*Handle, bool) {
	attempt := plan.Prefill
	c.prefillEndpoint = attempt.Endpoint.ID
	if c.prefills > 0 && !c.Budget.AllowRetry(c.service) {
		// A repeated prefill counts as a retry in addition to the retry of the request.
		attempt.Done(placement.Abandoned)
		c.detail = appendDetail(c.detail, "retry budget exhausted")
		return nil, false
	}
	c.dispatches++
	c.reachedEndpoint = true
	handle, status, err := c.prefillUntilStall(attempt, placement.FirstTokenLimit(plan.Predicted))
	switch {
	case c.ctx.Err() != nil:
		attempt.Done(placement.Abandoned)
	case err != nil && unsent(err):
		attempt.Done(placement.Unreachable)
		c.reachedEndpoint = false
		c.detail = appendDetail(c.detail, "prefill at "+c.prefillEndpoint+": "+err.Error())
	case err != nil:
		attempt.Done(placement.Failed)
		c.detail = appendDetail(c.detail, "prefill at "+c.prefillEndpoint+": "+err.Error())
		go c.probeReachable(context.WithoutCancel(c.ctx), &attempt.Endpoint)
	case handle == nil:
		c.recordRefusal(attempt, status == http.StatusMisdirectedRequest)
	default:
		c.prefills++
		attempt.RecordFirstToken()
		attempt.Done(placement.Served)
		return handle, true
	}
	c.excluded[attempt.Endpoint.ID] = true
	return nil, false
}

// prefillUntilStall makes an engine prefill the prompt. After limit it cancels the prefill, if a retry elsewhere can be reserved: until then a late
// handle is better than none.
func (c *call) prefillUntilStall(attempt *placement.Attempt, limit time.Duration) (*Handle, int, error) {
	type result struct {
		handle *Handle
		status int
		err    error
	}
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	results := make(chan result, 1)
	go func() {
		handle, status, err := c.Backend.Prefill(ctx, &attempt.Endpoint, c.r, c.newDispatch(attempt))
		results <- result{handle, status, err}
	}()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case r := <-results:
			return r.handle, r.status, r.err
		case <-timer.C:
		}
		if !c.retryReserved && c.dispatches < maxDispatches && c.hasOther(&attempt.Endpoint) && c.Budget.AllowRetry(c.service) {
			c.retryReserved = true
			cancel(errNoResponse)
		}
		timer.Reset(stallCheckInterval)
	}
}

// newDispatch returns the parameters of a dispatch of a stream. Only engines know priorities.
func (c *call) newDispatch(attempt *placement.Attempt) *Dispatch {
	return &Dispatch{Team: c.team, Remaining: c.remaining(), HasPriority: c.hasPrompt(), FetchFrom: attempt.FetchFrom,
		Priority: min(max(c.priority, 0), maxEnginePriority)}
}

// freeHandle frees a KV cache that will not be used. It works in the background, so that the request does not wait for it.
func (c *call) freeHandle(h *Handle) {
	if h == nil || !c.Fleet.MayReceive(&h.Endpoint) {
		return // a handle that isn't freed expires
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), time.Second)
		defer cancel()
		c.Backend.FreeHandle(ctx, h)
	}()
}

// relayResponse streams an engine's response to the caller. It returns whether the response is complete, and if not, whether another
// engine may be tried.
func (c *call) relayResponse(x *exchange, plan *placement.Plan, a *Answer, st *streamState) (done, retryable bool) {
	attempt := plan.Decode
	c.mayHaveRun = true
	if a.Status >= http.StatusMultipleChoices {
		return c.relayFailure(attempt, a, st)
	}
	if !a.Signed {
		return false, c.recordFailure(attempt, &upstream.SendError{MaySent: true, Err: upstream.ErrMalformed})
	}
	if replaces := c.standby != nil; !c.adopt() {
		attempt.Done(placement.Abandoned)
		return false, false
	} else if replaces {
		c.dropPartialEvent(st)
	}
	st.resuming = st.lastEvent != ""
	x.receiveStream(a.Body)
	for firstRead := true; ; {
		p, replaced := c.receiveStream(x, plan, st, &done, &retryable)
		if replaced {
			return done, retryable
		}
		err := p.err
		if len(p.bytes) > 0 {
			if firstRead {
				firstRead = false
				attempt.RecordFirstToken()
				plan.RecordFirstToken()
				c.countUsage()
			}
			// Bytes that complete no event are no sign of progress: the engine may send them without end.
			if p.completed > 0 {
				attempt.RecordActivity()
				c.recordEvents(p.completed)
			}
			st.moreEvents = st.moreEvents && c.eventCount == 0
			forwardErr := c.forward(st, a, p.bytes, p.end)
			switch {
			case errors.Is(forwardErr, errNotResumed), errors.Is(forwardErr, buffer.ErrTooLarge):
				err = forwardErr
			case forwardErr != nil:
				attempt.Done(placement.Abandoned)
				c.detail = appendDetail(c.detail, "write to caller: "+forwardErr.Error())
				return false, false
			}
			st.pending = p.pending
		}
		if st.pending > maxEventBytes {
			err = errEventTooLarge
		}
		if err == io.EOF && c.isIncomplete(a, st) {
			err = errIncompleteStream
		}
		if err == io.EOF {
			return c.completeStream(attempt, a, st), false
		}
		if err != nil {
			c.dropPartialEvent(st)
			c.excluded[attempt.Endpoint.ID] = true
			return false, c.recordFailure(attempt, &upstream.SendError{MaySent: true, Err: err})
		}
	}
}

// dropPartialEvent forgets the bytes of an event that the engine did not complete.
func (c *call) dropPartialEvent(st *streamState) {
	_ = c.holdBack(st, nil) // can't fail, since it needs no memory
	st.moreEvents = st.moreEvents || st.pending > 0
	st.pending = 0
}

// recordEvents counts events, and records an answer that goes on for longAnswer as a proof that the prompt crashes no engine.
func (c *call) recordEvents(completed int) {
	c.eventCount += completed
	if c.firstEventAt.IsZero() {
		c.firstEventAt = time.Now()
	}
	if !c.longAnswer && time.Since(c.firstEventAt) > longAnswer {
		c.longAnswer = true
		c.Parts.RecordAnswer(c.sharedParts)
	}
}

// relayFailure sends an engine's error response to the caller, unless the stream has started, another engine may be tried, or the response
// must be replaced.
func (c *call) relayFailure(attempt *placement.Attempt, a *Answer, st *streamState) (done, retryable bool) {
	body, err := c.buffers.ReadAll(a.Body, maxResponseBytes)
	if err != nil {
		return false, c.recordFailure(attempt, &upstream.SendError{MaySent: true, Err: err})
	}
	c.excluded[attempt.Endpoint.ID] = true
	retryable = c.recordResponse(attempt, a)
	if st.started || retryable || c.mustReplace(a) || c.standby != nil {
		return false, retryable
	}
	c.w.WriteAnswer(a.Status, a.Header, body)
	return true, false
}

// forward sends a part of the response to the caller, of which the first end bytes complete events. For resumable streams it sends
// complete events only, so that another endpoint can continue after the last one, and returns errNotResumed if the events don't follow
// those that the caller has.
func (c *call) forward(st *streamState, a *Answer, p []byte, end int) error {
	if !c.route.Resumable {
		c.startStream(st, a)
		return c.w.WriteEvent(p)
	}
	if end == 0 {
		return c.holdBack(st, append(st.partialEvent, p...))
	}
	complete := append(st.partialEvent, p[:end]...)
	if !st.acceptsNext(complete) {
		return errNotResumed
	}
	c.startStream(st, a)
	if err := c.w.WriteEvent(complete); err != nil {
		return err
	}
	if id, ok := lastEventID(complete); ok {
		st.lastEvent = id
	}
	return c.holdBack(st, append([]byte(nil), p[end:]...))
}

// holdBack replaces the bytes of the incomplete event of a stream.
func (c *call) holdBack(st *streamState, partial []byte) error {
	if err := c.buffers.Resize(cap(st.partialEvent), cap(partial)); err != nil {
		return err
	}
	st.partialEvent = partial
	return nil
}

// startStream sends the header of the stream to the caller. Later calls have no effect.
func (c *call) startStream(st *streamState, a *Answer) {
	if st.started {
		return
	}
	st.started = true
	c.firstResponseAfter = time.Since(c.r.Arrived)
	c.w.StartStream(a.Status, a.Header)
}

// completeStream ends a stream that the engine ended regularly, and sends the empty lines after its last event. It returns false if the
// caller can't be written to.
func (c *call) completeStream(attempt *placement.Attempt, a *Answer, st *streamState) bool {
	attempt.Done(placement.Served)
	c.Parts.RecordAnswer(c.sharedParts)
	c.Quarantine.Clear(c.fingerprint)
	c.startStream(st, a)
	if len(st.partialEvent) > 0 {
		if err := c.w.WriteEvent(st.partialEvent); err != nil {
			c.detail = appendDetail(c.detail, "write to caller: "+err.Error())
			return false
		}
	}
	return true
}

var (
	idField = []byte("id:")
	idLine  = []byte("\nid:")
)

// isIncomplete reports whether a stream that the engine ended regularly lacks events or the end of one.
func (c *call) isIncomplete(a *Answer, st *streamState) bool {
	return st.pending > 0 || c.eventCount == 0 && (a.EndsWithConnection || st.moreEvents)
}

// acceptsNext reports whether complete events may continue the stream. The first of a resumed stream must have an id, or be a comment: bytes
// of another response have none.
func (st *streamState) acceptsNext(events []byte) bool {
	if st.resuming && events[0] != ':' {
		if _, ok := lastEventID(eventstream.First(events)); !ok {
			return false
		}
		st.resuming = false
	}
	return follows(events, st.lastEvent)
}

// follows reports whether the first id among events is above the id of the event before them. It is true if one of them is no number.
func follows(events []byte, before string) bool {
	at := 0
	if !bytes.HasPrefix(events, idField) {
		i := bytes.Index(events, idLine)
		if i < 0 {
			return true
		}
		at = i + 1
	}
	line, _, _ := bytes.Cut(events[at+len(idField):], []byte("\n"))
	first, err := strconv.ParseUint(string(bytes.TrimSpace(line)), 10, 64)
	last, beforeErr := strconv.ParseUint(before, 10, 64)
	return err != nil || beforeErr != nil || first > last
}

// lastEventID returns the id of the last event that has one. events must hold complete events only.
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
