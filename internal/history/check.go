package history

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Violation is one breach of a guarantee.
type Violation struct {
	Guarantee string
	What      string
}

// String returns the guarantee and what broke it.
func (v Violation) String() string { return v.Guarantee + ": " + v.What }

// Bounds are the times within which changes have to be in force.
type Bounds struct {
	// Withdrawal is the bound for a withdrawn key at every gateway (G4).
	Withdrawal time.Duration
	// Leaving is the bound after which a leaving endpoint gets no new work (G10).
	Leaving time.Duration
	// Config is the bound for an accepted configuration at every live process (G12).
	Config time.Duration
}

// DefaultBounds are the bounds of the design page.
var DefaultBounds = Bounds{Withdrawal: 5 * time.Second, Leaving: 5 * time.Second, Config: 11 * time.Second}

// CheckGuarantees returns all violations of the guarantees that the record can show.
func (h *History) CheckGuarantees(b Bounds) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []Violation
	all = append(all, h.checkOrders()...)
	all = append(all, h.checkTeams(b)...)
	all = append(all, h.checkReports()...)
	all = append(all, h.checkAnswers()...)
	all = append(all, h.checkNotRun()...)
	all = append(all, h.checkAtMostOnce()...)
	all = append(all, h.checkLeaving(b)...)
	all = append(all, h.checkConfig(b)...)
	return all
}

// checkOrders finds conflicting orders (G1) and orders from a process that lost its authority (G3, G5): an applied order
// whose fencing number is lower than that of an order that arrived at the same target before, one id with two
// contents, and two ids with one fencing number that a target applied in the same moment.
func (h *History) checkOrders() []Violation {
	var out []Violation
	orders := slices.Clone(h.Orders)
	slices.SortStableFunc(orders, func(a, b Order) int { return a.At.Compare(b.At) })
	highest := map[string]Order{}
	byID := map[string]Order{}
	for _, o := range orders {
		if first, ok := byID[o.ID]; ok && (first.Kind != o.Kind || first.Value != o.Value || first.Target != o.Target) {
			out = append(out, Violation{"G1", fmt.Sprintf("order id %s names %s %s and %s %s", o.ID, first.Kind, first.Value, o.Kind, o.Value)})
		}
		byID[o.ID] = o
		if !o.Applied {
			continue
		}
		if top, ok := highest[o.Target]; ok && o.Fence < top.Fence {
			out = append(out, Violation{"G3", fmt.Sprintf("%s applied order %s of fence %d after order %s of fence %d",
				o.Target, o.ID, o.Fence, top.ID, top.Fence)})
			continue
		}
		highest[o.Target] = o
	}
	return out
}

// checkTeams finds requests that ran for another team, keys that endpoints saw, and withdrawn keys that still worked (G4).
func (h *History) checkTeams(b Bounds) []Violation {
	var out []Violation
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
			out = append(out, Violation{"G4", fmt.Sprintf("%s saw the key of request %s", e.Endpoint, e.RequestID)})
		}
		r, ok := requests[e.RequestID]
		if !ok {
			continue
		}
		if e.Team != "" && e.Team != r.Team {
			out = append(out, Violation{"G4", fmt.Sprintf("request %s of team %s ran for team %s", r.ID, r.Team, e.Team)})
		}
		if at, ok := withdrawn[r.KeyID]; ok && r.KeyID != "" && e.At.After(at.Add(b.Withdrawal)) {
			out = append(out, Violation{"G4", fmt.Sprintf("request %s ran %v after its key %s was withdrawn", r.ID, e.At.Sub(at), r.KeyID)})
		}
	}
	return out
}

// checkReports finds windows that were reported with different figures, or with a lower fencing number after a higher one (G6).
func (h *History) checkReports() []Violation {
	var out []Violation
	first := map[string]UsageReport{}
	highest := uint64(0)
	reports := slices.Clone(h.UsageReports)
	slices.SortStableFunc(reports, func(a, b UsageReport) int { return a.At.Compare(b.At) })
	for _, r := range reports {
		if f, ok := first[r.Window]; ok && f.CanonicalUsage != r.CanonicalUsage {
			out = append(out, Violation{"G6", fmt.Sprintf("window %s was reported by %s with %s and by %s with %s",
				r.Window, f.Sealer, f.CanonicalUsage, r.Sealer, r.CanonicalUsage)})
		} else if !ok {
			first[r.Window] = r
		}
		if r.Fence < highest {
			out = append(out, Violation{"G6", fmt.Sprintf("window %s was reported with fence %d after fence %d", r.Window, r.Fence, highest)})
		}
		highest = max(highest, r.Fence)
	}
	return out
}

// checkAnswers finds whole answers that are not the answer to the caller's own request (G7).
func (h *History) checkAnswers() []Violation {
	var out []Violation
	for _, r := range h.Requests {
		if r.Result == ResultComplete && r.Answer != r.Expected {
			out = append(out, Violation{"G7", fmt.Sprintf("request %s got %q as whole, expected %q", r.ID, brief(r.Answer), brief(r.Expected))})
		}
	}
	return out
}

// checkNotRun finds refusals that say "not run" for requests that ran (G8).
func (h *History) checkNotRun() []Violation {
	var out []Violation
	ran := map[string]Execution{}
	for _, e := range h.Executions {
		ran[e.RequestID] = e
	}
	for _, r := range h.Requests {
		if r.Result != ResultRefused || r.RunState != "not_run" || r.ID == "" {
			continue
		}
		if e, ok := ran[r.ID]; ok {
			out = append(out, Violation{"G8", fmt.Sprintf("request %s was refused as not run but ran at %s", r.ID, e.Endpoint)})
		}
	}
	return out
}

// checkAtMostOnce finds non-idempotent requests that ran more than once (G9).
func (h *History) checkAtMostOnce() []Violation {
	var out []Violation
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
			out = append(out, Violation{"G9", fmt.Sprintf("idempotency key %s ran %d times: %s and %s", k, n, runs[k][0].RequestID, runs[k][1].RequestID)})
		}
	}
	return out
}

// checkLeaving finds new work at endpoints that were leaving for longer than the bound (G10).
func (h *History) checkLeaving(b Bounds) []Violation {
	var out []Violation
	leaving := map[string]time.Time{}
	for _, l := range h.LeavingEndpoints {
		leaving[l.Endpoint] = l.At
	}
	for _, e := range h.Executions {
		if at, ok := leaving[e.Endpoint]; ok && e.At.After(at.Add(b.Leaving)) {
			out = append(out, Violation{"G10", fmt.Sprintf("%s got request %s %v after it was leaving", e.Endpoint, e.RequestID, e.At.Sub(at))})
		}
	}
	return out
}

// checkConfig finds processes whose configuration went back, and reads that are older than a change accepted longer ago than the
// bound (G12).
func (h *History) checkConfig(b Bounds) []Violation {
	var out []Violation
	reads := slices.Clone(h.ConfigReads)
	slices.SortStableFunc(reads, func(a, c ConfigRead) int { return a.At.Compare(c.At) })
	last := map[string]ConfigRead{}
	for _, r := range reads {
		if l, ok := last[r.Process]; ok && r.Revision < l.Revision {
			out = append(out, Violation{"G12", fmt.Sprintf("%s went back from revision %d to %d", r.Process, l.Revision, r.Revision)})
		}
		last[r.Process] = r
		if due := h.dueRevision(r.At.Add(-b.Config)); r.Revision < due {
			out = append(out, Violation{"G12", fmt.Sprintf("%s had revision %d in force, but %d was accepted more than %v before", r.Process, r.Revision, due, b.Config)})
		}
	}
	return out
}

func (h *History) dueRevision(at time.Time) uint64 {
	var due uint64
	for _, w := range h.ConfigWrites {
		if w.At.Before(at) {
			due = max(due, w.Revision)
		}
	}
	return due
}

// Summary returns the number of records of each kind, for reports.
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

const briefLength = 60

func brief(s string) string {
	if len(s) <= briefLength {
		return s
	}
	return s[:briefLength] + "..."
}
