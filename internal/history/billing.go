package history

import (
	"fmt"
	"maps"
	"slices"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// AddUsageWindow records the arrival of the report of window w. r gives the time and the fencing token of the reporting process,
// which may differ from that of the process that sealed the window.
func (h *History) AddUsageWindow(r UsageReport, w apitypes.UsageWindow) {
	r.Window, r.Sealer, r.Teams = w.ID, w.Sealer, w.Teams
	for _, team := range slices.Sorted(maps.Keys(w.Teams)) {
		usage := w.Teams[team]
		r.CanonicalUsage += fmt.Sprintf("%s %d/%d/%d;", team, usage.Requests, usage.PromptTokens, usage.OutputTokens)
	}
	h.AddUsageReport(r)
}

// BilledUsage returns a team's requests and tokens, summed over the first report of each window.
func (h *History) BilledUsage(team string) (requests, tokens uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.billedUsageLocked(team)
}

// billedUsageLocked is BilledUsage for callers that hold the lock.
func (h *History) billedUsageLocked(team string) (requests, tokens uint64) {
	seen := map[string]bool{}
	for _, r := range h.UsageReports {
		if !seen[r.Window] {
			seen[r.Window] = true
			usage := r.Teams[team]
			requests += usage.Requests
			tokens += usage.PromptTokens + usage.OutputTokens
		}
	}
	return requests, tokens
}

// CheckBilling returns a violation (guarantee G6) for each team whose reported usage differs from the usage of its complete
// answers plus, at most, that of the requests whose result its caller does not know. It must be called after all usage has been
// reported. Teams in except are skipped because the history lacks some of their requests.
func (h *History) CheckBilling(except ...string) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	type answerCounts struct{ complete, unknown, tokens uint64 }
	countsByTeam := map[string]answerCounts{}
	for _, r := range h.UsageReports {
		for team := range r.Teams {
			countsByTeam[team] = answerCounts{}
		}
	}
	for _, r := range h.Requests {
		counts := countsByTeam[r.Team]
		switch {
		case r.Result == ResultComplete:
			counts.complete++
			counts.tokens += r.Tokens
		case r.RunState != "not_run":
			counts.unknown++
		}
		countsByTeam[r.Team] = counts
	}
	var violations []Violation
	for _, team := range slices.Sorted(maps.Keys(countsByTeam)) {
		if slices.Contains(except, team) {
			continue
		}
		counts := countsByTeam[team]
		requests, tokens := h.billedUsageLocked(team)
		if requests < counts.complete || requests > counts.complete+counts.unknown {
			violations = append(violations, Violation{"G6", fmt.Sprintf("team %s was billed for %d requests but received %d complete answers, with %d requests of unknown result",
				team, requests, counts.complete, counts.unknown)})
		} else if tokens < counts.tokens || requests == counts.complete && tokens != counts.tokens {
			violations = append(violations, Violation{"G6", fmt.Sprintf("team %s was billed for %d tokens in %d requests, but its %d complete answers had %d",
				team, tokens, requests, counts.complete, counts.tokens)})
		}
	}
	return violations
}
