package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/continuation"
	"crocusglade.example/crocusglade/internal/endpoint"
)

const (
	// maxResumes limits consecutive resumes at one engine that yield no new token.
	maxResumes = 2
	// cancelTimeout limits the call that cancels a request at an engine.
	cancelTimeout = 2 * time.Second
)

// streamRun is the state of one streamed answer across all its attempts.
type streamRun struct {
	g *Gateway
	m *modelCall
	a *answer

	tokens int
	text   strings.Builder
	// textOnly is false once the answer contains output other than text, which another engine can't continue.
	textOnly         bool
	finishReasonSent bool
	// begun is true once the answer's status and header are set.
	begun bool
	usage *endpoint.Usage
	// maybeSent is true once a byte of the request may have been sent to an endpoint.
	maybeSent bool
	// current is the attempt in progress; nil for a stream that is only resumed for a fetch. migrations counts the migrations so far.
	current    *streamAttempt
	migrations int
}

// runStream runs a streamed request. After a failure it resumes the stream on the same engine, then continues it on another engine,
// and then ends it with a typed error.
func (g *Gateway) runStream(ctx context.Context, m *modelCall, a *answer) {
	s := &streamRun{g: g, m: m, a: a, textOnly: true}
	var last error
	var next *balancer.Choice // target of a migration, which does not count as a retry
	for try := 0; try < g.opts.MaxAttempts; try++ {
		choice := next
		if choice == nil {
			if try > 0 && !g.mayRetry(m.call, last) {
				break
			}
			var err error
			if choice, err = g.chooseEndpoint(ctx, m.call, &m.placement); err != nil {
				if last == nil {
					last = err
				}
				break
			}
		}
		if next, last = s.attempt(ctx, choice); next != nil && !s.m.placement.Origin.Allows(s.m.pool.Name, next.SoftwareVersion) {
			next.Done(balancer.Outcome{}) // chosen before the stream began
			next = nil
		}
		if last == nil {
			s.complete(ctx)
			return
		}
		if next != nil {
			m.resumes++
			try--
		}
		if ctx.Err() != nil || !s.continuable(last) {
			if next != nil {
				next.Done(balancer.Outcome{})
			}
			break
		}
		m.placement.Exclude = append(m.placement.Exclude, choice.Endpoint.Name)
	}
	s.fail(ctx, last)
}

// maxChooseWait limits how long a request without a deadline waits for an endpoint with free capacity, like the wait in admission.
const maxChooseWait = 30 * time.Second

// chooseEndpoint picks an endpoint for the next attempt. It waits for free capacity until the request's deadline.
func (g *Gateway) chooseEndpoint(ctx context.Context, c *call, placement *balancer.Request) (*balancer.Choice, error) {
	until := c.deadline
	if until.IsZero() {
		until = time.Now().Add(maxChooseWait)
	}
	if g.opts.Quarantine.HasCrashRecord(c.fingerprint) {
		placement.SuspectFingerprint = c.fingerprint
	}
	choice, err := g.opts.Balancer.ChooseWithDeadline(ctx, *placement, until)
	if err != nil {
		return nil, err
	}
	if c.attempts == 0 {
		g.opts.Budget.RecordFirstTry(placement.Pool)
		c.predictedFirstToken, c.cacheAffinity = choice.PredictedFirstTokenTime, choice.CachedTokens > 0
	}
	c.attempts++
	return choice, nil
}

// mayRetry reports whether another attempt is allowed. A retry after an attempt that sent nothing does not use the budget, because
// that attempt put no load on the pool.
func (g *Gateway) mayRetry(c *call, last error) bool {
	e := endpoint.AsError(last)
	unsent := e != nil && !e.MaybeSent
	// A probe may be sent until an engine may have run it.
	if g.opts.Quarantine.Blocked(c.fingerprint) || !(c.probesPart && unsent) && g.opts.Parts.Blocked(c.sharedParts) {
		return false
	}
	if unsent {
		return true
	}
	allowed := g.opts.Budget.AllowRetry(c.pool.Name)
	c.budgetRefused = c.budgetRefused || !allowed
	return allowed
}

// attempt runs the rest of the answer on one engine and resumes it there while resumes yield new tokens. It returns a nil error after
// the engine's end marker. When the stream migrates it returns the target endpoint and an error.
func (s *streamRun) attempt(ctx context.Context, choice *balancer.Choice) (next *balancer.Choice, err error) {
	ctx, s.current = s.registerAttempt(ctx, choice)
	addr := choice.Endpoint.Addr
	started, tokensBefore := time.Now(), s.tokens
	request := s.m.engineRequest(s.tokens, s.text.String())
	stream, err := s.g.opts.Endpoints.Stream(ctx, addr, request)
	var firstTokenTime time.Duration
	for emptyResumes := 0; ; {
		tokensAtResume := s.tokens
		if err == nil {
			err = s.forwardStream(stream, func() { firstTokenTime = time.Since(started); choice.RecordFirstToken() }, tokensBefore)
			stream.Close()
		}
		if err == nil {
			break
		}
		s.recordSent(err)
		if s.tokens > tokensAtResume {
			emptyResumes = 0
		}
		if emptyResumes++; emptyResumes > maxResumes || ctx.Err() != nil || !resumable(err) {
			break
		}
		var resumeErr error
		stream, resumeErr = s.g.opts.Endpoints.ResumeStream(ctx, addr, request, s.tokens)
		if resumeErr != nil {
			break
		}
		s.m.resumes++
		err = nil
	}
	if err != nil {
		s.g.handleEngineFailure(ctx, s.m.call, choice, s.tokens-tokensBefore, err)
	}
	choice.Done(balancer.Outcome{Failed: ctx.Err() == nil && endpointFailed(err), Pause: endpoint.PauseOf(nil, err), TimeToFirstToken: firstTokenTime, OutputTokens: s.tokens - tokensBefore})
	return s.unregisterAttempt(ctx, s.current, err), err
}

// forwardStream forwards chunks to the caller until the engine's end marker. It calls onFirst at the first token after tokensBefore.
func (s *streamRun) forwardStream(stream *endpoint.Stream, onFirst func(), tokensBefore int) error {
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		s.maybeSent = true
		if chunk.Text != "" && s.tokens == tokensBefore {
			onFirst()
		}
		s.forwardChunk(chunk)
	}
}

// forwardChunk writes one chunk to the answer. Each chunk with output is one token.
func (s *streamRun) forwardChunk(chunk *endpoint.Chunk) {
	s.textOnly = s.textOnly && chunk.TextOnly
	if chunk.Text != "" {
		s.tokens++
		s.text.WriteString(chunk.Text)
	}
	if s.m.firstByteAt.IsZero() {
		s.m.firstByteAt = time.Now()
	}
	// An engine that is resumed after the last token repeats the finish reason and the usage.
	repeated := s.finishReasonSent && chunk.FinishReason != "" || s.usage != nil && chunk.Usage != nil
	if chunk.Text == "" && repeated {
		return
	}
	if chunk.Usage != nil {
		s.usage = chunk.Usage
	}
	s.finishReasonSent = s.finishReasonSent || chunk.FinishReason != ""
	if s.current != nil {
		s.current.migratable.Store(s.textOnly && !s.finishReasonSent && s.migrations < maxMigrations)
	}
	if !s.begun {
		s.begun = true
		s.pinSoftwareVersion()
		s.a.begin(http.StatusOK, http.Header{"Content-Type": {eventStreamType}, "Cache-Control": {"no-store"}})
	}
	s.a.write([]byte("data: "), chunk.Data, []byte("\n\n"))
}

// pinSoftwareVersion limits the rest of the stream to engines of the software version that begins it.
func (s *streamRun) pinSoftwareVersion() {
	if s.current == nil {
		return
	}
	origin := continuation.Begun(s.m.pool.Name, s.current.softwareVersion)
	s.m.placement.Origin = origin
	s.current.origin.Store(&origin)
}

// recordSent sets maybeSent unless the error rules out that a byte was sent.
func (s *streamRun) recordSent(err error) {
	if e := endpoint.AsError(err); e == nil || e.MaybeSent {
		s.maybeSent = true
	}
}

// resumable reports whether the stream may be resumed on the same engine after this error.
func resumable(err error) bool {
	e := endpoint.AsError(err)
	return e != nil && e.MaybeSent && (e.Reason == endpoint.Interrupted || e.Reason == endpoint.Stalled)
}

// continuable reports whether another engine may continue the answer after this error.
func (s *streamRun) continuable(err error) bool {
	if e := endpoint.AsError(err); e != nil && e.Reason == endpoint.Refused && !retryableStatus(e.Status) {
		return false
	}
	return s.tokens == 0 && !s.a.begun() || s.textOnly && !s.finishReasonSent
}

// retryableStatus reports whether another endpoint may accept a request that one refused with this status.
func retryableStatus(status int) bool {
	switch status {
	case http.StatusConflict, http.StatusTooManyRequests:
		return true
	}
	return status >= http.StatusInternalServerError
}

// complete records usage and then writes the end marker, so that a crash after the caller has the end marker does not lose the usage.
func (s *streamRun) complete(ctx context.Context) {
	s.g.opts.Quarantine.Clear(s.m.fingerprint)
	s.g.opts.Parts.RecordAnswer(s.m.sharedParts)
	s.g.recordUsage(ctx, s.m.call, *s.usage)
	s.a.write([]byte("data: [DONE]\n\n"))
	s.a.completeStream()
}

// AnswerDeduplicator prevents usage of an answer from being counted by two gateways.
type AnswerDeduplicator interface {
	// MarkAnswerCounted marks an answer as counted. It returns false when another gateway has counted it already. origin is the VM of
	// the gateway that ran the request first; empty for this gateway.
	MarkAnswerCounted(ctx context.Context, origin, requestID string) bool
}

// recordUsage counts the usage of an answer. When it can't be copied to any neighbour it is counted on this gateway only, and the
// caller still gets the answer.
func (g *Gateway) recordUsage(ctx context.Context, c *call, u endpoint.Usage) {
	if g.opts.Deduplicator != nil && !g.opts.Deduplicator.MarkAnswerCounted(context.WithoutCancel(ctx), c.originVM, c.id) {
		return
	}
	c.usage = apitypes.Usage{Requests: 1, PromptTokens: uint64(max(0, u.PromptTokens)), OutputTokens: uint64(max(0, u.CompletionTokens))}
	err := g.opts.Usage.Record(context.WithoutCancel(ctx), c.team, c.usage)
	if failed := err != nil; g.usageCopiesFailing.Swap(failed) != failed {
		g.opts.Log.Warn().Err(err).Bool("copied", !failed).Msg("copying usage counters to neighbours started failing or recovered")
	}
}

// fail finishes an answer that could not be completed with a typed error.
func (s *streamRun) fail(ctx context.Context, last error) {
	if ctx.Err() != nil {
		if s.tokens > 0 {
			// The request was cancelled from the caller's side, so its team is charged for the generated tokens.
			s.g.recordUsage(ctx, s.m.call, endpoint.Usage{PromptTokens: s.m.placement.PromptTokens, CompletionTokens: s.tokens})
		}
		s.a.fail(cancelledError(ctx, s.execution()))
		return
	}
	s.a.fail(s.g.requestError(s.m.call, last, s.execution(), s.a.begun()))
}

// execution reports whether an engine ran the request.
func (s *streamRun) execution() apierror.Execution {
	switch {
	case s.tokens > 0:
		return apierror.Executed
	case s.maybeSent:
		return apierror.ExecutionUnknown
	}
	return apierror.NotExecuted
}
