// Package ingress serves callers' requests: it routes and authorizes them, selects an endpoint, dispatches, retries and relays the
// response. It is independent of the wire format: an adapter decodes requests into its types and implements Backend and Reply.
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
	"crocusglade.example/crocusglade/internal/buffer"
	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/continuation"
	"crocusglade.example/crocusglade/internal/placement"
	"crocusglade.example/crocusglade/internal/retry"
)

// Request is a caller's request with its complete body.
type Request struct {
	// ID is the request id that the caller sent.
	ID     string
	Method string
	// Target is the request target as the caller sent it, Path its part before the query.
	Target string
	Path   string
	Host   string
	// Header holds the headers to send to the endpoint.
	Header http.Header
	Body   []byte
	// Key is the caller's key; empty if it sent none.
	Key string
	// Timeout is how long the caller waits for the response; 0 if it sent no limit.
	Timeout time.Duration
	// ResumeAfter is the id of the last event that the caller received of an earlier response; empty for none.
	ResumeAfter string
	// Resumes is the ID of the request that brought the first event of that response; empty if the caller didn't send it.
	Resumes string
	// Prompt is nil for requests without a prompt description.
	Prompt *placement.Prompt
	// Arrived is when the request's header was received.
	Arrived time.Time
}

// Dispatch holds the parameters of sending a request to an endpoint.
type Dispatch struct {
	// Team is empty for requests without a key on routes that allow them.
	Team string
	// Remaining is the time left for the endpoint to respond.
	Remaining time.Duration
	// Priority is the priority for the engine's scheduler, where 0 is the most urgent. HasPriority is false for plain services.
	Priority    int
	HasPriority bool
	// ResumeAfter is the id of the event after which a stream is resumed; empty to start from the beginning.
	ResumeAfter string
	// Handle identifies the KV cache on the engine that prefilled the prompt; nil for none. FetchFrom is the address of an engine to
	// fetch cached prompt parts from; empty for none.
	Handle    *Handle
	FetchFrom string
	// NewConnection makes the backend open a new connection for the request.
	NewConnection bool
}

// Handle identifies the KV cache of a prompt on the engine that prefilled it.
type Handle struct {
	Endpoint catalog.Endpoint
	ID       string
}

// Answer is an endpoint's response. Body must be closed.
type Answer struct {
	Status int
	// Header holds the headers to send to the caller.
	Header http.Header
	Body   io.ReadCloser
	// NotRun is true if the endpoint states that it did not run the request and will not run it.
	NotRun bool
	// Misdirected is true if NotRun is set because another endpoint is at the address, or because the endpoint has another role.
	Misdirected bool
	// DeniesRun is true if the status tells callers that the request has not run, which the endpoint doesn't state (NotRun is false).
	DeniesRun bool
	// Signed is true if the response carries the endpoint's signature and has an encoding that the caller asked for.
	Signed bool
	// EndsWithConnection is true if the response has neither a length nor chunks, so that its end may be that of a crashed endpoint.
	EndsWithConnection bool
}

// Backend sends requests to endpoints. Errors of Run and Prefill are of type *upstream.SendError.
type Backend interface {
	// Run sends a request to an endpoint that is to run it.
	Run(ctx context.Context, e *catalog.Endpoint, r *Request, d *Dispatch) (*Answer, error)
	// Prefill makes an engine prefill the request's prompt. If the engine refuses, it returns a nil handle and the status of the
	// engine's response; http.StatusMisdirectedRequest has the meaning of Answer.Misdirected.
	Prefill(ctx context.Context, e *catalog.Endpoint, r *Request, d *Dispatch) (*Handle, int, error)
	// IsReachable reports whether an endpoint accepts connections.
	IsReachable(ctx context.Context, e *catalog.Endpoint) bool
	// CachedParts returns the prompt parts in an engine's cache.
	CachedParts(ctx context.Context, e *catalog.Endpoint) ([]placement.Part, error)
	// FreeHandle makes the engine free a KV cache that will not be used.
	FreeHandle(ctx context.Context, h *Handle)
}

// Reply sends the response to the caller of one request.
type Reply interface {
	// WriteAnswer sends a complete response.
	WriteAnswer(status int, header http.Header, body []byte)
	// StartStream sends the header of a stream, WriteEvent a part of its body.
	StartStream(status int, header http.Header)
	WriteEvent(p []byte) error
	// Abort closes the connection, so that the caller does not take an incomplete response for a complete one.
	Abort()
	// WriteError sends an error that this VM generated. retryAfter is 0 if unknown.
	WriteError(err *apierror.Error, retryAfter time.Duration)
}

// UsageMeter counts the requests of a team that an endpoint started to run.
type UsageMeter interface {
	CountRequest(team string)
}

// RetryBudget limits the retries of a service.
type RetryBudget interface {
	RecordFirstTry(service string)
	// RetryAvailable reports whether AllowRetry would allow a retry now. It takes nothing from the budget.
	RetryAvailable(service string) bool
	// AllowRetry takes one retry from the budget. It returns false if there is none.
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
	Quota      QuotaLimiter
	// Streams knows where streams began; nil for a server without other VMs.
	Streams Streams
	// Parts blocks requests with prompt parts that crash engines.
	Parts   *retry.PartQuarantine
	Log     zerolog.Logger
	Observe Observer
	// OnMisdirected is called with an endpoint that is not at its address and the time for which to avoid it.
	OnMisdirected func(endpoint string, d time.Duration)
	// Ready reports whether the configuration and the endpoints have been loaded.
	Ready func() bool
	// EndpointsAge returns how long ago the list of endpoints was known to be current, for the log; nil if unknown.
	EndpointsAge func() time.Duration
	// ConnectDelay returns how long connections to endpoints take to open at present, and so how late a request arrives; nil if unknown.
	ConnectDelay func() time.Duration
	// Bounds returns the current bounds of the deployment. They may change.
	Bounds func() Bounds
	// MaxBufferedBytes bounds the responses that this VM buffers at the same time; 0 means buffer.DefaultMax.
	MaxBufferedBytes int64
	// TimeToStop returns the time until this VM stops serving, and false while it accepts all requests. Nil means that it never stops.
	TimeToStop func() (time.Duration, bool)
}

// Bounds are the times within which a configuration change must take effect: RevokeBound for withdrawn keys, ApplyBound for all other
// changes.
type Bounds struct {
	RevokeBound, ApplyBound time.Duration
}

// Observer records metrics of requests.
type Observer interface {
	// Finished records a request that ended. first is the time to the first part of the response; 0 if there was none.
	Finished(route, outcome string, total, first time.Duration)
	// Retried records that a request is tried at another endpoint.
	Retried(service, reason string)
	// Paused records a request that no endpoint could take because of pauses: it waited for the end of one, or was refused.
	Paused(service string, waited bool)
	// PartRefused records a request that was refused because a part of its prompt crashes engines.
	PartRefused(service string)
}

// Server serves requests by sending them to endpoints. It is safe for concurrent use.
type Server struct {
	Config
	inFlight     atomic.Int64
	bufferMemory *buffer.Memory
	started      time.Time
	// pauseWaitShare is maxPauseWaitShare, which measurements vary.
	pauseWaitShare float64
	// pickCount is the number of requests that were assigned to one of their route's services; see nextPick.
	pickCount atomic.Uint64
}

func New(c Config) *Server {
	if c.MaxBufferedBytes == 0 {
		c.MaxBufferedBytes = buffer.DefaultMax
	}
	if c.Streams == nil {
		c.Streams = continuation.NewTracker()
	}
	return &Server{Config: c, bufferMemory: buffer.NewMemory(c.MaxBufferedBytes), started: time.Now(), pauseWaitShare: maxPauseWaitShare}
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// call is one request in progress.
type call struct {
	*Server
	ctx     context.Context
	r       *Request
	w       Reply
	route   *catalog.Route
	service string
	// objective is the longest objective among the routes with prompts to the service.
	objective time.Duration
	team      string
	priority  int
	deadline  time.Time
	// fingerprint identifies the request in the quarantine, sharedParts the shared parts of its prompt.
	fingerprint uint64
	sharedParts []retry.Part
	// probesPart is true for a request with a blocked part that is let through as a probe.
	probesPart bool
	// excluded holds the IDs of the endpoints that failed or refused the request.
	excluded map[string]bool
	// dispatches counts the exchanges with endpoints, possibleRuns those that failed although the endpoint may have run the request.
	dispatches, possibleRuns int
	// prefills counts the completed prefills of the prompt on prefill engines.
	prefills int
	// reachedEndpoint is set if the last exchange reached an endpoint. Only then is a retry taken from the retry budget.
	reachedEndpoint bool
	// mayHaveRun is set once an endpoint may have started to run the request.
	mayHaveRun   bool
	usageCounted bool
	// origin is where the stream began that the request takes up, or that has begun in the response; the zero value before.
	origin continuation.Origin
	// openExchanges counts the exchanges in progress. standby is the silent one that the current one is to replace; nil for none.
	openExchanges int
	standby       *exchange
	current
	quotaAccount
	// nextPlan is the plan for the next attempt, whose retry is taken from the budget; nil for none.
	nextPlan *placement.Plan
	// freeAfter is the Retry-After time of a request that is refused because of pauses; 0 if it is not.
	freeAfter time.Duration
	// pauseWaitEnds is until when the request waits for the end of a pause; zero until it waits.
	pauseWaitEnds time.Time
	// buffers is the memory for the buffers of the request. It is set when the request is admitted.
	buffers *buffer.Reservation
	// firstResponseAfter is the time from the request's arrival to the first part of its response; 0 before there is one.
	firstResponseAfter time.Duration
	// detail is for the log.
	detail string
	// unavailable describes the endpoints that leave or pause.
	unavailable string
	// sawCrash is set once an endpoint crashed while the request was in progress there.
	sawCrash bool
}

// current describes the current exchange with an endpoint.
type current struct {
	// eventCount is the number of events that have arrived, firstEventAt when the first one did; longAnswer is set once the stream has gone
	// on for that long.
	eventCount   int
	firstEventAt time.Time
	longAnswer   bool
	// resuming is true until the first event of an endpoint that resumes the stream has arrived.
	resuming bool
	// The following fields are for the log.
	endpoint        string
	prefillEndpoint string
	predicted       time.Duration
	prefillTokens   int
	fetchedCache    bool
}

// Serve handles one request. ctx must be cancelled when the caller disconnects.
func (s *Server) Serve(ctx context.Context, r *Request, w Reply) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	c := &call{Server: s, ctx: ctx, r: r, w: w, excluded: make(map[string]bool)}
	s.awaitReady(ctx)
	defer c.settleQuota()
	if refusal, retryAfter := c.admit(); refusal != nil {
		c.refuse(refusal, retryAfter)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	c.ctx, c.buffers = ctx, s.bufferMemory.Reserve(c.service)
	defer c.buffers.Release()
	if c.answersWithStream() {
		c.serveStream()
		return
	}
	c.servePlain()
}

// CheckHead performs the checks of a request that need no body, so that nothing is read for a request that is refused anyway. It answers
// the request and returns false if it is refused. Otherwise it returns the request's time limit; Serve repeats the checks. prepare is called
// before the request is answered.
func (s *Server) CheckHead(ctx context.Context, r *Request, w Reply, prepare func()) (time.Duration, bool) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	c := &call{Server: s, ctx: ctx, r: r, w: w}
	s.awaitReady(ctx)
	if _, refusal, retryAfter := c.admitHead(); refusal != nil {
		prepare()
		c.refuse(refusal, retryAfter)
		return 0, false
	}
	return c.timeLimit(), true
}

// nextPick returns the next number of a low-discrepancy sequence in [0,1). Unlike random numbers, it splits even a few requests
// according to the weights of a route's services.
func (c *call) nextPick() float64 {
	const golden = 0.6180339887498949
	n := c.pickCount.Add(1)
	x := float64(n) * golden
	return x - float64(uint64(x))
}

func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

// canDispatch reports whether a request that is sent now can arrive at an endpoint with time left.
func (c *call) canDispatch() bool {
	needed := minDispatchTime
	if c.ConnectDelay != nil {
		needed += c.ConnectDelay()
	}
	return c.remaining() >= needed
}

// takeRetry reports whether the request may be sent to another endpoint. It takes a retry from the budget only if the last exchange
// reached an endpoint, because the budget limits the load on endpoints.
func (c *call) takeRetry(reason string) bool {
	if c.ctx.Err() != nil || c.Quarantine.Blocked(c.fingerprint) || c.partsBlocked() {
		return false
	}
	if c.nextPlan != nil {
		return true
	}
	if c.reachedEndpoint && !c.Budget.AllowRetry(c.service) {
		c.detail = appendDetail(c.detail, "retry budget exhausted")
		return false
	}
	c.Observe.Retried(c.service, reason)
	return true
}

// partsBlocked reports whether a part of the prompt keeps the request from being sent. A probe may be sent until an engine may have run it.
func (c *call) partsBlocked() bool {
	return (!c.probesPart || c.possibleRuns > 0) && c.Parts.Blocked(c.sharedParts)
}

// countUsage counts the request in its team's usage. Later calls have no effect.
func (c *call) countUsage() {
	if c.usageCounted {
		return
	}
	c.usageCounted = true
	if c.team != "" {
		c.Usage.CountRequest(c.team)
	}
}

// refuse ends the request with an error that this VM generated. If the caller has disconnected, it aborts instead.
func (c *call) refuse(err *apierror.Error, retryAfter time.Duration) {
	if c.callerLeft() {
		c.w.Abort()
		c.finish("caller_left")
		return
	}
	c.w.WriteError(err, retryAfter)
	c.detail = appendDetail(c.detail, err.Message)
	c.finish(string(err.Kind))
}

// callerLeft reports whether the caller has disconnected.
func (c *call) callerLeft() bool { return errors.Is(context.Cause(c.ctx), context.Canceled) }

// giveUp ends a request to which no endpoint responded. The error states whether an endpoint may have run the request.
func (c *call) giveUp(reason string, retryAfter time.Duration) {
	timedOut := c.remaining() <= 0
	blockedFor, blocked := c.Parts.BlockedFor(c.sharedParts)
	switch {
	case c.mayHaveRun && timedOut:
		c.refuse(apierror.New(apierror.TimedOut, "check whether the request took effect before you send it again", "%s", reason).WithExecution(apierror.ExecutionUnknown), 0)
	case c.mayHaveRun:
		c.refuse(apierror.New(apierror.OutcomeUnknown, "check whether the request took effect before you send it again", "%s", reason).WithExecution(apierror.ExecutionUnknown), 0)
	case blocked:
		c.refuse(errCrashingPart(), blockedFor)
	case c.cannotGoOn():
		c.refuse(apierror.New(apierror.Unavailable, remedyBeginAgain, "no endpoint of the software version that began the stream is left"), 0)
	case c.freeAfter > 0:
		c.refuse(apierror.New(apierror.Unavailable, "retry after the given time, or use another address", "the endpoints asked for a pause"), c.freeAfter)
	default:
		c.refuse(apierror.New(apierror.Unavailable, "retry later", "%s", reason), retryAfter)
	}
}

// finish records the request's metrics and writes its log line.
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
	c.Observe.Finished(name, outcome, total, c.firstResponseAfter)
	line := c.Log.Info()
	if c.probesPart {
		line = line.Bool("probes_part", true)
	}
	if (c.sawCrash || c.probesPart) && c.r.Prompt != nil {
		line = line.Strs("shared_parts", c.r.Prompt.SharedPartIDs())
	}
	if c.unavailable != "" {
		line = line.Str("unavailable", c.unavailable)
	}
	if c.EndpointsAge != nil {
		line = line.Int64("endpoints_age_ms", c.EndpointsAge().Milliseconds())
	}
	if c.ConnectDelay != nil {
		line = line.Int64("connect_ms", c.ConnectDelay().Milliseconds())
	}
	line.Str("request", c.r.ID).Str("route", name).Str("service", c.service).Str("team", c.team).
		Str("endpoint", c.endpoint).Str("reader", c.prefillEndpoint).Int("sends", c.dispatches).
		Int64("predicted_ms", c.predicted.Milliseconds()).Int("unread_tokens", c.prefillTokens).Bool("fetched", c.fetchedCache).
		Int64("first_ms", c.firstResponseAfter.Milliseconds()).Int64("total_ms", total.Milliseconds()).
		Uint64("config", version).Int64("config_age_ms", c.configAge().Milliseconds()).
		Str("detail", c.detail).Str("outcome", outcome).Msg("request")
}

// recordRefusal records that an endpoint refused the request without running it, and excludes the endpoint from further tries. One that
// asked for a pause may run the request after it.
func (c *call) recordRefusal(attempt *placement.Attempt, misdirected bool) {
	outcome := placement.Refused
	if misdirected {
		outcome = placement.Misdirected
		c.OnMisdirected(attempt.Endpoint.ID, placement.MisdirectedAvoidTime)
	}
	attempt.Done(outcome)
	c.excluded[attempt.Endpoint.ID] = c.Fleet.MayReceive(&attempt.Endpoint)
	c.detail = appendDetail(c.detail, "turned away by "+attempt.Endpoint.ID)
}

func appendDetail(detail, more string) string {
	if detail == "" {
		return more
	}
	return detail + "; " + more
}
