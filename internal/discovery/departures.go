package discovery

import (
	"cmp"
	"slices"
	"time"

	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/objectstore"
)

const (
	// departureReportTime is how long a VM tells the others of an endpoint that left. Each status message repeats it.
	departureReportTime = 3 * time.Second
	// departureMemory is how long a departure counts against entries that are older than it. It is longer than a list can be out of date.
	departureMemory = 10 * time.Second
	// maxDepartures bounds a report; the newest departures are reported.
	maxDepartures = 256
)

// Departure says that the entry of an endpoint was marked as draining or deleted at a revision of the store.
//
// A start of an endpoint that reported that it drains doesn't serve again. One whose entry was deleted may register again.
type Departure struct {
	Endpoint string
	Revision uint64
	// StartedAtMS distinguishes the starts of the endpoint. Drains is true if the endpoint reported that it drains.
	StartedAtMS int64
	Drains      bool
}

// departure is what a registry knows of a Departure.
type departure struct {
	Departure
	// learnedAt is when the registry learned of it last; own is true if from entries rather than from another VM.
	learnedAt bootclock.Instant
	own       bool
}

// recordDepartureLocked records that an endpoint left according to the entries.
func (r *Registry) recordDepartureLocked(name string, e *catalog.Endpoint, revision uint64) {
	r.pruneDeparturesLocked()
	r.addDepartureLocked(departure{Departure{name, revision, e.StartedAtMS, e.Draining}, bootclock.Now(), true})
}

// keepDeparturesLocked keeps what is known of departures when the store has come back from a copy, in which the endpoints may not have left yet.
func (r *Registry) keepDeparturesLocked() {
	r.pruneDeparturesLocked()
	for name, d := range r.departures {
		d.learnedAt = bootclock.Now()
		r.departures[name] = d
	}
	for name, e := range r.endpoints {
		if e.Draining {
			r.recordDepartureLocked(name, &e, r.versions[name])
		}
	}
}

// addDepartureLocked adds a departure unless a newer one is known, or the same one from entries.
func (r *Registry) addDepartureLocked(d departure) {
	known, ok := r.departures[d.Endpoint]
	if ok && (known.Revision > d.Revision || known.Revision == d.Revision && known.own) {
		return
	}
	if r.departures == nil {
		r.departures = make(map[string]departure)
	}
	r.departures[d.Endpoint] = d
}

// hasLeftLocked reports whether an endpoint has left since its entry was written.
func (r *Registry) hasLeftLocked(name string) bool {
	d, ok := r.departures[name]
	if !ok || bootclock.Since(d.learnedAt) >= departureMemory {
		return false
	}
	version, listed := r.versions[name]
	if !listed || objectstore.SameEra(d.Revision, version) {
		return d.Revision >= version
	}
	// The entry of a later era may be one of before the departure, from a copy.
	return d.Revision > version || r.endpoints[name].StartedAtMS == d.StartedAtMS && (d.Drains || !r.written[name])
}

// pruneDeparturesLocked forgets old departures.
func (r *Registry) pruneDeparturesLocked() {
	for name, d := range r.departures {
		if bootclock.Since(d.learnedAt) > departureMemory {
			delete(r.departures, name)
		}
	}
}

// Departures returns the endpoints whose departure this VM learned of from entries in the last departureReportTime, for other VMs whose
// entries may be older.
func (r *Registry) Departures() []Departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Departure
	for _, d := range r.departures {
		if d.own && bootclock.Since(d.learnedAt) < departureReportTime {
			list = append(list, d.Departure)
		}
	}
	slices.SortFunc(list, func(a, b Departure) int {
		return cmp.Or(cmp.Compare(b.Revision, a.Revision), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return list[:min(len(list), maxDepartures)]
}

// MergeDepartures applies what another VM has reported: an endpoint whose entry here is older than its departure gets no new work.
func (r *Registry) MergeDepartures(list []Departure) {
	r.mu.Lock()
	r.pruneDeparturesLocked()
	changed := false
	for _, d := range list {
		had := r.hasLeftLocked(d.Endpoint)
		r.addDepartureLocked(departure{Departure: d, learnedAt: bootclock.Now()})
		_, listed := r.endpoints[d.Endpoint]
		if _, expired := r.expired[d.Endpoint]; (listed || expired) && !had && r.hasLeftLocked(d.Endpoint) {
			r.Log.Info().Str("endpoint", d.Endpoint).Stringer("revision", objectstore.Revision(d.Revision)).Msg("endpoint left, reported by another VM")
			changed = true
		}
	}
	if !changed {
		r.mu.Unlock()
		return
	}
	r.publishLocked()
}
