package gateway

import (
	"context"
	"io"
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
	"crocusglade.example/crocusglade/internal/config"
)

// deadlineHeader holds the time in milliseconds from arrival within which the first token is useful.
const deadlineHeader = "X-Request-Deadline-Ms"

// Causes that end a running request.
var (
	errAbandoned = errors.New("the caller has gone; fetch the answer by its id sooner")
	errWithdrawn = errors.New("the key was withdrawn")
)

// call is one request of a caller on its way through the gateway.
type call struct {
	id       string
	origin   string // the VM of the gateway that is gone, for an answer that is resumed
	arrival  time.Time
	snapshot *config.Snapshot
	team     string
	keyHash  string // empty for requests without a key
	template *apitypes.Template
	limits   apitypes.Limits

	route       string // plain-service route, or the path of a model call
	pool        *apitypes.Pool
	priority    apitypes.Priority
	deadline    time.Time
	body        []byte
	fingerprint uint64

	attempts int
	usage    apitypes.Usage
	firstAt  time.Time
	// For counters, as in RequestObservation.
	queued        time.Duration
	predicted     time.Duration
	affinity      bool
	resumed       int
	budgetRefused bool
}

// identify authenticates a request. Routes that are open to all pass without a key, but never with a bad one.
func (g *Gateway) identify(r *http.Request, open bool) (*call, error) {
	c := &call{arrival: time.Now(), snapshot: g.opts.Config.Current(), team: openTeam, priority: apitypes.PriorityNormal}
	authorization := r.Header.Get("Authorization")
	if open && authorization == "" {
		return c, nil
	}
	if len(r.Header.Values("Authorization")) > 1 {
		return nil, apierror.New(apierror.Unauthenticated, "send one Authorization header", "the request has more than one key")
	}
	// A gateway without contact knows neither new nor withdrawn keys, so it must not judge them.
	if g.opts.IsPartitioned() {
		e := apierror.New(apierror.Unavailable, "retry at one of the addresses named here",
			"this gateway has no contact and can't tell whether keys are valid")
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

// setRoute sets the route and the priority that the template gives it.
func (c *call) setRoute(route string) {
	c.route = route
	if c.template == nil {
		return
	}
	if p, ok := c.template.RoutePriority[route]; ok {
		c.priority = p
	}
}

// setDeadline reads the deadline header.
func (c *call) setDeadline(r *http.Request) error {
	value := r.Header.Get(deadlineHeader)
	if value == "" {
		return nil
	}
	ms, err := strconv.ParseInt(value, 10, 32)
	if err != nil || ms <= 0 {
		return apierror.New(apierror.InvalidRequest, "send whole milliseconds, at least 1", "header %s is not valid", deadlineHeader)
	}
	c.deadline = c.arrival.Add(time.Duration(ms) * time.Millisecond)
	return nil
}

// readBody reads a request's body within the team's limit.
func (g *Gateway) readBody(c *call, w http.ResponseWriter, r *http.Request) error {
	limit := g.opts.MaxBodyBytes
	if c.limits.MaxBodyBytes > 0 {
		limit = c.limits.MaxBodyBytes
	}
	tooLarge := apierror.New(apierror.TooLarge, "send a smaller body, or ask an operator to raise max_body_bytes", "the body is above %d bytes", limit)
	if r.ContentLength > limit {
		return tooLarge
	}
	// A connection that takes no deadline, as in tests without a network, has no slow sender either.
	deadline := http.NewResponseController(w)
	_ = deadline.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	_ = deadline.SetReadDeadline(time.Time{})
	if err != nil {
		return apierror.New(apierror.InvalidRequest, "send the whole body", "the body ended early")
	}
	if int64(len(body)) > limit {
		return tooLarge
	}
	// Trailers are known only after the body.
	if len(r.Trailer) > 0 {
		return apierror.New(apierror.InvalidRequest, "send the request without a trailer", "a trailer is not accepted")
	}
	c.body = body
	return nil
}

// newID returns a request id. It names the gateway incarnation, and its last part proves the team, the path and the pool to
// gateways that know nothing else of the request.
func (g *Gateway) newID(team, path, pool string) string {
	id := g.Name() + "." + strings.ReplaceAll(uuid.NewString(), "-", "")
	return id + "." + g.idProof(id, team, path, pool)
}

func (g *Gateway) idProof(id, team, path, pool string) string {
	return g.opts.Keyring.Hash(strings.Join([]string{"answer", id, team, path, pool}, "\x00"))[:16]
}

// requestID is a parsed request id.
type requestID struct {
	vm, incarnation string
	unproved        string // the id without its proof
	proof           string
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
		unproved:    strings.Join(parts[:n-1], "."),
		proof:       parts[n-1],
	}, true
}

// launch runs a request in its own goroutine and copies its answer to the caller. When cancellable, the request ends with
// its key, or some time after its last reader.
func (g *Gateway) launch(ec echo.Context, c *call, cancellable bool, run func(ctx context.Context, a *answer)) error {
	ctx, cancel := context.WithCancelCause(detached(ec))
	stop := cancel
	if !cancellable {
		stop = nil
	}
	a := newAnswer(c.id, c.team, c.keyHash, stop)
	g.answers.add(a)
	// A withdrawal between authentication and add would otherwise be missed.
	if cancellable && withdrawn(g.opts.Config.Current(), c.keyHash) {
		cancel(errWithdrawn)
	}
	g.hold()
	g.addRunning(1)
	go func() {
		defer g.leave()
		defer g.addRunning(-1)
		defer cancel(nil)
		run(ctx, a)
		g.answers.finish(a)
		g.observe(c, a)
	}()
	return g.copyAnswer(ec, c.keyHash, a, 0)
}

func (g *Gateway) observe(c *call, a *answer) {
	o := RequestObservation{Team: c.team, Route: c.route, Pool: c.pool.Name, Priority: c.priority, Status: a.status,
		Total: time.Since(c.arrival), Attempts: c.attempts, Usage: c.usage, Queued: c.queued, PredictedFirstToken: c.predicted, Affinity: c.affinity,
		Resumed: c.resumed, BudgetRefused: c.budgetRefused}
	if a.err != nil {
		o.Kind = a.err.Kind
	}
	if !c.firstAt.IsZero() {
		o.FirstByte = c.firstAt.Sub(c.arrival)
	}
	g.opts.OnRequestFinished(o)
}

// withdrawn tells whether a key is no longer valid.
func withdrawn(s *config.Snapshot, keyHash string) bool {
	if keyHash == "" {
		return false
	}
	record, ok := s.Key(keyHash)
	return !ok || record.WithdrawnAt != 0
}

// cancelWithdrawn ends the requests in progress of keys that have been withdrawn.
func (g *Gateway) cancelWithdrawn(s *config.Snapshot) {
	for _, a := range g.answers.running() {
		if withdrawn(s, a.keyHash) {
			a.cancel(errWithdrawn)
		}
	}
}

// cancelledError describes a request that ended because of its context.
func cancelledError(ctx context.Context, run apierror.Execution) *apierror.Error {
	if errors.Is(context.Cause(ctx), errWithdrawn) {
		return apierror.New(apierror.KeyWithdrawn, "ask an operator for a new key", "the key was withdrawn while the request ran").WithExecution(run)
	}
	return apierror.New(apierror.AnswerIncomplete, "send the request again and keep the connection", "the caller went away").WithExecution(run)
}
