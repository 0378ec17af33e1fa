package usage

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/objectstore"
)

// expirePerPass bounds the windows that a pass deletes. A pass adds one window, so deletions catch up.
const expirePerPass = 12

// readLog returns the log of windows with its version, 0 when there is none yet. A new log begins with the windows that are listed, or with
// the oldest window, up to end, that any gateway holds counters of.
func (s *Sealer) readLog(a *lease.Authority, end int64) (log apitypes.UsageLog, version uint64, err error) {
	o, err := s.Store.Get(a.Context(), apitypes.KindUsageLog, apitypes.UsageLogName)
	switch {
	case err == nil:
		if err := json.Unmarshal(o.Data, &log); err != nil {
			return log, 0, errors.Wrap(err, "the log of usage windows is not readable; delete usagelog/windows, and it is made anew")
		}
		return log, o.Version, nil
	case !errors.Is(err, objectstore.ErrNotFound):
		return log, 0, errors.Wrap(err, "read the log of usage windows")
	}
	if log, err = s.listLog(a); err != nil || len(log.Spans) > 0 {
		return log, 0, err
	}
	first, err := s.firstUsed(a, end)
	log.Spans = []apitypes.WindowSpan{{First: first, Length: s.length()}}
	return log, 0, err
}

// listLog makes the log from a list of all windows.
func (s *Sealer) listLog(a *lease.Authority) (log apitypes.UsageLog, err error) {
	sealed, _, err := s.Store.List(a.Context(), apitypes.KindWindow)
	if err != nil {
		return log, errors.Wrap(err, "list sealed windows")
	}
	var starts []int64
	for _, o := range sealed {
		start, err := strconv.ParseInt(o.Name, 10, 64)
		if err != nil {
			continue // Not written by a sealer.
		}
		starts = append(starts, start)
		var w apitypes.UsageWindow
		if err := json.Unmarshal(o.Data, &w); err != nil || !w.Reported {
			log.Open = append(log.Open, start)
		}
	}
	slices.Sort(starts)
	for _, start := range starts {
		log.AddWindow(start, s.length())
	}
	return log, nil
}

// writeLog stores the log unless another holder has written it since version.
func (s *Sealer) writeLog(a *lease.Authority, log apitypes.UsageLog, version uint64) error {
	if !a.Valid() {
		return lease.ErrNoAuthority
	}
	data, err := json.Marshal(log)
	if err != nil {
		return errors.Wrap(err, "encode the log of usage windows")
	}
	if _, err := s.Store.Put(a.Context(), apitypes.KindUsageLog, apitypes.UsageLogName, data, version); err != nil {
		return errors.Wrap(err, "write the log of usage windows")
	}
	return nil
}

// expire deletes windows after their retention. Windows that are not reported stay, with all that are newer.
func (s *Sealer) expire(a *lease.Authority, log *apitypes.UsageLog) error {
	for range expirePerPass {
		oldest, ok := log.OldestWindowStart()
		if !ok || time.Since(time.Unix(oldest, 0)) <= sealedKept || slices.Contains(log.Open, oldest) {
			return nil
		}
		if !a.Valid() {
			return lease.ErrNoAuthority
		}
		_, version, err := s.readWindow(a.Context(), oldest)
		if err == nil {
			err = s.Store.Delete(a.Context(), apitypes.KindWindow, windowName(oldest), version)
		}
		if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
			return err
		}
		log.DropOldest()
	}
	return nil
}
