package measure

import (
	"testing"
	"time"
)

func init() { sections = append(sections, section{1, "infrequent load reports", measureRareReports}) }

// measureRareReports compares the choice of endpoints at the usual report interval and at the long interval of a large fleet.
func measureRareReports(t *testing.T, r *report) {
	const rare = 4 * time.Second
	r.printf("## Choice of endpoint with infrequent load reports (design 6.10)\n\nA gateway that tracks 200 endpoints receives load figures of each every %v instead of every %v: the time between reports\nand their lag. All else is as in the next section.\n\n", rare+reportLag, reportInterval+reportLag)
	var rows [][]string
	for _, d := range []deployment{rigaGulf(), lkWest()} {
		for _, every := range []time.Duration{reportInterval, rare} {
			for _, name := range []choiceRule{predictedFirstToken, leastOutstanding} {
				f := &choiceFigures{}
				for _, results := range eachSeed(t, func(t *testing.T, seed uint64) []result {
					return replay(t, d, generateRequests(seed, runLength(), gatewayCount, d.streams), seed, runOptions{choice: name, reportInterval: every})
				}) {
					f.add(d, results)
				}
				rows = append(rows, []string{d.name, (every + reportLag).String(), string(name), f.p95.millis(), f.inTime.percent(), f.refused.percent()})
			}
		}
	}
	r.table([]string{"deployment", "reports every", "rule", "p95", "in time", "refused"}, rows)
	r.printf("Least outstanding uses no reports, so its rows differ only by run-to-run variation.\n\n")
	t.Logf("%v", rows)
}
