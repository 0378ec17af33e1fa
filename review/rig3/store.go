package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// copyOf is the state of the store at one moment.
type copyOf struct {
	revision uint64
	objects  map[string]map[string]object
	events   []event
}

// store is a stand-in for the platform's store, as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
	// away makes all calls fail with 503.
	away bool
	era  int
	rec  *record
}

func newStore(rec *record) *store {
	return &store{revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{}), era: 1, rec: rec}
}

func (s *store) start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go http.Serve(l, s)
	return nil
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object. A write that changes nothing does not increase the revision.
func (s *store) put(kind, name string, spec json.RawMessage) object {
	if old, ok := s.objects[kind][name]; ok && bytes.Equal(old.Specification, spec) {
		return old
	}
	s.revision++
	o := object{Specification: spec}
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.events = append(s.events, event{Object: o, kind: kind})
	s.notify()
	return o
}

func (s *store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Metadata.Revision = s.revision
	s.events = append(s.events, event{Object: o, Deleted: true, kind: kind})
	s.notify()
}

// set writes an object as the operator or a replica does, and returns its revision.
func (s *store) set(kind, name string, spec any) uint64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, raw).Metadata.Revision
}

func (s *store) get(kind, name string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok
}

// backup returns a copy of the store.
func (s *store) backup() copyOf {
	s.mu.Lock()
	defer s.mu.Unlock()
	return copyOf{s.revision, cloneObjects(s.objects), append([]event(nil), s.events...)}
}

func cloneObjects(in map[string]map[string]object) map[string]map[string]object {
	out := map[string]map[string]object{}
	for kind, byName := range in {
		out[kind] = map[string]object{}
		for name, o := range byName {
			out[kind][name] = o
		}
	}
	return out
}

func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.notify()
}

// restore makes the store come back from a copy. What the operator and the replicas wrote since is written again at once.
func (s *store) restore(c copyOf) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, lost := s.objects, s.revision
	s.revision, s.objects, s.events = c.revision, cloneObjects(c.objects), append([]event(nil), c.events...)
	s.era++
	s.away = false
	for _, kind := range []string{"config", "servers"} {
		var names []string
		for name := range before[kind] {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			s.put(kind, name, before[kind][name].Specification)
		}
		for name := range c.objects[kind] {
			if _, ok := before[kind][name]; !ok {
				s.remove(kind, name)
			}
		}
	}
	s.rec.log("store: back from a copy; revision was %d, that of the copy is %d, now %d; era %d", lost, c.revision, s.revision, s.era)
	s.notify()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	away := s.away
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.mu.Lock()
		items := []object{}
		for _, o := range s.objects[kind] {
			items = append(items, o)
		}
		at := s.revision
		s.mu.Unlock()
		sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
		reply(w, http.StatusOK, map[string]any{"items": items, "truncated": false, "at": at})
	case r.Method == http.MethodGet:
		if o, ok := s.get(kind, name); ok {
			reply(w, http.StatusOK, o)
			return
		}
		w.WriteHeader(http.StatusNotFound)
	default:
		s.write(w, r, kind, name)
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		changed, at, cut, unknown := s.changed, s.revision, s.away || s.era != era, after > s.revision
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		switch {
		case cut: // a watch that waits is cut off when the store goes away
			panic(http.ErrAbortHandler)
		case unknown:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if r.Method != http.MethodDelete {
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if name == "" {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[kind][name]
	expected := in.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		expected, _ = strconv.ParseUint(q, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && exists, expected != 0 && (!exists || current.Metadata.Revision != expected):
		reply(w, http.StatusConflict, current)
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		reply(w, http.StatusOK, current)
	default:
		if kind == "lease" {
			s.rec.log("store: %s/%s revision %d -> %d: %s", kind, name, expected, s.revision+1, in.Specification)
		}
		reply(w, http.StatusOK, s.put(kind, name, in.Specification))
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}
