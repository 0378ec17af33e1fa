package balancer

import "time"

const (
	// maxConsecutiveFailures is the number of failures in a row at which an endpoint is ejected.
	maxConsecutiveFailures = 3
	// baseEjectionTime is the duration of the first ejection. It doubles with each failed probe up to maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
)

// ejection is the outlier detection of an endpoint from the outcomes of its requests (passive health checking).
type ejection struct {
	consecutiveFailures int
	ejected             bool
	ejectedUntil        time.Time
	duration            time.Duration // of the current or last ejection
	probing             bool
	// onProbation is true after the first token of a probe. The endpoint gets requests again; a success ends the probation, and a single
	// failure ejects the endpoint for longer.
	onProbation bool
}

// excluded reports whether the endpoint must not get requests. After the ejection time it gets a single request as a probe.
func (e *ejection) excluded(now time.Time) bool {
	return e.ejected && (e.probing || now.Before(e.ejectedUntil))
}

// beginProbe reports whether the request to be dispatched is the probe of an ejected endpoint, and if so records that the probe is running.
func (e *ejection) beginProbe() bool {
	if !e.ejected || e.probing {
		return false
	}
	e.probing = true
	return true
}

// recordFirstToken ends the ejection at the first token of the probe. Otherwise a long stream would keep the endpoint ejected until it ends.
func (e *ejection) recordFirstToken(probe bool) {
	if probe && e.ejected {
		e.ejected, e.probing, e.onProbation, e.consecutiveFailures = false, false, true, maxConsecutiveFailures-1
	}
}

// recordOutcome records the outcome of a request and reports whether it ejected the endpoint. While the endpoint is ejected, only the outcome
// of the probe counts, not those of requests that were dispatched before the ejection.
func (e *ejection) recordOutcome(p *pool, failed, probe bool, now time.Time) (ejected bool) {
	if probe {
		e.probing = false
	}
	switch {
	case e.ejected && !probe:
	case !failed:
		*e = ejection{}
	case e.ejected:
		e.eject(now, 2*e.duration)
	default:
		e.consecutiveFailures++
		if e.consecutiveFailures < maxConsecutiveFailures || !p.mayEject() {
			return false
		}
		duration := baseEjectionTime
		if e.onProbation {
			duration = 2 * e.duration
		}
		e.eject(now, duration)
		return true
	}
	return false
}

func (e *ejection) eject(now time.Time, duration time.Duration) {
	e.ejected, e.onProbation = true, false
	e.duration = min(duration, maxEjectionTime)
	e.ejectedUntil = now.Add(e.duration)
}

// mayEject reports whether one more endpoint may be ejected. At most half of the endpoints that accept work are ejected, so that faulty
// requests of callers can't eject the whole pool.
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

// lastResortEndpoint returns the ejected endpoint whose ejection ends first, for a request that only ejected endpoints can serve. The endpoint
// may have recovered long before the end of its ejection, and no other could serve the request. The caller limits these requests to one per
// baseEjectionTime through nextLastResort.
func (p *pool) lastResortEndpoint(r *Request, now time.Time) (*endpointState, bool) {
	if now.Before(p.nextLastResort) {
		return nil, false
	}
	var earliest *endpointState
	for _, s := range p.members {
		switch {
		case !s.serves(r):
		case !s.ejection.ejected:
			return nil, false
		case now.Before(s.pausedUntil):
		case !s.ejection.probing && !s.full(r, now) && (earliest == nil || s.ejection.ejectedUntil.Before(earliest.ejection.ejectedUntil)):
			earliest = s
		}
	}
	return earliest, earliest != nil
}
