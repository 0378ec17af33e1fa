// Package gateway is the caller-facing server: discovery, authentication, admission, routing, streaming, claims and usage.
//
// A request that has been admitted runs in a goroutine of its own and writes into an answer. The caller's connection, and
// later fetches by id, read from that answer, so a broken connection to the caller does not cut the request.
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
	"crocusglade.example/crocusglade/internal/claim"
	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/endpoint"
	"crocusglade.example/crocusglade/internal/retry"
	"crocusglade.example/crocusglade/internal/usage"
)

// Defaults of Options.
const (
	DefaultEntryLifetime = 30 * time.Second
	// DefaultDiscoveryLeaveDelay is how long a neighbour that hears nothing still counts this gateway as serving (3 s in internal/peer).
	DefaultDiscoveryLeaveDelay = 3 * time.Second
	DefaultAnswerTTL           = 60 * time.Second
	// DefaultAbandonAfter leaves a caller time to reconnect before its request is cancelled at the engine.
	DefaultAbandonAfter   = 20 * time.Second
	DefaultMaxBodyBytes   = 4 << 20
	DefaultMaxAnswerBytes = 32 << 20
	DefaultMaxAttempts    = 4
	// DefaultDispatchTimeout is well below the time in which a paused gateway is replaced and its claims are reconciled.
	DefaultDispatchTimeout = 5 * time.Second
)

// Limits on callers' connections.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// bodyTimeout bounds the time in which a body arrives. Callers at sea have slow links.
	bodyTimeout = time.Minute
)

// openTeam is the reserved team of requests on open routes without a key.
const openTeam = "open"

// Discovery tells which gateways serve callers.
type Discovery interface {
	// Addresses returns the caller-facing addresses of the gateways that serve, this one included while it does.
	Addresses() []string
	// LeaveDiscovery takes this gateway out of discovery, here and at the neighbours.
	LeaveDiscovery()
}

// RequestObservation describes a finished request, for counters and service-level burn.
type RequestObservation struct {
	Team     string
	Route    string
	Pool     string
	Priority apitypes.Priority
	// Status is the answer's status; Kind is empty for a whole answer.
	Status int
	Kind   apierror.Kind
	// FirstByte is the time to the first byte of the answer; 0 when there was none.
	FirstByte time.Duration
	Total     time.Duration
	Attempts  int
	Usage     apitypes.Usage
	// Queued is the time spent in admission.
	Queued time.Duration
	// PredictedFirstToken is the predicted time to the first token at the first endpoint, Affinity tells whether the choice followed a cached prefix.
	PredictedFirstToken time.Duration
	Affinity            bool
	// Resumed counts resumes at the same endpoint and moves, BudgetRefused is true when the budget refused a retry.
	Resumed       int
	BudgetRefused bool
}

// Options holds what a gateway depends on. Fields marked optional may stay zero.
type Options struct {
	// VM and Incarnation name this process. Incarnation is optional and random by default.
	VM          string
	Incarnation string

	Config     *config.SnapshotStore
	Keyring    *auth.Keyring
	Admission  *admission.Queue
	Balancer   *balancer.Balancer
	Budget     *retry.Budget
	Quarantine *retry.Quarantine
	Claims     claim.Claims
	Usage      usage.Recorder
	// Deduplicator keeps answers from being counted twice; nil counts each.
	Deduplicator AnswerDeduplicator
	Discovery    Discovery
	// Answers fetches answers from other gateways.
	Answers   AnswerFetcher
	Endpoints *endpoint.Client

	// IsPartitioned tells that this gateway has lost the platform and a majority of the VMs. Optional.
	IsPartitioned func() bool
	// PoolEndpoints returns the endpoints of a pool, to resume answers of gateways that are gone. Optional; the default
	// is the list in the pool's configuration.
	PoolEndpoints func(pool string) []apitypes.Endpoint
	// OnEndpointDeath is called when an endpoint died under a request, before the request is tried again or answered. It returns
	// once neighbours have been told, because the caller may send the request again elsewhere at once. Optional.
	OnEndpointDeath func(fingerprint uint64, endpoint string)
	// OnRequestFinished is called for each finished request. Optional.
	OnRequestFinished func(RequestObservation)
	// OnClaim is called when a claim of a team reaches a state, OnRepeatedKey when a repeated idempotency key is answered. Optional.
	OnClaim       func(team string, state apitypes.ClaimState)
	OnRepeatedKey func(answer RepeatAnswer)
	// OnDrained is called at the end of a drain. Optional.
	OnDrained func(ctx context.Context) error
	// Log takes changes of state. Optional.
	Log zerolog.Logger

	// Optional limits.
	EntryLifetime time.Duration
	// DiscoveryLeaveDelay is the time after which no neighbour gives out this gateway's address any more once it has left discovery.
	DiscoveryLeaveDelay time.Duration
	AnswerTTL           time.Duration
	AbandonAfter        time.Duration
	MaxBodyBytes        int64
	// MaxAnswerBytes bounds the memory of finished answers that are kept for fetching.
	MaxAnswerBytes int64
	// MaxAttempts bounds the endpoints that one request is tried on.
	MaxAttempts int
	// DispatchTimeout bounds the time between the start of a claim and the first byte of its call. A gateway that was paused
	// for longer sends nothing, because its claim may have been reconciled.
	DispatchTimeout time.Duration
}

// Gateway serves callers. Its methods may be called concurrently.
type Gateway struct {
	opts    Options
	echo    *echo.Echo
	answers *answerStore
	streams *streamTable
	// copiesFail is true while peers take no copies of usage; its changes are logged.
	copiesFail atomic.Bool

	mu       sync.Mutex
	leaving  bool
	refusing bool
	running  int           // admitted or waiting requests
	inFlight int           // running requests, their connections, and what they leave behind
	idle     chan struct{} // closed while nothing is in flight
	attempts map[string]bool
}

// New returns a gateway that serves as soon as its handler is called.
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
	if o.OnEndpointDeath == nil {
		o.OnEndpointDeath = func(uint64, string) {}
	}
	if o.OnRequestFinished == nil {
		o.OnRequestFinished = func(RequestObservation) {}
	}
	if o.OnClaim == nil {
		o.OnClaim = func(string, apitypes.ClaimState) {}
	}
	if o.OnRepeatedKey == nil {
		o.OnRepeatedKey = func(RepeatAnswer) {}
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
	g := &Gateway{opts: o, answers: newAnswerStore(o.AnswerTTL, o.MaxAnswerBytes), streams: newStreamTable(), idle: idle, attempts: make(map[string]bool)}
	o.Config.OnChange(g.cancelWithdrawn)
	g.routes()
	return g
}

func (g *Gateway) routes() {
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

// Server returns a server for callers' connections with limits against slow and oversized headers. The time of a body is
// bounded by the gateway itself, since streams have no bound on their whole time.
func (g *Gateway) Server() *http.Server {
	return &http.Server{Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// Name returns VM and incarnation as claims and request ids carry them.
func (g *Gateway) Name() string { return g.opts.VM + "." + g.opts.Incarnation }

// Incarnation returns the name of this start of the gateway.
func (g *Gateway) Incarnation() string { return g.opts.Incarnation }

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

func (g *Gateway) addRunning(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running += n
}

// Draining tells whether the gateway has left discovery.
func (g *Gateway) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving
}

// ActiveClaimAttempts returns the attempt ids of claims that this incarnation still works on.
func (g *Gateway) ActiveClaimAttempts() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]string, 0, len(g.attempts))
	for a := range g.attempts {
		out = append(out, a)
	}
	return out
}

func (g *Gateway) addAttempt(attempt string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempts[attempt] = true
}

func (g *Gateway) removeAttempt(attempt string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.attempts, attempt)
}

// enter counts a request in progress, or refuses it when the gateway has stopped taking work.
func (g *Gateway) enter() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refusing {
		e := apierror.New(apierror.Draining, "send the request to one of the addresses named here", "this gateway is stopping")
		e.Addresses = g.opts.Discovery.Addresses()
		return e
	}
	if g.inFlight == 0 {
		g.idle = make(chan struct{})
	}
	g.inFlight++
	return nil
}

// hold counts work that a request leaves behind, such as an outcome that is still being stored.
func (g *Gateway) hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight == 0 {
		g.idle = make(chan struct{})
	}
	g.inFlight++
}

func (g *Gateway) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.inFlight == 0 {
		close(g.idle)
	}
}

// writeEchoError answers errors of handlers and of the router.
func (g *Gateway) writeEchoError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	if he, ok := err.(*echo.HTTPError); ok {
		switch he.Code {
		case http.StatusNotFound:
			err = apierror.New(apierror.NotFound, "see the documentation for the paths that callers may use", "no such path")
		case http.StatusMethodNotAllowed:
			err = apierror.New(apierror.InvalidRequest, "use the method that the documentation names", "the path does not take this method")
		default:
			err = apierror.New(apierror.InvalidRequest, "check the request", "the request is not valid")
		}
	}
	writeError(c.Response(), apierror.From(err, apierror.ExecutionUnknown), c.Response().Header().Get(requestIDHeader))
}
