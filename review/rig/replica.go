//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// behaviour is how a replica handles a request that it runs.
type behaviour struct {
	// delay is the time of a run, or before the first event of a stream; events and gap are the number of its events and the pause
	// between them.
	delay  time.Duration
	events int
	gap    time.Duration
	// failStatus is the status with which the replica answers after it has run the request; 0 means that it succeeds.
	failStatus int
	// noLength makes a stream have neither a length nor chunks, so that it ends with its connection. breakOff ends it inside its
	// breakOffEvent.
	noLength, breakOff bool
}

// breakOffEvent is the event inside which a replica breaks off a stream.
const breakOffEvent = 3

// run is one run of a request. status is that of the replica's answer, complete is true once the answer was sent whole.
type run struct {
	id, replica string
	started     time.Time
	ended       time.Time
	status      int
	complete    bool
}

// replica is a stand-in for a replica of a plain service or, if it has a stage, for a model engine, without any trouble of its own. It
// accepts all requests that name it, and runs them with the behaviour of the moment.
type replica struct {
	rec                      *record
	id, service, zone, stage string
	born                     int64
	listener                 net.Listener
	server                   *http.Server

	mu       sync.Mutex
	running  int
	next     func(r *http.Request) behaviour
	runsByID map[string]*run
}

const slots = 128

func newReplica(rec *record, id, service, zone, stage string) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{rec: rec, id: id, service: service, zone: zone, stage: stage, born: time.Now().Add(-time.Minute).UnixMilli(), listener: l,
		next: func(*http.Request) behaviour { return behaviour{delay: 30 * time.Millisecond} }, runsByID: make(map[string]*run)}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }() // returns when the server is closed
	return r, nil
}

func (r *replica) close() { _ = r.server.Close() }

// entry returns the replica's entry in the store.
func (r *replica) entry(state string) map[string]any {
	e := map[string]any{"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": "v1", "slots": slots,
		"state": state, "cold_remaining_ms": 0, "sequence": 1, "born": r.born}
	if r.stage != "" {
		e["stage"], e["models"] = r.stage, []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	return e
}

// behave sets the behaviour for requests that arrive from now on.
func (r *replica) behave(next func(*http.Request) behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next = next
}

// runOf returns a copy of the run of a request, and false if the replica has not run it.
func (r *replica) runOf(id string) (run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if found := r.runsByID[id]; found != nil {
		return *found, true
	}
	return run{}, false
}

// ServeHTTP implements the replica's protocol.
func (r *replica) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	switch hr.URL.Path {
	case "/health":
		w.Header().Set("X-Instance-Id", r.id)
		return
	case "/-/report":
		fmt.Fprintf(w, `{"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kv_used":0,"kv_total":978044,"handles":0,"born":%d}`, r.stage, r.born)
		return
	case "/-/kv-list":
		fmt.Fprint(w, `{"epoch":1,"next_page_token":0,"held":[]}`)
		return
	}
	id := hr.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if target := hr.Header.Get("X-Target-Instance"); target != "" && target != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, hr.Body); err != nil {
		return // the request didn't arrive whole
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.runRequest(w, hr, id)
}

// runRequest runs a request until it is answered, its deadline passes or its connection closes.
func (r *replica) runRequest(w http.ResponseWriter, hr *http.Request, id string) {
	r.mu.Lock()
	b := r.next(hr)
	r.running++
	load := r.running
	entry := &run{id: id, replica: r.id, started: time.Now(), status: http.StatusOK}
	r.runsByID[id] = entry
	r.mu.Unlock()
	r.rec.add("%s runs %s (deadline %s ms)", r.id, id, hr.Header.Get("X-Request-Deadline"))
	w.Header().Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", load, slots))
	w.Header().Set("X-Response-Signature", "3e1b.07."+id)
	status, complete := r.answer(w, hr, b)
	r.mu.Lock()
	r.running--
	entry.ended, entry.status, entry.complete = time.Now(), status, complete
	r.mu.Unlock()
	outcome := fmt.Sprintf("answered %d", status)
	if !complete {
		outcome = "its connection was closed"
	}
	r.rec.add("%s ends the run of %s: %s", r.id, id, outcome)
}

// answer sends the answer to a request. It returns its status, and whether it was sent whole.
func (r *replica) answer(w http.ResponseWriter, hr *http.Request, b behaviour) (status int, complete bool) {
	if !pause(hr, b.delay) {
		return http.StatusOK, false
	}
	if b.failStatus != 0 {
		w.WriteHeader(b.failStatus)
		return b.failStatus, true
	}
	if b.events == 0 {
		fmt.Fprintf(w, "%s done by %s", hr.Header.Get("X-Request-Id"), r.id)
		return http.StatusOK, true
	}
	w.Header().Set("Content-Type", "text/event-stream")
	if b.noLength {
		return http.StatusOK, streamWithoutLength(w, b)
	}
	after, _ := strconv.Atoi(hr.Header.Get("Last-Event-Id")) // 0 without the header
	for n := after + 1; n <= b.events; n++ {
		if n > after+1 && !pause(hr, b.gap) {
			return http.StatusOK, false
		}
		fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n)
		if http.NewResponseController(w).Flush() != nil {
			return http.StatusOK, false
		}
	}
	return http.StatusOK, true
}

// wholeStream returns the bytes of a stream.
func wholeStream(events int) string {
	var all strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&all, "id: %d\ndata: token %d\n\n", n, n)
	}
	return all.String()
}

// streamWithoutLength sends a stream that ends with its connection, and returns whether it was sent whole.
func streamWithoutLength(w http.ResponseWriter, b behaviour) bool {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	body := wholeStream(b.events)
	if b.breakOff {
		body = body[:len(wholeStream(breakOffEvent))-len("oken 3\n\n")]
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n") // the client may have left, here and below
	_ = w.Header().Write(conn)
	_, _ = io.WriteString(conn, "\r\n"+body)
	return !b.breakOff
}

// pause waits for d. It returns false as soon as the connection closes.
func pause(hr *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-hr.Context().Done():
		return false
	}
}
