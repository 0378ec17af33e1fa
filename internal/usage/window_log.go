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

// maxExpiredPerPass bounds the windows that one pass deletes. A pass usually adds one window, so deletions catch up with a backlog.
const maxExpiredPerPass = 12

// readLog returns the window log and its version. When the log is not stored, it returns a new one with version 0: one rebuilt from
// the sealed windows, or, when there are none, one that begins with the oldest window, at most end, that any gateway holds
// counters for.
func (s *Sealer) readLog(a *lease.Authority, end int64) (log apitypes.UsageLog, version uint64, err error) {
	o, err := s.Store.Get(a.Context(), apitypes.KindUsageLog, apitypes.UsageLogName)
	switch {
	case err == nil:
		if err := json.Unmarshal(o.Data, &log); err != nil {
			return log, 0, errors.Wrap(err, "decode usage window log; delete usagelog/windows to have it rebuilt")
		}
		return log, o.Version, nil
	case !errors.Is(err, objectstore.ErrNotFound):
		return log, 0, errors.Wrap(err, "read usage window log")
	}
	if log, err = s.rebuildLog(a); err != nil || len(log.Spans) > 0 {
		return log, 0, err
	}
	oldest, err := s.oldestUsedWindow(a, end)
	log.Spans = []apitypes.WindowSpan{{First: oldest, Length: s.windowLength()}}
	return log, 0, err
}

// rebuildLog builds the window log from a list of all sealed windows.
func (s *Sealer) rebuildLog(a *lease.Authority) (log apitypes.UsageLog, err error) {
	sealed, _, err := s.Store.List(a.Context(), apitypes.KindWindow)
	if err != nil {
		return log, errors.Wrap(err, "list sealed usage windows")
	}
	var starts []int64
	for _, o := range sealed {
		start, err := strconv.ParseInt(o.Name, 10, 64)
		if err != nil {
			continue // The object was not written by a sealer.
		}
		starts = append(starts, start)
		var w apitypes.UsageWindow
		if err := json.Unmarshal(o.Data, &w); err != nil || !w.Reported {
			log.Open = append(log.Open, start)
		}
	}
	slices.Sort(starts)
	for _, start := range starts {
		log.AddWindow(start, s.windowLength())
	}
	return log, nil
}

// writeLog stores the window log. It fails when another lease holder has written the log since version.
func (s *Sealer) writeLog(a *lease.Authority, log apitypes.UsageLog, version uint64) error {
	if !a.Valid() {
		return lease.ErrNoAuthority
	}
	data, err := json.Marshal(log)
	if err != nil {
		return errors.Wrap(err, "encode usage window log")
	}
	if _, err := s.Store.Put(a.Context(), apitypes.KindUsageLog, apitypes.UsageLogName, data, version); err != nil {
		return errors.Wrap(err, "write usage window log")
	}
	return nil
}

// deleteExpired deletes windows whose retention has passed, oldest first. It stops at a window that is not reported, which keeps that
// window and all newer ones.
func (s *Sealer) deleteExpired(a *lease.Authority, log *apitypes.UsageLog) error {
	for range maxExpiredPerPass {
		oldest, ok := log.OldestWindowStart()
		if !ok || time.Since(time.Unix(oldest, 0)) <= sealedRetention || slices.Contains(log.Open, oldest) {
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
