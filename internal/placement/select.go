package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/continuation"
)

// Weights convert the costs of a plan other than latency into milliseconds, so that plans can be compared.
type Weights struct {
	// PrefillTime is the cost in milliseconds for each millisecond of prefill.
	PrefillTime float64
	// TransferGB is the cost in milliseconds for each GB of KV cache moved between engines.
	TransferGB float64
	// CrossDomain is the cost in milliseconds of sending a request to another failure domain.
	CrossDomain float64
}

// DefaultWeights weigh the latency of a prompt against the prefill capacity, the KV cache transfers and the traffic between failure domains
// that its plan uses.
var DefaultWeights = Weights{PrefillTime: 2, TransferGB: 20, CrossDomain: 14}

// Prompt describes a prompt for placement.
type Prompt struct {
	// Model is the model that the engine must have loaded; empty for any.
	Model string
	// Parts are the segments of the prompt in order. All but the last may be shared with other prompts.
	Parts []Part
	// Tokens is the length of the whole prompt, MaxOutput the largest number of tokens to generate.
	Tokens    int
	MaxOutput int
	// MaxWait is the longest queueing time behind other work, MaxTimeToFirstToken the latest time for the first token. 0 is no limit.
	MaxWait, MaxTimeToFirstToken time.Duration
}

// SharedPrefixID returns the ID of the last shared part of the prompt; empty if there is none.
func (p *Prompt) SharedPrefixID() string {
	if len(p.Parts) < 2 {
		return ""
	}
	return p.Parts[len(p.Parts)-2].ID
}

// sharedParts returns all parts but the last, which is the request's own.
func (p *Prompt) sharedParts() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// SharedPartIDs returns the IDs of all parts but the last, which is the request's own.
func (p *Prompt) SharedPartIDs() []string {
	ids := make([]string, 0, len(p.Parts))
	for _, part := range p.sharedParts() {
		ids = append(ids, part.ID)
	}
	return ids
}

// option is a possible placement of a prompt. Times are in milliseconds.
type option struct {
	// prefillEngine is nil for a direct option, in which the decode engine prefills the prompt itself.
	prefillEngine, decodeEngine *endpoint
	// prefillFetchFrom and decodeFetchFrom are the engines from which these fetch cached parts; nil for none.
	prefillFetchFrom *endpoint
	decodeFetchFrom  *endpoint
	prefillTokens    int
	// estimate is the predicted time to the first token without the correction for direct or split plans, predicted the same with it.
	estimate  float64
	predicted float64
	// wait is the part of the prediction that is spent behind other work.
	wait float64
	// score is the prediction plus the weighted costs; the lowest score wins.
	score float64
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// PlacePrompt selects the engines for a prompt and starts the attempts at them. It returns nil if no engine accepts the prompt.
// Only endpoints that the filter allows are selected.
//
// A prompt that would exceed its limits gets a plan without attempts that has LimitExcess set. Under overload this refuses only the
// excess requests; without limits all requests would wait until their callers give up, and none would be served. MaxWait limits the
// queueing time and not the whole time, so that long prompts are served like short ones.
func (f *Fleet) PlacePrompt(service string, p *Prompt, filter Filter) *Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	if s == nil {
		return nil
	}
	prefillEngines, decodeEngines := f.eligibleEngines(service, p.Model, filter)
	if len(decodeEngines) == 0 {
		return nil
	}
	sources := f.fetchSources(service, p)
	best := f.bestDirect(s, p, decodeEngines, sources)
	s.demandTokens += float64(best.prefillTokens)
	if split := f.bestSplit(s, p, prefillEngines, decodeEngines, sources); split != nil && split.score < best.score {
		best = split
	}
	if excess := p.limitExcess(best); excess > 0 {
		return &Plan{Predicted: milliseconds(best.predicted), LimitExcess: excess}
	}
	return f.commit(p, best)
}

// eligibleEngines returns the engines of a service that accept work, by role. Endpoints without a role count as decode engines.
// Ejected engines are included only if no other decode engine is left; those that leave or pause never are.
func (f *Fleet) eligibleEngines(service, model string, filter Filter) (prefillEngines, decodeEngines []*endpoint) {
	now := time.Now()
	for _, healthyOnly := range []bool{true, false} {
		prefillEngines, decodeEngines = nil, nil
		for _, e := range f.ordered {
			if e.Service != service || !e.acceptsMore(now) || !filter.allows(e) || !e.HasModel(model) || healthyOnly && e.ejected(now) {
				continue
			}
			if e.Role == catalog.Prefill {
				prefillEngines = append(prefillEngines, e)
			} else {
				decodeEngines = append(decodeEngines, e)
			}
		}
		if len(decodeEngines) > 0 {
			return prefillEngines, decodeEngines
		}
	}
	return prefillEngines, decodeEngines
}

// HasOtherEndpoint reports whether a healthy endpoint other than id that the filter allows can run a request now.
func (f *Fleet) HasOtherEndpoint(service, model, id string, filter Filter) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, e := range f.ordered {
		if e.Service == service && e.ID != id && e.Role != catalog.Prefill && e.accepts(now) && filter.allows(e) && e.HasModel(model) && !e.ejected(now) {
			return true
		}
	}
	return false
}

// bestDirect returns the best option in which the decode engine also prefills the prompt.
func (f *Fleet) bestDirect(s *serviceState, p *Prompt, decodeEngines []*endpoint, sources []fetchSource) *option {
	var best *option
	correctionMS := s.directCorrection.valueAt(time.Now())
	for _, e := range decodeEngines {
		o := &option{decodeEngine: e}
		prefill, fetch, work := f.prefillTime(s, p, e, s.prefillRate/decodePrefillSlowdown, sources)
		o.decodeFetchFrom, o.prefillTokens = work.fetchFrom, work.tokens
		wait := e.prefillBacklog() / (s.prefillRate / decodePrefillSlowdown)
		o.estimate = wait + fetch + prefill + firstTokenOverheadMS
		o.predicted, o.wait = o.estimate+correctionMS, wait+correctionMS
		o.score = o.predicted + f.weights.PrefillTime*prefill + f.weights.TransferGB*work.transferGB + f.localityCost(p, e)
		if best == nil || o.score < best.score {
			best = o
		}
	}
	return best
}

// bestSplit returns the best option in which a prefill engine prefills the prompt and a decode engine generates the tokens, or nil if
// there is no prefill engine.
func (f *Fleet) bestSplit(s *serviceState, p *Prompt, prefillEngines, decodeEngines []*endpoint, sources []fetchSource) *option {
	var best *option
	correctionMS := s.splitCorrection.valueAt(time.Now())
	decodeEngines = leastLoadedByDomain(s, decodeEngines)
	for _, e := range prefillEngines {
		prefill, fetch, work := f.prefillTime(s, p, e, s.prefillRate, sources)
		wait := e.prefillBacklog() / s.prefillRate
		decodeEngine, transfer, gb := f.selectDecodeEngine(s, p, e, decodeEngines)
		if decodeEngine == nil {
			continue
		}
		o := &option{prefillEngine: e, decodeEngine: decodeEngine, prefillFetchFrom: work.fetchFrom, prefillTokens: work.tokens}
		o.estimate = wait + fetch + prefill + transfer + hopCostMS + firstTokenOverheadMS
		o.predicted, o.wait = o.estimate+correctionMS, wait+correctionMS
		o.score = o.predicted + f.weights.PrefillTime*prefill + f.weights.TransferGB*(work.transferGB+gb) + f.localityCost(p, e)
		if best == nil || o.score < best.score {
			best = o
		}
	}
	return best
}

// leastLoadedByDomain returns the decode engine with the least load of each software version in each failure domain. Within a domain the engines
// of a version differ only in their load: transfers to them take the same time.
func leastLoadedByDomain(s *serviceState, decodeEngines []*endpoint) []*endpoint {
	var least []*endpoint
	index := make(map[string]int)
	for _, e := range decodeEngines {
		group := e.FailureDomain + "\x00" + e.SoftwareVersion
		i, ok := index[group]
		switch {
		case !ok:
			index[group] = len(least)
			least = append(least, e)
		case s.loadDelay(e) < s.loadDelay(least[i]):
			least[i] = e
		}
	}
	return least
}

// loadDelay returns the time in milliseconds by which an engine's current work delays a new request: one for each running request, and
// the time to prefill its backlog.
func (s *serviceState) loadDelay(e *endpoint) float64 {
	return float64(e.running()) + e.prefillBacklog()/(s.prefillRate/decodePrefillSlowdown)
}

// selectDecodeEngine selects the decode engine for a prompt that another engine prefills, nil if none can use its KV cache. It also returns the time in milliseconds to
// transfer the KV cache and the cache's size in GB.
func (f *Fleet) selectDecodeEngine(s *serviceState, p *Prompt, prefillEngine *endpoint, decodeEngines []*endpoint) (best *endpoint, transferMS, gb float64) {
	bestScore := 0.0
	gb = float64(p.Tokens) * s.kvBytesPerToken() / 1e9
	for _, e := range decodeEngines {
		if !continuation.SharesCache(prefillEngine.SoftwareVersion, e.SoftwareVersion) {
			continue
		}
		transfer := f.transferTime(s, p.Tokens, prefillEngine, e)
		score := transfer + f.weights.TransferGB*gb + s.loadDelay(e)
		if e.FailureDomain != f.domain {
			score += f.weights.CrossDomain
		}
		if best == nil || score < bestScore {
			best, bestScore, transferMS = e, score, transfer
		}
	}
	return best, transferMS, gb
}

// prefillWork is the work of an engine for a prompt before the first token.
type prefillWork struct {
	// fetchFrom is the engine to fetch cached parts from that this one lacks; nil for none.
	fetchFrom *endpoint
	// tokens is the number of tokens that are neither cached nor fetched.
	tokens     int
	transferGB float64
}

// fetchSource is an engine with a prefix of a prompt in its cache that other engines can fetch.
type fetchSource struct {
	*endpoint
	tokens int
}

// fetchSources returns, for each failure domain and software version, the engine that has the longest fetchable prefix of a prompt's shared parts.
func (f *Fleet) fetchSources(service string, p *Prompt) []fetchSource {
	var best []fetchSource
	index := make(map[string]int)
	now, shared := time.Now(), p.sharedParts()
	for _, e := range f.ordered {
		if e.Service != service || e.Draining {
			continue
		}
		tokens := e.cache.fetchableTokens(shared, now)
		if tokens == 0 {
			continue
		}
		group := e.FailureDomain + "\x00" + e.SoftwareVersion
		i, ok := index[group]
		switch {
		case !ok:
			index[group] = len(best)
			best = append(best, fetchSource{e, tokens})
		case tokens > best[i].tokens:
			best[i] = fetchSource{e, tokens}
		}
	}
	return best
}

// prefillTime predicts the times in milliseconds that an engine takes to prefill a prompt at a rate in tokens per millisecond, and to
// fetch cached parts from another engine before. It fetches only what transfers faster than it prefills.
func (f *Fleet) prefillTime(s *serviceState, p *Prompt, e *endpoint, rate float64, sources []fetchSource) (prefill, fetch float64, work prefillWork) {
	cached := e.cache.cachedTokens(p.Parts)
	work.tokens = max(p.Tokens-cached, 0)
	bestTokens := 0
	for _, source := range sources {
		if extra := source.tokens - cached; extra > bestTokens && source.endpoint != e && continuation.SharesCache(source.SoftwareVersion, e.SoftwareVersion) {
			transfer := f.transferTime(s, extra, source.endpoint, e)
			if transfer < float64(extra)/rate {
				bestTokens, fetch, work.fetchFrom = extra, transfer, source.endpoint
			}
		}
	}
	work.tokens -= bestTokens
	work.transferGB = float64(bestTokens) * s.kvBytesPerToken() / 1e9
	return float64(work.tokens) / rate, fetch, work
}

func (s *serviceState) kvBytesPerToken() float64 {
	if s.engine == nil {
		return 0
	}
	return s.engine.KVBytesPerToken
}

// transferTime predicts the time in milliseconds to transfer the KV cache of some tokens between two engines.
func (f *Fleet) transferTime(s *serviceState, tokens int, from, to *endpoint) float64 {
	if s.engine == nil || s.engine.LinkMbps <= 0 {
		return transferSetupMS
	}
	ms := float64(tokens) * s.engine.KVBytesPerToken * 8 / (s.engine.LinkMbps * 1e3)
	if from.FailureDomain != to.FailureDomain {
		ms *= crossDomainFactor
	}
	return transferSetupMS + ms
}

// localityCost returns the cost in milliseconds of an engine in another failure domain, plus up to 1 ms from a hash of the shared prefix
// and the engine. The hash makes all VMs select the same engine for a new shared prefix among engines that are otherwise equal.
func (f *Fleet) localityCost(p *Prompt, e *endpoint) float64 {
	cost := 0.0
	if e.FailureDomain != f.domain {
		cost = f.weights.CrossDomain
	}
	return cost + float64(xxhash.Sum64String(p.SharedPrefixID()+"\x00"+e.ID)%1024)/1024
}

// PlaceCall selects an endpoint of a plain service, which has no engines, and starts an attempt at it. It returns nil if no endpoint
// accepts work.
func (f *Fleet) PlaceCall(service string, filter Filter) *Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, candidates := f.eligibleEngines(service, "", filter)
	var best *endpoint
	bestScore := 0.0
	for _, e := range candidates {
		score := float64(e.running()) / float64(max(e.Slots, 1))
		if e.FailureDomain != f.domain {
			score += 0.35 // about a third of the slots: for a smaller difference in load, another failure domain costs more than it gains
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
	return f.startAttempt(best, 0, false)
}

// PlaceStream is like PlaceCall for a stream without a prompt. The plan has no prediction.
func (f *Fleet) PlaceStream(service string, filter Filter) *Plan {
	attempt := f.PlaceCall(service, filter)
	if attempt == nil {
		return nil
	}
	return &Plan{Decode: attempt}
}
