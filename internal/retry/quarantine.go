package retry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// deathsToQuarantine is the number of endpoints that may die under a request.
	deathsToQuarantine = 2
	// sameDeath is the time within which two reports of the same endpoint are one death. A restarted endpoint takes longer
	// than this until it runs requests again.
	sameDeath = 5 * time.Second
	// maxEntries bounds the remembered requests. When it is reached, the entry that expires first goes, requests with a
	// single death before quarantined ones.
	maxEntries = 8192
)

// Quarantine remembers requests that crashed endpoints. Its methods may be called concurrently.
type Quarantine struct {
	mu      sync.Mutex
	ttl     time.Duration
	records map[uint64]*record
	onAdd   func(told bool)
}

// record is what is known of one request that crashed an endpoint.
type record struct {
	deaths  []death // at most deathsToQuarantine
	expires time.Time
	blocked bool
}

type death struct {
	endpoint string
	at       time.Time
}

// NewQuarantine returns an empty quarantine whose entries last for ttl.
func NewQuarantine(ttl time.Duration) *Quarantine {
	return &Quarantine{ttl: ttl, records: make(map[uint64]*record), onAdd: func(bool) {}}
}

// OnAdd registers a function that is called when a request is newly quarantined. told is true when a neighbour's message was the
// cause. Register before use. The function must not call the quarantine.
func (q *Quarantine) OnAdd(f func(told bool)) { q.onAdd = f }

// Fingerprint returns the hash of team, route and body that identifies a request.
func Fingerprint(team, route string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a Digest never fail.
	_, _ = d.WriteString(team)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(route)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// Blocked tells whether a request may not run.
func (q *Quarantine) Blocked(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.live(fingerprint, time.Now())
	return r != nil && r.blocked
}

// HasCrashRecord tells whether an endpoint died under the request. Before a gateway answers the caller of such a request or tries
// it again, it tells its neighbours of the death: the caller may repeat the request elsewhere at once.
func (q *Quarantine) HasCrashRecord(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.live(fingerprint, time.Now()) != nil
}

// RecordCrash records that an endpoint died while it ran a request and tells whether the request is quarantined now.
func (q *Quarantine) RecordCrash(fingerprint uint64, endpoint string) bool {
	return q.death(fingerprint, endpoint, false)
}

// RecordPeerCrash records a death that a neighbour reports.
func (q *Quarantine) RecordPeerCrash(fingerprint uint64, endpoint string) {
	q.death(fingerprint, endpoint, true)
}

func (q *Quarantine) death(fingerprint uint64, endpoint string, told bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	r := q.entry(fingerprint, now)
	r.expires = later(r.expires, now.Add(q.ttl))
	for _, d := range r.deaths {
		if d.endpoint == endpoint && now.Sub(d.at) < sameDeath {
			return r.blocked
		}
	}
	if len(r.deaths) < deathsToQuarantine {
		r.deaths = append(r.deaths, death{endpoint, now})
	}
	if len(r.deaths) >= deathsToQuarantine {
		q.block(r, told)
	}
	return r.blocked
}

// Clear forgets the death of a request that has run whole since: a request that crashes endpoints never does. A quarantined request
// stays quarantined.
func (q *Quarantine) Clear(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r := q.records[fingerprint]; r != nil && !r.blocked {
		delete(q.records, fingerprint)
	}
}

func (q *Quarantine) block(r *record, told bool) {
	if !r.blocked {
		r.blocked = true
		q.onAdd(told)
	}
}

// Add quarantines a request for the given time, as reported by a neighbour. The time is bounded by the quarantine's own.
func (q *Quarantine) Add(fingerprint uint64, remaining time.Duration) {
	if remaining <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	r := q.entry(fingerprint, now)
	q.block(r, true)
	r.expires = later(r.expires, now.Add(min(remaining, q.ttl)))
}

// Entries returns the quarantined requests with their remaining time.
func (q *Quarantine) Entries() map[uint64]time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	out := make(map[uint64]time.Duration)
	for fingerprint, r := range q.records {
		if r.blocked && now.Before(r.expires) {
			out[fingerprint] = r.expires.Sub(now)
		}
	}
	return out
}

// live returns the record of a request unless there is none or it has expired.
func (q *Quarantine) live(fingerprint uint64, now time.Time) *record {
	r := q.records[fingerprint]
	if r == nil || !now.Before(r.expires) {
		return nil
	}
	return r
}

// entry returns the live record of a request, or a new one in the place of an expired or the least useful one.
func (q *Quarantine) entry(fingerprint uint64, now time.Time) *record {
	if r := q.live(fingerprint, now); r != nil {
		return r
	}
	delete(q.records, fingerprint)
	if len(q.records) >= maxEntries {
		q.makeRoom(now)
	}
	r := &record{}
	q.records[fingerprint] = r
	return r
}

func (q *Quarantine) makeRoom(now time.Time) {
	var victim uint64
	var worst *record
	for fingerprint, r := range q.records {
		if !now.Before(r.expires) {
			delete(q.records, fingerprint)
			continue
		}
		if worst == nil || worst.blocked && !r.blocked || worst.blocked == r.blocked && r.expires.Before(worst.expires) {
			victim, worst = fingerprint, r
		}
	}
	if len(q.records) >= maxEntries {
		delete(q.records, victim)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
