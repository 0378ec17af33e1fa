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
	errDied   = errors.New("endpoint died")
	errFailed = errors.New("endpoint failed the request")
)

// kvPieces is the KV memory of an engine.
const kvPieces = 2000

// engineKind is the hardware and model of an engine, in role mixed.
type engineKind struct {
	prefillRate float64 // tokens a second
	slots       int
	streamRate  float64       // output tokens a second of one request
	service     time.Duration // a plain service has only this time a call
}

// engine is a fake engine: a prefill server that honours priorities, decode slots, KV pieces, and a prefix cache in the
// memory that running requests leave free.
type engine struct {
	apitypes.Endpoint
	mu       sync.Mutex
	kind     engineKind
	role     apitypes.Role
	changing bool
	running  int
	kvUsed   int
	queued   float64 // uncached prompt tokens not yet prefilled
	waiting  []*job  // for a slot and memory
	prefill  []*job  // for the prefill server
	busy     bool
	cache    prefixCache
	died     chan struct{} // closed when the engine crashes
	dead     bool
	instance int
	failing  float64 // share of requests that fail
	kills    bool    // the engine dies of crashing requests
	onCrash  func()
	downtime time.Duration // after which a crashed engine starts by itself; 0 means never
	rng      *rand.Rand
}

type job struct {
	work     *request
	turn     chan struct{}
	uncached float64
	pieces   int
}

func newEngine(e apitypes.Endpoint, kind engineKind, seed uint64) *engine {
	return &engine{Endpoint: e, kind: kind, role: apitypes.RoleMixed, died: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 7))}
}

// rates returns prefill rate and slots in the engine's role: a role moves three fifths of one side to the other.
func (e *engine) rates() (prefill float64, slots int) {
	switch e.role {
	case apitypes.RolePrefill:
		return e.kind.prefillRate * 1.6, max(1, e.kind.slots*4/10)
	case apitypes.RoleDecode:
		return e.kind.prefillRate * 0.4, e.kind.slots * 16 / 10
	}
	return e.kind.prefillRate, e.kind.slots
}

// serve runs a request. It calls first at the first token.
func (e *engine) serve(ctx context.Context, r *request, first func()) error {
	e.mu.Lock()
	died := e.died
	if e.dead {
		// No connection can be made, so the request does not see the engine die.
		e.mu.Unlock()
		return errFailed
	}
	if e.failing > 0 && e.rng.Float64() < e.failing {
		e.mu.Unlock()
		_ = pause(ctx, died, 5*time.Millisecond)
		return errFailed
	}
	j := &job{work: r, turn: make(chan struct{}), pieces: (r.prompt + r.output + balancer.BlockTokens - 1) / balancer.BlockTokens}
	e.queued += float64(r.prompt)
	e.waiting = insert(e.waiting, j)
	e.start()
	e.mu.Unlock()
	if err := e.waitTurn(ctx, died, j); err != nil {
		return err
	}
	if r.crashes && e.kills {
		e.crash()
		return errDied
	}
	rate, _ := e.rates()
	work := e.kind.service
	if work == 0 {
		work = seconds(j.uncached / rate)
	}
	err := pause(ctx, died, work)
	e.prefilled(died, j)
	if err == nil {
		first()
		err = pause(ctx, died, seconds(float64(r.output)/max(1, e.kind.streamRate)))
	}
	e.leave(died, j)
	return err
}

// insert keeps the order of priority, then of arrival.
func insert(queue []*job, j *job) []*job {
	i := len(queue)
	for i > 0 && admission.EnginePriority(queue[i-1].work.priority) > admission.EnginePriority(j.work.priority) {
		i--
	}
	return slices.Insert(queue, i, j)
}

// start gives slots and memory to waiting requests in order.
func (e *engine) start() {
	_, slots := e.rates()
	for len(e.waiting) > 0 && e.running < slots && !e.changing {
		j := e.waiting[0]
		if e.kind.service == 0 && e.kvUsed+j.pieces > kvPieces {
			break
		}
		e.waiting = e.waiting[1:]
		e.running++
		e.kvUsed += j.pieces
		hit := min(e.cache.hit(j.work.prefix)*balancer.BlockTokens, j.work.prompt)
		j.uncached = float64(j.work.prompt - hit)
		e.queued -= float64(hit)
		e.prefill = insert(e.prefill, j)
	}
	e.next()
}

// next gives the prefill server to the next request. A plain service runs its calls side by side.
func (e *engine) next() {
	for len(e.prefill) > 0 && (!e.busy || e.kind.service > 0) {
		e.busy = true
		j := e.prefill[0]
		e.prefill = e.prefill[1:]
		close(j.turn)
	}
}

func (e *engine) waitTurn(ctx context.Context, died chan struct{}, j *job) error {
	select {
	case <-j.turn:
		return nil
	case <-died:
		return errDied
	case <-ctx.Done():
		e.abandon(died, j)
		return ctx.Err()
	}
}

func (e *engine) prefilled(died chan struct{}, j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if died != e.died {
		return
	}
	e.busy = false
	e.queued -= j.uncached
	if e.kind.service == 0 {
		e.cache.store(j.work.prefix, kvPieces-e.kvUsed+j.pieces)
	}
	e.next()
}

func (e *engine) leave(died chan struct{}, j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if died != e.died {
		return
	}
	e.running--
	e.kvUsed -= j.pieces
	e.start()
}

// crash ends all requests; restart makes the engine empty and live again.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.dead {
		e.dead = true
		close(e.died)
		e.onCrash()
		if e.downtime > 0 {
			time.AfterFunc(e.downtime, e.restart)
		}
	}
}

func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead, e.died, e.busy = false, make(chan struct{}), false
	e.running, e.kvUsed, e.queued, e.waiting, e.prefill = 0, 0, 0, nil, nil
	e.cache = prefixCache{}
	e.instance++
}

// setRole takes the engine out of service for its running requests and the given time, then gives it the role.
func (e *engine) setRole(ctx context.Context, role apitypes.Role, takes time.Duration) {
	e.mu.Lock()
	e.changing = true
	e.mu.Unlock()
	if pause(ctx, nil, takes) != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.role, e.changing = role, false
	e.start()
}

// report is the load report at this moment.
func (e *engine) report() apitypes.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	rate, slots := e.rates()
	l := apitypes.Load{
		Role: e.role, Running: e.running, Waiting: len(e.waiting), Slots: slots, Changing: e.changing,
		Instance: e.Name + "#" + string(rune('0'+e.instance)),
	}
	if e.kind.service == 0 {
		l.PrefillRate, l.DecodeRate = rate, float64(slots)*e.kind.streamRate
		l.QueuedPrefillTokens = int(max(0, e.queued))
		l.KVTotal, l.KVFree = kvPieces, kvPieces-e.kvUsed
	}
	return l
}

// prefixCache keeps the blocks of recent prompts, least recently used first, and remembers changes for events.
type prefixCache struct {
	order           list.List // of uint64, most recent first
	blocks          map[uint64]*list.Element
	stored, removed []uint64
}

func (c *prefixCache) hit(prefix []uint64) int {
	for i, h := range prefix {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(prefix)
}

// store keeps the blocks of a prompt; the end of the prompt is evicted before its start.
func (c *prefixCache) store(prefix []uint64, room int) {
	if c.blocks == nil {
		c.blocks = make(map[uint64]*list.Element)
	}
	for _, h := range slices.Backward(prefix) {
		if el := c.blocks[h]; el != nil {
			c.order.MoveToFront(el)
			continue
		}
		c.blocks[h] = c.order.PushFront(h)
		c.stored = append(c.stored, h)
	}
	for c.order.Len() > max(0, room) {
		h := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, h)
		c.removed = append(c.removed, h)
	}
}

func (c *prefixCache) takeEvents() (stored, removed []uint64) {
	stored, removed = c.stored, c.removed
	c.stored, c.removed = nil, nil
	return stored, removed
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// pause sleeps unless the context ends or the engine dies.
func pause(ctx context.Context, died <-chan struct{}, d time.Duration) error {
	t := time.NewTimer(ctxtime.PositiveDuration(d))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-died:
		return errDied
	case <-ctx.Done():
		return ctx.Err()
	}
}
