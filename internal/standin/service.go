package standin

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// ServiceConfig configures a Service. Zero fields take defaults.
type ServiceConfig struct {
	Name string
	// Slots is the number of calls that run at once, as stated in load reports; it is not enforced.
	Slots int
	// NoLookup responds to request lookups with 404, like a service without a lookup API.
	NoLookup bool
	// NoLoad responds to requests for the load report with 404.
	NoLoad bool
	Faults ServiceFaults
}

// ServiceFaults selects the faults that a Service injects. The zero value injects none.
type ServiceFaults struct {
	// ExecutionDelay is added to each execution.
	ExecutionDelay time.Duration
	// DisconnectAfterExecuting executes the call and then closes the connection without a response, RefuseBeforeExecuting responds
	// with 503 without executing, DisconnectBeforeExecuting closes the connection without executing, and RefuseAfterExecuting
	// executes and then responds with 503.
	DisconnectAfterExecuting  bool
	RefuseBeforeExecuting     bool
	DisconnectBeforeExecuting bool
	RefuseAfterExecuting      bool
	// RestartOnRefusal restarts the service, which changes its instance id, before each 503 response.
	RestartOnRefusal bool
	// MismatchedRequestID responds with the id of another request. ShortBody sends a Content-Length above the bytes that follow.
	MismatchedRequestID bool
	ShortBody           bool
	// MaxCalls limits the faults to the next MaxCalls calls; 0 means no limit.
	MaxCalls int
}

// ServiceCall is one call that a Service received.
type ServiceCall struct {
	ID     string
	Method string
	URI    string
	Header http.Header
	Body   []byte
	// ReceivedAt is the time at which the call was received.
	ReceivedAt time.Time
}

// requestRecord is the state of one request, for lookups.
type requestRecord struct {
	state  string
	status int
	body   []byte
}

// Service is a stand-in for a plain HTTP service; it counts the executions of each request. It is safe for concurrent use.
type Service struct {
	cfg ServiceConfig

	mu           sync.Mutex
	instance     string
	faults       ServiceFaults
	faultedCalls int
	running      int
	executions   map[string]int
	records      map[string]*requestRecord
	calls        []ServiceCall
}

// NewService returns a Service with the given configuration.
func NewService(cfg ServiceConfig) *Service {
	cfg.Slots = cmp.Or(cfg.Slots, defaultSlots)
	s := &Service{cfg: cfg, faults: cfg.Faults, executions: make(map[string]int)}
	s.Restart()
	return s
}

// Restart gives the service a new instance id and discards its request records. Execution counts are preserved.
func (s *Service) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instance = uuid.NewString()
	s.records = make(map[string]*requestRecord)
}

// SetFaults replaces the injected faults and resets the count for MaxCalls.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.faultedCalls = f, 0
}

// ExecutionsByRequest returns the number of executions by request id.
func (s *Service) ExecutionsByRequest() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.executions))
	for id, n := range s.executions {
		out[id] = n
	}
	return out
}

// TotalExecutions returns the number of executions over all requests.
func (s *Service) TotalExecutions() int {
	n := 0
	for _, c := range s.ExecutionsByRequest() {
		n += c
	}
	return n
}

// Calls returns all calls received so far, in order of arrival.
func (s *Service) Calls() []ServiceCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ServiceCall(nil), s.calls...)
}

// Instance returns the current instance id, which changes with each restart.
func (s *Service) Instance() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instance
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/v1/load":
		s.serveLoad(w)
	case r.Method == http.MethodGet && len(r.URL.Path) > len(lookupPath) && r.URL.Path[:len(lookupPath)] == lookupPath:
		s.serveLookup(w, r.URL.Path[len(lookupPath):])
	default:
		s.serveCall(w, r)
	}
}

const lookupPath = "/v1/requests/"

// faultsForCall returns the faults for the next call and counts it towards MaxCalls. The caller holds the lock.
func (s *Service) faultsForCall() ServiceFaults {
	if s.faults.MaxCalls > 0 && s.faultedCalls >= s.faults.MaxCalls {
		return ServiceFaults{}
	}
	s.faultedCalls++
	return s.faults
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	s.mu.Lock()
	s.calls = append(s.calls, ServiceCall{id, r.Method, r.URL.RequestURI(), r.Header.Clone(), body, time.Now()})
	f := s.faultsForCall()
	s.mu.Unlock()
	switch {
	case f.DisconnectBeforeExecuting:
		abort()
	case f.RefuseBeforeExecuting:
		s.refuse(w, id, f, "service unavailable; the call was not executed")
		return
	}
	response := s.execute(id, r, body, f.ExecutionDelay)
	switch {
	case f.DisconnectAfterExecuting:
		abort()
	case f.RefuseAfterExecuting:
		s.refuse(w, id, f, "service unavailable; the call was executed")
		return
	}
	if f.MismatchedRequestID {
		id = "another-request"
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Content-Type", "application/json")
	if f.ShortBody {
		w.Header().Set("Content-Length", fmt.Sprint(len(response)+10))
	}
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(response)
}

// refuse responds with 503.
func (s *Service) refuse(w http.ResponseWriter, id string, f ServiceFaults, message string) {
	if f.RestartOnRefusal {
		s.Restart()
	}
	w.Header().Set("X-Request-Id", id)
	writeJSONError(w, http.StatusServiceUnavailable, message)
}

// execute records one execution, waits for the delay and returns the response body.
func (s *Service) execute(id string, r *http.Request, body []byte, delay time.Duration) []byte {
	s.mu.Lock()
	s.running++
	record := &requestRecord{state: "running"}
	s.records[id] = record
	s.executions[id]++
	s.mu.Unlock()
	time.Sleep(delay)
	response := fmt.Appendf(nil, `{"id":%q,"method":%q,"path":%q,"bytes":%d}`, id, r.Method, r.URL.Path, len(body))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	record.state, record.status, record.body = "done", http.StatusOK, response
	return response
}

func (s *Service) serveLoad(w http.ResponseWriter) {
	if s.cfg.NoLoad {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.mu.Lock()
	load := apitypes.Load{Endpoint: s.cfg.Name, Running: s.running, Slots: s.cfg.Slots, Instance: s.instance}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, load)
}

func (s *Service) serveLookup(w http.ResponseWriter, id string) {
	if s.cfg.NoLookup {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.mu.Lock()
	response := map[string]any{"state": "unknown", "instance": s.instance}
	if record := s.records[id]; record != nil {
		response["state"] = record.state
		if record.state == "done" {
			response["status"], response["body"] = record.status, string(record.body)
		}
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, response)
}
