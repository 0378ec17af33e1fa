package admission

import (
	"maps"
	"math"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
)

const (
	// demandAverageTime is the averaging time of demand. With 2 s, a fifth of a limit stayed unused for 10 s after demand had moved
	// to another gateway; with 1 s, still more than a tenth.
	demandAverageTime = 700 * time.Millisecond
	// fleetDemandAverageTime is the averaging time of demand in a large fleet, where a gateway receives so few requests of a team that
	// each of them makes a shorter average jump.
	fleetDemandAverageTime = 2500 * time.Millisecond
	// burstTime is the burst that a rate limit allows, as a time at the full rate.
	burstTime = 500 * time.Millisecond
	// fleetBurstTime replaces burstTime in a large fleet, where a gateway's share of a limit is less than one request per burstTime.
	fleetBurstTime = 2 * time.Second
	// shareGrowthTime is the time constant with which a gateway's share of a limit grows after a rise of its own demand. Without the
	// delay, gateways whose demand rises together would all use the whole limit until they receive each other's reports.
	shareGrowthTime = 250 * time.Millisecond
	// concurrentGrowthTime is the time constant for concurrent requests. It is longer than the time between two exchanges of demand,
	// since a request in progress can't be revoked.
	concurrentGrowthTime = time.Second
	// shareIdleTime is the time without requests after which a gateway's share is reset to an even share.
	shareIdleTime = 10 * time.Second
)

// Demand is a team's demand at one gateway.
type Demand struct {
	TokensPerSecond   float64
	RequestsPerSecond float64
	// Concurrent is the number of requests in progress and waiting.
	Concurrent int
}

// SetPeerDemand replaces the demand by team that a peer gateway reports. A nil demand removes the peer; the caller passes it when the peer
// is no longer live.
func (q *Queue) SetPeerDemand(vm string, demand map[string]Demand) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, d := range q.peerDemand[vm] {
		if t := q.teams[name]; t != nil {
			t.addPeerDemand(d, -1)
		}
	}
	if demand == nil {
		delete(q.peerDemand, vm)
		return
	}
	q.peerDemand[vm] = maps.Clone(demand)
	for name, d := range demand {
		if t := q.teams[name]; t != nil {
			t.addPeerDemand(d, 1)
		}
	}
}

// DemandByTeam returns the demand of each team at this gateway. Idle teams are left out.
func (q *Queue) DemandByTeam() map[string]Demand {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	out := make(map[string]Demand)
	for name, t := range q.teams {
		tokens, requests := t.demandRates(now, q.fleetSize > 0)
		d := Demand{TokensPerSecond: tokens, RequestsPerSecond: requests, Concurrent: t.running + t.waiting}
		if d.Concurrent > 0 || d.RequestsPerSecond > idleRequestsPerSecond {
			out[name] = d
		}
	}
	return out
}

// demandRates returns a team's demand at this gateway, per second. In a large fleet that is the long average, unless the short average shows
// that demand has risen, or a long time without a request shows that it has ended.
func (t *team) demandRates(now time.Time, largeFleet bool) (tokens, requests float64) {
	tokens, requests = t.demand.rateAt(now)
	if !largeFleet {
		return tokens, requests
	}
	longTokens, longRequests := t.longDemand.rateAt(now)
	if requests > demandRiseFactor*longRequests {
		return tokens, requests
	}
	if now.Sub(t.longDemand.updatedAt).Seconds()*t.longDemand.requestsPerSecond > idleMissedRequests {
		return 0, 0
	}
	return longTokens, longRequests
}

const (
	// demandRiseFactor is the ratio of the short to the long average of demand above which demand counts as risen, not as a random
	// variation.
	demandRiseFactor = 2.5
	// idleMissedRequests is the number of requests expected since the last one above which demand counts as ended. The probability
	// of receiving none by chance is 7%.
	idleMissedRequests = 2.6
)

// idleRequestsPerSecond is the demand below which a team without a request in progress or waiting counts as idle.
const idleRequestsPerSecond = 0.01

// demandMeter is an exponential moving average of requested work, refused requests included.
type demandMeter struct {
	averageTime                        time.Duration
	updatedAt                          time.Time
	tokensPerSecond, requestsPerSecond float64 // at updatedAt
}

func (d *demandMeter) add(now time.Time, tokens int) {
	d.tokensPerSecond, d.requestsPerSecond = d.rateAt(now)
	d.tokensPerSecond += float64(tokens) / d.averageTime.Seconds()
	d.requestsPerSecond += 1 / d.averageTime.Seconds()
	d.updatedAt = now
}

func (d *demandMeter) rateAt(now time.Time) (tokens, requests float64) {
	if d.updatedAt.IsZero() {
		return 0, 0
	}
	decay := math.Exp(-now.Sub(d.updatedAt).Seconds() / d.averageTime.Seconds())
	return d.tokensPerSecond * decay, d.requestsPerSecond * decay
}

// tokenBucket is a token bucket whose level may go below zero. A request is admitted while the level is positive, even when it takes more
// than the level; later requests are refused until the debt is refilled. So large requests pass and the average rate holds.
type tokenBucket struct {
	level      float64
	refilledAt time.Time
}

// refill adds the tokens for the time since the last refill at the given rate per second. The first call fills the bucket.
func (b *tokenBucket) refill(now time.Time, rate float64, burst time.Duration) {
	depth := max(1, rate*burst.Seconds())
	if b.refilledAt.IsZero() {
		b.level, b.refilledAt = depth, now
		return
	}
	b.level = min(depth, b.level+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

func (q *Queue) burst() time.Duration {
	if q.fleetSize > 0 {
		return fleetBurstTime
	}
	return burstTime
}

// team is the state of one team at this gateway.
type team struct {
	name           string
	weight         float64
	config         TeamConfig
	running        int // requests in progress
	waiting        int // requests in the queues of all pools
	demand         demandMeter
	longDemand     demandMeter
	allPoolsDemand tokenRate // over all pools and fairShareAverageTime
	peerDemand     Demand    // sum over peer gateways
	share          float64   // this gateway's share of the rate limits, from 0 to 1, at shareUpdatedAt
	shareUpdatedAt time.Time
	// concurrentShare is this gateway's share of the limit of concurrent requests at concurrentUpdatedAt. It may be fractional while it
	// grows.
	concurrentShare     float64
	concurrentUpdatedAt time.Time
	tokens              tokenBucket
	requests            tokenBucket
	assigned            assignedShare
}

func (t *team) configure(c TeamConfig) {
	t.config = c
	// class.weightSum includes the weights of waiting flows, so the weight of a waiting team changes only when its queue is empty.
	if t.waiting == 0 {
		t.weight = weightOf(c)
	}
	if c.Limits.TokensPerSecond <= 0 {
		t.tokens = tokenBucket{}
	}
	if c.Limits.RequestsPerSecond <= 0 {
		t.requests = tokenBucket{}
	}
}

func weightOf(c TeamConfig) float64 {
	if c.Weight <= 0 {
		return 1
	}
	return c.Weight
}

func (t *team) addPeerDemand(d Demand, sign float64) {
	t.peerDemand.TokensPerSecond = max(0, t.peerDemand.TokensPerSecond+sign*d.TokensPerSecond)
	t.peerDemand.RequestsPerSecond = max(0, t.peerDemand.RequestsPerSecond+sign*d.RequestsPerSecond)
	t.peerDemand.Concurrent += int(sign) * d.Concurrent
}

// updateShare moves this gateway's share of the team's limits towards its fraction of the demand: down immediately, up over
// shareGrowthTime. After shareIdleTime without requests it starts from at most an even share, since other gateways may start at the same
// time.
func (t *team) updateShare(now time.Time, gateways int) {
	own, _ := t.demand.rateAt(now)
	total := own + t.peerDemand.TokensPerSecond
	if total <= 0 {
		return
	}
	target := own / total
	elapsed := now.Sub(t.shareUpdatedAt)
	if t.shareUpdatedAt.IsZero() || elapsed > shareIdleTime {
		elapsed = 0
		t.share = min(t.share, 1/float64(gateways))
	}
	t.shareUpdatedAt = now
	if target > t.share {
		target = t.share + (target-t.share)*(1-math.Exp(-elapsed.Seconds()/shareGrowthTime.Seconds()))
	}
	t.share = target
}

// checkLimits refuses a request of a team that is over its limits. A team's limits are divided among the gateways by demand.
func (q *Queue) checkLimits(t *team, tokens int, now time.Time) error {
	limits := t.config.Limits
	if limits.TokensPerSecond <= 0 && limits.RequestsPerSecond <= 0 && limits.Concurrent <= 0 {
		return nil
	}
	share := q.limitShare(t, limits, now)
	if limits.TokensPerSecond > 0 {
		rate := limits.TokensPerSecond * share.Tokens
		t.tokens.refill(now, rate, q.burst())
		if t.tokens.level <= 0 {
			return rateLimitedError(t, "tokens", -t.tokens.level/rate)
		}
	}
	if limits.RequestsPerSecond > 0 {
		rate := limits.RequestsPerSecond * share.Requests
		t.requests.refill(now, rate, q.burst())
		if t.requests.level <= 0 {
			return rateLimitedError(t, "requests", -t.requests.level/rate)
		}
	}
	if limits.Concurrent > 0 && t.running+t.waiting >= share.Concurrent {
		return rateLimitedError(t, "concurrent requests", 0)
	}
	return nil
}

// limitShare returns this gateway's share of a team's limits.
func (q *Queue) limitShare(t *team, limits apitypes.Limits, now time.Time) LimitShare {
	if q.fleetSize > 0 {
		return q.currentAssignedShare(t, now)
	}
	t.updateShare(now, len(q.peerDemand)+1)
	share := LimitShare{Tokens: t.share, Requests: t.share}
	if limits.Concurrent > 0 {
		share.Concurrent = q.concurrentShare(t, limits.Concurrent, now)
	}
	return share
}

// concurrentShare returns this gateway's share of a team's limit of concurrent requests. It falls to the share by demand immediately and
// grows to it over concurrentGrowthTime, from an even share after shareIdleTime without requests, since gateways whose demand starts
// together have no reports of each other yet.
func (q *Queue) concurrentShare(t *team, limit int, now time.Time) int {
	if len(q.peerDemand) == 0 {
		return limit
	}
	even := q.evenShare(limit)
	target := q.demandShare(t, limit)
	elapsed := now.Sub(t.concurrentUpdatedAt)
	if t.concurrentUpdatedAt.IsZero() || elapsed > shareIdleTime {
		elapsed = 0
		t.concurrentShare = float64(even)
	}
	t.concurrentUpdatedAt = now
	if float64(target) > t.concurrentShare {
		t.concurrentShare += (float64(target) - t.concurrentShare) * (1 - math.Exp(-elapsed.Seconds()/concurrentGrowthTime.Seconds()))
	} else {
		t.concurrentShare = float64(target)
	}
	// The share approaches the target only asymptotically, so it is rounded up when it is this close to a whole number.
	const roundUpMargin = 0.05
	return int(t.concurrentShare + roundUpMargin)
}

// evenShare returns this gateway's share of an even division of a limit. The first gateways by name get the remainder.
func (q *Queue) evenShare(limit int) int {
	preceding := 0
	for vm := range q.peerDemand {
		if vm < q.self {
			preceding++
		}
	}
	share := limit / (len(q.peerDemand) + 1)
	if preceding < limit%(len(q.peerDemand)+1) {
		share++
	}
	return share
}

// demandShare returns this gateway's share of a limit divided in proportion to demand, as a whole number. The remainder goes to the largest
// fractional parts, then by name, so that each gateway computes the same division from the same demand.
func (q *Queue) demandShare(t *team, limit int) int {
	own := t.running + t.waiting + 1
	total := own + t.peerDemand.Concurrent
	exact := float64(limit) * float64(own) / float64(total)
	whole := int(exact)
	remainder, fraction := limit-whole, exact-float64(whole)
	preceding := 0
	for vm, demand := range q.peerDemand {
		peerExact := float64(limit) * float64(demand[t.name].Concurrent) / float64(total)
		remainder -= int(peerExact)
		peerFraction := peerExact - math.Floor(peerExact)
		if peerFraction > fraction || peerFraction == fraction && vm < q.self {
			preceding++
		}
	}
	if preceding < remainder {
		whole++
	}
	return whole
}

// charge deducts an accepted request from the team's token buckets.
func (t *team) charge(tokens int) { t.deduct(tokens, 1) }

// refund reverses the charge of a request that was removed from the queue without running.
func (t *team) refund(tokens int) { t.deduct(-tokens, -1) }

// adjust charges the difference between the work done and the expected work, in tokens.
func (t *team) adjust(difference int) { t.deduct(difference, 0) }

func (t *team) deduct(tokens, requests int) {
	if t.config.Limits.TokensPerSecond > 0 {
		t.tokens.level -= float64(tokens)
	}
	if t.config.Limits.RequestsPerSecond > 0 {
		t.requests.level -= float64(requests)
	}
}

func rateLimitedError(t *team, limit string, wait float64) *apierror.Error {
	e := apierror.New(apierror.RateLimited, "send fewer requests, retry after the stated time, or ask the operators for a higher limit",
		"team %s is over its limit of %s", t.name, limit)
	if math.IsNaN(wait) || wait > maxReportedWait.Seconds() {
		wait = maxReportedWait.Seconds()
	}
	e.RetryAfterSeconds = int(wait) + 1
	return e
}
