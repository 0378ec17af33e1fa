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
	// groupEvery is the interval in which records share one copy to each peer.
	groupEvery = 10 * time.Millisecond
	// copyTimeout bounds one copy; a peer that exceeds it is left out for suspectFor, so that it does not delay every answer.
	copyTimeout = 250 * time.Millisecond
	suspectFor  = time.Second
	// copiesPerCounter is the number of peers that hold each counter.
	copiesPerCounter = 2
	// maxRounds bounds how often one group is copied again after its window was closed meanwhile.
	maxRounds = 3
	// settleFirst and settleMost are the first and the longest wait between two reads of a closed window that is not sealed
	// yet. A window is usually sealed within a second of being closed, and within toleranceAfter when an answer is missing.
	settleFirst = 2 * time.Second
	settleMost  = 30 * time.Second
	// settleTimeout bounds one read of a sealed window.
	settleTimeout = 5 * time.Second
)

// OldestWindow is passed to Ledger.CloseWindow and Collector.CollectWindow in place of a window's start. It closes nothing; the
// answer holds the counters of the oldest window that the gateway has counters of and does not know to be sealed.
const OldestWindow int64 = 0

// ErrNoCopy is returned by Record when no peer holds a copy. The usage is counted locally and copied again later.
var ErrNoCopy = errors.New("usage: no peer took a copy; check the links to the other failure domains")

// Counter is the cumulative usage of one team in one window, counted by one gateway incarnation.
type Counter struct {
	Incarnation string
	// Window is the window's start in Unix seconds.
	Window int64
	Team   string
	Usage  apitypes.Usage
}

// Copier sends counters to a peer and returns the windows for which the peer takes no more counters.
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
	// Peers returns the names of the peers that hold copies. A name must change when the peer restarts and loses its copies.
	Peers  func() []string
	Copier Copier
	// ReadSealedWindow reads a sealed window. It returns nil without an error when the window is not sealed yet. When ReadSealedWindow is nil,
	// counts that may have been sealed stay in their window.
	ReadSealedWindow func(ctx context.Context, window int64) (*apitypes.UsageWindow, error)
	// OnCopy is called for each copy that a peer answered; accepted is false when the peer has closed a window of it. Optional.
	OnCopy func(accepted bool)
}

// Ledger counts a gateway's own usage and keeps copies of its peers' counters. It implements Recorder. Its methods may be
// called concurrently.
//
// Each recorded usage is part of exactly one sealed window as long as this process, or a peer that confirmed a copy, lives
// until the window is sealed. Counts in a window that was closed are of three kinds:
//
//   - Counts that were never part of an answer to the collection, nor of a copy that a peer may have accepted, move to the
//     current window at once.
//   - Counts that may be sealed stay until the sealed window can be read. It names the incarnations whose own answer it
//     contains and the figures that copies gave for all others. What it does not contain then moves to the current window.
//   - Counts that are sealed stay.
//
// Until the sealed window is read, counts of the second kind that no peer confirmed exist in this process only.
//
// Counters hold no request ids. Answers keeps an answer that is resumed after its gateway died from being counted again.
type Ledger struct {
	o    Options
	wake chan struct{}

	mu     sync.Mutex
	counts map[counterKey]apitypes.Usage
	closed map[int64]bool
	// refused holds windows that a peer has closed; nothing new is counted in them.
	refused map[int64]bool
	// possible holds the most of each own counter that may be sealed: what a peer accepted or may have accepted, and all that
	// was counted when this gateway answered the collection.
	possible map[counterKey]apitypes.Usage
	// settled holds closed windows whose own counters are exactly what was sealed, and settle when to read others again.
	settled map[int64]bool
	settle  map[int64]settleWait
	// acked holds what each peer confirmed of the own counters, and suspect when a failed peer is tried again.
	acked   map[string]map[counterKey]apitypes.Usage
	suspect map[string]time.Time
	waiting []chan error
}

// settleWait is the wait before the next read of a window that was closed and not yet sealed.
type settleWait struct {
	next time.Time
	wait time.Duration
}

var _ Recorder = (*Ledger)(nil)

// NewLedger returns an empty ledger. Run must run for Record to return.
func NewLedger(o Options) *Ledger {
	if o.WindowLength <= 0 {
		o.WindowLength = apitypes.DefaultWindowSeconds
	}
	return &Ledger{o: o, wake: make(chan struct{}, 1), counts: make(map[counterKey]apitypes.Usage), closed: make(map[int64]bool),
		refused: make(map[int64]bool), possible: make(map[counterKey]apitypes.Usage),
		settled: make(map[int64]bool), settle: make(map[int64]settleWait),
		acked: make(map[string]map[counterKey]apitypes.Usage), suspect: make(map[string]time.Time)}
}

// ChoosePeers names two VMs in two failure domains other than self's, by rendezvous hashing. It names fewer when the list
// has fewer such domains.
func ChoosePeers(self apitypes.VM, vms []apitypes.VM) []apitypes.VM {
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
	l.waiting = append(l.waiting, done)
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

// add counts usage in the current window, or in the next one that is open. The caller holds the lock.
func (l *Ledger) add(team string, u apitypes.Usage) {
	k := counterKey{l.o.Incarnation, l.currentWindow(), team}
	l.counts[k] = plus(l.counts[k], u)
}

func (l *Ledger) currentWindow() int64 {
	now := time.Now().Unix()
	w := now - now%l.o.WindowLength
	for l.closed[w] || l.refused[w] {
		w += l.o.WindowLength
	}
	return w
}

// Run copies counters to peers until ctx ends. Counters that a peer has not confirmed are tried again once a second.
func (l *Ledger) Run(ctx context.Context) error {
	var settling sync.WaitGroup
	defer settling.Wait()
	if l.o.ReadSealedWindow != nil {
		settling.Go(func() { l.settleClosed(ctx) })
	}
	defer func() { answerAll(l.takeWaiting(), ErrNoCopy) }()
	retry := time.NewTicker(suspectFor)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.wake:
			time.Sleep(groupEvery)
		case <-retry.C:
		}
		group := l.takeWaiting()
		answerAll(group, l.copyGroup(ctx))
	}
}

func (l *Ledger) takeWaiting() []chan error {
	l.mu.Lock()
	defer l.mu.Unlock()
	group := l.waiting
	l.waiting = nil
	return group
}

func answerAll(group []chan error, err error) {
	for _, done := range group {
		done <- err
	}
}

// copyGroup copies all unconfirmed counters, again when they had to move to another window.
func (l *Ledger) copyGroup(ctx context.Context) error {
	for range maxRounds {
		copied, moved := l.copyOnce(ctx)
		if !moved && copied {
			return nil
		}
		if !moved {
			return ErrNoCopy
		}
	}
	return ErrNoCopy
}

// copyResult is the answer of one peer to one copy.
type copyResult struct {
	peer   string
	sent   []Counter
	closed []int64
	err    error
}

// copyOnce sends each peer what it has not confirmed. copied says that at least one peer holds everything that is open;
// moved says that counts went from closed windows to the current one.
func (l *Ledger) copyOnce(ctx context.Context) (copied, moved bool) {
	peers := l.o.Peers()
	results := make([]copyResult, len(peers))
	var wg sync.WaitGroup
	for i, peer := range peers {
		wg.Go(func() { results[i] = l.copyTo(ctx, peer) })
	}
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range results {
		l.notePossible(r)
		if r.err != nil {
			continue
		}
		l.confirm(r)
		complete := true
		for _, w := range r.closed {
			l.refused[w] = true
			complete = complete && l.closed[w]
		}
		copied = copied || complete
	}
	maps.DeleteFunc(l.acked, func(peer string, _ map[counterKey]apitypes.Usage) bool { return !slices.Contains(peers, peer) })
	for w := range l.refused {
		if !l.closed[w] {
			moved = l.move(w) || moved
		}
	}
	return copied, moved
}

func (l *Ledger) copyTo(ctx context.Context, peer string) copyResult {
	r := copyResult{peer: peer}
	l.mu.Lock()
	if time.Now().Before(l.suspect[peer]) {
		l.mu.Unlock()
		r.err = ErrNoCopy
		return r
	}
	for k, u := range l.counts {
		if k.incarnation == l.o.Incarnation && !l.closed[k.window] && l.acked[peer][k] != u {
			r.sent = append(r.sent, Counter{k.incarnation, k.window, k.team, u})
		}
	}
	l.mu.Unlock()
	if len(r.sent) == 0 {
		return r
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	r.closed, r.err = l.o.Copier.CopyUsage(ctx, peer, r.sent)
	if r.err != nil {
		l.mu.Lock()
		l.suspect[peer] = time.Now().Add(suspectFor)
		l.mu.Unlock()
	} else if l.o.OnCopy != nil {
		l.o.OnCopy(len(r.closed) == 0)
	}
	return r
}

// confirm notes what a peer accepted. The caller holds the lock.
func (l *Ledger) confirm(r copyResult) {
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

// notePossible notes what a peer accepted or may have accepted: all that was sent, except counters of windows that the peer
// reported as closed. A copy without an answer may have been accepted, or may still be. The caller holds the lock.
func (l *Ledger) notePossible(r copyResult) {
	for _, c := range r.sent {
		if r.err != nil || !slices.Contains(r.closed, c.Window) {
			k := counterKey{c.Incarnation, c.Window, c.Team}
			l.possible[k] = larger(l.possible[k], c.Usage)
		}
	}
}

// move closes a window that a peer has closed and takes the counts that can't be sealed to the current window. The caller
// holds the lock.
func (l *Ledger) move(window int64) bool {
	l.closed[window] = true
	return l.reduce(window, func(k counterKey) apitypes.Usage { return l.possible[k] })
}

// reduce lowers the own counters of a closed window to what keep returns and counts the rest in the current window. The caller
// holds the lock.
func (l *Ledger) reduce(window int64, keep func(counterKey) apitypes.Usage) bool {
	moved := false
	for k, u := range l.counts {
		if k.window != window || k.incarnation != l.o.Incarnation {
			continue
		}
		kept := smaller(u, keep(k))
		if rest := minus(u, kept); rest != (apitypes.Usage{}) {
			l.counts[k] = kept
			l.add(k.team, rest)
			moved = true
		}
	}
	return moved
}

// settleClosed compares own counters of closed windows with the sealed figures until ctx ends.
func (l *Ledger) settleClosed(ctx context.Context) {
	for ctxtime.Sleep(ctx, suspectFor) {
		for _, window := range l.unsettled() {
			readCtx, cancel := context.WithTimeout(ctx, settleTimeout)
			sealed, err := l.o.ReadSealedWindow(readCtx, window)
			cancel()
			if err == nil && sealed != nil {
				l.settleWindow(window, sealed)
			}
		}
	}
}

// unsettled returns the closed windows with own counters that are due to be read, and sets their next read.
func (l *Ledger) unsettled() []int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var due []int64
	for k := range l.counts {
		if k.incarnation != l.o.Incarnation || !l.closed[k.window] || l.settled[k.window] || now.Before(l.settle[k.window].next) {
			continue
		}
		wait := min(settleMost, max(settleFirst, 2*l.settle[k.window].wait))
		l.settle[k.window] = settleWait{next: now.Add(wait), wait: wait}
		due = append(due, k.window)
	}
	return due
}

// settleWindow moves own counts that a sealed window does not contain to the current window.
func (l *Ledger) settleWindow(window int64, sealed *apitypes.UsageWindow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settled[window] = true
	delete(l.settle, window)
	if slices.Contains(sealed.Answered, l.o.Incarnation) {
		return
	}
	covered := sealed.Covered[l.o.Incarnation]
	if l.reduce(window, func(k counterKey) apitypes.Usage { return covered[k.team] }) {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// AcceptCounters stores a peer's counters and returns the windows that are closed here and for which the peer counted more than
// this gateway holds.
func (l *Ledger) AcceptCounters(counters []Counter) (closed []int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range counters {
		k := counterKey{c.Incarnation, c.Window, c.Team}
		merged := larger(l.counts[k], c.Usage)
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

// CloseWindow closes a window for good and returns the own counters and the copies held for it. Repeating it gives the same answer
// until the window is sealed. OldestWindow closes nothing.
func (l *Ledger) CloseWindow(window int64) []Counter {
	l.mu.Lock()
	defer l.mu.Unlock()
	if window == OldestWindow {
		return l.counters(l.oldest())
	}
	l.closed[window] = true
	out := l.counters(window)
	for _, c := range out {
		if c.Incarnation == l.o.Incarnation {
			l.possible[counterKey{c.Incarnation, c.Window, c.Team}] = c.Usage
		}
	}
	return out
}

// counters returns all counters of a window. The caller holds the lock.
func (l *Ledger) counters(window int64) []Counter {
	var out []Counter
	for k, u := range l.counts {
		if k.window == window {
			out = append(out, Counter{k.incarnation, k.window, k.team, u})
		}
	}
	return out
}

// oldest returns the start of the oldest window with counters that is not known to be sealed, or 0. The caller holds the lock.
func (l *Ledger) oldest() int64 {
	var first int64
	for k := range l.counts {
		if !l.settled[k.window] && (first == 0 || k.window < first) {
			first = k.window
		}
	}
	return first
}

// DeleteCountersBefore drops the counters of closed windows that started before the given Unix time. The windows stay closed. Own counters
// that may be missing from the sealed figures are kept.
func (l *Ledger) DeleteCountersBefore(before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := func(k counterKey, _ apitypes.Usage) bool {
		own := k.incarnation == l.o.Incarnation && l.o.ReadSealedWindow != nil
		return k.window < before && l.closed[k.window] && (l.settled[k.window] || !own)
	}
	maps.DeleteFunc(l.counts, old)
	maps.DeleteFunc(l.possible, old)
	for _, acked := range l.acked {
		maps.DeleteFunc(acked, old)
	}
}

func plus(a, b apitypes.Usage) apitypes.Usage {
	return apitypes.Usage{Requests: a.Requests + b.Requests, PromptTokens: a.PromptTokens + b.PromptTokens, OutputTokens: a.OutputTokens + b.OutputTokens}
}

// minus needs a to be at least b in each field, as cumulative counters are.
func minus(a, b apitypes.Usage) apitypes.Usage {
	return apitypes.Usage{Requests: a.Requests - b.Requests, PromptTokens: a.PromptTokens - b.PromptTokens, OutputTokens: a.OutputTokens - b.OutputTokens}
}

func smaller(a, b apitypes.Usage) apitypes.Usage {
	return apitypes.Usage{Requests: min(a.Requests, b.Requests), PromptTokens: min(a.PromptTokens, b.PromptTokens), OutputTokens: min(a.OutputTokens, b.OutputTokens)}
}

func larger(a, b apitypes.Usage) apitypes.Usage {
	return apitypes.Usage{Requests: max(a.Requests, b.Requests), PromptTokens: max(a.PromptTokens, b.PromptTokens), OutputTokens: max(a.OutputTokens, b.OutputTokens)}
}
