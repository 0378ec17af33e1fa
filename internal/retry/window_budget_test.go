package retry

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards the bound that all VMs share: in no window of any position may the retries of four VMs go beyond ratio and slack.
func TestWindowBudgetOverVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, ratio, slack, length = 4, 0.2, 54.0, 10 * time.Second
		var budgets [vms]*WindowBudget
		for i := range budgets {
			budgets[i] = NewWindowBudget(ratio, slack, length)
			budgets[i].SetVMs(vms)
		}
		var retries []time.Time
		firsts := 0
		for range 600 { // a minute in which everything fails: each request is retried as often as it may be
			for _, b := range budgets {
				b.RecordFirstTry("p")
				firsts++
				for b.AllowRetry("p") {
					retries = append(retries, time.Now())
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		perWindow := ratio*float64(firsts)/6 + slack
		for i, from := range retries {
			n := 0
			for _, at := range retries[i:] {
				if at.Sub(from) < length {
					n++
				}
			}
			// One part of the window may be counted twice at its edges.
			if float64(n) > perWindow*(1+1.0/windowParts) {
				t.Fatalf("%d retries in a window, the bound is %.0f", n, perWindow)
			}
		}
		if len(retries) < int(perWindow) {
			t.Errorf("only %d retries in a minute", len(retries))
		}
	})
}

// Guards against a budget that stays spent after a pause, and against one pool's retries taking another's.
func TestWindowBudgetRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewWindowBudget(0.2, 2, time.Second)
		for b.AllowRetry("p") {
		}
		if !b.AllowRetry("q") {
			t.Error("another pool has no budget")
		}
		time.Sleep(3 * time.Second)
		if !b.AllowRetry("p") {
			t.Error("no budget after a pause")
		}
	})
}

// Guards against a question about the budget that uses it up, and against one that says yes when a retry would be refused.
func TestAvailableTakesNothing(t *testing.T) {
	b := NewWindowBudget(0, 2, 10*time.Second)
	for range 2 {
		for range 5 {
			if !b.RetryAvailable("p") {
				t.Fatal("no retry is available before the budget is spent")
			}
		}
		if !b.AllowRetry("p") {
			t.Fatal("an available retry is refused")
		}
	}
	if b.RetryAvailable("p") || b.AllowRetry("p") {
		t.Error("a retry is available after the budget is spent")
	}
}
