package placement

import (
	"time"

	"github.com/rs/zerolog"
)

// Outcome is the result of an attempt at an endpoint.
type Outcome int

const (
	// Served: the endpoint responded without a server error.
	Served Outcome = iota
	// Refused: the endpoint refused the request and did not run it.
	Refused
	// Misdirected: another endpoint is at the address, or the endpoint has another role, and it did not run the request.
	Misdirected
	// Failed: the endpoint responded with an error or violated the protocol, or the exchange broke after the request may have reached it.
	Failed
	// Unreachable: the endpoint accepted no connection, so the request did not reach it.
	Unreachable
	// Abandoned: the attempt ended for a reason that is no sign of the endpoint's health, for example because the caller disconnected.
	Abandoned
)

const (
	// failuresToEject is the number of consecutive failures that eject an endpoint.
	failuresToEject = 3
	// baseEjection is the duration of the first ejection; each further one is twice as long, up to maxEjection.
	baseEjection = 500 * time.Millisecond
	maxEjection  = 8 * time.Second
	// avoidAfterRefusal is how long an endpoint that refused a request gets no new work: it is full or changing its role, and would
	// refuse more.
	avoidAfterRefusal = 300 * time.Millisecond
	// MisdirectedAvoidTime is how long an endpoint that was not at its address gets no new work. The store's entry expires three
	// heartbeats of 1.2 s after the last heartbeat.
	MisdirectedAvoidTime = 4 * time.Second
	// avoidAfterUnreachable is how long an endpoint that accepts no connection gets no new work; a restart takes longer.
	avoidAfterUnreachable = time.Second
	// reportTTL is how long a VM's report that an endpoint accepts no connection is valid. The reporting VM avoids the endpoint for
	// the same time before it tries again.
	reportTTL = avoidAfterUnreachable
	// reportsToAvoid is the number of VMs that must report an endpoint before all VMs avoid it. A single VM may have lost its own
	// network path.
	reportsToAvoid = 2
	// failureEMAWeight is the weight of the newest outcome in the moving average of failures.
	failureEMAWeight = 0.1
)

// ownReportKey is the key of this VM's own report in health.unreachableReports.
const ownReportKey = ""

// health tracks an endpoint's failures as this VM observed them.
type health struct {
	consecutiveFailures int
	// failureEMA is the share of failed attempts, as an exponential moving average.
	failureEMA   float64
	ejectedUntil time.Time
	// ejections is the number of ejections since the endpoint last served a request, at most 6.
	ejections int
	// lastActivity is when this VM last received anything from the endpoint.
	lastActivity time.Time
	// avoidUntil is the end of the time in which the endpoint gets no new work while others can take it.
	avoidUntil time.Time
	// unreachableReports holds when each VM last found that the endpoint accepts no connection.
	unreachableReports map[string]time.Time
	// lost is set when the endpoint is avoided because of a failure, and cleared when it serves again. It limits the log to one
	// line for each loss and each return.
	lost bool
}

// ejected reports whether the endpoint gets no new work while others can take it.
func (h *health) ejected(now time.Time) bool {
	return now.Before(h.ejectedUntil) || now.Before(h.avoidUntil) || h.reportedUnreachable(now)
}

// reportedUnreachable reports whether reportsToAvoid or more VMs have found within reportTTL that the endpoint accepts no connection.
// Reports that are older than this VM's last contact with the endpoint don't count.
func (h *health) reportedUnreachable(now time.Time) bool {
	return h.activeReports(now) >= reportsToAvoid
}

// activeReports returns the number of VMs with a valid report.
func (h *health) activeReports(now time.Time) int {
	n := 0
	for _, at := range h.unreachableReports {
		if now.Sub(at) < reportTTL && at.After(h.lastActivity) {
			n++
		}
	}
	return n
}

// recordReport records that a VM found at the given time that the endpoint accepts no connection.
func (h *health) recordReport(vm string, at time.Time) {
	if h.unreachableReports == nil {
		h.unreachableReports = make(map[string]time.Time)
	}
	if at.After(h.unreachableReports[vm]) {
		h.unreachableReports[vm] = at
	}
}

func (h *health) avoid(until time.Time) {
	if until.After(h.avoidUntil) {
		h.avoidUntil = until
	}
}

func (h *health) failureShare() float64 { return h.failureEMA }

func (h *health) record(o Outcome, now time.Time) {
	switch o {
	case Abandoned:
		return
	case Refused:
		h.lastActivity = now
		h.avoid(now.Add(avoidAfterRefusal))
		return
	case Misdirected:
		h.avoid(now.Add(MisdirectedAvoidTime))
		return
	case Unreachable:
		h.avoid(now.Add(avoidAfterUnreachable))
		h.recordReport(ownReportKey, now)
		return
	case Served:
		h.lastActivity = now
		h.consecutiveFailures, h.ejections = 0, 0
		h.failureEMA -= failureEMAWeight * h.failureEMA
		return
	}
	h.consecutiveFailures++
	h.failureEMA += failureEMAWeight * (1 - h.failureEMA)
	if h.consecutiveFailures < failuresToEject {
		return
	}
	h.consecutiveFailures = 0
	h.ejectedUntil = now.Add(min(baseEjection<<h.ejections, maxEjection))
	h.ejections = min(h.ejections+1, 6)
}

// record updates an endpoint's health with an outcome, and logs when the endpoint becomes unavailable or serves again.
func (f *Fleet) record(e *endpoint, o Outcome, now time.Time) {
	ejectedUntil := e.ejectedUntil
	e.health.record(o, now)
	switch {
	case o == Unreachable && !e.lost:
		f.logLost(e).Int64("avoided_ms", avoidAfterUnreachable.Milliseconds()).Msg("endpoint accepts no connection")
	case e.ejectedUntil != ejectedUntil:
		f.logLost(e).Int("failures", failuresToEject).Float64("failure_share", e.failureEMA).
			Int64("avoided_ms", e.ejectedUntil.Sub(now).Milliseconds()).Msg("endpoint ejected")
	case o == Served && e.lost:
		e.lost = false
		f.Log.Info().Str("dependency", "endpoint").Str("endpoint", e.ID).Str("service", e.Service).Msg("dependency regained")
	}
}

// recordPeerReport records another VM's report that the endpoint accepts no connection. It logs a warning when that makes this VM avoid
// the endpoint.
func (f *Fleet) recordPeerReport(e *endpoint, vm string, at, now time.Time) {
	before := e.reportedUnreachable(now)
	e.health.recordReport(vm, at)
	if !before && e.reportedUnreachable(now) && !e.lost {
		f.logLost(e).Int("vms", e.activeReports(now)).Int64("avoided_ms", reportTTL.Milliseconds()).Msg("endpoint accepts no connection from other VMs")
	}
}

// logLost marks the endpoint as lost and returns the log event to complete.
func (f *Fleet) logLost(e *endpoint) *zerolog.Event {
	e.lost = true
	return f.Log.Warn().Str("dependency", "endpoint").Str("endpoint", e.ID).Str("service", e.Service)
}
