package retry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashesToQuarantine is the number of endpoint crashes after which a request is quarantined.
	crashesToQuarantine = 2
	// crashDedupWindow is the time within which two reports for the same endpoint count as one crash. A restarted endpoint takes
	// longer than this before it runs requests again.
	crashDedupWindow = 5 * time.Second
	// maxEntries is the largest number of requests on record. When it is reached, the entry that expires first is evicted; requests
	// with a single crash are evicted before quarantined ones.
	maxEntries = 8192
)

// Quarantine records requests that crashed endpoints, and blocks those that did so repeatedly. It is safe for concurrent use.
type Quarantine struct {
	mu      sync.Mutex
	ttl     time.Duration
	records map[uint64]*crashRecord
	onAdd   func(fromPeer bool)
}

// crashRecord holds the crashes caused by one request.
type crashRecord struct {
	crashes []crash // at most crashesToQuarantine
	expires time.Time
	blocked bool
}

type crash struct {
	endpoint string
	at       time.Time
}

// NewQuarantine returns an empty quarantine whose entries last for ttl.
func NewQuarantine(ttl time.Duration) *Quarantine {
	return &Quarantine{ttl: ttl, records: make(map[uint64]*crashRecord), onAdd: func(bool) {}}
}

// OnAdd registers a function that is called when a request becomes quarantined. fromPeer is true when a peer's message caused it.
// Register before use. The function must not call the quarantine.
func (q *Quarantine) OnAdd(f func(fromPeer bool)) { q.onAdd = f }

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

// Blocked reports whether a request is quarantined and must not run.
func (q *Quarantine) Blocked(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.liveRecord(fingerprint, time.Now())
	return r != nil && r.blocked
}

// HasCrashRecord reports whether the request has crashed an endpoint. A gateway reports the crash to its peers before it responds to the
// caller of such a request or retries it, because the caller may immediately repeat the request at another gateway.
func (q *Quarantine) HasCrashRecord(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.liveRecord(fingerprint, time.Now()) != nil
}

// RecordCrash records that an endpoint crashed while it ran a request. It returns whether the request is quarantined now.
func (q *Quarantine) RecordCrash(fingerprint uint64, endpoint string) bool {
	return q.recordCrash(fingerprint, endpoint, false)
}

// RecordPeerCrash records a crash that a peer reported.
func (q *Quarantine) RecordPeerCrash(fingerprint uint64, endpoint string) {
	q.recordCrash(fingerprint, endpoint, true)
}

func (q *Quarantine) recordCrash(fingerprint uint64, endpoint string, fromPeer bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	r := q.liveOrNewRecord(fingerprint, now)
	r.expires = later(r.expires, now.Add(q.ttl))
	for _, c := range r.crashes {
		if c.endpoint == endpoint && now.Sub(c.at) < crashDedupWindow {
			return r.blocked
		}
	}
	if len(r.crashes) < crashesToQuarantine {
		r.crashes = append(r.crashes, crash{endpoint, now})
	}
	if len(r.crashes) >= crashesToQuarantine {
		q.block(r, fromPeer)
	}
	return r.blocked
}

// Clear deletes the crash record of a request that has since run to completion, because a request that crashes endpoints never completes.
// A quarantined request stays quarantined.
func (q *Quarantine) Clear(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r := q.records[fingerprint]; r != nil && !r.blocked {
		delete(q.records, fingerprint)
	}
}

func (q *Quarantine) block(r *crashRecord, fromPeer bool) {
	if !r.blocked {
		r.blocked = true
		q.onAdd(fromPeer)
	}
}

// Add quarantines a request that a peer reported as quarantined, for the remaining time or the quarantine's ttl, whichever is shorter.
func (q *Quarantine) Add(fingerprint uint64, remaining time.Duration) {
	if remaining <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	r := q.liveOrNewRecord(fingerprint, now)
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

// liveRecord returns the unexpired record of a request, or nil if there is none.
func (q *Quarantine) liveRecord(fingerprint uint64, now time.Time) *crashRecord {
	r := q.records[fingerprint]
	if r == nil || !now.Before(r.expires) {
		return nil
	}
	return r
}

// liveOrNewRecord returns the unexpired record of a request, or adds a new one. It evicts a record if there are too many.
func (q *Quarantine) liveOrNewRecord(fingerprint uint64, now time.Time) *crashRecord {
	if r := q.liveRecord(fingerprint, now); r != nil {
		return r
	}
	delete(q.records, fingerprint)
	if len(q.records) >= maxEntries {
		q.evictRecord(now)
	}
	r := &crashRecord{}
	q.records[fingerprint] = r
	return r
}

// evictRecord deletes all expired records. If there are still too many, it deletes the one that expires first, unblocked ones before
// blocked ones.
func (q *Quarantine) evictRecord(now time.Time) {
	var evictKey uint64
	var evict *crashRecord
	for fingerprint, r := range q.records {
		if !now.Before(r.expires) {
			delete(q.records, fingerprint)
			continue
		}
		if evict == nil || evict.blocked && !r.blocked || evict.blocked == r.blocked && r.expires.Before(evict.expires) {
			evictKey, evict = fingerprint, r
		}
	}
	if len(q.records) >= maxEntries {
		delete(q.records, evictKey)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
