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

const limitTokens = 20000 // tokens a second

// limitRules are ways to share a team's limit.
const (
	byDemand  = "shared by exchanged demand (ours)"
	evenParts = "even parts"
	alone     = "each gateway grants the whole limit"
)

// usedShares runs a team with demand of twice its limit that moves between gateways, and returns the used share of the limit
// in each interval of ten seconds.
func usedShares(t *testing.T, seed uint64, rule string) []float64 {
	var used []float64
	synctest.Test(t, func(t *testing.T) {
		var queues []*admission.Queue
		for i := range gateways {
			q := admission.New()
			q.SetSelf(string(rune('a' + i)))
			limit := float64(limitTokens)
			if rule == evenParts {
				limit /= gateways
			}
			q.SetTeams(map[string]admission.TeamConfig{"t": {Limits: apitypes.Limits{TokensPerSecond: limit}}})
			queues = append(queues, q)
		}
		s := stream{team: "t", pool: "p", perSecond: 2 * limitTokens / 550, prompt: [2]int{200, 800}, output: [2]int{20, 80}}
		work := record(seed, 2*time.Minute, gateways, []stream{s})
		begin, nextExchange := time.Now(), time.Duration(0)
		sums := make([]float64, 12)
		for _, w := range work {
			for nextExchange <= w.at && rule == byDemand {
				time.Sleep(time.Until(begin.Add(nextExchange)))
				exchangeDemand(queues)
				nextExchange += exchangeEvery
			}
			time.Sleep(time.Until(begin.Add(w.at)))
			g := w.gateway
			// For 20 s of each 40 s most callers use one gateway, which changes each time.
			if step := int(w.at / (20 * time.Second)); step%2 == 1 && w.prompt%10 != 0 {
				g = step / 2 % gateways
			}
			ticket, err := queues[g].Acquire(t.Context(), admission.Request{Team: "t", Pool: "p", Tokens: w.tokens()})
			if err == nil {
				sums[w.at/(10*time.Second)] += float64(w.tokens())
				ticket.Release(w.tokens())
			}
		}
		for _, sum := range sums {
			used = append(used, sum/(10*limitTokens))
		}
	})
	return used
}

func exchangeDemand(queues []*admission.Queue) {
	all := make([]map[string]admission.Demand, len(queues))
	for i, q := range queues {
		all[i] = q.DemandByTeam()
	}
	time.Sleep(oneWay)
	for i := range queues {
		for j, to := range queues {
			if i != j {
				to.SetPeerDemand(string(rune('a'+i)), all[i])
			}
		}
	}
}

func measureLimits(t *testing.T, r *report) {
	r.printf("## A team's limit across gateways (design 6.4)\n\nA team asks for twice its limit. Every 20 s its demand moves between all four gateways and mostly one. Figures are the\n")
	r.printf("share of the limit used in each interval of 10 s of a run of two minutes. Target: within 10%% of the limit.\n\n")
	var rows [][]string
	for _, rule := range []string{byDemand, evenParts, alone} {
		var least, most, worst series
		for _, used := range eachSeed(t, func(t *testing.T, seed uint64) []float64 { return usedShares(t, seed, rule) }) {
			lo, hi := math.Inf(1), 0.0
			for _, u := range used {
				lo, hi = min(lo, u), max(hi, u)
			}
			least, most = append(least, lo), append(most, hi)
			worst = append(worst, max(hi-1, 1-lo))
		}
		rows = append(rows, []string{rule, least.percent(), most.percent()})
		if rule != byDemand {
			continue
		}
		for _, w := range worst {
			if w > 0.1 {
				t.Errorf("a limit was missed by %.1f%% in an interval of 10 s", 100*w)
			}
		}
		defer func() { r.printf("Target %s.\n\n", verdictOfAll(worst, 0.1)) }()
	}
	r.table([]string{"rule", "least used", "most used"}, rows)
	t.Logf("%v", rows)
}
