package usage

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/objectstore/httpplatform"
)

const (
	// missingResponseGrace is how long after a window's end the sealer waits for the last missing response before it seals without it.
	missingResponseGrace = 30 * time.Second
	// collectTimeout bounds one round of requests to gateways; collectInterval is the wait between rounds.
	collectTimeout  = 2 * time.Second
	collectInterval = time.Second
	// sealedRetention is how long sealed windows are kept on the platform.
	sealedRetention = 35 * 24 * time.Hour
)

// WindowCounters is a gateway's response to the collection of a window.
type WindowCounters struct {
	Incarnation string
	Counters    []Counter
}

// Collector closes a window at the gateway of a VM and returns its counters. For OldestWindow it closes no window and returns the
// counters of the gateway's oldest unsealed window.
type Collector interface {
	CollectWindow(ctx context.Context, vm apitypes.VM, window int64, holder string, fence uint64) (WindowCounters, error)
}

// Sealer collects, seals and reports windows while its process holds the lease "usage".
type Sealer struct {
	Store objectstore.Store
	VMs   objectstore.VMLister
	// Sink should use connections bound to the authority (httpplatform.Options.DialContext).
	Sink      objectstore.UsageSink
	Collector Collector
	Holder    string
	// WindowLength is in seconds; zero means apitypes.DefaultWindowSeconds.
	WindowLength int64
	// OnSeal is called for each window that this process sealed, with the length of the window's Missing list.
	// OnReport is called after each attempt to report a window. Both are optional.
	OnSeal   func(missing int)
	OnReport func(accepted bool)
}

// Run seals and reports every window that has ended, until the authority ends. It can be passed to lease.Elector.Run.
func (s *Sealer) Run(a *lease.Authority) {
	var backoff httpplatform.Backoff
	// lastDone is the last ended window of the latest pass without an error.
	lastDone := int64(-1)
	for a.Valid() {
		end := s.lastEndedWindow()
		if end <= lastDone {
			ctxtime.Sleep(a.Context(), collectInterval)
			continue
		}
		if err := s.runPass(a, end); err != nil {
			_ = backoff.Wait(a.Context()) // The loop condition checks whether the authority has ended.
			continue
		}
		backoff.Reset()
		lastDone = end
	}
}

// runPass reports the sealed windows that are not reported yet, then seals and reports the windows that have ended since the last
// pass, up to the window that starts at end. A window that fails, such as one with a conflicting report, does not block the
// others; the first error is returned.
func (s *Sealer) runPass(a *lease.Authority, end int64) error {
	log, version, err := s.readLog(a, end)
	if err != nil {
		return err
	}
	var firstErr error
	finish := func(start int64) {
		if err := s.finishWindow(a, start); err != nil {
			log.Open = append(log.Open, start)
			firstErr = cmp.Or(firstErr, err)
		}
	}
	open := log.Open
	log.Open = nil
	for _, start := range open {
		finish(start)
	}
	length := s.windowLength()
	for next, _ := log.NextWindowStart(length); next <= end; next += length {
		log.AddWindow(next, length)
		finish(next)
	}
	firstErr = cmp.Or(firstErr, s.deleteExpired(a, &log))
	return cmp.Or(firstErr, s.writeLog(a, log, version))
}

// lastEndedWindow returns the start of the last window that has ended.
func (s *Sealer) lastEndedWindow() int64 {
	length := s.windowLength()
	return time.Now().Unix()/length*length - length
}

// oldestUsedWindow returns the start of the oldest window that any gateway holds counters for, at most end, the last window that
// has ended. It is used when the store has no sealed windows.
func (s *Sealer) oldestUsedWindow(a *lease.Authority, end int64) (int64, error) {
	responses, _, err := s.collect(a, OldestWindow, time.Unix(end+s.windowLength(), 0))
	oldest := end
	for _, response := range responses {
		for _, counter := range response.Counters {
			oldest = min(oldest, counter.Window)
		}
	}
	// The start is limited to the retention, because a gateway whose clock was wrong may hold counters of any time.
	retentionStart := time.Now().Add(-sealedRetention).Unix()
	return max(oldest, retentionStart/s.windowLength()*s.windowLength()), err
}

// finishWindow seals a window unless it is sealed, and reports it unless it is reported.
func (s *Sealer) finishWindow(a *lease.Authority, start int64) error {
	w, version, err := s.readWindow(a.Context(), start)
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		_, err = s.SealWindow(a, start)
		return err
	case err != nil || w.Reported:
		return err
	}
	return s.reportWindow(a, w, version)
}

// readWindow returns a sealed window and its version in the store.
func (s *Sealer) readWindow(ctx context.Context, start int64) (w apitypes.UsageWindow, version uint64, err error) {
	o, err := s.Store.Get(ctx, apitypes.KindWindow, windowName(start))
	if err != nil {
		return w, 0, errors.Wrap(err, "read usage window")
	}
	if err := json.Unmarshal(o.Data, &w); err != nil {
		return w, 0, errors.Wrapf(err, "decode usage window %s; repair the stored object", o.Name)
	}
	return w, o.Version, nil
}

// windowName returns the object name of the window that starts at start, in Unix seconds.
func windowName(start int64) string { return strconv.FormatInt(start, 10) }

// SealWindow collects the counters of a window, seals it and reports the sealed totals. When another process sealed the window
// first, the totals of that process are reported and returned.
func (s *Sealer) SealWindow(a *lease.Authority, window int64) (apitypes.UsageWindow, error) {
	responses, missing, err := s.collect(a, window, time.Unix(window+s.windowLength(), 0))
	if err != nil {
		return apitypes.UsageWindow{}, err
	}
	w, version, err := s.createSealed(a, s.mergeCounters(a, window, responses, missing))
	if err != nil || w.Reported {
		return w, err
	}
	return w, s.reportWindow(a, w, version)
}

// NewSealedWindowReader returns a function for Options.ReadSealedWindow that reads sealed windows from the platform.
func NewSealedWindowReader(store objectstore.Store) func(ctx context.Context, window int64) (*apitypes.UsageWindow, error) {
	return func(ctx context.Context, window int64) (*apitypes.UsageWindow, error) {
		o, err := store.Get(ctx, apitypes.KindWindow, windowName(window))
		if errors.Is(err, objectstore.ErrNotFound) {
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
		var w apitypes.UsageWindow
		if err := json.Unmarshal(o.Data, &w); err != nil {
			return nil, errors.Wrapf(err, "decode usage window %s; repair the stored object", o.Name)
		}
		return &w, nil
	}
}

// collect requests a window's counters from all gateways until enough have responded: all, or all but one once
// missingResponseGrace has passed since the window's end. It returns the responses by VM name and the names of the VMs without one.
func (s *Sealer) collect(a *lease.Authority, window int64, ended time.Time) (map[string]WindowCounters, []string, error) {
	responses := make(map[string]WindowCounters)
	graceEnd := ended.Add(missingResponseGrace)
	for {
		missing, err := s.collectRound(a, window, responses)
		tolerated := len(missing) == 1 && !time.Now().Before(graceEnd)
		if err == nil && (len(missing) == 0 || tolerated) {
			return responses, missing, nil
		}
		if !ctxtime.Sleep(a.Context(), collectInterval) {
			return nil, nil, lease.ErrNoAuthority
		}
	}
}

// collectRound requests the counters from the gateways that have not responded, adds their responses to responses, and returns the
// names of the VMs that still have not responded.
func (s *Sealer) collectRound(a *lease.Authority, window int64, responses map[string]WindowCounters) ([]string, error) {
	ctx, cancel := context.WithTimeout(a.Context(), collectTimeout)
	defer cancel()
	vms, err := s.VMs.ListVMs(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "list VMs")
	}
	if len(vms) == 0 {
		return nil, errors.New("VM list is empty; a window sealed from it would bill no usage")
	}
	vms = slices.DeleteFunc(vms, func(vm apitypes.VM) bool { _, ok := responses[vm.Name]; return ok })
	results, errs := make([]WindowCounters, len(vms)), make([]error, len(vms))
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Go(func() { results[i], errs[i] = s.Collector.CollectWindow(ctx, vm, window, s.Holder, a.FencingToken()) })
	}
	wg.Wait()
	var missing []string
	for i, vm := range vms {
		if errs[i] != nil {
			missing = append(missing, vm.Name)
			continue
		}
		responses[vm.Name] = results[i]
	}
	slices.Sort(missing)
	return missing, nil
}

// mergeCounters takes the largest value of each counter among the responses and sums each team's usage over the incarnations.
// Missing of the result lists the VMs without a response and the incarnations that only copies cover; Covered holds the counters
// of these incarnations.
func (s *Sealer) mergeCounters(a *lease.Authority, window int64, responses map[string]WindowCounters, missing []string) apitypes.UsageWindow {
	counters := make(map[counterKey]apitypes.Usage)
	answered := make(map[string]bool)
	for _, response := range responses {
		answered[response.Incarnation] = true
		for _, counter := range response.Counters {
			k := counterKey{counter.Incarnation, window, counter.Team}
			counters[k] = maxUsage(counters[k], counter.Usage)
		}
	}
	withoutResponse := make(map[string]bool)
	for _, name := range missing {
		withoutResponse[name] = true
	}
	w := apitypes.UsageWindow{ID: windowName(window), Sealer: s.Holder, Fence: a.FencingToken(), Teams: make(map[string]apitypes.Usage),
		Covered: make(map[string]map[string]apitypes.Usage)}
	for k, u := range counters {
		w.Teams[k.team] = addUsage(w.Teams[k.team], u)
		if answered[k.incarnation] {
			continue
		}
		withoutResponse[k.incarnation] = true
		if w.Covered[k.incarnation] == nil {
			w.Covered[k.incarnation] = make(map[string]apitypes.Usage)
		}
		w.Covered[k.incarnation][k.team] = u
	}
	w.Missing = slices.Sorted(maps.Keys(withoutResponse))
	w.Answered = slices.Sorted(maps.Keys(answered))
	return w
}

// createSealed stores a sealed window by a conditional create. It returns the stored window and its version; when another process
// has sealed the window, these are that process's.
func (s *Sealer) createSealed(a *lease.Authority, w apitypes.UsageWindow) (apitypes.UsageWindow, uint64, error) {
	data, err := json.Marshal(w)
	if err != nil {
		return w, 0, errors.Wrap(err, "encode usage window")
	}
	var backoff httpplatform.Backoff
	for a.Valid() {
		version, err := s.Store.Put(a.Context(), apitypes.KindWindow, w.ID, data, 0)
		if err == nil {
			if s.OnSeal != nil {
				s.OnSeal(len(w.Missing))
			}
			return w, version, nil
		}
		// After a conflict or a lost response, the window may have been sealed by this process or by another.
		if o, readErr := s.Store.Get(a.Context(), apitypes.KindWindow, w.ID); readErr == nil {
			var sealed apitypes.UsageWindow
			if err := json.Unmarshal(o.Data, &sealed); err != nil {
				return w, 0, errors.Wrapf(err, "decode usage window %s; repair the stored object", w.ID)
			}
			return sealed, o.Version, nil
		}
		_ = backoff.Wait(a.Context()) // The loop condition checks whether the authority has ended.
	}
	return w, 0, lease.ErrNoAuthority
}

// reportWindow sends the sealed totals until the platform accepts them, then marks the window as reported. The window's id makes
// repeated reports harmless. A conflict means that different totals were reported before and requires an operator.
func (s *Sealer) reportWindow(a *lease.Authority, w apitypes.UsageWindow, version uint64) error {
	var backoff httpplatform.Backoff
	for {
		if !a.Valid() {
			return lease.ErrNoAuthority
		}
		err := s.Sink.ReportWindow(a.Context(), w)
		if s.OnReport != nil {
			s.OnReport(err == nil)
		}
		if err == nil {
			break
		}
		if errors.Is(err, objectstore.ErrConflict) {
			return errors.Wrapf(err, "usage window %s was already reported with different totals; compare them with the sealed ones", w.ID)
		}
		_ = backoff.Wait(a.Context()) // The loop condition checks whether the authority has ended.
	}
	w.Reported = true
	data, err := json.Marshal(w)
	if err != nil {
		return errors.Wrap(err, "encode usage window")
	}
	// If this write fails or its response is lost, the next pass reports the same totals again, which has no effect.
	_, err = s.Store.Put(a.Context(), apitypes.KindWindow, w.ID, data, version)
	return err
}

// windowLength returns the window length in seconds.
func (s *Sealer) windowLength() int64 {
	if s.WindowLength > 0 {
		return s.WindowLength
	}
	return apitypes.DefaultWindowSeconds
}
