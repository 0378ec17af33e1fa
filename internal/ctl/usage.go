package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// usageSpan is the length of time that usage shows when no start is given.
const usageSpan = 24 * time.Hour

// newUsage returns the command that prints sealed usage windows.
func newUsage(e *env) subcommands.Command {
	var from, to, team string
	return &command{env: e, name: "usage", synopsis: "print the usage of teams in sealed windows",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&from, "from", "", "start, as 2026-01-31T00:00:00Z or Unix seconds (default: 24 h before --to)")
			f.StringVar(&to, "to", "", "end, in the same forms (default: now)")
			f.StringVar(&team, "team", "", "only this team")
		},
		run: func(ctx context.Context, args []string) error {
			if len(args) != 0 {
				return wrongUsage("usage takes no arguments; use --from, --to and --team")
			}
			start, end, err := span(from, to, time.Now())
			if err != nil {
				return err
			}
			client, err := e.client()
			if err != nil {
				return err
			}
			list, err := usageWindows(ctx, client, start.Unix(), end.Unix())
			if err != nil {
				return err
			}
			if team != "" {
				list = list.only(team)
			}
			if e.json() {
				return e.writeJSON(list)
			}
			return list.print(e)
		}}
}

// usageWindows reads all pages of windows.
func usageWindows(ctx context.Context, c *Client, from, to int64) (all WindowList, err error) {
	all.Windows = []apitypes.UsageWindow{}
	for {
		var page WindowList
		path := fmt.Sprintf("/usage?from=%d&to=%d", from, to)
		if err := c.do(ctx, call{method: http.MethodGet, path: path}, &page); err != nil {
			return all, err
		}
		all.Windows = append(all.Windows, page.Windows...)
		if page.Next <= from {
			return all, nil
		}
		from = page.Next
	}
}

// span returns the start and end of the wanted windows.
func span(from, to string, now time.Time) (start, end time.Time, err error) {
	end, err = instant("--to", to, now)
	if err != nil {
		return start, end, err
	}
	start, err = instant("--from", from, end.Add(-usageSpan))
	if err == nil && !start.Before(end) {
		err = wrongUsage("--from is not before --to")
	}
	return start, end, err
}

// instant parses a time in RFC 3339 or Unix seconds.
func instant(name, text string, fallback time.Time) (time.Time, error) {
	if text == "" {
		return fallback, nil
	}
	if seconds, err := strconv.ParseInt(text, 10, 64); err == nil {
		return time.Unix(seconds, 0), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, wrongUsage("%s %q is no time; write 2026-01-31T00:00:00Z or Unix seconds", name, text)
	}
	return t, nil
}

// only keeps one team's figures.
func (l WindowList) only(team string) WindowList {
	for i, w := range l.Windows {
		one := make(map[string]apitypes.Usage)
		if u, ok := w.Teams[team]; ok {
			one[team] = u
		}
		l.Windows[i].Teams = one
	}
	return l
}

func (l WindowList) print(e *env) error {
	return e.table("WINDOW\tTEAM\tREQUESTS\tPROMPT TOKENS\tOUTPUT TOKENS\tREPORTED\tMISSING", func(w io.Writer) {
		for _, window := range l.Windows {
			for _, team := range slices.Sorted(maps.Keys(window.Teams)) {
				u := window.Teams[team]
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%v\t%s\n", windowStart(window.ID), team, u.Requests, u.PromptTokens,
					u.OutputTokens, window.Reported, strings.Join(window.Missing, ","))
			}
		}
	})
}

// windowStart returns the start of a window as text. Its id is the start in Unix seconds.
func windowStart(id string) string {
	seconds, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return id
	}
	return time.Unix(seconds, 0).UTC().Format(time.RFC3339)
}
