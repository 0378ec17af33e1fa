package balancer

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
)

const (
	// sampled is the number of endpoints drawn at random for one choice. Comparing all of them would send every gateway to
	// the endpoint whose late report looks best.
	sampled = 4
	// maxHolders bounds the endpoints that are added to the sample because they hold the prompt's prefix.
	maxHolders = 4
	// decodePrice weighs the decode time of a request on a busy endpoint against its first-token time, so that requests
	// with long outputs prefer endpoints with free decode slots.
	decodePrice = 0.05
)

// Balancer chooses endpoints. Its methods may be called concurrently.
type Balancer struct {
	mu        sync.Mutex
	rng       *rand.Rand
	subsetKey string
	pools     map[string]*pool
	endpoints map[string]*endpointState
	index     cacheIndex
	// owns is set by SetSuspectOwnership.
	owns func(endpoint string) bool
	// onEject is called, under the lock, when an endpoint of a pool is ejected.
	onEject func(pool string)
	// pending holds the sends that neighbours have not been told of.
	pending map[string]LoadDelta
}

// New returns a balancer with no endpoints. The seed drives the sampling of candidates and the choice of subsets, so each
// gateway needs its own.
func New(seed uint64) *Balancer {
	return &Balancer{
		rng:       rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		subsetKey: strconv.FormatUint(seed, 16),
		pools:     make(map[string]*pool),
		endpoints: make(map[string]*endpointState),
		index:     make(cacheIndex),
		pending:   make(map[string]LoadDelta),
	}
}

// OnEject registers a function that is called with the pool's name when an endpoint is ejected. It must not call the balancer.
// Register before use.
func (b *Balancer) OnEject(f func(pool string)) { b.onEject = f }

// candidate is an endpoint with its predicted figures for one request.
type candidate struct {
	state     *endpointState
	cached    int
	firstWait float64 // seconds to the first token
	score     float64 // seconds, first token plus the price of the decode slot
}

// Choose picks an endpoint and counts the request as sent to it. It returns an *apierror.Error of kind Overloaded or
// Unavailable when no endpoint can take the request; nothing has been sent then.
func (b *Balancer) Choose(r Request) (*Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	p := b.pools[r.Pool]
	if p == nil || len(p.members) == 0 {
		return nil, unavailable(r.Pool)
	}
	p.order(b.subsetKey)
	p.narrow(now)
	if best, found := b.bestApart(p, &r, now); found {
		return b.take(best, &r, now), nil
	}
	if r.onlyApart {
		return nil, b.refusal(p, &r, now)
	}
	for {
		best, found := b.best(p, &r, now)
		if found {
			p.notePressure(now, best.firstWait)
			return b.take(best, &r, now), nil
		}
		if p.widen(now) {
			continue
		}
		if s, found := p.lastResort(&r, now); found {
			p.resortAt = now.Add(firstEjection)
			return b.take(b.predict(s, &r, now), &r, now), nil
		}
		return nil, b.refusal(p, &r, now)
	}
}

// best returns the candidate with the lowest score in the pool's subset.
func (b *Balancer) best(p *pool, r *Request, now time.Time) (candidate, bool) {
	var list [sampled + maxHolders]*endpointState
	candidates := b.sample(list[:0], p, r, now)
	if len(r.Prefix) > 0 {
		candidates = b.addHolders(candidates, p, r, now)
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

// sample draws eligible endpoints of the subset at random. Random draws find them fast while most are eligible; after too
// many misses a scan from a random start makes sure that an eligible endpoint is found.
func (b *Balancer) sample(out []*endpointState, p *pool, r *Request, now time.Time) []*endpointState {
	subset := p.members[:p.subsetSize()]
	if len(subset) > 2*sampled {
		for tries := 0; tries < 3*sampled && len(out) < sampled; tries++ {
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
		if len(out) < sampled && s.eligible(r, now) {
			out = append(out, s)
		}
	}
	return out
}

// addHolders adds endpoints of the pool that hold the longest known part of the prompt's prefix.
func (b *Balancer) addHolders(out []*endpointState, p *pool, r *Request, now time.Time) []*endpointState {
	holders := b.index.holders(r.Prefix)
	if len(holders) == 0 {
		return out
	}
	start := b.rng.IntN(len(holders))
	added := 0
	for i := range holders {
		s := holders[(start+i)%len(holders)]
		if added == maxHolders {
			break
		}
		if s.pool == p && !slices.Contains(out, s) && s.eligible(r, now) {
			out = append(out, s)
			added++
		}
	}
	return out
}

// predict computes the figures of one endpoint for a request.
func (b *Balancer) predict(s *endpointState, r *Request, now time.Time) candidate {
	cached := min(s.expectedHit(r.Prefix, now), r.PromptTokens)
	wait := s.predictFirstToken(r.PromptTokens-cached, now)
	return candidate{state: s, cached: cached, firstWait: wait, score: wait + s.slotPrice(r.OutputTokens)}
}

// take counts the request as sent to the candidate.
func (b *Balancer) take(c candidate, r *Request, now time.Time) *Choice {
	s := c.state
	w := work{at: now, tokens: float64(r.PromptTokens - c.cached), requests: 1, pieces: pieces(r.PromptTokens-c.cached) + pieces(r.OutputTokens)}
	s.addOwn(w)
	s.addSuspect(r.SuspectFingerprint)
	s.pool.noteSize(w)
	probe := s.ejection.beginProbe()
	sent := b.pending[s.Name]
	sent.PromptTokens += int64(w.tokens)
	sent.Requests++
	b.pending[s.Name] = sent
	return &Choice{
		Endpoint: s.Endpoint.Endpoint, Instance: s.Load.Instance, CachedTokens: c.cached,
		PredictedFirstTokenTime: time.Duration(c.firstWait * float64(time.Second)),
		balancer:                b, state: s, work: w, suspect: r.SuspectFingerprint, probe: probe, prefill: true,
	}
}

func (b *Balancer) firstToken(c *Choice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.prefill {
		c.prefill = false
		c.state.ownPrefill -= c.work.tokens
		c.state.ejection.firstToken(c.probe)
	}
}

func (b *Balancer) finish(c *Choice, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.finished {
		return
	}
	c.finished = true
	if c.prefill {
		c.prefill = false
		c.state.ownPrefill -= c.work.tokens
	}
	now := time.Now()
	c.state.removeOwn(c.work, now)
	c.state.removeSuspect(c.suspect)
	if b.endpoints[c.state.Name] == c.state {
		ended := b.pending[c.state.Name]
		ended.Requests--
		b.pending[c.state.Name] = ended
	}
	c.state.observe(o)
	if c.state.ejection.record(c.state.pool, o.Failed, c.probe, now) && b.onEject != nil {
		b.onEject(c.state.pool.name)
	}
}

// refusal tells why no endpoint can take the request: Overloaded when some could but are full, else Unavailable.
func (b *Balancer) refusal(p *pool, r *Request, now time.Time) error {
	for _, s := range p.members {
		if s.serves(r) && !s.ejection.excluded(now) {
			e := apierror.New(apierror.Overloaded, "retry after the stated time; if it persists, the pool needs more endpoints",
				"all endpoints of pool %s are at their limit of slots or memory", r.Pool)
			e.RetryAfterSeconds = 1
			return e
		}
	}
	return unavailable(r.Pool)
}

func unavailable(pool string) error {
	return apierror.New(apierror.Unavailable, "retry later; if it persists, an operator should check the pool with 'crocusgladectl endpoints'",
		"pool %s has no endpoint that takes this request", pool)
}
