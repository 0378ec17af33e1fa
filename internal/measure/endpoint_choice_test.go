package measure

import (
	"slices"
	"testing"
)

func init() { sections = append(sections, section{1, "choice of endpoint", measureChoice}) }

// choiceFigures are the figures of one rule over the seeds.
type choiceFigures struct{ p50, p95, skipperP50, skipperP95, inTime, refused, worstP95, worstInTime series }

func (f *choiceFigures) add(d deployment, results []result) {
	all := enginesOnly(d.pool)
	skippers := func(r *result) bool { return r.skipper }
	others := func(r *result) bool { return all(r) && !r.skipper }
	f.p50 = append(f.p50, percentile(firsts(results, others), 0.5))
	f.p95 = append(f.p95, percentile(firsts(results, others), 0.95))
	f.skipperP50 = append(f.skipperP50, percentile(firsts(results, skippers), 0.5))
	f.skipperP95 = append(f.skipperP95, percentile(firsts(results, skippers), 0.95))
	f.inTime = append(f.inTime, share(results, all, (*result).inTime))
	f.addWorst(d, results)
	f.refused = append(f.refused, share(results, all, func(r *result) bool { return r.refused }))
}

// addWorst adds the p95 first-token time and the share in time of the team that each is worst for.
func (f *choiceFigures) addWorst(d deployment, results []result) {
	p95, inTime := 0.0, 1.0
	for _, team := range teamsOf(d) {
		own := func(r *result) bool { return r.pool == d.pool && r.team == team }
		if !slices.ContainsFunc(results, func(r result) bool { return own(&r) }) {
			continue
		}
		p95 = max(p95, percentile(firsts(results, own), 0.95))
		inTime = min(inTime, share(results, own, (*result).inTime))
	}
	f.worstP95, f.worstInTime = append(f.worstP95, p95), append(f.worstInTime, inTime)
}

// measureChoice compares the rules of section 6.5, each with the capacity that it can know.
func measureChoice(t *testing.T, r *report) {
	r.printf("## Choice of endpoint (design 6.5)\n\nTarget: in time more often than every baseline. First-token targets: 340 ms in riga-gulf, 1.2 s in lk-west.\n")
	r.printf("A request without a first token counts as its caller's patience (2 to 6 s).\n")
	r.printf("Admission is the fair queue for all rules, but its capacity is Balancer.Capacity for ours and an even part of the slots for\n")
	r.printf("the baselines, which know nothing else. So the figures compare choice and capacity together. The last two columns take the\n")
	r.printf("team that is worst off in each.\n\n")
	for _, d := range []deployment{rigaGulf(), lkWest()} {
		var rows [][]string
		figures := make(map[rule]*choiceFigures)
		all := []rule{predicted, leastOutstanding, randomOfTwo, roundRobin}
		for _, name := range all {
			f := &choiceFigures{}
			figures[name] = f
			for _, results := range eachSeed(t, func(t *testing.T, seed uint64) []result {
				return run(t, d, record(seed, runLength(), gateways, d.streams), seed, rules{choice: name})
			}) {
				f.add(d, results)
			}
			row := []string{string(name), f.p50.millis(), f.p95.millis()}
			if d.name == "riga-gulf" {
				row = append(row, f.skipperP50.millis(), f.skipperP95.millis())
			}
			rows = append(rows, append(row, f.inTime.percent(), f.refused.percent(), f.worstP95.millis(), f.worstInTime.percent()))
		}
		head := []string{"rule", "p50", "p95"}
		if d.name == "riga-gulf" {
			head = []string{"rule", "clerks p50", "clerks p95", "skippers p50", "skippers p95"}
		}
		r.printf("%s:\n\n", d.name)
		r.table(append(head, "in time", "refused", "worst team's p95", "worst team in time"), rows)
		best := true
		for _, name := range all[1:] {
			best = best && figures[predicted].inTime.mean() > figures[name].inTime.mean()
		}
		r.printf("Target %s.\n\n", verdict(best))
		if !best {
			t.Logf("%s: ours is not in time more often than every baseline: %v", d.name, rows)
		}
		if short() && figures[predicted].inTime.mean() < 0.5 {
			t.Errorf("%s: only %s in time", d.name, figures[predicted].inTime.percent())
		}
		t.Logf("%s %v", d.name, rows)
		if !short() {
			measureGaps(t, r, d, figures[predicted])
		}
	}
}

// measureGaps compares what a gap in an engine's cache events does to its known prefixes.
func measureGaps(t *testing.T, r *report, d deployment, unsure *choiceFigures) {
	forget := &choiceFigures{}
	for _, results := range eachSeed(t, func(t *testing.T, seed uint64) []result {
		return run(t, d, record(seed, runLength(), gateways, d.streams), seed, rules{choice: predicted, resetOnGap: true})
	}) {
		forget.add(d, results)
	}
	r.printf("After a gap in an engine's cache events:\n\n")
	row := func(name string, f *choiceFigures) []string {
		return []string{name, f.p50.millis(), f.p95.millis(), f.inTime.percent()}
	}
	rows := [][]string{row("known prefixes become unsure (ours)", unsure), row("known prefixes are forgotten", forget)}
	r.table([]string{"rule", "p50", "p95", "in time"}, rows)
	t.Logf("%s %v", d.name, rows)
}
