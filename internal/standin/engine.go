package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// Defaults of an engine's configuration.
const (
	defaultSlots       = 16
	defaultKVTotal     = 2000
	defaultPrefillRate = 1e6
	defaultDecodeRate  = 1e4
	defaultMaxTokens   = 16
	defaultResumeGrace = 5 * time.Second
	maxKeptRequests    = 4096
)

// EngineConfig describes a stand-in engine. Zero fields take defaults.
type EngineConfig struct {
	Name     string
	Model    string
	Version  string
	Role     apitypes.Role
	Adapters []string
	// Slots is the number of requests that run at once.
	Slots int
	// KVTotal is the number of KV pieces; one piece holds one prefix block.
	KVTotal int
	// PrefillRate is in prompt tokens a second for the whole engine, DecodeRate in output tokens a second for each request.
	PrefillRate float64
	DecodeRate  float64
	// LoadLag is the age of load reports, CacheEventDelay the delay of cache events.
	LoadLag         time.Duration
	CacheEventDelay time.Duration
	// DropEveryNthCacheEvent drops each cache event whose number is a multiple of it; 0 drops none.
	DropEveryNthCacheEvent uint64
	// ChecksFence refuses orders with an old fencing number.
	ChecksFence bool
	// ChangeTime is the time that a change of role, model or version takes.
	ChangeTime time.Duration
	// ResumeGrace is the time that a request runs on after its last reader has gone.
	ResumeGrace time.Duration
	Faults      EngineFaults
}

// EngineFaults are switches that make an engine misbehave. The zero value is healthy. Counts are output tokens, and a
// negative count means at once.
type EngineFaults struct {
	// CrashMarker restarts the engine when a prompt holds it, after CrashAfter tokens: connections break, state is lost.
	CrashMarker string
	CrashAfter  int
	// CrashDowntime is the time that a crashed engine refuses connections.
	CrashDowntime time.Duration
	// DisconnectAfter breaks the connection, TruncateAfter ends the stream without its end marker, StallAfter sends nothing more,
	// InvalidDataAfter sends bytes that are no chunk.
	DisconnectAfter, TruncateAfter, StallAfter, InvalidDataAfter int
	// MismatchedRequestID answers with the id and the output of another request.
	MismatchedRequestID bool
	// RefuseResume answers 404 to resumes.
	RefuseResume bool
	// MaxStreams limits the faults of streams to this many following data streams; 0 means no limit.
	MaxStreams int
	// ApplyToResumes applies the faults of streams to resumed streams as well.
	ApplyToResumes bool
}

// EngineRequest is one data request that an engine received.
type EngineRequest struct {
	ID            string
	Prompt        string
	Priority      int
	CacheSalt     string
	ContinueAfter int
	Stream        bool
	Header        http.Header
	Body          []byte
	// At is the time of arrival.
	At time.Time
}

// EngineOrder is one control order that an engine received.
type EngineOrder struct {
	apitypes.Order
	// Applied is false for refused and repeated orders.
	Applied bool
	Refused bool
}

// Engine is a stand-in model engine. Its methods may be called concurrently.
type Engine struct {
	cfg EngineConfig
	mux *http.ServeMux

	mu         sync.Mutex
	instance   string
	downUntil  time.Time
	faults     EngineFaults
	faultsUsed int
	down       chan struct{} // closed by a crash

	requests map[string]*generation
	order    []string // ids in order of arrival
	waiting  []*generation
	running  int
	kvUsed   int
	queued   int // prompt tokens that wait for prefill
	arrivals int
	prefill  chan struct{} // held during a prefill

	cache   prefixCache
	events  []cacheEvent
	changed chan struct{}
	samples []loadSample

	control engineControl

	requestLog []EngineRequest
	orderLog   []EngineOrder
	cancelLog  []string
}

// NewEngine returns a stand-in engine.
func NewEngine(cfg EngineConfig) *Engine {
	cfg.Model = cmp.Or(cfg.Model, "model")
	cfg.Version = cmp.Or(cfg.Version, "1")
	cfg.Role = cmp.Or(cfg.Role, apitypes.RoleMixed)
	cfg.Slots = cmp.Or(cfg.Slots, defaultSlots)
	cfg.KVTotal = cmp.Or(cfg.KVTotal, defaultKVTotal)
	cfg.PrefillRate = cmp.Or(cfg.PrefillRate, defaultPrefillRate)
	cfg.DecodeRate = cmp.Or(cfg.DecodeRate, defaultDecodeRate)
	cfg.ResumeGrace = cmp.Or(cfg.ResumeGrace, defaultResumeGrace)
	e := &Engine{cfg: cfg, faults: cfg.Faults, control: engineControl{applied: make(map[string]bool)}}
	e.control.role, e.control.model, e.control.version = cfg.Role, cfg.Model, cfg.Version
	e.control.adapters = append([]string(nil), cfg.Adapters...)
	e.reset()
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.serveData(w, r, true) })
	e.mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.serveData(w, r, false) })
	e.mux.HandleFunc("GET /v1/models", e.serveModels)
	e.mux.HandleFunc("GET /v1/requests/{id}/stream", e.serveResume)
	e.mux.HandleFunc("GET /v1/requests/{id}", e.serveLookup)
	e.mux.HandleFunc("DELETE /v1/requests/{id}", e.serveCancel)
	e.mux.HandleFunc("GET /v1/load", e.serveLoad)
	e.mux.HandleFunc("GET /v1/cache/events", e.serveCacheEvents)
	e.mux.HandleFunc("GET /v1/control/state", e.serveControlState)
	e.mux.HandleFunc("POST /v1/control/orders", e.serveOrder)
	return e
}

// reset gives the engine the state of a fresh start.
func (e *Engine) reset() {
	e.instance = uuid.NewString()
	e.down = make(chan struct{})
	e.changed = make(chan struct{})
	e.prefill = make(chan struct{}, 1)
	e.requests = make(map[string]*generation)
	e.order, e.waiting, e.events, e.samples = nil, nil, nil, nil
	e.running, e.kvUsed, e.queued = 0, 0, 0
	e.cache = newPrefixCache(e.cfg.KVTotal)
	e.sampleLoad()
}

// ServeHTTP implements http.Handler. A crashed engine breaks every connection.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	down := time.Now().Before(e.downUntil)
	e.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// SetFaults replaces the fault switches.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults, e.faultsUsed = f, 0
}

// Crash restarts the engine: all connections break and its state is lost. It stays down for the given time.
func (e *Engine) Crash(downtime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.requests {
		g.cancel()
	}
	close(e.down)
	e.downUntil = time.Now().Add(downtime)
	e.reset()
	e.control.draining, e.control.changing = false, false
}

// Instance returns the id of the current start.
func (e *Engine) Instance() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance
}

// Requests returns all data requests so far, in order of arrival.
func (e *Engine) Requests() []EngineRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]EngineRequest(nil), e.requestLog...)
}

// Orders returns all control orders so far, in order of arrival.
func (e *Engine) Orders() []EngineOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]EngineOrder(nil), e.orderLog...)
}

// CancelledRequestIDs returns the ids of requests that were cancelled by call.
func (e *Engine) CancelledRequestIDs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.cancelLog...)
}

// ExpectedToken returns output token i of a prompt.
func ExpectedToken(prompt string, i int) string {
	return fmt.Sprintf("%06x ", xxhash.Sum64String(fmt.Sprintf("%d/%s", i, prompt))&0xffffff)
}

// ExpectedOutput returns the first n output tokens of a prompt.
func ExpectedOutput(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(ExpectedToken(prompt, i))
	}
	return b.String()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeRefusal(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]any{"error": map[string]string{"message": message}})
}
