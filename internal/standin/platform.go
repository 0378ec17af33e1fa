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
	// defaultCallRate is the platform's limit in calls per second, reads and writes together. The platform that the
	// design assumes takes several hundred writes and about two thousand reads a second.
	defaultCallRate = 2500
	// callBurst is the number of calls that may arrive at once.
	callBurst = 500
	// bookmarkEvery is the interval between bookmarks on an idle watch.
	bookmarkEvery = time.Second
	// maxRequestBytes bounds a request body; it leaves room above objectstore.MaxValueBytes so that a value that is too
	// large is recognised instead of cut.
	maxRequestBytes = objectstore.MaxValueBytes + 64<<10
)

// ArrivalKind tells orders from usage reports in the arrival log.
type ArrivalKind string

const (
	ArrivalOrder  ArrivalKind = "order"
	ArrivalReport ArrivalKind = "report"
)

// Arrival is one order or usage report that reached the stand-in, whether or not it was accepted.
type Arrival struct {
	Kind   ArrivalKind           `json:"kind"`
	Pool   string                `json:"pool,omitempty"`
	Order  *apitypes.Order       `json:"order,omitempty"`
	Report *apitypes.UsageWindow `json:"report,omitempty"`
	// Status is the HTTP status of the answer; 503 also stands for an answer that was lost after it took effect.
	Status int `json:"status"`
	// At is the time of arrival in Unix nanoseconds.
	At int64 `json:"at"`
}

// FaultRequest is the body of POST /fault. Each present field is applied; absent fields change nothing.
type FaultRequest struct {
	Faults    *memplatform.Faults            `json:"faults,omitempty"`
	VMs       []apitypes.VM                  `json:"vms,omitempty"`
	Endpoints map[string][]apitypes.Endpoint `json:"endpoints,omitempty"`
	// Reclaim gives notice to the reclaimable endpoints of a failure domain.
	Reclaim *ReclaimRequest `json:"reclaim,omitempty"`
	// ReclaimableAvailable says, per pool, whether reclaimable endpoints can be ordered.
	ReclaimableAvailable map[string]bool `json:"reclaimable_available,omitempty"`
	// EndpointStates moves single endpoints on.
	EndpointStates []EndpointStateRequest `json:"endpoint_states,omitempty"`
	// CallRate replaces the limit of calls per second.
	CallRate *float64 `json:"call_rate,omitempty"`
}

// ReclaimRequest names a failure domain and the notice in milliseconds.
type ReclaimRequest struct {
	FailureDomain string `json:"failure_domain"`
	NoticeMS      int64  `json:"notice_ms"`
}

// EndpointStateRequest sets the state and, when Addr is not empty, the address of one endpoint.
type EndpointStateRequest struct {
	Pool     string                 `json:"pool"`
	Endpoint string                 `json:"endpoint"`
	State    apitypes.EndpointState `json:"state"`
	Addr     string                 `json:"addr,omitempty"`
}

// FaultResponse is the answer of GET /fault.
type FaultResponse struct {
	Reports  map[string]apitypes.UsageWindow `json:"reports"`
	Arrivals []Arrival                       `json:"arrivals"`
	Calls    memplatform.Calls               `json:"calls"`
}

// platformServer serves a memplatform over HTTP.
type platformServer struct {
	mem     *memplatform.Platform
	limiter *rate.Limiter

	mu       sync.Mutex
	arrivals []Arrival
}

// NewPlatform returns a handler that serves mem by the platform protocol, plus /fault for tests: GET lists accepted
// reports, arrivals and calls; POST applies a FaultRequest.
func NewPlatform(mem *memplatform.Platform) http.Handler {
	s := &platformServer{mem: mem, limiter: rate.NewLimiter(defaultCallRate, callBurst)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fault", s.getFault)
	mux.HandleFunc("POST /fault", s.postFault)
	for pattern, handle := range map[string]http.HandlerFunc{
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
		mux.HandleFunc(pattern, s.limited(handle))
	}
	return mux
}

// limited refuses calls above the rate limit.
func (s *platformServer) limited(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.limiter.Allow() {
			refuse(w, objectstore.ErrThrottled)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		next(w, r)
	}
}

func (s *platformServer) getObject(w http.ResponseWriter, r *http.Request) {
	o, err := s.mem.Get(r.Context(), r.PathValue("kind"), r.PathValue("name"))
	if err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("ETag", quoted(o.Version))
	answer(w, o)
}

func (s *platformServer) listObjects(w http.ResponseWriter, r *http.Request) {
	items, revision, err := s.mem.List(r.Context(), r.PathValue("kind"))
	if err != nil {
		refuse(w, err)
		return
	}
	if items == nil {
		items = []apitypes.Object{}
	}
	answer(w, map[string]any{"revision": revision, "items": items})
}

func (s *platformServer) putObject(w http.ResponseWriter, r *http.Request) {
	expected, err := expectedVersion(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		refuseBody(w, err)
		return
	}
	if len(data) <= objectstore.MaxValueBytes && !json.Valid(data) {
		http.Error(w, "body is not JSON; send the object's data as JSON", http.StatusBadRequest)
		return
	}
	version, err := s.mem.Put(r.Context(), r.PathValue("kind"), r.PathValue("name"), data, expected)
	if err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("ETag", quoted(version))
	answer(w, map[string]uint64{"version": version})
}

func (s *platformServer) deleteObject(w http.ResponseWriter, r *http.Request) {
	expected, err := expectedVersion(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.mem.Delete(r.Context(), r.PathValue("kind"), r.PathValue("name"), expected); err != nil {
		refuse(w, err)
		return
	}
	answer(w, struct{}{})
}

// watch streams events as JSON lines. The status is sent with the first event or bookmark, so that a start before the
// oldest kept revision can still be refused with 410.
func (s *platformServer) watch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not a revision; take it from a list", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	events := make(chan apitypes.Event)
	ended := make(chan error, 1)
	go func() {
		ended <- s.mem.Watch(ctx, strings.Split(r.URL.Query().Get("kinds"), ","), from, func(e apitypes.Event) error {
			select {
			case events <- e:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	}()
	s.streamEvents(w, from, events, ended)
}

func (s *platformServer) streamEvents(w http.ResponseWriter, revision uint64, events <-chan apitypes.Event, ended <-chan error) {
	// A watch that is refused at once ends within this time; later the header must go out, so that the client knows
	// that the watch runs.
	headerDelay := time.NewTimer(20 * time.Millisecond)
	defer headerDelay.Stop()
	bookmarks := time.NewTicker(bookmarkEvery)
	defer bookmarks.Stop()
	started := false
	for {
		e := apitypes.Event{Type: apitypes.EventBookmark}
		select {
		case err := <-ended:
			if !started {
				refuse(w, err)
			}
			return
		case e = <-events:
			revision = e.Revision
		case <-headerDelay.C:
		case <-bookmarks.C:
		}
		e.Revision = revision
		started = true
		if json.NewEncoder(w).Encode(e) != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

func (s *platformServer) getVMs(w http.ResponseWriter, r *http.Request) {
	vms, err := s.mem.ListVMs(r.Context())
	if err != nil {
		refuse(w, err)
		return
	}
	if vms == nil {
		vms = []apitypes.VM{}
	}
	body, err := json.Marshal(map[string]any{"vms": vms})
	if err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16)))
	answerChanged(w, r, json.RawMessage(body))
}

// answerChanged answers 304 when the caller has the answer with this entity tag.
func answerChanged(w http.ResponseWriter, r *http.Request, body any) {
	if tag := w.Header().Get("ETag"); r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	answer(w, body)
}

func (s *platformServer) getEndpoints(w http.ResponseWriter, r *http.Request) {
	pool := r.URL.Query().Get("pool")
	if pool == "" {
		http.Error(w, "the pool is missing; add ?pool=<name>", http.StatusBadRequest)
		return
	}
	view, err := s.mem.Endpoints(r.Context(), pool)
	if err != nil {
		refuse(w, err)
		return
	}
	answerView(w, r, view)
}

func (s *platformServer) postOrder(w http.ResponseWriter, r *http.Request) {
	var body struct {
		apitypes.Order
		Pool string `json:"pool"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		refuseBody(w, err)
		return
	}
	expected, err := expectedVersion(r)
	if err != nil || body.ID == "" || body.Pool == "" {
		http.Error(w, "id, pool or If-Match is missing; send all three", http.StatusBadRequest)
		return
	}
	view, err := s.mem.PlaceOrder(r.Context(), body.Pool, body.Order, expected)
	s.logArrival(Arrival{Kind: ArrivalOrder, Pool: body.Pool, Order: &body.Order, Status: statusOf(err)})
	if err != nil {
		refuse(w, err)
		return
	}
	answerView(w, r, view)
}

func (s *platformServer) postWindow(w http.ResponseWriter, r *http.Request) {
	var window apitypes.UsageWindow
	if err := json.NewDecoder(r.Body).Decode(&window); err != nil {
		refuseBody(w, err)
		return
	}
	if window.ID != r.PathValue("id") {
		http.Error(w, "the id in the body is not the id in the path; send the same id", http.StatusBadRequest)
		return
	}
	err := s.mem.ReportWindow(r.Context(), window)
	s.logArrival(Arrival{Kind: ArrivalReport, Report: &window, Status: statusOf(err)})
	if errors.Is(err, objectstore.ErrConflict) {
		http.Error(w, "the window was reported with other figures; report the sealed figures", http.StatusConflict)
		return
	}
	if err != nil {
		refuse(w, err)
		return
	}
	answer(w, struct{}{})
}

func (s *platformServer) logArrival(a Arrival) {
	a.At = time.Now().UnixNano()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, a)
}

func (s *platformServer) getFault(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	arrivals := slices.Clone(s.arrivals)
	s.mu.Unlock()
	answer(w, FaultResponse{Reports: s.mem.Reports(), Arrivals: arrivals, Calls: s.mem.Calls()})
}

func (s *platformServer) postFault(w http.ResponseWriter, r *http.Request) {
	var f FaultRequest
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		refuseBody(w, err)
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
	answer(w, struct{}{})
}

// expectedVersion reads the precondition of a write; If-None-Match: * stands for version 0.
func expectedVersion(r *http.Request) (uint64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	version, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		return 0, errors.New(`the precondition is missing; send If-Match: "<version>" or If-None-Match: *`)
	}
	return version, nil
}

func quoted(version uint64) string { return fmt.Sprintf("%q", strconv.FormatUint(version, 10)) }

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // A caller that has gone needs no answer.
}

func answerView(w http.ResponseWriter, r *http.Request, view objectstore.ProviderView) {
	w.Header().Set("ETag", quoted(view.Version))
	if view.Endpoints == nil {
		view.Endpoints = []apitypes.Endpoint{}
	}
	answerChanged(w, r, map[string]any{"version": view.Version, "endpoints": view.Endpoints})
}

// statusOf maps a platform error to its HTTP status.
func statusOf(err error) int {
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

func refuse(w http.ResponseWriter, err error) {
	status := statusOf(err)
	if status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", "1")
	}
	http.Error(w, err.Error(), status)
}

// refuseBody answers a body that can't be read: 413 when it is too large, else 400.
func refuseBody(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		refuse(w, objectstore.ErrTooLarge)
		return
	}
	http.Error(w, "body can't be read as JSON: "+err.Error(), http.StatusBadRequest)
}
