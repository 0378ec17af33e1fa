package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
)

const (
	// defaultCallRate is the rate limit in calls per second, reads and writes together. The design assumes a platform that accepts
	// several hundred writes and about two thousand reads a second.
	defaultCallRate = 2500
	// callBurst is the burst of the rate limit at defaultCallRate, in calls.
	callBurst = 500
	// bookmarkInterval is the time between bookmark events on a watch.
	bookmarkInterval = time.Second
	// maxRequestBytes limits a request body. It is above objectstore.MaxValueBytes, so that a value above that limit is read in full
	// and rejected by the store.
	maxRequestBytes = objectstore.MaxValueBytes + 64<<10
)

// ArrivalKind is the type of a logged request: an order or a usage report.
type ArrivalKind string

const (
	ArrivalOrder  ArrivalKind = "order"
	ArrivalReport ArrivalKind = "report"
)

// Arrival is one order or usage report that the stand-in received, accepted or not.
type Arrival struct {
	Kind   ArrivalKind           `json:"kind"`
	Pool   string                `json:"pool,omitempty"`
	Order  *apitypes.Order       `json:"order,omitempty"`
	Report *apitypes.UsageWindow `json:"report,omitempty"`
	// Status is the HTTP status of the response. A response that is lost after the write took effect is also logged as 503.
	Status int `json:"status"`
	// At is the time at which the request was received, in Unix nanoseconds.
	At int64 `json:"at"`
}

// FaultRequest is the body of POST /fault. Fields that are absent change nothing.
type FaultRequest struct {
	Faults    *memplatform.Faults            `json:"faults,omitempty"`
	VMs       []apitypes.VM                  `json:"vms,omitempty"`
	Endpoints map[string][]apitypes.Endpoint `json:"endpoints,omitempty"`
	// Reclaim gives a reclaim notice to the reclaimable endpoints of a failure domain.
	Reclaim *ReclaimRequest `json:"reclaim,omitempty"`
	// ReclaimableAvailable sets by pool whether reclaimable endpoints can be ordered.
	ReclaimableAvailable map[string]bool `json:"reclaimable_available,omitempty"`
	// EndpointStates sets the state of single endpoints.
	EndpointStates []EndpointStateRequest `json:"endpoint_states,omitempty"`
	// CallRate replaces the rate limit, in calls per second; the burst is scaled in proportion.
	CallRate *float64 `json:"call_rate,omitempty"`
}

// ReclaimRequest names a failure domain and the notice period in milliseconds.
type ReclaimRequest struct {
	FailureDomain string `json:"failure_domain"`
	NoticeMS      int64  `json:"notice_ms"`
}

// EndpointStateRequest sets the state of one endpoint, and its address if Addr is not empty.
type EndpointStateRequest struct {
	Pool     string                 `json:"pool"`
	Endpoint string                 `json:"endpoint"`
	State    apitypes.EndpointState `json:"state"`
	Addr     string                 `json:"addr,omitempty"`
}

// FaultResponse is the response body of GET /fault.
type FaultResponse struct {
	Reports  map[string]apitypes.UsageWindow `json:"reports"`
	Arrivals []Arrival                       `json:"arrivals"`
	Calls    memplatform.Calls               `json:"calls"`
}

// platformServer serves a memplatform.Platform over HTTP.
type platformServer struct {
	mem     *memplatform.Platform
	limiter *rate.Limiter

	mu       sync.Mutex
	arrivals []Arrival
}

// NewPlatform returns a handler that serves mem over the platform's HTTP API and, for tests, /fault: GET returns a FaultResponse with the
// accepted reports, the arrivals and the call counts, and POST applies a FaultRequest. Calls to /fault are not rate limited.
func NewPlatform(mem *memplatform.Platform) http.Handler {
	s := &platformServer{mem: mem, limiter: rate.NewLimiter(defaultCallRate, callBurst)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fault", s.getFault)
	mux.HandleFunc("POST /fault", s.postFault)
	for pattern, handler := range map[string]http.HandlerFunc{
		"GET /objects/{kind}/{name}":    s.getObject,
		"GET /objects/{kind}":           s.listObjects,
		"PUT /objects/{kind}/{name}":    s.putObject,
		"DELETE /objects/{kind}/{name}": s.deleteObject,
		"GET /watch":                    s.watch,
		"GET /vms":                      s.getVMs,
		"GET /provider/endpoints":       s.getEndpoints,
		"POST /provider/orders":         s.postOrder,
		"POST /usage/windows/{id}":      s.postWindow,
	} {
		mux.HandleFunc(pattern, s.rateLimited(handler))
	}
	return mux
}

// rateLimited wraps a handler: it rejects calls above the rate limit with 429 and limits the size of the body.
func (s *platformServer) rateLimited(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.limiter.Allow() {
			writePlatformError(w, objectstore.ErrThrottled)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		next(w, r)
	}
}

func (s *platformServer) getObject(w http.ResponseWriter, r *http.Request) {
	o, err := s.mem.Get(r.Context(), r.PathValue("kind"), r.PathValue("name"))
	if err != nil {
		writePlatformError(w, err)
		return
	}
	w.Header().Set("ETag", entityTag(o.Version))
	writeOK(w, o)
}

func (s *platformServer) listObjects(w http.ResponseWriter, r *http.Request) {
	items, revision, err := s.mem.List(r.Context(), r.PathValue("kind"))
	if err != nil {
		writePlatformError(w, err)
		return
	}
	if items == nil {
		items = []apitypes.Object{}
	}
	writeOK(w, map[string]any{"revision": revision, "items": items})
}

func (s *platformServer) putObject(w http.ResponseWriter, r *http.Request) {
	expected, err := expectedVersion(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		writeBodyError(w, err)
		return
	}
	if len(data) <= objectstore.MaxValueBytes && !json.Valid(data) {
		http.Error(w, "body is not JSON; send the object's data as JSON", http.StatusBadRequest)
		return
	}
	version, err := s.mem.Put(r.Context(), r.PathValue("kind"), r.PathValue("name"), data, expected)
	if err != nil {
		writePlatformError(w, err)
		return
	}
	w.Header().Set("ETag", entityTag(version))
	writeOK(w, map[string]uint64{"version": version})
}

func (s *platformServer) deleteObject(w http.ResponseWriter, r *http.Request) {
	expected, err := expectedVersion(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.mem.Delete(r.Context(), r.PathValue("kind"), r.PathValue("name"), expected); err != nil {
		writePlatformError(w, err)
		return
	}
	writeOK(w, struct{}{})
}

// watch streams events as JSON lines. The status is sent with the first event or bookmark, so that a watch that starts before the
// oldest retained revision can still be rejected with 410.
func (s *platformServer) watch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not a revision; use the revision of a list response", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	events := make(chan apitypes.Event)
	watchErr := make(chan error, 1)
	go func() {
		watchErr <- s.mem.Watch(ctx, strings.Split(r.URL.Query().Get("kinds"), ","), from, func(e apitypes.Event) error {
			select {
			case events <- e:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	}()
	s.streamEvents(w, from, events, watchErr)
}

// streamEvents writes events and periodic bookmarks until the watch ends or the client disconnects.
func (s *platformServer) streamEvents(w http.ResponseWriter, revision uint64, events <-chan apitypes.Event, watchErr <-chan error) {
	// A watch that is rejected at once ends within this time. After it, a first bookmark sends the header, which tells the client that the watch is
	// established.
	headerDelay := time.NewTimer(20 * time.Millisecond)
	defer headerDelay.Stop()
	bookmarks := time.NewTicker(bookmarkInterval)
	defer bookmarks.Stop()
	headerSent := false
	for {
		e := apitypes.Event{Type: apitypes.EventBookmark}
		select {
		case err := <-watchErr:
			if !headerSent {
				writePlatformError(w, err)
			}
			return
		case e = <-events:
			revision = e.Revision
		case <-headerDelay.C:
		case <-bookmarks.C:
		}
		e.Revision = revision
		headerSent = true
		if json.NewEncoder(w).Encode(e) != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

func (s *platformServer) getVMs(w http.ResponseWriter, r *http.Request) {
	vms, err := s.mem.ListVMs(r.Context())
	if err != nil {
		writePlatformError(w, err)
		return
	}
	if vms == nil {
		vms = []apitypes.VM{}
	}
	body, err := json.Marshal(map[string]any{"vms": vms})
	if err != nil {
		writePlatformError(w, err)
		return
	}
	w.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16)))
	writeIfModified(w, r, json.RawMessage(body))
}

// writeIfModified responds with 304 if the request's If-None-Match equals the ETag already set on w, and with the body otherwise.
func writeIfModified(w http.ResponseWriter, r *http.Request, body any) {
	if tag := w.Header().Get("ETag"); r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeOK(w, body)
}

func (s *platformServer) getEndpoints(w http.ResponseWriter, r *http.Request) {
	pool := r.URL.Query().Get("pool")
	if pool == "" {
		http.Error(w, "query parameter pool is missing; add ?pool=<name>", http.StatusBadRequest)
		return
	}
	view, err := s.mem.Endpoints(r.Context(), pool)
	if err != nil {
		writePlatformError(w, err)
		return
	}
	writeProviderView(w, r, view)
}

func (s *platformServer) postOrder(w http.ResponseWriter, r *http.Request) {
	var body struct {
		apitypes.Order
		Pool string `json:"pool"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeBodyError(w, err)
		return
	}
	expected, err := expectedVersion(r)
	if err != nil || body.ID == "" || body.Pool == "" {
		http.Error(w, "id, pool or If-Match is missing; send all three", http.StatusBadRequest)
		return
	}
	view, err := s.mem.PlaceOrder(r.Context(), body.Pool, body.Order, expected)
	s.recordArrival(Arrival{Kind: ArrivalOrder, Pool: body.Pool, Order: &body.Order, Status: httpStatus(err)})
	if err != nil {
		writePlatformError(w, err)
		return
	}
	writeProviderView(w, r, view)
}

func (s *platformServer) postWindow(w http.ResponseWriter, r *http.Request) {
	var window apitypes.UsageWindow
	if err := json.NewDecoder(r.Body).Decode(&window); err != nil {
		writeBodyError(w, err)
		return
	}
	if window.ID != r.PathValue("id") {
		http.Error(w, "window id in the body differs from the id in the path; send the same id", http.StatusBadRequest)
		return
	}
	err := s.mem.ReportWindow(r.Context(), window)
	s.recordArrival(Arrival{Kind: ArrivalReport, Report: &window, Status: httpStatus(err)})
	if errors.Is(err, objectstore.ErrConflict) {
		http.Error(w, "usage window was already reported with different figures; report the sealed figures", http.StatusConflict)
		return
	}
	if err != nil {
		writePlatformError(w, err)
		return
	}
	writeOK(w, struct{}{})
}

// recordArrival appends a to the log with the current time.
func (s *platformServer) recordArrival(a Arrival) {
	a.At = time.Now().UnixNano()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, a)
}

func (s *platformServer) getFault(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	arrivals := slices.Clone(s.arrivals)
	s.mu.Unlock()
	writeOK(w, FaultResponse{Reports: s.mem.Reports(), Arrivals: arrivals, Calls: s.mem.Calls()})
}

func (s *platformServer) postFault(w http.ResponseWriter, r *http.Request) {
	var f FaultRequest
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeBodyError(w, err)
		return
	}
	if f.Faults != nil {
		s.mem.SetFaults(*f.Faults)
	}
	if f.VMs != nil {
		s.mem.SetVMs(f.VMs)
	}
	for pool, endpoints := range f.Endpoints {
		s.mem.SetEndpoints(pool, endpoints)
	}
	for pool, available := range f.ReclaimableAvailable {
		s.mem.SetReclaimableAvailable(pool, available)
	}
	for _, e := range f.EndpointStates {
		s.mem.SetEndpointState(e.Pool, e.Endpoint, e.State, e.Addr)
	}
	if f.Reclaim != nil {
		s.mem.Reclaim(f.Reclaim.FailureDomain, time.Duration(f.Reclaim.NoticeMS)*time.Millisecond)
	}
	if f.CallRate != nil {
		s.limiter.SetLimit(rate.Limit(*f.CallRate))
		s.limiter.SetBurst(max(1, int(*f.CallRate/defaultCallRate*callBurst)))
	}
	writeOK(w, struct{}{})
}

// expectedVersion returns the version that a write requires: that of If-Match, or 0 for If-None-Match: *.
func expectedVersion(r *http.Request) (uint64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	version, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		return 0, errors.New(`precondition is missing; send If-Match: "<version>" or If-None-Match: *`)
	}
	return version, nil
}

// entityTag returns the ETag of a version.
func entityTag(version uint64) string { return fmt.Sprintf("%q", strconv.FormatUint(version, 10)) }

// writeOK responds with 200 and body as JSON.
func writeOK(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // The client may have disconnected.
}

// writeProviderView responds with a view, or with 304 if the client has this version.
func writeProviderView(w http.ResponseWriter, r *http.Request, view objectstore.ProviderView) {
	w.Header().Set("ETag", entityTag(view.Version))
	if view.Endpoints == nil {
		view.Endpoints = []apitypes.Endpoint{}
	}
	writeIfModified(w, r, map[string]any{"version": view.Version, "endpoints": view.Endpoints})
}

// httpStatus returns the HTTP status for an error of the platform, 503 for an unknown one.
func httpStatus(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case errors.Is(err, objectstore.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, objectstore.ErrConflict):
		return http.StatusPreconditionFailed
	case errors.Is(err, objectstore.ErrCompacted):
		return http.StatusGone
	case errors.Is(err, objectstore.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, objectstore.ErrThrottled):
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// writePlatformError responds with an error of the platform.
func writePlatformError(w http.ResponseWriter, err error) {
	status := httpStatus(err)
	if status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", "1")
	}
	http.Error(w, err.Error(), status)
}

// writeBodyError responds to a body that can't be read or decoded: 413 if it is above the size limit, 400 otherwise.
func writeBodyError(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writePlatformError(w, objectstore.ErrTooLarge)
		return
	}
	http.Error(w, "decode request body: "+err.Error(), http.StatusBadRequest)
}
