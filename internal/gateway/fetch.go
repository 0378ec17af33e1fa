package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/endpoint"
)

const (
	// offsetHeader holds the byte offset at which the response starts in the answer.
	offsetHeader = "X-Answer-Offset"
	// maxResumeProbes limits the number of engines that are queried for the answer of a gateway that no longer exists.
	maxResumeProbes = 64
	// resumeProbeTimeout limits the query to one engine.
	resumeProbeTimeout = 2 * time.Second
)

// Errors of AnswerFetcher.
var (
	// ErrAnswerUnknown: the gateway incarnation is running but does not have the answer.
	ErrAnswerUnknown = errors.New("gateway: unknown answer; it may have expired")
	// ErrGatewayGone: the gateway incarnation no longer exists.
	ErrGatewayGone = errors.New("gateway: the gateway that ran the request no longer exists; resume at the engine")
)

// AnswerPart is a part of an answer. The first part has the status and content type.
type AnswerPart struct {
	Data        []byte
	ContentType string
	Status      int
	// Complete is true on the last part of a complete answer.
	Complete bool
}

// AnswerFetcher fetches answers that other gateways hold.
type AnswerFetcher interface {
	// FetchAnswer calls handle for each part of an answer from a byte offset until its end. It returns
	// ErrAnswerUnknown or ErrGatewayGone, possibly wrapped, before the first part.
	FetchAnswer(ctx context.Context, vm, incarnation, team, requestID string, offset int64, handle func(AnswerPart) error) error
}

// StreamAnswer streams an answer that this gateway holds to another gateway, from a byte offset. It returns ErrAnswerUnknown when the
// team has no such answer here.
func (g *Gateway) StreamAnswer(ctx context.Context, team, requestID string, offset int64, handle func(AnswerPart) error) error {
	a := g.answers.get(requestID, team)
	if a == nil {
		return ErrAnswerUnknown
	}
	defer a.attach(g.opts.AbandonAfter)()
	return a.follow(ctx, offset, func(v view) error {
		return handle(AnswerPart{Data: v.data, ContentType: v.header.Get("Content-Type"), Status: v.status, Complete: v.complete})
	})
}

// serveAnswer returns an answer by its id: from this gateway, from the gateway that ran the request, or, when that gateway no longer
// exists, by resuming the stream at the engine.
func (g *Gateway) serveAnswer(ec echo.Context) error {
	c, err := g.authenticate(ec.Request(), false)
	if err != nil {
		return apierror.From(err, apierror.NotExecuted)
	}
	offset, err := parseOffset(ec.QueryParam("offset"))
	if err != nil {
		return err
	}
	id := ec.Param("id")
	if a := g.answers.get(id, c.team); a != nil {
		ec.Response().Header().Set(offsetHeader, strconv.FormatInt(offset, 10))
		return g.copyAnswer(ec, c.keyHash, a, offset)
	}
	parsed, ok := parseID(id)
	if !ok {
		return answerNotFoundError(id)
	}
	if parsed.vm == g.opts.VM && parsed.incarnation == g.opts.Incarnation {
		return answerNotFoundError(id)
	}
	err = ErrGatewayGone
	if parsed.vm != g.opts.VM {
		err = g.fetchRemote(ec, c, parsed, id, offset)
	}
	switch {
	case errors.Is(err, ErrGatewayGone):
		return g.resumeAtEngine(ec, c, parsed, id)
	case errors.Is(err, ErrAnswerUnknown):
		return answerNotFoundError(id)
	}
	return err
}

func answerNotFoundError(id string) *apierror.Error {
	return apierror.New(apierror.NotFound, "send the request again if it is idempotent, or repeat it with its idempotency key",
		"answer %s does not exist for this team or has expired", id).WithExecution(apierror.ExecutionUnknown)
}

func parseOffset(value string) (int64, error) {
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 {
		return 0, apierror.New(apierror.InvalidRequest, "send offset=<bytes>", "the offset is not a number of bytes")
	}
	return n, nil
}

// fetchRemote forwards an answer that another gateway holds.
func (g *Gateway) fetchRemote(ec echo.Context, c *call, id requestID, rawID string, offset int64) error {
	ctx, w := ec.Request().Context(), ec.Response()
	err := g.opts.Answers.FetchAnswer(ctx, id.vm, id.incarnation, c.team, rawID, offset, func(p AnswerPart) error {
		if isKeyWithdrawn(g.opts.Config.Current(), c.keyHash) {
			return errKeyWithdrawn
		}
		if !w.Committed {
			w.Header().Set("Content-Type", p.ContentType)
			w.Header().Set(requestIDHeader, rawID)
			w.Header().Set(offsetHeader, strconv.FormatInt(offset, 10))
			w.WriteHeader(p.Status)
		}
		if _, err := w.Write(p.Data); err != nil {
			return err
		}
		w.Flush()
		return nil
	})
	if err != nil && w.Committed {
		return g.abortAnswer(w, err)
	}
	if err != nil && !errors.Is(err, ErrAnswerUnknown) && !errors.Is(err, ErrGatewayGone) {
		return apierror.New(apierror.Unavailable, "fetch the answer again", "the gateway that holds the answer is unreachable").WithExecution(apierror.ExecutionUnknown)
	}
	return err
}

// abortAnswer ends a partly sent answer with a typed error event. An answer that is not a stream can't carry one, so the connection is
// closed instead, and the caller does not mistake the part for a complete answer.
func (g *Gateway) abortAnswer(w *echo.Response, cause error) error {
	if w.Header().Get("Content-Type") != eventStreamType {
		panic(http.ErrAbortHandler)
	}
	e := apierror.New(apierror.AnswerIncomplete, "fetch the answer again", "the answer was interrupted").WithExecution(apierror.ExecutionUnknown)
	if errors.Is(cause, errKeyWithdrawn) {
		e = apierror.New(apierror.KeyWithdrawn, "ask an operator for a new key", "the key was withdrawn").WithExecution(apierror.ExecutionUnknown)
	}
	_, _ = w.Write(append(append([]byte("event: error\ndata: "), errorBody(e)...), "\n\n"...))
	w.Flush()
	return nil
}

// resumeAtEngine resumes the stream of a request whose gateway no longer exists, at the engine that still runs it. The id's signature
// verifies the team, the path and the pool. The answer restarts at offset 0, because the bytes that the lost gateway sent are not
// available for comparison.
func (g *Gateway) resumeAtEngine(ec echo.Context, c *call, id requestID, rawID string) error {
	for name, pool := range c.snapshot.Pools() {
		for _, path := range []string{endpoint.ChatPath, endpoint.CompletionPath} {
			if g.idSignature(id.unsigned, c.team, path, name) != id.signature {
				continue
			}
			c.pool, c.id, c.originVM = pool, rawID, id.vm
			c.setRoute(path)
			m := &modelCall{call: c, path: path, stream: true}
			stream, addr := g.findStream(ec.Request().Context(), m)
			if stream == nil {
				return answerNotFoundError(rawID)
			}
			ec.Response().Header().Set(offsetHeader, "0")
			return g.startRequest(ec, c, true, func(ctx context.Context, a *answer) { g.relayResumed(ctx, m, a, stream, addr) })
		}
	}
	return answerNotFoundError(rawID)
}

// findStream resumes the stream of a request at the first engine of the pool that has it. It returns the stream and the engine's
// address, or nil.
func (g *Gateway) findStream(ctx context.Context, m *modelCall) (*endpoint.Stream, string) {
	endpoints := g.opts.PoolEndpoints(m.pool.Name)
	for _, e := range endpoints[:min(len(endpoints), maxResumeProbes)] {
		// The stream must outlive the caller's connection, like any other answer, so only its start has a timeout.
		probe, cancel := context.WithCancel(context.WithoutCancel(ctx))
		timer := time.AfterFunc(resumeProbeTimeout, cancel)
		stream, err := g.opts.Endpoints.ResumeStream(probe, e.Addr, endpoint.DataRequest{Path: m.path, RequestID: m.id}, 0)
		if timer.Stop() && err == nil {
			return stream, e.Addr
		}
		if err == nil {
			stream.Close()
		}
		cancel()
	}
	return nil, ""
}

// relayResumed forwards a stream that was resumed at its engine.
func (g *Gateway) relayResumed(ctx context.Context, m *modelCall, a *answer, stream *endpoint.Stream, addr string) {
	defer stream.Close()
	stop := context.AfterFunc(ctx, stream.Close)
	defer stop()
	s := &streamRun{g: g, m: m, a: a}
	err := s.forwardStream(stream, func() {}, 0)
	if err == nil {
		s.complete(ctx)
		return
	}
	if errors.Is(err, io.EOF) || ctx.Err() != nil {
		background, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer cancel()
		_ = g.opts.Endpoints.Cancel(background, addr, m.id) // if this fails, the engine ends the request after its own grace period
	}
	s.fail(ctx, err)
}
