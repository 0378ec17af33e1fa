package measure

import (
	"container/list"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/admission"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/balancer"
	"crocusglade.example/crocusglade/internal/ctxtime"
)

var (
	errEngineCrashed = errors.New("endpoint crashed")
	errFailed        = errors.New("endpoint failed the request")
)

// kvBlocks is the KV cache size of an engine, in blocks of balancer.TokensPerBlock tokens.
const kvBlocks = 2000

// engineKind describes the performance of an engine in the role mixed.
type engineKind struct {
	prefillRate float64 // tokens a second
	slots       int
	streamRate  float64       // output tokens a second of one request
	serviceTime time.Duration // time of a call to a plain service; 0 for an engine
}

// engine is a simulated engine. It prefills one request at a time in the order of priority, and has decode slots, KV blocks, and a
// prefix cache in the KV blocks that running requests leave free. With a serviceTime it is an instance of a plain service
// instead.
type engine struct {
	apitypes.Endpoint
	mu           sync.Mutex
	kind         engineKind
	role         apitypes.Role
	changing     bool // the role is being changed, and no request starts
	running      int
	kvUsed       int     // blocks
	queuedTokens float64 // uncached prompt tokens not yet prefilled
	waiting      []*job  // for a slot and memory
	prefillQueue []*job  // have a slot and wait for prefill
	prefillBusy  bool
	cache        prefixCache
	crashed      chan struct{} // closed when the engine crashes
	down         bool
	instance     int     // restarts so far
	failureRate  float64 // fraction of requests that fail
	crashable    bool    // requests with crashesEngine crash the engine
	onCrash      func()
	restartDelay time.Duration // from a crash to the automatic restart; 0 means none
	rng          *rand.Rand
}

// job is a request at an engine.
type job struct {
	request      *request
	prefillStart chan struct{} // closed when the prefill starts
	uncached     float64       // prompt tokens that the prefix cache lacks
	blocks       int           // KV blocks for prompt and output
}

func newEngine(e apitypes.Endpoint, kind engineKind, seed uint64) *engine {
	return &engine{Endpoint: e, kind: kind, role: apitypes.RoleMixed, crashed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 7))}
}

// rates returns the prefill rate, in tokens a second, and the slots of the engine in its role. The roles prefill and decode add
// 60% to one of them and take 60% from the other.
func (e *engine) rates() (prefill float64, slots int) {
	switch e.role {
	case apitypes.RolePrefill:
		return e.kind.prefillRate * 1.6, max(1, e.kind.slots*4/10)
	case apitypes.RoleDecode:
		return e.kind.prefillRate * 0.4, e.kind.slots * 16 / 10
	}
	return e.kind.prefillRate, e.kind.slots
}

// serve runs a request and calls onFirstToken at the first token. It returns errEngineCrashed if the engine crashes meanwhile.
func (e *engine) serve(ctx context.Context, r *request, onFirstToken func()) error {
	e.mu.Lock()
	crashed := e.crashed
	if e.down {
		// The connection is refused, so the request is not among those that were on the engine when it crashed.
		e.mu.Unlock()
		return errFailed
	}
	if e.failureRate > 0 && e.rng.Float64() < e.failureRate {
		e.mu.Unlock()
		_ = pause(ctx, crashed, 5*time.Millisecond)
		return errFailed
	}
	j := &job{request: r, prefillStart: make(chan struct{}), blocks: (r.promptTokens + r.outputTokens + balancer.TokensPerBlock - 1) / balancer.TokensPerBlock}
	e.queuedTokens += float64(r.promptTokens)
	e.waiting = insertByPriority(e.waiting, j)
	e.startWaiting()
	e.mu.Unlock()
	if err := e.awaitPrefill(ctx, crashed, j); err != nil {
		return err
	}
	if r.crashesEngine && e.crashable {
		e.crash()
		return errEngineCrashed
	}
	rate, _ := e.rates()
	prefillTime := e.kind.serviceTime
	if prefillTime == 0 {
		prefillTime = seconds(j.uncached / rate)
	}
	err := pause(ctx, crashed, prefillTime)
	e.finishPrefill(crashed, j)
	if err == nil {
		onFirstToken()
		err = pause(ctx, crashed, seconds(float64(r.outputTokens)/max(1, e.kind.streamRate)))
	}
	e.releaseSlot(crashed, j)
	return err
}

// insertByPriority inserts a job in the order of engine priority, then of arrival.
func insertByPriority(queue []*job, j *job) []*job {
	i := len(queue)
	for i > 0 && admission.EnginePriority(queue[i-1].request.priority) > admission.EnginePriority(j.request.priority) {
		i--
	}
	return slices.Insert(queue, i, j)
}

// startWaiting gives slots and KV blocks to waiting jobs in order, until the first one that does not fit.
func (e *engine) startWaiting() {
	_, slots := e.rates()
	for len(e.waiting) > 0 && e.running < slots && !e.changing {
		j := e.waiting[0]
		if e.kind.serviceTime == 0 && e.kvUsed+j.blocks > kvBlocks {
			break
		}
		e.waiting = e.waiting[1:]
		e.running++
		e.kvUsed += j.blocks
		hit := min(e.cache.matchingBlocks(j.request.prefix)*balancer.TokensPerBlock, j.request.promptTokens)
		j.uncached = float64(j.request.promptTokens - hit)
		e.queuedTokens -= float64(hit)
		e.prefillQueue = insertByPriority(e.prefillQueue, j)
	}
	e.startPrefill()
}

// startPrefill starts the next prefill if none is running. A plain service runs its calls concurrently.
func (e *engine) startPrefill() {
	for len(e.prefillQueue) > 0 && (!e.prefillBusy || e.kind.serviceTime > 0) {
		e.prefillBusy = true
		j := e.prefillQueue[0]
		e.prefillQueue = e.prefillQueue[1:]
		close(j.prefillStart)
	}
}

// awaitPrefill waits until the prefill of a job starts. A job whose context ends before leaves the engine.
func (e *engine) awaitPrefill(ctx context.Context, crashed chan struct{}, j *job) error {
	select {
	case <-j.prefillStart:
		return nil
	case <-crashed:
		return errEngineCrashed
	case <-ctx.Done():
		e.cancelJob(crashed, j)
		return ctx.Err()
	}
}

// finishPrefill ends the prefill of a job and caches its prefix, unless the engine has crashed since the job came.
func (e *engine) finishPrefill(crashed chan struct{}, j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if crashed != e.crashed {
		return
	}
	e.prefillBusy = false
	e.queuedTokens -= j.uncached
	if e.kind.serviceTime == 0 {
		e.cache.store(j.request.prefix, kvBlocks-e.kvUsed+j.blocks)
	}
	e.startPrefill()
}

// releaseSlot frees the slot and the KV blocks of a job, unless the engine has crashed since the job came.
func (e *engine) releaseSlot(crashed chan struct{}, j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if crashed != e.crashed {
		return
	}
	e.running--
	e.kvUsed -= j.blocks
	e.startWaiting()
}

// crash ends all requests on the engine. It restarts after restartDelay, if that is set.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.down {
		e.down = true
		close(e.crashed)
		e.onCrash()
		if e.restartDelay > 0 {
			time.AfterFunc(e.restartDelay, e.restart)
		}
	}
}

// restart brings a crashed engine back as a new instance without requests or cached prefixes.
func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down, e.crashed, e.prefillBusy = false, make(chan struct{}), false
	e.running, e.kvUsed, e.queuedTokens, e.waiting, e.prefillQueue = 0, 0, 0, nil, nil
	e.cache = prefixCache{}
	e.instance++
}

// setRole starts no request for the given time and then changes the role. Running requests go on meanwhile.
func (e *engine) setRole(ctx context.Context, role apitypes.Role, duration time.Duration) {
	e.mu.Lock()
	e.changing = true
	e.mu.Unlock()
	if pause(ctx, nil, duration) != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.role, e.changing = role, false
	e.startWaiting()
}

// loadReport returns the current load report.
func (e *engine) loadReport() apitypes.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	rate, slots := e.rates()
	l := apitypes.Load{
		Role: e.role, SoftwareVersion: "1", Running: e.running, Waiting: len(e.waiting), Slots: slots, Changing: e.changing,
		Instance: e.Name + "#" + string(rune('0'+e.instance)),
	}
	if e.kind.serviceTime == 0 {
		l.PrefillRate, l.DecodeRate = rate, float64(slots)*e.kind.streamRate
		l.QueuedPrefillTokens = int(max(0, e.queuedTokens))
		l.KVTotal, l.KVFree = kvBlocks, kvBlocks-e.kvUsed
	}
	return l
}

// prefixCache is an LRU cache of prompt blocks. It records stored and removed blocks for the cache events.
type prefixCache struct {
	lru             list.List // of block hashes (uint64), most recently used first
	blocks          map[uint64]*list.Element
	stored, removed []uint64
}

// matchingBlocks returns the number of leading blocks of a prefix that are cached.
func (c *prefixCache) matchingBlocks(prefix []uint64) int {
	for i, h := range prefix {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(prefix)
}

// store caches the blocks of a prompt and evicts blocks beyond the given capacity. It stores the blocks from last to first, so
// that the end of a prompt is evicted before its start.
func (c *prefixCache) store(prefix []uint64, capacity int) {
	if c.blocks == nil {
		c.blocks = make(map[uint64]*list.Element)
	}
	for _, h := range slices.Backward(prefix) {
		if element := c.blocks[h]; element != nil {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[h] = c.lru.PushFront(h)
		c.stored = append(c.stored, h)
	}
	for c.lru.Len() > max(0, capacity) {
		h := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.blocks, h)
		c.removed = append(c.removed, h)
	}
}

// flushEvents returns the blocks stored and removed since the last call.
func (c *prefixCache) flushEvents() (stored, removed []uint64) {
	stored, removed = c.stored, c.removed
	c.stored, c.removed = nil, nil
	return stored, removed
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// pause sleeps for d. It returns early with an error if the context ends or crashed is closed.
func pause(ctx context.Context, crashed <-chan struct{}, d time.Duration) error {
	t := time.NewTimer(ctxtime.PositiveDuration(d))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-crashed:
		return errEngineCrashed
	case <-ctx.Done():
		return ctx.Err()
	}
}
