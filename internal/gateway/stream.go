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
	"crocusglade.example/crocusglade/internal/endpoint"
)

const (
	// maxResumes bounds resumes at one engine that bring no new token.
	maxResumes = 2
	// cancelTimeout bounds the call that stops a request at an engine.
	cancelTimeout = 2 * time.Second
)

// streamRun is the progress of one streamed answer over all its attempts.
type streamRun struct {
	g *Gateway
	m *modelCall
	a *answer

	tokens int
	text   strings.Builder
	// plain is false once the answer holds output that another engine can't continue.
	plain    bool
	finished bool
	// begun is true once the answer's status is set.
	begun bool
	usage *endpoint.Usage
	// sent is true once a byte may have left for an endpoint.
	sent bool
	// running is the attempt in progress; nil for a stream that is only resumed for a fetch. moves counts the moves so far.
	running *runningStream
	moves   int
}

// runStream runs a streamed request: resume on the same engine, then continuation on another, then a typed error.
func (g *Gateway) runStream(ctx context.Context, m *modelCall, a *answer) {
	s := &streamRun{g: g, m: m, a: a, plain: true}
	var last error
	var next *balancer.Choice // where a moved stream goes on; a move is no retry
	for try := 0; try < g.opts.MaxAttempts; try++ {
		choice := next
		if choice == nil {
			if try > 0 && !g.mayRetry(m.call, last) {
				break
			}
			var err error
			if choice, err = g.choose(ctx, m.call, &m.place); err != nil {
				if last == nil {
					last = err
				}
				break
			}
		}
		if next, last = s.attempt(ctx, choice); last == nil {
			s.complete(ctx)
			return
		}
		if next != nil {
			m.resumed++
			try--
		}
		if ctx.Err() != nil || !s.continuable(last) {
			if next != nil {
				next.Done(balancer.Outcome{})
			}
			break
		}
		m.place.Exclude = append(m.place.Exclude, choice.Endpoint.Name)
	}
	s.fail(ctx, last)
}

// chooseWait bounds the wait for a place of a request without a deadline, like the wait in admission.
const chooseWait = 30 * time.Second

// choose picks an endpoint for the next attempt. It waits for a place until the deadline of the first token.
func (g *Gateway) choose(ctx context.Context, c *call, place *balancer.Request) (*balancer.Choice, error) {
	until := c.deadline
	if until.IsZero() {
		until = time.Now().Add(chooseWait)
	}
	if g.opts.Quarantine.HasCrashRecord(c.fingerprint) {
		place.SuspectFingerprint = c.fingerprint
	}
	choice, err := g.opts.Balancer.ChooseWithDeadline(ctx, *place, until)
	if err != nil {
		return nil, err
	}
	if c.attempts == 0 {
		g.opts.Budget.RecordFirstTry(place.Pool)
		c.predicted, c.affinity = choice.PredictedFirstTokenTime, choice.CachedTokens > 0
	}
	c.attempts++
	return choice, nil
}

// mayRetry tells whether another attempt is allowed. An attempt that sent nothing put no load on the pool, so it costs
// nothing of the budget.
func (g *Gateway) mayRetry(c *call, last error) bool {
	if g.opts.Quarantine.Blocked(c.fingerprint) {
		return false
	}
	if e := endpoint.AsError(last); e != nil && !e.MaybeSent {
		return true
	}
	allowed := g.opts.Budget.AllowRetry(c.pool.Name)
	c.budgetRefused = c.budgetRefused || !allowed
	return allowed
}

// attempt runs the rest of the answer on one engine, resuming there while that brings new tokens. It returns no error after the
// engine's end marker. When the stream moves it returns the endpoint to go on at and an error.
func (s *streamRun) attempt(ctx context.Context, choice *balancer.Choice) (next *balancer.Choice, err error) {
	ctx, s.running = s.track(ctx, choice)
	addr := choice.Endpoint.Addr
	started, before := time.Now(), s.tokens
	request := s.m.request(s.tokens, s.text.String())
	stream, err := s.g.opts.Endpoints.Stream(ctx, addr, request)
	var first time.Duration
	for fruitless := 0; ; {
		at := s.tokens
		if err == nil {
			err = s.copy(stream, func() { first = time.Since(started); choice.RecordFirstToken() }, before)
			stream.Close()
		}
		if err == nil {
			break
		}
		s.noteSent(err)
		if s.tokens > at {
			fruitless = 0
		}
		if fruitless++; fruitless > maxResumes || ctx.Err() != nil || !resumable(err) {
			break
		}
		var resumeErr error
		stream, resumeErr = s.g.opts.Endpoints.ResumeStream(ctx, addr, request, s.tokens)
		if resumeErr != nil {
			break
		}
		s.m.resumed++
		err = nil
	}
	if err != nil {
		s.g.afterFailure(ctx, s.m.call, choice, err)
	}
	choice.Done(balancer.Outcome{Failed: ctx.Err() == nil && endpointFailed(err), TimeToFirstToken: first, OutputTokens: s.tokens - before})
	return s.untrack(ctx, s.running, err), err
}

// copy passes chunks on until the engine's end marker.
func (s *streamRun) copy(stream *endpoint.Stream, onFirst func(), before int) error {
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		s.sent = true
		if chunk.Text != "" && s.tokens == before {
			onFirst()
		}
		s.pass(chunk)
	}
}

// pass hands one chunk to the caller. Each chunk with output is one token.
func (s *streamRun) pass(chunk *endpoint.Chunk) {
	s.plain = s.plain && chunk.TextOnly
	if chunk.Text != "" {
		s.tokens++
		s.text.WriteString(chunk.Text)
	}
	if s.m.firstAt.IsZero() {
		s.m.firstAt = time.Now()
	}
	// An engine that is resumed after its last token sends the end of the answer a second time.
	repeated := s.finished && chunk.FinishReason != "" || s.usage != nil && chunk.Usage != nil
	if chunk.Text == "" && repeated {
		return
	}
	if chunk.Usage != nil {
		s.usage = chunk.Usage
	}
	s.finished = s.finished || chunk.FinishReason != ""
	if s.running != nil {
		s.running.movable.Store(s.plain && !s.finished && s.moves < maxMoves)
	}
	if !s.begun {
		s.begun = true
		s.a.begin(http.StatusOK, http.Header{"Content-Type": {eventStreamType}, "Cache-Control": {"no-store"}})
	}
	s.a.write([]byte("data: "), chunk.Data, []byte("\n\n"))
}

func (s *streamRun) noteSent(err error) {
	if e := endpoint.AsError(err); e == nil || e.MaybeSent {
		s.sent = true
	}
}

// resumable tells whether the same engine may still hold the answer.
func resumable(err error) bool {
	e := endpoint.AsError(err)
	return e != nil && e.MaybeSent && (e.Reason == endpoint.Interrupted || e.Reason == endpoint.Stalled)
}

// continuable tells whether another engine may run the rest of the answer.
func (s *streamRun) continuable(err error) bool {
	if e := endpoint.AsError(err); e != nil && e.Reason == endpoint.Refused && !retryableStatus(e.Status) {
		return false
	}
	return s.tokens == 0 && !s.a.begun() || s.plain && !s.finished
}

// retryableStatus tells whether another endpoint may accept what one refused with this status.
func retryableStatus(status int) bool {
	switch status {
	case http.StatusConflict, http.StatusTooManyRequests:
		return true
	}
	return status >= http.StatusInternalServerError
}

// complete records usage and then sends the end marker.
func (s *streamRun) complete(ctx context.Context) {
	s.g.opts.Quarantine.Clear(s.m.fingerprint)
	s.g.recordUsage(ctx, s.m.call, *s.usage)
	s.a.write([]byte("data: [DONE]\n\n"))
	s.a.complete()
}

// AnswerDeduplicator notes an answer before it is counted. It returns false when another gateway has counted it. origin is the VM of the
// gateway that ran the request first; empty when it is this one.
type AnswerDeduplicator interface {
	MarkAnswerCounted(ctx context.Context, origin, requestID string) bool
}

// recordUsage counts a whole answer. When no peer could take a copy the usage is counted here, and the caller still gets its
// answer, because the answer is whole.
func (g *Gateway) recordUsage(ctx context.Context, c *call, u endpoint.Usage) {
	if g.opts.Deduplicator != nil && !g.opts.Deduplicator.MarkAnswerCounted(context.WithoutCancel(ctx), c.origin, c.id) {
		return
	}
	c.usage = apitypes.Usage{Requests: 1, PromptTokens: uint64(max(0, u.PromptTokens)), OutputTokens: uint64(max(0, u.CompletionTokens))}
	err := g.opts.Usage.Record(context.WithoutCancel(ctx), c.team, c.usage)
	if failed := err != nil; g.copiesFail.Swap(failed) != failed {
		g.opts.Log.Warn().Err(err).Bool("copied", !failed).Msg("copies of usage at peers changed")
	}
}

// fail ends an answer that could not be completed.
func (s *streamRun) fail(ctx context.Context, last error) {
	if ctx.Err() != nil {
		if s.tokens > 0 {
			// The caller ended the request itself, so it pays for what was generated.
			s.g.recordUsage(ctx, s.m.call, endpoint.Usage{PromptTokens: s.m.place.PromptTokens, CompletionTokens: s.tokens})
		}
		s.a.fail(cancelledError(ctx, s.run()))
		return
	}
	s.a.fail(s.g.failure(s.m.call, last, s.run(), s.a.begun()))
}

func (s *streamRun) run() apierror.Execution {
	switch {
	case s.tokens > 0:
		return apierror.Executed
	case s.sent:
		return apierror.ExecutionUnknown
	}
	return apierror.NotExecuted
}
