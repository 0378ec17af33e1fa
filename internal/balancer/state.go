package balancer

import (
	"slices"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
)

const (
	// maxWork bounds the remembered sends of an endpoint. Older sends are merged when reports stay away.
	maxWork = 128
	// defaultPrefillRate in tokens a second is assumed for an engine that reports none.
	defaultPrefillRate = 8000
	// defaultResponse in seconds is assumed for a plain service before its first answer.
	defaultResponse = 0.02
	// maxQueueTime in seconds of predicted prefill queue bounds the capacity that an endpoint gives to admission. More
	// requests wait in the fair queue, where classes and teams keep their shares, and not at the endpoint. The queue must
	// outlast the time until the next update of the capacity, else the endpoint runs idle. A choice may go beyond it, since
	// the holder of a prefix can be best in spite of its queue.
	maxQueueTime = 0.25
	// saturatedQueueTime in seconds excludes an endpoint. Engines serve urgent requests first, so less urgent ones would
	// wait without bound in a longer queue.
	saturatedQueueTime = 1.5
	// responseWeight is the weight of the newest answer in the moving average of response times.
	responseWeight = 0.1
)

// work is load sent to an endpoint, or taken from it when the figures are negative.
type work struct {
	at       time.Time
	tokens   float64 // uncached prompt tokens
	requests int
	pieces   int // KV pieces
}

// endpointState is an endpoint's last report with the load added to it and taken from it since.
type endpointState struct {
	Endpoint
	pool     *pool
	since    []work // own and neighbours' sends and own completions after ReportedAt, in order of time
	requests int    // sum of requests in since
	pieces   int    // sum of pieces in since
	// queue is the predicted queue of prefill tokens at queueAt.
	queue   float64
	queueAt time.Time
	// ownRequests and ownPrefill count this gateway's requests in progress and its tokens without a first token.
	ownRequests int
	ownPrefill  float64
	response    float64 // moving average of the time to the first byte in seconds
	ejection    ejection
	// suspects counts this gateway's requests in progress under which another endpoint died, by fingerprint.
	suspects map[uint64]int
	cache    cacheState
}

// pieces returns the KV pieces that hold the tokens. One piece holds one prefix block.
func pieces(tokens int) int { return (tokens + BlockTokens - 1) / BlockTokens }

// UpdateEndpoint sets what is known of an endpoint of a pool. A report older than the last one only updates the endpoint's state.
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
		s.since, s.requests, s.pieces = nil, 0, 0
	}
	s.Endpoint = e
	s.replay()
}

func (b *Balancer) add(poolName string, e Endpoint) *endpointState {
	p := b.pools[poolName]
	if p == nil {
		p = &pool{name: poolName, owns: b.owns}
		b.pools[poolName] = p
	}
	s := &endpointState{Endpoint: e, pool: p}
	b.endpoints[e.Name] = s
	p.members = append(p.members, s)
	p.unordered = true
	return s
}

// Endpoint returns what is known of an endpoint, or false when it is not known.
func (b *Balancer) Endpoint(name string) (Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.endpoints[name]
	if s == nil {
		return Endpoint{}, false
	}
	return s.Endpoint, true
}

// InFlight returns the predicted number of requests at the endpoints of each pool, those of other gateways included.
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

// RemoveEndpoint forgets an endpoint.
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
	delete(b.pending, s.Name)
	p := s.pool
	p.members = slices.DeleteFunc(p.members, func(m *endpointState) bool { return m == s })
	if len(p.members) == 0 {
		delete(b.pools, p.name)
	}
}

// AddPeerLoad records work that a neighbour sent to an endpoint, as its CollectLoadDeltas returned it.
func (b *Balancer) AddPeerLoad(vm, endpoint string, promptTokens int64, requests int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.endpoints[endpoint]; s != nil {
		s.addWork(work{at: time.Now(), tokens: float64(promptTokens), requests: requests, pieces: int(s.pool.meanPieces * float64(requests))})
	}
}

// LoadDelta counts work sent to an endpoint. PromptTokens leaves out tokens expected in the endpoint's prefix cache. Requests is the
// number sent less the number ended, so it may be negative: without the ended ones, neighbours would take a busy endpoint for
// full until its next report.
type LoadDelta struct {
	PromptTokens int64
	Requests     int
}

// CollectLoadDeltas returns and clears the work sent to each endpoint since the last call, for neighbours.
func (b *Balancer) CollectLoadDeltas() map[string]LoadDelta {
	b.mu.Lock()
	defer b.mu.Unlock()
	sends := b.pending
	b.pending = make(map[string]LoadDelta, len(sends))
	return sends
}

// replay drops the work that the newest report already contains and predicts the queue from the rest.
func (s *endpointState) replay() {
	keep := s.since[:0]
	s.requests, s.pieces = 0, 0
	s.queue, s.queueAt = float64(s.Load.QueuedPrefillTokens), s.ReportedAt
	for _, w := range s.since {
		if w.at.After(s.ReportedAt) {
			keep = append(keep, w)
			s.apply(w)
		}
	}
	s.since = keep
}

func (s *endpointState) addWork(w work) {
	if len(s.since) == maxWork {
		s.since[1].requests += s.since[0].requests
		s.since[1].pieces += s.since[0].pieces
		s.since[1].tokens += s.since[0].tokens
		s.since = append(s.since[:0], s.since[1:]...)
	}
	s.since = append(s.since, w)
	s.apply(w)
	if w.requests > 0 {
		s.cache.noteSend(w.at)
	}
}

func (s *endpointState) apply(w work) {
	s.queue = s.queueNow(w.at) + w.tokens
	s.queueAt = w.at
	s.requests += w.requests
	s.pieces += w.pieces
}

func (s *endpointState) addOwn(w work) {
	s.ownRequests++
	s.ownPrefill += w.tokens
	s.addWork(w)
}

func (s *endpointState) removeOwn(w work, now time.Time) {
	s.ownRequests--
	s.addWork(work{at: now, requests: -w.requests, pieces: -w.pieces})
}

// queueNow predicts the queue at a time: the endpoint has worked on it since queueAt.
func (s *endpointState) queueNow(at time.Time) float64 {
	elapsed := at.Sub(s.queueAt).Seconds()
	if elapsed <= 0 {
		return s.queue
	}
	return max(0, s.queue-elapsed*s.prefillRate())
}

func (s *endpointState) prefillRate() float64 {
	if s.Load.PrefillRate > 0 {
		return s.Load.PrefillRate
	}
	return defaultPrefillRate
}

// running predicts the requests at the endpoint; this gateway's own requests are certain.
func (s *endpointState) running() int {
	return max(s.ownRequests, s.Load.Running+s.Load.Waiting+s.requests)
}

// predictFirstToken returns the predicted seconds to the first token of a request with the given uncached prompt tokens.
func (s *endpointState) predictFirstToken(uncached int, now time.Time) float64 {
	if s.Load.PrefillRate <= 0 && uncached == 0 {
		return s.predictResponse()
	}
	return float64(uncached)/s.prefillRate() + s.queueTime(now)
}

// queueTime returns the predicted seconds until the endpoint has worked off its prefill queue. Half of this gateway's tokens
// without a first token bound it from below: an endpoint that has stopped working would else look idle once its predicted
// queue has run out.
func (s *endpointState) queueTime(now time.Time) float64 {
	return max(s.queueNow(now), s.ownPrefill/2) / s.prefillRate()
}

// freePieces predicts the free KV pieces. Requests that wait at the endpoint will take memory that still counts as free.
func (s *endpointState) freePieces() int {
	return s.Load.KVFree - s.pieces - int(s.pool.meanPieces*float64(s.Load.Waiting))
}

// predictResponse is the prediction for a plain service, which has no prefill.
func (s *endpointState) predictResponse() float64 {
	average := s.response
	if average == 0 {
		average = defaultResponse
	}
	return average * (1 + float64(s.running())/float64(max(1, s.Load.Slots)))
}

// slotPrice weighs the decode time of the request with the use of the endpoint's slots.
func (s *endpointState) slotPrice(outputTokens int) float64 {
	if s.Load.Slots == 0 || s.Load.DecodeRate <= 0 {
		return 0
	}
	use := float64(s.running()) / float64(s.Load.Slots)
	decode := float64(outputTokens) * float64(s.Load.Slots) / s.Load.DecodeRate
	return decodePrice * decode * use * use
}

func (s *endpointState) observe(o Outcome) {
	if o.Failed || o.TimeToFirstToken <= 0 {
		return
	}
	seconds := o.TimeToFirstToken.Seconds()
	if s.response == 0 {
		s.response = seconds
		return
	}
	s.response += responseWeight * (seconds - s.response)
}

// serves tells whether the endpoint may run the request at all.
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
	case r.Adapter != "" && !slices.Contains(s.Load.Adapters, r.Adapter):
		return false
	}
	return !slices.Contains(r.Exclude, s.Name)
}

// eligible tells whether the endpoint may run the request now: it is neither ejected nor saturated.
func (s *endpointState) eligible(r *Request, now time.Time) bool {
	if r.apart != apartAnyway && !s.apartFrom(r) {
		return false
	}
	return !s.ejection.excluded(now) && s.serves(r) && !s.full(r, now)
}

// full tells whether the endpoint has no slot, memory or time for the request.
func (s *endpointState) full(r *Request, now time.Time) bool {
	if s.Load.Slots > 0 && s.running() >= s.Load.Slots || s.queueTime(now) > saturatedQueueTime {
		return true
	}
	if s.Load.KVTotal == 0 {
		return false
	}
	free := s.freePieces() - pieces(r.OutputTokens)
	if free >= pieces(r.PromptTokens) {
		return false
	}
	// A cached prefix needs no new pieces.
	return free < pieces(r.PromptTokens-min(s.expectedHit(r.Prefix, now), r.PromptTokens))
}
