// Package enginemodel models engines of language models for tests of decisions under load: batches that slow down as they fill,
// prompts that are read in pieces between tokens, memory that running requests and kept parts share, and transfers over links.
//
// The model runs on the time package, so that tests play it in virtual time with testing/synctest. It leaves out preemption (a
// request that finds no memory waits), reports and cache events with their lag, and crashes.
package enginemodel

import (
	"container/list"
	"sync"
	"time"
)

// EngineSpec is the hardware and model of an engine.
type EngineSpec struct {
	// Slots is the largest number of requests in a batch.
	Slots int
	// A step, which makes one token for each request, takes StepBase, StepPerSlot for each request, and StepPerContext for
	// each thousand tokens in memory of its requests.
	StepBase, StepPerSlot, StepPerContext time.Duration
	// TokensPerMS is the rate at which a prefill engine reads prompts. PairsPerMillion is the time for a million pairs of a
	// token read and a token before it.
	TokensPerMS     float64
	PairsPerMillion time.Duration
	// FirstTokenDelay is the time from the end of reading to the first token.
	FirstTokenDelay time.Duration
	// Chunk is the number of prompt tokens that are read in one step.
	Chunk int
	// MemoryTokens is the memory that requests and kept parts share; it is given out in blocks of Block tokens.
	MemoryTokens, Block int
	// TokenBytes is the memory of a token, LinkMbps the rate of the engine's link, TransferSetup the time before the first byte.
	TokenBytes    float64
	LinkMbps      float64
	TransferSetup time.Duration
}

// RopeLogs and Royalty are the engines of the two users, with the figures of their site files.
var (
	RopeLogs = EngineSpec{Slots: 128, StepBase: 3550 * time.Microsecond, StepPerSlot: 46200 * time.Nanosecond, StepPerContext: 1150 * time.Nanosecond,
		TokensPerMS: 157, PairsPerMillion: 109 * time.Microsecond, FirstTokenDelay: 26 * time.Millisecond, Chunk: 2048,
		MemoryTokens: 978044, Block: 16, TokenBytes: 18432, LinkMbps: 550000, TransferSetup: 5 * time.Millisecond}
	Royalty = EngineSpec{Slots: 128, StepBase: 3410 * time.Microsecond, StepPerSlot: 46200 * time.Nanosecond, StepPerContext: 1150 * time.Nanosecond,
		TokensPerMS: 112, PairsPerMillion: 109 * time.Microsecond, FirstTokenDelay: 26 * time.Millisecond, Chunk: 2048,
		MemoryTokens: 807835, Block: 16, TokenBytes: 18432, LinkMbps: 370000, TransferSetup: 5 * time.Millisecond}
)

const (
	// decodeSlowdown and decodeChunkShare are how a decode engine reads prompts: at half the rate, in pieces of a quarter.
	decodeSlowdown   = 2
	decodeChunkShare = 4
	// crossDomainFactor is how much longer a transfer takes between failure domains.
	crossDomainFactor = 2
)

// Part is a part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Request is what an engine does for one caller. OnFirstToken and OnDone are called when its first token is made and at its end.
type Request struct {
	Parts []Part
	// Output is the number of tokens to make; a request with none only has its prompt read.
	Output       int
	OnFirstToken func()
	OnDone       func()

	tokens, unread, made int
	memory               int
	cancelled            bool
}

// Engine is one engine.
type Engine struct {
	EngineSpec
	Domain string
	// Prefill is set for engines that only read prompts.
	Prefill bool

	mu      sync.Mutex
	wake    chan struct{}
	waiting []*Request // for a slot and memory, in order
	batch   []*Request
	inUse   int // tokens of memory that the batch takes
	kept    keptParts
	// linkFree is when the link has done all transfers that were started.
	linkFree time.Time
	// sharedRead is the number of tokens of shared parts that were read.
	sharedRead int
	stopped    bool
	ended      chan struct{}
}

// New starts an engine. Stop ends it.
func New(k EngineSpec, domain string, prefill bool) *Engine {
	e := &Engine{EngineSpec: k, Domain: domain, Prefill: prefill, wake: make(chan struct{}, 1), ended: make(chan struct{})}
	e.kept = keptParts{order: list.New(), entries: make(map[string]*list.Element)}
	go e.run()
	return e
}

// Stop ends the engine's work and waits for the step that it is in.
func (e *Engine) Stop() {
	e.mu.Lock()
	e.stopped = true
	e.signal()
	e.mu.Unlock()
	<-e.ended
}

// SharedTokensRead returns the number of tokens of shared parts that the engine has read.
func (e *Engine) SharedTokensRead() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sharedRead
}

// SubmitRequest hands a request to the engine. Parts that it keeps are not read again.
func (e *Engine) SubmitRequest(r *Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range r.Parts {
		r.tokens += p.Tokens
	}
	e.waiting = append(e.waiting, r)
	e.signal()
}

// CancelRequest ends a request early. OnDone is not called.
func (e *Engine) CancelRequest(r *Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.cancelled = true
	e.signal()
}

// FetchParts copies what another engine keeps of a prompt's parts, beyond what this one keeps, and returns once it is here. Transfers
// of each engine run one after another.
func (e *Engine) FetchParts(from *Engine, parts []Part) {
	extra := from.keeps(parts) - e.keeps(parts)
	if extra <= 0 {
		return
	}
	ms := float64(extra) * e.TokenBytes * 8 / (e.LinkMbps * 1e3)
	if from.Domain != e.Domain {
		ms *= crossDomainFactor
	}
	start := time.Now()
	for _, end := range []*Engine{from, e} {
		end.mu.Lock()
		if end.linkFree.After(start) {
			start = end.linkFree
		}
		end.mu.Unlock()
	}
	until := start.Add(e.TransferSetup + time.Duration(ms*float64(time.Millisecond)))
	for _, end := range []*Engine{from, e} {
		end.mu.Lock()
		end.linkFree = until
		end.mu.Unlock()
	}
	time.Sleep(time.Until(until))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kept.add(prefix(parts, extra+e.kept.count(parts)), e.MemoryTokens-e.inUse)
}

func (e *Engine) keeps(parts []Part) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.kept.count(parts)
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) run() {
	defer close(e.ended)
	for {
		step, ended := e.step()
		for _, call := range ended {
			call()
		}
		e.mu.Lock()
		stopped := e.stopped
		e.mu.Unlock()
		switch {
		case stopped:
			return
		case step > 0:
			time.Sleep(step)
		case len(ended) == 0:
			<-e.wake
		}
	}
}

// step plans one step of the batch. It returns how long it takes, and the calls that are due after the step before.
func (e *Engine) step() (time.Duration, []func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ended := e.endRequests()
	e.admit()
	var d time.Duration
	chunk, rate := e.Chunk, e.TokensPerMS
	if !e.Prefill {
		chunk, rate = chunk/decodeChunkShare, rate/decodeSlowdown
	}
	running, context := 0, 0
	for _, r := range e.batch {
		if r.unread > 0 {
			if n := min(r.unread, chunk); n > 0 {
				d += e.readTime(r, n, rate)
				r.unread -= n
				chunk -= n
			}
			continue
		}
		if r.Output > 0 {
			running++
			context += r.tokens + r.made
			r.made++
			if r.made == 1 && r.OnFirstToken != nil {
				first := r.OnFirstToken
				time.AfterFunc(e.FirstTokenDelay, first)
			}
		}
	}
	if running > 0 {
		d += e.StepBase + time.Duration(running)*e.StepPerSlot + time.Duration(context/1000)*e.StepPerContext
	}
	return d, ended
}

func (e *Engine) readTime(r *Request, n int, rate float64) time.Duration {
	before := float64(r.tokens - r.unread)
	pairs := float64(n) * (before + float64(n)/2) / 1e6
	return time.Duration(float64(n)/rate*float64(time.Millisecond)) + time.Duration(pairs*float64(e.PairsPerMillion))
}

// endRequests takes requests that are done out of the batch and keeps their parts.
func (e *Engine) endRequests() []func() {
	var ended []func()
	left := e.batch[:0]
	for _, r := range e.batch {
		switch {
		case r.cancelled:
			e.inUse -= r.memory
		case r.unread == 0 && r.made >= r.Output:
			e.inUse -= r.memory
			e.kept.add(r.Parts, e.MemoryTokens-e.inUse)
			if r.OnDone != nil {
				ended = append(ended, r.OnDone)
			}
		default:
			left = append(left, r)
		}
	}
	e.batch = left
	return ended
}

// admit moves waiting requests into the batch while there are slots and memory.
func (e *Engine) admit() {
	for len(e.waiting) > 0 {
		r := e.waiting[0]
		if r.cancelled {
			e.waiting = e.waiting[1:]
			continue
		}
		memory := (r.tokens + r.Output + e.Block - 1) / e.Block * e.Block
		if len(e.batch) >= e.Slots || e.inUse+memory > e.MemoryTokens && len(e.batch) > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		kept := e.kept.count(r.Parts)
		r.unread, r.memory = r.tokens-kept, memory
		for i, p := range r.Parts[:max(len(r.Parts)-1, 0)] {
			if e.kept.count(r.Parts[:i+1]) < total(r.Parts[:i+1]) {
				e.sharedRead += p.Tokens
			}
		}
		e.inUse += memory
		e.kept.shrink(e.MemoryTokens - e.inUse)
		e.batch = append(e.batch, r)
	}
}

func total(parts []Part) int {
	n := 0
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}

// prefix returns the parts at the start of a prompt that together have at most so many tokens.
func prefix(parts []Part, tokens int) []Part {
	for i, p := range parts {
		if tokens -= p.Tokens; tokens < 0 {
			return parts[:i]
		}
	}
	return parts
}
