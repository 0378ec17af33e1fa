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
}

// excluded tells whether the endpoint must get no request. After its ejection it gets one request as a trial.
func (e *ejection) excluded(now time.Time) bool {
	return e.ejected && (e.probing || now.Before(e.until))
}

// beginProbe marks the request about to be sent as the trial of an ejected endpoint and tells whether it is one.
func (e *ejection) beginProbe(now time.Time) bool {
	if !e.ejected || e.excluded(now) {
		return false
	}
	e.probing = true
	return true
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
		e.length = min(2*e.length, maxEjection)
		e.until = now.Add(e.length)
	default:
		e.failures++
		if e.failures >= ejectAfter && p.mayEject() {
			e.ejected, e.length, e.until = true, firstEjection, now.Add(firstEjection)
			return true
		}
	}
	return false
}

// mayEject tells whether one more endpoint may be ejected: at most half of the pool is, so that a fault of the callers'
// requests can't empty it.
func (p *pool) mayEject() bool {
	ejected := 0
	for _, m := range p.members {
		if m.ejection.ejected {
			ejected++
		}
	}
	return 2*(ejected+1) <= len(p.members)
}
