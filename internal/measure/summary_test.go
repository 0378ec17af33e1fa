package measure

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// table is a table of the page. Its caption is the line of text before it.
type table struct {
	section, caption string
	head             []string
	rows             [][]string
}

// summaryLine is one line of the summary. Its figures come from a column of a table of the section whose caption begins with the
// name of the deployment and contains the caption given here.
type summaryLine struct {
	measure, target          string
	section, caption, column string
	// onlyDeployment names the one deployment whose table has the column. Empty means that all have it.
	onlyDeployment string
}

// summaryLines are the measures of section 1.4 of the design.
var summaryLines = []summaryLine{
	{measure: "goodput under a fast demand shift, relative to the oracle", target: "95%, above every baseline", section: "roles", caption: fastShiftName, column: "goodput relative to the oracle"},
	{measure: "goodput under a slow demand shift, relative to the oracle", target: "95%, above every baseline", section: "roles", caption: slowShiftName, column: "goodput relative to the oracle"},
	{measure: "role changes per fast shift", target: "at most 2", section: "roles", caption: fastShiftName, column: "role changes per shift"},
	{measure: "role changes per slow shift", target: "at most 2", section: "roles", caption: slowShiftName, column: "role changes per shift"},
	{measure: "requests in time, usual workload", target: "above every baseline", section: "choice of endpoint", column: "in time"},
	{measure: "skippers' p95, usual workload", section: "choice of endpoint", column: "skippers p95", onlyDeployment: "riga-gulf"},
	{measure: "worst team's p95, usual workload", section: "choice of endpoint", column: "worst team's p95"},
	{measure: "worst team in time, usual workload", section: "choice of endpoint", column: "worst team in time"},
	{measure: "worst team's p95 under a flood", section: "admission", caption: "flood", column: "worst p95"},
	{measure: "worst team's p95 under a flood, relative to the median team", target: "at most 1.2", section: "admission", caption: "flood", column: "worst/median"},
	{measure: "other teams in time under a flood", section: "admission", caption: "flood", column: "others in time"},
	{measure: "worst team in time under a flood", section: "admission", caption: "flood", column: "worst team in time"},
	{measure: "endpoint cost relative to the minimum", target: "at most 1.15", section: "fleet", column: "cost relative to the minimum"},
	{measure: "demand served in the worst hour", section: "fleet", column: "worst hour"},
	{measure: "late usage windows, of 12", section: "usage reports", column: "late"},
	{measure: "usage windows reported with conflicting figures", target: "0", section: "usage reports", column: "conflicting figures"},
	{measure: "responses missing from reports", section: "usage reports", column: "missing"},
	{measure: "responses reported in excess", target: "0", section: "usage reports", column: "in excess"},
	{measure: "output from reclaimable endpoints", section: "reclaimable endpoints", column: "output from reclaimable"},
	{measure: "requests affected around a reclaim", section: "reclaimable endpoints", column: "affected"},
	{measure: "requests aborted by a reclaim", section: "reclaimable endpoints", column: "aborted"},
	{measure: "requests rerun because of a reclaim", section: "reclaimable endpoints", column: "rerun"},
}

// summarise returns the summary of each deployment. It reads the figures from the tables of the page, so the two always agree.
func summarise(t *testing.T, tables []table) string {
	r := &report{}
	r.printf("## Summary\n\nThe measures of design 1.4, read from the tables below: crocusglade with the minimum and the maximum over the seeds in brackets, and\n")
	r.printf("the mean of each baseline or control. The sections define each figure.\n\n")
	for _, d := range []deployment{rigaGulf(), lkWest()} {
		var rows [][]string
		for _, line := range summaryLines {
			if line.onlyDeployment == "" || line.onlyDeployment == d.name {
				rows = append(rows, line.row(t, d.name, tables))
			}
		}
		r.printf("%s:\n\n", d.name)
		r.table([]string{"measure", "target", "crocusglade", "baselines and controls"}, rows)
	}
	return r.String()
}

// row returns the row of the line for a deployment. A missing table or column fails the test, so that a section that is renamed or
// removed does not silently vanish from the summary.
func (l summaryLine) row(t *testing.T, deployment string, tables []table) []string {
	for _, table := range tables {
		column := slices.Index(table.head, l.column)
		if table.section == l.section && strings.HasPrefix(table.caption, deployment) && strings.Contains(table.caption, l.caption) && column >= 0 {
			ours, others := splitRules(table.rows, column)
			return []string{l.measure, l.target, ours, others}
		}
	}
	t.Errorf("section %q has no table for %s with the column %q, which the summary needs for %q", l.section, deployment, l.column, l.measure)
	return []string{l.measure, l.target, "not measured", ""}
}

// splitRules returns the figure of crocusglade's rule and the means of the other rules.
func splitRules(rows [][]string, column int) (ours, others string) {
	var rest []string
	for _, row := range rows {
		if strings.Contains(row[0], "(crocusglade)") {
			ours = row[column]
			continue
		}
		mean, _, _ := strings.Cut(row[column], " [")
		rest = append(rest, fmt.Sprintf("%s: %s", row[0], mean))
	}
	return ours, strings.Join(rest, "; ")
}
