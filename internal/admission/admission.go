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

// Request describes a request for admission to a pool.
type Request struct {
	Team     string
	Pool     string
	Priority apitypes.Priority
	// Tokens is the expected work in tokens: prompt plus output.
	Tokens int
	// Deadline is the latest useful time for the first token; zero when there is none.
	Deadline time.Time
	// PredictedFirstTokenTime is the predicted time from admission to the first token. The request must be admitted at least that long
	// before its deadline.
	PredictedFirstTokenTime time.Duration
}

// admissionDeadline returns the latest time at which admission is useful; zero when the request has no deadline.
func (r *Request) admissionDeadline() time.Time {
	if r.Deadline.IsZero() {
		return time.Time{}
	}
	return r.Deadline.Add(-r.PredictedFirstTokenTime)
}

// TeamConfig is a team's weight in fair queuing and its limits. A weight of 0 or less counts as 1.
type TeamConfig struct {
	Weight float64
	Limits apitypes.Limits
}

// Queue admits requests to the pools of one gateway. It is safe for concurrent use.
type Queue struct {
	mu    sync.Mutex
	self  string // name of this gateway's VM
	teams map[string]*team
	pools map[string]*pool
	// peerDemand holds the demand reported by each peer gateway, by VM and team.
	peerDemand map[string]map[string]Demand
	// fleetSize is the number of gateways while a Divider assigns their shares of the limits; 0 while shares follow the demand that
	// peers report.
	fleetSize int
}

// New returns a queue with no teams and no pools.
func New() *Queue {
	return &Queue{teams: make(map[string]*team), pools: make(map[string]*pool), peerDemand: make(map[string]map[string]Demand)}
}

// SetVMName sets the name of this gateway's VM. The order of VM names decides which gateways get the remainder of a limit of concurrent
// requests, so that all gateways compute the same division.
func (q *Queue) SetVMName(vm string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.self = vm
}

// SetTeams replaces the configuration of all teams. Teams without configuration have weight 1 and no limits.
func (q *Queue) SetTeams(teams map[string]TeamConfig) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, config := range teams {
		q.team(name).configure(config)
	}
	for name, t := range q.teams {
		if _, configured := teams[name]; !configured {
			t.configure(TeamConfig{})
			q.removeIdleTeam(name, t)
		}
	}
}

// team returns the state of a team and creates it on first use.
func (q *Queue) team(name string) *team {
	t := q.teams[name]
	if t == nil {
		t = &team{name: name, weight: 1, share: 1 / float64(len(q.peerDemand)+1), demand: demandMeter{averageTime: demandAverageTime},
			longDemand: demandMeter{averageTime: fleetDemandAverageTime}}
		for _, demand := range q.peerDemand {
			t.addPeerDemand(demand[name], 1)
		}
		q.teams[name] = t
	}
	return t
}

// removeIdleTeam deletes the state of a team that has no running or waiting request at this gateway.
func (q *Queue) removeIdleTeam(name string, t *team) {
	if t.running+t.waiting > 0 {
		return
	}
	delete(q.teams, name)
	for _, p := range q.pools {
		p.removeTeam(name)
	}
}

// SetCapacity sets the number of requests that this gateway may have in progress at a pool, and the pool's service rate in tokens per
// second, from which waiting times are predicted. Until the first call, a pool admits every request immediately.
func (q *Queue) SetCapacity(pool string, concurrent int, tokensPerSecond float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.pools[pool]
	if p == nil {
		p = newPool(pool, q.teams)
		q.pools[pool] = p
	}
	p.maxInFlight, p.configuredRate = concurrent, tokensPerSecond
	now := time.Now()
	p.reviewShares(now)
	p.dispatch(now)
}

// SetSurplusCapacity sets two values for a pool: the number of requests in progress up to which this gateway admits teams above their
// fair share while other teams use the pool, and the number of requests that all gateways have in progress there. Until the first call,
// teams above their share may use the whole capacity. The values take effect with the next SetCapacity.
func (q *Queue) SetSurplusCapacity(pool string, concurrent, inFlight int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.pools[pool]; p != nil {
		p.shares.surplusCapacity, p.shares.inFlight = concurrent, inFlight
	}
}

// Acquire waits until the request may run. It returns an *apierror.Error with run state "not_run" when the request is refused, or
// the context's error. The caller must call Release on the ticket when the request ends.
func (q *Queue) Acquire(ctx context.Context, r Request) (*Ticket, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	w, err := q.admitOrEnqueue(r)
	if err != nil {
		return nil, err
	}
	ticket := &Ticket{queue: q, pool: w.pool, team: w.team, tokens: w.tokens}
	if w.ready == nil {
		ticket.class = w.class
		return ticket, nil
	}
	limit := maxWait
	if deadline := r.admissionDeadline(); !deadline.IsZero() {
		limit = min(limit, time.Until(deadline))
	}
	timer := time.NewTimer(ctxtime.PositiveDuration(limit))
	defer timer.Stop()
	select {
	case <-w.ready:
	case <-ctx.Done():
		if q.cancelWait(w) {
			return nil, ctx.Err()
		}
	case <-timer.C:
		if q.cancelWait(w) {
			return nil, deadlineError(r.Pool, limit)
		}
	}
	if w.dropped {
		return nil, queueFullError(r.Pool)
	}
	// The class of a waiting request may change, so it is read only after admission.
	ticket.class = w.class
	return ticket, nil
}

// admitOrEnqueue admits the request immediately, in which case the waiter's ready channel is nil, or queues or refuses it.
func (q *Queue) admitOrEnqueue(r Request) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	t := q.team(r.Team)
	p := q.pools[r.Pool]
	if p == nil {
		p = newPool(r.Pool, q.teams)
		p.maxInFlight = unlimited
		q.pools[r.Pool] = p
	}
	t.demand.add(now, r.Tokens)
	t.longDemand.add(now, r.Tokens)
	if err := q.checkLimits(t, r.Tokens, now); err != nil {
		return nil, err
	}
	w := &waiter{pool: p, team: t, tokens: r.Tokens, class: classOf(r.Priority)}
	limit, queuedAhead := p.maxInFlight, p.waitingWithinShare
	if p.recordDemand(t, now, r.Tokens) {
		w.class += apitypes.PriorityClasses
		limit, queuedAhead = p.shares.surplusLimit, p.waiting
	}
	deadline := r.admissionDeadline()
	if !deadline.IsZero() && now.After(deadline) {
		return nil, deadlineError(r.Pool, r.PredictedFirstTokenTime)
	}
	if p.inFlight < limit && queuedAhead == 0 {
		t.charge(r.Tokens)
		p.shares.admitted.add(now, r.Tokens)
		p.admitNow(w)
		return w, nil
	}
	if p.maxInFlight <= 0 {
		return nil, noCapacityError(r.Pool)
	}
	if wait := p.predictWait(w); wait > maxWait.Seconds() || !deadline.IsZero() && wait > deadline.Sub(now).Seconds() {
		e := deadlineError(r.Pool, time.Duration(min(wait, maxReportedWait.Seconds())*float64(time.Second)))
		e.RetryAfterSeconds = int(min(wait, maxReportedWait.Seconds())) + 1
		return nil, e
	}
	if !p.enqueue(w) {
		return nil, queueFullError(r.Pool)
	}
	t.charge(r.Tokens)
	return w, nil
}

// WaitingByClass returns the number of waiting requests of all pools by priority class, including those of surplus classes.
func (q *Queue) WaitingByClass() [apitypes.PriorityClasses]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out [apitypes.PriorityClasses]int
	for _, p := range q.pools {
		for i := range p.classes {
			for _, f := range p.classes[i].active {
				out[i%apitypes.PriorityClasses] += f.waiting.Len()
			}
		}
	}
	return out
}

// cancelWait removes a waiter from its queue. It returns false when the request has already been admitted or dropped.
func (q *Queue) cancelWait(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.flow == nil {
		return false
	}
	w.pool.remove(w)
	w.team.refund(w.tokens)
	return true
}

// Ticket is the admission of one request.
type Ticket struct {
	queue    *Queue
	pool     *pool
	team     *team
	class    int
	tokens   int
	released bool
}

// Release ends the request. usedTokens is the work done, in tokens; the difference from the expected work is charged or refunded to the
// team. Later calls have no effect.
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
