package measure

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

var outputPath = flag.String("measure.write", "", "file to write the measurements to; empty runs the short form")

// seeds are the seeds of the measurements. The short form uses only the first.
var seeds = []uint64{1, 2, 3, 4, 5}

// short reports whether this is an ordinary test run, which checks properties on short runs and writes no page.
func short() bool { return *outputPath == "" }

func runSeeds() []uint64 {
	if short() {
		return seeds[:1]
	}
	return seeds
}

// report builds the text of docs/measurements.md section by section. It collects the tables for the summary.
type report struct {
	strings.Builder
	section string
	tables  []table
}

func (r *report) printf(format string, args ...any) { fmt.Fprintf(&r.Builder, format, args...) }

// table writes a Markdown table. The line of text before the table is its caption.
func (r *report) table(head []string, rows [][]string) {
	text := strings.TrimSpace(r.String())
	r.tables = append(r.tables, table{r.section, text[strings.LastIndex(text, "\n")+1:], head, rows})
	r.printf("| %s |\n|%s\n", strings.Join(head, " | "), strings.Repeat(" --- |", len(head)))
	for _, row := range rows {
		r.printf("| %s |\n", strings.Join(row, " | "))
	}
	r.printf("\n")
}

// sections are the parts of the page. They are sorted by their order field before they run.
var sections []section

type section struct {
	order int
	name  string
	run   func(t *testing.T, r *report)
}

// TestMeasure runs all sections. With -measure.write it writes the page; otherwise it runs the short form, which checks properties
// only.
func TestMeasure(t *testing.T) {
	head, r := &report{}, &report{}
	head.printf("# Measurements of decisions\n\n")
	head.printf("This page is written by `make measure`. The real decision packages run in virtual time against small seeded simulations of\n")
	head.printf("engines: a prefill rate, decode slots, 2,000 KV blocks, a prefix cache, a role, load reports that arrive 300 ms late and\n")
	head.printf("taken every 550 ms, and cache events that arrive 1 s late with 5%% of the batches lost. Four gateways exchange dispatched requests and\n")
	head.printf("demand every 200 ms. All rules replay the same workload. Figures are the mean over seeds %v with the minimum and\n", seeds)
	head.printf("the maximum in brackets. Two runs with the same seed differ slightly, because goroutines that wake at the same virtual moment\n")
	head.printf("run in any order; worst/median under a flood was 1.14 to 1.23 in riga-gulf and 1.16 to 1.24 in lk-west in three runs. The figures compare rules with each other on these simulated engines; they do not predict the performance of real engines.\n\n")
	slices.SortFunc(sections, func(a, b section) int { return a.order - b.order })
	ran := 0
	for _, s := range sections {
		r.section = s.name
		ok := t.Run(s.name, func(t *testing.T) { ran++; s.run(t, r) })
		if !ok {
			r.printf("**The section %q failed in this run; its figures are incomplete.**\n\n", s.name)
		}
	}
	summary := ""
	// A -run pattern may leave sections out, and the summary needs all of them.
	if ran == len(sections) {
		summary = summarise(t, r.tables)
	}
	if short() {
		return
	}
	if err := os.WriteFile(*outputPath, []byte(head.String()+summary+r.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

// series holds the values of one figure, one per seed.
type series []float64

func (s series) mean() float64 {
	sum := 0.0
	for _, v := range s {
		sum += v
	}
	return sum / float64(max(1, len(s)))
}

func (s series) String() string {
	return s.format("%.2f")
}

func (s series) format(f string) string {
	if len(s) == 0 {
		return "none"
	}
	return fmt.Sprintf(f+" ["+f+", "+f+"]", s.mean(), slices.Min(s), slices.Max(s))
}

// millis formats a series of seconds as milliseconds, percent a series of fractions as percentages.
func (s series) millis() string  { return s.scaled(1000).format("%.0f ms") }
func (s series) percent() string { return s.scaled(100).format("%.1f%%") }

func (s series) scaled(by float64) series {
	out := slices.Clone(s)
	for i := range out {
		out[i] *= by
	}
	return out
}

// firstTokenTimes returns the sorted times to the first token, in seconds, of the results for which include is true. A request
// without a first token, because it was refused or failed, counts with its whole first-token timeout.
func firstTokenTimes(results []result, include func(*result) bool) []float64 {
	var out []float64
	for i := range results {
		r := &results[i]
		if !include(r) {
			continue
		}
		first := r.firstToken
		if first == 0 {
			first = r.firstTokenTimeout
		}
		out = append(out, first.Seconds())
	}
	slices.Sort(out)
	return out
}

// percentile returns the value at the fraction p of a sorted list, or 0 for an empty list.
func percentile(sorted []float64, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// fraction returns the fraction of the included results for which holds is true.
func fraction(results []result, include, holds func(*result) bool) float64 {
	n, yes := 0, 0
	for i := range results {
		if !include(&results[i]) {
			continue
		}
		n++
		if holds(&results[i]) {
			yes++
		}
	}
	return float64(yes) / float64(max(1, n))
}

// inPool returns a filter for the requests of a pool.
func inPool(pool string) func(*result) bool {
	return func(r *result) bool { return r.pool == pool }
}

// verdict returns the words for a target that was met or missed.
func verdict(met bool) string {
	if met {
		return "met"
	}
	return "**missed**"
}

// verdictOverSeeds returns the words for a figure that is at most its bound for all seeds, on average only, or not at all.
func verdictOverSeeds(s series, bound float64) string {
	switch {
	case slices.Max(s) <= bound:
		return "met"
	case s.mean() <= bound:
		return "met on average, **missed** by some seeds"
	}
	return "**missed**"
}

// runLength returns the length of a run in virtual time.
func runLength() time.Duration {
	if short() {
		return 20 * time.Second
	}
	return 60 * time.Second
}

// eachSeed runs a measurement for all seeds concurrently and returns the figures in the order of the seeds.
func eachSeed[T any](t *testing.T, measureOne func(t *testing.T, seed uint64) T) []T {
	t.Helper()
	list := runSeeds()
	out := make([]T, len(list))
	var group sync.WaitGroup
	for i, seed := range list {
		group.Go(func() {
			t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { out[i] = measureOne(t, seed) })
		})
	}
	group.Wait()
	return out
}
