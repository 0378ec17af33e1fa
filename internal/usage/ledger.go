package usage

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/membership"
	"crocusglade.example/crocusglade/internal/world"
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
)

// ErrNoCopy is returned by Record when no peer holds a copy. The usage is counted locally and copied again later.
var ErrNoCopy = errors.New("usage: no peer took a copy; check the links to the other failure domains")

// Counter is the cumulative usage of one team in one window, counted by one gateway incarnation.
type Counter struct {
	Incarnation string
	// Window is the window's start in Unix seconds.
	Window int64
	Team   string
	Usage  world.Usage
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
	// WindowLength is in seconds; zero means world.WindowLength.
	WindowLength int64
	// Peers returns the names of the peers that hold copies. A name must change when the peer restarts and loses its copies.
	Peers  func() []string
	Copier Copier
}

// Ledger counts a gateway's own usage and keeps copies of its peers' counters. It implements Recorder. Its methods may be
// called concurrently.
type Ledger struct {
	o    Options
	wake chan struct{}

	mu     sync.Mutex
	counts map[counterKey]world.Usage
	closed map[int64]bool
	// refused holds windows that a peer has closed; nothing new is counted in them.
	refused map[int64]bool
	// acked holds what each peer confirmed of the own counters, and suspect when a failed peer is tried again.
	acked   map[string]map[counterKey]world.Usage
	suspect map[string]time.Time
	waiting []chan error
}

var _ Recorder = (*Ledger)(nil)

// NewLedger returns an empty ledger. Run must run for Record to return.
func NewLedger(o Options) *Ledger {
	if o.WindowLength <= 0 {
		o.WindowLength = world.WindowLength
	}
	return &Ledger{o: o, wake: make(chan struct{}, 1), counts: make(map[counterKey]world.Usage), closed: make(map[int64]bool),
		refused: make(map[int64]bool),
		acked:   make(map[string]map[counterKey]world.Usage), suspect: make(map[string]time.Time)}
}

// ChoosePeers names two VMs in two failure domains other than self's, by rendezvous hashing. It names fewer when the list
// has fewer such domains.
func ChoosePeers(self world.VM, vms []world.VM) []world.VM {
	byName := make(map[string]world.VM)
	for _, vm := range vms {
		if vm.State == world.VMLive && vm.FailureDomain != self.FailureDomain {
			byName[vm.Name] = vm
		}
	}
	var chosen []world.VM
	for _, name := range membership.Rendezvous("usage/"+self.Name, slices.Collect(maps.Keys(byName)), len(byName)) {
		vm := byName[name]
		if len(chosen) < copiesPerCounter && (len(chosen) == 0 || chosen[0].FailureDomain != vm.FailureDomain) {
			chosen = append(chosen, vm)
		}
	}
	return chosen
}

// Record implements Recorder.
func (l *Ledger) Record(ctx context.Context, team string, u world.Usage) error {
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
func (l *Ledger) add(team string, u world.Usage) {
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

// Run copies counters to peers until ctx ends. Counters that no peer has confirmed are tried again once a second.
func (l *Ledger) Run(ctx context.Context) error {
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
		l.mu.Lock()
		group := l.waiting
		l.waiting = nil
		l.mu.Unlock()
		err := l.copyGroup(ctx)
		for _, done := range group {
			done <- err
		}
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
	unknown := false
	for _, r := range results {
		if r.err != nil {
			unknown = true
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
	maps.DeleteFunc(l.acked, func(peer string, _ map[counterKey]world.Usage) bool { return !slices.Contains(peers, peer) })
	for w := range l.refused {
		// A window that this gateway answered for is complete with its own answer. While a peer's answer is unknown, that peer
		// may have accepted the counts, and moving them would bill them twice.
		if !l.closed[w] && !unknown {
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
	}
	return r
}

// confirm notes what a peer accepted. The caller holds the lock.
func (l *Ledger) confirm(r copyResult) {
	acked, ok := l.acked[r.peer]
	if !ok {
		acked = make(map[counterKey]world.Usage)
		l.acked[r.peer] = acked
	}
	for _, c := range r.sent {
		if !slices.Contains(r.closed, c.Window) {
			acked[counterKey{c.Incarnation, c.Window, c.Team}] = c.Usage
		}
	}
}

// move takes the counts of a closed window that no peer holds to the current window. The caller holds the lock.
func (l *Ledger) move(window int64) bool {
	l.closed[window] = true
	moved := false
	for k, u := range l.counts {
		if k.window != window || k.incarnation != l.o.Incarnation {
			continue
		}
		var held world.Usage
		for _, acked := range l.acked {
			held = larger(held, acked[k])
		}
		if rest := minus(u, held); rest != (world.Usage{}) {
			l.counts[k] = held
			l.add(k.team, rest)
			moved = true
		}
	}
	return moved
}

// Accept stores a peer's counters and returns the windows that are closed here and for which the peer counted more than
// this gateway holds.
func (l *Ledger) Accept(counters []Counter) (closed []int64) {
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

// Close closes a window for good and returns the own counters and the copies held for it. Repeating it gives the same answer.
func (l *Ledger) Close(window int64) []Counter {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed[window] = true
	var out []Counter
	for k, u := range l.counts {
		if k.window == window {
			out = append(out, Counter{k.incarnation, k.window, k.team, u})
		}
	}
	return out
}

// Forget drops the counters of closed windows that started before the given Unix time. The windows stay closed.
func (l *Ledger) Forget(before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := func(k counterKey, _ world.Usage) bool { return k.window < before && l.closed[k.window] }
	maps.DeleteFunc(l.counts, old)
	for _, acked := range l.acked {
		maps.DeleteFunc(acked, old)
	}
}

func plus(a, b world.Usage) world.Usage {
	return world.Usage{Requests: a.Requests + b.Requests, PromptTokens: a.PromptTokens + b.PromptTokens, OutputTokens: a.OutputTokens + b.OutputTokens}
}

// minus needs a to be at least b in each field, as cumulative counters are.
func minus(a, b world.Usage) world.Usage {
	return world.Usage{Requests: a.Requests - b.Requests, PromptTokens: a.PromptTokens - b.PromptTokens, OutputTokens: a.OutputTokens - b.OutputTokens}
}

func larger(a, b world.Usage) world.Usage {
	return world.Usage{Requests: max(a.Requests, b.Requests), PromptTokens: max(a.PromptTokens, b.PromptTokens), OutputTokens: max(a.OutputTokens, b.OutputTokens)}
}
