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
	// offsetHeader tells at which byte of the answer a fetched part starts.
	offsetHeader = "X-Answer-Offset"
	// maxResumeProbes bounds the engines that are asked for the answer of a gateway that is gone.
	maxResumeProbes = 64
	// probeWait bounds the question to one of them.
	probeWait = 2 * time.Second
)

// Errors of AnswerFetcher.
var (
	// ErrAnswerUnknown: the gateway serves and does not know the answer.
	ErrAnswerUnknown = errors.New("gateway: the answer is not known; it may have expired")
	// ErrGatewayGone: the gateway incarnation does not exist any more.
	ErrGatewayGone = errors.New("gateway: the gateway that ran the request is gone; resume at the engine")
)

// AnswerPart is a part of an answer. The first part carries status and content type.
type AnswerPart struct {
	Data        []byte
	ContentType string
	Status      int
	// Complete is true on the last part of a complete answer.
	Complete bool
}

// AnswerFetcher fetches answers that other gateways keep.
type AnswerFetcher interface {
	// FetchAnswer calls handle for each part of an answer from an offset in bytes until its end. It returns
	// ErrAnswerUnknown or ErrGatewayGone, possibly wrapped, before the first part.
	FetchAnswer(ctx context.Context, vm, incarnation, team, requestID string, offset int64, handle func(AnswerPart) error) error
}

// StreamAnswer serves an answer that this gateway keeps to another gateway. It returns ErrAnswerUnknown when there is none for the
// team.
func (g *Gateway) StreamAnswer(ctx context.Context, team, requestID string, offset int64, handle func(AnswerPart) error) error {
	a := g.answers.get(requestID, team)
	if a == nil {
		return ErrAnswerUnknown
	}
	defer a.attach(g.opts.AbandonAfter)()
	return a.follow(ctx, offset, func(v view) error {
		return handle(AnswerPart{Data: v.data, ContentType: v.header.Get("Content-Type"), Status: v.status, Complete: v.whole})
	})
}

// serveAnswer gives a caller an answer by its id.
func (g *Gateway) serveAnswer(ec echo.Context) error {
	c, err := g.identify(ec.Request(), false)
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
		return answerNotFound(id)
	}
	if parsed.vm == g.opts.VM && parsed.incarnation == g.opts.Incarnation {
		return answerNotFound(id)
	}
	err = ErrGatewayGone
	if parsed.vm != g.opts.VM {
		err = g.fetchRemote(ec, c, parsed, id, offset)
	}
	switch {
	case errors.Is(err, ErrGatewayGone):
		return g.resumeAtEngine(ec, c, parsed, id)
	case errors.Is(err, ErrAnswerUnknown):
		return answerNotFound(id)
	}
	return err
}

func answerNotFound(id string) *apierror.Error {
	return apierror.New(apierror.NotFound, "send the request again if it is idempotent, or repeat it with its idempotency key",
		"answer %s is not known to this team, or has expired", id).WithExecution(apierror.ExecutionUnknown)
}

func parseOffset(value string) (int64, error) {
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 {
		return 0, apierror.New(apierror.InvalidRequest, "send offset=<bytes>", "the offset is not a count of bytes")
	}
	return n, nil
}

// fetchRemote passes on an answer that another gateway keeps.
func (g *Gateway) fetchRemote(ec echo.Context, c *call, id requestID, raw string, offset int64) error {
	ctx, w := ec.Request().Context(), ec.Response()
	err := g.opts.Answers.FetchAnswer(ctx, id.vm, id.incarnation, c.team, raw, offset, func(p AnswerPart) error {
		if withdrawn(g.opts.Config.Current(), c.keyHash) {
			return errWithdrawn
		}
		if !w.Committed {
			w.Header().Set("Content-Type", p.ContentType)
			w.Header().Set(requestIDHeader, raw)
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
		return g.cutAnswer(w, err)
	}
	if err != nil && !errors.Is(err, ErrAnswerUnknown) && !errors.Is(err, ErrGatewayGone) {
		return apierror.New(apierror.Unavailable, "fetch the answer again", "the gateway that keeps the answer can't be reached").WithExecution(apierror.ExecutionUnknown)
	}
	return err
}

// cutAnswer ends a part of an answer with a typed error. An answer that is not a stream has no place for it, so the
// connection is broken instead, which the caller can't take for the end.
func (g *Gateway) cutAnswer(w *echo.Response, cause error) error {
	if w.Header().Get("Content-Type") != eventStreamType {
		panic(http.ErrAbortHandler)
	}
	e := apierror.New(apierror.AnswerIncomplete, "fetch the answer again", "the answer was cut").WithExecution(apierror.ExecutionUnknown)
	if errors.Is(cause, errWithdrawn) {
		e = apierror.New(apierror.KeyWithdrawn, "ask an operator for a new key", "the key was withdrawn").WithExecution(apierror.ExecutionUnknown)
	}
	_, _ = w.Write(append(append([]byte("event: error\ndata: "), errorBody(e)...), "\n\n"...))
	w.Flush()
	return nil
}

// resumeAtEngine finds the engine that still runs a request of a gateway that is gone. The id proves the team, the path and
// the pool. The answer starts anew, since the bytes that the lost gateway sent can't be compared.
func (g *Gateway) resumeAtEngine(ec echo.Context, c *call, id requestID, raw string) error {
	for name, pool := range c.snapshot.Pools() {
		for _, path := range []string{endpoint.ChatPath, endpoint.CompletionPath} {
			if g.idProof(id.unproved, c.team, path, name) != id.proof {
				continue
			}
			c.pool, c.id, c.origin = pool, raw, id.vm
			c.setRoute(path)
			m := &modelCall{call: c, path: path, stream: true}
			stream, addr := g.findStream(ec.Request().Context(), m)
			if stream == nil {
				return answerNotFound(raw)
			}
			ec.Response().Header().Set(offsetHeader, "0")
			return g.launch(ec, c, true, func(ctx context.Context, a *answer) { g.relayResumed(ctx, m, a, stream, addr) })
		}
	}
	return answerNotFound(raw)
}

// findStream asks the engines of the pool for the stream of a request.
func (g *Gateway) findStream(ctx context.Context, m *modelCall) (*endpoint.Stream, string) {
	endpoints := g.opts.PoolEndpoints(m.pool.Name)
	for _, e := range endpoints[:min(len(endpoints), maxResumeProbes)] {
		// The stream outlives the caller's connection, as any other answer does, so only its start is timed.
		probe, cancel := context.WithCancel(context.WithoutCancel(ctx))
		timer := time.AfterFunc(probeWait, cancel)
		stream, err := g.opts.Endpoints.ResumeStream(probe, e.Addr, endpoint.DataRequest{Path: m.path, RequestID: m.id}, 0)
		if timer.Stop() && err == nil {
			return stream, e.Addr
		}
		cancel()
	}
	return nil, ""
}

// relayResumed passes on a stream that was resumed at its engine.
func (g *Gateway) relayResumed(ctx context.Context, m *modelCall, a *answer, stream *endpoint.Stream, addr string) {
	defer stream.Close()
	stop := context.AfterFunc(ctx, stream.Close)
	defer stop()
	s := &streamRun{g: g, m: m, a: a}
	err := s.copy(stream, func() {}, 0)
	if err == nil {
		s.complete(ctx)
		return
	}
	if errors.Is(err, io.EOF) || ctx.Err() != nil {
		background, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer cancel()
		_ = g.opts.Endpoints.Cancel(background, addr, m.id) // a request that runs on ends by itself after its grace time
	}
	s.fail(ctx, err)
}
