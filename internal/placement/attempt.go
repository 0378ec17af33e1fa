package placement

import (
	"time"

	"crocusglade.example/crocusglade/internal/catalog"
)

// Plan is the placement of a request on one decode engine, and on a prefill engine where that is faster. Done must be called on
// each of its attempts.
type Plan struct {
	// Prefill is the attempt at the engine that prefills the prompt and transfers the KV cache to Decode. It is nil when Decode
	// prefills the prompt itself.
	Prefill *Attempt
	// Decode is the attempt at the engine that generates the tokens.
	Decode *Attempt
	// Predicted is the predicted time to the first token.
	Predicted time.Duration
	// LimitExcess is the largest excess of the prediction over the prompt's limits. A plan that exceeds them has no attempts.
	LimitExcess time.Duration

	// estimate is the predicted time to the first token in milliseconds, without the correction for direct or split plans, and createdAt
	// when it was made; zero without a prediction.
	estimate  float64
	createdAt time.Time
}

// Abandon ends the plan's attempts, none of which has started an exchange.
func (p *Plan) Abandon() {
	if p.Prefill != nil {
		p.Prefill.Done(Abandoned)
	}
	p.Decode.Done(Abandoned)
}

// RecordFirstToken records that the first token has arrived. The error of the prediction, if there is one, corrects later predictions.
func (p *Plan) RecordFirstToken() {
	if p.createdAt.IsZero() {
		return
	}
	f := p.Decode.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[p.Decode.Endpoint.Service]
	if s == nil {
		return
	}
	corr := &s.directCorrection
	if p.Prefill != nil {
		corr = &s.splitCorrection
	}
	corr.add(float64(time.Since(p.createdAt))/float64(time.Millisecond)-p.estimate, time.Now())
}

// Attempt is a request, or the prefill of its prompt, in progress at one endpoint.
type Attempt struct {
	Endpoint catalog.Endpoint
	// FetchFrom is the address of an engine to fetch cached parts of the prompt from that this one lacks; empty for none.
	FetchFrom string
	// PrefillTokens is the number of prompt tokens that the endpoint is expected to prefill.
	PrefillTokens int

	fleet  *Fleet
	target *endpoint
	// prefillPending is set while PrefillTokens count in the endpoint's backlog.
	prefillPending bool
	done           bool
	started        time.Time
	// backlogBefore is the endpoint's prefill backlog in tokens when the attempt started.
	backlogBefore float64
}

// commit starts the attempts of the chosen option and returns them as a plan.
func (f *Fleet) commit(p *Prompt, o *option) *Plan {
	plan := &Plan{Predicted: milliseconds(o.predicted), estimate: o.estimate, createdAt: time.Now()}
	if o.prefillEngine == nil {
		plan.Decode = f.startAttempt(o.decodeEngine, o.prefillTokens, true)
		plan.Decode.setFetchSource(o.decodeFetchFrom)
		f.recordPrefill(o.decodeEngine, p, plan.Predicted)
		return plan
	}
	plan.Prefill = f.startAttempt(o.prefillEngine, o.prefillTokens, true)
	plan.Prefill.setFetchSource(o.prefillFetchFrom)
	plan.Decode = f.startAttempt(o.decodeEngine, 0, false)
	f.recordPrefill(o.prefillEngine, p, plan.Predicted)
	f.recordPrefill(o.decodeEngine, p, plan.Predicted)
	return plan
}

// Allows reports whether all engines of the plan are still allowed.
func (p *Plan) Allows(filter Filter) bool {
	return filter.allows(p.Decode.target) && (p.Prefill == nil || filter.allows(p.Prefill.target))
}

// ReplaceDecodeEngine replaces the plan's decode engine if it stopped accepting work, or the filter allows it no more, while the prompt was
// prefilled on another engine. It returns false if no engine accepts work that can use the prefilled KV cache.
func (f *Fleet) ReplaceDecodeEngine(plan *Plan, p *Prompt, filter Filter) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := plan.Decode.target
	now := time.Now()
	if current := f.endpoints[old.ID]; current == old && old.accepts(now) && !old.ejected(now) && filter.allows(old) {
		return true
	}
	s := f.services[old.Service]
	_, decodeEngines := f.eligibleEngines(old.Service, p.Model, filter)
	if s == nil {
		return false
	}
	selected, _, _ := f.selectDecodeEngine(s, p, plan.Prefill.target, decodeEngines)
	if selected == nil {
		return false
	}
	plan.Decode.doneLocked(Abandoned)
	plan.Decode = f.startAttempt(selected, 0, false)
	return true
}

func (a *Attempt) setFetchSource(from *endpoint) {
	if from != nil {
		a.FetchFrom = from.Address
	}
}

// recordPrefill adds the prompt's parts to the engine's cache estimate and queues its shared parts for the other VMs.
func (f *Fleet) recordPrefill(e *endpoint, p *Prompt, predicted time.Duration) {
	e.cache.touch(p.Parts, time.Now().Add(predicted))
	f.unsentPrefixes = append(f.unsentPrefixes, CachedPrefix{Endpoint: e.ID, Parts: p.sharedParts()})
}

// startAttempt counts a request at an endpoint, with the tokens that the endpoint will prefill for it.
func (f *Fleet) startAttempt(e *endpoint, prefillTokens int, prefills bool) *Attempt {
	a := &Attempt{Endpoint: e.Endpoint, PrefillTokens: prefillTokens, fleet: f, target: e, prefillPending: prefills, started: time.Now(), backlogBefore: e.prefillBacklog()}
	e.ownWork.PrefillTokens += prefillTokens
	e.ownWork.Running++
	return a
}

// RecordActivity records that bytes arrived from the endpoint.
func (a *Attempt) RecordActivity() {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	a.target.lastActivity = time.Now()
}

// IdleTime returns the time since this VM last received anything from the endpoint, or since the start of the attempt if that is later.
func (a *Attempt) IdleTime() time.Duration {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	if a.target.lastActivity.After(a.started) {
		return time.Since(a.target.lastActivity)
	}
	return time.Since(a.started)
}

// RecordFirstToken records that the endpoint has prefilled the prompt.
func (a *Attempt) RecordFirstToken() {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	a.target.lastActivity = time.Now()
	a.endPrefill(true)
}

// endPrefill removes the prompt from the endpoint's backlog. If the prefill completed, it also updates the measured prefill rate.
func (a *Attempt) endPrefill(completed bool) {
	if !a.prefillPending {
		return
	}
	a.prefillPending = false
	f := a.fleet
	a.target.ownWork.PrefillTokens -= a.PrefillTokens
	service := f.services[a.Endpoint.Service]
	ms := float64(time.Since(a.started)) / float64(time.Millisecond)
	// Only prefills on prefill engines that are long compared with the fixed overheads, and that started without a known backlog or
	// a fetch, measure the rate.
	if !completed || service == nil || a.PrefillTokens < 2000 || a.backlogBefore > 0 || a.FetchFrom != "" || a.Endpoint.Role != catalog.Prefill || ms <= hopCostMS {
		return
	}
	rate := float64(a.PrefillTokens) / (ms - hopCostMS)
	if rate > service.prefillRate {
		service.prefillRate = min(service.prefillRate*(1+prefillRateGain), maxPrefillRate)
		return
	}
	service.prefillRate = max(service.prefillRate*(1-prefillRateGain), minPrefillRate)
}

// Done ends the attempt and records its outcome. Later calls have no effect.
func (a *Attempt) Done(o Outcome) {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	a.doneLocked(o)
}

func (a *Attempt) doneLocked(o Outcome) {
	if a.done {
		return
	}
	a.done = true
	a.endPrefill(false)
	a.target.ownWork.Running--
	a.fleet.record(a.target, o, time.Now())
}
