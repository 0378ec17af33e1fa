package quota

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportedFor is how long a team is reported after its last cost, so that a report reaches the other VMs also when datagrams are lost.
	reportedFor = 10 * time.Second
	// maxReportedTeams bounds the teams in one report and so the size of a datagram.
	maxReportedTeams = 64
	// alternatingTeams is the number of places in a full report that the teams with less demand take in turn.
	alternatingTeams = 16
	// maxOmittedReports is the number of full reports without a team after which what the VM reported about it is dropped.
	maxOmittedReports = 100
	// minSilence and silentPeriods bound the time without a report after which a VM counts as silent. basePeriod and periodPerVM are the
	// period of reports, see package vmlink. The time is shorter than that of vmlink, because both sides of a partition grant the whole
	// bucket until it has passed.
	minSilence    = 500 * time.Millisecond
	silentPeriods = 4
	basePeriod    = 60 * time.Millisecond
	periodPerVM   = 2 * time.Millisecond
	// baselineSilences is the number of silences after which a report only sets the baseline. A shorter gap comes from lost datagrams, or from
	// a partition in whose first silence both sides used the whole bucket.
	baselineSilences = 2
	// adoptFor is how long a VM that hears others again adopts their levels: one report of each arrives in this time.
	adoptFor = 500 * time.Millisecond
	// heardFor is how long the count of VMs heard is kept.
	heardFor = 20 * time.Millisecond
)

// TeamReport is what a VM reports about an active team.
type TeamReport struct {
	Team string
	// Spent is the cost granted since the VM's start, less what was given back. Baseline is its value when the team last became active.
	Spent, Baseline int64
	// Demand is the cost asked for in the last second, Level the remaining cost in the VM's bucket.
	Demand, Level float64
}

// peer is what another VM reported.
type peer struct {
	incarnation string
	heardAt     time.Duration
	// reportCount is the number of reports received.
	reportCount int
	teams       map[string]peerTeam
}

// peerTeam is what a VM reported about a team, in its report with the given number.
type peerTeam struct {
	spent  int64
	demand float64
	report int
}

// Report returns the report for the other VMs. If more teams are active than a report may hold, it names those with the most demand, and
// the others in turn.
func (l *Limiter) Report() []TeamReport {
	teams := *l.teams.Load()
	if len(teams) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	part := l.partLocked(now)
	var reports []TeamReport
	for name, b := range teams {
		b.refill(now, part) // also for idle teams, whose level would otherwise be refilled at the part that was valid at their last request
		l.noteLocked(name, b, now, false)
		if !b.isActive(now) {
			continue
		}
		reports = append(reports, TeamReport{Team: name, Spent: b.spent, Baseline: b.baseline, Demand: b.demand.rate(now), Level: b.level})
	}
	slices.SortFunc(reports, func(a, b TeamReport) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Team, b.Team))
	})
	if len(reports) <= maxReportedTeams {
		return reports
	}
	first := maxReportedTeams - alternatingTeams
	return append(reports[:first:first], l.nextInTurnLocked(reports[first:])...)
}

// nextInTurnLocked returns the alternatingTeams reports whose turn it is.
func (l *Limiter) nextInTurnLocked(reports []TeamReport) []TeamReport {
	slices.SortFunc(reports, func(a, b TeamReport) int { return cmp.Compare(a.Team, b.Team) })
	out := make([]TeamReport, 0, alternatingTeams)
	for range min(alternatingTeams, len(reports)) {
		l.turn++
		out = append(out, reports[l.turn%len(reports)])
	}
	return out
}

// MergeReport applies the report of another VM. The first report of an incarnation and the first after baselineSilences only set the baseline
// of later ones, because this VM can't tell which of the cost was granted from its part of the bucket.
func (l *Limiter) MergeReport(vm, incarnation string, reports []TeamReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	part := l.partLocked(now)
	p := l.peers[vm]
	fresh := p != nil && p.incarnation == incarnation && now-p.heardAt <= baselineSilences*l.silence()
	if !fresh {
		p = &peer{incarnation: incarnation, teams: make(map[string]peerTeam)}
		l.peers[vm] = p
	}
	if now-p.heardAt > l.silence() || !fresh {
		l.heardAt = now - heardFor - 1 // count the VMs anew
	}
	if l.joining {
		l.joining, l.joinedUntil = false, now+adoptFor
		for _, b := range *l.teams.Load() {
			b.adopted = b.limit.Burst
		}
	}
	p.heardAt = now
	p.reportCount++
	teams := *l.teams.Load()
	for _, r := range reports {
		increase := p.increase(r)
		p.teams[r.Team] = peerTeam{spent: r.Spent, demand: r.Demand, report: p.reportCount}
		b := teams[r.Team]
		if b == nil {
			continue
		}
		b.refill(now, part)
		if fresh {
			b.level = min(b.level-increase, b.limit.Burst*b.part)
		}
		if now <= l.joinedUntil {
			b.adopt(r.Level)
		}
	}
	p.dropOmitted(len(reports) >= maxReportedTeams)
}

// increase returns the cost that the VM granted to a team since its previous report. If that left the team out, the increase is at most the
// demand of the last second, because this VM's bucket has long been full again after what was granted before.
func (p *peer) increase(r TeamReport) float64 {
	last, ok := p.teams[r.Team]
	switch {
	case !ok:
		return min(float64(r.Spent-r.Baseline), r.Demand)
	case last.report < p.reportCount-1:
		return min(float64(r.Spent-last.spent), r.Demand)
	}
	return float64(r.Spent - last.spent)
}

// dropOmitted drops the teams that the newest report leaves out. A full report may leave out active teams for a while.
func (p *peer) dropOmitted(full bool) {
	for team, t := range p.teams {
		if omitted := p.reportCount - t.report; omitted > maxOmittedReports || omitted > 0 && !full {
			delete(p.teams, team)
		}
	}
}

// Forget removes what a VM reported, because it is silent.
func (l *Limiter) Forget(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, vm)
	l.heardAt = l.Now() - heardFor - 1
}

// silence returns the time without a report after which a VM counts as silent.
func (l *Limiter) silence() time.Duration {
	return max(minSilence, silentPeriods*(basePeriod+time.Duration(max(l.knownVMs-5, 0))*periodPerVM))
}

// partLocked returns the fraction of the known VMs that this VM hears, itself included.
func (l *Limiter) partLocked(now time.Duration) float64 {
	if now-l.heardAt > heardFor {
		l.heardAt, l.heardVMs = now, 1
		for _, p := range l.peers {
			if now-p.heardAt <= l.silence() {
				l.heardVMs++
			}
		}
		if l.heardVMs == 1 {
			l.joining = true
		}
	}
	return float64(l.heardVMs) / float64(max(l.knownVMs, l.heardVMs))
}

// peerDemandLocked returns the demand of a team at the other VMs that this VM hears.
func (l *Limiter) peerDemandLocked(team string, now time.Duration) float64 {
	var sum float64
	for _, p := range l.peers {
		if now-p.heardAt <= l.silence() {
			sum += p.teams[team].demand
		}
	}
	return sum
}
