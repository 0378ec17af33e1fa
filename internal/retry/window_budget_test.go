package retry

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards the limit that all VMs share: in any window, the retries of four VMs must not exceed the ratio plus the slack.
func TestWindowBudgetAcrossVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, ratio, slack, length = 4, 0.2, 54.0, 10 * time.Second
		var budgets [vms]*WindowBudget
		for i := range budgets {
			budgets[i] = NewWindowBudget(ratio, slack, length)
			budgets[i].SetVMs(vms)
		}
		var retries []time.Time
		firsts := 0
		for range 600 { // one minute in which all tries fail: each request is retried as often as the budget allows
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
			// One bucket may be counted twice at the edges of the window.
			if float64(n) > perWindow*(1+1.0/windowBuckets) {
				t.Fatalf("%d retries in a window, the limit is %.0f", n, perWindow)
			}
		}
		if len(retries) < int(perWindow) {
			t.Errorf("only %d retries in a minute, less than the limit for one window", len(retries))
		}
	})
}

// Guards against a budget that stays exhausted after a pause, and against retries of one pool that use the budget of another.
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

// Guards against RetryAvailable using up the budget, and against it returning true when AllowRetry would refuse.
func TestRetryAvailableTakesNothing(t *testing.T) {
	b := NewWindowBudget(0, 2, 10*time.Second)
	for range 2 {
		for range 5 {
			if !b.RetryAvailable("p") {
				t.Fatal("no retry is available before the budget is exhausted")
			}
		}
		if !b.AllowRetry("p") {
			t.Fatal("an available retry is refused")
		}
	}
	if b.RetryAvailable("p") || b.AllowRetry("p") {
		t.Error("a retry is available after the budget is exhausted")
	}
}
