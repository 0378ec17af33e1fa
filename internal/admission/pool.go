package admission

import (
	"container/heap"
	"container/list"
	"math"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

const (
	// maxWaiting bounds the requests that wait for one pool. When it is reached, the team with the most waiting requests
	// loses its newest one, so that a flood pushes out itself.
	maxWaiting = 8192
	// maxFlowWaiting bounds the waiting requests of one team and class.
	maxFlowWaiting = 2048
	// maxWait bounds the wait of a request without a deadline.
	maxWait = 30 * time.Second
	// maxReported bounds the wait that a refusal states.
	maxReported = time.Hour
	// classFloor is the share of dispatches that each lower class gets while it has work. With 0.1, the p95 of
	// batch teams that send a tenth of a pool's requests was 1.34 times the median team's without any flood (lk-west, 20 seeds).
	classFloor = 0.2
	// surplusFloor is the same for each class of requests above their team's share. It only prevents starvation.
	surplusFloor = 0.05
	// unlimited is the number of concurrent requests of a pool without a set capacity.
	unlimited = math.MaxInt
)

// waiter is one request that asks for admission.
type waiter struct {
	pool    *pool
	team    *team
	tokens  int
	class   int   // index in pool.classes
	flow    *flow // nil when the request does not wait
	element *list.Element
	ready   chan struct{} // closed on admission and on removal by the queue
	dropped bool          // removed to make room; set before ready is closed
}

// flow is the queue of one team in one class of one pool.
type flow struct {
	team    *team
	waiting list.List // of *waiter
	tokens  int       // sum over waiting
	finish  float64   // virtual time up to which the team was served
	start   float64   // virtual start of the first waiting request
	index   int       // in the class's heap
}

// class is one priority class of a pool: start-time fair queuing over its flows.
type class struct {
	flows   map[string]*flow
	active  flowHeap // flows with waiting requests, by start
	weights float64  // sum over active
	virtual float64  // start of the last dispatched request
	tokens  int      // sum over waiting
	credit  float64  // dispatches that the floor owes to the class
}

// classCount is the number of classes of a pool: first those of requests within their team's share, then those above it.
const classCount = 2 * apitypes.PriorityClasses

// pool is the queue of one pool.
type pool struct {
	name       string
	concurrent int
	rate       float64 // tokens a second, as configured
	measured   serviceRate
	inFlight   int
	waiting    int
	// within is the number of waiting requests within their team's share.
	within  int
	classes [classCount]class
	shares  shares
}

func newPool(name string, teams map[string]*team) *pool {
	p := &pool{name: name, shares: newShares(teams)}
	for i := range p.classes {
		p.classes[i].flows = make(map[string]*flow)
	}
	return p
}

// classOf returns the class of a priority; priorities out of range get the nearest class.
func classOf(p apitypes.Priority) int { return max(0, min(int(p), apitypes.PriorityClasses-1)) }

func (p *pool) flow(c *class, t *team) *flow {
	f := c.flows[t.name]
	if f == nil {
		f = &flow{team: t}
		c.flows[t.name] = f
	}
	return f
}

// forget drops the flows of a team that has no waiting request.
func (p *pool) forget(team string) {
	for i := range p.classes {
		delete(p.classes[i].flows, team)
	}
	p.shares.forget(team)
}

// admitNow admits a request that finds a free place and no queue.
func (p *pool) admitNow(w *waiter) {
	c := &p.classes[w.class]
	f := p.flow(c, w.team)
	start := max(c.virtual, f.finish)
	// With an empty queue, the flow that was served most sets the virtual time, else a team that used an idle pool
	// would owe that service to teams that come later.
	c.virtual = start
	f.finish = start + float64(w.tokens)/w.team.weight
	p.inFlight++
	w.team.running++
	// Requests above the share wait behind those that find headroom, so their floor grows with these too.
	for i := apitypes.PriorityClasses; i < classCount; i++ {
		if c := &p.classes[i]; len(c.active) > 0 {
			c.credit = min(1, c.credit+surplusFloor)
		}
	}
}

// enqueue adds a waiter to its flow. It returns false when the queue is full and the request is of the team with the longest
// queue.
func (p *pool) enqueue(w *waiter) bool {
	c := &p.classes[w.class]
	f := p.flow(c, w.team)
	if f.waiting.Len() >= maxFlowWaiting {
		return false
	}
	if p.waiting >= maxWaiting {
		longest := p.longest()
		if longest.waiting.Len() <= f.waiting.Len() {
			return false
		}
		p.drop(longest.waiting.Back().Value.(*waiter))
	}
	w.flow, w.ready = f, make(chan struct{})
	w.element = f.waiting.PushBack(w)
	f.tokens += w.tokens
	c.tokens += w.tokens
	p.waiting++
	if w.class < apitypes.PriorityClasses {
		p.within++
	}
	w.team.waiting++
	if f.waiting.Len() == 1 {
		f.start = max(c.virtual, f.finish)
		heap.Push(&c.active, f)
		c.weights += f.team.weight
	}
	return true
}

// longest returns the flow with the most waiting requests.
func (p *pool) longest() *flow {
	var longest *flow
	for i := range p.classes {
		for _, f := range p.classes[i].active {
			if longest == nil || f.waiting.Len() > longest.waiting.Len() {
				longest = f
			}
		}
	}
	return longest
}

func (p *pool) drop(w *waiter) {
	p.remove(w)
	w.dropped = true
	w.team.refund(w.tokens)
	close(w.ready)
}

// remove takes a waiter out of its flow.
func (p *pool) remove(w *waiter) {
	c, f := &p.classes[w.class], w.flow
	f.waiting.Remove(w.element)
	w.flow = nil
	f.tokens -= w.tokens
	c.tokens -= w.tokens
	p.waiting--
	if w.class < apitypes.PriorityClasses {
		p.within--
	}
	w.team.waiting--
	if f.waiting.Len() == 0 {
		heap.Remove(&c.active, f.index)
		c.weights -= f.team.weight
		if len(c.active) == 0 {
			c.weights, c.credit = 0, 0
		}
	}
	if w.team.waiting == 0 {
		w.team.weight = weightOf(w.team.config)
	}
}

// dispatch admits waiting requests while there are free places.
func (p *pool) dispatch(now time.Time) {
	for p.inFlight < p.concurrent && p.waiting > 0 {
		c := p.nextClass()
		if c == nil {
			return
		}
		f := c.active[0]
		w := f.waiting.Front().Value.(*waiter)
		c.virtual = max(c.virtual, f.start)
		f.finish = f.start + float64(w.tokens)/f.team.weight
		f.start = f.finish
		p.remove(w)
		if f.waiting.Len() > 0 {
			heap.Fix(&c.active, f.index)
		}
		p.inFlight++
		w.team.running++
		p.shares.served.add(now, w.tokens)
		p.measured.dispatched(now, w.tokens, p.waiting > 0)
		close(w.ready)
	}
}

// floor returns the share of dispatches that a class gets at least while it has work.
func floor(class int) float64 {
	if class < apitypes.PriorityClasses {
		return classFloor
	}
	return surplusFloor
}

// nextClass picks the class to dispatch from: a lower class whose floor is due, else the most urgent class with work that may
// run. It returns nil when only requests above their team's share wait and the headroom is in use.
func (p *pool) nextClass() *class {
	var first, due *class
	for i := range p.classes {
		c := &p.classes[i]
		if len(c.active) == 0 {
			continue
		}
		if first == nil && (i < apitypes.PriorityClasses || p.inFlight < p.shares.limit) {
			first = c
			continue
		}
		if first != nil {
			c.credit = min(1, c.credit+floor(i))
		}
		if due == nil && c.credit >= 1-1e-9 {
			due = c
		}
	}
	if due == nil {
		return first
	}
	due.credit--
	return due
}

// release frees the place of a request and charges its flow for work that was not expected, or gives back work that was not
// done.
func (p *pool) release(t *Ticket, difference int) {
	p.inFlight--
	c := &p.classes[t.class]
	f := c.flows[t.team.name]
	if f == nil || difference == 0 {
		return
	}
	virtual := float64(difference) / t.team.weight
	f.finish = max(0, f.finish+virtual)
	if f.waiting.Len() > 0 {
		f.start = max(0, f.start+virtual)
		heap.Fix(&c.active, f.index)
	}
}

// flowHeap orders flows by their virtual start, then by team, so that equal flows are served in a fixed order.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].team.name < h[j].team.name
}
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return f
}
