package usage

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/membership"
)

const (
	// copyBatchDelay is the time during which records are collected into one copy to each peer.
	copyBatchDelay = 10 * time.Millisecond
	// copyTimeout bounds one copy. A peer that fails or exceeds it is skipped for retryInterval, so that it does not delay every
	// response. Unconfirmed counters are copied again and closed windows are checked in the same interval.
	copyTimeout   = 250 * time.Millisecond
	retryInterval = time.Second
	// copiesPerCounter is the number of peers that hold a copy of each counter.
	copiesPerCounter = 2
	// maxCopyRounds bounds the copy rounds for one batch; a round is repeated when a peer has closed the window meanwhile.
	maxCopyRounds = 3
	// minSettleWait and maxSettleWait are the first and the longest wait between two reads of a closed window that is not sealed
	// yet. A window is usually sealed within a second of being closed, and within missingResponseGrace when a response is missing.
	minSettleWait = 2 * time.Second
	maxSettleWait = 30 * time.Second
	// sealedReadTimeout bounds one read of a sealed window from the platform.
	sealedReadTimeout = 5 * time.Second
)

// OldestWindow is passed to Ledger.CloseWindow and Collector.CollectWindow in place of a window's start. It closes no window; the
// response holds the counters of the oldest window that the gateway has counters for and does not know to be sealed.
const OldestWindow int64 = 0

// ErrNoCopy is returned by Record when no peer confirmed a copy. The usage is counted locally and copied again later.
var ErrNoCopy = errors.New("usage: no peer accepted a copy; check the links to the other failure domains")

// Counter is the cumulative usage of one team in one window, counted by one gateway incarnation.
type Counter struct {
	Incarnation string
	// Window is the window's start in Unix seconds.
	Window int64
	Team   string
	Usage  apitypes.Usage
}

// Copier sends counters to a peer and returns the windows that are closed there and did not accept them.
type Copier interface {
	CopyUsage(ctx context.Context, peer string, counters []Counter) (closed []int64, err error)
}

type counterKey struct {
	incarnation string
	window      int64
	team        string
}

// Options configures a Ledger.
type Options struct {
	// Incarnation is the unique id of this run of the gateway.
	Incarnation string
	// WindowLength is in seconds; zero means apitypes.DefaultWindowSeconds.
	WindowLength int64
	// Peers returns the names of the peers that receive copies. A peer that restarts and loses its copies must get a new name.
	Peers  func() []string
	Copier Copier
	// ReadSealedWindow reads a sealed window. It returns nil without an error when the window is not sealed yet. When
	// ReadSealedWindow is nil, counts that may have been sealed stay in their window.
	ReadSealedWindow func(ctx context.Context, window int64) (*apitypes.UsageWindow, error)
	// OnCopy is called for each response of a peer to a copy; accepted is false when the peer has closed a window of the copy.
	// Optional.
	OnCopy func(accepted bool)
}

// Ledger counts a gateway's own usage and holds copies of its peers' counters. It implements Recorder. Its methods may be
// called concurrently.
//
// Each recorded usage is part of exactly one sealed window as long as this process, or a peer that confirmed a copy, runs
// until the window is sealed. Counts in a closed window are of three kinds:
//
//   - Counts that were part of neither a response to the sealer nor a copy that a peer may have accepted are not sealed. They
//     move to the current window at once.
//   - Counts that may be sealed stay until the sealed window can be read. The sealed window names the incarnations whose own
//     response it contains and holds the totals from copies for all others. Counts that it does not contain then move to the
//     current window.
//   - Counts that are sealed stay.
//
// Until the sealed window is read, counts of the second kind that no peer confirmed exist in this process only.
//
// Counters hold no request ids. CountedAnswers prevents an answer that is resumed after its gateway died from being counted again.
type Ledger struct {
	opts Options
	wake chan struct{}

	mu     sync.Mutex
	counts map[counterKey]apitypes.Usage
	closed map[int64]bool
	// closedByPeer holds windows that a peer reported as closed; no new usage is counted in them.
	closedByPeer map[int64]bool
	// maxSealed holds, for each own counter, the largest value that may be sealed: a value that a peer accepted or may have
	// accepted, or the value that this gateway returned to the sealer.
	maxSealed map[counterKey]apitypes.Usage
	// settled holds closed windows whose own counters equal the sealed ones. settleRetries holds when to read the other closed
	// windows again.
	settled       map[int64]bool
	settleRetries map[int64]settleRetry
	// acked holds the values of the own counters that each peer confirmed, and retryAt when a failed peer is tried again.
	acked   map[string]map[counterKey]apitypes.Usage
	retryAt map[string]time.Time
	waiters []chan error
}

// settleRetry is the time of the next read of a closed window that was not sealed at the last read, and the wait until then.
type settleRetry struct {
	next time.Time
	wait time.Duration
}

var _ Recorder = (*Ledger)(nil)

// NewLedger returns an empty ledger. Record returns without an error only while Run is running.
func NewLedger(o Options) *Ledger {
	if o.WindowLength <= 0 {
		o.WindowLength = apitypes.DefaultWindowSeconds
	}
	return &Ledger{opts: o, wake: make(chan struct{}, 1), counts: make(map[counterKey]apitypes.Usage), closed: make(map[int64]bool),
		closedByPeer: make(map[int64]bool), maxSealed: make(map[counterKey]apitypes.Usage),
		settled: make(map[int64]bool), settleRetries: make(map[int64]settleRetry),
		acked: make(map[string]map[counterKey]apitypes.Usage), retryAt: make(map[string]time.Time)}
}

// ChooseCopyPeers returns two live VMs in two failure domains other than self's, chosen by rendezvous hashing. It returns fewer when
// vms covers fewer such domains.
func ChooseCopyPeers(self apitypes.VM, vms []apitypes.VM) []apitypes.VM {
	byName := make(map[string]apitypes.VM)
	for _, vm := range vms {
		if vm.State == apitypes.VMLive && vm.FailureDomain != self.FailureDomain {
			byName[vm.Name] = vm
		}
	}
	var chosen []apitypes.VM
	for _, name := range membership.Rendezvous("usage/"+self.Name, slices.Collect(maps.Keys(byName)), len(byName)) {
		vm := byName[name]
		if len(chosen) < copiesPerCounter && (len(chosen) == 0 || chosen[0].FailureDomain != vm.FailureDomain) {
			chosen = append(chosen, vm)
		}
	}
	return chosen
}

// Record implements Recorder.
func (l *Ledger) Record(ctx context.Context, team string, u apitypes.Usage) error {
	done := make(chan error, 1)
	l.mu.Lock()
	l.add(team, u)
	l.waiters = append(l.waiters, done)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// add counts usage in the current window, or in the next open one when that is closed. The caller holds the lock.
func (l *Ledger) add(team string, u apitypes.Usage) {
	k := counterKey{l.opts.Incarnation, l.currentWindow(), team}
	l.counts[k] = addUsage(l.counts[k], u)
}

// currentWindow returns the start of the earliest window from now on that is open. The caller holds the lock.
func (l *Ledger) currentWindow() int64 {
	now := time.Now().Unix()
	w := now - now%l.opts.WindowLength
	for l.closed[w] || l.closedByPeer[w] {
		w += l.opts.WindowLength
	}
	return w
}

// Run copies counters to peers until ctx ends. Counters that a peer has not confirmed are copied again every retryInterval.
func (l *Ledger) Run(ctx context.Context) error {
	var settling sync.WaitGroup
	defer settling.Wait()
	if l.opts.ReadSealedWindow != nil {
		settling.Go(func() { l.settleClosed(ctx) })
	}
	defer func() { notifyAll(l.takeWaiters(), ErrNoCopy) }()
	// A timer that is set again after each copy, not a ticker: the race detector of Go 1.26.8 crashes when a ticker that is already due is
	// the first timer of a synctest bubble to run.
	retry := time.NewTimer(retryInterval)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.wake:
			time.Sleep(copyBatchDelay)
		case <-retry.C:
		}
		batch := l.takeWaiters()
		notifyAll(batch, l.copyUntilStable(ctx))
		retry.Reset(retryInterval)
	}
}

func (l *Ledger) takeWaiters() []chan error {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.waiters
	l.waiters = nil
	return batch
}

func notifyAll(waiters []chan error, err error) {
	for _, done := range waiters {
		done <- err
	}
}

// copyUntilStable copies all unconfirmed counters and repeats the copy while counts had to move to another window, in at most
// maxCopyRounds rounds.
func (l *Ledger) copyUntilStable(ctx context.Context) error {
	for range maxCopyRounds {
		copied, moved := l.copyRound(ctx)
		if !moved && copied {
			return nil
		}
		if !moved {
			return ErrNoCopy
		}
	}
	return ErrNoCopy
}

// copyResult is the result of one copy to one peer.
type copyResult struct {
	peer   string
	sent   []Counter
	closed []int64
	err    error
}

// copyRound sends each peer the counters that it has not confirmed. copied reports whether at least one peer holds all counters of
// open windows; moved reports whether counts moved from closed windows to the current one.
func (l *Ledger) copyRound(ctx context.Context) (copied, moved bool) {
	peers := l.opts.Peers()
	results := make([]copyResult, len(peers))
	var wg sync.WaitGroup
	for i, peer := range peers {
		wg.Go(func() { results[i] = l.copyTo(ctx, peer) })
	}
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range results {
		l.recordMaxSealed(r)
		if r.err != nil {
			continue
		}
		l.recordAcks(r)
		complete := true
		for _, w := range r.closed {
			l.closedByPeer[w] = true
			complete = complete && l.closed[w]
		}
		copied = copied || complete
	}
	maps.DeleteFunc(l.acked, func(peer string, _ map[counterKey]apitypes.Usage) bool { return !slices.Contains(peers, peer) })
	for w := range l.closedByPeer {
		if !l.closed[w] {
			moved = l.closeAndMove(w) || moved
		}
	}
	return copied, moved
}

// copyTo sends a peer the own counters of open windows that it has not confirmed. It fails at once for a peer that failed less than
// retryInterval ago.
func (l *Ledger) copyTo(ctx context.Context, peer string) copyResult {
	r := copyResult{peer: peer}
	l.mu.Lock()
	if time.Now().Before(l.retryAt[peer]) {
		l.mu.Unlock()
		r.err = ErrNoCopy
		return r
	}
	for k, u := range l.counts {
		if k.incarnation == l.opts.Incarnation && !l.closed[k.window] && l.acked[peer][k] != u {
			r.sent = append(r.sent, Counter{k.incarnation, k.window, k.team, u})
		}
	}
	l.mu.Unlock()
	if len(r.sent) == 0 {
		return r
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	r.closed, r.err = l.opts.Copier.CopyUsage(ctx, peer, r.sent)
	if r.err != nil {
		l.mu.Lock()
		l.retryAt[peer] = time.Now().Add(retryInterval)
		l.mu.Unlock()
	} else if l.opts.OnCopy != nil {
		l.opts.OnCopy(len(r.closed) == 0)
	}
	return r
}

// recordAcks records the counter values that a peer accepted. The caller holds the lock.
func (l *Ledger) recordAcks(r copyResult) {
	acked, ok := l.acked[r.peer]
	if !ok {
		acked = make(map[counterKey]apitypes.Usage)
		l.acked[r.peer] = acked
	}
	for _, c := range r.sent {
		if !slices.Contains(r.closed, c.Window) {
			acked[counterKey{c.Incarnation, c.Window, c.Team}] = c.Usage
		}
	}
}

// recordMaxSealed raises maxSealed to the values that a peer accepted or may have accepted: all that were sent, except in windows
// that the peer reported as closed. A copy without a response may have been accepted, or may be accepted later. The caller holds
// the lock.
func (l *Ledger) recordMaxSealed(r copyResult) {
	for _, c := range r.sent {
		if r.err != nil || !slices.Contains(r.closed, c.Window) {
			k := counterKey{c.Incarnation, c.Window, c.Team}
			l.maxSealed[k] = maxUsage(l.maxSealed[k], c.Usage)
		}
	}
}

// closeAndMove closes a window that a peer has closed and moves the counts above maxSealed, which can't be sealed, to the current
// window. It reports whether any count moved. The caller holds the lock.
func (l *Ledger) closeAndMove(window int64) bool {
	l.closed[window] = true
	return l.moveExcess(window, func(k counterKey) apitypes.Usage { return l.maxSealed[k] })
}

// moveExcess lowers the own counters of a closed window to at most what limit returns and counts the excess in the current window.
// It reports whether any count moved. The caller holds the lock.
func (l *Ledger) moveExcess(window int64, limit func(counterKey) apitypes.Usage) bool {
	moved := false
	for k, u := range l.counts {
		if k.window != window || k.incarnation != l.opts.Incarnation {
			continue
		}
		remaining := minUsage(u, limit(k))
		if excess := subUsage(u, remaining); excess != (apitypes.Usage{}) {
			l.counts[k] = remaining
			l.add(k.team, excess)
			moved = true
		}
	}
	return moved
}

// settleClosed compares the own counters of closed windows with the sealed windows until ctx ends.
func (l *Ledger) settleClosed(ctx context.Context) {
	for ctxtime.Sleep(ctx, retryInterval) {
		for _, window := range l.windowsToSettle() {
			readCtx, cancel := context.WithTimeout(ctx, sealedReadTimeout)
			sealed, err := l.opts.ReadSealedWindow(readCtx, window)
			cancel()
			if err == nil && sealed != nil {
				l.settleWindow(window, sealed)
			}
		}
	}
}

// windowsToSettle returns the closed windows with own counters that are due for a read, and schedules their next read.
func (l *Ledger) windowsToSettle() []int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var due []int64
	for k := range l.counts {
		if k.incarnation != l.opts.Incarnation || !l.closed[k.window] || l.settled[k.window] || now.Before(l.settleRetries[k.window].next) {
			continue
		}
		wait := min(maxSettleWait, max(minSettleWait, 2*l.settleRetries[k.window].wait))
		l.settleRetries[k.window] = settleRetry{next: now.Add(wait), wait: wait}
		due = append(due, k.window)
	}
	return due
}

// settleWindow marks a window as settled and moves the own counts that the sealed window does not contain to the current window.
func (l *Ledger) settleWindow(window int64, sealed *apitypes.UsageWindow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settled[window] = true
	delete(l.settleRetries, window)
	if slices.Contains(sealed.Answered, l.opts.Incarnation) {
		return
	}
	covered := sealed.Covered[l.opts.Incarnation]
	if l.moveExcess(window, func(k counterKey) apitypes.Usage { return covered[k.team] }) {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// AcceptCounters stores a peer's counters. It returns the windows that are closed here and for which the peer has counted more
// than this gateway holds; counters of closed windows are not stored.
func (l *Ledger) AcceptCounters(counters []Counter) (closed []int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range counters {
		k := counterKey{c.Incarnation, c.Window, c.Team}
		merged := maxUsage(l.counts[k], c.Usage)
		if !l.closed[c.Window] {
			l.counts[k] = merged
			continue
		}
		if merged != l.counts[k] && !slices.Contains(closed, c.Window) {
			closed = append(closed, c.Window)
		}
	}
	return closed
}

// CloseWindow closes a window permanently and returns the own counters and the copies of peers' counters for it. Repeated calls
// return the same counters until the window is sealed. For OldestWindow it closes no window.
func (l *Ledger) CloseWindow(window int64) []Counter {
	l.mu.Lock()
	defer l.mu.Unlock()
	if window == OldestWindow {
		return l.windowCounters(l.oldestUnsettled())
	}
	l.closed[window] = true
	out := l.windowCounters(window)
	for _, c := range out {
		if c.Incarnation == l.opts.Incarnation {
			l.maxSealed[counterKey{c.Incarnation, c.Window, c.Team}] = c.Usage
		}
	}
	return out
}

// windowCounters returns the own counters and the copies for a window. The caller holds the lock.
func (l *Ledger) windowCounters(window int64) []Counter {
	var out []Counter
	for k, u := range l.counts {
		if k.window == window {
			out = append(out, Counter{k.incarnation, k.window, k.team, u})
		}
	}
	return out
}

// oldestUnsettled returns the start of the oldest window with counters that is not known to be sealed, or 0. The caller holds the lock.
func (l *Ledger) oldestUnsettled() int64 {
	var oldest int64
	for k := range l.counts {
		if !l.settled[k.window] && (oldest == 0 || k.window < oldest) {
			oldest = k.window
		}
	}
	return oldest
}

// DeleteCountersBefore deletes the counters of closed windows that started before the given Unix time in seconds. The windows stay
// closed. Own counters that may be missing from the sealed window are kept.
func (l *Ledger) DeleteCountersBefore(before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	deletable := func(k counterKey, _ apitypes.Usage) bool {
		own := k.incarnation == l.opts.Incarnation && l.opts.ReadSealedWindow != nil
		return k.window < before && l.closed[k.window] && (l.settled[k.window] || !own)
	}
	maps.DeleteFunc(l.counts, deletable)
	maps.DeleteFunc(l.maxSealed, deletable)
	for _, acked := range l.acked {
		maps.DeleteFunc(acked, deletable)
	}
}

func addUsage(a, b apitypes.Usage) apitypes.Usage {
	return apitypes.Usage{Requests: a.Requests + b.Requests, PromptTokens: a.PromptTokens + b.PromptTokens, OutputTokens: a.OutputTokens + b.OutputTokens}
}

// subUsage returns a minus b. Each field of a must be at least that of b, because the fields are unsigned.
func subUsage(a, b apitypes.Usage) apitypes.Usage {
	return apitypes.Usage{Requests: a.Requests - b.Requests, PromptTokens: a.PromptTokens - b.PromptTokens, OutputTokens: a.OutputTokens - b.OutputTokens}
}

func minUsage(a, b apitypes.Usage) apitypes.Usage {
	return apitypes.Usage{Requests: min(a.Requests, b.Requests), PromptTokens: min(a.PromptTokens, b.PromptTokens), OutputTokens: min(a.OutputTokens, b.OutputTokens)}
}

func maxUsage(a, b apitypes.Usage) apitypes.Usage {
	return apitypes.Usage{Requests: max(a.Requests, b.Requests), PromptTokens: max(a.PromptTokens, b.PromptTokens), OutputTokens: max(a.OutputTokens, b.OutputTokens)}
}
