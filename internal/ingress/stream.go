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
	"crocusglade.example/crocusglade/internal/catalog"
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
	// moreEvents is true if the last engine broke the stream off inside an event, so that at least one event must follow.
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
	defer c.abandonNextPlan()
	for {
		if !c.canDispatch() || c.ctx.Err() != nil {
			break
		}
		plan := c.takeNextPlan()
		if plan == nil {
			plan = c.placeStream(st)
		}
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

// takeNextPlan returns the plan that was made for the next attempt, or nil if there is none. The stream may have begun since it was made, and then
// goes on only at some endpoints.
func (c *call) takeNextPlan() *placement.Plan {
	plan := c.nextPlan
	c.nextPlan = nil
	if plan != nil && !plan.Allows(placement.Filter{Origin: c.filter().Origin}) {
		plan.Abandon()
		return nil
	}
	return plan
}

func (c *call) abandonNextPlan() {
	if c.nextPlan != nil {
		c.nextPlan.Abandon()
		c.nextPlan = nil
	}
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
		return c.Fleet.PlaceStream(c.service, c.filter())
	}
	c.setWaitLimits(st)
	return c.Fleet.PlacePrompt(c.service, c.r.Prompt, c.filter())
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
		if handle, ok = c.runPrefill(plan, st); !ok {
			plan.Decode.Done(placement.Abandoned)
			return false, c.ctx.Err() == nil
		}
		if !c.canDispatch() {
			c.detail = appendDetail(c.detail, "no time left for the decode")
			plan.Decode.Done(placement.Abandoned)
			c.freeHandle(handle)
			return false, true
		}
		if c.partsBlocked() {
			c.detail = appendDetail(c.detail, "a part of the prompt was blocked before the decode")
			plan.Decode.Done(placement.Abandoned)
			c.freeHandle(handle)
			return false, false
		}
		if !c.Fleet.ReplaceDecodeEngine(plan, c.r.Prompt, c.filter()) {
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
		if c.dispatches >= maxDispatches || !c.takeRetry(c.detail) || !c.Fleet.ReplaceDecodeEngine(plan, c.r.Prompt, c.filter()) {
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
	c.current = current{endpoint: plan.Decode.Endpoint.ID, prefillEndpoint: c.prefillEndpoint, predicted: c.predicted, prefillTokens: c.prefillTokens,
		fetchedCache: c.fetchedCache, resuming: st.lastEvent != ""}
	mode := rawPieces
	if c.route.Resumable {
		mode = wholeEvents
	}
	x := c.startExchange(plan.Decode, d, mode)
	defer c.close(x)
	stalled := func() error { return c.streamStall(x, plan) }
	place := func() *candidate {
		next := c.placeStream(st)
		if next == nil || next.LimitExcess > 0 {
			return nil
		}
		return &candidate{run: func() { done, retryable = c.tryEngine(next, st) }, abandon: next.Abandon}
	}
	p, replaced := c.receive(x, stalled, place)
	switch {
	case replaced:
		c.freeHandle(handle)
		return done, retryable, false
	case p.answer == nil:
		c.excluded[plan.Decode.Endpoint.ID] = true
		retryable = c.recordFailure(plan.Decode, p.err)
		c.freeHandle(handle)
		return false, retryable, false
	case p.answer.NotRun:
		c.uncountPossibleRun()
		c.recordRefusal(plan.Decode, p.answer.Misdirected)
		if !p.answer.Misdirected {
			c.freeHandle(handle)
		}
		return false, true, p.answer.Misdirected
	}
	c.mayHaveRun = true
	if p.answer.Status >= http.StatusMultipleChoices {
		done, retryable = c.relayFailure(plan.Decode, &p, st)
		return done, retryable, false
	}
	if !p.answer.Signed {
		return false, c.recordFailure(plan.Decode, &upstream.SendError{MaySent: true, Err: upstream.ErrMalformed}), false
	}
	for firstPart := true; ; firstPart = false {
		if firstPart {
			c.recordFirstPart(plan)
		}
		var more bool
		if more, done, retryable = c.relayPart(plan, p, st); !more {
			return done, retryable, false
		}
		if p, replaced = c.receive(x, stalled, place); replaced {
			return done, retryable, false
		}
	}
}

// recordFirstPart records that the first part of a stream has arrived.
func (c *call) recordFirstPart(plan *placement.Plan) {
	plan.Decode.RecordFirstToken()
	plan.RecordFirstToken()
	c.countUsage()
}

// runPrefill makes the plan's prefill engine prefill the prompt. It returns the handle of the KV cache, and false if that failed.
func (c *call) runPrefill(plan *placement.Plan, st *streamState) (*Handle, bool) {
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
	handle, status, err := c.prefillUntilStall(attempt, placement.FirstTokenLimit(plan.Predicted), st)
	if handle != nil || err != nil && !unsent(err) {
		c.prefillMayHaveRun = true
	}
	switch {
	case c.ctx.Err() != nil:
		attempt.Done(placement.Abandoned)
		return nil, false
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

// prefillUntilStall makes an engine prefill the prompt. After limit it cancels the prefill if there is a plan for the next attempt, with its
// retry: until then a late handle is better than none.
func (c *call) prefillUntilStall(attempt *placement.Attempt, limit time.Duration, st *streamState) (*Handle, int, error) {
	type result struct {
		handle *Handle
		status int
		err    error
	}
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	results, d := make(chan result, 1), c.newDispatch(attempt)
	go func() {
		handle, status, err := c.Backend.Prefill(ctx, &attempt.Endpoint, c.r, d)
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
		if c.planNext(&attempt.Endpoint, st) {
			cancel(errNoResponse)
		}
		timer.Reset(stallCheckInterval)
	}
}

// planNext makes the plan for the next attempt and takes its retry from the budget, while an engine that prefills the prompt is silent. It
// returns false if the request can't be tried elsewhere.
func (c *call) planNext(silent *catalog.Endpoint, st *streamState) bool {
	if c.nextPlan != nil || c.standby != nil || c.dispatches >= maxDispatches || !c.canDispatch() || !c.hasOther(silent) {
		return false
	}
	c.excluded[silent.ID] = true
	plan := c.placeStream(st)
	if plan == nil || plan.LimitExcess > 0 {
		return false
	}
	if !c.takeRetry(errNoResponse.Error()) {
		plan.Abandon()
		return false
	}
	c.nextPlan = plan
	return true
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

// relayPart sends a part of an engine's stream to the caller. It returns whether more parts must follow; if not, whether the response is
// complete, and if not, whether another engine may be tried.
func (c *call) relayPart(plan *placement.Plan, p part, st *streamState) (more, done, retryable bool) {
	attempt := plan.Decode
	// Bytes that complete no event are no sign of progress: the engine may send them without end.
	if p.completed > 0 {
		attempt.RecordActivity()
		c.recordEvents(p.completed)
	}
	err := p.err
	if err == io.EOF && c.isIncomplete(&p, st) {
		err = errIncompleteStream
	}
	if len(p.bytes) > 0 || err == io.EOF {
		forwardErr := c.forward(st, &p, &attempt.Endpoint)
		switch {
		case errors.Is(forwardErr, errNotResumed):
			err = forwardErr
		case errors.Is(forwardErr, errWentOn):
			c.recordLostContest(attempt, true)
			return false, false, false
		case forwardErr != nil:
			attempt.Done(placement.Abandoned)
			c.detail = appendDetail(c.detail, "write to caller: "+forwardErr.Error())
			return false, false, false
		}
	}
	switch err {
	case nil:
		return true, false, false
	case io.EOF:
		c.completeStream(attempt)
		return false, true, false
	}
	st.moreEvents = p.pending > 0
	c.excluded[attempt.Endpoint.ID] = true
	return false, false, c.recordFailure(attempt, &upstream.SendError{MaySent: true, Err: err})
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
func (c *call) relayFailure(attempt *placement.Attempt, p *part, st *streamState) (done, retryable bool) {
	c.excluded[attempt.Endpoint.ID] = true
	if p.err != io.EOF {
		return false, c.recordFailure(attempt, &upstream.SendError{MaySent: true, Err: p.err})
	}
	if st.started && c.standby != nil {
		return false, c.recordFailure(attempt, &upstream.SendError{MaySent: true, Err: errNotResumed})
	}
	if p.isProgress() && !c.adopt() {
		c.recordLostContest(attempt, true)
		return false, false
	}
	retryable = c.recordResponse(attempt, p.answer)
	if st.started || retryable || c.mustReplace(p.answer) || c.standby != nil {
		return false, retryable
	}
	c.w.WriteAnswer(p.answer.Status, p.answer.Header, p.bytes)
	return true, false
}

// forward sends a part of the response to the caller. For resumable streams it holds complete events, so that another endpoint can continue
// after the last one; forward returns errNotResumed if the events don't follow those that the caller has, and errWentOn if the silent endpoint
// went on that the stream's engine was to replace.
func (c *call) forward(st *streamState, p *part, e *catalog.Endpoint) error {
	if c.route.Resumable && len(p.bytes) > 0 && !c.acceptsNext(st, p.bytes) {
		return errNotResumed
	}
	if !c.adopt() {
		return errWentOn
	}
	c.startStream(st, p.answer, e)
	if len(p.bytes) == 0 {
		return nil
	}
	if err := c.w.WriteEvent(p.bytes); err != nil {
		return err
	}
	if id, ok := lastEventID(p.bytes); ok && c.route.Resumable {
		st.lastEvent = id
	}
	return nil
}

// startStream sends the header of the stream to the caller, and records where the stream began. Later calls have no effect.
func (c *call) startStream(st *streamState, a *Answer, e *catalog.Endpoint) {
	if st.started {
		return
	}
	st.started = true
	c.begin(e)
	c.firstResponseAfter = time.Since(c.r.Arrived)
	c.w.StartStream(a.Status, a.Header)
}

// completeStream records that the engine ended the stream regularly.
func (c *call) completeStream(attempt *placement.Attempt) {
	attempt.Done(placement.Served)
	c.Parts.RecordAnswer(c.sharedParts)
	c.Quarantine.Clear(c.fingerprint)
}

var (
	idField = []byte("id:")
	idLine  = []byte("\nid:")
)

// isIncomplete reports whether a stream that the engine ended regularly lacks events or the end of one.
func (c *call) isIncomplete(p *part, st *streamState) bool {
	moreEvents := st.moreEvents || c.standby != nil && c.standby.pendingBytes.Load() > 0
	return p.pending > 0 || c.eventCount == 0 && (p.answer.EndsWithConnection || moreEvents)
}

// acceptsNext reports whether complete events may continue the stream. The first of a resumed stream must have an id, or be a comment: bytes
// of another response have none.
func (c *call) acceptsNext(st *streamState, events []byte) bool {
	if c.resuming && events[0] != ':' {
		if _, ok := lastEventID(eventstream.First(events)); !ok {
			return false
		}
		c.resuming = false
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
