package enginemodel_test

import (
	"encoding/xml"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

var loadDir = flag.String("load.write", "", "directory in which the table and the plot of goodput against load are written")

// Guards against placement that is no better than simple policies at the load of a calm day and at twice that load, while the mix
// of requests changes: more callers must get their first token in time than with the baselines, no class may be starved, and
// fewer tokens of shared parts may be prefilled than with least in flight.
func TestGoodputUnderChangingMix(t *testing.T) {
	for _, load := range []float64{1, 2} {
		placed, least, subject := simulate(t, load, true, byPlacement), simulate(t, load, true, leastInFlight), simulate(t, load, true, bySubject)
		t.Logf("load %.1f: in time %.3f, least in flight %.3f, by subject %.3f; shared tokens prefilled %d, %d, %d", load, placed.totalInTimeShare(),
			least.totalInTimeShare(), subject.totalInTimeShare(), placed.sharedTokensPrefilled, least.sharedTokensPrefilled, subject.sharedTokensPrefilled)
		if placed.totalInTimeShare() <= max(least.totalInTimeShare(), subject.totalInTimeShare()) || placed.sharedTokensPrefilled >= least.sharedTokensPrefilled {
			t.Errorf("load %.1f: no better than the baselines", load)
		}
		placed.checkClasses(t, load)
	}
}

// Guards against a collapse of goodput when more requests arrive than the engines can prefill: without a limit on waits, all
// requests wait until their deadline. At three times the load of a calm day, at least half of the requests must get their first
// token in time and at least 0.9 must be served; at four times, 0.25 and half. The most urgent class must not do worse than the
// least urgent one.
func TestGoodputBeyondCapacity(t *testing.T) {
	for _, c := range []struct{ load, inTime, served float64 }{{3, 0.5, 0.9}, {4, 0.25, 0.5}} {
		result := simulate(t, c.load, true, byPlacement)
		served := result.servedShare()
		t.Logf("load %.1f: %.3f in time, %.3f served", c.load, result.totalInTimeShare(), served)
		if result.totalInTimeShare() < c.inTime || served < c.served {
			t.Errorf("load %.1f: %.3f in time, want %.2f; %.3f served, want %.2f", c.load, result.totalInTimeShare(), c.inTime, served, c.served)
		}
		result.checkClasses(t, c.load)
		if mostUrgent, leastUrgent := result.inTimeShare("crew-note"), result.inTimeShare("season-digest"); mostUrgent < leastUrgent {
			t.Errorf("load %.1f: the most urgent class has %.3f in time, the least urgent %.3f", c.load, mostUrgent, leastUrgent)
		}
	}
}

// Guards against runs that can't be repeated: each run with the same seed has the same result.
func TestSameSeedSameResult(t *testing.T) {
	first := simulateSeed(t, 3, 4, true, byPlacement)
	for range 2 {
		again := simulateSeed(t, 3, 4, true, byPlacement)
		if !reflect.DeepEqual(first.inTime, again.inTime) || first.served != again.served || first.sharedTokensPrefilled != again.sharedTokensPrefilled {
			t.Errorf("%v in time, %d served, %d shared tokens prefilled; before %v, %d, %d", again.inTime, again.served, again.sharedTokensPrefilled,
				first.inTime, first.served, first.sharedTokensPrefilled)
		}
	}
}

// checkClasses checks that the share in time of each class is at least half of the share of all requests.
func (r *runResult) checkClasses(t *testing.T, load float64) {
	t.Helper()
	for _, c := range classes {
		if s := r.inTimeShare(c.name); s < r.totalInTimeShare()/2 {
			t.Errorf("load %.1f: %s has %.3f in time, all have %.3f", load, c.name, s, r.totalInTimeShare())
		}
	}
}

// Guards against an incomplete page of `make load`: the table needs a row for each policy and load, the plot a line for each
// policy. With -load.write, the test simulates all loads and writes the files.
func TestLoad(t *testing.T) {
	loads := []float64{0.5, 1}
	if *loadDir != "" {
		loads = []float64{0.5, 1, 1.5, 2, 2.5, 3, 4}
	}
	page, chart := simulateLoads(t, loads)
	if rows := strings.Count(page, "\n| ") - 2; rows != len(loads)*len(policies) {
		t.Errorf("the table has %d rows, want %d", rows, len(loads)*len(policies))
	}
	if strings.Contains(page+chart, "NaN") || strings.Contains(page, "TABLE") {
		t.Errorf("values are missing:\n%s\n%s", page, chart)
	}
	if lines := strings.Count(chart, "<polyline"); lines != len(policies) {
		t.Errorf("the plot has %d lines, want %d", lines, len(policies))
	}
	if err := xml.Unmarshal([]byte(chart), new(struct{})); err != nil {
		t.Errorf("parse the plot: %v", err)
	}
	if *loadDir == "" {
		return
	}
	for name, text := range map[string]string{"load.md": page, "load.svg": chart} {
		if err := os.WriteFile(filepath.Join(*loadDir, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// simulateLoads simulates all policies at the loads and returns the page and the plot.
func simulateLoads(t *testing.T, loads []float64) (page, chart string) {
	t.Helper()
	curves := make([][]float64, len(policies))
	var table strings.Builder
	table.WriteString("| load | requests/s | policy | served | in time | season-digest | line-check | crew-note | p95 time to first token, ms | shared tokens prefilled, M |\n")
	table.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, load := range loads {
		for i, p := range policies {
			result := simulate(t, load, true, p.newPolicy)
			curves[i] = append(curves[i], result.totalInTimeShare()*load*siteRate)
			fmt.Fprintf(&table, "| %.1f | %.0f | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %d | %.2f |\n", load, load*siteRate, p.name, result.servedShare(), result.totalInTimeShare(),
				result.inTimeShare("season-digest"), result.inTimeShare("line-check"), result.inTimeShare("crew-note"), result.p95FirstToken().Milliseconds(), float64(result.sharedTokensPrefilled)/1e6)
		}
	}
	return strings.Replace(loadPage, "TABLE\n", table.String(), 1), plot(loads, curves)
}
