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
