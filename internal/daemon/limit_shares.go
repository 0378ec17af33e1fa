package daemon

import (
	"context"
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/admission"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

const (
	// demandCheckInterval is how often demand is checked for reports that are due.
	demandCheckInterval = 250 * time.Millisecond
	// reportTimeout limits one report to a dividing gateway.
	reportTimeout = 500 * time.Millisecond
	// unreportedFraction is the fraction of a team's limit that all gateways together may use without reporting demand. Limits are
	// enforced with a tolerance of 10%.
	unreportedFraction = 0.05
)

// limitShares reports demand to the gateways that divide the limits of teams and passes the shares that they assign to admission. It also
// divides limits for other gateways. It is used while the fleet is so large that gateways don't know the demand at all others; in a
// smaller fleet, the exchange between neighbours is sufficient.
type limitShares struct {
	node      *node
	admission *admission.Queue
	divider   *admission.Divider

	mu        sync.Mutex
	limits    map[string]apitypes.Limits
	reporters map[string]*admission.DemandReporter
}

func newLimitShares(n *node, queue *admission.Queue) *limitShares {
	return &limitShares{node: n, admission: queue, divider: admission.NewDivider(), reporters: make(map[string]*admission.DemandReporter)}
}

// setTeams sets the limits of all teams.
func (l *limitShares) setTeams(teams map[string]admission.TeamConfig) {
	limits := make(map[string]apitypes.Limits, len(teams))
	for name, t := range teams {
		limits[name] = t.Limits
	}
	l.divider.SetTeams(teams)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
}

// run reports demand periodically while the fleet is large, until ctx ends.
func (l *limitShares) run(ctx context.Context) error {
	ticker := time.NewTicker(demandCheckInterval)
	defer ticker.Stop()
	var reports sync.WaitGroup
	defer reports.Wait()
	for {
		if l.node.isLargeFleet() {
			live := len(l.node.members.Live())
			l.admission.SetFleetSize(live)
			l.report(ctx, live, &reports)
		} else {
			l.admission.SetFleetSize(0)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// report sends the reports that are due, in the background. When a report fails, its demand is sent with the next one.
func (l *limitShares) report(ctx context.Context, gateways int, reports *sync.WaitGroup) {
	for vm, demand := range l.dueReports(gateways) {
		reports.Go(func() { l.reportTo(ctx, vm, demand) })
	}
}

// dueReports returns the demand to report by team, grouped by the VM that divides the limits of the team, and marks it as reported. Demand
// that has ended is reported as zero once.
func (l *limitShares) dueReports(gateways int) map[string]map[string]admission.Demand {
	demandByTeam, now := l.admission.DemandByTeam(), time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]map[string]admission.Demand)
	add := func(team string, d admission.Demand) {
		vm := l.node.members.LimitDivider(team)
		if out[vm] == nil {
			out[vm] = make(map[string]admission.Demand)
		}
		out[vm][team] = d
	}
	for team := range l.reporters {
		if _, active := demandByTeam[team]; !active {
			delete(l.reporters, team)
			add(team, admission.Demand{})
		}
	}
	for team, d := range demandByTeam {
		if l.markReportedIfDue(team, d, gateways, now) {
			add(team, d)
		}
	}
	return out
}

// markReportedIfDue reports whether a team's demand is due to be reported, and marks it as reported if so.
func (l *limitShares) markReportedIfDue(team string, d admission.Demand, gateways int, now time.Time) bool {
	limits := l.limits[team]
	if !mustReport(d, limits, gateways) {
		return false
	}
	reporter := l.reporters[team]
	if reporter == nil {
		reporter = &admission.DemandReporter{}
		l.reporters[team] = reporter
	}
	if !reporter.IsReportDue(now, d, limits) {
		return false
	}
	reporter.RecordReport(now, d)
	return true
}

// mustReport reports whether the demand of a team must be reported. A team without limits, or with demand far below them, is admitted
// without a share.
func mustReport(d admission.Demand, l apitypes.Limits, gateways int) bool {
	nearLimit := func(demand, limit float64) bool {
		return limit > 0 && demand*float64(gateways) > limit*unreportedFraction
	}
	return nearLimit(d.TokensPerSecond, l.TokensPerSecond) || nearLimit(d.RequestsPerSecond, l.RequestsPerSecond) ||
		nearLimit(float64(d.Concurrent), float64(l.Concurrent))
}

// reportTo reports demand to the dividing gateway on a VM and passes the assigned shares to admission.
func (l *limitShares) reportTo(ctx context.Context, vm string, demand map[string]admission.Demand) {
	reportedAt := time.Now()
	shares, err := l.requestShares(ctx, vm, demand)
	if err != nil {
		return
	}
	l.admission.SetShares(shares, reportedAt)
	l.mu.Lock()
	defer l.mu.Unlock()
	for team, share := range shares {
		if reporter := l.reporters[team]; reporter != nil {
			reporter.RecordShare(reportedAt, share)
		}
	}
}

// requestShares returns this gateway's shares of limits for the given demand from the dividing gateway on a VM, which can be this one.
func (l *limitShares) requestShares(ctx context.Context, vmName string, demand map[string]admission.Demand) (map[string]admission.LimitShare, error) {
	if vmName == l.node.self.Name {
		return l.divider.DivideLimits(vmName, demand), nil
	}
	vm, _ := l.node.members.VM(vmName)
	client, err := l.node.clients.GatewayClient(vm)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := client.DivideLimits(ctx, &peerpb.DivideLimitsRequest{Vm: l.node.self.Name, Demand: demandMessages(demand)})
	if err != nil {
		return nil, err
	}
	out := make(map[string]admission.LimitShare, len(r.Shares))
	for _, s := range r.Shares {
		out[s.Team] = admission.LimitShare{Tokens: s.Tokens, Requests: s.Requests, Concurrent: int(s.Concurrent), LowDemand: s.Relaxed, BelowTarget: s.Short}
	}
	return out, nil
}

// DivideLimits implements peer.LimitDivider.
func (l *limitShares) DivideLimits(vm string, demand []*peerpb.TeamDemand) []*peerpb.TeamShare {
	reported := make(map[string]admission.Demand, len(demand))
	for _, d := range demand {
		reported[d.Team] = demandFromMessage(d)
	}
	var out []*peerpb.TeamShare
	for team, s := range l.divider.DivideLimits(vm, reported) {
		out = append(out, &peerpb.TeamShare{Team: team, Tokens: s.Tokens, Requests: s.Requests, Concurrent: int32(s.Concurrent),
			Relaxed: s.LowDemand, Short: s.BelowTarget})
	}
	return out
}

func demandFromMessage(d *peerpb.TeamDemand) admission.Demand {
	return admission.Demand{TokensPerSecond: d.TokensPerSecond, RequestsPerSecond: d.RequestsPerSecond, Concurrent: int(d.Concurrent)}
}

func demandMessages(demand map[string]admission.Demand) []*peerpb.TeamDemand {
	out := make([]*peerpb.TeamDemand, 0, len(demand))
	for team, d := range demand {
		out = append(out, &peerpb.TeamDemand{Team: team, TokensPerSecond: d.TokensPerSecond, RequestsPerSecond: d.RequestsPerSecond,
			Concurrent: int32(d.Concurrent)})
	}
	return out
}
