package telemetry

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Health tracks whether a process is ready: it is ready while no condition is pending. Its methods may be called concurrently.
type Health struct {
	mu      sync.Mutex
	pending map[string]string // reason by condition
}

// NewHealth returns a Health without pending conditions, which is ready.
func NewHealth() *Health { return &Health{pending: make(map[string]string)} }

// SetPending makes the process not ready until SetReady is called with the same condition. The reason is part of the response of
// /readyz.
func (h *Health) SetPending(condition, reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending[condition] = reason
}

// SetReady removes a pending condition.
func (h *Health) SetReady(condition string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.pending, condition)
}

// Reasons returns the pending conditions with their reasons, sorted. It is empty when the process is ready.
func (h *Health) Reasons() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	reasons := make([]string, 0, len(h.pending))
	for condition, reason := range h.pending {
		reasons = append(reasons, condition+": "+reason)
	}
	slices.Sort(reasons)
	return reasons
}

// readinessResponse is the JSON body of a response of /readyz.
type readinessResponse struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons,omitempty"`
}

// ServeHTTP responds with status 200 when the process is ready, and with status 503 and the reasons otherwise.
func (h *Health) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	reasons := h.Reasons()
	w.Header().Set("Content-Type", "application/json")
	if len(reasons) > 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(readinessResponse{Ready: len(reasons) == 0, Reasons: reasons})
}

// Handler returns a handler that serves /metrics, /livez and /readyz.
func (t *Telemetry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte("{\"live\":true}\n"))
	})
	mux.Handle("GET /readyz", t.Health)
	return mux
}
