package retry

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
)

const (
	// crashesToBlock is the number of engine crashes after which a prompt part is blocked, and minCrashSpan the least time from the
	// first of them to the last. Engines that are lost at the same moment, such as those of a failure domain, count against the parts
	// that they served only if more crashes follow.
	crashesToBlock = 3
	minCrashSpan   = 200 * time.Millisecond
	// settleTime is how long a part with enough crashes stays a candidate before it is blocked. Meanwhile the reports of other VMs
	// arrive, which may prove the part sound or name a part that explains more crashes.
	settleTime = 300 * time.Millisecond
	// specificShare is the share of another candidate's crashes that a part deeper in the prompt must explain to be blocked in its
	// place. A part that all requests of a team begin with is at the crashed engines as often as the cause.
	specificShare = 2.0 / 3
	// sameCrashWindow is the time within which reports of the same start of an engine are about one crash. An engine takes longer
	// than this to start again.
	sameCrashWindow = 2 * time.Second
	// crashMemory is how long a crash counts against a part that no answer has proven sound.
	crashMemory = 2 * time.Minute
	// firstProbeDelay is the time from the last crash to the first request that is let through to find out whether a blocked part still
	// crashes engines. The delay doubles with each probe up to maxProbeDelay.
	firstProbeDelay = 15 * time.Second
	maxProbeDelay   = 4 * time.Minute
	// trialInterval is the least time between two requests that a VM lets through although a part is blocked, because they lack another
	// part that may be the cause. It is longer than a crash takes to be reported to the other VMs.
	trialInterval = 500 * time.Millisecond
	// loneCrashesToReplace is the number of crashes without a blocked part after which another part, which was at all crashes of the
	// blocked one, is the better explanation. A part that wasn't at as many crashes of the blocked one is no rival of it.
	loneCrashesToReplace = 2
	// answerMemory is how long an answer before the first crash vouches for the parts of its prompt.
	answerMemory = 10 * time.Minute
	// blockMemory is how long after the last crash a part stays blocked if no request with it arrives to probe it.
	blockMemory = 15 * time.Minute
	// reviewInterval is the least time between two reviews of all records, which each request would make otherwise.
	reviewInterval = 10 * time.Millisecond
	// reportTime is how long a VM reports its own crashes and proofs to the others. Each status message repeats them.
	reportTime = 5 * time.Second
	// maxPartIDBytes bounds the IDs of parts, which status messages contain.
	maxPartIDBytes = 40
	// maxPartRecords bounds the parts on record, maxCrashesPerPart the crashes of a part, and maxReported each list of a report.
	maxPartRecords    = 8192
	maxCrashesPerPart = 32
	maxReported       = 128
)

// PartQuarantine finds prompt parts that crash engines, whatever else the requests hold, and blocks requests with such a part.
//
// A crash counts against all shared parts of the requests that waited for an answer at the engine. A complete answer proves the parts
// of its prompt sound and clears what counted against them. A part that is blocked explains its crashes, which then no longer count
// against the other parts, until it is proven sound.
//
// Parts that were at the same crashes can't be told apart by them. Of these, one that no earlier answer vouches for is blocked first. The
// others are its rivals: a request that lacks a rival is let through as a trial. If it is answered, the blocked part is sound and a rival
// the cause; if it crashes an engine, the rival is ruled out.
//
// VMs exchange crashes, proofs and blocked parts. It is safe for concurrent use.
type PartQuarantine struct {
	now func() time.Time

	mu      sync.Mutex
	records map[Part]*partRecord
	// explained holds the crashes that a blocked part explains.
	explained map[uint64]explanation
	// answered holds when this VM last relayed a complete answer to a request with a part.
	answered   *answerTimes
	reviewedAt time.Time
	ownsProbe  func(Part) bool
	onChange   func(PartChange)
}

// PartChange says that a part became blocked, or that it no longer is.
type PartChange struct {
	Part    Part
	Blocked bool
	// Crashes is the number of crashes that count against the part.
	Crashes int
	// Rivals holds the other parts that most of these crashes count against too.
	Rivals []Part
	// FromPeer is true if another VM's report caused the change.
	FromPeer bool
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler. The service or pool of the part is left to the caller.
func (c PartChange) MarshalZerologObject(e *zerolog.Event) {
	e.Str("part", c.Part.ID).Bool("blocked", c.Blocked).Int("crashes", c.Crashes).Bool("from_peer", c.FromPeer)
	if len(c.Rivals) == 0 {
		return
	}
	ids := zerolog.Arr()
	for _, rival := range c.Rivals {
		ids.Str(rival.ID)
	}
	e.Array("rivals", ids)
}

// explanation is a blocked part that explains a crash, and the time of the crash.
type explanation struct {
	by Part
	at time.Time
}

// partRecord holds what is known of one prompt part.
type partRecord struct {
	// crashes holds the crashes at which the part was since it was last proven sound. Of these, unexplained count against it: those that
	// no other blocked part explains.
	crashes     []partCrash
	unexplained int
	// depth is the part's position in the prompt, from 0.
	depth int
	// candidateSince is when the part had enough crashes to be blocked; zero if it has fewer.
	candidateSince time.Time
	lastCrash      time.Time
	// provenAt is when an answer last proved the part sound; ownProof is true if this VM relayed it.
	provenAt time.Time
	ownProof bool
	// vouchedAt is the time of the last answer with the part before its crashes; ownVouch is true if this VM relayed it.
	vouchedAt time.Time
	ownVouch  bool
	blocked   bool
	// probeAt is the time from which the VM that owns the part's probe lets a request through.
	probeAt    time.Time
	probeDelay time.Duration
	// rivals holds the rivals of a blocked part as of the last review; trialAt is the time from which this VM lets a request through that
	// lacks one of them.
	rivals  []Part
	trialAt time.Time
}

// partCrash is a crash that counts against a part. own is true if a request of this VM was at the engine.
type partCrash struct {
	id  uint64
	at  time.Time
	own bool
}

// NewPartQuarantine returns an empty quarantine that reads the time from now.
func NewPartQuarantine(now func() time.Time) *PartQuarantine {
	return &PartQuarantine{now: now, records: make(map[Part]*partRecord), explained: make(map[uint64]explanation), answered: newAnswerTimes(maxPartRecords),
		ownsProbe: func(Part) bool { return true }, onChange: func(PartChange) {}}
}

// SetProbeOwnership sets the function that reports whether this VM sends the probe of a blocked part, so that only one VM does. Set it
// before use. It must not call the quarantine.
func (q *PartQuarantine) SetProbeOwnership(owns func(Part) bool) { q.ownsProbe = owns }

// OnChange registers a function that is called when a part becomes blocked, and when it no longer is. Register before use. The function
// must not call the quarantine.
func (q *PartQuarantine) OnChange(f func(PartChange)) { q.onChange = f }

// Part identifies a prompt part of a service's requests.
type Part struct{ Service, ID string }

// NewPart returns the part with an ID that a caller chose. A long ID is replaced by its hash.
func NewPart(service, id string) Part {
	if len(id) > maxPartIDBytes {
		id = fmt.Sprintf("%016x", xxhash.Sum64String(id))
	}
	return Part{Service: service, ID: id}
}

// CrashKey returns the key of a crash of an engine that started at the given time.
func CrashKey(endpoint string, startedAtMS int64) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(endpoint) // writes to a Digest never fail
	for range 8 {
		_, _ = d.Write([]byte{byte(startedAtMS)})
		startedAtMS >>= 8
	}
	return d.Sum64()
}

// Admission says whether a request may be sent to an engine.
type Admission struct {
	OK bool
	// Probe is true for a request with a blocked part that is let through to find out whether the part crashes engines. It must not be
	// sent again once an engine may have run it.
	Probe bool
	// RetryAfter is the time after which the caller of a refused request may try again.
	RetryAfter time.Duration
}

// Admit decides whether a request with these shared parts may be sent to an engine. It admits a request with a blocked part as a probe if
// the part is due for one, or as a trial if it lacks a rival of the part.
func (q *PartQuarantine) Admit(parts []Part) Admission {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.review(now)
	var retryAfter time.Duration
	for _, part := range parts {
		r := q.blockedRecord(part)
		if r == nil {
			continue
		}
		if r.isTrial(parts) {
			retryAfter = max(retryAfter, r.trialAt.Sub(now))
		} else if now.Before(r.probeAt) || !q.ownsProbe(part) {
			retryAfter = max(retryAfter, r.untilProbe(now))
		}
	}
	if retryAfter > 0 {
		return Admission{RetryAfter: retryAfter}
	}
	probe := false
	for _, part := range parts {
		r := q.blockedRecord(part)
		if r == nil {
			continue
		}
		probe = true
		if r.isTrial(parts) {
			r.trialAt = now.Add(trialInterval)
		} else {
			q.scheduleProbe(r, now)
		}
	}
	return Admission{OK: true, Probe: probe}
}

// untilProbe returns the time until the next probe of a blocked part, or firstProbeDelay if another VM sends it now.
func (r *partRecord) untilProbe(now time.Time) time.Duration {
	if left := r.probeAt.Sub(now); left > 0 {
		return left
	}
	return firstProbeDelay
}

// isTrial reports whether a request with these parts lacks a rival of the blocked part.
func (r *partRecord) isTrial(parts []Part) bool {
	return slices.ContainsFunc(r.rivals, func(rival Part) bool { return !slices.Contains(parts, rival) })
}

// Blocked reports whether one of the parts is blocked. Unlike Admit, it admits no probe.
func (q *PartQuarantine) Blocked(parts []Part) bool {
	_, blocked := q.BlockedFor(parts)
	return blocked
}

// BlockedFor is like Blocked, and returns the time after which a caller may try again.
func (q *PartQuarantine) BlockedFor(parts []Part) (retryAfter time.Duration, blocked bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.review(now)
	for _, part := range parts {
		r := q.blockedRecord(part)
		if r == nil {
			continue
		}
		blocked = true
		if r.isTrial(parts) {
			retryAfter = max(retryAfter, r.trialAt.Sub(now), trialInterval)
		} else {
			retryAfter = max(retryAfter, r.untilProbe(now))
		}
	}
	return retryAfter, blocked
}

// RecordCrash records that an engine crashed while a request with these shared parts, in the order of the prompt, waited there for its
// answer.
func (q *PartQuarantine) RecordCrash(parts []Part, crash uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	for depth, part := range parts {
		q.addCrash(part, depth, partCrash{id: crash, at: now, own: true})
	}
	q.review(now)
}

// RecordAnswer records that an engine completed the answer to a request with these shared parts.
func (q *PartQuarantine) RecordAnswer(parts []Part) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	for _, part := range parts {
		q.answered.set(part, now)
		if r := q.records[part]; r != nil {
			q.prove(part, r, now, true)
		}
	}
}

// addCrash records a crash of a part, unless the part was proven sound after it. The crash counts against the part unless a blocked part
// explains it. A crash of a blocked part is explained by it.
func (q *PartQuarantine) addCrash(part Part, depth int, c partCrash) {
	r := q.records[part]
	if r != nil && !r.provenAt.IsZero() && !c.at.After(r.provenAt) {
		return
	}
	if r == nil {
		if !q.makeRoom() {
			return
		}
		r = q.newRecord(part)
	}
	r.depth = depth
	for i := range r.crashes {
		if known := &r.crashes[i]; known.isSame(c.id, c.at) {
			known.own = known.own || c.own
			return
		}
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(known partCrash) bool { return q.now().Sub(known.at) > crashMemory })
	if len(r.crashes) == maxCrashesPerPart {
		r.crashes = r.crashes[1:]
	}
	r.crashes = append(r.crashes, c)
	r.lastCrash = later(r.lastCrash, c.at)
	if r.blocked {
		q.explain(c.id, c.at, part)
	} else {
		q.updateCandidate(part, r, q.now())
	}
}

// updateCandidate sets unexplained, and sets or clears candidateSince, after a change of the crashes or of what explains them. since is the
// time from which the part is a candidate if it wasn't one.
func (q *PartQuarantine) updateCandidate(part Part, r *partRecord, since time.Time) {
	first, last := r.lastCrash, time.Time{}
	r.unexplained = 0
	for _, c := range r.crashes {
		if q.isExplained(part, c) || q.now().Sub(c.at) > crashMemory {
			continue
		}
		r.unexplained++
		if c.at.Before(first) {
			first = c.at
		}
		last = later(last, c.at)
	}
	switch enough := r.unexplained >= crashesToBlock && last.Sub(first) >= minCrashSpan; {
	case !enough:
		r.candidateSince = time.Time{}
	case r.candidateSince.IsZero():
		r.candidateSince = since
	}
}

// isExplained reports whether another part, which is blocked, explains a crash.
func (q *PartQuarantine) isExplained(part Part, c partCrash) bool {
	e, ok := q.explained[c.id]
	return ok && e.by != part && c.isSame(c.id, e.at)
}

// newRecord adds a record of a part that has none.
func (q *PartQuarantine) newRecord(part Part) *partRecord {
	r := &partRecord{}
	if at, ok := q.answered.get(part); ok && q.now().Sub(at) < answerMemory {
		r.vouchedAt, r.ownVouch = at, true
	}
	q.records[part] = r
	return r
}

// prove clears a part. An answer that is older than the part's last crash only vouches for it.
func (q *PartQuarantine) prove(part Part, r *partRecord, at time.Time, own bool) {
	if at.Before(r.lastCrash) {
		r.vouchedAt = later(r.vouchedAt, at)
		return
	}
	if !at.After(r.provenAt) {
		return
	}
	crashes := len(r.crashes)
	wasBlocked := r.blocked
	*r = partRecord{depth: r.depth, lastCrash: r.lastCrash, provenAt: at, ownProof: own, vouchedAt: at, ownVouch: own}
	if wasBlocked {
		q.onChange(PartChange{Part: part, Crashes: crashes, FromPeer: !own})
		q.withdrawExplanations(part)
	}
}

// release ends the block of a part that isn't proven sound.
func (q *PartQuarantine) release(part Part, r *partRecord) {
	r.blocked, r.candidateSince, r.rivals = false, time.Time{}, nil
	q.onChange(PartChange{Part: part, Crashes: len(r.crashes)})
	q.withdrawExplanations(part)
}

// withdrawExplanations makes the crashes that a part explained, which is no longer blocked, count against the other parts again. Those that
// become candidates by this have had their settle time.
func (q *PartQuarantine) withdrawExplanations(by Part) {
	for id, e := range q.explained {
		if e.by == by {
			delete(q.explained, id)
		}
	}
	for part, r := range q.records {
		if !r.blocked {
			q.updateCandidate(part, r, r.lastCrash)
		}
	}
}

// review deletes expired records, releases blocked parts for which there is a better explanation by now, and blocks the likeliest cause of
// crashes once its settle time has passed.
func (q *PartQuarantine) review(now time.Time) {
	if now.Sub(q.reviewedAt) < reviewInterval {
		return
	}
	q.reviewedAt = now
	for part, r := range q.records {
		if !r.expired(now) {
			continue
		}
		delete(q.records, part)
		if r.blocked {
			q.onChange(PartChange{Part: part, Crashes: len(r.crashes)})
		}
	}
	for id, e := range q.explained {
		if now.Sub(e.at) > crashMemory {
			delete(q.explained, id)
		}
	}
	for part, r := range q.records {
		switch {
		case !r.blocked:
		case q.hasBetterExplanation(part, r):
			q.release(part, r)
		default:
			r.rivals = q.findRivals(part, r)
		}
	}
	for {
		part, r := q.likeliestCause(now)
		if r == nil {
			return
		}
		q.block(part, r, now)
	}
}

// isCandidate reports whether the part has enough crashes to be blocked.
func (r *partRecord) isCandidate() bool { return !r.blocked && !r.candidateSince.IsZero() }

// expired reports whether nothing about the part needs to be kept.
func (r *partRecord) expired(now time.Time) bool {
	if r.blocked {
		return now.Sub(r.lastCrash) > blockMemory
	}
	return now.Sub(later(r.lastCrash, r.provenAt)) > crashMemory
}

// block blocks a part, which then explains its crashes.
func (q *PartQuarantine) block(part Part, r *partRecord, now time.Time) {
	r.blocked, r.probeDelay = true, firstProbeDelay
	q.scheduleProbe(r, now)
	r.rivals = q.findRivals(part, r)
	for _, c := range r.crashes {
		q.explain(c.id, c.at, part)
	}
	q.onChange(PartChange{Part: part, Blocked: true, Crashes: len(r.crashes), Rivals: r.rivals})
}

// isSame reports whether a report is about this crash.
func (c partCrash) isSame(id uint64, at time.Time) bool {
	return c.id == id && c.at.Sub(at).Abs() < sameCrashWindow
}

// scheduleProbe sets the time of the next probe.
func (q *PartQuarantine) scheduleProbe(r *partRecord, now time.Time) {
	r.probeAt = now.Add(r.probeDelay)
	r.probeDelay = min(2*r.probeDelay, maxProbeDelay)
}

// explain records that a blocked part explains a crash, which then no longer counts against the other parts.
func (q *PartQuarantine) explain(crash uint64, at time.Time, by Part) {
	q.explained[crash] = explanation{by, at}
	for part, r := range q.records {
		if !r.blocked && r.has(partCrash{id: crash, at: at}) {
			q.updateCandidate(part, r, q.now())
		}
	}
}

func (q *PartQuarantine) blockedRecord(part Part) *partRecord {
	if r := q.records[part]; r != nil && r.blocked {
		return r
	}
	return nil
}

// makeRoom evicts the record with the oldest crash if there are too many. It returns false if all of them are blocked.
func (q *PartQuarantine) makeRoom() bool {
	if len(q.records) < maxPartRecords {
		return true
	}
	var evict Part
	var oldest *partRecord
	for part, r := range q.records {
		if !r.blocked && (oldest == nil || r.lastCrash.Before(oldest.lastCrash)) {
			evict, oldest = part, r
		}
	}
	if oldest == nil {
		return false
	}
	delete(q.records, evict)
	return true
}
