package balancer

import "time"

const (
	// ejectAfter failures in a row eject an endpoint.
	ejectAfter = 3
	// firstEjection doubles with each failed trial up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
)

// ejection is the passive health of an endpoint.
type ejection struct {
	failures int // in a row
	ejected  bool
	until    time.Time
	length   time.Duration
	probing  bool
	// trusted is true after the first token of a trial: the endpoint takes requests, and one more failure ejects it again for longer.
	trusted bool
}

// excluded tells whether the endpoint must get no request. After its ejection it gets one request as a trial.
func (e *ejection) excluded(now time.Time) bool {
	return e.ejected && (e.probing || now.Before(e.until))
}

// beginProbe marks the request about to be sent as the trial of an ejected endpoint and tells whether it is one.
func (e *ejection) beginProbe() bool {
	if !e.ejected || e.probing {
		return false
	}
	e.probing = true
	return true
}

// firstToken ends the ejection at the first token of a trial, since a long stream would else keep the endpoint ejected to its end.
func (e *ejection) firstToken(probe bool) {
	if probe && e.ejected {
		e.ejected, e.probing, e.trusted, e.failures = false, false, true, ejectAfter-1
	}
}

// record counts the outcome of a request and tells whether it ejected the endpoint. Outcomes of requests that were sent before the
// ejection do not change it.
func (e *ejection) record(p *pool, failed, probe bool, now time.Time) (ejected bool) {
	if probe {
		e.probing = false
	}
	switch {
	case e.ejected && !probe:
	case !failed:
		*e = ejection{}
	case e.ejected:
		e.eject(now, 2*e.length)
	default:
		e.failures++
		if e.failures < ejectAfter || !p.mayEject() {
			return false
		}
		length := firstEjection
		if e.trusted {
			length = 2 * e.length
		}
		e.eject(now, length)
		return true
	}
	return false
}

func (e *ejection) eject(now time.Time, length time.Duration) {
	e.ejected, e.trusted = true, false
	e.length = min(length, maxEjection)
	e.until = now.Add(e.length)
}

// mayEject tells whether one more endpoint may be ejected: at most half of those that take work are, so that a fault of the
// callers' requests can't empty the pool.
func (p *pool) mayEject() bool {
	ejected, serving := 0, 0
	for _, m := range p.members {
		if !m.serves(&Request{}) {
			continue
		}
		serving++
		if m.ejection.ejected {
			ejected++
		}
	}
	return 2*(ejected+1) <= serving
}

// lastResort returns an ejected endpoint for a request that no other endpoint can take, at most one for each firstEjection: the
// endpoint may have recovered long before the end of its ejection, and nothing else would serve the request. It takes the one
// whose ejection ends first.
func (p *pool) lastResort(r *Request, now time.Time) (*endpointState, bool) {
	if now.Before(p.resortAt) {
		return nil, false
	}
	var first *endpointState
	for _, s := range p.members {
		switch {
		case !s.serves(r):
		case !s.ejection.ejected:
			return nil, false
		case !s.ejection.probing && !s.full(r, now) && (first == nil || s.ejection.until.Before(first.ejection.until)):
			first = s
		}
	}
	return first, first != nil
}
