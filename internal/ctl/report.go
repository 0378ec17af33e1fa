package ctl

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"crocusglade.example/crocusglade/internal/burn"
)

// newReport returns the commands for reports.
func newReport(e *env) subcommands.Command {
	return &group{env: e, name: "report", synopsis: "reports on service levels",
		commands: []subcommands.Command{newReportBurn(e)}}
}

func newReportBurn(e *env) subcommands.Command {
	var html string
	return &command{env: e, name: "burn", synopsis: "print how fast teams use up their error budget",
		flags: func(f *flag.FlagSet) { f.StringVar(&html, "html", "", "also write a page with plots to this file") },
		run: func(ctx context.Context, args []string) error {
			if len(args) != 0 {
				return wrongUsage("burn takes no arguments; use --html=FILE")
			}
			client, err := e.client()
			if err != nil {
				return err
			}
			var answer BurnSeries
			if err := client.do(ctx, call{method: http.MethodGet, path: "/burn"}, &answer); err != nil {
				return err
			}
			report := burn.NewReport(answer.Series, time.Now())
			if html != "" {
				if err := writePage(report, html); err != nil {
					return err
				}
				fmt.Fprintf(e.stderr, "page written to %s\n", html)
			}
			if e.json() {
				return e.writeJSON(report)
			}
			return report.WriteTable(e.stdout)
		}}
}

func writePage(report burn.Report, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return wrongUsage("%v; name a file that can be written", err)
	}
	if err := report.WriteHTML(file); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "write the page")
	}
	return file.Close()
}
