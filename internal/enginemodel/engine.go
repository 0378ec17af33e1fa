// Package enginemodel simulates language-model engines for tests of placement under load: batches that slow down as they fill,
// prompts that are prefilled in chunks between decode steps, memory that running requests and cached prompt parts share, and
// transfers of cached parts over links.
//
// The model runs on the time package, so that tests can run it in virtual time with testing/synctest. It leaves out preemption (a
// request waits until there is memory for it), load reports and cache events with their delays, and crashes.
package enginemodel

import (
	"container/list"
	"sync"
	"time"
)

// EngineSpec describes the performance and the memory of an engine with its model.
type EngineSpec struct {
	// Slots is the maximum number of requests in a batch.
	Slots int
	// A decode step generates one token for each request of the batch. It takes StepBase, plus StepPerSlot for each request, plus
	// StepPerContext for each thousand tokens of prompt and output of its requests.
	StepBase, StepPerSlot, StepPerContext time.Duration
	// TokensPerMS is the rate of a prefill engine in prompt tokens per millisecond. PairsPerMillion is the additional time for a million
	// pairs of a prefilled token and a token before it.
	TokensPerMS     float64
	PairsPerMillion time.Duration
	// FirstTokenDelay is the time from the end of prefill to the first token.
	FirstTokenDelay time.Duration
	// Chunk is the maximum number of prompt tokens that are prefilled in one step.
	Chunk int
	// MemoryTokens is the memory that running requests and cached parts share, in tokens. Requests reserve it in blocks of Block tokens.
	MemoryTokens, Block int
	// TokenBytes is the memory of a token in bytes, LinkMbps the bandwidth of the engine's link, TransferSetup the time before the first
	// byte of a transfer.
	TokenBytes    float64
	LinkMbps      float64
	TransferSetup time.Duration
}

// RopeLogsEngine and RoyaltyEngine describe the engines of two users, with the figures of their site files.
var (
	RopeLogsEngine = EngineSpec{Slots: 128, StepBase: 3550 * time.Microsecond, StepPerSlot: 46200 * time.Nanosecond, StepPerContext: 1150 * time.Nanosecond,
		TokensPerMS: 157, PairsPerMillion: 109 * time.Microsecond, FirstTokenDelay: 26 * time.Millisecond, Chunk: 2048,
		MemoryTokens: 978044, Block: 16, TokenBytes: 18432, LinkMbps: 550000, TransferSetup: 5 * time.Millisecond}
	RoyaltyEngine = EngineSpec{Slots: 128, StepBase: 3410 * time.Microsecond, StepPerSlot: 46200 * time.Nanosecond, StepPerContext: 1150 * time.Nanosecond,
		TokensPerMS: 112, PairsPerMillion: 109 * time.Microsecond, FirstTokenDelay: 26 * time.Millisecond, Chunk: 2048,
		MemoryTokens: 807835, Block: 16, TokenBytes: 18432, LinkMbps: 370000, TransferSetup: 5 * time.Millisecond}
)

const (
	// A decode engine prefills prompts at the rate divided by decodeSlowdown and in chunks of the size divided by decodeChunkDivisor.
	decodeSlowdown     = 2
	decodeChunkDivisor = 4
	// crossDomainFactor is the factor by which a transfer between failure domains takes longer.
	crossDomainFactor = 2
)

// Part is a part of a prompt. Requests share a part if it has the same ID.
type Part struct {
	ID     string
	Tokens int
}

// Request is a request to an engine. OnFirstToken is called when its first token is generated, OnDone when the request is complete.
type Request struct {
	Parts []Part
	// Output is the number of tokens to generate. If it is 0, the prompt is only prefilled.
	Output       int
	OnFirstToken func()
	OnDone       func()

	promptTokens, unprefilledTokens, generatedTokens int
	reservedTokens                                   int
	cancelled                                        bool
}

// Engine is a simulated engine.
type Engine struct {
	EngineSpec
	// Domain is the failure domain.
	Domain string
	// Prefill is set for engines that only prefill prompts.
	Prefill bool

	mu          sync.Mutex
	wake        chan struct{}
	waiting     []*Request // for a slot and memory, in order of arrival
	batch       []*Request
	batchTokens int // memory that the batch reserves, in tokens
	cache       partCache
	// linkFreeAt is the end of the last transfer that was started on the link.
	linkFreeAt time.Time
	// sharedTokensPrefilled is the number of tokens of shared parts that had to be prefilled. All parts of a prompt but the last count as
	// shared.
	sharedTokensPrefilled int
	stopped               bool
	exited                chan struct{}
}

// New starts an engine. The caller must call Stop.
func New(spec EngineSpec, domain string, prefill bool) *Engine {
	e := &Engine{EngineSpec: spec, Domain: domain, Prefill: prefill, wake: make(chan struct{}, 1), exited: make(chan struct{})}
	e.cache = partCache{lru: list.New(), entries: make(map[string]*list.Element)}
	go e.run()
	return e
}

// Stop stops the engine after its current step and waits until it has stopped.
func (e *Engine) Stop() {
	e.mu.Lock()
	e.stopped = true
	e.signal()
	e.mu.Unlock()
	<-e.exited
}

// SharedTokensRead returns the number of tokens of shared parts that the engine has prefilled.
func (e *Engine) SharedTokensRead() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sharedTokensPrefilled
}

// SubmitRequest queues a request. Parts that the engine has cached are not prefilled again.
func (e *Engine) SubmitRequest(r *Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range r.Parts {
		r.promptTokens += p.Tokens
	}
	e.waiting = append(e.waiting, r)
	e.signal()
}

// CancelRequest cancels a request. Its OnDone is not called.
func (e *Engine) CancelRequest(r *Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.cancelled = true
	e.signal()
}

// FetchParts copies the parts of a prompt that another engine has cached and this one has not, and returns at the end of the
// transfer. The transfers of an engine run one after another.
func (e *Engine) FetchParts(from *Engine, parts []Part) {
	missingTokens := from.cachedTokens(parts) - e.cachedTokens(parts)
	if missingTokens <= 0 {
		return
	}
	ms := float64(missingTokens) * e.TokenBytes * 8 / (e.LinkMbps * 1e3)
	if from.Domain != e.Domain {
		ms *= crossDomainFactor
	}
	start := time.Now()
	for _, engine := range []*Engine{from, e} {
		engine.mu.Lock()
		if engine.linkFreeAt.After(start) {
			start = engine.linkFreeAt
		}
		engine.mu.Unlock()
	}
	end := start.Add(e.TransferSetup + time.Duration(ms*float64(time.Millisecond)))
	for _, engine := range []*Engine{from, e} {
		engine.mu.Lock()
		engine.linkFreeAt = end
		engine.mu.Unlock()
	}
	time.Sleep(time.Until(end))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.add(leadingParts(parts, missingTokens+e.cache.prefixTokens(parts)), e.MemoryTokens-e.batchTokens)
}

func (e *Engine) cachedTokens(parts []Part) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.prefixTokens(parts)
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) run() {
	defer close(e.exited)
	for {
		duration, callbacks := e.step()
		for _, callback := range callbacks {
			callback()
		}
		e.mu.Lock()
		stopped := e.stopped
		e.mu.Unlock()
		switch {
		case stopped:
			return
		case duration > 0:
			time.Sleep(duration)
		case len(callbacks) == 0:
			<-e.wake
		}
	}
}

// step starts one step of the batch. It returns its duration, and the OnDone callbacks of the requests that the previous step
// completed.
func (e *Engine) step() (time.Duration, []func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	callbacks := e.removeFinished()
	e.admit()
	var d time.Duration
	chunk, rate := e.Chunk, e.TokensPerMS
	if !e.Prefill {
		chunk, rate = chunk/decodeChunkDivisor, rate/decodeSlowdown
	}
	decoding, contextTokens := 0, 0
	for _, r := range e.batch {
		if r.unprefilledTokens > 0 {
			if n := min(r.unprefilledTokens, chunk); n > 0 {
				d += e.prefillTime(r, n, rate)
				r.unprefilledTokens -= n
				chunk -= n
			}
			continue
		}
		if r.Output > 0 {
			decoding++
			contextTokens += r.promptTokens + r.generatedTokens
			r.generatedTokens++
			if r.generatedTokens == 1 && r.OnFirstToken != nil {
				onFirstToken := r.OnFirstToken
				time.AfterFunc(e.FirstTokenDelay, onFirstToken)
			}
		}
	}
	if decoding > 0 {
		d += e.StepBase + time.Duration(decoding)*e.StepPerSlot + time.Duration(contextTokens/1000)*e.StepPerContext
	}
	return d, callbacks
}

// prefillTime returns the time to prefill the next n tokens of a prompt at a rate in tokens per millisecond.
func (e *Engine) prefillTime(r *Request, n int, rate float64) time.Duration {
	before := float64(r.promptTokens - r.unprefilledTokens)
	pairs := float64(n) * (before + float64(n)/2) / 1e6
	return time.Duration(float64(n)/rate*float64(time.Millisecond)) + time.Duration(pairs*float64(e.PairsPerMillion))
}

// removeFinished removes completed and cancelled requests from the batch and caches the parts of the completed ones. It returns
// the OnDone callbacks to call.
func (e *Engine) removeFinished() []func() {
	var callbacks []func()
	remaining := e.batch[:0]
	for _, r := range e.batch {
		switch {
		case r.cancelled:
			e.batchTokens -= r.reservedTokens
		case r.unprefilledTokens == 0 && r.generatedTokens >= r.Output:
			e.batchTokens -= r.reservedTokens
			e.cache.add(r.Parts, e.MemoryTokens-e.batchTokens)
			if r.OnDone != nil {
				callbacks = append(callbacks, r.OnDone)
			}
		default:
			remaining = append(remaining, r)
		}
	}
	e.batch = remaining
	return callbacks
}

// admit moves waiting requests into the batch while it has free slots and memory. A request that needs more than the whole memory is
// admitted to an empty batch.
func (e *Engine) admit() {
	for len(e.waiting) > 0 {
		r := e.waiting[0]
		if r.cancelled {
			e.waiting = e.waiting[1:]
			continue
		}
		reserved := (r.promptTokens + r.Output + e.Block - 1) / e.Block * e.Block
		if len(e.batch) >= e.Slots || e.batchTokens+reserved > e.MemoryTokens && len(e.batch) > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		cached := e.cache.prefixTokens(r.Parts)
		r.unprefilledTokens, r.reservedTokens = r.promptTokens-cached, reserved
		for i, p := range r.Parts[:max(len(r.Parts)-1, 0)] {
			if e.cache.prefixTokens(r.Parts[:i+1]) < totalTokens(r.Parts[:i+1]) {
				e.sharedTokensPrefilled += p.Tokens
			}
		}
		e.batchTokens += reserved
		e.cache.evictTo(e.MemoryTokens - e.batchTokens)
		e.batch = append(e.batch, r)
	}
}

// totalTokens returns the number of tokens of all parts.
func totalTokens(parts []Part) int {
	n := 0
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}

// leadingParts returns the longest sequence of parts from the start of a prompt that has at most the given number of tokens.
func leadingParts(parts []Part, tokens int) []Part {
	for i, p := range parts {
		if tokens -= p.Tokens; tokens < 0 {
			return parts[:i]
		}
	}
	return parts
}
