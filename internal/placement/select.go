package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusglade.example/crocusglade/internal/catalog"
)

// Weights turn costs that are not waiting time into milliseconds of waiting, so that plans can be compared.
type Weights struct {
	// EngineBusy is for each millisecond of reading that a plan costs the fleet.
	EngineBusy float64
	// TransferGB is for each GB of memory moved between engines.
	TransferGB float64
	// CrossDomain is for each request that is sent to another failure domain.
	CrossDomain float64
}

// DefaultWeights come from rounds on the users' bench, see docs/measurements.md.
var DefaultWeights = Weights{EngineBusy: 2, TransferGB: 20, CrossDomain: 14}

// Prompt describes what has to be known of a request to place it.
type Prompt struct {
	Model string
	Parts []Part
	// Tokens is the length of the whole prompt, MaxOutput the largest number of tokens made.
	Tokens    int
	MaxOutput int
	// MaxWait is the longest time for which the request may wait behind other work, MaxTimeToFirstToken the time in which its first token has
	// to come. 0 is no limit.
	MaxWait, MaxTimeToFirstToken time.Duration
}

// SharedPrefixID returns the id of the last part that the prompt shares with others; empty if there is none.
func (p *Prompt) SharedPrefixID() string {
	if len(p.Parts) < 2 {
		return ""
	}
	return p.Parts[len(p.Parts)-2].ID
}

// shared returns the parts that other requests use too.
func (p *Prompt) shared() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// option is a way to serve a prompt, with its predicted costs in milliseconds.
type option struct {
	reader, runner *endpoint
	readerFetch    *endpoint
	runnerFetch    *endpoint
	unread         int
	// estimate is the time to the first token, predicted the same with the correction for the kind of plan.
	estimate  float64
	predicted float64
	// wait is the part of the prediction for work that is ahead.
	wait  float64
	score float64
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// PlacePrompt chooses the engines for a prompt and counts it as sent. It returns nil if no engine can take it. Endpoints whose
// ids are excluded are not chosen.
//
// A prompt that would wait beyond its limits is not sent: the plan says by how much. So a load beyond what the engines read costs
// the requests that are too many. Without limits all wait until their callers give up, and nobody is served. What counts is the
// wait and not the whole time, so that long prompts are served like short ones.
func (f *Fleet) PlacePrompt(service string, p *Prompt, exclude map[string]bool) *Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	if s == nil {
		return nil
	}
	readers, runners := f.engines(service, p.Model, exclude)
	if len(runners) == 0 {
		return nil
	}
	keepers := f.keepers(service, p)
	best := f.bestDirect(s, p, runners, keepers)
	s.asked += float64(best.unread)
	if split := f.bestSplit(s, p, readers, runners, keepers); split != nil && split.score < best.score {
		best = split
	}
	if over := p.over(best); over > 0 {
		return &Plan{Predicted: milliseconds(best.predicted), LimitExcess: over}
	}
	return f.commit(p, best)
}

// engines returns the engines of a service that take work, by role. Engines that fail are left out while others remain.
func (f *Fleet) engines(service, model string, exclude map[string]bool) (readers, runners []*endpoint) {
	now := time.Now()
	for _, healthyOnly := range []bool{true, false} {
		readers, runners = nil, nil
		for _, e := range f.ordered {
			if e.Service != service || e.Leaving || exclude[e.ID] || !e.HasModel(model) || healthyOnly && e.ejected(now) {
				continue
			}
			if e.Role == catalog.Prefill {
				readers = append(readers, e)
			} else {
				runners = append(runners, e)
			}
		}
		if len(runners) > 0 {
			return readers, runners
		}
	}
	return readers, runners
}

// HasOtherEndpoint tells whether an endpoint other than the given one can run a request now. Endpoints whose ids are excluded don't count.
func (f *Fleet) HasOtherEndpoint(service, model, id string, exclude map[string]bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, e := range f.ordered {
		if e.Service == service && e.ID != id && e.Role != catalog.Prefill && !e.Leaving && !exclude[e.ID] && e.HasModel(model) && !e.ejected(now) {
			return true
		}
	}
	return false
}

// bestDirect returns the best way in which the engine that makes the tokens reads the prompt too.
func (f *Fleet) bestDirect(s *serviceState, p *Prompt, runners []*endpoint, keepers []keeper) *option {
	var best *option
	late := s.directLate.at(time.Now())
	for _, e := range runners {
		o := &option{runner: e}
		read, fetch, from := f.readTime(s, p, e, s.rate/decodeSlowdown, keepers)
		o.runnerFetch, o.unread = from.source, from.unread
		wait := e.unread() / (s.rate / decodeSlowdown)
		o.estimate = wait + fetch + read + firstTokenOverhead
		o.predicted, o.wait = o.estimate+late, wait+late
		o.score = o.predicted + f.weights.EngineBusy*read + f.weights.TransferGB*from.gb + f.spread(p, e)
		if best == nil || o.score < best.score {
			best = o
		}
	}
	return best
}

// bestSplit returns the best way in which a prefill engine reads the prompt, or nil if there is none.
func (f *Fleet) bestSplit(s *serviceState, p *Prompt, readers, runners []*endpoint, keepers []keeper) *option {
	var best *option
	late := s.splitLate.at(time.Now())
	runners = leastBusyByDomain(s, runners)
	for _, r := range readers {
		read, fetch, from := f.readTime(s, p, r, s.rate, keepers)
		wait := r.unread() / s.rate
		runner, handOver, gb := f.receiver(s, p, r, runners)
		o := &option{reader: r, runner: runner, readerFetch: from.source, unread: from.unread}
		o.estimate = wait + fetch + read + handOver + hopCost + firstTokenOverhead
		o.predicted, o.wait = o.estimate+late, wait+late
		o.score = o.predicted + f.weights.EngineBusy*read + f.weights.TransferGB*(from.gb+gb) + f.spread(p, r)
		if best == nil || o.score < best.score {
			best = o
		}
	}
	return best
}

// leastBusyByDomain returns the engine with the least work in each failure domain. Among the engines of one domain nothing else
// tells receivers apart.
func leastBusyByDomain(s *serviceState, runners []*endpoint) []*endpoint {
	var least []*endpoint
	at := make(map[string]int)
	for _, e := range runners {
		i, ok := at[e.FailureDomain]
		switch {
		case !ok:
			at[e.FailureDomain] = len(least)
			least = append(least, e)
		case s.busy(e) < s.busy(least[i]):
			least[i] = e
		}
	}
	return least
}

// busy is the time in milliseconds by which an engine's work delays a request that it takes over.
func (s *serviceState) busy(e *endpoint) float64 {
	return float64(e.running()) + e.unread()/(s.rate/decodeSlowdown)
}

// receiver chooses the decode engine that takes over a prompt from a reader.
func (f *Fleet) receiver(s *serviceState, p *Prompt, reader *endpoint, runners []*endpoint) (best *endpoint, handOver, gb float64) {
	bestScore := 0.0
	gb = float64(p.Tokens) * s.tokenBytes() / 1e9
	for _, e := range runners {
		transfer := f.transferTime(s, p.Tokens, reader, e)
		score := transfer + f.weights.TransferGB*gb + s.busy(e)
		if e.FailureDomain != f.domain {
			score += f.weights.CrossDomain
		}
		if best == nil || score < bestScore {
			best, bestScore, handOver = e, score, transfer
		}
	}
	return best, handOver, gb
}

// source is where an engine gets the shared parts that it lacks.
type source struct {
	source *endpoint
	unread int
	gb     float64
}

// keeper is an engine that others can fetch the first tokens of a prompt from.
type keeper struct {
	*endpoint
	tokens int
}

// keepers returns the engine of each failure domain that keeps most of a prompt's shared parts.
func (f *Fleet) keepers(service string, p *Prompt) []keeper {
	var best []keeper
	at := make(map[string]int)
	now, shared := time.Now(), p.shared()
	for _, e := range f.ordered {
		if e.Service != service || e.Leaving {
			continue
		}
		tokens := e.cache.fetchable(shared, now)
		if tokens == 0 {
			continue
		}
		i, ok := at[e.FailureDomain]
		switch {
		case !ok:
			at[e.FailureDomain] = len(best)
			best = append(best, keeper{e, tokens})
		case tokens > best[i].tokens:
			best[i] = keeper{e, tokens}
		}
	}
	return best
}

// readTime predicts how long an engine reads a prompt at a rate, and how long it first fetches shared parts from a keeper.
func (f *Fleet) readTime(s *serviceState, p *Prompt, e *endpoint, rate float64, keepers []keeper) (read, fetch float64, from source) {
	cached := e.cache.cached(p.Parts)
	from.unread = max(p.Tokens-cached, 0)
	bestTokens := 0
	for _, k := range keepers {
		if extra := k.tokens - cached; extra > bestTokens && k.endpoint != e {
			time := f.transferTime(s, extra, k.endpoint, e)
			if time < float64(extra)/rate {
				bestTokens, fetch, from.source = extra, time, k.endpoint
			}
		}
	}
	from.unread -= bestTokens
	from.gb = float64(bestTokens) * s.tokenBytes() / 1e9
	return float64(from.unread) / rate, fetch, from
}

func (s *serviceState) tokenBytes() float64 {
	if s.engine == nil {
		return 0
	}
	return s.engine.KVBytesPerToken
}

// transferTime predicts the time in milliseconds to move the memory of some tokens between two engines.
func (f *Fleet) transferTime(s *serviceState, tokens int, from, to *endpoint) float64 {
	if s.engine == nil || s.engine.LinkMbps <= 0 {
		return transferSetup
	}
	ms := float64(tokens) * s.engine.KVBytesPerToken * 8 / (s.engine.LinkMbps * 1e3)
	if from.FailureDomain != to.FailureDomain {
		ms *= crossDomainFactor
	}
	return transferSetup + ms
}

// spread prefers engines in the VM's own failure domain, and orders equal ones by the prompt's subject, so that all VMs choose
// the same home for a new subject.
func (f *Fleet) spread(p *Prompt, e *endpoint) float64 {
	cost := 0.0
	if e.FailureDomain != f.domain {
		cost = f.weights.CrossDomain
	}
	return cost + float64(xxhash.Sum64String(p.SharedPrefixID()+"\x00"+e.ID)%1024)/1024
}

// PlaceCall chooses an endpoint of a plain service and counts the request as sent. It returns nil if none can take it.
func (f *Fleet) PlaceCall(service string, exclude map[string]bool) *Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, candidates := f.engines(service, "", exclude)
	var best *endpoint
	bestScore := 0.0
	for _, e := range candidates {
		score := float64(e.running()) / float64(max(e.Slots, 1))
		if e.FailureDomain != f.domain {
			score += 0.35 // a third of the slots: below that, another failure domain costs more than it gains
		}
		if e.WarmupRemaining > 0 {
			score += 0.5
		}
		score += e.failureShare() * 3
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	if best == nil {
		return nil
	}
	return f.send(best, 0, false)
}
