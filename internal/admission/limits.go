package admission

import (
	"maps"
	"math"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
)

const (
	// demandTime is the averaging time of demand. With 2 s, a fifth of a limit was left unused for 10 s after demand had moved
	// to another gateway; 1 s still left more than a tenth.
	demandTime = 700 * time.Millisecond
	// fleetDemandTime is the averaging time of demand in a large fleet, where a gateway sees so few requests of a team that a shorter
	// average jumps with each of them.
	fleetDemandTime = 2500 * time.Millisecond
	// burstTime is the time's worth of a limit that a team may use at once.
	burstTime = 500 * time.Millisecond
	// fleetBurstTime is the same in a large fleet, where a gateway's share of a limit is less than one request in burstTime.
	fleetBurstTime = 2 * time.Second
	// shareTime is the time over which a gateway's share of a limit grows after a rise of its own demand. Gateways whose
	// demand rises together would else all count on the whole limit until they hear of each other.
	shareTime = 250 * time.Millisecond
	// concurrentTime is the same for concurrent requests. It is longer than the time between two exchanges, since a request
	// in progress can't be taken back.
	concurrentTime = time.Second
	// shareIdle is the time without requests after which a gateway's share counts as unknown.
	shareIdle = 10 * time.Second
)

// Demand is a team's demand at one gateway.
type Demand struct {
	TokensPerSecond   float64
	RequestsPerSecond float64
	// Concurrent counts requests in progress and waiting.
	Concurrent int
}

// SetPeerDemand replaces what a neighbour reports of its teams. A nil demand forgets the neighbour; the caller does so when the
// neighbour is gone.
func (q *Queue) SetPeerDemand(vm string, demand map[string]Demand) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, d := range q.peers[vm] {
		if t := q.teams[name]; t != nil {
			t.addPeer(d, -1)
		}
	}
	if demand == nil {
		delete(q.peers, vm)
		return
	}
	q.peers[vm] = maps.Clone(demand)
	for name, d := range demand {
		if t := q.teams[name]; t != nil {
			t.addPeer(d, 1)
		}
	}
}

// DemandByTeam returns the demand of each team at this gateway. Teams without demand are left out.
func (q *Queue) DemandByTeam() map[string]Demand {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	out := make(map[string]Demand)
	for name, t := range q.teams {
		tokens, requests := t.offered(now, q.fleet > 0)
		d := Demand{TokensPerSecond: tokens, RequestsPerSecond: requests, Concurrent: t.running + t.waiting}
		if d.Concurrent > 0 || d.RequestsPerSecond > minDemand {
			out[name] = d
		}
	}
	return out
}

// offered returns a team's demand at this gateway. In a large fleet that is the long average, unless the short one shows that demand has
// risen, or a long time without a request that it has gone.
func (t *team) offered(now time.Time, large bool) (tokens, requests float64) {
	tokens, requests = t.demand.at(now)
	if !large {
		return tokens, requests
	}
	longTokens, longRequests := t.longDemand.at(now)
	if requests > risen*longRequests {
		return tokens, requests
	}
	if now.Sub(t.longDemand.last).Seconds()*t.longDemand.requests > missing {
		return 0, 0
	}
	return longTokens, longRequests
}

const (
	// risen is the factor by which the short average of demand exceeds the long one when demand has risen rather than varied.
	risen = 2.5
	// missing is the number of requests that a gateway would have seen if demand had not gone; the chance of that is 7%.
	missing = 2.6
)

// minDemand in requests a second is the demand below which a team counts as idle.
const minDemand = 0.01

// demandMeter is a moving average of offered requests, refused ones included.
type demandMeter struct {
	over             time.Duration
	last             time.Time
	tokens, requests float64 // per second at last
}

func (d *demandMeter) add(now time.Time, tokens int) {
	d.tokens, d.requests = d.at(now)
	d.tokens += float64(tokens) / d.over.Seconds()
	d.requests += 1 / d.over.Seconds()
	d.last = now
}

func (d *demandMeter) at(now time.Time) (tokens, requests float64) {
	if d.last.IsZero() {
		return 0, 0
	}
	decay := math.Exp(-now.Sub(d.last).Seconds() / d.over.Seconds())
	return d.tokens * decay, d.requests * decay
}

// bucket is a token bucket. A request may take more than there is as long as something is there; the debt is paid by the
// requests after it, so large requests pass and the rate holds.
type bucket struct {
	level float64
	last  time.Time
}

func (b *bucket) refill(now time.Time, rate float64, burst time.Duration) {
	depth := max(1, rate*burst.Seconds())
	if b.last.IsZero() {
		b.level, b.last = depth, now
		return
	}
	b.level = min(depth, b.level+rate*now.Sub(b.last).Seconds())
	b.last = now
}

func (q *Queue) burst() time.Duration {
	if q.fleet > 0 {
		return fleetBurstTime
	}
	return burstTime
}

// team is the state of one team at this gateway.
type team struct {
	name       string
	weight     float64
	config     TeamConfig
	running    int
	waiting    int
	demand     demandMeter
	longDemand demandMeter
	recent     meter  // on all pools, over a longer time
	peers      Demand // sum over neighbours
	share      float64
	shareAt    time.Time
	// concurrent is this gateway's part of the limit of concurrent requests at concurrentAt.
	concurrent   float64
	concurrentAt time.Time
	tokens       bucket
	requests     bucket
	granted      granted
}

func (t *team) configure(c TeamConfig) {
	t.config = c
	// The weights of waiting flows are summed per class, so a waiting team keeps its weight until its queue is empty.
	if t.waiting == 0 {
		t.weight = weightOf(c)
	}
	if c.Limits.TokensPerSecond <= 0 {
		t.tokens = bucket{}
	}
	if c.Limits.RequestsPerSecond <= 0 {
		t.requests = bucket{}
	}
}

func weightOf(c TeamConfig) float64 {
	if c.Weight <= 0 {
		return 1
	}
	return c.Weight
}

func (t *team) addPeer(d Demand, sign float64) {
	t.peers.TokensPerSecond = max(0, t.peers.TokensPerSecond+sign*d.TokensPerSecond)
	t.peers.RequestsPerSecond = max(0, t.peers.RequestsPerSecond+sign*d.RequestsPerSecond)
	t.peers.Concurrent += int(sign) * d.Concurrent
}

// updateShare moves this gateway's share of the team's limits towards its part of the demand: down at once, up over
// shareTime. After a time without requests it starts from an even share, since other gateways may start at the same time.
func (t *team) updateShare(now time.Time, gateways int) {
	own, _ := t.demand.at(now)
	total := own + t.peers.TokensPerSecond
	if total <= 0 {
		return
	}
	target := own / total
	elapsed := now.Sub(t.shareAt)
	if t.shareAt.IsZero() || elapsed > shareIdle {
		elapsed = 0
		t.share = min(t.share, 1/float64(gateways))
	}
	t.shareAt = now
	if target > t.share {
		target = t.share + (target-t.share)*(1-math.Exp(-elapsed.Seconds()/shareTime.Seconds()))
	}
	t.share = target
}

// checkLimits refuses a request of a team that is over its limits. A team's limits are divided among the gateways by demand.
func (q *Queue) checkLimits(t *team, tokens int, now time.Time) error {
	limits := t.config.Limits
	if limits.TokensPerSecond <= 0 && limits.RequestsPerSecond <= 0 && limits.Concurrent <= 0 {
		return nil
	}
	share := q.share(t, limits, now)
	if limits.TokensPerSecond > 0 {
		rate := limits.TokensPerSecond * share.Tokens
		t.tokens.refill(now, rate, q.burst())
		if t.tokens.level <= 0 {
			return limitError(t, "tokens", -t.tokens.level/rate)
		}
	}
	if limits.RequestsPerSecond > 0 {
		rate := limits.RequestsPerSecond * share.Requests
		t.requests.refill(now, rate, q.burst())
		if t.requests.level <= 0 {
			return limitError(t, "requests", -t.requests.level/rate)
		}
	}
	if limits.Concurrent > 0 && t.running+t.waiting >= share.Concurrent {
		return limitError(t, "concurrent requests", 0)
	}
	return nil
}

// share returns what this gateway may use of a team's limits.
func (q *Queue) share(t *team, limits apitypes.Limits, now time.Time) LimitShare {
	if q.fleet > 0 {
		return q.grantedShare(t, now)
	}
	t.updateShare(now, len(q.peers)+1)
	share := LimitShare{Tokens: t.share, Requests: t.share}
	if limits.Concurrent > 0 {
		share.Concurrent = q.concurrentShare(t, limits.Concurrent, now)
	}
	return share
}

// concurrentShare returns how many requests of a team this gateway may have: its part by demand, which it reaches over
// concurrentTime when that is above an even division, since gateways that start together do not know of each other yet.
func (q *Queue) concurrentShare(t *team, limit int, now time.Time) int {
	if len(q.peers) == 0 {
		return limit
	}
	even := q.evenPart(limit)
	target := q.demandPart(t, limit)
	elapsed := now.Sub(t.concurrentAt)
	if t.concurrentAt.IsZero() || elapsed > shareIdle {
		elapsed = 0
		t.concurrent = float64(even)
	}
	t.concurrentAt = now
	if float64(target) > t.concurrent {
		t.concurrent += (float64(target) - t.concurrent) * (1 - math.Exp(-elapsed.Seconds()/concurrentTime.Seconds()))
	} else {
		t.concurrent = float64(target)
	}
	// The growing share comes close to its whole number only in the limit.
	const nearlyWhole = 0.05
	return int(t.concurrent + nearlyWhole)
}

// evenPart divides a limit evenly among the gateways, with the remainder to the first by name.
func (q *Queue) evenPart(limit int) int {
	before := 0
	for vm := range q.peers {
		if vm < q.self {
			before++
		}
	}
	part := limit / (len(q.peers) + 1)
	if before < limit%(len(q.peers)+1) {
		part++
	}
	return part
}

// demandPart divides a limit among the gateways in whole numbers: by demand, with the remainder to the largest fractions,
// then by name. Each gateway computes the same division from the same demand.
func (q *Queue) demandPart(t *team, limit int) int {
	own := t.running + t.waiting + 1
	total := own + t.peers.Concurrent
	exact := float64(limit) * float64(own) / float64(total)
	whole := int(exact)
	left, fraction := limit-whole, exact-float64(whole)
	ahead := 0
	for vm, demand := range q.peers {
		part := float64(limit) * float64(demand[t.name].Concurrent) / float64(total)
		left -= int(part)
		rest := part - math.Floor(part)
		if rest > fraction || rest == fraction && vm < q.self {
			ahead++
		}
	}
	if ahead < left {
		whole++
	}
	return whole
}

// charge takes an accepted request from the team's limits.
func (t *team) charge(tokens int) { t.take(tokens, 1) }

// refund gives back what a request was charged that left the queue without running.
func (t *team) refund(tokens int) { t.take(-tokens, -1) }

// adjust charges the difference between the expected and the done work.
func (t *team) adjust(difference int) { t.take(difference, 0) }

func (t *team) take(tokens, requests int) {
	if t.config.Limits.TokensPerSecond > 0 {
		t.tokens.level -= float64(tokens)
	}
	if t.config.Limits.RequestsPerSecond > 0 {
		t.requests.level -= float64(requests)
	}
}

func limitError(t *team, what string, wait float64) *apierror.Error {
	e := apierror.New(apierror.RateLimited, "send less, retry after the stated time, or ask the operators for a higher limit",
		"team %s is over its limit of %s", t.name, what)
	if math.IsNaN(wait) || wait > maxReported.Seconds() {
		wait = maxReported.Seconds()
	}
	e.RetryAfterSeconds = int(wait) + 1
	return e
}
