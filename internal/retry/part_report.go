package retry

import (
	"sort"
	"time"
)

// PartReport is what a VM tells the others about prompt parts and crashes. Ages are counted back from when the report was made.
type PartReport struct {
	Crashes []ReportedCrash
	Proofs  []ReportedProof
	Blocks  []ReportedBlock
}

// ReportedCrash is a crash that counts against a part, with the part's position in the prompt.
type ReportedCrash struct {
	Part  Part
	Crash uint64
	Depth int
	Age   time.Duration
}

// ReportedProof is an answer that proved a part sound, or that vouches for it because it came before the part's crashes.
type ReportedProof struct {
	Part Part
	Age  time.Duration
}

// ReportedBlock is a blocked part, with the age of its last crash, the time until its next probe, and the crashes that it explains.
type ReportedBlock struct {
	Part         Part
	LastCrashAge time.Duration
	UntilProbe   time.Duration
	Explains     []ExplainedCrash
}

// ExplainedCrash is a crash that a blocked part explains.
type ExplainedCrash struct {
	Crash uint64
	Age   time.Duration
}

// Report returns this VM's crashes and proofs of the last reportTime, and all blocked parts. Each list holds at most maxReported
// entries, the newest ones.
func (q *PartQuarantine) Report() PartReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.review(now)
	var report PartReport
	for part, r := range q.records {
		switch {
		case r.ownProof && now.Sub(r.provenAt) < reportTime:
			report.Proofs = append(report.Proofs, ReportedProof{Part: part, Age: now.Sub(r.provenAt)})
		case r.ownVouch && now.Sub(r.lastCrash) < reportTime:
			report.Proofs = append(report.Proofs, ReportedProof{Part: part, Age: now.Sub(r.vouchedAt)})
		}
		if r.blocked {
			b := ReportedBlock{Part: part, LastCrashAge: now.Sub(r.lastCrash), UntilProbe: max(r.probeAt.Sub(now), 0)}
			for _, c := range r.crashes {
				b.Explains = append(b.Explains, ExplainedCrash{c.id, now.Sub(c.at)})
			}
			report.Blocks = append(report.Blocks, b)
		}
		for _, c := range r.crashes {
			if c.own && now.Sub(c.at) < reportTime {
				report.Crashes = append(report.Crashes, ReportedCrash{Part: part, Crash: c.id, Depth: r.depth, Age: now.Sub(c.at)})
			}
		}
	}
	sort.Slice(report.Crashes, func(i, j int) bool { return report.Crashes[i].Age < report.Crashes[j].Age })
	sort.Slice(report.Proofs, func(i, j int) bool { return report.Proofs[i].Age < report.Proofs[j].Age })
	sort.Slice(report.Blocks, func(i, j int) bool { return report.Blocks[i].LastCrashAge < report.Blocks[j].LastCrashAge })
	report.Crashes = report.Crashes[:min(len(report.Crashes), maxReported)]
	report.Proofs = report.Proofs[:min(len(report.Proofs), maxReported)]
	report.Blocks = report.Blocks[:min(len(report.Blocks), maxReported)]
	return report
}

// MergeReport adds the report of another VM.
func (q *PartQuarantine) MergeReport(report PartReport) {
	if len(report.Crashes)+len(report.Proofs)+len(report.Blocks) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	for _, c := range report.Crashes {
		q.addCrash(c.Part, c.Depth, partCrash{id: c.Crash, at: now.Add(-c.Age)})
	}
	for _, b := range report.Blocks {
		q.mergeBlock(b, now)
	}
	for _, p := range report.Proofs {
		if r := q.records[p.Part]; r != nil {
			q.prove(p.Part, r, now.Add(-p.Age), false)
		}
	}
	q.review(now)
}

// mergeBlock adopts another VM's block, unless the part was proven sound after its last crash, or another part explains its crashes better.
func (q *PartQuarantine) mergeBlock(b ReportedBlock, now time.Time) {
	lastCrash := now.Add(-b.LastCrashAge)
	r := q.records[b.Part]
	if r != nil && !r.provenAt.IsZero() && !lastCrash.After(r.provenAt) {
		return
	}
	if r == nil {
		if !q.makeRoom() {
			return
		}
		r = q.newRecord(b.Part)
	}
	for _, c := range b.Explains {
		q.addCrash(b.Part, r.depth, partCrash{id: c.Crash, at: now.Add(-c.Age)})
	}
	r.lastCrash = later(r.lastCrash, lastCrash)
	if q.hasBetterExplanation(b.Part, r) {
		return
	}
	probeAt := now.Add(b.UntilProbe)
	switch {
	case !r.blocked:
		r.blocked, r.probeAt, r.probeDelay = true, probeAt, 2*firstProbeDelay
		r.rivals = q.findRivals(b.Part, r)
		q.onChange(PartChange{Part: b.Part, Blocked: true, Crashes: len(r.crashes), Rivals: r.rivals, FromPeer: true})
	case probeAt.Sub(r.probeAt) > firstProbeDelay/2: // a probe was sent; smaller differences are delays of messages
		r.probeAt, r.probeDelay = probeAt, min(2*r.probeDelay, maxProbeDelay)
	}
	for _, c := range r.crashes {
		if _, ok := q.explained[c.id]; !ok {
			q.explain(c.id, c.at, b.Part)
		}
	}
}
