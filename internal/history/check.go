package history

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Violation says which guarantee was violated and how.
type Violation struct {
	Guarantee   string
	Description string
}

// String returns the guarantee and the description of the violation.
func (v Violation) String() string { return v.Guarantee + ": " + v.Description }

// Bounds are the maximum times until a change takes effect.
type Bounds struct {
	// Withdrawal is the time after which every gateway refuses a withdrawn key (guarantee G4).
	Withdrawal time.Duration
	// Leaving is the time after which a leaving endpoint gets no new work (guarantee G10).
	Leaving time.Duration
	// Config is the time after which an accepted configuration is in force at every live process (guarantee G12).
	Config time.Duration
}

// DefaultBounds are the bounds that the design (docs/design.md) states.
var DefaultBounds = Bounds{Withdrawal: 5 * time.Second, Leaving: 5 * time.Second, Config: 11 * time.Second}

// CheckGuarantees returns all violations of guarantees that the record shows, except those that CheckBilling finds.
func (h *History) CheckGuarantees(b Bounds) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var violations []Violation
	violations = append(violations, h.checkOrders()...)
	violations = append(violations, h.checkTeamIsolation(b)...)
	violations = append(violations, h.checkUsageReports()...)
	violations = append(violations, h.checkAnswers()...)
	violations = append(violations, h.checkNotRun()...)
	violations = append(violations, h.checkAtMostOnce()...)
	violations = append(violations, h.checkLeavingEndpoints(b)...)
	violations = append(violations, h.checkConfigRevisions(b)...)
	return violations
}

// checkOrders finds conflicting orders, where one order id has two contents (guarantee G1), and applied orders of a process that has
// lost its authority (guarantees G3 and G5), where the fencing token is lower than that of an order that the same target applied
// before.
func (h *History) checkOrders() []Violation {
	var violations []Violation
	orders := slices.Clone(h.Orders)
	slices.SortStableFunc(orders, func(a, b Order) int { return a.At.Compare(b.At) })
	highest := map[string]Order{}
	byID := map[string]Order{}
	for _, o := range orders {
		if previous, ok := byID[o.ID]; ok && (previous.Kind != o.Kind || previous.Value != o.Value || previous.Target != o.Target) {
			violations = append(violations, Violation{"G1", fmt.Sprintf("order id %s names %s %s and %s %s", o.ID, previous.Kind, previous.Value, o.Kind, o.Value)})
		}
		byID[o.ID] = o
		if !o.Applied {
			continue
		}
		if newest, ok := highest[o.Target]; ok && o.FencingToken < newest.FencingToken {
			violations = append(violations, Violation{"G3", fmt.Sprintf("%s applied order %s with fencing token %d after order %s with fencing token %d",
				o.Target, o.ID, o.FencingToken, newest.ID, newest.FencingToken)})
			continue
		}
		highest[o.Target] = o
	}
	return violations
}

// checkTeamIsolation finds requests that ran for another team, keys exposed to endpoints, and withdrawn keys that were accepted
// after the bound (guarantee G4).
func (h *History) checkTeamIsolation(b Bounds) []Violation {
	var violations []Violation
	requests := map[string]Request{}
	for _, r := range h.Requests {
		requests[r.ID] = r
	}
	withdrawn := map[string]time.Time{}
	for _, w := range h.Withdrawals {
		withdrawn[w.KeyID] = w.At
	}
	for _, e := range h.Executions {
		if e.KeyExposed {
			violations = append(violations, Violation{"G4", fmt.Sprintf("%s received the key of request %s", e.Endpoint, e.RequestID)})
		}
		r, ok := requests[e.RequestID]
		if !ok {
			continue
		}
		if e.Team != "" && e.Team != r.Team {
			violations = append(violations, Violation{"G4", fmt.Sprintf("request %s of team %s ran for team %s", r.ID, r.Team, e.Team)})
		}
		if at, ok := withdrawn[r.KeyID]; ok && r.KeyID != "" && e.At.After(at.Add(b.Withdrawal)) {
			violations = append(violations, Violation{"G4", fmt.Sprintf("request %s ran %v after its key %s was withdrawn", r.ID, e.At.Sub(at), r.KeyID)})
		}
	}
	return violations
}

// checkUsageReports finds windows that were reported with different usage, and reports with a lower fencing token than an earlier
// report (guarantee G6).
func (h *History) checkUsageReports() []Violation {
	var violations []Violation
	first := map[string]UsageReport{}
	highest := uint64(0)
	reports := slices.Clone(h.UsageReports)
	slices.SortStableFunc(reports, func(a, b UsageReport) int { return a.At.Compare(b.At) })
	for _, r := range reports {
		if f, ok := first[r.Window]; ok && f.CanonicalUsage != r.CanonicalUsage {
			violations = append(violations, Violation{"G6", fmt.Sprintf("window %s was reported by %s with %s and by %s with %s",
				r.Window, f.Sealer, f.CanonicalUsage, r.Sealer, r.CanonicalUsage)})
		} else if !ok {
			first[r.Window] = r
		}
		if r.FencingToken < highest {
			violations = append(violations, Violation{"G6", fmt.Sprintf("window %s was reported with fencing token %d after fencing token %d", r.Window, r.FencingToken, highest)})
		}
		highest = max(highest, r.FencingToken)
	}
	return violations
}

// checkAnswers finds complete answers that are not the correct answer to the caller's request (guarantee G7).
func (h *History) checkAnswers() []Violation {
	var violations []Violation
	for _, r := range h.Requests {
		if r.Result == ResultComplete && r.Answer != r.Expected {
			violations = append(violations, Violation{"G7", fmt.Sprintf("request %s received %q as the complete answer, expected %q", r.ID, truncate(r.Answer), truncate(r.Expected))})
		}
	}
	return violations
}

// checkNotRun finds requests that ran although they were refused with the run state not_run (guarantee G8).
func (h *History) checkNotRun() []Violation {
	var violations []Violation
	ran := map[string]Execution{}
	for _, e := range h.Executions {
		ran[e.RequestID] = e
	}
	for _, r := range h.Requests {
		if r.Result != ResultRefused || r.RunState != "not_run" || r.ID == "" {
			continue
		}
		if e, ok := ran[r.ID]; ok {
			violations = append(violations, Violation{"G8", fmt.Sprintf("request %s was refused as not run but ran at %s", r.ID, e.Endpoint)})
		}
	}
	return violations
}

// checkAtMostOnce finds non-idempotent requests that ran more than once (guarantee G9).
func (h *History) checkAtMostOnce() []Violation {
	var violations []Violation
	runs := map[string][]Execution{}
	for _, e := range h.Executions {
		if e.IdempotencyKey != "" {
			k := e.Team + "/" + e.IdempotencyKey
			runs[k] = append(runs[k], e)
		}
	}
	keys := make([]string, 0, len(runs))
	for k := range runs {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		if n := len(runs[k]); n > 1 {
			violations = append(violations, Violation{"G9", fmt.Sprintf("idempotency key %s ran %d times: %s and %s", k, n, runs[k][0].RequestID, runs[k][1].RequestID)})
		}
	}
	return violations
}

// checkLeavingEndpoints finds executions at endpoints that had been leaving for longer than the bound (guarantee G10).
func (h *History) checkLeavingEndpoints(b Bounds) []Violation {
	var violations []Violation
	leaving := map[string]time.Time{}
	for _, l := range h.LeavingEndpoints {
		leaving[l.Endpoint] = l.At
	}
	for _, e := range h.Executions {
		if at, ok := leaving[e.Endpoint]; ok && e.At.After(at.Add(b.Leaving)) {
			violations = append(violations, Violation{"G10", fmt.Sprintf("%s received request %s %v after it started leaving", e.Endpoint, e.RequestID, e.At.Sub(at))})
		}
	}
	return violations
}

// checkConfigRevisions finds processes that returned to an older configuration revision, and processes that lacked a change accepted
// longer ago than the bound (guarantee G12).
func (h *History) checkConfigRevisions(b Bounds) []Violation {
	var violations []Violation
	reads := slices.Clone(h.ConfigReads)
	slices.SortStableFunc(reads, func(a, c ConfigRead) int { return a.At.Compare(c.At) })
	last := map[string]ConfigRead{}
	for _, r := range reads {
		if l, ok := last[r.Process]; ok && r.Revision < l.Revision {
			violations = append(violations, Violation{"G12", fmt.Sprintf("%s returned from revision %d to %d", r.Process, l.Revision, r.Revision)})
		}
		last[r.Process] = r
		if required := h.requiredRevision(r.At.Add(-b.Config)); r.Revision < required {
			violations = append(violations, Violation{"G12", fmt.Sprintf("%s had revision %d in force, but %d was accepted more than %v before", r.Process, r.Revision, required, b.Config)})
		}
	}
	return violations
}

// requiredRevision returns the highest revision that was accepted before a time; 0 without any.
func (h *History) requiredRevision(at time.Time) uint64 {
	var revision uint64
	for _, w := range h.ConfigWrites {
		if w.At.Before(at) {
			revision = max(revision, w.Revision)
		}
	}
	return revision
}

// Summary returns the number of records of each kind as text, for test logs.
func (h *History) Summary() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	results := map[Result]int{}
	for _, r := range h.Requests {
		results[r.Result]++
	}
	parts := make([]string, 0, len(results))
	for r, n := range results {
		parts = append(parts, fmt.Sprintf("%d %s", n, r))
	}
	slices.SortFunc(parts, cmp.Compare[string])
	return fmt.Sprintf("%d requests (%s), %d executions, %d orders, %d reports, %d configuration reads", len(h.Requests),
		strings.Join(parts, ", "), len(h.Executions), len(h.Orders), len(h.UsageReports), len(h.ConfigReads))
}

// maxQuotedBytes is the length in bytes to which violations shorten answers.
const maxQuotedBytes = 60

func truncate(s string) string {
	if len(s) <= maxQuotedBytes {
		return s
	}
	return s[:maxQuotedBytes] + "..."
}
