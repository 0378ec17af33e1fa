package ctl

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"

	"github.com/google/subcommands"
)

// newDrain returns the command that drains an endpoint or, with --return, returns it to service.
func newDrain(e *env) subcommands.Command {
	var undo bool
	return &command{env: e, name: "drain", operands: "POOL NAME",
		synopsis: "drain an endpoint: it gets no new work until drain --return",
		flags:    func(f *flag.FlagSet) { f.BoolVar(&undo, "return", false, "return the endpoint to service") },
		run: func(ctx context.Context, args []string) error {
			if len(args) != 2 {
				return usageErrorf("give a pool and the name of an endpoint, as listed by 'endpoints'")
			}
			client, err := e.newClient()
			if err != nil {
				return err
			}
			verb, result := "drain", "gets no new work"
			if undo {
				verb, result = "return", "gets work again"
			}
			path := fmt.Sprintf("/endpoints/%s/%s/%s", url.PathEscape(args[0]), url.PathEscape(args[1]), verb)
			var confirmation Confirmation
			if err := client.do(ctx, apiCall{method: http.MethodPost, path: path}, &confirmation); err != nil {
				return err
			}
			if e.wantsJSON() {
				if err := e.writeJSON(confirmation); err != nil {
					return err
				}
			} else {
				fmt.Fprintf(e.stdout, "%s/%s %s, confirmed by %d of %d gateways\n", args[0], args[1], result, confirmation.Confirmed, confirmation.Gateways)
			}
			return confirmation.requireMajority()
		}}
}
