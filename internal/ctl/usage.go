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

// defaultUsageRange is the length of the time range when --from is not given.
const defaultUsageRange = 24 * time.Hour

// newUsage returns the command that prints the usage of teams in sealed windows, whose figures are final.
func newUsage(e *env) subcommands.Command {
	var from, to, team string
	return &command{env: e, name: "usage", synopsis: "print the usage of teams in sealed usage windows",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&from, "from", "", "start, as 2026-01-31T00:00:00Z or Unix seconds (default: 24 h before --to)")
			f.StringVar(&to, "to", "", "end, in the same forms (default: now)")
			f.StringVar(&team, "team", "", "print only this team")
		},
		run: func(ctx context.Context, args []string) error {
			if len(args) != 0 {
				return usageErrorf("usage takes no arguments; use --from, --to and --team")
			}
			start, end, err := parseTimeRange(from, to, time.Now())
			if err != nil {
				return err
			}
			client, err := e.newClient()
			if err != nil {
				return err
			}
			list, err := listUsageWindows(ctx, client, start.Unix(), end.Unix())
			if err != nil {
				return err
			}
			if team != "" {
				list = list.forTeam(team)
			}
			if e.wantsJSON() {
				return e.writeJSON(list)
			}
			return list.print(e)
		}}
}

// listUsageWindows returns the windows between from and to, in Unix seconds, over all pages.
func listUsageWindows(ctx context.Context, c *Client, from, to int64) (all WindowList, err error) {
	all.Windows = []apitypes.UsageWindow{}
	for {
		var page WindowList
		path := fmt.Sprintf("/usage?from=%d&to=%d", from, to)
		if err := c.do(ctx, apiCall{method: http.MethodGet, path: path}, &page); err != nil {
			return all, err
		}
		all.Windows = append(all.Windows, page.Windows...)
		if page.Next <= from {
			return all, nil
		}
		from = page.Next
	}
}

// parseTimeRange parses --from and --to. Without --to the range ends now.
func parseTimeRange(from, to string, now time.Time) (start, end time.Time, err error) {
	end, err = parseTime("--to", to, now)
	if err != nil {
		return start, end, err
	}
	start, err = parseTime("--from", from, end.Add(-defaultUsageRange))
	if err == nil && !start.Before(end) {
		err = usageErrorf("--from must be before --to")
	}
	return start, end, err
}

// parseTime parses the value of the named flag as RFC 3339 or Unix seconds. Empty text gives fallback.
func parseTime(name, text string, fallback time.Time) (time.Time, error) {
	if text == "" {
		return fallback, nil
	}
	if seconds, err := strconv.ParseInt(text, 10, 64); err == nil {
		return time.Unix(seconds, 0), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, usageErrorf("%s %q is not a time; write 2026-01-31T00:00:00Z or Unix seconds", name, text)
	}
	return t, nil
}

// forTeam returns the windows with the usage of one team only. It changes the windows of l.
func (l WindowList) forTeam(team string) WindowList {
	for i, w := range l.Windows {
		teams := make(map[string]apitypes.Usage)
		if u, ok := w.Teams[team]; ok {
			teams[team] = u
		}
		l.Windows[i].Teams = teams
	}
	return l
}

func (l WindowList) print(e *env) error {
	return e.writeTable("WINDOW\tTEAM\tREQUESTS\tPROMPT TOKENS\tOUTPUT TOKENS\tREPORTED\tMISSING", func(w io.Writer) {
		for _, window := range l.Windows {
			for _, team := range slices.Sorted(maps.Keys(window.Teams)) {
				u := window.Teams[team]
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%v\t%s\n", windowStart(window.ID), team, u.Requests, u.PromptTokens,
					u.OutputTokens, window.Reported, strings.Join(window.Missing, ","))
			}
		}
	})
}

// windowStart formats the start of a window as RFC 3339. A window's id is its start in Unix seconds.
func windowStart(id string) string {
	seconds, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return id
	}
	return time.Unix(seconds, 0).UTC().Format(time.RFC3339)
}
