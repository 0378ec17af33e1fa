package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/google/subcommands"
)

// newRequests returns the command group for non-idempotent requests whose outcome is unknown.
func newRequests(e *env) subcommands.Command {
	return &group{env: e, name: "requests", synopsis: "list and resolve requests whose outcome is unknown",
		commands: []subcommands.Command{newRequestsUnresolved(e), newRequestsResolve(e)}}
}

func newRequestsUnresolved(e *env) subcommands.Command {
	return &command{env: e, name: "unresolved", synopsis: "list non-idempotent requests whose outcome is unknown",
		run: func(ctx context.Context, args []string) error {
			if len(args) != 0 {
				return usageErrorf("unresolved takes no arguments")
			}
			client, err := e.newClient()
			if err != nil {
				return err
			}
			var list ClaimList
			if err := client.do(ctx, apiCall{method: http.MethodGet, path: "/requests/unresolved"}, &list); err != nil {
				return err
			}
			if e.wantsJSON() {
				return e.writeJSON(list)
			}
			return e.writeTable("KEY\tTEAM\tROUTE\tREQUEST\tENDPOINT\tGATEWAY\tSINCE", func(w io.Writer) {
				for _, c := range list.Claims {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", c.Key, c.Team, c.Route, c.RequestID, c.Endpoint, c.Gateway, formatUnixMillis(c.UpdatedAt))
				}
			})
		}}
}

func newRequestsResolve(e *env) subcommands.Command {
	return &command{env: e, name: "resolve", operands: "KEY done|not_run",
		synopsis: "record the outcome of a request, after a check of the service's own records",
		run: func(ctx context.Context, args []string) error {
			if len(args) != 2 || (args[1] != "done" && args[1] != "not_run") {
				return usageErrorf("give a key, as listed by 'unresolved', and done or not_run")
			}
			client, err := e.newClient()
			if err != nil {
				return err
			}
			body := struct {
				Outcome string `json:"outcome"`
			}{args[1]}
			path := "/requests/" + url.PathEscape(args[0]) + "/resolve"
			if err := client.do(ctx, apiCall{method: http.MethodPost, path: path, body: body}, nil); err != nil {
				return err
			}
			if e.wantsJSON() {
				return e.writeJSON(body)
			}
			fmt.Fprintf(e.stdout, "request %s recorded as %s\n", args[0], args[1])
			return nil
		}}
}
