package enginemodel_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/enginemodel"
	"crocusglade.example/crocusglade/internal/placement"
)

// class is a kind of request of the site with the highest load, with the figures of that site: mean numbers of tokens and the
// spread of the shared part (sigma of a log-normal distribution). Requests of one subject share the first part of their prompts.
type class struct {
	name                     string
	shared, unshared, output float64
	sharedSpread             float64
	subjects                 int
	weight                   float64
	objective, deadline      time.Duration
	// priority is the priority of the class; 0 is the most urgent.
	priority int
}

// prompt is the prompt of a request with the priority and the deadline of its class.
type prompt struct {
	placement.Prompt
	priority int
	deadline time.Duration
	// offset delays the events of the request, so that they never happen at the same instant as those of another one.
	offset time.Duration
}

var classes = []class{
	{"season-digest", 13_300, 3720, 12, 0.7, 122, 40.5, maxObjective, 5 * time.Second, 2},
	{"line-check", 6300, 2890, 5, 0.6, 137, 30.2, 300 * time.Millisecond, 3 * time.Second, 1},
	{"crew-note", 350, 1110, 17, 0.5, 296, 43.6, 250 * time.Millisecond, 6 * time.Second, 0},
}

const (
	// siteRate is the rate of all classes together on a calm day, in requests per second.
	siteRate = 114.3
	// siteVMs, siteEngines and sitePrefillEngines are the numbers of VMs, of engines and of prefill engines among them that served that
	// day after its first seconds, in three failure domains.
	siteVMs, siteEngines, sitePrefillEngines = 4, 18, 6
	// callerRoundTrip is the round-trip time between a caller and a VM, engineDelay the one-way time between a VM and
	// an engine.
	callerRoundTrip = 6 * time.Millisecond
	engineDelay     = 3 * time.Millisecond
	// maxObjective is the longest objective of the classes, minRetryAfter the shortest time after which refused callers retry.
	maxObjective  = 400 * time.Millisecond
	minRetryAfter = 300 * time.Millisecond
	// peerUpdateInterval is the interval at which VMs send their work to the other VMs, peerUpdateDelay the delay until it arrives.
	peerUpdateInterval = 60 * time.Millisecond
	peerUpdateDelay    = 2 * time.Millisecond
	// warmUpTime is the time at the start of a run whose requests are not counted, measuredTime the rest of the run.
	warmUpTime   = 6 * time.Second
	measuredTime = 20 * time.Second
)

// route names the engines that a policy selects for a request. The functions report the progress of the request to the policy.
type route struct {
	// prefillEngine is empty when the decode engine prefills the prompt itself. The engines fetch cached parts from the engines in
	// prefillFetchFrom and decodeFetchFrom, if these are set.
	prefillEngine, decodeEngine, prefillFetchFrom, decodeFetchFrom string
	// retryAfter is the time after which the caller may retry a refused request; 0 when the request is accepted.
	retryAfter                  time.Duration
	onPrefillDone, onFirstToken func()
	onDone                      func(placement.Outcome)
}

// site is a simulated deployment.
type site struct {
	engines   map[string]*enginemodel.Engine
	endpoints []catalog.Endpoint
	policy    func(vm int, p *prompt) *route
	random    *rand.Rand

	mu     sync.Mutex
	result runResult
}

// defaultSeed seeds the random numbers of runs whose test names no seed.
const defaultSeed = 7

// runResult holds the results of a run.
type runResult struct {
	// requests and inTime are the numbers of requests, and of those with their first token within the objective, by class.
	requests, inTime map[string]int
	// firstToken holds the times to the first token; requests that weren't served count with their deadline.
	firstToken            []time.Duration
	served                int
	sharedTokensPrefilled int
}

func (r *runResult) inTimeShare(class string) float64 {
	return float64(r.inTime[class]) / float64(max(r.requests[class], 1))
}

func (r *runResult) totalInTimeShare() float64 {
	requests, inTime := 0, 0
	for c := range r.requests {
		requests += r.requests[c]
		inTime += r.inTime[c]
	}
	return float64(inTime) / float64(max(requests, 1))
}

func (r *runResult) servedShare() float64 {
	requests := 0
	for _, n := range r.requests {
		requests += n
	}
	return float64(r.served) / float64(max(requests, 1))
}

func (r *runResult) p95FirstToken() time.Duration {
	if len(r.firstToken) == 0 {
		return 0
	}
	sort.Slice(r.firstToken, func(i, j int) bool { return r.firstToken[i] < r.firstToken[j] })
	return r.firstToken[len(r.firstToken)*95/100]
}

// simulate runs a load, given as a multiple of the load of a calm day, with a policy.
func simulate(t *testing.T, load float64, changingMix bool, newPolicy func(s *site) func(vm int, p *prompt) *route) runResult {
	t.Helper()
	return simulateSeed(t, defaultSeed, load, changingMix, newPolicy)
}

// simulateSeed is simulate with the seed of the random numbers. Runs with the same seed have the same result: events of different
// requests never happen at the same instant, because those of request n are n nanoseconds late.
func simulateSeed(t *testing.T, seed uint64, load float64, changingMix bool, newPolicy func(s *site) func(vm int, p *prompt) *route) (result runResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &site{engines: make(map[string]*enginemodel.Engine), random: rand.New(rand.NewPCG(seed, 11)),
			result: runResult{requests: make(map[string]int), inTime: make(map[string]int)}}
		for i := range siteEngines {
			e := catalog.Endpoint{ID: fmt.Sprintf("e%02d", i), Service: "llm", FailureDomain: fmt.Sprint("z", i%3), Role: catalog.Decode}
			e.Address = e.ID
			if i < sitePrefillEngines {
				e.Role = catalog.Prefill
			}
			s.endpoints = append(s.endpoints, e)
			s.engines[e.ID] = enginemodel.New(enginemodel.RopeLogsEngine, e.FailureDomain, e.Role == catalog.Prefill)
		}
		s.policy = newPolicy(s)
		s.generateLoad(load, changingMix)
		time.Sleep(10 * time.Second) // all requests have ended by then
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, e := range s.engines {
			s.result.sharedTokensPrefilled += e.SharedTokensRead()
			e.Stop()
		}
		result = s.result
	})
	return result
}

// generateLoad sends requests at random times. With changingMix, the mix of long and short prompts changes every 2.8 s, as at the
// users' sites.
func (s *site) generateLoad(load float64, changingMix bool) {
	start := time.Now()
	for n := 0; time.Since(start) < warmUpTime+measuredTime; n++ {
		time.Sleep(time.Duration(s.random.ExpFloat64() / (siteRate * load) * float64(time.Second)))
		weights := make([]float64, len(classes))
		for i, c := range classes {
			weights[i] = c.weight
		}
		if changingMix {
			phase := int(time.Since(start) / (2800 * time.Millisecond) % 2)
			weights[1+phase] *= 1.7
			weights[2-phase] *= 0.55
		}
		c := classes[pickWeighted(s.random, weights)]
		p := s.prompt(&c, n)
		p.offset = time.Duration(n)
		go s.serve(&c, p, int(max(min(lognormal(s.random, c.output, 1), 48), 1)), n%siteVMs, time.Since(start) >= warmUpTime)
	}
}

func pickWeighted(r *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	remaining := r.Float64() * sum
	for i, w := range weights {
		if remaining -= w; remaining < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func lognormal(r *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*r.NormFloat64()-spread*spread/2)
}

// prompt returns a random prompt. The shared part of a subject always has the same length.
func (s *site) prompt(c *class, n int) *prompt {
	subject := fmt.Sprintf("%s-%d", c.name, s.random.IntN(c.subjects))
	subjectRandom := rand.New(rand.NewPCG(xxhash.Sum64String(subject), 1))
	shared := int(min(lognormal(subjectRandom, c.shared, c.sharedSpread), 3*c.shared))
	unshared := int(max(min(lognormal(s.random, c.unshared, 1), 14*c.unshared), 16))
	return &prompt{priority: c.priority, deadline: c.deadline, Prompt: placement.Prompt{Model: "m", Tokens: shared + unshared,
		Parts: []placement.Part{{ID: subject, Tokens: shared}, {ID: fmt.Sprint("own-", n), Tokens: unshared}}}}
}

// serve runs a request as a VM does.
func (s *site) serve(c *class, p *prompt, output, vm int, measured bool) {
	start := time.Now()
	time.Sleep(callerRoundTrip / 2)
	deadline := time.NewTimer(c.deadline)
	defer deadline.Stop()
	r := s.policy(vm, p)
	if r.retryAfter > 0 { // the caller retries once, after the given time but at the latest after a third of its deadline
		time.Sleep(callerRoundTrip + min(r.retryAfter, c.deadline/3))
		if r = s.policy(vm, p); r.retryAfter > 0 {
			s.record(c, measured, false, 0)
			return
		}
	}
	var parts []enginemodel.Part
	for _, part := range p.Parts {
		parts = append(parts, enginemodel.Part(part))
	}
	var firstToken atomic.Int64 // a time.Duration
	ok := r.prefillEngine == "" || s.runOnEngine(deadline, p.offset, r.prefillEngine, r.prefillFetchFrom, &enginemodel.Request{Parts: parts})
	if ok {
		if r.prefillEngine != "" {
			r.onPrefillDone()
			r.decodeFetchFrom = r.prefillEngine
		}
		ok = s.runOnEngine(deadline, p.offset, r.decodeEngine, r.decodeFetchFrom, &enginemodel.Request{Parts: parts, Output: output, OnFirstToken: func() {
			time.Sleep(p.offset)
			firstToken.Store(int64(time.Since(start) + engineDelay + callerRoundTrip/2))
			r.onFirstToken()
		}})
	}
	if ok {
		time.Sleep(enginemodel.RopeLogsEngine.FirstTokenDelay + time.Millisecond) // a short response ends before its first token is sent
		r.onDone(placement.Served)
	} else {
		r.onDone(placement.Abandoned)
	}
	s.record(c, measured, ok, time.Duration(firstToken.Load()))
}

// record adds the result of a request.
func (s *site) record(c *class, measured, ok bool, firstToken time.Duration) {
	if !measured {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.requests[c.name]++
	if !ok {
		s.result.firstToken = append(s.result.firstToken, c.deadline)
		return
	}
	s.result.firstToken = append(s.result.firstToken, firstToken)
	s.result.served++
	if firstToken <= c.objective {
		s.result.inTime[c.name]++
	}
}

// runOnEngine runs a request on an engine, which first fetches cached parts from another engine if fetchFrom is set, and returns the
// offset after the engine has completed it. It returns false if the deadline passes first.
func (s *site) runOnEngine(deadline *time.Timer, offset time.Duration, engine, fetchFrom string, r *enginemodel.Request) bool {
	e := s.engines[engine]
	time.Sleep(engineDelay)
	if fetchFrom != "" {
		e.FetchParts(s.engines[fetchFrom], r.Parts)
	}
	done := make(chan struct{})
	r.OnDone = func() { close(done) }
	e.SubmitRequest(r)
	select {
	case <-done:
		time.Sleep(offset)
		return true
	case <-deadline.C:
		e.CancelRequest(r)
		return false
	}
}
