package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// partFleet simulates VMs that send prompts to engines, and exchange reports with a delay.
type partFleet struct {
	vms     []*PartQuarantine
	blocked []map[Part]bool // by VM
	// everBlocked holds the parts that any VM has blocked.
	everBlocked map[string]bool
}

func newPartFleet(vms int) *partFleet {
	f := &partFleet{everBlocked: make(map[string]bool)}
	for i := range vms {
		q := NewPartQuarantine(time.Now)
		state := make(map[Part]bool)
		q.SetProbeOwnership(func(Part) bool { return i == 0 })
		q.OnChange(func(c PartChange) {
			state[c.Part] = c.Blocked
			if c.Blocked {
				f.everBlocked[c.Part.ID] = true
			}
		})
		f.vms, f.blocked = append(f.vms, q), append(f.blocked, state)
	}
	return f
}

// exchange delivers the reports of all VMs to all others after a delay.
func (f *partFleet) exchange(delay time.Duration) {
	reports := make([]PartReport, len(f.vms))
	for i, q := range f.vms {
		reports[i] = q.Report()
	}
	time.Sleep(delay)
	for to, q := range f.vms {
		for from, r := range reports {
			if to != from {
				q.MergeReport(r)
			}
		}
	}
}

func parts(ids ...string) []Part {
	var list []Part
	for _, id := range ids {
		list = append(list, NewPart("llm", id))
	}
	return list
}

// Guards against a cause that isn't found because each VM sees few of its crashes, and against blocking the part that its requests share
// with sound ones.
func TestCrashesOfSeveralVMsBlockTheirCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPartFleet(4)
		for n := range 4 {
			f.vms[n].RecordCrash(parts("team", "bad"), CrashKey(fmt.Sprint("e", n), 1))
			f.vms[(n+1)%4].RecordCrash(parts("team", "topic"), CrashKey(fmt.Sprint("e", n), 1)) // also waited at that engine
			f.exchange(120 * time.Millisecond)
		}
		time.Sleep(settleTime)
		f.exchange(time.Millisecond)
		for i, q := range f.vms {
			if !q.Blocked(parts("team", "bad", "x")) || q.Blocked(parts("team")) || q.Blocked(parts("topic")) {
				t.Errorf("VM %d blocks %v", i, f.blocked[i])
			}
		}
	})
}

// Guards against refusing the prompts of engines that were lost for another reason: all at once, or one after the other between answers.
func TestLostEnginesBlockNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewPartQuarantine(time.Now)
		for n := range 20 { // a failure domain is lost
			q.RecordCrash(parts("team", "topic"), CrashKey(fmt.Sprint("e", n), 1))
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		if q.Blocked(parts("team", "topic")) {
			t.Error("blocked after the loss of a failure domain")
		}
		q = NewPartQuarantine(time.Now)
		for n := range 20 {
			q.RecordCrash(parts("team", "topic"), CrashKey(fmt.Sprint("e", n), 1))
			time.Sleep(300 * time.Millisecond)
			q.RecordAnswer(parts("team", "topic"))
		}
		time.Sleep(settleTime)
		if q.Blocked(parts("team", "topic")) {
			t.Error("blocked although requests were answered between the crashes")
		}
	})
}

// Guards against a part that stays blocked after it stopped to crash engines, and against more than one probe at a time.
func TestProbeReleasesSoundPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPartFleet(3)
		for n := range crashesToBlock {
			f.vms[0].RecordCrash(parts("bad"), CrashKey(fmt.Sprint("e", n), 1))
			f.exchange(minCrashSpan)
		}
		time.Sleep(settleTime)
		f.exchange(time.Millisecond)
		probes := 0
		for range int(firstProbeDelay/time.Second) + 1 {
			for _, q := range f.vms {
				for range 3 {
					if a := q.Admit(parts("bad")); a.OK {
						probes++
					} else if a.RetryAfter <= 0 || a.RetryAfter > 2*firstProbeDelay {
						t.Fatalf("refused with retry after %v", a.RetryAfter)
					}
				}
			}
			f.exchange(time.Second)
		}
		if probes != 1 {
			t.Fatalf("%d probes in %v, want 1", probes, firstProbeDelay)
		}
		f.vms[0].RecordAnswer(parts("bad"))
		for range 10 {
			f.exchange(100 * time.Millisecond)
		}
		for i, q := range f.vms {
			if q.Blocked(parts("bad")) {
				t.Errorf("VM %d still blocks the part", i)
			}
		}
	})
}

// Guards against blocked parts that a restarted VM doesn't know of, and against a VM that blocks a part again after its release because
// another one hasn't heard of the release yet.
func TestRestartedVMLearnsBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPartFleet(2)
		for n := range crashesToBlock {
			f.vms[0].RecordCrash(parts("bad"), CrashKey(fmt.Sprint("e", n), 1))
			time.Sleep(minCrashSpan)
		}
		time.Sleep(10 * time.Second) // crashes are no longer reported, only the block
		f.exchange(time.Millisecond)
		if !f.vms[1].Blocked(parts("bad")) {
			t.Fatal("block was not adopted")
		}
		stale := f.vms[0].Report()
		f.vms[1].RecordAnswer(parts("bad"))
		f.vms[1].MergeReport(stale)
		if f.vms[1].Blocked(parts("bad")) {
			t.Error("an older block came back after an answer")
		}
		f.exchange(time.Millisecond)
		if f.vms[0].Blocked(parts("bad")) {
			t.Error("the release was not adopted")
		}
	})
}

// Guards against blocking a part that was at the first crashes of another one, whose settle time ends a moment later.
func TestUnsettledCauseExplainsCrashes(t *testing.T) {
	const seed = 0x568 // found by TestOnlyCrashingPartIsBlockedInRandomSchedules
	synctest.Test(t, func(t *testing.T) {
		if failure := playCrashingPart(seed); failure != "" {
			t.Error(failure)
		}
	})
}

// Guards against old crashes that add up to a block over hours, and against a block that ends without notice or lasts for good when no
// request probes it.
func TestCrashesAndBlocksExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewPartQuarantine(time.Now)
		changes := 0
		q.OnChange(func(PartChange) { changes++ })
		for n := range 10 {
			q.RecordCrash(parts("rare"), CrashKey(fmt.Sprint("e", n), 1))
			time.Sleep(crashMemory * 2 / 3)
		}
		if q.Blocked(parts("rare")) {
			t.Error("crashes further apart than crashMemory allows block a part")
		}
		for n := range crashesToBlock {
			q.RecordCrash(parts("bad"), CrashKey(fmt.Sprint("f", n), 1))
			time.Sleep(minCrashSpan)
		}
		time.Sleep(settleTime)
		if _, blocked := q.BlockedFor(parts("bad")); !blocked || changes != 1 {
			t.Fatalf("blocked %v after %d changes", blocked, changes)
		}
		time.Sleep(blockMemory)
		if q.Blocked(parts("bad")) || changes != 2 {
			t.Errorf("still blocked, or released without notice (%d changes)", changes)
		}
	})
}

// Guards against a probe that is used up by a request which another blocked part keeps from being sent.
func TestProbeWaitsForAllBlockedParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewPartQuarantine(time.Now)
		for _, id := range []string{"first", "second"} {
			for n := range crashesToBlock {
				q.RecordCrash(parts(id), CrashKey(fmt.Sprint(id, n), 1))
				time.Sleep(minCrashSpan)
			}
			time.Sleep(settleTime)
			q.Blocked(nil)
		}
		time.Sleep(firstProbeDelay - minCrashSpan)
		if a := q.Admit(parts("first", "second")); a.OK || a.RetryAfter > minCrashSpan {
			t.Fatalf("admitted %v, retry after %v", a.OK, a.RetryAfter)
		}
		if !q.Admit(parts("first")).OK {
			t.Error("the probe of the first part was used up")
		}
	})
}

// Guards in random schedules, with sound parts from popular to rare and engines that also crash by themselves: the part that crashes
// engines is blocked on all VMs within the bound, it reaches engines rarely afterwards, and sound parts aren't blocked.
func TestOnlyCrashingPartIsBlockedInRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		var failure string
		synctest.Test(t, func(*testing.T) { failure = playCrashingPart(seed) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// playCrashingPart plays the schedule of a seed and returns what went wrong, or "".
func playCrashingPart(seed uint64) string {
	const (
		engines       = 30
		step          = 20 * time.Millisecond
		contact       = 3 * time.Second // contact_ms of the users' deployments
		restart       = 3 * time.Second
		maxLate       = 3
		answerTime    = 200 * time.Millisecond
		crashesToFind = 5
	)
	rng := rand.New(rand.NewPCG(seed, 3))
	f := newPartFleet(2 + rng.IntN(4))
	badShare, spontaneous := 0.02+0.1*rng.Float64(), 0.0004*rng.Float64() // up to 0.6 crashes a second
	type request struct {
		vm     int
		parts  []Part
		bad    bool
		answer time.Time
	}
	running, down := make([][]request, engines), make([]time.Time, engines)
	starts := make([]int64, engines)
	crashes, late := 0, 0
	var found time.Time // the time of crash number crashesToFind
	for range int(20 * time.Second / step) {
		now := time.Now()
		for range 2 {
			r := request{vm: rng.IntN(len(f.vms)), bad: rng.Float64() < badShare, answer: now.Add(answerTime)}
			team := fmt.Sprint("team", rng.IntN(4))
			r.parts = parts(team, fmt.Sprint("topic", int(rng.ExpFloat64()*8)))
			if r.bad {
				r.parts = parts("team0", "bad")
			}
			e := rng.IntN(engines)
			if !f.vms[r.vm].Admit(r.parts).OK || now.Before(down[e]) {
				continue
			}
			if r.bad && !found.IsZero() && now.Sub(found) > contact {
				late++
			}
			running[e] = append(running[e], r)
		}
		for e, list := range running {
			crashed := rng.Float64() < spontaneous
			for _, r := range list {
				crashed = crashed || r.bad && !now.Before(r.answer)
			}
			kept := list[:0]
			for _, r := range list {
				switch {
				case crashed:
					f.vms[r.vm].RecordCrash(r.parts, CrashKey(fmt.Sprint("e", e), starts[e]))
				case !now.Before(r.answer):
					f.vms[r.vm].RecordAnswer(r.parts)
				default:
					kept = append(kept, r)
				}
			}
			running[e] = kept
			if crashed {
				down[e] = now.Add(restart)
				starts[e]++
				if crashes++; crashes == crashesToFind {
					found = now
				}
			}
		}
		f.exchange(step)
	}
	if late > maxLate {
		return fmt.Sprintf("%d requests with the part reached engines later than %v after crash %d", late, contact, crashesToFind)
	}
	for id := range f.everBlocked {
		if id != "bad" {
			return fmt.Sprintf("sound part %s was blocked (%d crashes)", id, crashes)
		}
	}
	return ""
}
