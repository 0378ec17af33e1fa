package retry

import (
	"cmp"
	"slices"
	"time"
)

// isVouched reports whether an answer before its crashes vouches for the part.
func (r *partRecord) isVouched() bool { return !r.vouchedAt.IsZero() }

// hasBetterExplanation reports whether another part was at all crashes of a part, and at loneCrashesToReplace or more without it. One that
// an earlier answer vouches for is no better explanation of the crashes of a part without such an answer.
func (q *PartQuarantine) hasBetterExplanation(part Part, r *partRecord) bool {
	if len(r.crashes) == 0 {
		return false
	}
	for other, o := range q.records {
		if other == part || o.isVouched() && !r.isVouched() || len(o.crashes) < len(r.crashes)+loneCrashesToReplace ||
			r.sharedCrashes(o) < len(r.crashes) {
			continue
		}
		lone := 0
		for _, c := range o.crashes {
			e, explained := q.explained[c.id]
			if !r.has(c) && (!explained || e.by == other) {
				lone++
			}
		}
		if lone >= loneCrashesToReplace {
			return true
		}
	}
	return false
}

// has reports whether a crash is among those of the part.
func (r *partRecord) has(c partCrash) bool {
	return slices.ContainsFunc(r.crashes, func(known partCrash) bool { return known.isSame(c.id, c.at) })
}

// sharedCrashes returns the number of the part's crashes that are also those of another one.
func (r *partRecord) sharedCrashes(other *partRecord) int {
	shared := 0
	for _, c := range r.crashes {
		if other.has(c) {
			shared++
		}
	}
	return shared
}

// likeliestCause returns the candidate to block next, or nil if there is none: of those that explain nearly as many crashes as any other,
// one that no earlier answer vouches for, of these the deepest in the prompt, and of these the one with the most crashes, unless there is a
// better explanation. While its settle time lasts, no other candidate is blocked, since it may explain their crashes.
func (q *PartQuarantine) likeliestCause(now time.Time) (Part, *partRecord) {
	most := 0
	for _, r := range q.records {
		if r.isCandidate() {
			most = max(most, r.unexplained)
		}
	}
	part, best := Part{}, (*partRecord)(nil)
	for key, r := range q.records {
		if !r.isCandidate() || float64(r.unexplained) < specificShare*float64(most) {
			continue
		}
		if (best == nil || compareCauses(key, r, part, best) > 0) && !q.hasBetterExplanation(key, r) {
			part, best = key, r
		}
	}
	if best == nil || now.Sub(best.candidateSince) < settleTime {
		return Part{}, nil
	}
	return part, best
}

// compareCauses returns a positive number if the part a is the likelier cause of crashes than b, and a negative one if b is.
func compareCauses(a Part, ra *partRecord, b Part, rb *partRecord) int {
	switch {
	case ra.isVouched() && !rb.isVouched():
		return -1
	case rb.isVouched() && !ra.isVouched():
		return 1
	}
	return cmp.Or(cmp.Compare(ra.depth, rb.depth), cmp.Compare(ra.unexplained, rb.unexplained), cmp.Compare(b.ID, a.ID), cmp.Compare(b.Service, a.Service))
}

// findRivals returns the other parts that may be the cause of a blocked part's crashes, ordered by ID: those that were at all of these or all
// but loneCrashesToReplace, unless an earlier answer vouches for them and none for the blocked part.
func (q *PartQuarantine) findRivals(part Part, r *partRecord) []Part {
	var list []Part
	for other, o := range q.records {
		if other == part || o.blocked || o.isVouched() && !r.isVouched() {
			continue
		}
		if shared := r.sharedCrashes(o); shared > 0 && shared > len(r.crashes)-loneCrashesToReplace {
			list = append(list, other)
		}
	}
	slices.SortFunc(list, func(a, b Part) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
