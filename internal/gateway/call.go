package gateway

import (
	"context"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/buffer"
	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/retry"
)

// deadlineHeader holds the time in milliseconds, counted from the request's arrival, by which the caller needs the first token.
const deadlineHeader = "X-Request-Deadline-Ms"

// Cancellation causes of a running request.
var (
	errAbandoned    = errors.New("caller disconnected; reconnect or fetch the answer by its id sooner")
	errKeyWithdrawn = errors.New("the key was withdrawn; ask an operator for a new one")
)

// call is the state of one caller request.
type call struct {
	id        string
	originVM  string // VM of the gateway that ran the request first; set only for an answer that is resumed at the engine
	arrivedAt time.Time
	snapshot  *config.Snapshot
	team      string
	keyHash   string // empty for requests without a key
	template  *apitypes.Template
	limits    apitypes.Limits

	route       string // route of a plain service, or the path of a model request
	pool        *apitypes.Pool
	priority    apitypes.Priority
	deadline    time.Time
	body        []byte
	bodyMemory  *buffer.Reservation // nil for calls without a body
	fingerprint uint64
	// sharedParts are the messages of a chat that other requests may share: all but the last.
	sharedParts []retry.Part
	// probesPart is true for a request with a blocked message that is let through as a probe.
	probesPart bool

	attempts    int
	usage       apitypes.Usage
	firstByteAt time.Time
	// Values for RequestObservation.
	queueTime           time.Duration
	predictedFirstToken time.Duration
	cacheAffinity       bool
	resumes             int
	budgetRefused       bool
}

// authenticate checks the request's key and returns its call. When open is true the key is optional, but a key that is sent must
// be valid.
func (g *Gateway) authenticate(r *http.Request, open bool) (*call, error) {
	c := &call{arrivedAt: time.Now(), snapshot: g.opts.Config.Current(), team: openTeam, priority: apitypes.PriorityNormal}
	authorization := r.Header.Get("Authorization")
	if open && authorization == "" {
		return c, nil
	}
	if len(r.Header.Values("Authorization")) > 1 {
		return nil, apierror.New(apierror.Unauthenticated, "send one Authorization header", "the request has more than one Authorization header")
	}
	// A partitioned gateway receives neither new nor withdrawn keys, so it must not decide whether a key is valid.
	if g.opts.IsPartitioned() {
		e := apierror.New(apierror.Unavailable, "retry at one of the listed addresses",
			"this gateway is partitioned and can't verify keys")
		e.Addresses = g.opts.Discovery.Addresses()
		return nil, e
	}
	record, err := g.opts.Keyring.Authenticate(c.snapshot, authorization)
	if err != nil {
		return nil, err
	}
	team := c.snapshot.Team(record.Team)
	if team == nil {
		return nil, apierror.New(apierror.Forbidden, "ask an operator to create the team", "team %s does not exist", record.Team)
	}
	c.team, c.keyHash = team.Name, record.Hash
	if c.team == "" {
		c.team = record.Team
	}
	c.template = c.snapshot.Template(team.Template)
	if c.template == nil {
		return nil, apierror.New(apierror.Forbidden, "ask an operator to create the template", "template %s of team %s does not exist", team.Template, c.team)
	}
	c.priority = c.template.Priority
	c.limits = c.template.Limits
	if n := team.Limits.MaxBodyBytes; n != 0 {
		c.limits.MaxBodyBytes = n
	}
	return c, nil
}

// setRoute sets the route and applies the template's priority for it.
func (c *call) setRoute(route string) {
	c.route = route
	if c.template == nil {
		return
	}
	if p, ok := c.template.RoutePriority[route]; ok {
		c.priority = p
	}
}

// setDeadline sets the deadline from deadlineHeader.
func (c *call) setDeadline(r *http.Request) error {
	value := r.Header.Get(deadlineHeader)
	if value == "" {
		return nil
	}
	ms, err := strconv.ParseInt(value, 10, 32)
	if err != nil || ms <= 0 {
		return apierror.New(apierror.InvalidRequest, "send whole milliseconds, at least 1", "header %s is invalid", deadlineHeader)
	}
	c.deadline = c.arrivedAt.Add(time.Duration(ms) * time.Millisecond)
	return nil
}

// readBody reads the request body within the team's size limit and bodyTimeout.
func (g *Gateway) readBody(c *call, w http.ResponseWriter, r *http.Request) error {
	limit := g.opts.MaxBodyBytes
	if c.limits.MaxBodyBytes > 0 {
		limit = c.limits.MaxBodyBytes
	}
	tooLarge := apierror.New(apierror.TooLarge, "send a smaller body, or ask an operator to raise max_body_bytes", "the body is larger than %d bytes", limit)
	if r.ContentLength > limit {
		return tooLarge
	}
	// Writers without read deadlines occur only in tests without a network, which have no slow senders.
	controller := http.NewResponseController(w)
	memory := g.opts.Bodies.Reserve(c.team)
	body, err := memory.ReadAll(&bodyReader{body: io.LimitReader(r.Body, limit+1), controller: controller, deadline: time.Now().Add(bodyTimeout)}, math.MaxInt)
	_ = controller.SetReadDeadline(time.Time{})
	defer func() {
		if c.body == nil {
			memory.Release()
		}
	}()
	if errors.Is(err, buffer.ErrTooLarge) {
		g.opts.OnBodyRefused()
		w.Header().Set("Connection", "close") // the rest of the body is not worth reading
		e := apierror.New(apierror.Overloaded, "wait and retry", "this gateway has no memory for the body now")
		e.RetryAfterSeconds = 1
		return e
	}
	if err != nil {
		return apierror.New(apierror.InvalidRequest, "send the complete body", "the body is incomplete")
	}
	if int64(len(body)) > limit {
		return tooLarge
	}
	// Trailers are available only after the body was read.
	if len(r.Trailer) > 0 {
		return apierror.New(apierror.InvalidRequest, "send the request without a trailer", "a trailer is not accepted")
	}
	c.body, c.bodyMemory = body, memory
	return nil
}

// releaseBody releases the memory of the body, which must not be used afterwards.
func (c *call) releaseBody() {
	if c.bodyMemory != nil {
		c.bodyMemory.Release()
	}
}

// bodyReader reads a body with a deadline for each read, which is never after the deadline of the whole body.
type bodyReader struct {
	body       io.Reader
	controller *http.ResponseController
	deadline   time.Time
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	next := time.Now().Add(bodyIdleTimeout)
	if next.After(b.deadline) {
		next = b.deadline
	}
	// Writers without read deadlines occur only in tests without a network, which have no slow senders.
	_ = b.controller.SetReadDeadline(next)
	return b.body.Read(p)
}

// newID returns a request id: "<VM>.<incarnation>.<random>.<signature>". The signature lets any gateway verify the team, the path
// and the pool of the request without other state.
func (g *Gateway) newID(team, path, pool string) string {
	id := g.Name() + "." + strings.ReplaceAll(uuid.NewString(), "-", "")
	return id + "." + g.idSignature(id, team, path, pool)
}

// idSignature returns a truncated HMAC over an unsigned request id, the team, the path and the pool.
func (g *Gateway) idSignature(id, team, path, pool string) string {
	return g.opts.Keyring.Hash(strings.Join([]string{"answer", id, team, path, pool}, "\x00"))[:16]
}

// requestID is a parsed request id.
type requestID struct {
	vm, incarnation string
	unsigned        string // the id without its signature
	signature       string
}

func parseID(id string) (requestID, bool) {
	parts := strings.Split(id, ".")
	n := len(parts)
	if n < 4 || slices.Contains(parts, "") {
		return requestID{}, false
	}
	return requestID{
		vm:          strings.Join(parts[:n-3], "."),
		incarnation: parts[n-3],
		unsigned:    strings.Join(parts[:n-1], "."),
		signature:   parts[n-1],
	}, true
}

// startRequest runs a request in its own goroutine and copies its answer to the caller. A cancellable request is cancelled when its
// key is withdrawn, or some time after its last reader has left (see answer.attach).
func (g *Gateway) startRequest(ec echo.Context, c *call, cancellable bool, run func(ctx context.Context, a *answer)) error {
	ctx, cancel := context.WithCancelCause(detachedContext(ec))
	answerCancel := cancel
	if !cancellable {
		answerCancel = nil
	}
	a := newAnswer(c.id, c.team, c.keyHash, answerCancel)
	g.answers.add(a)
	// The key may have been withdrawn between authentication and add, when cancelWithdrawnKeys does not see the answer.
	if cancellable && isKeyWithdrawn(g.opts.Config.Current(), c.keyHash) {
		cancel(errKeyWithdrawn)
	}
	g.addPendingWork()
	g.addActiveRequests(1)
	go func() {
		defer g.endPendingWork()
		defer g.addActiveRequests(-1)
		defer cancel(nil)
		defer c.releaseBody()
		run(ctx, a)
		g.answers.finish(a)
		g.reportFinished(c, a)
	}()
	return g.copyAnswer(ec, c.keyHash, a, 0)
}

// reportFinished calls OnRequestFinished for a finished request.
func (g *Gateway) reportFinished(c *call, a *answer) {
	o := RequestObservation{Team: c.team, Route: c.route, Pool: c.pool.Name, Priority: c.priority, Status: a.status,
		Total: time.Since(c.arrivedAt), Attempts: c.attempts, Usage: c.usage, QueueTime: c.queueTime, PredictedFirstToken: c.predictedFirstToken, CacheAffinity: c.cacheAffinity,
		Resumes: c.resumes, BudgetRefused: c.budgetRefused}
	if a.err != nil {
		o.Kind = a.err.Kind
	}
	if !c.firstByteAt.IsZero() {
		o.FirstByte = c.firstByteAt.Sub(c.arrivedAt)
	}
	g.opts.OnRequestFinished(o)
}

// isKeyWithdrawn reports whether a key is withdrawn or deleted. Requests without a key have an empty hash.
func isKeyWithdrawn(s *config.Snapshot, keyHash string) bool {
	if keyHash == "" {
		return false
	}
	record, ok := s.Key(keyHash)
	return !ok || record.WithdrawnAt != 0
}

// cancelWithdrawnKeys cancels the cancellable requests whose keys have been withdrawn.
func (g *Gateway) cancelWithdrawnKeys(s *config.Snapshot) {
	for _, a := range g.answers.cancellableAnswers() {
		if isKeyWithdrawn(s, a.keyHash) {
			a.cancel(errKeyWithdrawn)
		}
	}
}

// cancelledError returns the error for a request whose context was cancelled.
func cancelledError(ctx context.Context, execution apierror.Execution) *apierror.Error {
	if errors.Is(context.Cause(ctx), errKeyWithdrawn) {
		return apierror.New(apierror.KeyWithdrawn, "ask an operator for a new key", "the key was withdrawn while the request ran").WithExecution(execution)
	}
	return apierror.New(apierror.AnswerIncomplete, "send the request again and keep the connection open", "the caller disconnected").WithExecution(execution)
}
