package telemetry

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Health tells whether a process lives and is ready. It is ready when no condition is pending.
type Health struct {
	mu      sync.Mutex
	pending map[string]string
}

// NewHealth returns a Health without conditions: ready.
func NewHealth() *Health { return &Health{pending: make(map[string]string)} }

// SetPending makes the process not ready until SetReady is called with the same condition. The reason is shown.
func (h *Health) SetPending(condition, reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending[condition] = reason
}

// SetReady removes a condition.
func (h *Health) SetReady(condition string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.pending, condition)
}

// Reasons returns the pending conditions with their reasons, sorted; empty means ready.
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

// readiness is the body of /readyz.
type readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons,omitempty"`
}

// ServeHTTP answers 200 when ready and 503 with the reasons otherwise.
func (h *Health) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	reasons := h.Reasons()
	w.Header().Set("Content-Type", "application/json")
	if len(reasons) > 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(readiness{Ready: len(reasons) == 0, Reasons: reasons})
}

// Handler serves /metrics, /livez and /readyz.
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
