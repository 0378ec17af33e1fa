package measure

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/admission"
	"crocusglade.example/crocusglade/internal/apitypes"
)

func init() { sections = append(sections, section{4, "limits across gateways", measureLimits}) }

// tokenLimit is the limit of the team, in tokens a second.
const tokenLimit = 20000

// Rules for sharing a team's limit among the gateways.
const (
	sharedByDemand = "shared by exchanged demand (crocusglade)"
	equalShares    = "equal shares"
	fullLimitEach  = "each gateway grants the full limit"
)

// usedShares runs a team with a demand of twice its limit that moves between gateways. It returns the used fraction of the limit
// in each interval of 10 s.
func usedShares(t *testing.T, seed uint64, rule string) []float64 {
	var used []float64
	synctest.Test(t, func(t *testing.T) {
		var queues []*admission.Queue
		for i := range gatewayCount {
			q := admission.New()
			q.SetVMName(string(rune('a' + i)))
			limit := float64(tokenLimit)
			if rule == equalShares {
				limit /= gatewayCount
			}
			q.SetTeams(map[string]admission.TeamConfig{"t": {Limits: apitypes.Limits{TokensPerSecond: limit}}})
			queues = append(queues, q)
		}
		s := stream{team: "t", pool: "p", perSecond: 2 * tokenLimit / 550, promptTokens: [2]int{200, 800}, outputTokens: [2]int{20, 80}}
		work := generateRequests(seed, 2*time.Minute, gatewayCount, []stream{s})
		start, nextExchange := time.Now(), time.Duration(0)
		sums := make([]float64, 12)
		for _, w := range work {
			for nextExchange <= w.arrival && rule == sharedByDemand {
				time.Sleep(time.Until(start.Add(nextExchange)))
				exchangeDemand(queues)
				nextExchange += exchangeInterval
			}
			time.Sleep(time.Until(start.Add(w.arrival)))
			g := w.gateway
			// For 20 s of each 40 s nine tenths of the callers use one gateway, another one each time.
			if step := int(w.arrival / (20 * time.Second)); step%2 == 1 && w.promptTokens%10 != 0 {
				g = step / 2 % gatewayCount
			}
			ticket, err := queues[g].Acquire(t.Context(), admission.Request{Team: "t", Pool: "p", Tokens: w.tokens()})
			if err == nil {
				sums[w.arrival/(10*time.Second)] += float64(w.tokens())
				ticket.Release(w.tokens())
			}
		}
		for _, sum := range sums {
			used = append(used, sum/(10*tokenLimit))
		}
	})
	return used
}

// exchangeDemand sends the demand at each queue to all others.
func exchangeDemand(queues []*admission.Queue) {
	all := make([]map[string]admission.Demand, len(queues))
	for i, q := range queues {
		all[i] = q.DemandByTeam()
	}
	time.Sleep(oneWayDelay)
	for i := range queues {
		for j, to := range queues {
			if i != j {
				to.SetPeerDemand(string(rune('a'+i)), all[i])
			}
		}
	}
}

func measureLimits(t *testing.T, r *report) {
	r.printf("## A team's limit across gateways (design 6.4)\n\nA team asks for twice its limit. Every 20 s its demand moves from all four gateways to mostly one, or back. Figures are the\n")
	r.printf("share of the limit used in each interval of 10 s of a run of two minutes. Target: within 10%% of the limit.\n\n")
	var rows [][]string
	for _, rule := range []string{sharedByDemand, equalShares, fullLimitEach} {
		var least, most, deviations series
		for _, used := range eachSeed(t, func(t *testing.T, seed uint64) []float64 { return usedShares(t, seed, rule) }) {
			lowest, highest := math.Inf(1), 0.0
			for _, u := range used {
				lowest, highest = min(lowest, u), max(highest, u)
			}
			least, most = append(least, lowest), append(most, highest)
			deviations = append(deviations, max(highest-1, 1-lowest))
		}
		rows = append(rows, []string{rule, least.percent(), most.percent()})
		if rule != sharedByDemand {
			continue
		}
		for _, deviation := range deviations {
			if deviation > 0.1 {
				t.Errorf("used tokens deviate from the limit by %.1f%% in an interval of 10 s, want at most 10%%", 100*deviation)
			}
		}
		defer func() { r.printf("Target %s.\n\n", verdictOverSeeds(deviations, 0.1)) }()
	}
	r.table([]string{"rule", "least used", "most used"}, rows)
	t.Logf("%v", rows)
}
