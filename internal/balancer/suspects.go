package balancer

import (
	"slices"
	"time"
)

// isolationLevel is the degree to which a suspect must be separated from other suspects. A suspect, which is a request that was in progress
// at an endpoint when it crashed, runs at an endpoint without other suspects where possible. Otherwise the next crash would count against
// all of them, although only one caused it.
type isolationLevel int

const (
	// isolationNone accepts any endpoint.
	isolationNone isolationLevel = iota
	// isolationLocal accepts endpoints without other suspects of this gateway.
	isolationLocal
	// isolationOwned accepts those of the isolationLocal endpoints that other gateways avoid for their suspects.
	isolationOwned
)

// SetSuspectOwnership sets the function that reports whether an endpoint belongs to this gateway for suspects. Each gateway prefers its own
// endpoints for suspects and uses others only when these are taken. Without the function, suspects of different gateways are not separated.
// Call it before the first use of the balancer.
func (b *Balancer) SetSuspectOwnership(owns func(endpoint string) bool) { b.ownsEndpoint = owns }

// bestIsolated returns the best candidate without other suspects for a suspect. A request with isolatedOnly gets only endpoints that this
// gateway owns, if it owns any.
func (b *Balancer) bestIsolated(p *pool, r *Request, now time.Time) (candidate, bool) {
	if r.SuspectFingerprint == 0 {
		return candidate{}, false
	}
	defer func() { r.isolation = isolationNone }()
	if p.ownsAnyEndpoint(r) {
		r.isolation = isolationOwned
		if best, found := b.bestCandidate(p, r, now); found || r.isolatedOnly {
			return best, found
		}
	}
	r.isolation = isolationLocal
	return b.bestCandidate(p, r, now)
}

// ownsAnyEndpoint reports whether this gateway owns an endpoint of its subset that serves the request.
func (p *pool) ownsAnyEndpoint(r *Request) bool {
	return p.ownsEndpoint != nil && slices.ContainsFunc(p.members[:p.subsetSize()], func(s *endpointState) bool { return s.serves(r) && p.ownsEndpoint(s.Name) })
}

// meetsIsolation reports whether the endpoint satisfies the isolation level of the request.
func (s *endpointState) meetsIsolation(r *Request) bool {
	others := len(s.suspects)
	if s.suspects[r.SuspectFingerprint] > 0 {
		others--
	}
	return others == 0 && (r.isolation < isolationOwned || s.pool.ownsEndpoint(s.Name))
}

func (s *endpointState) addSuspect(fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	if s.suspects == nil {
		s.suspects = make(map[uint64]int)
	}
	s.suspects[fingerprint]++
}

func (s *endpointState) removeSuspect(fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	if s.suspects[fingerprint]--; s.suspects[fingerprint] <= 0 {
		delete(s.suspects, fingerprint)
	}
}
