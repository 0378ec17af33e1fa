package placement

import (
	"time"

	"github.com/rs/zerolog"
)

// Outcome is what became of a request at an endpoint.
type Outcome int

const (
	// Served: the endpoint answered.
	Served Outcome = iota
	// Refused: the endpoint turned the request away and did not run it.
	Refused
	// Misdirected: what is at the endpoint's address is not the endpoint, or has another role, and did not run the request.
	Misdirected
	// Failed: the endpoint failed the request, broke off or could not be reached.
	Failed
	// Unreachable: the endpoint accepted no connection, so the request did not reach it.
	Unreachable
	// Abandoned: the caller left, which says nothing of the endpoint.
	Abandoned
)

const (
	// failuresToEject is how many failures in a row eject an endpoint.
	failuresToEject = 3
	// firstEjection is how long the first ejection lasts; further ones double up to maxEjection.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 8 * time.Second
	// avoidRefusing is how long an endpoint that turned a request away is left alone: it is full, or changes its role, and would
	// turn away more.
	avoidRefusing = 300 * time.Millisecond
	// AvoidMisdirected is the same for an endpoint that isn't at its address. The store's entry lapses three heartbeats of 1.2 s
	// after its last one.
	AvoidMisdirected = 4 * time.Second
	// avoidUnreachable is the same for an endpoint that accepts no connection; a restart takes longer.
	avoidUnreachable = time.Second
	// reportTime is how long a VM's finding that an endpoint accepts no connection counts: until the next try, it stands for that
	// long at the VM itself too.
	reportTime = avoidUnreachable
	// reportsToAvoid is the number of VMs whose findings keep work of all VMs away. One VM alone may have lost its own path.
	reportsToAvoid = 2
	// failureGain is the weight of the newest outcome in the share of failures.
	failureGain = 0.1
)

// ownReports is the name under which a VM keeps its own findings.
const ownReports = ""

// health is the record of an endpoint's failures as this VM saw them.
type health struct {
	inRow        int
	share        float64
	ejectedUntil time.Time
	ejections    int
	// heard is when the endpoint last sent anything to this VM.
	heard time.Time
	// avoidUntil is set for endpoints that turned a request away or are known to change.
	avoidUntil time.Time
	// unreachable holds when each VM last found that the endpoint accepts no connection.
	unreachable map[string]time.Time
	// lost is set from a failure that keeps work away until the endpoint has served again, for the log.
	lost bool
}

func (h *health) ejected(now time.Time) bool {
	return now.Before(h.ejectedUntil) || now.Before(h.avoidUntil) || h.reportedLost(now)
}

// reportedLost tells whether several VMs found lately that the endpoint accepts no connection. What this VM has heard from the
// endpoint since is worth more than a report.
func (h *health) reportedLost(now time.Time) bool { return h.reports(now) >= reportsToAvoid }

// reports is the number of VMs whose findings count.
func (h *health) reports(now time.Time) int {
	n := 0
	for _, at := range h.unreachable {
		if now.Sub(at) < reportTime && at.After(h.heard) {
			n++
		}
	}
	return n
}

// report records that a VM found that the endpoint accepts no connection.
func (h *health) report(vm string, at time.Time) {
	if h.unreachable == nil {
		h.unreachable = make(map[string]time.Time)
	}
	if at.After(h.unreachable[vm]) {
		h.unreachable[vm] = at
	}
}

func (h *health) avoid(until time.Time) {
	if until.After(h.avoidUntil) {
		h.avoidUntil = until
	}
}

func (h *health) failureShare() float64 { return h.share }

func (h *health) record(o Outcome, now time.Time) {
	switch o {
	case Abandoned:
		return
	case Refused:
		h.heard = now
		h.avoid(now.Add(avoidRefusing))
		return
	case Misdirected:
		h.avoid(now.Add(AvoidMisdirected))
		return
	case Unreachable:
		h.avoid(now.Add(avoidUnreachable))
		h.report(ownReports, now)
		return
	case Served:
		h.heard = now
		h.inRow, h.ejections = 0, 0
		h.share -= failureGain * h.share
		return
	}
	h.inRow++
	h.share += failureGain * (1 - h.share)
	if h.inRow < failuresToEject {
		return
	}
	h.inRow = 0
	h.ejectedUntil = now.Add(min(firstEjection<<h.ejections, maxEjection))
	h.ejections = min(h.ejections+1, 6)
}

// record takes in an outcome at an endpoint, and logs when that loses or regains the endpoint.
func (f *Fleet) record(e *endpoint, o Outcome, now time.Time) {
	ejectedUntil := e.ejectedUntil
	e.health.record(o, now)
	switch {
	case o == Unreachable && !e.lost:
		f.logLost(e).Int64("avoided_ms", avoidUnreachable.Milliseconds()).Msg("endpoint accepts no connection")
	case e.ejectedUntil != ejectedUntil:
		f.logLost(e).Int("failures", failuresToEject).Float64("failure_share", e.share).
			Int64("avoided_ms", e.ejectedUntil.Sub(now).Milliseconds()).Msg("endpoint ejected")
	case o == Served && e.lost:
		e.lost = false
		f.Log.Info().Str("dependency", "endpoint").Str("endpoint", e.ID).Str("service", e.Service).Msg("dependency regained")
	}
}

// report takes in another VM's finding, and logs when that loses the endpoint.
func (f *Fleet) report(e *endpoint, vm string, at, now time.Time) {
	before := e.reportedLost(now)
	e.health.report(vm, at)
	if !before && e.reportedLost(now) && !e.lost {
		f.logLost(e).Int("vms", e.reports(now)).Int64("avoided_ms", reportTime.Milliseconds()).Msg("endpoint accepts no connection from other VMs")
	}
}

// logLost begins the line about an endpoint that gets no work for a time.
func (f *Fleet) logLost(e *endpoint) *zerolog.Event {
	e.lost = true
	return f.Log.Warn().Str("dependency", "endpoint").Str("endpoint", e.ID).Str("service", e.Service)
}
