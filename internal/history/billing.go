package history

import (
	"fmt"
	"maps"
	"slices"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// AddUsageWindow records the arrival of a usage report. The fencing number is that of the reporting process, which may differ from
// the sealer's.
func (h *History) AddUsageWindow(r UsageReport, w apitypes.UsageWindow) {
	r.Window, r.Sealer, r.Teams = w.ID, w.Sealer, w.Teams
	for _, team := range slices.Sorted(maps.Keys(w.Teams)) {
		u := w.Teams[team]
		r.CanonicalUsage += fmt.Sprintf("%s %d/%d/%d;", team, u.Requests, u.PromptTokens, u.OutputTokens)
	}
	h.AddUsageReport(r)
}

// BilledUsage sums a team's requests and tokens over the first report of each window.
func (h *History) BilledUsage(team string) (requests, tokens uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.billed(team)
}

func (h *History) billed(team string) (requests, tokens uint64) {
	seen := map[string]bool{}
	for _, r := range h.UsageReports {
		if !seen[r.Window] {
			seen[r.Window] = true
			u := r.Teams[team]
			requests += u.Requests
			tokens += u.PromptTokens + u.OutputTokens
		}
	}
	return requests, tokens
}

// CheckBilling returns a violation (G6) for each team whose reported usage is not that of its whole answers plus at most that of
// the requests whose end the caller did not see. Call it once all usage has been reported. Teams in except had requests that are
// not recorded.
func (h *History) CheckBilling(except ...string) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	type bound struct{ whole, open, tokens uint64 }
	teams := map[string]bound{}
	for _, r := range h.UsageReports {
		for team := range r.Teams {
			teams[team] = bound{}
		}
	}
	for _, r := range h.Requests {
		b := teams[r.Team]
		switch {
		case r.Result == ResultComplete:
			b.whole++
			b.tokens += r.Tokens
		case r.RunState != "not_run":
			b.open++
		}
		teams[r.Team] = b
	}
	var out []Violation
	for _, team := range slices.Sorted(maps.Keys(teams)) {
		if slices.Contains(except, team) {
			continue
		}
		b := teams[team]
		requests, tokens := h.billed(team)
		if requests < b.whole || requests > b.whole+b.open {
			out = append(out, Violation{"G6", fmt.Sprintf("team %s was billed for %d requests and got %d whole answers, with %d without a known end",
				team, requests, b.whole, b.open)})
		} else if tokens < b.tokens || requests == b.whole && tokens != b.tokens {
			out = append(out, Violation{"G6", fmt.Sprintf("team %s was billed for %d tokens in %d requests, its %d whole answers had %d",
				team, tokens, requests, b.whole, b.tokens)})
		}
	}
	return out
}
