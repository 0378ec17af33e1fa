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

// class is a kind of request of the heaviest site, with the means and spreads of its sheet.
type class struct {
	name                string
	shared, own, output float64
	sharedSpread        float64
	subjects            int
	weight              float64
	aim, deadline       time.Duration
	// priority is the rank of the class, 0 first.
	priority int
}

// prompt is a prompt of a class.
type prompt struct {
	placement.Prompt
	priority int
	deadline time.Duration
}

var classes = []class{
	{"season-digest", 13_300, 3720, 12, 0.7, 122, 40.5, longestAim, 5 * time.Second, 2},
	{"line-check", 6300, 2890, 5, 0.6, 137, 30.2, 300 * time.Millisecond, 3 * time.Second, 1},
	{"crew-note", 350, 1110, 17, 0.5, 296, 43.6, 250 * time.Millisecond, 6 * time.Second, 0},
}

const (
	// sitePerSecond is the rate of the three classes together on a calm day.
	sitePerSecond = 114.3
	// siteVMs, siteEngines and siteReaders are what served that day after its first seconds, in three failure domains.
	siteVMs, siteEngines, siteReaders = 4, 18, 6
	// callerWay is the way of a request from its caller to a VM, and of its answer back; hop is that between a VM and an engine.
	callerWay = 6 * time.Millisecond
	hop       = 3 * time.Millisecond
	// longestAim is the longest objective of the classes, comeBack the least time after which refused callers come back.
	longestAim = 400 * time.Millisecond
	comeBack   = 300 * time.Millisecond
	newsEvery  = 60 * time.Millisecond
	newsWay    = 2 * time.Millisecond
	warmUp     = 6 * time.Second
	measured   = 20 * time.Second
)

// route is where a policy sends a request. The functions tell the policy what happens.
type route struct {
	reader, runner, readerFetch, runnerFetch string
	// refused is when the caller may come back; 0 when the request is sent.
	refused     time.Duration
	read, first func()
	done        func(placement.Outcome)
}

// site is a deployment in virtual time.
type site struct {
	engines map[string]*enginemodel.Engine
	list    []catalog.Endpoint
	policy  func(vm int, p *prompt) *route
	random  *rand.Rand

	mu     sync.Mutex
	result outcome
}

// outcome is what callers got.
type outcome struct {
	asked, inAim map[string]int
	first        []time.Duration
	served       int
	sharedRead   int
}

func (o *outcome) share(class string) float64 {
	return float64(o.inAim[class]) / float64(max(o.asked[class], 1))
}

func (o *outcome) shareOfAll() float64 {
	asked, inAim := 0, 0
	for c := range o.asked {
		asked += o.asked[c]
		inAim += o.inAim[c]
	}
	return float64(inAim) / float64(max(asked, 1))
}

func (o *outcome) servedShare() float64 {
	asked := 0
	for _, n := range o.asked {
		asked += n
	}
	return float64(o.served) / float64(max(asked, 1))
}

func (o *outcome) p95() time.Duration {
	if len(o.first) == 0 {
		return 0
	}
	sort.Slice(o.first, func(i, j int) bool { return o.first[i] < o.first[j] })
	return o.first[len(o.first)*95/100]
}

// play plays a load, as a multiple of that of a calm day, with a policy.
func play(t *testing.T, load float64, swing bool, newPolicy func(s *site) func(vm int, p *prompt) *route) (result outcome) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &site{engines: make(map[string]*enginemodel.Engine), random: rand.New(rand.NewPCG(7, 11)),
			result: outcome{asked: make(map[string]int), inAim: make(map[string]int)}}
		for i := range siteEngines {
			e := catalog.Endpoint{ID: fmt.Sprintf("e%02d", i), Service: "llm", FailureDomain: fmt.Sprint("z", i%3), Role: catalog.Decode}
			e.Address = e.ID
			if i < siteReaders {
				e.Role = catalog.Prefill
			}
			s.list = append(s.list, e)
			s.engines[e.ID] = enginemodel.New(enginemodel.RopeLogs, e.FailureDomain, e.Role == catalog.Prefill)
		}
		s.policy = newPolicy(s)
		s.offer(load, swing)
		time.Sleep(10 * time.Second) // all requests have ended by then
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, e := range s.engines {
			s.result.sharedRead += e.SharedTokensRead()
			e.Stop()
		}
		result = s.result
	})
	return result
}

// offer sends requests at random times. In a swing, the mix of long and short prompts changes every 2.8 s, as on the users' days.
func (s *site) offer(load float64, swing bool) {
	start := time.Now()
	for n := 0; time.Since(start) < warmUp+measured; n++ {
		time.Sleep(time.Duration(s.random.ExpFloat64() / (sitePerSecond * load) * float64(time.Second)))
		weights := make([]float64, len(classes))
		for i, c := range classes {
			weights[i] = c.weight
		}
		if swing {
			phase := int(time.Since(start) / (2800 * time.Millisecond) % 2)
			weights[1+phase] *= 1.7
			weights[2-phase] *= 0.55
		}
		c := classes[pick(s.random, weights)]
		p := s.prompt(&c, n)
		go s.serve(&c, p, int(max(min(lognormal(s.random, c.output, 1), 48), 1)), n%siteVMs, time.Since(start) >= warmUp)
	}
}

func pick(r *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at := r.Float64() * sum
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func lognormal(r *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*r.NormFloat64()-spread*spread/2)
}

// prompt draws a prompt. The shared part of a subject has the same length each time.
func (s *site) prompt(c *class, n int) *prompt {
	subject := fmt.Sprintf("%s-%d", c.name, s.random.IntN(c.subjects))
	own := rand.New(rand.NewPCG(xxhash.Sum64String(subject), 1))
	shared := int(min(lognormal(own, c.shared, c.sharedSpread), 3*c.shared))
	rest := int(max(min(lognormal(s.random, c.own, 1), 14*c.own), 16))
	return &prompt{priority: c.priority, deadline: c.deadline, Prompt: placement.Prompt{Model: "m", Tokens: shared + rest,
		Parts: []placement.Part{{ID: subject, Tokens: shared}, {ID: fmt.Sprint("own-", n), Tokens: rest}}}}
}

// serve takes a request along its route, as a VM does.
func (s *site) serve(c *class, p *prompt, output, vm int, counts bool) {
	start := time.Now()
	time.Sleep(callerWay / 2)
	deadline := time.NewTimer(c.deadline)
	defer deadline.Stop()
	r := s.policy(vm, p)
	if r.refused > 0 { // the caller comes back once, as it is told, but at the latest after a third of its time
		time.Sleep(callerWay + min(r.refused, c.deadline/3))
		if r = s.policy(vm, p); r.refused > 0 {
			s.count(c, counts, false, 0)
			return
		}
	}
	var parts []enginemodel.Part
	for _, part := range p.Parts {
		parts = append(parts, enginemodel.Part(part))
	}
	var first atomic.Int64 // a time.Duration
	ok := r.reader == "" || s.exchange(deadline, r.reader, r.readerFetch, &enginemodel.Request{Parts: parts})
	if ok {
		if r.reader != "" {
			r.read()
			r.runnerFetch = r.reader
		}
		ok = s.exchange(deadline, r.runner, r.runnerFetch, &enginemodel.Request{Parts: parts, Output: output, OnFirstToken: func() {
			first.Store(int64(time.Since(start) + hop + callerWay/2))
			r.first()
		}})
	}
	if ok {
		time.Sleep(enginemodel.RopeLogs.FirstTokenDelay + time.Millisecond) // a short answer ends before its first token has left
		r.done(placement.Served)
	} else {
		r.done(placement.Abandoned)
	}
	s.count(c, counts, ok, time.Duration(first.Load()))
}

// count records what a caller got.
func (s *site) count(c *class, counts, ok bool, first time.Duration) {
	if !counts {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.asked[c.name]++
	if !ok {
		s.result.first = append(s.result.first, c.deadline)
		return
	}
	s.result.first = append(s.result.first, first)
	s.result.served++
	if first <= c.aim {
		s.result.inAim[c.name]++
	}
}

// exchange has an engine fetch what another keeps and then serve a request. It returns false at the deadline.
func (s *site) exchange(deadline *time.Timer, engine, fetch string, r *enginemodel.Request) bool {
	e := s.engines[engine]
	time.Sleep(hop)
	if fetch != "" {
		e.FetchParts(s.engines[fetch], r.Parts)
	}
	done := make(chan struct{})
	r.OnDone = func() { close(done) }
	e.SubmitRequest(r)
	select {
	case <-done:
		return true
	case <-deadline.C:
		e.CancelRequest(r)
		return false
	}
}
