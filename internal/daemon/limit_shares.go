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
	// shareTick is the period in which new demand is noticed.
	shareTick = 250 * time.Millisecond
	// shareTimeout bounds one report.
	shareTimeout = 500 * time.Millisecond
	// untoldShare is the part of a team's limit that all gateways together may use without a report. Limits are held within 10%.
	untoldShare = 0.05
)

// limitShares gets this gateway's shares of teams' limits from the gateways that divide them, while the fleet is so large that gateways
// don't know each other's demand. In a small fleet the exchange between neighbours does this.
type limitShares struct {
	node      *node
	admission *admission.Queue
	divider   *admission.Divider

	mu     sync.Mutex
	limits map[string]apitypes.Limits
	teams  map[string]*admission.DemandReporter
}

func newLimitShares(n *node, q *admission.Queue) *limitShares {
	return &limitShares{node: n, admission: q, divider: admission.NewDivider(), teams: make(map[string]*admission.DemandReporter)}
}

// setTeams sets the limits in force.
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

// run reports demand until ctx ends.
func (l *limitShares) run(ctx context.Context) error {
	ticker := time.NewTicker(shareTick)
	defer ticker.Stop()
	var reports sync.WaitGroup
	defer reports.Wait()
	for {
		if l.node.largeFleet() {
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

// report sends the demand that is due to each dividing gateway. A report that fails is repeated with the next one.
func (l *limitShares) report(ctx context.Context, gateways int, reports *sync.WaitGroup) {
	for vm, demand := range l.takeDue(gateways) {
		reports.Go(func() { l.ask(ctx, vm, demand) })
	}
}

// takeDue returns the demand to report, by the VM that divides the team's limits. A demand that has gone is reported as zero once.
func (l *limitShares) takeDue(gateways int) map[string]map[string]admission.Demand {
	own, now := l.admission.DemandByTeam(), time.Now()
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
	for team := range l.teams {
		if _, active := own[team]; !active {
			delete(l.teams, team)
			add(team, admission.Demand{})
		}
	}
	for team, d := range own {
		if l.takeTurn(team, d, gateways, now) {
			add(team, d)
		}
	}
	return out
}

// takeTurn tells whether a team's demand is to be reported now, and if so counts it as reported.
func (l *limitShares) takeTurn(team string, d admission.Demand, gateways int, now time.Time) bool {
	limits := l.limits[team]
	if !needsShare(d, limits, gateways) {
		return false
	}
	reporter := l.teams[team]
	if reporter == nil {
		reporter = &admission.DemandReporter{}
		l.teams[team] = reporter
	}
	if !reporter.IsReportDue(now, d, limits) {
		return false
	}
	reporter.RecordReport(now, d)
	return true
}

// needsShare tells whether a demand must be reported: a team without limits, or far below them, gets what it asks for anywhere.
func needsShare(d admission.Demand, l apitypes.Limits, gateways int) bool {
	near := func(demand, limit float64) bool { return limit > 0 && demand*float64(gateways) > limit*untoldShare }
	return near(d.TokensPerSecond, l.TokensPerSecond) || near(d.RequestsPerSecond, l.RequestsPerSecond) ||
		near(float64(d.Concurrent), float64(l.Concurrent))
}

// ask reports demand to one dividing gateway and stores the shares that it gives.
func (l *limitShares) ask(ctx context.Context, vm string, demand map[string]admission.Demand) {
	reported := time.Now()
	shares, err := l.divide(ctx, vm, demand)
	if err != nil {
		return
	}
	l.admission.SetShares(shares, reported)
	l.mu.Lock()
	defer l.mu.Unlock()
	for team, share := range shares {
		if reporter := l.teams[team]; reporter != nil {
			reporter.RecordShare(reported, share)
		}
	}
}

func (l *limitShares) divide(ctx context.Context, name string, demand map[string]admission.Demand) (map[string]admission.LimitShare, error) {
	if name == l.node.self.Name {
		return l.divider.DivideLimits(name, demand), nil
	}
	vm, _ := l.node.members.VM(name)
	client, err := l.node.clients.GatewayClient(vm)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
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
		reported[d.Team] = demandOf(d)
	}
	var out []*peerpb.TeamShare
	for team, s := range l.divider.DivideLimits(vm, reported) {
		out = append(out, &peerpb.TeamShare{Team: team, Tokens: s.Tokens, Requests: s.Requests, Concurrent: int32(s.Concurrent),
			Relaxed: s.LowDemand, Short: s.BelowTarget})
	}
	return out
}

func demandOf(d *peerpb.TeamDemand) admission.Demand {
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
