package admission

import (
	"container/heap"
	"container/list"
	"math"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

const (
	// maxWaiting bounds the requests that wait for one pool. When it is reached, the flow with the most waiting requests loses its
	// newest one, so that a flood displaces its own requests.
	maxWaiting = 8192
	// maxFlowWaiting bounds the waiting requests of one team and class.
	maxFlowWaiting = 2048
	// maxWait bounds the wait of a request without a deadline.
	maxWait = 30 * time.Second
	// maxReportedWait bounds the wait that a refusal states.
	maxReportedWait = time.Hour
	// minClassShare is the minimum share of dispatches that each lower class gets while it has waiting requests. With 0.1, the p95 of
	// batch teams that send a tenth of a pool's requests was 1.34 times the median team's without any flood (lk-west, 20 seeds).
	minClassShare = 0.2
	// minSurplusClassShare is the minimum share for each class of requests above their team's fair share. It only prevents starvation.
	minSurplusClassShare = 0.05
	// unlimited is the number of concurrent requests of a pool without a set capacity.
	unlimited = math.MaxInt
)

// waiter is one request for admission.
type waiter struct {
	pool    *pool
	team    *team
	tokens  int
	class   int   // index in pool.classes
	flow    *flow // nil when the request does not wait
	element *list.Element
	ready   chan struct{} // closed on admission and when the queue drops the request
	dropped bool          // removed to make room; set before ready is closed
}

// flow is the queue of one team in one class of one pool.
type flow struct {
	team          *team
	waiting       list.List // of *waiter
	waitingTokens int       // sum over waiting
	finish        float64   // virtual finish time of the last dispatched request
	start         float64   // virtual start time of the first waiting request
	heapIndex     int       // in class.active
}

// class is one priority class of a pool: start-time fair queuing over its flows.
type class struct {
	flows         map[string]*flow
	active        flowHeap // flows with waiting requests, by start
	weightSum     float64  // sum over active
	virtualTime   float64  // start of the last dispatched request
	waitingTokens int      // sum over waiting requests
	credit        float64  // dispatches that the class is owed by its minimum share
}

// classCount is the number of classes of a pool: first those of requests within their team's fair share, then those above it.
const classCount = 2 * apitypes.PriorityClasses

// pool is the queue of one pool.
type pool struct {
	name           string
	maxInFlight    int
	configuredRate float64 // tokens per second
	measuredRate   serviceRate
	inFlight       int
	waiting        int
	// waitingWithinShare is the number of waiting requests within their team's fair share.
	waitingWithinShare int
	classes            [classCount]class
	shares             fairShares
}

func newPool(name string, teams map[string]*team) *pool {
	p := &pool{name: name, shares: newFairShares(teams)}
	for i := range p.classes {
		p.classes[i].flows = make(map[string]*flow)
	}
	return p
}

// classOf returns the class of a priority. Priorities out of range get the nearest class.
func classOf(p apitypes.Priority) int { return max(0, min(int(p), apitypes.PriorityClasses-1)) }

// flow returns a team's flow in a class and creates it on first use.
func (p *pool) flow(c *class, t *team) *flow {
	f := c.flows[t.name]
	if f == nil {
		f = &flow{team: t}
		c.flows[t.name] = f
	}
	return f
}

// removeTeam deletes the flows and the demand of a team that has no waiting request.
func (p *pool) removeTeam(team string) {
	for i := range p.classes {
		delete(p.classes[i].flows, team)
	}
	p.shares.removeTeam(team)
}

// admitNow admits a request that finds free capacity and no queue.
func (p *pool) admitNow(w *waiter) {
	c := &p.classes[w.class]
	f := p.flow(c, w.team)
	start := max(c.virtualTime, f.finish)
	// With an empty queue, the flow that was served most sets the virtual time. Otherwise a team that used an idle pool would have to
	// wait for teams that come later to be served as much.
	c.virtualTime = start
	f.finish = start + float64(w.tokens)/w.team.weight
	p.inFlight++
	w.team.running++
	// Waiting requests above the fair share also lose dispatches to requests that are admitted without waiting, so these count towards
	// their minimum share too.
	for i := apitypes.PriorityClasses; i < classCount; i++ {
		if c := &p.classes[i]; len(c.active) > 0 {
			c.credit = min(1, c.credit+minSurplusClassShare)
		}
	}
}

// enqueue adds a waiter to its flow. It returns false when the flow is full, or when the pool's queue is full and no flow is longer than
// the waiter's.
func (p *pool) enqueue(w *waiter) bool {
	c := &p.classes[w.class]
	f := p.flow(c, w.team)
	if f.waiting.Len() >= maxFlowWaiting {
		return false
	}
	if p.waiting >= maxWaiting {
		longest := p.longestFlow()
		if longest.waiting.Len() <= f.waiting.Len() {
			return false
		}
		p.drop(longest.waiting.Back().Value.(*waiter))
	}
	w.flow, w.ready = f, make(chan struct{})
	w.element = f.waiting.PushBack(w)
	f.waitingTokens += w.tokens
	c.waitingTokens += w.tokens
	p.waiting++
	if w.class < apitypes.PriorityClasses {
		p.waitingWithinShare++
	}
	w.team.waiting++
	if f.waiting.Len() == 1 {
		f.start = max(c.virtualTime, f.finish)
		heap.Push(&c.active, f)
		c.weightSum += f.team.weight
	}
	return true
}

// longestFlow returns the flow with the most waiting requests.
func (p *pool) longestFlow() *flow {
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

// drop removes a waiter from the full queue and wakes it.
func (p *pool) drop(w *waiter) {
	p.remove(w)
	w.dropped = true
	w.team.refund(w.tokens)
	close(w.ready)
}

// remove removes a waiter from its flow.
func (p *pool) remove(w *waiter) {
	c, f := &p.classes[w.class], w.flow
	f.waiting.Remove(w.element)
	w.flow = nil
	f.waitingTokens -= w.tokens
	c.waitingTokens -= w.tokens
	p.waiting--
	if w.class < apitypes.PriorityClasses {
		p.waitingWithinShare--
	}
	w.team.waiting--
	if f.waiting.Len() == 0 {
		heap.Remove(&c.active, f.heapIndex)
		c.weightSum -= f.team.weight
		if len(c.active) == 0 {
			c.weightSum, c.credit = 0, 0
		}
	}
	if w.team.waiting == 0 {
		w.team.weight = weightOf(w.team.config)
	}
}

// dispatch admits waiting requests while the pool has free capacity.
func (p *pool) dispatch(now time.Time) {
	for p.inFlight < p.maxInFlight && p.waiting > 0 {
		c := p.nextClass()
		if c == nil {
			return
		}
		f := c.active[0]
		w := f.waiting.Front().Value.(*waiter)
		c.virtualTime = max(c.virtualTime, f.start)
		f.finish = f.start + float64(w.tokens)/f.team.weight
		f.start = f.finish
		p.remove(w)
		if f.waiting.Len() > 0 {
			heap.Fix(&c.active, f.heapIndex)
		}
		p.inFlight++
		w.team.running++
		p.shares.admitted.add(now, w.tokens)
		p.measuredRate.recordDispatch(now, w.tokens, p.waiting > 0)
		close(w.ready)
	}
}

// minShare returns the minimum share of dispatches of a class while it has waiting requests.
func minShare(class int) float64 {
	if class < apitypes.PriorityClasses {
		return minClassShare
	}
	return minSurplusClassShare
}

// nextClass returns the class to dispatch from: a lower class that is owed a dispatch by its minimum share, otherwise the most urgent class
// whose requests may run. It returns nil when only requests above their team's fair share wait and the requests in progress have reached the
// limit for these.
func (p *pool) nextClass() *class {
	var mostUrgent, due *class
	for i := range p.classes {
		c := &p.classes[i]
		if len(c.active) == 0 {
			continue
		}
		if mostUrgent == nil && (i < apitypes.PriorityClasses || p.inFlight < p.shares.surplusLimit) {
			mostUrgent = c
			continue
		}
		if mostUrgent != nil {
			c.credit = min(1, c.credit+minShare(i))
		}
		if due == nil && c.credit >= 1-1e-9 {
			due = c
		}
	}
	if due == nil {
		return mostUrgent
	}
	due.credit--
	return due
}

// release ends a request in progress and charges its flow for the difference between the work done and the expected work, in tokens.
func (p *pool) release(t *Ticket, difference int) {
	p.inFlight--
	c := &p.classes[t.class]
	f := c.flows[t.team.name]
	if f == nil || difference == 0 {
		return
	}
	virtualWork := float64(difference) / t.team.weight
	f.finish = max(0, f.finish+virtualWork)
	if f.waiting.Len() > 0 {
		f.start = max(0, f.start+virtualWork)
		heap.Fix(&c.active, f.heapIndex)
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
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return f
}
