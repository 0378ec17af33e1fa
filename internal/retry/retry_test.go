package retry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a retry storm: in any order of tries and pauses, retries must not exceed the ratio of first tries by more than minBurst.
// The pauses are shorter than poolIdleTimeout, after which a pool counts as new.
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
				if float64(retries) > minBurst+0.1*float64(first)+1e-9 {
					t.Fatalf("%d retries of %d first tries", retries, first)
				}
			}
		}
	})
}

// Guards against losing the streams of a crashed engine because a pool with little traffic has not earned a retry yet.
func TestNewPoolMayRetry(t *testing.T) {
	b := NewBudget(0.1)
	b.RecordFirstTry("p")
	for range minBurst {
		if !b.AllowRetry("p") {
			t.Fatal("a retry of a new pool is refused")
		}
	}
	if b.AllowRetry("p") {
		t.Error("a new pool makes more than minBurst retries")
	}
}

// Guards against accumulated retries that hit a pool all at once when it starts to fail.
func TestBudgetBurstIsBounded(t *testing.T) {
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
		if retries != minBurst {
			t.Errorf("%d retries at once after a long time without failures, want %d", retries, minBurst)
		}
	})
}

// Guards against a request that continues to crash endpoints, and against counting one crash twice.
func TestQuarantineAfterTwoCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQuarantine(time.Minute)
		fp := Fingerprint("team", "route", []byte("body"))
		q.RecordCrash(fp, "e1")
		if q.RecordCrash(fp, "e1") || q.Blocked(fp) || !q.HasCrashRecord(fp) {
			t.Fatal("one crash that is reported twice must be on record but not quarantine the request")
		}
		if !q.RecordCrash(fp, "e2") || !q.Blocked(fp) {
			t.Fatal("two crashes must quarantine the request")
		}
		if q.Blocked(Fingerprint("other", "route", []byte("body"))) {
			t.Fatal("another team's request is blocked")
		}
		time.Sleep(time.Minute)
		if q.Blocked(fp) || len(q.Entries()) != 0 {
			t.Fatal("the entry has not expired")
		}
	})
}

// Guards against quarantining a request for two crashes with a completed run between them, and against a completed run that ends a
// quarantine.
func TestCompletedRunClearsCrashRecord(t *testing.T) {
	q := NewQuarantine(time.Minute)
	q.RecordCrash(1, "e1")
	q.Clear(1)
	if q.HasCrashRecord(1) || q.RecordCrash(1, "e2") {
		t.Error("a crash before a completed run still counts")
	}
	q.RecordCrash(1, "e3")
	q.Clear(1)
	if !q.Blocked(1) {
		t.Error("the quarantine was cleared")
	}
}

// Guards against quarantined requests that are counted twice or under the wrong cause.
func TestNewQuarantineIsReportedOnce(t *testing.T) {
	q := NewQuarantine(time.Hour)
	var fromPeer []bool
	q.OnAdd(func(b bool) { fromPeer = append(fromPeer, b) })
	q.RecordPeerCrash(1, "e1")
	q.RecordCrash(1, "e2")
	q.RecordCrash(1, "e3")
	q.Add(1, time.Minute)
	q.RecordCrash(2, "e1")
	q.RecordPeerCrash(2, "e2")
	q.Add(3, time.Minute)
	q.Add(3, time.Minute)
	if !slices.Equal(fromPeer, []bool{false, true, true}) {
		t.Errorf("reported %v, want one caused by own crashes and two caused by peers", fromPeer)
	}
}

// Guards against memory that grows with the number of distinct requests, and against evicting quarantined requests for those with a single
// crash.
func TestQuarantineIsBounded(t *testing.T) {
	q := NewQuarantine(time.Hour)
	q.Add(1, time.Minute)
	for i := range uint64(maxEntries + 10) {
		q.RecordCrash(i+2, fmt.Sprint(i))
	}
	if len(q.records) != maxEntries || !q.Blocked(1) {
		t.Errorf("%d records, quarantined request blocked: %v", len(q.records), q.Blocked(1))
	}
}

// Guards against retrying requests that are not idempotent, and against retries that start too late or too often.
func TestHistoryLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, q := NewBudget(1), NewQuarantine(time.Minute)
		for range 100 {
			b.RecordFirstTry("p")
		}
		if NewHistory(1, false, time.Time{}).MayRetry("p", b, q) {
			t.Error("a non-idempotent request may be retried")
		}
		r := NewHistory(2, true, time.Time{})
		r.RecordFailure("e1", false, q)
		r.RecordFailure("e2", false, q)
		if !r.MayRetry("p", b, q) {
			t.Error("the second retry is refused")
		}
		r.RecordFailure("e3", false, q)
		if r.MayRetry("p", b, q) {
			t.Error("a fourth try is allowed")
		}
		expired := NewHistory(3, true, time.Now().Add(time.Second))
		time.Sleep(time.Second)
		if expired.MayRetry("p", b, q) {
			t.Error("a retry is allowed after the deadline")
		}
		crashing := NewHistory(4, true, time.Time{})
		crashing.RecordFailure("e1", true, q)
		crashing.RecordFailure("e2", true, q)
		if crashing.MayRetry("p", b, q) || len(crashing.CrashedEndpoints()) != 2 {
			t.Error("a request that crashed two endpoints may be retried")
		}
	})
}
