// Package admission decides when a request may run: a weighted fair queue over teams within priority classes,
// with limits that are shared between gateways.
package admission

import (
	"context"
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/ctxtime"
)

// Request describes a request that asks for admission.
type Request struct {
	Team     string
	Pool     string
	Priority apitypes.Priority
	// Tokens is the expected work in tokens: prompt plus expected output.
	Tokens int
	// Deadline is the latest useful time for the first token; zero when there is none.
	Deadline time.Time
	// PredictedFirstTokenTime is the predicted time from admission to the first token; the request must be admitted so much before its
	// deadline.
	PredictedFirstTokenTime time.Duration
}

// latest returns the latest useful time of admission; zero when there is none.
func (r *Request) latest() time.Time {
	if r.Deadline.IsZero() {
		return time.Time{}
	}
	return r.Deadline.Add(-r.PredictedFirstTokenTime)
}

// TeamConfig is what the queue needs to know of a team.
type TeamConfig struct {
	Weight float64
	Limits apitypes.Limits
}

// Queue admits requests to the pools of one gateway. Its methods may be called concurrently.
type Queue struct {
	mu    sync.Mutex
	self  string
	teams map[string]*team
	pools map[string]*pool
	peers map[string]map[string]Demand
	// fleet is the number of gateways in a large fleet, whose shares a Divider gives; 0 while all gateways are neighbours.
	fleet int
}

// New returns a queue with no teams and no pools.
func New() *Queue {
	return &Queue{teams: make(map[string]*team), pools: make(map[string]*pool), peers: make(map[string]map[string]Demand)}
}

// SetSelf sets the name of this gateway's VM. Gateways use the order of names to divide small limits of concurrent requests
// in the same way.
func (q *Queue) SetSelf(vm string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.self = vm
}

// SetTeams replaces the configuration of all teams. Requests of a team without configuration run with weight 1 and no limits.
func (q *Queue) SetTeams(teams map[string]TeamConfig) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, config := range teams {
		q.team(name).configure(config)
	}
	for name, t := range q.teams {
		if _, configured := teams[name]; !configured {
			t.configure(TeamConfig{})
			q.forget(name, t)
		}
	}
}

// team returns the state of a team, which is made on first use.
func (q *Queue) team(name string) *team {
	t := q.teams[name]
	if t == nil {
		t = &team{name: name, weight: 1, share: 1 / float64(len(q.peers)+1), demand: demandMeter{over: demandTime},
			longDemand: demandMeter{over: fleetDemandTime}}
		for _, demand := range q.peers {
			t.addPeer(demand[name], 1)
		}
		q.teams[name] = t
	}
	return t
}

// forget drops a team without configuration that has no request here.
func (q *Queue) forget(name string, t *team) {
	if t.running+t.waiting > 0 {
		return
	}
	delete(q.teams, name)
	for _, p := range q.pools {
		p.forget(name)
	}
}

// SetCapacity sets the number of requests that this gateway may have in progress at a pool, and the pool's service rate
// in tokens a second, which predicts waiting times. Without a call, a pool admits everything at once.
func (q *Queue) SetCapacity(pool string, concurrent int, tokensPerSecond float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.pools[pool]
	if p == nil {
		p = newPool(pool, q.teams)
		q.pools[pool] = p
	}
	p.concurrent, p.rate = concurrent, tokensPerSecond
	now := time.Now()
	p.review(now)
	p.dispatch(now)
}

// SetSurplusCapacity sets the number of requests in progress up to which this gateway admits requests of teams above their
// share while other teams use the pool, and the requests that all gateways have in progress there. Without a call, such teams
// may use the whole capacity. The figures take effect with the next SetCapacity.
func (q *Queue) SetSurplusCapacity(pool string, concurrent, inFlight int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.pools[pool]; p != nil {
		p.shares.surplus, p.shares.inFlight = concurrent, inFlight
	}
}

// Acquire waits until the request may run. It returns an *apierror.Error with run state "not_run" when the request is refused, or
// the context's error. The caller must call Release on the ticket once.
func (q *Queue) Acquire(ctx context.Context, r Request) (*Ticket, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	w, err := q.enter(r)
	if err != nil {
		return nil, err
	}
	ticket := &Ticket{queue: q, pool: w.pool, team: w.team, tokens: w.tokens}
	if w.ready == nil {
		ticket.class = w.class
		return ticket, nil
	}
	limit := maxWait
	if latest := r.latest(); !latest.IsZero() {
		limit = min(limit, time.Until(latest))
	}
	timer := time.NewTimer(ctxtime.PositiveDuration(limit))
	defer timer.Stop()
	select {
	case <-w.ready:
	case <-ctx.Done():
		if q.leave(w) {
			return nil, ctx.Err()
		}
	case <-timer.C:
		if q.leave(w) {
			return nil, deadlineError(r.Pool, limit)
		}
	}
	if w.dropped {
		return nil, queueFullError(r.Pool)
	}
	// The class may change until the request is admitted.
	ticket.class = w.class
	return ticket, nil
}

// enter admits the request at once (its ready channel is nil then), queues it or refuses it.
func (q *Queue) enter(r Request) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	t := q.team(r.Team)
	p := q.pools[r.Pool]
	if p == nil {
		p = newPool(r.Pool, q.teams)
		p.concurrent = unlimited
		q.pools[r.Pool] = p
	}
	t.demand.add(now, r.Tokens)
	t.longDemand.add(now, r.Tokens)
	if err := q.checkLimits(t, r.Tokens, now); err != nil {
		return nil, err
	}
	w := &waiter{pool: p, team: t, tokens: r.Tokens, class: classOf(r.Priority)}
	limit, ahead := p.concurrent, p.within
	if p.note(t, now, r.Tokens) {
		w.class += apitypes.PriorityClasses
		limit, ahead = p.shares.limit, p.waiting
	}
	latest := r.latest()
	if !latest.IsZero() && now.After(latest) {
		return nil, deadlineError(r.Pool, r.PredictedFirstTokenTime)
	}
	if p.inFlight < limit && ahead == 0 {
		t.charge(r.Tokens)
		p.shares.served.add(now, r.Tokens)
		p.admitNow(w)
		return w, nil
	}
	if p.concurrent <= 0 {
		return nil, noCapacityError(r.Pool)
	}
	if wait := p.predictWait(w); wait > maxWait.Seconds() || !latest.IsZero() && wait > latest.Sub(now).Seconds() {
		e := deadlineError(r.Pool, time.Duration(min(wait, maxReported.Seconds())*float64(time.Second)))
		e.RetryAfterSeconds = int(min(wait, maxReported.Seconds())) + 1
		return nil, e
	}
	if !p.enqueue(w) {
		return nil, queueFullError(r.Pool)
	}
	t.charge(r.Tokens)
	return w, nil
}

// WaitingByClass returns the number of requests that wait for any pool, by class.
func (q *Queue) WaitingByClass() [apitypes.PriorityClasses]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out [apitypes.PriorityClasses]int
	for _, p := range q.pools {
		for i := range p.classes {
			for _, f := range p.classes[i].active {
				out[i] += f.waiting.Len()
			}
		}
	}
	return out
}

// leave takes a waiter out of its queue. It returns false when the request was admitted or dropped in the meantime.
func (q *Queue) leave(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.flow == nil {
		return false
	}
	w.pool.remove(w)
	w.team.refund(w.tokens)
	return true
}

// Ticket is the right to run one request.
type Ticket struct {
	queue    *Queue
	pool     *pool
	team     *team
	class    int
	tokens   int
	released bool
}

// Release ends the request. usedTokens is the work that was done, in tokens; the difference to the expected work is charged
// to the team or given back. Later calls have no effect.
func (t *Ticket) Release(usedTokens int) {
	if t.queue == nil {
		return
	}
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	if t.released {
		return
	}
	t.released = true
	now := time.Now()
	t.team.running--
	t.team.adjust(usedTokens - t.tokens)
	t.pool.release(t, usedTokens-t.tokens)
	t.pool.dispatch(now)
}

func deadlineError(pool string, wait time.Duration) *apierror.Error {
	return apierror.New(apierror.DeadlineUnreachable, "send the request again with a later deadline, or after the stated time",
		"the request would wait about %v for pool %s, longer than its deadline allows", wait.Round(time.Millisecond), pool)
}

func noCapacityError(pool string) *apierror.Error {
	e := apierror.New(apierror.Unavailable, "retry after the stated time; if it persists, an operator should check the pool with 'crocusgladectl endpoints'",
		"pool %s has no endpoint that takes work", pool)
	e.RetryAfterSeconds = 1
	return e
}

func queueFullError(pool string) *apierror.Error {
	e := apierror.New(apierror.Overloaded, "send fewer requests at once, or retry after the stated time",
		"the queue of pool %s is full", pool)
	e.RetryAfterSeconds = 1
	return e
}
