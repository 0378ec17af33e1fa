package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
)

const (
	// sampleSize is the number of endpoints drawn at random for one choice. If gateways compared all endpoints, all of them would choose
	// the one whose outdated report shows the lowest load.
	sampleSize = 4
	// maxPrefixHolders bounds the endpoints that are added to the sample because they hold the prompt's prefix.
	maxPrefixHolders = 4
	// decodeCostWeight weighs the decode time of a request on a busy endpoint against its first-token time, so that requests
	// with long outputs prefer endpoints with free decode slots.
	decodeCostWeight = 0.05
)

// Balancer chooses endpoints for requests. It is safe for concurrent use.
type Balancer struct {
	mu        sync.Mutex
	rng       *rand.Rand
	subsetKey string
	pools     map[string]*pool
	endpoints map[string]*endpointState
	index     cacheIndex
	// ownsEndpoint is set by SetSuspectOwnership; it may be nil.
	ownsEndpoint func(endpoint string) bool
	// onEject is called with mu held when an endpoint of a pool is ejected.
	onEject func(pool string)
	// pendingDeltas holds the changes of load by endpoint since the last CollectLoadDeltas, for peer gateways.
	pendingDeltas map[string]LoadDelta
}

// New returns a balancer without endpoints. The seed determines the sampling of candidates and the subsets, so each gateway needs a
// different one.
func New(seed uint64) *Balancer {
	return &Balancer{
		rng:           rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		subsetKey:     strconv.FormatUint(seed, 16),
		pools:         make(map[string]*pool),
		endpoints:     make(map[string]*endpointState),
		index:         make(cacheIndex),
		pendingDeltas: make(map[string]LoadDelta),
	}
}

// OnEject registers a function that is called with the pool's name when an endpoint is ejected. The function must not call the balancer.
// Call OnEject before the first use of the balancer.
func (b *Balancer) OnEject(f func(pool string)) { b.onEject = f }

// candidate is an endpoint with its predictions for one request.
type candidate struct {
	state             *endpointState
	cachedTokens      int
	firstTokenSeconds float64 // predicted time to the first token
	score             float64 // firstTokenSeconds plus slotCost; lower is better
}

// Choose chooses an endpoint and counts the request as dispatched to it. It returns an *apierror.Error of kind Overloaded or Unavailable
// when no endpoint can take the request; the request must not be dispatched then.
func (b *Balancer) Choose(r Request) (*Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	p := b.pools[r.Pool]
	if p == nil || len(p.members) == 0 {
		return nil, unavailableError(r.Pool)
	}
	p.sortMembers(b.subsetKey)
	p.narrow(now)
	if best, found := b.bestIsolated(p, &r, now); found {
		return b.assign(best, &r, now), nil
	}
	if r.isolatedOnly {
		return nil, b.refusalError(p, &r, now)
	}
	for {
		best, found := b.bestCandidate(p, &r, now)
		if found {
			p.recordPressure(now, best.firstTokenSeconds)
			return b.assign(best, &r, now), nil
		}
		if p.widen(now) {
			continue
		}
		if s, found := p.lastResortEndpoint(&r, now); found {
			p.nextLastResort = now.Add(baseEjectionTime)
			return b.assign(b.predict(s, &r, now), &r, now), nil
		}
		return nil, b.refusalError(p, &r, now)
	}
}

// bestCandidate returns the candidate with the lowest score in the pool's subset.
func (b *Balancer) bestCandidate(p *pool, r *Request, now time.Time) (candidate, bool) {
	var list [sampleSize + maxPrefixHolders]*endpointState
	candidates := b.sample(list[:0], p, r, now)
	if len(r.Prefix) > 0 {
		candidates = b.addPrefixHolders(candidates, p, r, now)
	}
	var best candidate
	found := false
	for _, s := range candidates {
		c := b.predict(s, r, now)
		if !found || c.score < best.score {
			best, found = c, true
		}
	}
	return best, found
}

// sample appends up to sampleSize eligible endpoints of the subset to out. Random draws find them fast while most endpoints are eligible.
// In a small subset, or when the draws find none, a scan from a random start finds all that are eligible.
func (b *Balancer) sample(out []*endpointState, p *pool, r *Request, now time.Time) []*endpointState {
	subset := p.members[:p.subsetSize()]
	if len(subset) > 2*sampleSize {
		for tries := 0; tries < 3*sampleSize && len(out) < sampleSize; tries++ {
			s := subset[b.rng.IntN(len(subset))]
			if !slices.Contains(out, s) && s.eligible(r, now) {
				out = append(out, s)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	start := b.rng.IntN(len(subset))
	for i := range subset {
		s := subset[(start+i)%len(subset)]
		if len(out) < sampleSize && s.eligible(r, now) {
			out = append(out, s)
		}
	}
	return out
}

// addPrefixHolders appends up to maxPrefixHolders eligible endpoints of the pool that hold the longest cached part of the prompt's prefix.
func (b *Balancer) addPrefixHolders(out []*endpointState, p *pool, r *Request, now time.Time) []*endpointState {
	holders := b.index.holders(r.Prefix)
	if len(holders) == 0 {
		return out
	}
	start := b.rng.IntN(len(holders))
	added := 0
	for i := range holders {
		s := holders[(start+i)%len(holders)]
		if added == maxPrefixHolders {
			break
		}
		if s.pool == p && !slices.Contains(out, s) && s.eligible(r, now) {
			out = append(out, s)
			added++
		}
	}
	return out
}

// predict returns the predictions of one endpoint for a request.
func (b *Balancer) predict(s *endpointState, r *Request, now time.Time) candidate {
	cached := min(s.expectedCachedTokens(r.Prefix, now), r.PromptTokens)
	seconds := s.predictFirstToken(r.PromptTokens-cached, now)
	return candidate{state: s, cachedTokens: cached, firstTokenSeconds: seconds, score: seconds + s.slotCost(r.OutputTokens)}
}

// assign counts the request as dispatched to the candidate.
func (b *Balancer) assign(c candidate, r *Request, now time.Time) *Choice {
	s := c.state
	w := work{timestamp: now, uncachedTokens: float64(r.PromptTokens - c.cachedTokens), requests: 1, kvBlocks: kvBlocks(r.PromptTokens-c.cachedTokens) + kvBlocks(r.OutputTokens)}
	s.addOwn(w)
	s.addSuspect(r.SuspectFingerprint)
	s.pool.recordSize(w)
	probe := s.ejection.beginProbe()
	delta := b.pendingDeltas[s.Name]
	delta.PromptTokens += int64(w.uncachedTokens)
	delta.Requests++
	b.pendingDeltas[s.Name] = delta
	return &Choice{
		Endpoint: s.Endpoint.Endpoint, Instance: s.Load.Instance, SoftwareVersion: s.Load.SoftwareVersion, CachedTokens: c.cachedTokens,
		PredictedFirstTokenTime: time.Duration(c.firstTokenSeconds * float64(time.Second)),
		balancer:                b, state: s, work: w, suspectFingerprint: r.SuspectFingerprint, probe: probe, inPrefill: true,
	}
}

func (b *Balancer) recordFirstToken(c *Choice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.inPrefill {
		c.inPrefill = false
		c.state.ownPrefillTokens -= c.work.uncachedTokens
		c.state.ejection.recordFirstToken(c.probe)
	}
}

func (b *Balancer) finish(c *Choice, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.finished {
		return
	}
	c.finished = true
	if c.inPrefill {
		c.inPrefill = false
		c.state.ownPrefillTokens -= c.work.uncachedTokens
	}
	now := time.Now()
	c.state.removeOwn(c.work, now)
	c.state.removeSuspect(c.suspectFingerprint)
	if b.endpoints[c.state.Name] == c.state {
		delta := b.pendingDeltas[c.state.Name]
		delta.Requests--
		b.pendingDeltas[c.state.Name] = delta
	}
	c.state.recordResponseTime(o)
	if o.Pause > 0 {
		if until := now.Add(o.Pause); until.After(c.state.pausedUntil) {
			c.state.pausedUntil = until
		}
		if c.probe {
			c.state.ejection.probing = false
		}
		return
	}
	if c.state.ejection.recordOutcome(c.state.pool, o.Failed, c.probe, now) && b.onEject != nil {
		b.onEject(c.state.pool.name)
	}
}

// refusalError returns the error when no endpoint can take the request: Overloaded when an endpoint could serve it but is full, otherwise
// Unavailable.
func (b *Balancer) refusalError(p *pool, r *Request, now time.Time) error {
	pause, found := time.Duration(0), false
	for _, s := range p.members {
		if s.serves(r) && !s.ejection.excluded(now) {
			if left := s.pausedUntil.Sub(now); !found || left < pause {
				pause, found = left, true
			}
		}
	}
	if !found {
		return unavailableError(r.Pool)
	}
	e := apierror.New(apierror.Overloaded, "retry after the stated time; if it persists, the pool needs more endpoints",
		"all endpoints of pool %s are at their limit of slots or memory, or asked for a pause", r.Pool)
	e.RetryAfterSeconds = max(1, int(math.Ceil(pause.Seconds())))
	return e
}

func unavailableError(pool string) error {
	return apierror.New(apierror.Unavailable, "retry later; if it persists, an operator should check the pool with 'crocusgladectl endpoints'",
		"pool %s has no endpoint that takes this request", pool)
}
