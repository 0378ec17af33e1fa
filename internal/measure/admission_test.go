package measure

import (
	"slices"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

func init() { sections = append(sections, section{2, "admission", measureAdmission}) }

// flood is one team's flood of requests on a deployment.
type flood struct {
	deployment
	team  string
	times float64
}

func floods() []flood {
	return []flood{{rigaGulf(), "clerks-riga", 6}, {lkWest(), "clerks", 6}}
}

// fairness are the figures of a run under a flood.
type fairness struct {
	worst, median float64 // p95 first-token time in seconds of the worst-served and the median team, the flooding one left out
	skippers      float64
	inTime        float64 // of the teams that do not flood
	refusedOthers float64
	// normalRatio is worst to median among the teams of the normal class only.
	normalRatio float64
	// worstInTime is the in-time share of the team with the smallest one, and floodServed the requests of the flooding team
	// that got a first token, as a multiple of its usual requests.
	worstInTime, floodServed float64
}

func (f flood) run(t *testing.T, seed uint64, fifo bool) fairness {
	from, to := runLength()/6, runLength()
	d := f.deployment.flooded(f.team, f.times, from, to)
	results := run(t, d, record(seed, runLength(), gateways, d.streams), seed, rules{fifo: fifo})
	during := func(r *result) bool { return r.pool == d.pool && r.team != f.team && r.at > from }
	var p95, normal []float64
	worstInTime := 1.0
	for _, team := range teamsOf(d) {
		if team == f.team {
			continue
		}
		p := percentile(firsts(results, func(r *result) bool { return during(r) && r.team == team }), 0.95)
		p95 = append(p95, p)
		worstInTime = min(worstInTime, share(results, func(r *result) bool { return during(r) && r.team == team }, (*result).inTime))
		if slices.ContainsFunc(d.streams, func(s stream) bool {
			return s.team == team && s.pool == d.pool && s.priority == apitypes.PriorityNormal
		}) {
			normal = append(normal, p)
		}
	}
	slices.Sort(p95)
	slices.Sort(normal)
	return fairness{
		worst: p95[len(p95)-1], median: p95[len(p95)/2],
		skippers:    percentile(firsts(results, func(r *result) bool { return during(r) && r.skipper }), 0.95),
		inTime:      share(results, during, (*result).inTime),
		worstInTime: worstInTime, floodServed: f.servedFlood(results, from) / (f.usual() * (to - from).Seconds()),
		normalRatio:   normal[len(normal)-1] / normal[len(normal)/2],
		refusedOthers: share(results, during, func(r *result) bool { return r.refused }),
	}
}

// usual returns the flooding team's requests a second without its flood.
func (f flood) usual() float64 {
	i := slices.IndexFunc(f.streams, func(s stream) bool { return s.team == f.team && s.pool == f.pool })
	return f.streams[i].perSecond
}

func (f flood) servedFlood(results []result, from time.Duration) float64 {
	served := 0
	for i := range results {
		if r := &results[i]; r.pool == f.pool && r.team == f.team && r.at > from && r.first > 0 {
			served++
		}
	}
	return float64(served)
}

func teamsOf(d deployment) []string {
	var teams []string
	for _, s := range d.streams {
		if !slices.Contains(teams, s.team) {
			teams = append(teams, s.team)
		}
	}
	return teams
}

// column collects one figure of all seeds.
func column[T any](list []T, figure func(T) float64) series {
	out := make(series, len(list))
	for i, v := range list {
		out[i] = figure(v)
	}
	return out
}

// skipperColumn formats the skippers' figure; lk-west has none.
func skipperColumn(s series) string {
	if s.mean() == 0 {
		return "none"
	}
	return s.millis()
}

// measureAdmission compares section 6.4 with first come, first served under a flood by one team.
func measureAdmission(t *testing.T, r *report) {
	r.printf("## Admission (design 6.4)\n\nOne team sends seven times its usual requests after the first sixth of the run. Target: the p95 first-token time of the\n")
	r.printf("worst-served team is at most 1.2 times the median team's. The flooding team is left out. Teams differ in class and\n")
	r.printf("prompts; the row without a flood shows how much they differ by themselves. The smallest teams send about 40 requests in\n")
	r.printf("a run of lk-west, so their p95 is uncertain. \"Worst team in time\" is the team with the smallest share in time; \"flooding\n")
	r.printf("team served\" is how many of its requests got a first token, as a multiple of its usual requests. First come, first\n")
	r.printf("served treats all teams alike by serving all of them badly.\n\n")
	for _, f := range floods() {
		var rows [][]string
		add := func(name string, list []fairness) {
			ratio := column(list, func(v fairness) float64 { return v.worst / v.median })
			rows = append(rows, []string{name, ratio.String(), column(list, func(v fairness) float64 { return v.normalRatio }).String(), column(list, func(v fairness) float64 { return v.worst }).millis(),
				column(list, func(v fairness) float64 { return v.median }).millis(),
				skipperColumn(column(list, func(v fairness) float64 { return v.skippers })),
				column(list, func(v fairness) float64 { return v.inTime }).percent(),
				column(list, func(v fairness) float64 { return v.worstInTime }).percent(),
				column(list, func(v fairness) float64 { return v.refusedOthers }).percent(),
				column(list, func(v fairness) float64 { return v.floodServed }).String()})
		}
		calm, mild := f, f
		calm.times, mild.times = 0.01, 2
		none := eachSeed(t, func(t *testing.T, seed uint64) fairness { return calm.run(t, seed, false) })
		fair := eachSeed(t, func(t *testing.T, seed uint64) fairness { return f.run(t, seed, false) })
		plain := eachSeed(t, func(t *testing.T, seed uint64) fairness { return f.run(t, seed, true) })
		add("no flood, weighted fair queue", none)
		add("weighted fair queue (ours)", fair)
		if !short() {
			add("the same, three times the usual requests", eachSeed(t, func(t *testing.T, seed uint64) fairness { return mild.run(t, seed, false) }))
		}
		add("first come, first served", plain)
		r.printf("%s, flood by %s:\n\n", f.name, f.team)
		r.table([]string{"rule", "worst/median", "in the normal class", "worst p95", "median p95", "skippers p95", "others in time", "worst team in time", "others refused", "flooding team served"}, rows)
		ratio := column(fair, func(v fairness) float64 { return v.worst / v.median })
		r.printf("Target %s: %.2f times the median team.\n\n", verdictOfAll(ratio, 1.2), ratio.mean())
		t.Logf("%s %v", f.name, rows)
		ours := column(fair, func(v fairness) float64 { return v.inTime }).mean()
		base := column(plain, func(v fairness) float64 { return v.inTime }).mean()
		if ours <= base {
			t.Errorf("%s: the other teams were in time %.1f%% with the fair queue, %.1f%% without", f.name, 100*ours, 100*base)
		}
	}
}

// Guards against starvation of the low class: batch requests must go on while urgent ones alone fill the pool.
func TestLowClassIsServedUnderUrgentOverload(t *testing.T) {
	d := rigaGulf()
	d = d.flooded("fleet-north", 6, 0, time.Minute)
	results := run(t, d, record(1, 20*time.Second, gateways, d.streams), 1, rules{})
	served := share(results, func(r *result) bool { return r.team == "audit" }, func(r *result) bool { return r.first > 0 })
	if served < 0.1 {
		t.Errorf("%.0f%% of the batch requests were served", 100*served)
	}
}
