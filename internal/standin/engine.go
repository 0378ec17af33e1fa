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

// Defaults of EngineConfig and of requests. Rates are in tokens per second.
const (
	defaultSlots       = 16
	defaultKVTotal     = 2000
	defaultPrefillRate = 1e6
	defaultDecodeRate  = 1e4
	defaultMaxTokens   = 16
	defaultResumeGrace = 5 * time.Second
	// maxStoredRequests is the number of requests, finished ones included, that can be looked up and resumed.
	maxStoredRequests = 4096
)

// EngineConfig configures an Engine. Zero fields take defaults.
type EngineConfig struct {
	Name    string
	Model   string
	Version string
	// SoftwareVersion is the version of the engine's software; empty stands for "1".
	SoftwareVersion string
	Role            apitypes.Role
	Adapters        []string
	// Slots is the number of requests that run at once.
	Slots int
	// KVBlocks is the size of the KV cache in blocks; one KV block holds one prefix block.
	KVBlocks int
	// PrefillRate is in prompt tokens per second over all requests, DecodeRate in output tokens per second of each request.
	PrefillRate float64
	DecodeRate  float64
	// LoadLag is the age of the load reports, CacheEventDelay the time between a cache change and its event.
	LoadLag         time.Duration
	CacheEventDelay time.Duration
	// DropEveryNthCacheEvent drops every cache event whose sequence number is a multiple of it; 0 drops none.
	DropEveryNthCacheEvent uint64
	// ChecksFence rejects orders whose fencing token is below the highest one received.
	ChecksFence bool
	// ChangeDuration is the duration of a change of role, model or version, during which the engine rejects new requests.
	ChangeDuration time.Duration
	// ResumeGrace is the time for which a request without connected clients continues before it is cancelled.
	ResumeGrace time.Duration
	Faults      EngineFaults
}

// EngineFaults selects the faults that an Engine injects. The zero value injects none. DisconnectAfter, TruncateAfter,
// StallAfter and InvalidDataAfter are numbers of output tokens: 0 disables the fault, and a negative number triggers it before the
// first token.
type EngineFaults struct {
	// CrashMarker crashes the engine, as Engine.Crash does, when a request whose prompt contains it has produced CrashAfter tokens.
	CrashMarker string
	CrashAfter  int
	// CrashDowntime is the time for which the crashed engine aborts every connection.
	CrashDowntime time.Duration
	// DisconnectAfter aborts the connection, TruncateAfter ends the stream without its end marker, StallAfter sends nothing more and
	// leaves the connection open, and InvalidDataAfter ends the stream with data that is not JSON. In a response that is not
	// streamed, a nonzero TruncateAfter sends half of the body and a nonzero InvalidDataAfter a body that is not JSON.
	DisconnectAfter, TruncateAfter, StallAfter, InvalidDataAfter int
	// MismatchedRequestID responds with the id and the output of another request.
	MismatchedRequestID bool
	// RefuseResume responds to resume requests with 404.
	RefuseResume bool
	// MaxStreams limits the response faults to the next MaxStreams responses; 0 means no limit. CrashMarker and RefuseResume are not
	// limited.
	MaxStreams int
	// ApplyToResumes applies the response faults to resumed streams as well.
	ApplyToResumes bool
}

// EngineRequest is one completion request that an Engine received.
type EngineRequest struct {
	ID            string
	Prompt        string
	Priority      int
	CacheSalt     string
	ContinueAfter int
	Stream        bool
	Header        http.Header
	Body          []byte
	// ReceivedAt is the time at which the request was received.
	ReceivedAt time.Time
}

// EngineOrder is one control order that an Engine received.
type EngineOrder struct {
	apitypes.Order
	// Applied is false for rejected and repeated orders.
	Applied bool
	// Rejected is true for orders rejected because of their fencing token.
	Rejected bool
}

// Engine is a stand-in for a model engine. Its output depends only on the prompt. It is safe for concurrent use.
type Engine struct {
	cfg EngineConfig
	mux *http.ServeMux

	mu             sync.Mutex
	instance       string
	downUntil      time.Time
	faults         EngineFaults
	faultedStreams int
	crashSignal    chan struct{} // closed by a crash and replaced by the restart

	requests            map[string]*generation
	requestIDs          []string // ids in order of arrival
	waiting             []*generation
	running             int
	kvBlocksUsed        int
	queuedPrefillTokens int // prompt tokens whose prefill is not complete
	arrivalCount        int
	prefillSlot         chan struct{} // a semaphore: one prefill at a time

	cache        prefixCache
	events       []cacheEvent
	cacheChanged chan struct{}
	loadSamples  []loadSample

	control engineControl

	requestLog []EngineRequest
	orderLog   []EngineOrder
	cancelLog  []string
}

// NewEngine returns an Engine with the given configuration.
func NewEngine(cfg EngineConfig) *Engine {
	cfg.Model = cmp.Or(cfg.Model, "model")
	cfg.Version = cmp.Or(cfg.Version, "1")
	cfg.Role = cmp.Or(cfg.Role, apitypes.RoleMixed)
	cfg.Slots = cmp.Or(cfg.Slots, defaultSlots)
	cfg.KVBlocks = cmp.Or(cfg.KVBlocks, defaultKVTotal)
	cfg.PrefillRate = cmp.Or(cfg.PrefillRate, defaultPrefillRate)
	cfg.DecodeRate = cmp.Or(cfg.DecodeRate, defaultDecodeRate)
	cfg.ResumeGrace = cmp.Or(cfg.ResumeGrace, defaultResumeGrace)
	e := &Engine{cfg: cfg, faults: cfg.Faults, control: engineControl{appliedOrders: make(map[string]bool)}}
	e.control.role, e.control.model, e.control.version = cfg.Role, cfg.Model, cfg.Version
	e.control.adapters = append([]string(nil), cfg.Adapters...)
	e.reset()
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.serveCompletion(w, r, true) })
	e.mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.serveCompletion(w, r, false) })
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

// reset sets the runtime state to that of a new instance. Control state and logs are preserved.
func (e *Engine) reset() {
	e.instance = uuid.NewString()
	e.crashSignal = make(chan struct{})
	e.cacheChanged = make(chan struct{})
	e.prefillSlot = make(chan struct{}, 1)
	e.requests = make(map[string]*generation)
	e.requestIDs, e.waiting, e.events, e.loadSamples = nil, nil, nil, nil
	e.running, e.kvBlocksUsed, e.queuedPrefillTokens = 0, 0, 0
	e.cache = newPrefixCache(e.cfg.KVBlocks)
	e.sampleLoad()
}

// ServeHTTP implements http.Handler. During the downtime after a crash it aborts every connection.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	unavailable := time.Now().Before(e.downUntil)
	e.mu.Unlock()
	if unavailable {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// SetFaults replaces the injected faults and resets the count for MaxStreams.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults, e.faultedStreams = f, 0
}

// Crash restarts the engine: it aborts all open connections, discards requests, cache and load, and aborts new connections for downtime.
func (e *Engine) Crash(downtime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.requests {
		g.cancel()
	}
	close(e.crashSignal)
	e.downUntil = time.Now().Add(downtime)
	e.reset()
	e.control.draining, e.control.changing = false, false
}

// Instance returns the current instance id, which changes with each crash.
func (e *Engine) Instance() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance
}

// Requests returns all completion requests received so far, in order of arrival.
func (e *Engine) Requests() []EngineRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]EngineRequest(nil), e.requestLog...)
}

// Orders returns all control orders received so far, in order of arrival.
func (e *Engine) Orders() []EngineOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]EngineOrder(nil), e.orderLog...)
}

// CancelledRequestIDs returns the ids of requests that clients cancelled with DELETE, in order of cancellation.
func (e *Engine) CancelledRequestIDs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.cancelLog...)
}

// ExpectedToken returns the output token at index i for a prompt.
func ExpectedToken(prompt string, i int) string {
	return fmt.Sprintf("%06x ", xxhash.Sum64String(fmt.Sprintf("%d/%s", i, prompt))&0xffffff)
}

// ExpectedOutput returns the first n output tokens for a prompt, concatenated.
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

// writeJSONError responds with an error object in the format of the OpenAI API.
func writeJSONError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]any{"error": map[string]string{"message": message}})
}
