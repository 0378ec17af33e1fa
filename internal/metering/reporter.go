package metering

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/objectstore"
)

// KindSealed is the kind of the objects that hold the figures of windows before they are reported.
const KindSealed = "crocusglade-usage"

const (
	// settleTime is how long after the end of a window its figures are sealed: the other VMs' last counts have come by then.
	settleTime = 1500 * time.Millisecond
	// reportTimeout bounds the report of one window, sealTimeout the write that seals it: if its answer is lost, time is left to
	// read what is sealed and to report that.
	reportTimeout = 1200 * time.Millisecond
	sealTimeout   = 400 * time.Millisecond
)

// Reporter seals the figures of each window in the store and reports them. A successor finds the sealed figures and reports the
// same. One term of a duty has one reporter; it is not safe for concurrent use.
type Reporter struct {
	Meter  *Meter
	Ledger *Ledger
	Store  objectstore.Store
	// Now is the true time.
	Now func() time.Time
	// Send reports the figures of a window.
	Send func(ctx context.Context, w Window, counts Counts) error
	Log  zerolog.Logger

	next    Window
	started bool
}

// ReportEndedWindows seals and reports windows that have ended. Call it again and again; what fails is tried again.
func (r *Reporter) ReportEndedWindows(ctx context.Context) error {
	now := r.Now()
	if !r.started && !r.start(now) {
		return nil
	}
	for !now.Before(r.Meter.WindowEnd(r.next).Add(settleTime)) {
		if err := r.report(ctx, r.next); err != nil {
			return errors.Wrapf(err, "usage of window %d", r.next)
		}
		r.next++
	}
	return nil
}

// start finds the first window to report: the earliest that counts are known of, but none that other VMs may have forgotten.
// It returns false while there is none.
func (r *Reporter) start(now time.Time) bool {
	first, ok := r.Ledger.Earliest()
	if !ok {
		return false
	}
	r.next = max(first, r.Meter.WindowAt(now)-keepWindows+1)
	r.started = true
	return true
}

func (r *Reporter) report(ctx context.Context, w Window) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	counts, err := r.seal(ctx, w)
	if err != nil {
		return err
	}
	if err := r.Send(ctx, w, counts); err != nil {
		return err
	}
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	r.Log.Info().Int64("window", int64(w)).Int("teams", len(counts)).Uint64("requests", total).
		Int64("late_ms", r.Now().Sub(r.Meter.WindowEnd(w)).Milliseconds()).Msg("usage reported")
	r.Ledger.DropWindowsBefore(w - keepWindows)
	return nil
}

// seal writes the figures of a window, or returns those that were sealed before.
func (r *Reporter) seal(ctx context.Context, w Window) (Counts, error) {
	counts := r.Ledger.Sum(w)
	data, err := json.Marshal(counts)
	if err != nil {
		return nil, errors.Wrap(err, "encode figures")
	}
	name := strconv.FormatInt(int64(w), 10)
	sealCtx, cancel := context.WithTimeout(ctx, sealTimeout)
	_, err = r.Store.Put(sealCtx, KindSealed, name, data, 0)
	cancel()
	if err == nil {
		return counts, nil
	}
	// Also after a lost answer the object tells which figures hold.
	o, readErr := r.Store.Get(ctx, KindSealed, name)
	if readErr != nil {
		return nil, errors.Wrapf(err, "seal (and read: %s)", readErr)
	}
	var sealed Counts
	if err := json.Unmarshal(o.Data, &sealed); err != nil {
		return nil, errors.Wrap(err, "sealed figures can't be read; remove the object")
	}
	return sealed, nil
}
