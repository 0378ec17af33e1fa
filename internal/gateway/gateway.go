// Package gateway implements the caller-facing HTTP server: discovery, authentication, admission, routing, streaming, claims
// and usage.
//
// Each request runs in its own goroutine and writes to an answer buffer. The caller's connection and later fetches by request id
// read from that buffer, so a broken caller connection does not abort the request.
package gateway

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/admission"
	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/auth"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/buffer"
	"crocusglade.example/crocusglade/internal/claim"
	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/endpoint"
	"crocusglade.example/crocusglade/internal/retry"
	"crocusglade.example/crocusglade/internal/usage"
)

// Default values of Options fields.
const (
	DefaultEntryLifetime = 30 * time.Second
	// DefaultDiscoveryLeaveDelay is the time after which a neighbour that receives no updates stops listing this gateway as serving
	// (3 s in internal/peer).
	DefaultDiscoveryLeaveDelay = 3 * time.Second
	DefaultAnswerTTL           = 60 * time.Second
	// DefaultAbandonAfter is the time that a caller has to reconnect before its request is cancelled at the engine.
	DefaultAbandonAfter   = 20 * time.Second
	DefaultMaxBodyBytes   = 4 << 20
	DefaultMaxAnswerBytes = 32 << 20
	DefaultMaxAttempts    = 4
	// DefaultDispatchTimeout is well below the time after which a paused gateway is replaced and its claims are reconciled.
	DefaultDispatchTimeout = 5 * time.Second
)

// Limits on caller connections.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// bodyTimeout limits the time to receive a request body. It allows for callers at sea, whose links are slow.
	bodyTimeout = time.Minute
	// bodyIdleTimeout limits the time without a byte of a body.
	bodyIdleTimeout = 15 * time.Second
)

// openTeam is the reserved team name of requests without a key on open routes.
const openTeam = "open"

// Discovery lists the gateways that serve callers.
type Discovery interface {
	// Addresses returns the caller-facing addresses of the serving gateways, including this one until it leaves discovery.
	Addresses() []string
	// LeaveDiscovery removes this gateway from discovery, locally and at its neighbours.
	LeaveDiscovery()
}

// RequestObservation describes a finished request, for metrics and SLO burn rates.
type RequestObservation struct {
	Team     string
	Route    string
	Pool     string
	Priority apitypes.Priority
	// Status is the HTTP status of the answer; Kind is empty when the answer is complete.
	Status int
	Kind   apierror.Kind
	// FirstByte is the time from the request's arrival to the first byte of the answer; 0 when no byte was produced.
	FirstByte time.Duration
	Total     time.Duration
	Attempts  int
	Usage     apitypes.Usage
	// QueueTime is the time spent in admission.
	QueueTime time.Duration
	// PredictedFirstToken is the time to first token predicted for the first endpoint. CacheAffinity is true when the balancer expected a
	// part of the prompt in that endpoint's prefix cache.
	PredictedFirstToken time.Duration
	CacheAffinity       bool
	// Resumes counts resumes at the same endpoint and migrations to another. BudgetRefused is true when the retry budget refused a
	// retry.
	Resumes       int
	BudgetRefused bool
}

// Options holds the dependencies and limits of a gateway. Fields marked optional may be zero.
type Options struct {
	// VM and Incarnation identify this process. Incarnation is optional and random by default.
	VM          string
	Incarnation string

	Config     *config.SnapshotStore
	Keyring    *auth.Keyring
	Admission  *admission.Queue
	Balancer   *balancer.Balancer
	Budget     *retry.Budget
	Quarantine *retry.Quarantine
	// Parts blocks requests that share a message which crashes engines. Optional; the default has no entries.
	Parts  *retry.PartQuarantine
	Claims claim.ClaimStore
	Usage  usage.Recorder
	// Deduplicator prevents usage of an answer from being counted twice. Optional; without it every answer is counted.
	Deduplicator AnswerDeduplicator
	Discovery    Discovery
	// Answers fetches answers that other gateways hold.
	Answers   AnswerFetcher
	Endpoints *endpoint.Client

	// IsPartitioned reports whether this gateway has lost contact with the platform and with a majority of the VMs. Requests with a
	// key are refused then. Optional.
	IsPartitioned func() bool
	// PoolEndpoints returns the endpoints of a pool. It is used to resume answers of gateways that no longer exist. Optional; the
	// default is the endpoint list in the pool's configuration.
	PoolEndpoints func(pool string) []apitypes.Endpoint
	// OnEndpointCrash is called when an endpoint crashed while it ran a request, before the request is retried or answered. It must
	// return only after the neighbours are notified, because the caller may immediately resend the request to another gateway.
	// Optional.
	OnEndpointCrash func(fingerprint uint64, endpoint string)
	// OnRequestFinished is called for each finished request. Optional.
	OnRequestFinished func(RequestObservation)
	// OnClaim is called when a claim of a team reaches a state, and OnRepeatedKey when a call with a repeated idempotency key is
	// answered. Optional.
	OnClaim       func(team string, state apitypes.ClaimState)
	OnRepeatedKey func(answer RepeatedKeyAnswer)
	// OnDrained is called at the end of a drain. Optional.
	OnDrained func(ctx context.Context) error
	// Log receives state changes and failures. Optional.
	Log zerolog.Logger

	// Optional limits.
	EntryLifetime time.Duration
	// DiscoveryLeaveDelay is the time from leaving discovery until no neighbour returns this gateway's address to callers.
	DiscoveryLeaveDelay time.Duration
	AnswerTTL           time.Duration
	AbandonAfter        time.Duration
	MaxBodyBytes        int64
	// Bodies accounts for the memory of request bodies. OnBodyRefused is called when it has no room for a body.
	Bodies        *buffer.Memory
	OnBodyRefused func()
	// MaxAnswerBytes limits the memory of finished answers that are retained for fetching.
	MaxAnswerBytes int64
	// MaxAttempts limits the number of endpoints that one request is tried on.
	MaxAttempts int
	// DispatchTimeout limits the time between the start of a claim and the first byte of its call. A gateway that was paused
	// for longer does not send the call, because its claim may have been reconciled.
	DispatchTimeout time.Duration
}

// Gateway serves callers. Its methods are safe for concurrent use.
type Gateway struct {
	opts    Options
	echo    *echo.Echo
	answers *answerStore
	streams *streamTable
	// usageCopiesFailing is true while usage can't be copied to any neighbour. Changes are logged.
	usageCopiesFailing atomic.Bool

	mu              sync.Mutex
	draining        bool
	rejectsRequests bool
	activeRequests  int             // requests that run or wait for admission
	pendingWork     int             // active requests, their handlers, and claim writes that are still in progress
	idle            chan struct{}   // closed while pendingWork is 0
	claimAttempts   map[string]bool // ids of the attempts that this incarnation still works on
}

// New returns a gateway that is ready to handle requests.
func New(o Options) *Gateway {
	if o.Incarnation == "" {
		o.Incarnation = uuid.NewString()[:8]
	}
	if o.IsPartitioned == nil {
		o.IsPartitioned = func() bool { return false }
	}
	if o.PoolEndpoints == nil {
		o.PoolEndpoints = func(pool string) []apitypes.Endpoint {
			if p := o.Config.Current().Pool(pool); p != nil {
				return p.Endpoints
			}
			return nil
		}
	}
	if o.Parts == nil {
		o.Parts = retry.NewPartQuarantine(time.Now)
	}
	if o.OnEndpointCrash == nil {
		o.OnEndpointCrash = func(uint64, string) {}
	}
	if o.OnRequestFinished == nil {
		o.OnRequestFinished = func(RequestObservation) {}
	}
	if o.OnClaim == nil {
		o.OnClaim = func(string, apitypes.ClaimState) {}
	}
	if o.OnRepeatedKey == nil {
		o.OnRepeatedKey = func(RepeatedKeyAnswer) {}
	}
	if o.Bodies == nil {
		o.Bodies = buffer.NewMemory(buffer.DefaultMax)
	}
	if o.OnBodyRefused == nil {
		o.OnBodyRefused = func() {}
	}
	if o.OnDrained == nil {
		o.OnDrained = func(context.Context) error { return nil }
	}
	o.EntryLifetime = cmp.Or(o.EntryLifetime, DefaultEntryLifetime)
	o.DiscoveryLeaveDelay = cmp.Or(o.DiscoveryLeaveDelay, DefaultDiscoveryLeaveDelay)
	o.AnswerTTL = cmp.Or(o.AnswerTTL, DefaultAnswerTTL)
	o.AbandonAfter = cmp.Or(o.AbandonAfter, DefaultAbandonAfter)
	o.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, DefaultMaxBodyBytes)
	o.MaxAnswerBytes = cmp.Or(o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	o.DispatchTimeout = cmp.Or(o.DispatchTimeout, DefaultDispatchTimeout)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, DefaultMaxAttempts)
	idle := make(chan struct{})
	close(idle)
	g := &Gateway{opts: o, answers: newAnswerStore(o.AnswerTTL, o.MaxAnswerBytes), streams: newStreamTable(), idle: idle, claimAttempts: make(map[string]bool)}
	o.Config.OnChange(g.cancelWithdrawnKeys)
	g.registerRoutes()
	return g
}

func (g *Gateway) registerRoutes() {
	e := echo.New()
	e.HTTPErrorHandler = g.writeEchoError
	e.POST(endpoint.ChatPath, g.serveModel(endpoint.ChatPath))
	e.POST(endpoint.CompletionPath, g.serveModel(endpoint.CompletionPath))
	e.GET("/v1/models", g.serveModels)
	e.GET("/v1/answers/:id", g.serveAnswer)
	e.GET("/v1/entry", g.serveEntry)
	e.Any(servicePrefix+"*", g.serveService)
	g.echo = e
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.echo.ServeHTTP(w, r) }

// Server returns an HTTP server for caller connections with limits against slow and oversized headers. It sets no read or write
// timeout, because streams have no limit on their total time; the gateway limits the time to receive a body itself.
func (g *Gateway) Server() *http.Server {
	return &http.Server{Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// Name returns "<VM>.<incarnation>", as stored in claims and used in request ids.
func (g *Gateway) Name() string { return g.opts.VM + "." + g.opts.Incarnation }

// Incarnation returns the id of this run of the gateway process.
func (g *Gateway) Incarnation() string { return g.opts.Incarnation }

// InFlight returns the number of requests that run or wait for admission.
func (g *Gateway) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.activeRequests
}

func (g *Gateway) addActiveRequests(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.activeRequests += n
}

// Draining reports whether the gateway has left discovery.
func (g *Gateway) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// ActiveClaimAttempts returns the attempt ids of the claims that this incarnation still works on.
func (g *Gateway) ActiveClaimAttempts() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]string, 0, len(g.claimAttempts))
	for a := range g.claimAttempts {
		out = append(out, a)
	}
	return out
}

func (g *Gateway) addClaimAttempt(attempt string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.claimAttempts[attempt] = true
}

func (g *Gateway) removeClaimAttempt(attempt string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.claimAttempts, attempt)
}

// beginRequest registers a request as pending work. It returns a Draining error when the gateway no longer accepts requests.
func (g *Gateway) beginRequest() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.rejectsRequests {
		e := apierror.New(apierror.Draining, "send the request to one of the listed addresses", "this gateway is draining")
		e.Addresses = g.opts.Discovery.Addresses()
		return e
	}
	if g.pendingWork == 0 {
		g.idle = make(chan struct{})
	}
	g.pendingWork++
	return nil
}

// addPendingWork registers work that may outlast its request's handler, such as storing the outcome of a call.
func (g *Gateway) addPendingWork() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pendingWork == 0 {
		g.idle = make(chan struct{})
	}
	g.pendingWork++
}

func (g *Gateway) endPendingWork() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pendingWork--
	if g.pendingWork == 0 {
		close(g.idle)
	}
}

// writeEchoError writes an error that a handler or the router returned.
func (g *Gateway) writeEchoError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	if he, ok := err.(*echo.HTTPError); ok {
		switch he.Code {
		case http.StatusNotFound:
			err = apierror.New(apierror.NotFound, "see the documentation for the supported paths", "the path does not exist")
		case http.StatusMethodNotAllowed:
			err = apierror.New(apierror.InvalidRequest, "use a method that the documentation lists for the path", "the path does not support this method")
		default:
			err = apierror.New(apierror.InvalidRequest, "check the request", "the request is invalid")
		}
	}
	writeError(c.Response(), apierror.From(err, apierror.ExecutionUnknown), c.Response().Header().Get(requestIDHeader))
}
