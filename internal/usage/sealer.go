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
	// toleranceAfter is how long after a window's end one missing answer is waited for.
	toleranceAfter = 30 * time.Second
	// collectTimeout bounds one round of asking gateways, collectEvery is the wait between rounds.
	collectTimeout = 2 * time.Second
	collectEvery   = time.Second
	// sealedKept is how long sealed windows stay on the platform.
	sealedKept = 35 * 24 * time.Hour
)

// WindowCounters is a gateway's answer for a window.
type WindowCounters struct {
	Incarnation string
	Counters    []Counter
}

// Collector closes a window at the gateway of a VM and returns its counters. For OldestWindow it passes the question on.
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
	// OnSeal is called for each window that this process sealed, and OnReport for each answer to a report. Optional.
	OnSeal   func(missing int)
	OnReport func(accepted bool)
}

// Run seals and reports every window that has ended, until the authority ends. It fits lease.Elector.Run.
func (s *Sealer) Run(a *lease.Authority) {
	var wait httpplatform.Backoff
	// done is the last ended window of a pass without an error.
	done := int64(-1)
	for a.Valid() {
		end := s.lastEnded()
		if end <= done {
			ctxtime.Sleep(a.Context(), collectEvery)
			continue
		}
		if err := s.pass(a, end); err != nil {
			_ = wait.Wait(a.Context()) // The loop's condition sees the end of the authority.
			continue
		}
		wait.Reset()
		done = end
	}
}

// pass reports windows that are not reported yet, then seals and reports what has ended since, up to the window end. A window that can't be
// finished, such as one with a conflicting report, holds up no other window; the first error is returned.
func (s *Sealer) pass(a *lease.Authority, end int64) error {
	log, version, err := s.readLog(a, end)
	if err != nil {
		return err
	}
	var failed error
	finish := func(start int64) {
		if err := s.finish(a, start); err != nil {
			log.Open = append(log.Open, start)
			failed = cmp.Or(failed, err)
		}
	}
	open := log.Open
	log.Open = nil
	for _, start := range open {
		finish(start)
	}
	length := s.length()
	for next, _ := log.NextWindowStart(length); next <= end; next += length {
		log.AddWindow(next, length)
		finish(next)
	}
	failed = cmp.Or(failed, s.expire(a, &log))
	return cmp.Or(failed, s.writeLog(a, log, version))
}

// lastEnded returns the start of the last window that has ended.
func (s *Sealer) lastEnded() int64 {
	length := s.length()
	return time.Now().Unix()/length*length - length
}

// firstUsed returns the start of the oldest window that any gateway holds counters of, for a store without sealed windows. It
// is at most end, the last window that has ended.
func (s *Sealer) firstUsed(a *lease.Authority, end int64) (int64, error) {
	answers, _, err := s.collect(a, OldestWindow, time.Unix(end+s.length(), 0))
	first := end
	for _, c := range answers {
		for _, n := range c.Counters {
			first = min(first, n.Window)
		}
	}
	// A gateway whose clock was wrong may hold counters of any time.
	kept := time.Now().Add(-sealedKept).Unix()
	return max(first, kept/s.length()*s.length()), err
}

// finish seals a window and reports it, as far as that has not been done.
func (s *Sealer) finish(a *lease.Authority, start int64) error {
	w, version, err := s.readWindow(a.Context(), start)
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		_, err = s.SealWindow(a, start)
		return err
	case err != nil || w.Reported:
		return err
	}
	return s.report(a, w, version)
}

func (s *Sealer) readWindow(ctx context.Context, start int64) (w apitypes.UsageWindow, version uint64, err error) {
	o, err := s.Store.Get(ctx, apitypes.KindWindow, windowName(start))
	if err != nil {
		return w, 0, errors.Wrap(err, "read usage window")
	}
	if err := json.Unmarshal(o.Data, &w); err != nil {
		return w, 0, errors.Wrapf(err, "window %s is not readable; repair the object", o.Name)
	}
	return w, o.Version, nil
}

func windowName(start int64) string { return strconv.FormatInt(start, 10) }

// SealWindow collects a window, seals it and reports the sealed figures. When another process sealed it first, those figures are
// the ones that are reported and returned.
func (s *Sealer) SealWindow(a *lease.Authority, window int64) (apitypes.UsageWindow, error) {
	answers, missing, err := s.collect(a, window, time.Unix(window+s.length(), 0))
	if err != nil {
		return apitypes.UsageWindow{}, err
	}
	w, version, err := s.create(a, s.merge(a, window, answers, missing))
	if err != nil || w.Reported {
		return w, err
	}
	return w, s.report(a, w, version)
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
			return nil, errors.Wrapf(err, "window %s is not readable; repair the object", o.Name)
		}
		return &w, nil
	}
}

// collect asks gateways until enough have answered. One missing answer is tolerated toleranceAfter the window's end. It returns
// the answers and the VMs without one.
func (s *Sealer) collect(a *lease.Authority, window int64, ended time.Time) (map[string]WindowCounters, []string, error) {
	answers := make(map[string]WindowCounters)
	tolerant := ended.Add(toleranceAfter)
	for {
		missing, err := s.collectRound(a, window, answers)
		tolerated := len(missing) == 1 && !time.Now().Before(tolerant)
		if err == nil && (len(missing) == 0 || tolerated) {
			return answers, missing, nil
		}
		if !ctxtime.Sleep(a.Context(), collectEvery) {
			return nil, nil, lease.ErrNoAuthority
		}
	}
}

// collectRound asks the gateways that have not answered, and returns the names of VMs that still have not.
func (s *Sealer) collectRound(a *lease.Authority, window int64, answers map[string]WindowCounters) ([]string, error) {
	ctx, cancel := context.WithTimeout(a.Context(), collectTimeout)
	defer cancel()
	vms, err := s.VMs.ListVMs(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "list VMs")
	}
	if len(vms) == 0 {
		return nil, errors.New("the list of VMs is empty; a window sealed from it would bill nothing")
	}
	vms = slices.DeleteFunc(vms, func(vm apitypes.VM) bool { _, ok := answers[vm.Name]; return ok })
	got, failed := make([]WindowCounters, len(vms)), make([]error, len(vms))
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Go(func() { got[i], failed[i] = s.Collector.CollectWindow(ctx, vm, window, s.Holder, a.FencingToken()) })
	}
	wg.Wait()
	var missing []string
	for i, vm := range vms {
		if failed[i] != nil {
			missing = append(missing, vm.Name)
			continue
		}
		answers[vm.Name] = got[i]
	}
	slices.Sort(missing)
	return missing, nil
}

// merge takes the largest value of each counter, then sums over incarnations. It names the VMs without an answer and the
// incarnations that only copies cover.
func (s *Sealer) merge(a *lease.Authority, window int64, answers map[string]WindowCounters, missing []string) apitypes.UsageWindow {
	counters := make(map[counterKey]apitypes.Usage)
	answered := make(map[string]bool)
	for _, c := range answers {
		answered[c.Incarnation] = true
		for _, n := range c.Counters {
			k := counterKey{n.Incarnation, window, n.Team}
			counters[k] = larger(counters[k], n.Usage)
		}
	}
	covered := make(map[string]bool)
	for _, name := range missing {
		covered[name] = true
	}
	w := apitypes.UsageWindow{ID: windowName(window), Sealer: s.Holder, Fence: a.FencingToken(), Teams: make(map[string]apitypes.Usage),
		Covered: make(map[string]map[string]apitypes.Usage)}
	for k, u := range counters {
		w.Teams[k.team] = plus(w.Teams[k.team], u)
		if answered[k.incarnation] {
			continue
		}
		covered[k.incarnation] = true
		if w.Covered[k.incarnation] == nil {
			w.Covered[k.incarnation] = make(map[string]apitypes.Usage)
		}
		w.Covered[k.incarnation][k.team] = u
	}
	w.Missing = slices.Sorted(maps.Keys(covered))
	w.Answered = slices.Sorted(maps.Keys(answered))
	return w
}

// create seals by conditional create. It returns the figures in force, whoever wrote them.
func (s *Sealer) create(a *lease.Authority, w apitypes.UsageWindow) (apitypes.UsageWindow, uint64, error) {
	data, err := json.Marshal(w)
	if err != nil {
		return w, 0, errors.Wrap(err, "encode window")
	}
	var wait httpplatform.Backoff
	for a.Valid() {
		version, err := s.Store.Put(a.Context(), apitypes.KindWindow, w.ID, data, 0)
		if err == nil {
			if s.OnSeal != nil {
				s.OnSeal(len(w.Missing))
			}
			return w, version, nil
		}
		// A conflict or a lost answer: the window may be sealed, by this process or by another.
		if o, readErr := s.Store.Get(a.Context(), apitypes.KindWindow, w.ID); readErr == nil {
			var sealed apitypes.UsageWindow
			if err := json.Unmarshal(o.Data, &sealed); err != nil {
				return w, 0, errors.Wrapf(err, "window %s is not readable; repair the object", w.ID)
			}
			return sealed, o.Version, nil
		}
		_ = wait.Wait(a.Context()) // The loop's condition sees the end of the authority.
	}
	return w, 0, lease.ErrNoAuthority
}

// report sends the sealed figures until the platform accepts them, then marks the window as reported. The window's id makes
// a repetition harmless. A conflict means that other figures were reported before and needs an operator.
func (s *Sealer) report(a *lease.Authority, w apitypes.UsageWindow, version uint64) error {
	var wait httpplatform.Backoff
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
			return errors.Wrapf(err, "window %s was reported with figures other than the sealed ones; compare both", w.ID)
		}
		_ = wait.Wait(a.Context()) // The loop's condition sees the end of the authority.
	}
	w.Reported = true
	data, err := json.Marshal(w)
	if err != nil {
		return errors.Wrap(err, "encode window")
	}
	// If this fails or its answer is lost, the next pass reports the same figures again, which has no effect.
	_, err = s.Store.Put(a.Context(), apitypes.KindWindow, w.ID, data, version)
	return err
}

func (s *Sealer) length() int64 {
	if s.WindowLength > 0 {
		return s.WindowLength
	}
	return apitypes.DefaultWindowSeconds
}
