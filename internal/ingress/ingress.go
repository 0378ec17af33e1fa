// Package ingress takes a caller's request through routing, authorization, choice of endpoint, dispatch, retries and the
// answer. It knows no wire format: an adapter decodes requests into its types and implements Backend and Reply.
package ingress

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/placement"
	"crocusglade.example/crocusglade/internal/retry"
)

// Request is a caller's request, read whole.
type Request struct {
	// ID is the caller's name for this attempt.
	ID     string
	Method string
	// Target is the request target as the caller sent it, Path its part before the query.
	Target string
	Path   string
	Host   string
	// Header holds the headers that are passed on.
	Header http.Header
	Body   []byte
	// Key is the caller's key; empty when it sent none.
	Key string
	// Wait is how long the caller waits; 0 when it didn't say.
	Wait time.Duration
	// ResumeAfter is the id of the last event that the caller has of an earlier answer; empty for none.
	ResumeAfter string
	// Prompt is nil for requests that describe none.
	Prompt *placement.Prompt
	// Arrived is when the request's header had been read.
	Arrived time.Time
}

// Dispatch is what goes along with a request to an endpoint.
type Dispatch struct {
	// Team is empty for requests on open routes without a key.
	Team string
	// Remaining is how long the endpoint may work.
	Remaining time.Duration
	// Priority is the engine's priority, 0 first. HasPriority is false for plain services.
	Priority    int
	HasPriority bool
	ResumeAfter string
	// Handle names prompt memory that a reader keeps, FetchFrom the address of an engine that keeps shared parts.
	Handle    *Handle
	FetchFrom string
	// NewConnection asks for a new connection.
	NewConnection bool
}

// Handle names the memory of a prompt that an engine has read.
type Handle struct {
	Address string
	ID      string
}

// Answer is an endpoint's answer. Body must be closed.
type Answer struct {
	Status int
	// Header holds the headers that go back to the caller.
	Header http.Header
	Body   io.ReadCloser
	// NotRun is true when the endpoint states that it didn't run the request and won't.
	NotRun bool
	// Misdirected is true when NotRun is because another endpoint is at the address, or the endpoint has another role.
	Misdirected bool
	// Signed is true for an answer that bears the endpoint's signature in an encoding that the caller asked for.
	Signed bool
}

// Backend sends requests to endpoints. Errors are *upstream.SendError.
type Backend interface {
	// Run sends a request that the endpoint is to run.
	Run(ctx context.Context, e *catalog.Endpoint, r *Request, d *Dispatch) (*Answer, error)
	// ReadPrompt has an engine read the request's prompt. It returns a nil handle and the answer's status when the engine
	// doesn't: http.StatusMisdirectedRequest has the meaning of Answer.Misdirected.
	ReadPrompt(ctx context.Context, e *catalog.Endpoint, r *Request, d *Dispatch) (*Handle, int, error)
	// IsReachable tells whether an endpoint accepts connections.
	IsReachable(ctx context.Context, e *catalog.Endpoint) bool
	// KeptParts returns the prompt parts that an engine keeps.
	KeptParts(ctx context.Context, e *catalog.Endpoint) ([]placement.Part, error)
	// FreeHandle gives up memory that won't be used.
	FreeHandle(ctx context.Context, h *Handle)
}

// Reply answers the caller of one request.
type Reply interface {
	// WriteAnswer sends a whole answer.
	WriteAnswer(status int, header http.Header, body []byte)
	// StartStream sends the header of a stream, WriteEvent a part of it.
	StartStream(status int, header http.Header)
	WriteEvent(p []byte) error
	// Abort ends the connection, so that what was sent doesn't look complete.
	Abort()
	// WriteError sends an error of our own. retryAfter is 0 when it is not known.
	WriteError(err *apierror.Error, retryAfter time.Duration)
}

// UsageMeter counts the requests that began to run.
type UsageMeter interface {
	CountRequest(team string)
}

// RetryBudget bounds retries.
type RetryBudget interface {
	RecordFirstTry(service string)
	// RetryAvailable tells whether AllowRetry would take a retry now.
	RetryAvailable(service string) bool
	AllowRetry(service string) bool
}

// Config configures a server.
type Config struct {
	Catalog    *catalog.Holder
	Fleet      *placement.Fleet
	Backend    Backend
	Usage      UsageMeter
	Budget     RetryBudget
	Quarantine *retry.Quarantine
	Log        zerolog.Logger
	Observe    Observer
	// OnMisdirected is told of an endpoint that is not at its address, and for how long to leave it alone.
	OnMisdirected func(endpoint string, d time.Duration)
	// Ready tells whether the configuration and the endpoints have been read.
	Ready func() bool
	// Bounds returns the bounds of the deployment, which may change.
	Bounds func() Bounds
}

// Bounds are the times within which changes of the configuration have to be in force.
type Bounds struct {
	RevokeWithin, ApplyWithin time.Duration
}

// Observer records figures of requests.
type Observer interface {
	Finished(route, outcome string, total, first time.Duration)
	Retried(service, reason string)
}

// Server takes requests to endpoints. Its methods may be called concurrently.
type Server struct {
	Config
	inFlight atomic.Int64
	started  time.Time
	// draw is the state of the sequence that spreads requests over a route's shares.
	draw atomic.Uint64
}

// New returns a server.
func New(c Config) *Server { return &Server{Config: c, started: time.Now()} }

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

const (
	// proofMargin is how much earlier than the bound for withdrawn keys a VM without proof of a fresh configuration stops.
	proofMargin = 300 * time.Millisecond
	// timeoutMargin is how much before the route's time-out the final answer is sent.
	timeoutMargin = 20 * time.Millisecond
	// defaultWait bounds requests of callers that state no wait on routes without a time-out.
	defaultWait = 30 * time.Second
	// startTime is how long after its start a VM may lack configuration and endpoints although nothing is wrong; startPoll is how
	// often it looks.
	startTime = 400 * time.Millisecond
	startPoll = 5 * time.Millisecond
	// retryWhenUnready is when callers may come back to a VM that does not know the configuration yet.
	retryWhenUnready = 300 * time.Millisecond
)

// call is one request on its way.
type call struct {
	*Server
	ctx     context.Context
	r       *Request
	w       Reply
	route   *catalog.Route
	service string
	// objective is the longest objective among the routes to the service.
	objective time.Duration
	team      string
	priority  int
	until     time.Time
	// fingerprint identifies the request in the quarantine.
	fingerprint uint64
	exclude     map[string]bool
	// sends counts exchanges with endpoints, ran those after which the request may have run.
	sends, ran int
	// reads counts the readings of the prompt that an engine has done.
	reads int
	// arrived is set when the last exchange reached an endpoint, which the retry budget counts.
	arrived bool
	// mayHaveRun is set once an endpoint may have begun to work on the request.
	mayHaveRun bool
	counted    bool
	first      time.Duration
	// log fields
	endpoint  string
	reader    string
	detail    string
	predicted time.Duration
	unread    int
	fetched   bool
}

// Serve answers one request. ctx ends when the caller has left.
func (s *Server) Serve(ctx context.Context, r *Request, w Reply) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	c := &call{Server: s, ctx: ctx, r: r, w: w, exclude: make(map[string]bool)}
	s.awaitStart(ctx)
	if refusal, retryAfter := c.admit(); refusal != nil {
		c.refuse(refusal, retryAfter)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, c.until)
	defer cancel()
	c.ctx = ctx
	if c.route.HasPrompts && r.Prompt != nil {
		c.serveEngine()
		return
	}
	c.servePlain()
}

// awaitStart holds requests back that come while the VM starts. It knows its endpoints within milliseconds if the store answers; a
// refusal would send the caller away for longer.
func (s *Server) awaitStart(ctx context.Context) {
	for time.Since(s.started) < startTime {
		if s.Ready() || !ctxtime.Sleep(ctx, startPoll) {
			return
		}
	}
}

// admit finds the route and the team, and checks that both are known to be in force.
func (c *call) admit() (*apierror.Error, time.Duration) {
	cat := c.Catalog.Current()
	if cat == nil {
		return apierror.New(apierror.Unavailable, "retry soon or use another address", "no configuration is known yet"), retryWhenUnready
	}
	age := c.proofAge()
	c.route = cat.Match(c.r.Host, c.r.Path)
	if c.route == nil {
		return c.unknown(age, apierror.NotFound, "use a configured host and path", "no route matches")
	}
	team, known := cat.TeamsByKey[c.r.Key]
	if cat.RequiresKeys && !c.route.AllowAnonymous {
		if !known {
			return c.unknown(age, apierror.Unauthenticated, "send a key that is in force", "the key is not known")
		}
		if age > c.Bounds().RevokeWithin-proofMargin {
			return apierror.New(apierror.Unavailable, "retry at another address",
				"this VM can't confirm that the key is still in force (configuration confirmed %d ms ago)", age.Milliseconds()), time.Second
		}
	}
	c.team, c.priority = team.Name, c.route.Priority
	if team.HasPriority {
		c.priority = team.Priority
	}
	c.service = c.route.PickService(c.nextDraw())
	c.until = c.r.Arrived.Add(c.wait())
	c.fingerprint = retry.Fingerprint(c.team, c.route.Name+"\x00"+c.r.Target, c.r.Body)
	if c.Quarantine.Blocked(c.fingerprint) {
		return apierror.New(apierror.Unavailable, "don't send this request again", "the request crashed endpoints that ran it"), 0
	}
	c.objective = cat.MaxObjectiveByService[c.service]
	c.Budget.RecordFirstTry(c.service)
	return nil, 0
}

// unknown refuses what the configuration doesn't allow, unless a newer one may allow it.
func (c *call) unknown(age time.Duration, kind apierror.Kind, remedy, message string) (*apierror.Error, time.Duration) {
	if age > c.Bounds().ApplyWithin {
		return apierror.New(apierror.Unavailable, "retry soon or use another address",
			"%s, and the configuration was confirmed %d ms ago", message, age.Milliseconds()), retryWhenUnready
	}
	return apierror.New(kind, remedy, "%s", message), 0
}

func (c *call) proofAge() time.Duration {
	at, ok := c.Catalog.ConfirmedAt()
	if !ok {
		return time.Hour
	}
	return bootclock.Since(at)
}

// wait is how long the request may take, by the caller and by the route.
func (c *call) wait() time.Duration {
	wait := c.r.Wait
	if wait <= 0 {
		wait = defaultWait
	}
	if c.route.Timeout > 0 {
		wait = min(wait, c.route.Timeout-timeoutMargin)
	}
	return wait
}

// nextDraw returns a low-discrepancy sequence in [0,1), which splits also few requests by weight.
func (c *call) nextDraw() float64 {
	const golden = 0.6180339887498949
	n := c.draw.Add(1)
	x := float64(n) * golden
	return x - float64(uint64(x))
}

func (c *call) remaining() time.Duration { return time.Until(c.until) }

// mayTry tells whether the request may be sent to another endpoint. It takes that from the budget if the last exchange reached an
// endpoint: the budget bounds what endpoints receive.
func (c *call) mayTry(reason string) bool {
	if c.ctx.Err() != nil || c.Quarantine.Blocked(c.fingerprint) {
		return false
	}
	if c.arrived && !c.Budget.AllowRetry(c.service) {
		c.detail = appendDetail(c.detail, "retry budget spent")
		return false
	}
	c.Observe.Retried(c.service, reason)
	return true
}

// began counts the request in its team's usage, once.
func (c *call) began() {
	if c.counted {
		return
	}
	c.counted = true
	if c.team != "" {
		c.Usage.CountRequest(c.team)
	}
}

// refuse ends the request with an error of our own.
func (c *call) refuse(err *apierror.Error, retryAfter time.Duration) {
	if c.left() {
		c.w.Abort()
		c.finish("caller_left")
		return
	}
	c.w.WriteError(err, retryAfter)
	c.detail = appendDetail(c.detail, err.Message)
	c.finish(string(err.Kind))
}

// left tells whether the caller has closed its connection.
func (c *call) left() bool { return errors.Is(context.Cause(c.ctx), context.Canceled) }

// giveUp ends a request that can't be served any more, with a status that is true.
func (c *call) giveUp(reason string, retryAfter time.Duration) {
	timedOut := c.remaining() <= 0
	switch {
	case c.mayHaveRun && timedOut:
		c.refuse(apierror.New(apierror.TimedOut, "look up whether the request took effect", "%s", reason).WithExecution(apierror.ExecutionUnknown), 0)
	case c.mayHaveRun:
		c.refuse(apierror.New(apierror.OutcomeUnknown, "look up whether the request took effect", "%s", reason).WithExecution(apierror.ExecutionUnknown), 0)
	default:
		c.refuse(apierror.New(apierror.Unavailable, "retry later", "%s", reason), retryAfter)
	}
}

// finish writes the request's line to the log.
func (c *call) finish(outcome string) {
	total := time.Since(c.r.Arrived)
	name := ""
	var version uint64
	if c.route != nil {
		name = c.route.Name
	}
	if cat := c.Catalog.Current(); cat != nil {
		version = cat.Version
	}
	c.Observe.Finished(name, outcome, total, c.first)
	c.Log.Info().Str("request", c.r.ID).Str("route", name).Str("service", c.service).Str("team", c.team).
		Str("endpoint", c.endpoint).Str("reader", c.reader).Int("sends", c.sends).
		Int64("predicted_ms", c.predicted.Milliseconds()).Int("unread_tokens", c.unread).Bool("fetched", c.fetched).
		Int64("first_ms", c.first.Milliseconds()).Int64("total_ms", total.Milliseconds()).
		Uint64("config", version).Int64("config_age_ms", c.proofAge().Milliseconds()).
		Str("detail", c.detail).Str("outcome", outcome).Msg("request")
}

// turnedAway notes that an endpoint did not run the request.
func (c *call) turnedAway(send *placement.Attempt, misdirected bool) {
	outcome := placement.Refused
	if misdirected {
		outcome = placement.Misdirected
		c.OnMisdirected(send.Endpoint.ID, placement.AvoidMisdirected)
	}
	send.Done(outcome)
	c.exclude[send.Endpoint.ID] = true
	c.detail = appendDetail(c.detail, "turned away by "+send.Endpoint.ID)
}

func appendDetail(detail, more string) string {
	if detail == "" {
		return more
	}
	return detail + "; " + more
}
