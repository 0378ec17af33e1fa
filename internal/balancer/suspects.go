package balancer

import (
	"slices"
	"time"
)

// apartness tells how far a suspect keeps away from others: a request under which an endpoint died runs, where it can, without other
// such requests beside it. Else the next death would be counted for all of them, though one has crashed the endpoint.
type apartness int

const (
	// apartAnyway accepts any endpoint.
	apartAnyway apartness = iota
	// apartHere accepts endpoints without other suspects of this gateway.
	apartHere
	// apartEverywhere accepts of these the endpoints that this gateway alone uses for suspects.
	apartEverywhere
)

// SetSuspectOwnership sets the function that tells whether this gateway, and no other, uses an endpoint for suspects while it can. Without it
// gateways do not keep their suspects apart from each other's. Call it before use.
func (b *Balancer) SetSuspectOwnership(owns func(endpoint string) bool) { b.owns = owns }

// bestApart returns the best candidate for a suspect at which it is apart from others. A request that waits for such a place takes
// only endpoints that this gateway owns, if there are any.
func (b *Balancer) bestApart(p *pool, r *Request, now time.Time) (candidate, bool) {
	if r.SuspectFingerprint == 0 {
		return candidate{}, false
	}
	defer func() { r.apart = apartAnyway }()
	if p.ownsAny(r) {
		r.apart = apartEverywhere
		if best, found := b.best(p, r, now); found || r.onlyApart {
			return best, found
		}
	}
	r.apart = apartHere
	return b.best(p, r, now)
}

// ownsAny tells whether this gateway owns an endpoint of its subset that serves the request.
func (p *pool) ownsAny(r *Request) bool {
	return p.owns != nil && slices.ContainsFunc(p.members[:p.subsetSize()], func(s *endpointState) bool { return s.serves(r) && p.owns(s.Name) })
}

// apartFrom tells whether the endpoint is as far apart from other suspects as the request asks for at present.
func (s *endpointState) apartFrom(r *Request) bool {
	others := len(s.suspects)
	if s.suspects[r.SuspectFingerprint] > 0 {
		others--
	}
	return others == 0 && (r.apart < apartEverywhere || s.pool.owns(s.Name))
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
