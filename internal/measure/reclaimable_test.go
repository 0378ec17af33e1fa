package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

func init() { sections = append(sections, section{10, "reclaimable endpoints", measureReclaimable}) }

const (
	// reclaimableLoad is the fraction of the usual work that is replayed. The rest of the capacity covers a lost failure domain.
	reclaimableLoad = 0.7
	// onDemandEngines is the number of on-demand engines, two in each failure domain. All other engines are reclaimable.
	onDemandEngines  = 6
	reclaimNotice    = 5 * time.Second
	reclaimStart     = 10 * time.Second // from the first request to the notice
	reclaimRunLength = 30 * time.Second
	// providerPollInterval is the longest time until the provider's list is read, as in internal/controller.
	providerPollInterval = 2 * time.Second
	// affectedFrom and affectedTo bound the arrival times of the requests that a reclaim may affect.
	affectedFrom = reclaimStart - 5*time.Second
	affectedTo   = reclaimStart + reclaimNotice + 5*time.Second
)

// reclaimRule is a rule for placing reclaimable endpoints and for handling their reclaim.
type reclaimRule struct {
	name         string
	noSpread     bool // all reclaimable endpoints are in one failure domain
	ignoreNotice bool
	noReclaim    bool // no endpoint is reclaimed
}

var reclaimRules = []reclaimRule{{name: "spread, streams moved after the notice (crocusglade)"}, {name: "no spread", noSpread: true}, {name: "reclaim notice ignored", ignoreNotice: true},
	{name: "no reclaim", noReclaim: true}}

// defaultReclaimRule is the index in reclaimRules of the rule that crocusglade uses.
const defaultReclaimRule = 0

// reclaimFigures holds the figures of one run. The counts are of requests that arrived around the reclaim.
type reclaimFigures struct {
	reclaimableShare                             float64 // of the output tokens in complete responses
	aroundReclaim, aborted, rerun, late, refused float64
	moved                                        float64 // requests whose stream moved to another endpoint
	affected                                     float64 // fraction of aroundReclaim that was aborted, refused, late or rerun
	inTime                                       float64 // fraction of all requests
}

// prepare makes all engines beyond onDemandEngines reclaimable.
func (rule reclaimRule) prepare(c *cluster) {
	for i, name := range c.engineNames {
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

// reclaim reclaims the reclaimable endpoints of one failure domain after a notice.
func (rule reclaimRule) reclaim(ctx context.Context, c *cluster, rng *rand.Rand) {
	domain := c.domains[0]
	if chosen := c.domains[rng.IntN(len(c.domains))]; !rule.noSpread {
		domain = chosen
	}
	noticeDelay, removalDelay := time.Duration(rng.Int64N(int64(providerPollInterval))), time.Duration(rng.Int64N(int64(providerPollInterval)))
	if rule.noReclaim || pause(ctx, nil, warmUp+reclaimStart) != nil {
		return
	}
	var reclaimed []*engine
	for _, name := range c.engineNames {
		if e := c.engines[name]; e.Class == apitypes.Reclaimable && e.FailureDomain == domain {
			reclaimed = append(reclaimed, e)
		}
	}
	at := time.Now().Add(reclaimNotice)
	if pause(ctx, nil, noticeDelay) != nil {
		return
	}
	for _, e := range reclaimed {
		if !rule.ignoreNotice {
			e.setReclaimAt(at)
		}
	}
	if pause(ctx, nil, time.Until(at)) != nil {
		return
	}
	for _, e := range reclaimed {
		e.terminate()
	}
	if pause(ctx, nil, reportLag+removalDelay) == nil {
		c.removeEndpoints(reclaimed)
	}
}

// setReclaimAt adds the reclaim notice to the provider's list.
func (e *engine) setReclaimAt(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ReclaimAt = at.UnixMilli()
}

// terminate ends a reclaimed engine for good.
func (e *engine) terminate() {
	e.crash()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.State = apitypes.EndpointGone
}

// removeEndpoints removes endpoints that the provider no longer lists from all gateways.
func (c *cluster) removeEndpoints(endpoints []*engine) {
	for _, g := range c.gateways {
		for _, e := range endpoints {
			g.chooser.(realBalancer).RemoveEndpoint(e.Pool, e.Name)
		}
	}
}

// runReclaim runs a deployment through one reclaim and returns the figures of its streams.
func runReclaim(t *testing.T, d deployment, seed uint64, rule reclaimRule) reclaimFigures {
	streams := &streamTable{running: make(map[*streamAttempt]struct{})}
	d = d.scaled(reclaimableLoad)
	replay(t, d, generateRequests(seed, reclaimRunLength, gatewayCount, d.streams), seed, runOptions{prepare: rule.prepare, handler: streams.handle, changeFleet: func(ctx context.Context, c *cluster) {
		go streams.moveStreams(ctx)
		rule.reclaim(ctx, c, rand.New(rand.NewPCG(seed, 12)))
	}})
	return streams.figures()
}

func (s *streamTable) figures() reclaimFigures {
	var out reclaimFigures
	reclaimableTokens, allTokens, inTime := 0.0, 0.0, 0.0
	for i := range s.results {
		r := &s.results[i]
		if r.complete {
			reclaimableTokens += r.reclaimableTokens
			allTokens += float64(r.outputTokens)
		}
		if r.inTime() {
			inTime++
		}
		if r.arrival >= affectedFrom && r.arrival < affectedTo {
			out.addRequest(r)
		}
	}
	out.reclaimableShare, out.inTime = reclaimableTokens/max(1, allTokens), inTime/float64(max(1, len(s.results)))
	out.affected /= max(1, out.aroundReclaim)
	return out
}

// addRequest counts a request that arrived around the reclaim.
func (f *reclaimFigures) addRequest(r *streamResult) {
	f.aroundReclaim++
	late := r.complete && !r.inTime()
	count := func(n *float64, holds bool) {
		if holds {
			*n++
		}
	}
	count(&f.refused, r.refused)
	count(&f.aborted, !r.refused && !r.complete)
	count(&f.rerun, r.reruns > 0)
	count(&f.late, late)
	count(&f.moved, r.moves > 0)
	count(&f.affected, r.refused || !r.complete || r.reruns > 0 || late)
}

func measureReclaimable(t *testing.T, r *report) {
	r.printf("## Work on reclaimable endpoints (design 6.9)\n\nEach deployment runs %.0f%% of its usual work on %d on-demand engines, and reclaimable ones for the rest of its size (4 in\n", 100*reclaimableLoad, onDemandEngines)
	r.printf("riga-gulf, 6 in lk-west), spread over three failure domains or all in one. After %s the reclaimable engines of one\n", reclaimStart)
	r.printf("failure domain get a notice of %s, which gateways learn from the provider's list (read every %s) and a load report. The\n", reclaimNotice, providerPollInterval)
	r.printf("path is admission, balancer, retry budget and quarantine, with the rule of `internal/gateway` for moves on the simulated engines: a\n")
	r.printf("stream continues with its prompt and output so far at another engine that has room. Affected are requests that arrived from\n")
	r.printf("5 s before the notice to 5 s after the loss and were aborted, refused, late or rerun; the row without a reclaim shows\n")
	r.printf("how many are late from load alone. Baselines: no spread over failure domains; reclaim notice ignored.\n\n")
	for _, d := range []deployment{rigaGulf(), lkWest()} {
		var rows [][]string
		for i, rule := range reclaimRules {
			list := eachSeed(t, func(t *testing.T, seed uint64) reclaimFigures { return runReclaim(t, d, seed, rule) })
			rows = append(rows, reclaimRow(rule, list))
			if i == defaultReclaimRule {
				checkReclaim(t, d.name, list)
			}
		}
		r.printf("%s:\n\n", d.name)
		r.table([]string{"rule", "output from reclaimable", "in time", "affected", "requests around the reclaim", "aborted", "refused", "rerun", "late", "moved"}, rows)
		t.Logf("%s %v", d.name, rows)
	}
}

// checkReclaim fails when a reclaim with notice aborts a request or causes it to run again. Streams must move before the endpoint ends.
func checkReclaim(t *testing.T, name string, list []reclaimFigures) {
	for i, f := range list {
		if f.aborted+f.rerun > 0 {
			t.Errorf("%s, seed %d: a reclaim with notice aborted %.0f requests and caused %.0f to run again, want none", name, runSeeds()[i], f.aborted, f.rerun)
		}
	}
}

func reclaimRow(rule reclaimRule, list []reclaimFigures) []string {
	row := []string{rule.name, collect(list, func(f reclaimFigures) float64 { return f.reclaimableShare }).percent(),
		collect(list, func(f reclaimFigures) float64 { return f.inTime }).percent(),
		collect(list, func(f reclaimFigures) float64 { return f.affected }).percent(),
		fmt.Sprintf("%.0f", collect(list, func(f reclaimFigures) float64 { return f.aroundReclaim }).mean())}
	for _, figure := range []func(reclaimFigures) float64{func(f reclaimFigures) float64 { return f.aborted }, func(f reclaimFigures) float64 { return f.refused },
		func(f reclaimFigures) float64 { return f.rerun }, func(f reclaimFigures) float64 { return f.late }, func(f reclaimFigures) float64 { return f.moved }} {
		row = append(row, collect(list, figure).format("%.1f"))
	}
	return row
}
