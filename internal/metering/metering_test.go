package metering

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
)

// clock is a time that the test sets.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

// Guards against wrong sums when the counts of a VM arrive late, twice or out of order: counts only grow, and are summed over
// incarnations.
func TestLedgerSums(t *testing.T) {
	l := NewLedger()
	l.MergeCounts("a1", map[Window]Counts{7: {"t": 5}}, 0)
	l.MergeCounts("a1", map[Window]Counts{7: {"t": 3}}, 0)
	l.MergeCounts("a2", map[Window]Counts{7: {"t": 2, "u": 1}}, 0)
	if sum := l.Sum(7); sum["t"] != 7 || sum["u"] != 1 {
		t.Errorf("sum is %v", sum)
	}
	l.DropWindowsBefore(8)
	if _, ok := l.Earliest(); ok {
		t.Error("windows before the limit were not dropped")
	}
}

// Guards guarantee G6 (each window is reported with one set of counts): a successor with other counts in its ledger reports the sealed
// counts, and a report without a response is repeated unchanged.
func TestSuccessorReportsSealedCounts(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	meter := NewMeter(5*time.Second, c.read)
	store := memplatform.New()
	sent := make(map[Window][]string)
	fail := true
	reporter := func(ledger *Ledger) *Reporter {
		return &Reporter{Meter: meter, Ledger: ledger, Store: store, Now: c.read, Log: zerolog.Nop(),
			Send: func(_ context.Context, w Window, counts Counts) error {
				sent[w] = append(sent[w], fmt.Sprint(counts))
				if fail {
					return errors.New("no response")
				}
				return nil
			}}
	}
	first := NewLedger()
	first.MergeCounts("a", map[Window]Counts{200: {"t": 5}}, 0)
	r := reporter(first)
	if err := r.ReportEndedWindows(t.Context()); err != nil || len(sent) != 0 {
		t.Fatalf("reported before the window's end: %v, %v", sent, err)
	}
	c.now = c.now.Add(7 * time.Second)
	if err := r.ReportEndedWindows(t.Context()); err == nil {
		t.Error("a report without a response counts as sent")
	}
	fail = false
	second := NewLedger()
	second.MergeCounts("a", map[Window]Counts{200: {"t": 9}}, 0)
	if err := reporter(second).ReportEndedWindows(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := sent[200]; len(got) != 2 || got[0] != got[1] {
		t.Errorf("window 200 was sent as %v", got)
	}
}

// unacknowledgedWrites performs writes but doesn't respond: the call blocks until its context ends.
type unacknowledgedWrites struct{ objectstore.Store }

func (s unacknowledgedWrites) Put(ctx context.Context, kind, name string, data []byte, v uint64) (uint64, error) {
	if _, err := s.Store.Put(ctx, kind, name, data, v); err != nil {
		return 0, err
	}
	<-ctx.Done()
	return 0, errors.Wrap(objectstore.ErrUnavailable, ctx.Err().Error())
}

// Guards against a window that is sealed but not reported, because the write that sealed it got no response and used up the timeout of
// the report.
func TestWindowIsReportedWhenSealGetsNoResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		meter := NewMeter(5*time.Second, time.Now)
		ledger := NewLedger()
		window := meter.Current()
		ledger.MergeCounts("a", map[Window]Counts{window: {"t": 5}}, 0)
		time.Sleep(time.Until(meter.WindowEnd(window).Add(settleDelay)))
		reported := Counts{}
		r := &Reporter{Meter: meter, Ledger: ledger, Store: unacknowledgedWrites{memplatform.New()}, Now: time.Now, Log: zerolog.Nop(),
			Send: func(_ context.Context, _ Window, counts Counts) error {
				reported = counts
				return nil
			}}
		if err := r.ReportEndedWindows(t.Context()); err != nil || reported["t"] != 5 {
			t.Errorf("reported %v, %v", reported, err)
		}
	})
}

// Guards against a window that is reported before the final counts of a VM have arrived although there is time, against one that is never
// reported because they don't arrive, and against one that is counted as incomplete at each repetition of its report.
func TestWaitsForFinalCounts(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	meter := NewMeter(5*time.Second, c.read)
	ledger := NewLedger()
	ledger.MergeCounts("a", map[Window]Counts{200: {"t": 5}}, 0)
	sends, incomplete, fail := 0, 0, true
	r := &Reporter{Meter: meter, Ledger: ledger, Store: memplatform.New(), Now: c.read, Limit: 10 * time.Second, Log: zerolog.Nop(),
		MissingVMs:   func(context.Context, Window) []string { return []string{"vm-b"} },
		OnIncomplete: func(int) { incomplete++ },
		Send: func(context.Context, Window, Counts) error {
			sends++
			if fail {
				return errors.New("no response")
			}
			return nil
		}}
	for _, step := range []struct {
		after time.Duration
		sends int
	}{{7 * time.Second, 0}, {8900 * time.Millisecond, 0}, {9100 * time.Millisecond, 1}, {9300 * time.Millisecond, 2}} {
		c.now = time.Unix(1000, 0).Add(step.after)
		if err := r.ReportEndedWindows(t.Context()); (err != nil) != (step.sends > 0) || sends != step.sends {
			t.Errorf("after %v: %d reports sent, want %d; %v", step.after, sends, step.sends, err)
		}
	}
	fail = false
	if err := r.ReportEndedWindows(t.Context()); err != nil || incomplete != 1 {
		t.Errorf("counted as incomplete %d times, %v", incomplete, err)
	}
}

// Guards against empty counts that are reported for windows whose counts a ledger no longer holds, after a long outage of the platform.
func TestLostWindowsAreNotReportedAsEmpty(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	meter := NewMeter(5*time.Second, c.read)
	ledger := NewLedger()
	ledger.MergeCounts("a", map[Window]Counts{200: {"t": 1}}, 0)
	down, earliest := true, Window(0)
	r := &Reporter{Meter: meter, Ledger: ledger, Store: memplatform.New(), Now: c.read, Log: zerolog.Nop(),
		Send: func(_ context.Context, w Window, _ Counts) error {
			if down {
				return errors.New("down")
			}
			if earliest == 0 {
				earliest = w
			}
			return nil
		}}
	c.now = c.now.Add(7 * time.Second)
	if err := r.ReportEndedWindows(t.Context()); err == nil {
		t.Error("no error while the platform is down")
	}
	c.now = c.now.Add(500 * time.Second)
	down = false
	if err := r.ReportEndedWindows(t.Context()); err != nil || earliest != meter.Current()-ledgerWindows {
		t.Errorf("the earliest window reported is %d, want %d; %v", earliest, meter.Current()-ledgerWindows, err)
	}
}
