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
	// busyGateways is the number of gateways that get all requests in every second interval of 20 s.
	busyGateways = 4
	// fleetExchangeInterval is the time between two exchanges of demand.
	fleetExchangeInterval = 250 * time.Millisecond
)

// Rules for sharing a limit among many gateways. equalShares is the third one.
const (
	dividedByOneGateway = "divided by one gateway for each team (crocusglade)"
	amongNeighbours     = "shared among 8 neighbours (former rule)"
)

// limitedFleet holds the admission queues of many gateways, which share the limit of one team by a rule.
type limitedFleet struct {
	rule    string
	vms     []apitypes.VM
	queues  []*admission.Queue
	divider *admission.Divider
	// reporters holds one reporter for each gateway.
	reporters []admission.DemandReporter
	limits    apitypes.Limits
	// reports counts reports to the divider.
	reports int
}

func newLimitedFleet(rule string) *limitedFleet {
	f := &limitedFleet{rule: rule, divider: admission.NewDivider(), reporters: make([]admission.DemandReporter, fleetGateways)}
	limit := float64(tokenLimit)
	if rule == equalShares {
		limit /= fleetGateways
	}
	f.limits = apitypes.Limits{TokensPerSecond: limit}
	teams := map[string]admission.TeamConfig{"t": {Limits: f.limits}}
	f.divider.SetTeams(teams)
	for i := range fleetGateways {
		vm := apitypes.VM{Name: fmt.Sprintf("vm-%02d", i), FailureDomain: fmt.Sprint(i % 3), State: apitypes.VMLive}
		q := admission.New()
		q.SetVMName(vm.Name)
		q.SetTeams(teams)
		if rule == dividedByOneGateway {
			q.SetFleetSize(fleetGateways)
		}
		f.vms, f.queues = append(f.vms, vm), append(f.queues, q)
	}
	return f
}

// exchange exchanges demand among the gateways as the rule requires.
func (f *limitedFleet) exchange() {
	switch f.rule {
	case dividedByOneGateway:
		for i := range f.queues {
			f.reportDemand(i)
		}
	case amongNeighbours:
		for i, vm := range f.vms {
			demand := f.queues[i].DemandByTeam()
			for _, n := range membership.Neighbours(vm, f.vms) {
				f.queues[f.vmIndex(n.Name)].SetPeerDemand(vm.Name, demand)
			}
		}
	}
}

// vmIndex returns the index of the VM with the given name, or -1.
func (f *limitedFleet) vmIndex(name string) int {
	for i, vm := range f.vms {
		if vm.Name == name {
			return i
		}
	}
	return -1
}

// reportDemand reports the demand of the i-th gateway to the divider if a report is due, and applies the share in the response.
func (f *limitedFleet) reportDemand(i int) {
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

// fleetRun holds the used fraction of the limit in each interval of 10 s, and the counted reports to the divider per second and
// gateway.
type fleetRun struct {
	used    []float64
	reports float64
}

func (r fleetRun) mean() float64 { return series(r.used).mean() }

// runFleetLimits runs a team for two minutes with a demand that is the given multiple of its limit. In every second interval of
// 20 s all requests come to a few gateways, other ones each time.
func runFleetLimits(t *testing.T, seed uint64, rule string, multiple float64) fleetRun {
	const length = 2 * time.Minute
	run := fleetRun{used: make([]float64, length/(10*time.Second))}
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(rule)
		s := stream{team: "t", pool: "p", perSecond: multiple * tokenLimit / 550, promptTokens: [2]int{200, 800}, outputTokens: [2]int{20, 80}}
		begin, next := time.Now(), time.Duration(0)
		for _, w := range generateRequests(seed, length, fleetGateways, []stream{s}) {
			for ; next <= w.arrival; next += fleetExchangeInterval {
				time.Sleep(time.Until(begin.Add(next)))
				f.exchange()
			}
			time.Sleep(time.Until(begin.Add(w.arrival)))
			g := w.gateway
			if step := int(w.arrival / (20 * time.Second)); step%2 == 1 {
				g = (step*7 + w.promptTokens%busyGateways*11) % fleetGateways
			}
			ticket, err := f.queues[g].Acquire(t.Context(), admission.Request{Team: "t", Pool: "p", Tokens: w.tokens()})
			if err == nil {
				run.used[w.arrival/(10*time.Second)] += float64(w.tokens()) / (10 * tokenLimit)
				ticket.Release(w.tokens())
			}
		}
		run.reports = float64(f.reports) / length.Seconds() / fleetGateways
	})
	return run
}

func measureFleetLimits(t *testing.T, r *report) {
	r.printf("## A team's limit across %d gateways (design 6.4)\n\nEach gateway exchanges demand with 8 neighbours only. Every 20 s a team's demand moves from all gateways to %d of them that\n", fleetGateways, busyGateways)
	r.printf("are not neighbours, or back. Figures are the share of the limit used in each interval of 10 s of two minutes. Target: within 10%% of the\nlimit when the team asks for twice as much.\n\n")
	var rows [][]string
	var verdicts []string
	for _, multiple := range []float64{2, 0.4} {
		for _, rule := range []string{dividedByOneGateway, amongNeighbours, equalShares} {
			var least, most, all, reports series
			for _, run := range eachSeed(t, func(t *testing.T, seed uint64) fleetRun { return runFleetLimits(t, seed, rule, multiple) }) {
				least, most, all, reports = append(least, slices.Min(run.used)), append(most, slices.Max(run.used)), append(all, run.mean()), append(reports, run.reports)
			}
			if rule == dividedByOneGateway && slices.Max(all) > 1.1 {
				t.Errorf("the gateways use %.0f%% of the limit, want at most 110%%", 100*slices.Max(all))
			}
			if rule == dividedByOneGateway && multiple > 1 {
				verdicts = append(verdicts, fmt.Sprintf("most used %s, least used %s", verdictOverSeeds(most, 1.1), verdictOverSeeds(least.scaled(-1), -0.9)))
			}
			rows = append(rows, []string{fmt.Sprintf("%.1f times the limit", multiple), rule, least.percent(), most.percent(), all.percent(), reports.format("%.2f")})
		}
	}
	r.table([]string{"demand", "rule", "least used", "most used", "mean", "reports per second and gateway"}, rows)
	r.printf("Target for the figures of this fleet: %s. After a move, a gateway gives up its share when 2.6 expected requests have not arrived.\n\n", strings.Join(verdicts, ", "))
	t.Logf("%v", rows)
}
