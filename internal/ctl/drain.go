package ctl

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"

	"github.com/google/subcommands"
)

// newDrain returns the command that takes an endpoint out of service or back.
func newDrain(e *env) subcommands.Command {
	var back bool
	return &command{env: e, name: "drain", operands: "POOL NAME",
		synopsis: "give an endpoint no new work; --return gives it work again",
		flags:    func(f *flag.FlagSet) { f.BoolVar(&back, "return", false, "give the endpoint work again") },
		run: func(ctx context.Context, args []string) error {
			if len(args) != 2 {
				return wrongUsage("give a pool and the name of an endpoint, as 'endpoints' shows them")
			}
			client, err := e.client()
			if err != nil {
				return err
			}
			verb, result := "drain", "gets no new work"
			if back {
				verb, result = "return", "gets work again"
			}
			path := fmt.Sprintf("/endpoints/%s/%s/%s", url.PathEscape(args[0]), url.PathEscape(args[1]), verb)
			var done Confirmation
			if err := client.do(ctx, call{method: http.MethodPost, path: path}, &done); err != nil {
				return err
			}
			if e.json() {
				if err := e.writeJSON(done); err != nil {
					return err
				}
			} else {
				fmt.Fprintf(e.stdout, "%s/%s %s, confirmed by %d of %d gateways\n", args[0], args[1], result, done.Confirmed, done.Gateways)
			}
			return done.check()
		}}
}
