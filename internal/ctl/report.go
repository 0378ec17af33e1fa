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

// newReport returns the command group that prints reports.
func newReport(e *env) subcommands.Command {
	return &group{env: e, name: "report", synopsis: "print reports on service levels",
		commands: []subcommands.Command{newReportBurn(e)}}
}

func newReportBurn(e *env) subcommands.Command {
	var htmlPath string
	return &command{env: e, name: "burn", synopsis: "print how fast teams consume their error budgets",
		flags: func(f *flag.FlagSet) { f.StringVar(&htmlPath, "html", "", "also write plots as HTML to this file") },
		run: func(ctx context.Context, args []string) error {
			if len(args) != 0 {
				return usageErrorf("burn takes no arguments; use --html=FILE")
			}
			client, err := e.newClient()
			if err != nil {
				return err
			}
			var response BurnSeries
			if err := client.do(ctx, apiCall{method: http.MethodGet, path: "/burn"}, &response); err != nil {
				return err
			}
			report := burn.NewReport(response.Series, time.Now())
			if htmlPath != "" {
				if err := writeHTMLPage(report, htmlPath); err != nil {
					return err
				}
				fmt.Fprintf(e.stderr, "HTML page written to %s\n", htmlPath)
			}
			if e.wantsJSON() {
				return e.writeJSON(report)
			}
			return report.WriteTable(e.stdout)
		}}
}

func writeHTMLPage(report burn.Report, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return usageErrorf("%v; name a writable file", err)
	}
	if err := report.WriteHTML(file); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "write the HTML page")
	}
	return file.Close()
}
