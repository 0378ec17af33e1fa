// Package retry bounds retries and stops requests that crash endpoints.
package retry

import "time"

// Budget bounds retries to a share of first tries, per pool. Its methods may be called concurrently.
type Budget struct{}

// NewBudget returns a budget that allows ratio retries for each first try.
func NewBudget(ratio float64) *Budget { return &Budget{} }

// First records a first try at a pool.
func (b *Budget) First(pool string) {}

// Allow takes one retry from the pool's budget and tells whether there was one.
func (b *Budget) Allow(pool string) bool { return true }

// Quarantine remembers requests that crashed endpoints. Its methods may be called concurrently.
type Quarantine struct{}

// NewQuarantine returns an empty quarantine whose entries last for ttl.
func NewQuarantine(ttl time.Duration) *Quarantine { return &Quarantine{} }

// Fingerprint returns the hash of team, route and body that identifies a request.
func Fingerprint(team, route string, body []byte) uint64 { return 0 }

// Blocked tells whether a request may not run.
func (q *Quarantine) Blocked(fingerprint uint64) bool { return false }

// Death records that an endpoint died while it ran a request and tells whether the request is quarantined now.
// Deaths that neighbours report are recorded by the same call.
func (q *Quarantine) Death(fingerprint uint64, endpoint string) bool { return false }

// Add quarantines a request for the given time, as reported by a neighbour.
func (q *Quarantine) Add(fingerprint uint64, remaining time.Duration) {}

// Entries returns the quarantined requests with their remaining time.
func (q *Quarantine) Entries() map[uint64]time.Duration { return nil }
