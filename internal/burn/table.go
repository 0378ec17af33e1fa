package burn

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes the report for a terminal.
func (r Report) WriteTable(w io.Writer) error {
	if len(r.Rows) == 0 {
		_, err := fmt.Fprintln(w, "no requests in the last 6 hours")
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "TEAM\tROUTE\tOBJECTIVE\tGOOD\tTOTAL")
	for _, window := range Windows {
		fmt.Fprintf(t, "\tBURN %s", window.Name)
	}
	fmt.Fprintln(t, "\tSTATE")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d", row.Team, row.Route, percent(row.Objective), row.Good, row.Total)
		for _, rate := range row.Rates {
			fmt.Fprintf(t, "\t%.1f", rate)
		}
		fmt.Fprintf(t, "\t%s\n", row.State)
	}
	return t.Flush()
}

func percent(share float64) string { return fmt.Sprintf("%.4g%%", share*100) }
