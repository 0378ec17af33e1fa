package measure

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/admission"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/membership"
)

func init() { sections = append(sections, section{5, "limits in a large fleet", measureFleetLimits}) }

const (
	fleetGateways = 40
	// busyGateways get all requests in every second interval.
	busyGateways = 4
	fleetTick    = 250 * time.Millisecond
)

const (
	divided        = "divided by one gateway for each team (ours)"
	amongNeighbour = "shared among 8 neighbours (before)"
)

// limitedFleet is the queues of many gateways, which share the limit of one team by a rule.
type limitedFleet struct {
	rule    string
	vms     []apitypes.VM
	queues  []*admission.Queue
	divider *admission.Divider
	// reporters has one entry for each gateway.
	reporters []admission.DemandReporter
	limits    apitypes.Limits
	// reports counts reports to the divider.
	reports int
}

func newLimitedFleet(rule string) *limitedFleet {
	f := &limitedFleet{rule: rule, divider: admission.NewDivider(), reporters: make([]admission.DemandReporter, fleetGateways)}
	limit := float64(limitTokens)
	if rule == evenParts {
		limit /= fleetGateways
	}
	f.limits = apitypes.Limits{TokensPerSecond: limit}
	teams := map[string]admission.TeamConfig{"t": {Limits: f.limits}}
	f.divider.SetTeams(teams)
	for i := range fleetGateways {
		vm := apitypes.VM{Name: fmt.Sprintf("vm-%02d", i), FailureDomain: fmt.Sprint(i % 3), State: apitypes.VMLive}
		q := admission.New()
		q.SetSelf(vm.Name)
		q.SetTeams(teams)
		if rule == divided {
			q.SetFleetSize(fleetGateways)
		}
		f.vms, f.queues = append(f.vms, vm), append(f.queues, q)
	}
	return f
}

// tick exchanges what the rule needs.
func (f *limitedFleet) tick() {
	switch f.rule {
	case divided:
		for i := range f.queues {
			f.report(i)
		}
	case amongNeighbour:
		for i, vm := range f.vms {
			demand := f.queues[i].DemandByTeam()
			for _, n := range membership.Neighbours(vm, f.vms) {
				f.queues[f.index(n.Name)].SetPeerDemand(vm.Name, demand)
			}
		}
	}
}

func (f *limitedFleet) index(name string) int {
	for i, vm := range f.vms {
		if vm.Name == name {
			return i
		}
	}
	return -1
}

func (f *limitedFleet) report(i int) {
	demand, now := f.queues[i].DemandByTeam()["t"], time.Now()
	idle := demand == (admission.Demand{})
	if idle && f.reporters[i] == (admission.DemandReporter{}) || !idle && !f.reporters[i].IsReportDue(now, demand, f.limits) {
		return
	}
	f.reports++
	f.reports++
	f.reporters[i].RecordReport(now, demand)
	shares := f.divider.DivideLimits(f.vms[i].Name, map[string]admission.Demand{"t": demand})
	f.queues[i].SetShares(shares, now)
	f.reporters[i].RecordShare(now, shares["t"])
	if idle {
		f.reporters[i] = admission.DemandReporter{}
	}
}

// fleetRun is the used share of the limit in each interval of ten seconds, and the reports to the divider a second and gateway.
type fleetRun struct {
	used    []float64
	reports float64
}

func (r fleetRun) mean() float64 { return series(r.used).mean() }

// runFleetLimits runs two minutes in which demand is a multiple of the limit. In every second interval of 20 s it comes to a few
// gateways, which change.
func runFleetLimits(t *testing.T, seed uint64, rule string, multiple float64) fleetRun {
	const length = 2 * time.Minute
	run := fleetRun{used: make([]float64, length/(10*time.Second))}
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(rule)
		s := stream{team: "t", pool: "p", perSecond: multiple * limitTokens / 550, prompt: [2]int{200, 800}, output: [2]int{20, 80}}
		begin, next := time.Now(), time.Duration(0)
		for _, w := range record(seed, length, fleetGateways, []stream{s}) {
			for ; next <= w.at; next += fleetTick {
				time.Sleep(time.Until(begin.Add(next)))
				f.tick()
			}
			time.Sleep(time.Until(begin.Add(w.at)))
			g := w.gateway
			if step := int(w.at / (20 * time.Second)); step%2 == 1 {
				g = (step*7 + w.prompt%busyGateways*11) % fleetGateways
			}
			ticket, err := f.queues[g].Acquire(t.Context(), admission.Request{Team: "t", Pool: "p", Tokens: w.tokens()})
			if err == nil {
				run.used[w.at/(10*time.Second)] += float64(w.tokens()) / (10 * limitTokens)
				ticket.Release(w.tokens())
			}
		}
		run.reports = float64(f.reports) / length.Seconds() / fleetGateways
	})
	return run
}

func measureFleetLimits(t *testing.T, r *report) {
	r.printf("## A team's limit across %d gateways (design 6.4)\n\nEach gateway exchanges demand with 8 neighbours only. Every 20 s a team's demand moves between all gateways and %d of them that\n", fleetGateways, busyGateways)
	r.printf("are no neighbours. Figures are the share of the limit used in each interval of 10 s of two minutes. Target: within 10%% of the\nlimit when the team asks for twice as much.\n\n")
	var rows [][]string
	var verdicts []string
	for _, multiple := range []float64{2, 0.4} {
		for _, rule := range []string{divided, amongNeighbour, evenParts} {
			var least, most, all, reports series
			for _, run := range eachSeed(t, func(t *testing.T, seed uint64) fleetRun { return runFleetLimits(t, seed, rule, multiple) }) {
				least, most, all, reports = append(least, slices.Min(run.used)), append(most, slices.Max(run.used)), append(all, run.mean()), append(reports, run.reports)
			}
			if rule == divided && slices.Max(all) > 1.1 {
				t.Errorf("a fleet uses %.0f%% of a limit", 100*slices.Max(all))
			}
			if rule == divided && multiple > 1 {
				verdicts = append(verdicts, fmt.Sprintf("most used %s, least used %s", verdictOfAll(most, 1.1), verdictOfAll(least.scaled(-1), -0.9)))
			}
			rows = append(rows, []string{fmt.Sprintf("%.1f times the limit", multiple), rule, least.percent(), most.percent(), all.percent(), reports.format("%.2f")})
		}
	}
	r.table([]string{"demand", "rule", "least used", "most used", "mean", "reports a second and gateway"}, rows)
	r.printf("Target for the figures of this fleet: %s. After a move, gateways give their shares up when 2.6 expected requests have not come.\n\n", strings.Join(verdicts, ", "))
	t.Logf("%v", rows)
}
