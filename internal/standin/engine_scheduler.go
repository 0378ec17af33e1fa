package standin

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/endpoint"
)

// Factors by which the role of an engine changes its prefill and decode rates: the favoured phase is faster, the other one slower.
const (
	favouredPhaseFactor = 1.6
	otherPhaseFactor    = 0.4
)

// generation is one request and the progress of its output.
type generation struct {
	id            string
	chat          bool
	prompt        string
	priority      int
	arrivalNumber int
	prefixBlocks  []uint64
	kvBlocks      int
	promptTokens  int
	// Indexes of the first output token to generate and of the one after the last.
	firstToken, endToken int
	scheduled            chan struct{}
	ctx                  context.Context
	cancel               context.CancelFunc

	mu         sync.Mutex
	tokenCount int
	done       bool
	changed    chan struct{}
	clients    int
	graceTimer *time.Timer
}

// advance adds one token, or marks the generation as done.
func (g *generation) advance(done bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if done {
		g.done = true
	} else {
		g.tokenCount++
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

// progress returns the number of tokens so far, whether the generation has ended, and a channel that is closed on the next change.
func (g *generation) progress() (int, bool, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tokenCount, g.done, g.changed
}

// attach adds a client; the returned function removes it. A generation without clients is cancelled after the grace period.
func (g *generation) attach(grace time.Duration) func() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clients++
	if g.graceTimer != nil {
		g.graceTimer.Stop()
		g.graceTimer = nil
	}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.clients--
		if g.clients == 0 && !g.done {
			g.graceTimer = time.AfterFunc(grace, g.cancel)
		}
	}
}

// submit queues a generation and starts the goroutine that runs it.
func (e *Engine) submit(g *generation, salt string, maxTokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivalCount++
	g.arrivalNumber = e.arrivalCount
	g.prefixBlocks = endpoint.PrefixBlocks(salt, g.prompt)
	g.promptTokens = endpoint.EstimateTokens(g.prompt)
	g.kvBlocks = min(e.cfg.KVBlocks, (g.promptTokens+maxTokens)/16+1)
	e.requests[g.id] = g
	e.requestIDs = append(e.requestIDs, g.id)
	e.dropOldRequests()
	e.waiting = append(e.waiting, g)
	e.queuedPrefillTokens += g.promptTokens
	e.schedule()
	go e.run(g, e.crashSignal)
}

// dropOldRequests discards the oldest requests above maxStoredRequests. The caller holds the lock.
func (e *Engine) dropOldRequests() {
	for len(e.requestIDs) > maxStoredRequests {
		delete(e.requests, e.requestIDs[0])
		e.requestIDs = e.requestIDs[1:]
	}
}

// schedule starts waiting requests in order of priority, then of arrival, while slots and KV blocks are free. The caller holds the lock.
func (e *Engine) schedule() {
	slices.SortFunc(e.waiting, func(a, b *generation) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrivalNumber, b.arrivalNumber))
	})
	for len(e.waiting) > 0 && e.running < e.cfg.Slots && e.kvBlocksUsed+e.waiting[0].kvBlocks <= e.cfg.KVBlocks {
		g := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		e.kvBlocksUsed += g.kvBlocks
		close(g.scheduled)
	}
	e.sampleLoad()
}

// run generates the output of one request. If the engine has crashed since submit, the counters belong to a newer instance and are not
// changed.
func (e *Engine) run(g *generation, crashSignal <-chan struct{}) {
	defer g.cancel()
	select {
	case <-g.scheduled:
	case <-g.ctx.Done():
		e.removeFromQueue(g, crashSignal)
		g.advance(true)
		return
	}
	e.runPrefill(g, crashSignal)
	tokenInterval := e.tokenInterval()
	for i := g.firstToken; i < g.endToken && g.ctx.Err() == nil; i++ {
		if !ctxtime.Sleep(g.ctx, tokenInterval) {
			break
		}
		if e.crashIfDue(g, i-g.firstToken) {
			return
		}
		g.advance(false)
	}
	g.advance(true)
	e.mu.Lock()
	defer e.mu.Unlock()
	if crashed(crashSignal) {
		return
	}
	e.running--
	e.kvBlocksUsed -= g.kvBlocks
	e.schedule()
}

// removeFromQueue undoes the queueing of a generation cancelled before it ran; it may have been scheduled in the meantime.
func (e *Engine) removeFromQueue(g *generation, crashSignal <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if crashed(crashSignal) {
		return
	}
	e.queuedPrefillTokens -= g.promptTokens
	e.waiting = slices.DeleteFunc(e.waiting, func(w *generation) bool { return w == g })
	select {
	case <-g.scheduled:
		e.running--
		e.kvBlocksUsed -= g.kvBlocks
	default:
	}
	e.schedule()
}

// runPrefill waits for the prefill time of the prompt's uncached part, then adds the prompt to the cache. Prefills run one at a time.
func (e *Engine) runPrefill(g *generation, crashSignal <-chan struct{}) {
	e.mu.Lock()
	slot := e.prefillSlot
	e.mu.Unlock()
	select {
	case slot <- struct{}{}:
		defer func() { <-slot }()
	case <-g.ctx.Done():
	}
	e.mu.Lock()
	uncached := g.promptTokens - e.cache.hits(g.prefixBlocks)*16
	rate := e.cfg.PrefillRate * roleFactor(e.control.role, apitypes.RolePrefill)
	e.mu.Unlock()
	ctxtime.Sleep(g.ctx, time.Duration(float64(uncached)/rate*float64(time.Second)))
	e.mu.Lock()
	defer e.mu.Unlock()
	if crashed(crashSignal) {
		return
	}
	e.queuedPrefillTokens -= g.promptTokens
	e.publishCacheEvent(e.cache.store(g.prefixBlocks))
	e.sampleLoad()
}

// tokenInterval returns the decode time of one token.
func (e *Engine) tokenInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	rate := e.cfg.DecodeRate * roleFactor(e.control.role, apitypes.RoleDecode)
	return time.Duration(float64(time.Second) / rate)
}

// crashIfDue crashes the engine if the prompt contains the crash marker and CrashAfter tokens were generated. It reports whether it did.
func (e *Engine) crashIfDue(g *generation, tokens int) bool {
	e.mu.Lock()
	f := e.faults
	e.mu.Unlock()
	if f.CrashMarker == "" || !strings.Contains(g.prompt, f.CrashMarker) || tokens < f.CrashAfter {
		return false
	}
	e.Crash(f.CrashDowntime)
	return true
}

// roleFactor returns the rate factor of a phase for an engine with the given role; favoured is the role that favours the phase.
func roleFactor(role, favoured apitypes.Role) float64 {
	switch role {
	case apitypes.RoleMixed:
		return 1
	case favoured:
		return favouredPhaseFactor
	}
	return otherPhaseFactor
}

// crashed reports whether the crash signal is closed.
func crashed(crashSignal <-chan struct{}) bool {
	select {
	case <-crashSignal:
		return true
	default:
		return false
	}
}

// faultsForStream returns the faults for a new response and counts it towards MaxStreams.
func (e *Engine) faultsForStream(resumed bool) EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	if resumed && !e.faults.ApplyToResumes || e.faults.MaxStreams > 0 && e.faultedStreams >= e.faults.MaxStreams {
		return EngineFaults{}
	}
	e.faultedStreams++
	return e.faults
}

// faultDue reports whether a fault that triggers after the given number of tokens is due after n tokens.
func faultDue(after, n int) bool { return after != 0 && n >= max(after, 0) }

// abort aborts the connection of the current response.
func abort() { panic(http.ErrAbortHandler) }
