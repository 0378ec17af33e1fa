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

// Factors of the rates of engines whose role favours one phase.
const (
	favouredRate = 1.6
	otherRate    = 0.4
)

// generation is one request and its output so far.
type generation struct {
	id        string
	chat      bool
	prompt    string
	priority  int
	arrival   int
	blocks    []uint64
	pieces    int
	promptLen int
	from, end int // output token numbers
	start     chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc

	mu      sync.Mutex
	tokens  int
	done    bool
	changed chan struct{}
	readers int
	grace   *time.Timer
}

func (g *generation) advance(done bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if done {
		g.done = true
	} else {
		g.tokens++
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

// progress returns the number of tokens, whether they are all, and a channel that closes on the next change.
func (g *generation) progress() (int, bool, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tokens, g.done, g.changed
}

// attach counts a reader; the returned function ends it. A generation without readers ends after the grace time.
func (g *generation) attach(grace time.Duration) func() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers++
	if g.grace != nil {
		g.grace.Stop()
		g.grace = nil
	}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.readers--
		if g.readers == 0 && !g.done {
			g.grace = time.AfterFunc(grace, g.cancel)
		}
	}
}

// submit queues a generation.
func (e *Engine) submit(g *generation, salt string, maxTokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals++
	g.arrival = e.arrivals
	g.blocks = endpoint.PrefixBlocks(salt, g.prompt)
	g.promptLen = endpoint.EstimateTokens(g.prompt)
	g.pieces = min(e.cfg.KVTotal, (g.promptLen+maxTokens)/16+1)
	e.requests[g.id] = g
	e.order = append(e.order, g.id)
	e.dropOldRequests()
	e.waiting = append(e.waiting, g)
	e.queued += g.promptLen
	e.schedule()
	go e.run(g, e.down)
}

func (e *Engine) dropOldRequests() {
	for len(e.order) > maxKeptRequests {
		delete(e.requests, e.order[0])
		e.order = e.order[1:]
	}
}

// schedule starts waiting requests in order of priority while slots and KV pieces last. The caller holds the lock.
func (e *Engine) schedule() {
	slices.SortFunc(e.waiting, func(a, b *generation) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrival, b.arrival))
	})
	for len(e.waiting) > 0 && e.running < e.cfg.Slots && e.kvUsed+e.waiting[0].pieces <= e.cfg.KVTotal {
		g := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		e.kvUsed += g.pieces
		close(g.start)
	}
	e.sampleLoad()
}

// run generates the output of one request. An instance that has crashed meanwhile is left alone.
func (e *Engine) run(g *generation, down <-chan struct{}) {
	defer g.cancel()
	select {
	case <-g.start:
	case <-g.ctx.Done():
		e.leaveQueue(g, down)
		g.advance(true)
		return
	}
	e.runPrefill(g, down)
	perToken := e.perToken()
	for i := g.from; i < g.end && g.ctx.Err() == nil; i++ {
		if !ctxtime.Sleep(g.ctx, perToken) {
			break
		}
		if e.crashDue(g, i-g.from) {
			return
		}
		g.advance(false)
	}
	g.advance(true)
	e.mu.Lock()
	defer e.mu.Unlock()
	if crashed(down) {
		return
	}
	e.running--
	e.kvUsed -= g.pieces
	e.schedule()
}

func (e *Engine) leaveQueue(g *generation, down <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if crashed(down) {
		return
	}
	e.queued -= g.promptLen
	e.waiting = slices.DeleteFunc(e.waiting, func(w *generation) bool { return w == g })
	select {
	case <-g.start:
		e.running--
		e.kvUsed -= g.pieces
	default:
	}
	e.schedule()
}

// runPrefill takes the time of the prompt's uncached part; prefills run one after another.
func (e *Engine) runPrefill(g *generation, down <-chan struct{}) {
	e.mu.Lock()
	prefill := e.prefill
	e.mu.Unlock()
	select {
	case prefill <- struct{}{}:
		defer func() { <-prefill }()
	case <-g.ctx.Done():
	}
	e.mu.Lock()
	uncached := g.promptLen - e.cache.hits(g.blocks)*16
	rate := e.cfg.PrefillRate * roleFactor(e.control.role, apitypes.RolePrefill)
	e.mu.Unlock()
	ctxtime.Sleep(g.ctx, time.Duration(float64(uncached)/rate*float64(time.Second)))
	e.mu.Lock()
	defer e.mu.Unlock()
	if crashed(down) {
		return
	}
	e.queued -= g.promptLen
	e.publishCache(e.cache.store(g.blocks))
	e.sampleLoad()
}

func (e *Engine) perToken() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	rate := e.cfg.DecodeRate * roleFactor(e.control.role, apitypes.RoleDecode)
	return time.Duration(float64(time.Second) / rate)
}

// crashDue crashes the engine when the prompt holds the crash marker and enough tokens are out.
func (e *Engine) crashDue(g *generation, tokens int) bool {
	e.mu.Lock()
	f := e.faults
	e.mu.Unlock()
	if f.CrashMarker == "" || !strings.Contains(g.prompt, f.CrashMarker) || tokens < f.CrashAfter {
		return false
	}
	e.Crash(f.CrashDowntime)
	return true
}

func roleFactor(role, favoured apitypes.Role) float64 {
	switch role {
	case apitypes.RoleMixed:
		return 1
	case favoured:
		return favouredRate
	}
	return otherRate
}

func crashed(down <-chan struct{}) bool {
	select {
	case <-down:
		return true
	default:
		return false
	}
}

// takeFaults returns the faults that apply to a new data stream.
func (e *Engine) takeFaults(resumed bool) EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	if resumed && !e.faults.ApplyToResumes || e.faults.MaxStreams > 0 && e.faultsUsed >= e.faults.MaxStreams {
		return EngineFaults{}
	}
	e.faultsUsed++
	return e.faults
}

// faultDue tells whether a fault with the given count applies after n tokens.
func faultDue(after, n int) bool { return after != 0 && n >= max(after, 0) }

// abort breaks the connection of a response.
func abort() { panic(http.ErrAbortHandler) }
