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

// ServiceConfig describes a stand-in plain service. Zero fields take defaults.
type ServiceConfig struct {
	Name  string
	Slots int
	// NoLookup answers 404 to request lookups, as a service that can't be asked does.
	NoLookup bool
	// NoLoad answers 404 to load reports.
	NoLoad bool
	Faults ServiceFaults
}

// ServiceFaults are switches that make a service misbehave. The zero value is healthy.
type ServiceFaults struct {
	// ExecutionDelay delays each execution.
	ExecutionDelay time.Duration
	// DisconnectAfterExecuting executes and then breaks the connection, RefuseBeforeExecuting answers 503 without executing,
	// DisconnectBeforeExecuting breaks the connection without executing, RefuseAfterExecuting executes and then answers 503.
	DisconnectAfterExecuting  bool
	RefuseBeforeExecuting     bool
	DisconnectBeforeExecuting bool
	RefuseAfterExecuting      bool
	// RestartOnRefusal gives the service a new instance before it answers 503.
	RestartOnRefusal bool
	// MismatchedRequestID echoes another request's id, ShortBody announces more bytes than it sends.
	MismatchedRequestID bool
	ShortBody           bool
	// MaxCalls limits the faults to this many following calls; 0 means no limit.
	MaxCalls int
}

// ServiceCall is one call that a service received.
type ServiceCall struct {
	ID     string
	Method string
	URI    string
	Header http.Header
	Body   []byte
	// At is the time of arrival.
	At time.Time
}

type serviceRecord struct {
	state  string
	status int
	body   []byte
}

// Service is a stand-in plain service that counts executions. Its methods may be called concurrently.
type Service struct {
	cfg ServiceConfig

	mu         sync.Mutex
	instance   string
	faults     ServiceFaults
	used       int
	running    int
	executions map[string]int
	records    map[string]*serviceRecord
	calls      []ServiceCall
}

// NewService returns a stand-in service.
func NewService(cfg ServiceConfig) *Service {
	cfg.Slots = cmp.Or(cfg.Slots, defaultSlots)
	s := &Service{cfg: cfg, faults: cfg.Faults, executions: make(map[string]int)}
	s.Restart()
	return s
}

// Restart gives the service a new instance that has forgotten all requests. Execution counts stay, for tests.
func (s *Service) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instance = uuid.NewString()
	s.records = make(map[string]*serviceRecord)
}

// SetFaults replaces the fault switches.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.used = f, 0
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

// TotalExecutions returns the number of executions of all requests.
func (s *Service) TotalExecutions() int {
	n := 0
	for _, c := range s.ExecutionsByRequest() {
		n += c
	}
	return n
}

// Calls returns all calls so far, in order of arrival.
func (s *Service) Calls() []ServiceCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ServiceCall(nil), s.calls...)
}

// Instance returns the id of the current start.
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

func (s *Service) takeFaults() ServiceFaults {
	if s.faults.MaxCalls > 0 && s.used >= s.faults.MaxCalls {
		return ServiceFaults{}
	}
	s.used++
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
	f := s.takeFaults()
	s.mu.Unlock()
	switch {
	case f.DisconnectBeforeExecuting:
		abort()
	case f.RefuseBeforeExecuting:
		s.refuse(w, id, f, "the service refuses; nothing was executed")
		return
	}
	answer := s.execute(id, r, body, f.ExecutionDelay)
	switch {
	case f.DisconnectAfterExecuting:
		abort()
	case f.RefuseAfterExecuting:
		s.refuse(w, id, f, "the service executed the call and refuses")
		return
	}
	if f.MismatchedRequestID {
		id = "another-request"
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Content-Type", "application/json")
	if f.ShortBody {
		w.Header().Set("Content-Length", fmt.Sprint(len(answer)+10))
	}
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(answer)
}

func (s *Service) refuse(w http.ResponseWriter, id string, f ServiceFaults, message string) {
	if f.RestartOnRefusal {
		s.Restart()
	}
	w.Header().Set("X-Request-Id", id)
	writeRefusal(w, http.StatusServiceUnavailable, message)
}

// execute counts one execution and returns its answer.
func (s *Service) execute(id string, r *http.Request, body []byte, slow time.Duration) []byte {
	s.mu.Lock()
	s.running++
	record := &serviceRecord{state: "running"}
	s.records[id] = record
	s.executions[id]++
	s.mu.Unlock()
	time.Sleep(slow)
	answer := fmt.Appendf(nil, `{"id":%q,"method":%q,"path":%q,"bytes":%d}`, id, r.Method, r.URL.Path, len(body))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	record.state, record.status, record.body = "done", http.StatusOK, answer
	return answer
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
	answer := map[string]any{"state": "unknown", "instance": s.instance}
	if record := s.records[id]; record != nil {
		answer["state"] = record.state
		if record.state == "done" {
			answer["status"], answer["body"] = record.status, string(record.body)
		}
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}
