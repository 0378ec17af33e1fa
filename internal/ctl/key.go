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

// newKey returns the commands for keys.
func newKey(e *env) subcommands.Command {
	return &group{env: e, name: "key", synopsis: "issue, withdraw and list keys of teams",
		commands: []subcommands.Command{newKeyIssue(e), newKeyWithdraw(e), newKeyList(e)}}
}

func newKeyIssue(e *env) subcommands.Command {
	return &command{env: e, name: "issue", operands: "TEAM", synopsis: "issue a key; it is shown only once",
		run: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return wrongUsage("give one team")
			}
			client, err := e.client()
			if err != nil {
				return err
			}
			var key IssuedKey
			body := struct {
				Team string `json:"team"`
			}{args[0]}
			if err := client.do(ctx, call{method: http.MethodPost, path: "/keys", body: body}, &key); err != nil {
				return err
			}
			if e.json() {
				return e.writeJSON(key)
			}
			fmt.Fprintf(e.stdout, "id   %s\nkey  %s\n", key.ID, key.Key)
			fmt.Fprintln(e.stderr, "store the key now: it can't be shown again")
			return nil
		}}
}

func newKeyWithdraw(e *env) subcommands.Command {
	return &command{env: e, name: "withdraw", operands: "ID",
		synopsis: "withdraw a key; exit code 5 until a majority of the gateways confirmed it",
		run: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return wrongUsage("give one key id, as 'key list' shows it")
			}
			client, err := e.client()
			if err != nil {
				return err
			}
			var done WithdrawnKey
			if err := client.do(ctx, call{method: http.MethodDelete, path: "/keys/" + url.PathEscape(args[0])}, &done); err != nil {
				return err
			}
			if e.json() {
				if err := e.writeJSON(done); err != nil {
					return err
				}
			} else {
				fmt.Fprintf(e.stdout, "key %s withdrawn, confirmed by %d of %d gateways\n", done.ID, done.Confirmed, done.Gateways)
			}
			return done.check()
		}}
}

func newKeyList(e *env) subcommands.Command {
	var team string
	return &command{env: e, name: "list", synopsis: "list keys without their values",
		flags: func(f *flag.FlagSet) { f.StringVar(&team, "team", "", "only keys of this team") },
		run: func(ctx context.Context, args []string) error {
			if len(args) != 0 {
				return wrongUsage("list takes no arguments; use --team=TEAM")
			}
			client, err := e.client()
			if err != nil {
				return err
			}
			var list KeyList
			if err := client.do(ctx, call{method: http.MethodGet, path: "/keys?team=" + url.QueryEscape(team)}, &list); err != nil {
				return err
			}
			if e.json() {
				return e.writeJSON(list)
			}
			return e.table("ID\tTEAM\tISSUED\tWITHDRAWN", func(w io.Writer) {
				for _, k := range list.Keys {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", k.ID, k.Team, moment(k.IssuedAt), moment(k.WithdrawnAt))
				}
			})
		}}
}

// moment returns a time in Unix milliseconds as text; 0 is "-".
func moment(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}
