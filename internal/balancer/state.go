package balancer

import (
	"slices"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

const (
	// maxRecentWork bounds the entries of recentWork of an endpoint. When no reports arrive, the oldest entries are merged.
	maxRecentWork = 128
	// defaultPrefillRate, in tokens per second, is assumed for an engine that reports none.
	defaultPrefillRate = 8000
	// defaultResponseSeconds is the assumed response time of a plain service before its first response.
	defaultResponseSeconds = 0.02
	// maxQueueSeconds is the predicted prefill queue, in seconds, up to which an endpoint has free capacity for admission. Further
	// requests wait in the fair queue, which maintains the shares of classes and teams, instead of at the endpoint. The queue must be
	// longer than the time until the next update of the capacity, or the endpoint becomes idle. A choice may exceed it, since an endpoint
	// that caches the prefix can be the best in spite of its queue.
	maxQueueSeconds = 0.25
	// saturatedQueueSeconds is the predicted prefill queue, in seconds, above which an endpoint counts as full. Engines serve urgent
	// requests first, so less urgent ones could wait without bound in a longer queue.
	saturatedQueueSeconds = 1.5
	// responseWeight is the weight of the latest response in the moving average of response times.
	responseWeight = 0.1
)

// work is load added to an endpoint by a dispatch, or removed from it by a completed request when the values are negative.
type work struct {
	timestamp      time.Time
	uncachedTokens float64 // prompt tokens that are not in the prefix cache
	requests       int
	kvBlocks       int
}

// endpointState is an endpoint's last report with the load added to and removed from the endpoint since.
type endpointState struct {
	Endpoint
	pool           *pool
	recentWork     []work // dispatches and completions by this gateway and its peers after ReportedAt, in order of time
	recentRequests int    // sum over recentWork
	recentKVBlocks int    // sum over recentWork
	// queuedTokens is the predicted number of tokens that wait for prefill at queuedTokensAt.
	queuedTokens   float64
	queuedTokensAt time.Time
	// ownRequests is the number of this gateway's requests in progress, ownPrefillTokens the sum of uncached prompt tokens of those without
	// a first token.
	ownRequests      int
	ownPrefillTokens float64
	responseSeconds  float64 // moving average of the time to the first byte
	ejection         ejection
	// pausedUntil is the end of the pause that the endpoint asked this gateway for.
	pausedUntil time.Time
	// suspects is the number of this gateway's suspects in progress by fingerprint.
	suspects map[uint64]int
	cache    cacheState
}

// kvBlocks returns the number of KV blocks that hold the tokens. A KV block holds TokensPerBlock tokens.
func kvBlocks(tokens int) int { return (tokens + TokensPerBlock - 1) / TokensPerBlock }

// UpdateEndpoint adds or updates an endpoint of a pool. A load report older than the last one is ignored; the rest of e is applied.
func (b *Balancer) UpdateEndpoint(poolName string, e Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.endpoints[e.Name]
	if s != nil && s.pool.name != poolName {
		b.remove(s)
		s = nil
	}
	if s == nil {
		s = b.add(poolName, e)
	}
	if e.ReportedAt.Before(s.ReportedAt) {
		e.Load, e.ReportedAt = s.Load, s.ReportedAt
	}
	if e.Load.Instance != s.Load.Instance {
		b.index.reset(s)
		s.recentWork, s.recentRequests, s.recentKVBlocks, s.pausedUntil = nil, 0, 0, time.Time{}
	}
	s.Endpoint = e
	s.replay()
}

func (b *Balancer) add(poolName string, e Endpoint) *endpointState {
	p := b.pools[poolName]
	if p == nil {
		p = &pool{name: poolName, ownsEndpoint: b.ownsEndpoint}
		b.pools[poolName] = p
	}
	s := &endpointState{Endpoint: e, pool: p}
	b.endpoints[e.Name] = s
	p.members = append(p.members, s)
	p.unsorted = true
	return s
}

// Endpoint returns an endpoint by name, or false when there is none.
func (b *Balancer) Endpoint(name string) (Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.endpoints[name]
	if s == nil {
		return Endpoint{}, false
	}
	return s.Endpoint, true
}

// InFlight returns the predicted number of requests in progress at the endpoints of each pool, including those of other gateways.
func (b *Balancer) InFlight() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, len(b.pools))
	for name, p := range b.pools {
		for _, s := range p.members {
			out[name] += max(0, s.running())
		}
	}
	return out
}

// RemoveEndpoint removes an endpoint of a pool.
func (b *Balancer) RemoveEndpoint(pool, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.endpoints[name]; s != nil && s.pool.name == pool {
		b.remove(s)
	}
}

func (b *Balancer) remove(s *endpointState) {
	b.index.reset(s)
	delete(b.endpoints, s.Name)
	delete(b.pendingDeltas, s.Name)
	p := s.pool
	p.members = slices.DeleteFunc(p.members, func(m *endpointState) bool { return m == s })
	if len(p.members) == 0 {
		delete(b.pools, p.name)
	}
}

// AddPeerLoad records the change of an endpoint's load by a peer gateway, as the peer's CollectLoadDeltas returned it.
func (b *Balancer) AddPeerLoad(vm, endpoint string, promptTokens int64, requests int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.endpoints[endpoint]; s != nil {
		s.addWork(work{timestamp: time.Now(), uncachedTokens: float64(promptTokens), requests: requests, kvBlocks: int(s.pool.meanKVBlocks * float64(requests))})
	}
}

// LoadDelta is the change of an endpoint's load by one gateway. PromptTokens excludes tokens expected in the endpoint's prefix cache.
// Requests is the number of requests dispatched minus the number ended, so it may be negative. Without the ended requests, peers would
// consider a busy endpoint full until its next report.
type LoadDelta struct {
	PromptTokens int64
	Requests     int
}

// CollectLoadDeltas returns and clears the changes of load by endpoint since the last call, to be sent to peer gateways.
func (b *Balancer) CollectLoadDeltas() map[string]LoadDelta {
	b.mu.Lock()
	defer b.mu.Unlock()
	deltas := b.pendingDeltas
	b.pendingDeltas = make(map[string]LoadDelta, len(deltas))
	return deltas
}

// replay removes the recent work that the last report already contains, and predicts the queue from the report and the remaining work.
func (s *endpointState) replay() {
	remaining := s.recentWork[:0]
	s.recentRequests, s.recentKVBlocks = 0, 0
	s.queuedTokens, s.queuedTokensAt = float64(s.Load.QueuedPrefillTokens), s.ReportedAt
	for _, w := range s.recentWork {
		if w.timestamp.After(s.ReportedAt) {
			remaining = append(remaining, w)
			s.apply(w)
		}
	}
	s.recentWork = remaining
}

func (s *endpointState) addWork(w work) {
	if len(s.recentWork) == maxRecentWork {
		s.recentWork[1].requests += s.recentWork[0].requests
		s.recentWork[1].kvBlocks += s.recentWork[0].kvBlocks
		s.recentWork[1].uncachedTokens += s.recentWork[0].uncachedTokens
		s.recentWork = append(s.recentWork[:0], s.recentWork[1:]...)
	}
	s.recentWork = append(s.recentWork, w)
	s.apply(w)
	if w.requests > 0 {
		s.cache.recordDispatch(w.timestamp)
	}
}

func (s *endpointState) apply(w work) {
	s.queuedTokens = s.predictQueuedTokens(w.timestamp) + w.uncachedTokens
	s.queuedTokensAt = w.timestamp
	s.recentRequests += w.requests
	s.recentKVBlocks += w.kvBlocks
}

func (s *endpointState) addOwn(w work) {
	s.ownRequests++
	s.ownPrefillTokens += w.uncachedTokens
	s.addWork(w)
}

func (s *endpointState) removeOwn(w work, now time.Time) {
	s.ownRequests--
	s.addWork(work{timestamp: now, requests: -w.requests, kvBlocks: -w.kvBlocks})
}

// predictQueuedTokens predicts the number of tokens that wait for prefill at a time, reduced by what the endpoint has processed since
// queuedTokensAt.
func (s *endpointState) predictQueuedTokens(at time.Time) float64 {
	elapsed := at.Sub(s.queuedTokensAt).Seconds()
	if elapsed <= 0 {
		return s.queuedTokens
	}
	return max(0, s.queuedTokens-elapsed*s.prefillRate())
}

// prefillRate returns the endpoint's prefill rate in tokens per second.
func (s *endpointState) prefillRate() float64 {
	if s.Load.PrefillRate > 0 {
		return s.Load.PrefillRate
	}
	return defaultPrefillRate
}

// running predicts the number of requests at the endpoint. It is at least the number of this gateway's own requests, which is exact.
func (s *endpointState) running() int {
	return max(s.ownRequests, s.Load.Running+s.Load.Waiting+s.recentRequests)
}

// predictFirstToken predicts the seconds to the first token of a request with the given number of uncached prompt tokens.
func (s *endpointState) predictFirstToken(uncached int, now time.Time) float64 {
	if s.Load.PrefillRate <= 0 && uncached == 0 {
		return s.predictResponse()
	}
	return float64(uncached)/s.prefillRate() + s.queueSeconds(now)
}

// queueSeconds predicts the seconds until the endpoint has processed its prefill queue. Half of ownPrefillTokens is a lower bound of the
// queue. Otherwise an endpoint that has stopped working would appear idle once its predicted queue is empty.
func (s *endpointState) queueSeconds(now time.Time) float64 {
	return max(s.predictQueuedTokens(now), s.ownPrefillTokens/2) / s.prefillRate()
}

// freeKVBlocks predicts the number of free KV blocks. Blocks for requests that wait at the endpoint are subtracted, since the report still
// counts them as free.
func (s *endpointState) freeKVBlocks() int {
	return s.Load.KVFree - s.recentKVBlocks - int(s.pool.meanKVBlocks*float64(s.Load.Waiting))
}

// predictResponse predicts the seconds to the first byte of a plain service, which has no prefill.
func (s *endpointState) predictResponse() float64 {
	average := s.responseSeconds
	if average == 0 {
		average = defaultResponseSeconds
	}
	return average * (1 + float64(s.running())/float64(max(1, s.Load.Slots)))
}

// slotCost returns the cost of a decode slot in seconds: the request's decode time, weighted by the square of the fraction of slots in use
// and decodeCostWeight.
func (s *endpointState) slotCost(outputTokens int) float64 {
	if s.Load.Slots == 0 || s.Load.DecodeRate <= 0 {
		return 0
	}
	usage := float64(s.running()) / float64(s.Load.Slots)
	decodeSeconds := float64(outputTokens) * float64(s.Load.Slots) / s.Load.DecodeRate
	return decodeCostWeight * decodeSeconds * usage * usage
}

// recordResponseTime updates the moving average of response times.
func (s *endpointState) recordResponseTime(o Outcome) {
	if o.Failed || o.TimeToFirstToken <= 0 {
		return
	}
	seconds := o.TimeToFirstToken.Seconds()
	if s.responseSeconds == 0 {
		s.responseSeconds = seconds
		return
	}
	s.responseSeconds += responseWeight * (seconds - s.responseSeconds)
}

// serves reports whether the endpoint accepts work and can serve the request, regardless of its load and health.
func (s *endpointState) serves(r *Request) bool {
	switch {
	case s.NoNewWork || s.Load.Draining || s.Load.Changing || s.ReclaimAt != 0:
		return false
	case s.State != "" && s.State != apitypes.EndpointReady:
		return false
	case r.OnDemandOnly && s.Class == apitypes.Reclaimable:
		return false
	case r.Version != "" && s.Load.Version != r.Version:
		return false
	case !r.Origin.Allows(s.pool.name, s.Load.SoftwareVersion):
		return false
	case r.Adapter != "" && !slices.Contains(s.Load.Adapters, r.Adapter):
		return false
	}
	return !slices.Contains(r.Exclude, s.Name)
}

// eligible reports whether the endpoint may get the request now: it serves the request, is neither ejected nor full, and meets the
// isolation of a suspect.
func (s *endpointState) eligible(r *Request, now time.Time) bool {
	if r.isolation != isolationNone && !s.meetsIsolation(r) {
		return false
	}
	return !s.ejection.excluded(now) && !now.Before(s.pausedUntil) && s.serves(r) && !s.full(r, now)
}

// full reports whether the endpoint lacks a slot or KV memory for the request, or its prefill queue is too long.
func (s *endpointState) full(r *Request, now time.Time) bool {
	if s.Load.Slots > 0 && s.running() >= s.Load.Slots || s.queueSeconds(now) > saturatedQueueSeconds {
		return true
	}
	if s.Load.KVTotal == 0 {
		return false
	}
	free := s.freeKVBlocks() - kvBlocks(r.OutputTokens)
	if free >= kvBlocks(r.PromptTokens) {
		return false
	}
	// A cached prefix needs no new blocks.
	return free < kvBlocks(r.PromptTokens-min(s.expectedCachedTokens(r.Prefix, now), r.PromptTokens))
}
