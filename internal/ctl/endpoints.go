package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/google/subcommands"
)

// newEndpoints returns the command that lists endpoints.
func newEndpoints(e *env) subcommands.Command {
	var pool string
	return &command{env: e, name: "endpoints", synopsis: "list endpoints with their state and load",
		flags: func(f *flag.FlagSet) { f.StringVar(&pool, "pool", "", "list only endpoints of this pool") },
		run: func(ctx context.Context, args []string) error {
			if len(args) != 0 {
				return usageErrorf("endpoints takes no arguments; use --pool=POOL")
			}
			client, err := e.newClient()
			if err != nil {
				return err
			}
			var list EndpointList
			if err := client.do(ctx, apiCall{method: http.MethodGet, path: "/endpoints?pool=" + url.QueryEscape(pool)}, &list); err != nil {
				return err
			}
			if e.wantsJSON() {
				return e.writeJSON(list)
			}
			return e.writeTable("POOL\tNAME\tADDRESS\tFAILURE DOMAIN\tCLASS\tSTATE\tRUNNING\tWAITING\tROLE\tNOTE", func(w io.Writer) {
				for _, endpoint := range list.Endpoints {
					endpoint.row(w)
				}
			})
		}}
}

// row prints the endpoint's table row. Load columns show "-" while no load report is known.
func (s EndpointStatus) row(w io.Writer) {
	running, waiting, role, note := "-", "-", "-", s.Reason
	if s.Load != nil {
		running, waiting, role = fmt.Sprint(s.Load.Running), fmt.Sprint(s.Load.Waiting), string(s.Load.Role)
	}
	if s.NoNewWork {
		note = "no new work: " + note
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", s.Pool, s.Name, s.Addr, s.FailureDomain, s.Class, s.State,
		running, waiting, role, note)
}
