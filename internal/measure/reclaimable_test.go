package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

func init() { sections = append(sections, section{10, "cheap endpoints", measureCheap}) }

const (
	// cheapLoad is the part of the usual work that is played: the rest of the capacity is the base for a lost failure domain.
	cheapLoad = 0.7
	// onDemandEngines is the base: two in each failure domain. All others are reclaimable.
	onDemandEngines = 6
	reclaimNotice   = 5 * time.Second
	reclaimFrom     = 10 * time.Second
	cheapLength     = 30 * time.Second
	// noticePoll is the longest time until the provider's list is read, as in internal/controller.
	noticePoll = 2 * time.Second
	// harmFrom and harmTo bound the requests that a reclaim may harm, by their arrival.
	harmFrom = reclaimFrom - 5*time.Second
	harmTo   = reclaimFrom + reclaimNotice + 5*time.Second
)

// cheapRule is how reclaimable endpoints are placed and reclaimed.
type cheapRule struct {
	name      string
	noSpread  bool // all reclaimable endpoints in one failure domain
	ignore    bool // the notice is ignored
	noReclaim bool
}

var cheapRules = []cheapRule{{name: "spread, notice moves streams (ours)"}, {name: "no spread", noSpread: true}, {name: "notice ignored", ignore: true},
	{name: "no reclaim", noReclaim: true}}

// cheapOurs is the place of our rule in cheapRules.
const cheapOurs = 0

// cheapFigures are the figures of one run. The harmed ones are requests that arrived around the reclaim.
type cheapFigures struct {
	share                             float64 // of output tokens in whole answers, from reclaimable endpoints
	around, cut, rerun, late, refused float64
	moved                             float64
	harmed                            float64 // share of the requests around the reclaim that were cut, refused, late or run again
	inTime                            float64
}

// prepareCheap makes all engines above the base reclaimable.
func (rule cheapRule) prepare(c *cluster) {
	for i, name := range c.names {
		e := c.engines[name]
		if e.Pool != c.pool || i < onDemandEngines {
			continue
		}
		e.Class = apitypes.Reclaimable
		if rule.noSpread {
			e.FailureDomain = c.domains[0]
		}
	}
}

// reclaim takes the reclaimable endpoints of one failure domain, with notice.
func (rule cheapRule) reclaim(ctx context.Context, c *cluster, rng *rand.Rand) {
	domain := c.domains[0]
	if chosen := c.domains[rng.IntN(len(c.domains))]; !rule.noSpread {
		domain = chosen
	}
	seen, gone := time.Duration(rng.Int64N(int64(noticePoll))), time.Duration(rng.Int64N(int64(noticePoll)))
	if rule.noReclaim || pause(ctx, nil, firstReports+reclaimFrom) != nil {
		return
	}
	var lost []*engine
	for _, name := range c.names {
		if e := c.engines[name]; e.Class == apitypes.Reclaimable && e.FailureDomain == domain {
			lost = append(lost, e)
		}
	}
	at := time.Now().Add(reclaimNotice)
	if pause(ctx, nil, seen) != nil {
		return
	}
	for _, e := range lost {
		if !rule.ignore {
			e.setReclaim(at)
		}
	}
	if pause(ctx, nil, time.Until(at)) != nil {
		return
	}
	for _, e := range lost {
		e.vanish()
	}
	if pause(ctx, nil, reportLag+gone) == nil {
		c.forget(lost)
	}
}

// setReclaim makes the notice part of the provider's list.
func (e *engine) setReclaim(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ReclaimAt = at.UnixMilli()
}

// vanish ends a reclaimed engine.
func (e *engine) vanish() {
	e.crash()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.State = apitypes.EndpointGone
}

// forget removes endpoints that the provider no longer lists.
func (c *cluster) forget(lost []*engine) {
	for _, g := range c.gateways {
		for _, e := range lost {
			g.choice.(ours).RemoveEndpoint(e.Pool, e.Name)
		}
	}
}

func runCheap(t *testing.T, d deployment, seed uint64, rule cheapRule) cheapFigures {
	streams := &streamTable{running: make(map[*liveStream]struct{})}
	d = d.scaled(cheapLoad)
	run(t, d, record(seed, cheapLength, gateways, d.streams), seed, rules{prepare: rule.prepare, path: streams.serve, disturb: func(ctx context.Context, c *cluster) {
		go streams.runMoves(ctx)
		rule.reclaim(ctx, c, rand.New(rand.NewPCG(seed, 12)))
	}})
	return streams.figures()
}

func (s *streamTable) figures() cheapFigures {
	var out cheapFigures
	cheap, all, inTime := 0.0, 0.0, 0.0
	for i := range s.ends {
		e := &s.ends[i]
		if e.whole {
			cheap += e.cheap
			all += float64(e.output)
		}
		if e.inTime() {
			inTime++
		}
		if e.at >= harmFrom && e.at < harmTo {
			out.addAround(e)
		}
	}
	out.share, out.inTime = cheap/max(1, all), inTime/float64(max(1, len(s.ends)))
	out.harmed /= max(1, out.around)
	return out
}

// addAround counts a request that arrived around the reclaim.
func (f *cheapFigures) addAround(e *streamEnd) {
	f.around++
	late := e.whole && !e.inTime()
	count := func(n *float64, is bool) {
		if is {
			*n++
		}
	}
	count(&f.refused, e.refused)
	count(&f.cut, !e.refused && !e.whole)
	count(&f.rerun, e.reruns > 0)
	count(&f.late, late)
	count(&f.moved, e.moves > 0)
	count(&f.harmed, e.refused || !e.whole || e.reruns > 0 || late)
}

func measureCheap(t *testing.T, r *report) {
	r.printf("## Work on reclaimable endpoints (design 6.9)\n\nEach deployment runs %.0f%% of its usual work on %d on-demand engines, and reclaimable ones for the rest of its size (4 in\n", 100*cheapLoad, onDemandEngines)
	r.printf("riga-gulf, 6 in lk-west), spread over three failure domains or all in one. After %s the reclaimable engines of one\n", reclaimFrom)
	r.printf("failure domain get a notice of %s, which gateways learn with the provider's list (read every %s) and a load report. The\n", reclaimNotice, noticePoll)
	r.printf("path is admission, balancer, retry budget and quarantine, with the rule of `internal/gateway` for moves on the fakes: a\n")
	r.printf("stream goes on with its prompt and output so far at another engine that has room. Harmed are requests that arrived from\n")
	r.printf("5 s before the notice to 5 s after the loss and were cut, refused, late or run again; the row without a reclaim shows\n")
	r.printf("what load alone makes late. Baselines: no spread over failure domains; notice ignored.\n\n")
	for _, d := range []deployment{rigaGulf(), lkWest()} {
		var rows [][]string
		for i, rule := range cheapRules {
			list := eachSeed(t, func(t *testing.T, seed uint64) cheapFigures { return runCheap(t, d, seed, rule) })
			rows = append(rows, cheapRow(rule, list))
			if i == cheapOurs {
				checkReclaim(t, d.name, list)
			}
		}
		r.printf("%s:\n\n", d.name)
		r.table([]string{"rule", "output from reclaimable", "in time", "harmed", "requests around", "cut", "refused", "run again", "late", "moved"}, rows)
		t.Logf("%s %v", d.name, rows)
	}
}

// checkReclaim fails when a reclaim with notice cuts a request or runs it again: its streams move before the endpoint is gone.
func checkReclaim(t *testing.T, name string, list []cheapFigures) {
	for i, f := range list {
		if f.cut+f.rerun > 0 {
			t.Errorf("%s, seed %d: a reclaim with notice cut %.0f requests and %.0f ran again", name, runSeeds()[i], f.cut, f.rerun)
		}
	}
}

func cheapRow(rule cheapRule, list []cheapFigures) []string {
	row := []string{rule.name, column(list, func(f cheapFigures) float64 { return f.share }).percent(),
		column(list, func(f cheapFigures) float64 { return f.inTime }).percent(),
		column(list, func(f cheapFigures) float64 { return f.harmed }).percent(),
		fmt.Sprintf("%.0f", column(list, func(f cheapFigures) float64 { return f.around }).mean())}
	for _, figure := range []func(cheapFigures) float64{func(f cheapFigures) float64 { return f.cut }, func(f cheapFigures) float64 { return f.refused },
		func(f cheapFigures) float64 { return f.rerun }, func(f cheapFigures) float64 { return f.late }, func(f cheapFigures) float64 { return f.moved }} {
		row = append(row, column(list, figure).format("%.1f"))
	}
	return row
}
