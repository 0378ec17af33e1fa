package measure

import (
	"slices"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

func init() { sections = append(sections, section{2, "admission", measureAdmission}) }

// flood is a deployment in which one team sends many times its usual requests.
type flood struct {
	deployment
	team       string
	multiplier float64 // of the team's usual request rate, added to it
}

func floods() []flood {
	return []flood{{rigaGulf(), "clerks-riga", 6}, {lkWest(), "clerks", 6}}
}

// fairness holds the figures of a run under a flood.
type fairness struct {
	worstP95, medianP95 float64 // p95 time to the first token in seconds, of all teams but the flooding one
	urgentP95           float64 // the same of the urgent streams
	inTime              float64 // fraction in time of the requests of the other teams
	othersRefused       float64 // fraction refused of the same requests
	// normalRatio is the ratio of worst to median p95 among the teams with requests of normal priority.
	normalRatio float64
	// worstInTime is the smallest fraction of requests in time of any other team. floodServed is the number of requests of the
	// flooding team that got a first token, as a multiple of its usual number.
	worstInTime, floodServed float64
}

func (f flood) run(t *testing.T, seed uint64, fifo bool) fairness {
	from, to := runLength()/6, runLength()
	d := f.deployment.flooded(f.team, f.multiplier, from, to)
	results := replay(t, d, generateRequests(seed, runLength(), gatewayCount, d.streams), seed, runOptions{fifo: fifo})
	duringFlood := func(r *result) bool { return r.pool == d.pool && r.team != f.team && r.arrival > from }
	var p95, normal []float64
	worstInTime := 1.0
	for _, team := range teamsOf(d) {
		if team == f.team {
			continue
		}
		p := percentile(firstTokenTimes(results, func(r *result) bool { return duringFlood(r) && r.team == team }), 0.95)
		p95 = append(p95, p)
		worstInTime = min(worstInTime, fraction(results, func(r *result) bool { return duringFlood(r) && r.team == team }, (*result).inTime))
		if slices.ContainsFunc(d.streams, func(s stream) bool {
			return s.team == team && s.pool == d.pool && s.priority == apitypes.PriorityNormal
		}) {
			normal = append(normal, p)
		}
	}
	slices.Sort(p95)
	slices.Sort(normal)
	return fairness{
		worstP95: p95[len(p95)-1], medianP95: p95[len(p95)/2],
		urgentP95:   percentile(firstTokenTimes(results, func(r *result) bool { return duringFlood(r) && r.urgent }), 0.95),
		inTime:      fraction(results, duringFlood, (*result).inTime),
		worstInTime: worstInTime, floodServed: f.floodRequestsServed(results, from) / (f.usualRate() * (to - from).Seconds()),
		normalRatio:   normal[len(normal)-1] / normal[len(normal)/2],
		othersRefused: fraction(results, duringFlood, func(r *result) bool { return r.refused }),
	}
}

// usualRate returns the flooding team's requests a second without the flood.
func (f flood) usualRate() float64 {
	i := slices.IndexFunc(f.streams, func(s stream) bool { return s.team == f.team && s.pool == f.pool })
	return f.streams[i].perSecond
}

// floodRequestsServed returns the number of requests of the flooding team after the given time that got a first token.
func (f flood) floodRequestsServed(results []result, from time.Duration) float64 {
	served := 0
	for i := range results {
		if r := &results[i]; r.pool == f.pool && r.team == f.team && r.arrival > from && r.firstToken > 0 {
			served++
		}
	}
	return float64(served)
}

// teamsOf returns the names of the teams of a deployment, each once.
func teamsOf(d deployment) []string {
	var teams []string
	for _, s := range d.streams {
		if !slices.Contains(teams, s.team) {
			teams = append(teams, s.team)
		}
	}
	return teams
}

// collect returns one figure of each element of a list, which has one element per seed.
func collect[T any](list []T, figure func(T) float64) series {
	out := make(series, len(list))
	for i, v := range list {
		out[i] = figure(v)
	}
	return out
}

// urgentColumn formats a figure of the urgent streams. A mean of 0 means that the deployment has none, as in lk-west.
func urgentColumn(s series) string {
	if s.mean() == 0 {
		return "none"
	}
	return s.millis()
}

// measureAdmission compares the weighted fair queue (design 6.4) with first come, first served under a flood by one team.
func measureAdmission(t *testing.T, r *report) {
	r.printf("## Admission (design 6.4)\n\nOne team sends seven times its usual requests after the first sixth of the run. Target: the p95 first-token time of the\n")
	r.printf("worst-served team is at most 1.2 times the median team's. The flooding team is excluded. Teams differ in priority and\n")
	r.printf("prompts; the row without a flood shows how much they differ without one. The smallest teams send about 40 requests in\n")
	r.printf("a run of lk-west, so their p95 is uncertain. \"Worst team in time\" is the team with the smallest fraction in time; \"flooding\n")
	r.printf("team served\" is how many of its requests got a first token, as a multiple of its usual requests. First come, first\n")
	r.printf("served has a low ratio only because it serves all teams badly.\n\n")
	for _, f := range floods() {
		var rows [][]string
		add := func(name string, list []fairness) {
			ratio := collect(list, func(v fairness) float64 { return v.worstP95 / v.medianP95 })
			rows = append(rows, []string{name, ratio.String(), collect(list, func(v fairness) float64 { return v.normalRatio }).String(), collect(list, func(v fairness) float64 { return v.worstP95 }).millis(),
				collect(list, func(v fairness) float64 { return v.medianP95 }).millis(),
				urgentColumn(collect(list, func(v fairness) float64 { return v.urgentP95 })),
				collect(list, func(v fairness) float64 { return v.inTime }).percent(),
				collect(list, func(v fairness) float64 { return v.worstInTime }).percent(),
				collect(list, func(v fairness) float64 { return v.othersRefused }).percent(),
				collect(list, func(v fairness) float64 { return v.floodServed }).String()})
		}
		noFlood, weakFlood := f, f
		noFlood.multiplier, weakFlood.multiplier = 0.01, 2
		withoutFlood := eachSeed(t, func(t *testing.T, seed uint64) fairness { return noFlood.run(t, seed, false) })
		fairQueued := eachSeed(t, func(t *testing.T, seed uint64) fairness { return f.run(t, seed, false) })
		firstCome := eachSeed(t, func(t *testing.T, seed uint64) fairness { return f.run(t, seed, true) })
		add("no flood, weighted fair queue", withoutFlood)
		add("weighted fair queue (crocusglade)", fairQueued)
		if !short() {
			add("weighted fair queue, three times the usual requests", eachSeed(t, func(t *testing.T, seed uint64) fairness { return weakFlood.run(t, seed, false) }))
		}
		add("first come, first served", firstCome)
		r.printf("%s, flood by %s:\n\n", f.name, f.team)
		r.table([]string{"rule", "worst/median", "worst/median, normal priority", "worst p95", "median p95", "skippers p95", "others in time", "worst team in time", "others refused", "flooding team served"}, rows)
		ratio := collect(fairQueued, func(v fairness) float64 { return v.worstP95 / v.medianP95 })
		r.printf("Target %s: %.2f times the median team.\n\n", verdictOverSeeds(ratio, 1.2), ratio.mean())
		t.Logf("%s %v", f.name, rows)
		ours := collect(fairQueued, func(v fairness) float64 { return v.inTime }).mean()
		baseline := collect(firstCome, func(v fairness) float64 { return v.inTime }).mean()
		if ours <= baseline {
			t.Errorf("%s: %.1f%% of the other teams' requests are in time with the fair queue, %.1f%% with first come, first served", f.name, 100*ours, 100*baseline)
		}
	}
}

// Guards against starvation of the lowest priority class: batch requests must be served while urgent requests alone exceed the
// capacity of the pool.
func TestLowClassIsServedUnderUrgentOverload(t *testing.T) {
	d := rigaGulf()
	d = d.flooded("fleet-north", 6, 0, time.Minute)
	results := replay(t, d, generateRequests(1, 20*time.Second, gatewayCount, d.streams), 1, runOptions{})
	served := fraction(results, func(r *result) bool { return r.team == "audit" }, func(r *result) bool { return r.firstToken > 0 })
	if served < 0.1 {
		t.Errorf("%.0f%% of the batch requests were served, want at least 10%%", 100*served)
	}
}
