package admission

import (
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// granted is the share of a team's limits that the fleet's divider gave this gateway.
type granted struct {
	share LimitShare
	until time.Time
}

// SetFleetSize tells how many gateways share the limits of teams by a Divider. With 0 they are shared among this gateway and its
// neighbours by their demand.
func (q *Queue) SetFleetSize(gateways int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fleet = gateways
}

// SetShares stores shares that a Divider gave for demand reported at the time reported.
func (q *Queue) SetShares(shares map[string]LimitShare, reported time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, share := range shares {
		if t := q.teams[name]; t != nil {
			t.granted = granted{share: share, until: reported.Add(shareLife)}
		}
	}
}

// grantedShare returns the share given by the divider. Without one, the gateway has an even part, and at least one request at a
// time: a team's first request here can't wait for the divider.
func (q *Queue) grantedShare(t *team, now time.Time) LimitShare {
	if now.Before(t.granted.until) {
		return t.granted.share
	}
	even := 1 / float64(q.fleet)
	return LimitShare{Tokens: even, Requests: even, Concurrent: 1}
}

// Times between two reports of a team's demand to its divider.
const (
	reportShort   = 250 * time.Millisecond
	reportNormal  = 500 * time.Millisecond
	reportRelaxed = 4 * time.Second
)

// DemandReporter decides when a gateway reports the demand of one team to its divider. The zero value reports at once. A demand of zero is
// reported once and gives the share back.
type DemandReporter struct {
	next  time.Time
	told  Demand
	share LimitShare
}

// IsReportDue tells whether to report. A gateway that outgrows its share, or needs much less than it told, does not wait.
func (r *DemandReporter) IsReportDue(now time.Time, own Demand, limits apitypes.Limits) bool {
	return !now.Before(r.next) || r.outgrown(own, limits) || r.fallen(own)
}

// outgrown is limited to a team far below its limits, because at its limit a team always asks for more.
func (r *DemandReporter) outgrown(own Demand, limits apitypes.Limits) bool {
	if !r.share.LowDemand {
		return false
	}
	const most = 0.8
	return limits.TokensPerSecond > 0 && own.TokensPerSecond > most*r.share.Tokens*limits.TokensPerSecond ||
		limits.RequestsPerSecond > 0 && own.RequestsPerSecond > most*r.share.Requests*limits.RequestsPerSecond ||
		limits.Concurrent > 0 && own.Concurrent >= r.share.Concurrent
}

// fallen matters to a team near its limits only, whose other gateways wait for this one's share.
func (r *DemandReporter) fallen(own Demand) bool {
	return !r.share.LowDemand && (own.TokensPerSecond < r.told.TokensPerSecond/2 || own.RequestsPerSecond < r.told.RequestsPerSecond/2 ||
		own.Concurrent < r.told.Concurrent/2)
}

// RecordReport records a report. Until its answer comes, the next one waits for the normal time.
func (r *DemandReporter) RecordReport(now time.Time, own Demand) {
	r.told, r.next = own, now.Add(reportNormal)
}

// RecordShare records the answer to a report that was sent at the time reported.
func (r *DemandReporter) RecordShare(reported time.Time, share LimitShare) {
	r.share = share
	switch {
	case share.BelowTarget:
		r.next = reported.Add(reportShort)
	case share.LowDemand:
		r.next = reported.Add(reportRelaxed)
	}
}
