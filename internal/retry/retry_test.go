package retry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a retry storm: in any order of tries and pauses, retries never exceed the ratio of first tries by more than the
// few that a quiet pool may make at once. Pauses stay below the idle time, after which a pool counts as new.
func TestBudgetNeverExceedsRatio(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 2))
		for range 200 {
			b := NewBudget(0.1)
			first, retries := 0, 0
			for range 300 {
				switch step := rng.IntN(21); {
				case step == 0:
					time.Sleep(2 * time.Second)
				case step < 14:
					first++
					b.RecordFirstTry("p")
				case b.AllowRetry("p"):
					retries++
				}
				if float64(retries) > minSaved+0.1*float64(first)+1e-9 {
					t.Fatalf("%d retries of %d first tries", retries, first)
				}
			}
		}
	})
}

// Guards against streams that end with a crashed engine of a quiet pool, because the pool has earned no retry yet.
func TestNewPoolMayRetry(t *testing.T) {
	b := NewBudget(0.1)
	b.RecordFirstTry("p")
	for range minSaved {
		if !b.AllowRetry("p") {
			t.Fatal("retry of a new pool refused")
		}
	}
	if b.AllowRetry("p") {
		t.Error("a new pool retries without bound")
	}
}

// Guards against a store of saved retries that hits a pool at once when it begins to fail.
func TestBudgetSavesLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(0.1)
		for range 1000 {
			b.RecordFirstTry("p")
			time.Sleep(100 * time.Millisecond)
		}
		retries := 0
		for b.AllowRetry("p") {
			retries++
		}
		if retries != minSaved {
			t.Errorf("%d retries at once after a long calm, want %d", retries, minSaved)
		}
	})
}

// Guards against a crashing request that goes on to kill endpoints, and against one death that is counted twice.
func TestQuarantineAfterTwoDeaths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQuarantine(time.Minute)
		fp := Fingerprint("team", "route", []byte("body"))
		q.RecordCrash(fp, "e1")
		if q.RecordCrash(fp, "e1") || q.Blocked(fp) || !q.HasCrashRecord(fp) {
			t.Fatal("one death, reported twice, must leave the request a suspect only")
		}
		if !q.RecordCrash(fp, "e2") || !q.Blocked(fp) {
			t.Fatal("two deaths must quarantine")
		}
		if q.Blocked(Fingerprint("other", "route", []byte("body"))) {
			t.Fatal("another team's request is blocked")
		}
		time.Sleep(time.Minute)
		if q.Blocked(fp) || len(q.Entries()) != 0 {
			t.Fatal("the entry outlives its time")
		}
	})
}

// Guards against a request that is quarantined for two crashes of others although it ran whole between them, and against a whole run
// that ends a quarantine.
func TestWholeRunClears(t *testing.T) {
	q := NewQuarantine(time.Minute)
	q.RecordCrash(1, "e1")
	q.Clear(1)
	if q.HasCrashRecord(1) || q.RecordCrash(1, "e2") {
		t.Error("a death before a whole run still counts")
	}
	q.RecordCrash(1, "e3")
	q.Clear(1)
	if !q.Blocked(1) {
		t.Error("a quarantine was cleared")
	}
}

// Guards against quarantined requests that are counted twice, or under the wrong source.
func TestNewQuarantineIsToldOnce(t *testing.T) {
	q := NewQuarantine(time.Hour)
	var told []bool
	q.OnAdd(func(t bool) { told = append(told, t) })
	q.RecordPeerCrash(1, "e1")
	q.RecordCrash(1, "e2")
	q.RecordCrash(1, "e3")
	q.Add(1, time.Minute)
	q.RecordCrash(2, "e1")
	q.RecordPeerCrash(2, "e2")
	q.Add(3, time.Minute)
	q.Add(3, time.Minute)
	if !slices.Equal(told, []bool{false, true, true}) {
		t.Errorf("told %v, want one by own deaths and two by neighbours", told)
	}
}

// Guards against memory that grows with made-up requests, and against losing quarantined ones to suspects.
func TestQuarantineIsBounded(t *testing.T) {
	q := NewQuarantine(time.Hour)
	q.Add(1, time.Minute)
	for i := range uint64(maxEntries + 10) {
		q.RecordCrash(i+2, fmt.Sprint(i))
	}
	if len(q.records) != maxEntries || !q.Blocked(1) {
		t.Errorf("%d records, first blocked: %v", len(q.records), q.Blocked(1))
	}
}

// Guards against repeating work that must not repeat, and against retries that come too late or too often.
func TestRecordLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, q := NewBudget(1), NewQuarantine(time.Minute)
		for range 100 {
			b.RecordFirstTry("p")
		}
		if NewHistory(1, false, time.Time{}).MayRetry("p", b, q) {
			t.Error("non-idempotent request may be retried")
		}
		r := NewHistory(2, true, time.Time{})
		r.RecordFailure("e1", false, q)
		r.RecordFailure("e2", false, q)
		if !r.MayRetry("p", b, q) {
			t.Error("second retry refused")
		}
		r.RecordFailure("e3", false, q)
		if r.MayRetry("p", b, q) {
			t.Error("fourth try allowed")
		}
		late := NewHistory(3, true, time.Now().Add(time.Second))
		time.Sleep(time.Second)
		if late.MayRetry("p", b, q) {
			t.Error("retry after the deadline")
		}
		killer := NewHistory(4, true, time.Time{})
		killer.RecordFailure("e1", true, q)
		killer.RecordFailure("e2", true, q)
		if killer.MayRetry("p", b, q) || len(killer.CrashedEndpoints()) != 2 {
			t.Error("request that killed two endpoints may be retried")
		}
	})
}
