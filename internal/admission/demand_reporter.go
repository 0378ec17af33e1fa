package admission

import (
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// assignedShare is the share of a team's limits that the Divider assigned to this gateway.
type assignedShare struct {
	share     LimitShare
	expiresAt time.Time
}

// SetFleetSize sets the number of gateways that share the limits of teams through a Divider. With 0, this gateway and its peers share
// them in proportion to the demand that they report to each other.
func (q *Queue) SetFleetSize(gateways int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fleetSize = gateways
}

// SetShares stores the shares that a Divider assigned in response to a report sent at reportedAt.
func (q *Queue) SetShares(shares map[string]LimitShare, reportedAt time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, share := range shares {
		if t := q.teams[name]; t != nil {
			t.assigned = assignedShare{share: share, expiresAt: reportedAt.Add(shareTTL)}
		}
	}
}

// currentAssignedShare returns the share that the Divider assigned. Without a valid one it returns an even share of the rates and one
// concurrent request, so that a team's first request here doesn't wait for the Divider.
func (q *Queue) currentAssignedShare(t *team, now time.Time) LimitShare {
	if now.Before(t.assigned.expiresAt) {
		return t.assigned.share
	}
	even := 1 / float64(q.fleetSize)
	return LimitShare{Tokens: even, Requests: even, Concurrent: 1}
}

// Intervals between two reports of a team's demand to its Divider.
const (
	shortReportInterval = 250 * time.Millisecond
	reportInterval      = 500 * time.Millisecond
	longReportInterval  = 4 * time.Second
)

// DemandReporter decides when a gateway reports the demand of one team to the team's Divider. The first report of the zero
// value is due immediately. The caller reports a demand of zero once, which releases the share.
type DemandReporter struct {
	nextReport time.Time
	lastDemand Demand
	share      LimitShare
}

// IsReportDue reports whether to send a report now. A report is due before the interval has passed when demand comes close to the share or
// has dropped far below the demand last reported.
func (r *DemandReporter) IsReportDue(now time.Time, own Demand, limits apitypes.Limits) bool {
	return !now.Before(r.nextReport) || r.nearsShare(own, limits) || r.hasDropped(own)
}

// nearsShare reports whether demand is close to this gateway's share. It is false unless the team is far below its limits, because a team
// at its limits always demands more than its share.
func (r *DemandReporter) nearsShare(own Demand, limits apitypes.Limits) bool {
	if !r.share.LowDemand {
		return false
	}
	const maxUse = 0.8 // fraction of the share
	return limits.TokensPerSecond > 0 && own.TokensPerSecond > maxUse*r.share.Tokens*limits.TokensPerSecond ||
		limits.RequestsPerSecond > 0 && own.RequestsPerSecond > maxUse*r.share.Requests*limits.RequestsPerSecond ||
		limits.Concurrent > 0 && own.Concurrent >= r.share.Concurrent
}

// hasDropped reports whether demand is less than half of the demand last reported. It is false while the team is far below its limits: only
// near the limits do other gateways wait for this gateway's share.
func (r *DemandReporter) hasDropped(own Demand) bool {
	return !r.share.LowDemand && (own.TokensPerSecond < r.lastDemand.TokensPerSecond/2 || own.RequestsPerSecond < r.lastDemand.RequestsPerSecond/2 ||
		own.Concurrent < r.lastDemand.Concurrent/2)
}

// RecordReport records that a report of own was sent at now. The next report is due after reportInterval, unless RecordShare changes that.
func (r *DemandReporter) RecordReport(now time.Time, own Demand) {
	r.lastDemand, r.nextReport = own, now.Add(reportInterval)
}

// RecordShare records the share received in response to the report sent at reportedAt, and sets when the next report is due.
func (r *DemandReporter) RecordShare(reportedAt time.Time, share LimitShare) {
	r.share = share
	switch {
	case share.BelowTarget:
		r.nextReport = reportedAt.Add(shortReportInterval)
	case share.LowDemand:
		r.nextReport = reportedAt.Add(longReportInterval)
	}
}
