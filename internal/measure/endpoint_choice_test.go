package measure

import (
	"slices"
	"testing"
)

func init() { sections = append(sections, section{1, "choice of endpoint", measureChoice}) }

// choiceFigures holds the figures of one rule over the seeds. The first two leave out the urgent requests.
type choiceFigures struct{ p50, p95, urgentP50, urgentP95, inTime, refused, worstP95, worstInTime series }

func (f *choiceFigures) add(d deployment, results []result) {
	inEnginePool := inPool(d.pool)
	urgent := func(r *result) bool { return r.urgent }
	others := func(r *result) bool { return inEnginePool(r) && !r.urgent }
	f.p50 = append(f.p50, percentile(firstTokenTimes(results, others), 0.5))
	f.p95 = append(f.p95, percentile(firstTokenTimes(results, others), 0.95))
	f.urgentP50 = append(f.urgentP50, percentile(firstTokenTimes(results, urgent), 0.5))
	f.urgentP95 = append(f.urgentP95, percentile(firstTokenTimes(results, urgent), 0.95))
	f.inTime = append(f.inTime, fraction(results, inEnginePool, (*result).inTime))
	f.addWorst(d, results)
	f.refused = append(f.refused, fraction(results, inEnginePool, func(r *result) bool { return r.refused }))
}

// addWorst adds the largest p95 time to the first token and the smallest fraction in time of any team.
func (f *choiceFigures) addWorst(d deployment, results []result) {
	p95, inTime := 0.0, 1.0
	for _, team := range teamsOf(d) {
		ofTeam := func(r *result) bool { return r.pool == d.pool && r.team == team }
		if !slices.ContainsFunc(results, func(r result) bool { return ofTeam(&r) }) {
			continue
		}
		p95 = max(p95, percentile(firstTokenTimes(results, ofTeam), 0.95))
		inTime = min(inTime, fraction(results, ofTeam, (*result).inTime))
	}
	f.worstP95, f.worstInTime = append(f.worstP95, p95), append(f.worstInTime, inTime)
}

// measureChoice compares the rules for the choice of an endpoint (design 6.5). Each rule gets the capacity that it can determine.
func measureChoice(t *testing.T, r *report) {
	r.printf("## Choice of endpoint (design 6.5)\n\nTarget: a larger fraction of requests in time than with every baseline. Targets for the first token: 340 ms in riga-gulf, 1.2 s in lk-west.\n")
	r.printf("A request without a first token counts with its caller's first-token timeout (2 to 6 s).\n")
	r.printf("Admission is the fair queue for all rules, but its capacity is Balancer.Capacity for crocusglade and an equal share of the slots for\n")
	r.printf("the baselines, which have no other data. So the figures compare choice and capacity together. The last two columns show the\n")
	r.printf("team with the worst figure in each.\n\n")
	for _, d := range []deployment{rigaGulf(), lkWest()} {
		var rows [][]string
		figures := make(map[choiceRule]*choiceFigures)
		all := []choiceRule{predictedFirstToken, leastOutstanding, powerOfTwoChoices, roundRobin}
		for _, name := range all {
			f := &choiceFigures{}
			figures[name] = f
			for _, results := range eachSeed(t, func(t *testing.T, seed uint64) []result {
				return replay(t, d, generateRequests(seed, runLength(), gatewayCount, d.streams), seed, runOptions{choice: name})
			}) {
				f.add(d, results)
			}
			row := []string{string(name), f.p50.millis(), f.p95.millis()}
			if d.name == "riga-gulf" {
				row = append(row, f.urgentP50.millis(), f.urgentP95.millis())
			}
			rows = append(rows, append(row, f.inTime.percent(), f.refused.percent(), f.worstP95.millis(), f.worstInTime.percent()))
		}
		head := []string{"rule", "p50", "p95"}
		if d.name == "riga-gulf" {
			head = []string{"rule", "clerks p50", "clerks p95", "skippers p50", "skippers p95"}
		}
		r.printf("%s:\n\n", d.name)
		r.table(append(head, "in time", "refused", "worst team's p95", "worst team in time"), rows)
		aboveAll := true
		for _, name := range all[1:] {
			aboveAll = aboveAll && figures[predictedFirstToken].inTime.mean() > figures[name].inTime.mean()
		}
		r.printf("Target %s.\n\n", verdict(aboveAll))
		if !aboveAll {
			t.Logf("%s: a baseline is in time at least as often as the balancer: %v", d.name, rows)
		}
		if short() && figures[predictedFirstToken].inTime.mean() < 0.5 {
			t.Errorf("%s: %s of the requests in time, want at least 50%%", d.name, figures[predictedFirstToken].inTime.percent())
		}
		t.Logf("%s %v", d.name, rows)
		if !short() {
			measureGaps(t, r, d, figures[predictedFirstToken])
		}
	}
}

// measureGaps compares two ways to treat the known prefixes of an engine after a gap in its cache events: to keep them as
// uncertain or to drop them.
func measureGaps(t *testing.T, r *report, d deployment, uncertain *choiceFigures) {
	dropped := &choiceFigures{}
	for _, results := range eachSeed(t, func(t *testing.T, seed uint64) []result {
		return replay(t, d, generateRequests(seed, runLength(), gatewayCount, d.streams), seed, runOptions{choice: predictedFirstToken, resetOnGap: true})
	}) {
		dropped.add(d, results)
	}
	r.printf("After a gap in an engine's cache events:\n\n")
	row := func(name string, f *choiceFigures) []string {
		return []string{name, f.p50.millis(), f.p95.millis(), f.inTime.percent()}
	}
	rows := [][]string{row("known prefixes become uncertain (crocusglade)", uncertain), row("known prefixes are dropped", dropped)}
	r.table([]string{"rule", "p50", "p95", "in time"}, rows)
	t.Logf("%s %v", d.name, rows)
}
