package placement

import (
	"time"

	"crocusglade.example/crocusglade/internal/catalog"
)

// Plan is where a request goes. Its sends must be ended with Done.
type Plan struct {
	// Reader reads the prompt and hands its memory to Runner. It is nil when Runner reads the prompt itself.
	Reader *Attempt
	Runner *Attempt
	// Predicted is the predicted time to the first token.
	Predicted time.Duration
	// LimitExcess is by how much the prompt's limits are exceeded. Such a plan has no sends.
	LimitExcess time.Duration

	// estimate is the prediction in milliseconds without the correction for its kind of plan.
	estimate float64
	made     time.Time
}

// RecordFirstToken reports that the first token has come, for the correction of later predictions.
func (p *Plan) RecordFirstToken() {
	f := p.Runner.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[p.Runner.Endpoint.Service]
	if s == nil {
		return
	}
	late := &s.directLate
	if p.Reader != nil {
		late = &s.splitLate
	}
	late.add(float64(time.Since(p.made))/float64(time.Millisecond)-p.estimate, time.Now())
}

// Attempt is a request, or its prompt, on its way to one endpoint.
type Attempt struct {
	Endpoint catalog.Endpoint
	// FetchFrom is the address of an engine that keeps shared parts which this one lacks; empty for none.
	FetchFrom string
	// UnreadTokens is the number of prompt tokens that the endpoint is expected to read.
	UnreadTokens int

	fleet   *Fleet
	target  *endpoint
	reading bool
	done    bool
	started time.Time
	backlog float64
}

// commit counts a chosen option as sent.
func (f *Fleet) commit(p *Prompt, o *option) *Plan {
	plan := &Plan{Predicted: milliseconds(o.predicted), estimate: o.estimate, made: time.Now()}
	if o.reader == nil {
		plan.Runner = f.send(o.runner, o.unread, true)
		plan.Runner.setFetch(o.runnerFetch)
		f.noteRead(o.runner, p, plan.Predicted)
		return plan
	}
	plan.Reader = f.send(o.reader, o.unread, true)
	plan.Reader.setFetch(o.readerFetch)
	plan.Runner = f.send(o.runner, 0, false)
	f.noteRead(o.reader, p, plan.Predicted)
	f.noteRead(o.runner, p, plan.Predicted)
	return plan
}

// RenewRunner replaces the plan's runner if it no longer takes work, after the prompt was read elsewhere. It returns false if no
// engine takes work.
func (f *Fleet) RenewRunner(plan *Plan, p *Prompt, exclude map[string]bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := plan.Runner.target
	if current := f.endpoints[old.ID]; current == old && !old.Leaving && !old.ejected(time.Now()) {
		return true
	}
	s := f.services[old.Service]
	_, runners := f.engines(old.Service, p.Model, exclude)
	if s == nil || len(runners) == 0 {
		return false
	}
	plan.Runner.doneLocked(Abandoned)
	runner, _, _ := f.receiver(s, p, plan.Reader.target, runners)
	plan.Runner = f.send(runner, 0, false)
	return true
}

func (s *Attempt) setFetch(from *endpoint) {
	if from != nil {
		s.FetchFrom = from.Address
	}
}

func (f *Fleet) noteRead(e *endpoint, p *Prompt, predicted time.Duration) {
	e.cache.touch(p.Parts, time.Now().Add(predicted))
	f.reads = append(f.reads, PromptRead{Endpoint: e.ID, Parts: p.shared()})
}

func (f *Fleet) send(e *endpoint, unread int, reading bool) *Attempt {
	s := &Attempt{Endpoint: e.Endpoint, UnreadTokens: unread, fleet: f, target: e, reading: reading, started: time.Now(), backlog: e.unread()}
	e.own.UnreadTokens += unread
	e.own.Running++
	return s
}

// RecordActivity reports that the endpoint has sent something.
func (s *Attempt) RecordActivity() {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.target.heard = time.Now()
}

// IdleTime returns how long the endpoint has sent nothing to this VM, counted from this send if it was heard before.
func (s *Attempt) IdleTime() time.Duration {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if s.target.heard.After(s.started) {
		return time.Since(s.target.heard)
	}
	return time.Since(s.started)
}

// RecordFirstToken reports that the endpoint has read the prompt.
func (s *Attempt) RecordFirstToken() {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.target.heard = time.Now()
	s.endReading(true)
}

// endReading removes the prompt from the endpoint's backlog and learns the reading rate.
func (s *Attempt) endReading(measured bool) {
	if !s.reading {
		return
	}
	s.reading = false
	f := s.fleet
	s.target.own.UnreadTokens -= s.UnreadTokens
	service := f.services[s.Endpoint.Service]
	ms := float64(time.Since(s.started)) / float64(time.Millisecond)
	// Only reads that are long against the fixed overheads, and that met no known backlog, tell the rate.
	if !measured || service == nil || s.UnreadTokens < 2000 || s.backlog > 0 || s.FetchFrom != "" || s.Endpoint.Role != catalog.Prefill || ms <= hopCost {
		return
	}
	rate := float64(s.UnreadTokens) / (ms - hopCost)
	if rate > service.rate {
		service.rate = min(service.rate*(1+rateGain), maxRate)
		return
	}
	service.rate = max(service.rate*(1-rateGain), minRate)
}

// Done reports that the request has left the endpoint. Later calls have no effect.
func (s *Attempt) Done(o Outcome) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.doneLocked(o)
}

func (s *Attempt) doneLocked(o Outcome) {
	if s.done {
		return
	}
	s.done = true
	s.endReading(false)
	s.target.own.Running--
	s.fleet.record(s.target, o, time.Now())
}
