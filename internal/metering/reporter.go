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

// KindSealedUsage is the kind of the store objects that hold the sealed counts of usage windows.
const KindSealedUsage = "crocusglade-usage"

const (
	// settleDelay is the time from the end of a window until its counts are sealed. The final counts of the other VMs arrive within it.
	settleDelay = 1500 * time.Millisecond
	// missingWaitFraction is the fraction of the time limit of a report after which the counts are sealed although some VM's final
	// counts are unknown. The rest of the time is for reports that must be repeated.
	missingWaitFraction = 0.4
	// completeSlack covers the difference between the estimates of the time of two holders.
	completeSlack = 500 * time.Millisecond
	// reportTimeout bounds sealing and reporting one window, sealTimeout the write that seals it. If the response to the write is
	// lost, enough time is left to read the sealed counts and report them.
	reportTimeout = 1200 * time.Millisecond
	sealTimeout   = 400 * time.Millisecond
)

// Reporter seals the counts of each window in the store and then reports them, so that a successor reports the same counts. Each term
// of the duties has its own reporter. It is not safe for concurrent use.
type Reporter struct {
	Meter  *Meter
	Ledger *Ledger
	Store  objectstore.Store
	// Now returns the estimated Unix time.
	Now func() time.Time
	// Send reports the counts of a window to the platform.
	Send func(ctx context.Context, w Window, counts Counts) error
	// Limit is the time from the end of a window until its report is due.
	Limit time.Duration
	// MissingVMs returns the names of the VMs that may have served requests in a window and whose final counts are not in the ledger. It
	// may fetch them. Nil means that the ledger is complete.
	MissingVMs func(ctx context.Context, w Window) []string
	// OnIncomplete is called once for each window that is sealed without the final counts of some VMs. It may be nil.
	OnIncomplete func(vms int)
	// StoreCompleteSince is the time from which on the store holds all counts that were sealed; the zero time if it never lost any. Earlier counts may
	// have been sealed and reported, and lost when the store came back from a copy.
	StoreCompleteSince time.Time
	// OnOmitted is called once for each window that is left out, because its counts may have been reported and nobody knows them any more. It may be
	// nil.
	OnOmitted func()
	Log       zerolog.Logger

	// nextWindow is the next window to report, valid once started is true.
	nextWindow Window
	started    bool
	// incompleteWindow is the last window that was sealed without the final counts of some VMs.
	incompleteWindow Window
}

// ReportEndedWindows seals and reports the windows that have ended. It is called periodically, and retries a window that failed before.
func (r *Reporter) ReportEndedWindows(ctx context.Context) error {
	now := r.Now()
	if !r.started && !r.findFirstWindow(now) {
		return nil
	}
	if oldest := r.Meter.WindowAt(now) - ledgerWindows; r.nextWindow < oldest {
		r.Log.Error().Int64("first", int64(r.nextWindow)).Int64("last", int64(oldest-1)).
			Msg("usage windows are lost, because the platform was unavailable for too long")
		r.nextWindow = oldest
	}
	for !now.Before(r.Meter.WindowEnd(r.nextWindow).Add(settleDelay)) {
		if !r.complete(ctx, r.nextWindow, now) {
			return nil
		}
		err := r.report(ctx, r.nextWindow)
		if errors.Is(err, errCountsLost) {
			r.Log.Warn().Int64("window", int64(r.nextWindow)).Msg("usage window is left out: the store came back from a copy without its sealed counts, which may have been reported; compare with what the platform got")
			if r.OnOmitted != nil {
				r.OnOmitted()
			}
			err = nil
		}
		if err != nil {
			return errors.Wrapf(err, "report usage of window %d", r.nextWindow)
		}
		r.nextWindow++
	}
	return nil
}

// complete reports whether the counts of a window can be sealed: either the final counts of all VMs are known, or waiting any longer
// would make the report late. In that case it logs which VMs' counts are missing.
func (r *Reporter) complete(ctx context.Context, w Window, now time.Time) bool {
	if r.MissingVMs == nil {
		return true
	}
	missing := r.MissingVMs(ctx, w)
	if len(missing) == 0 {
		return true
	}
	if now.Before(r.Meter.WindowEnd(w).Add(time.Duration(missingWaitFraction * float64(r.Limit)))) {
		return false
	}
	if r.incompleteWindow == w {
		return true // a report that failed is repeated
	}
	r.incompleteWindow = w
	r.Log.Warn().Int64("window", int64(w)).Strs("vms", missing).Msg("usage is reported without the final counts of VMs")
	if r.OnIncomplete != nil {
		r.OnIncomplete(len(missing))
	}
	return true
}

// findFirstWindow sets nextWindow to the earliest window with counts, but to none that other VMs may have dropped. It returns false
// while there are no counts.
func (r *Reporter) findFirstWindow(now time.Time) bool {
	earliest, ok := r.Ledger.Earliest()
	if !ok {
		return false
	}
	r.nextWindow = max(earliest, r.Meter.WindowAt(now)-retainedWindows+1)
	r.started = true
	return true
}

// report seals and reports one window, and drops the windows that are no longer needed.
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
	r.Ledger.DropWindowsBefore(w - retainedWindows)
	return nil
}

// errCountsLost: the counts of a window may have been sealed and reported, but nobody knows them any more.
var errCountsLost = errors.New("metering: sealed counts were lost")

// mayHaveBeenLost reports whether counts of a window may have been sealed and then lost by the store.
func (r *Reporter) mayHaveBeenLost(w Window) bool {
	return r.Meter.WindowEnd(w).Add(settleDelay).Before(r.StoreCompleteSince.Add(completeSlack)) && !r.StoreCompleteSince.IsZero()
}

// seal writes the counts of a window to the store and returns them, or returns the counts that are sealed already. A window whose counts may
// have been sealed and lost is never sealed anew: other counts than the reported ones would be a second bill.
func (r *Reporter) seal(ctx context.Context, w Window) (Counts, error) {
	if counts, ok := r.Ledger.Sealed(w); ok {
		return counts, nil
	}
	counts, err := r.sealInStore(ctx, w)
	if err == nil {
		r.Ledger.RecordSealed(w, counts)
	}
	return counts, err
}

// sealInStore is seal for a window whose sealed counts this VM doesn't know.
func (r *Reporter) sealInStore(ctx context.Context, w Window) (Counts, error) {
	if r.mayHaveBeenLost(w) {
		sealed, err := r.readSealed(ctx, w)
		if errors.Is(err, objectstore.ErrNotFound) {
			return nil, errCountsLost
		}
		return sealed, err
	}
	counts := r.Ledger.Sum(w)
	data, err := json.Marshal(counts)
	if err != nil {
		return nil, errors.Wrap(err, "encode counts")
	}
	name := strconv.FormatInt(int64(w), 10)
	sealCtx, cancel := context.WithTimeout(ctx, sealTimeout)
	_, err = r.Store.Put(sealCtx, KindSealedUsage, name, data, 0)
	cancel()
	if err == nil {
		return counts, nil
	}
	// The object holds the valid counts also if the response to the write was lost.
	sealed, readErr := r.readSealed(ctx, w)
	if readErr != nil {
		return nil, errors.Wrapf(err, "seal counts (reading the sealed counts failed too: %s)", readErr)
	}
	return sealed, nil
}

// readSealed reads the sealed counts of a window from the store.
func (r *Reporter) readSealed(ctx context.Context, w Window) (Counts, error) {
	o, err := r.Store.Get(ctx, KindSealedUsage, strconv.FormatInt(int64(w), 10))
	if err != nil {
		return nil, errors.Wrap(err, "read sealed counts")
	}
	var sealed Counts
	if err := json.Unmarshal(o.Data, &sealed); err != nil {
		return nil, errors.Wrap(err, "decode sealed counts; remove the object")
	}
	return sealed, nil
}
