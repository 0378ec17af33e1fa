package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/google/subcommands"
)

// newKey returns the command group that manages keys of teams.
func newKey(e *env) subcommands.Command {
	return &group{env: e, name: "key", synopsis: "issue, withdraw and list keys of teams",
		commands: []subcommands.Command{newKeyIssue(e), newKeyWithdraw(e), newKeyList(e)}}
}

func newKeyIssue(e *env) subcommands.Command {
	return &command{env: e, name: "issue", operands: "TEAM", synopsis: "issue a key and print its value, which can't be shown again",
		run: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageErrorf("give one team")
			}
			client, err := e.newClient()
			if err != nil {
				return err
			}
			var key IssuedKey
			body := struct {
				Team string `json:"team"`
			}{args[0]}
			if err := client.do(ctx, apiCall{method: http.MethodPost, path: "/keys", body: body}, &key); err != nil {
				return err
			}
			if e.wantsJSON() {
				return e.writeJSON(key)
			}
			fmt.Fprintf(e.stdout, "id   %s\nkey  %s\n", key.ID, key.Key)
			fmt.Fprintln(e.stderr, "store the key now: it can't be shown again")
			return nil
		}}
}

func newKeyWithdraw(e *env) subcommands.Command {
	return &command{env: e, name: "withdraw", operands: "ID",
		synopsis: "withdraw a key; exit code 5 when a majority of the gateways has not confirmed it yet",
		run: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageErrorf("give one key id, as listed by 'key list'")
			}
			client, err := e.newClient()
			if err != nil {
				return err
			}
			var withdrawn WithdrawnKey
			if err := client.do(ctx, apiCall{method: http.MethodDelete, path: "/keys/" + url.PathEscape(args[0])}, &withdrawn); err != nil {
				return err
			}
			if e.wantsJSON() {
				if err := e.writeJSON(withdrawn); err != nil {
					return err
				}
			} else {
				fmt.Fprintf(e.stdout, "key %s withdrawn, confirmed by %d of %d gateways\n", withdrawn.ID, withdrawn.Confirmed, withdrawn.Gateways)
			}
			return withdrawn.requireMajority()
		}}
}

func newKeyList(e *env) subcommands.Command {
	var team string
	return &command{env: e, name: "list", synopsis: "list keys without their values",
		flags: func(f *flag.FlagSet) { f.StringVar(&team, "team", "", "list only keys of this team") },
		run: func(ctx context.Context, args []string) error {
			if len(args) != 0 {
				return usageErrorf("list takes no arguments; use --team=TEAM")
			}
			client, err := e.newClient()
			if err != nil {
				return err
			}
			var list KeyList
			if err := client.do(ctx, apiCall{method: http.MethodGet, path: "/keys?team=" + url.QueryEscape(team)}, &list); err != nil {
				return err
			}
			if e.wantsJSON() {
				return e.writeJSON(list)
			}
			return e.writeTable("ID\tTEAM\tISSUED\tWITHDRAWN", func(w io.Writer) {
				for _, k := range list.Keys {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", k.ID, k.Team, formatUnixMillis(k.IssuedAt), formatUnixMillis(k.WithdrawnAt))
				}
			})
		}}
}

// formatUnixMillis formats a time in Unix milliseconds as RFC 3339 in UTC; 0 becomes "-".
func formatUnixMillis(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}
