// Package placement decides which endpoint reads a request's prompt and which one makes its tokens.
//
// It answers a load of prompts that share long parts, on few engines whose reading rate is the scarce resource: a prompt goes
// where the predicted time to its first token, and the work that it costs the fleet, are least. Estimates come from the work
// that this VM and its neighbours have sent and that has not been answered, because the engines' own reports lag. Nothing here
// uses the network.
package placement

import (
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/catalog"
)

const (
	// decodeSlowdown is how much slower a decode engine reads prompts than a prefill engine, as the platform's pages state.
	decodeSlowdown = 2.0
	// initialRate is the assumed reading rate of an engine in tokens a millisecond until it was measured. The known kinds of
	// engines read 112 to 157.
	initialRate = 110.0
	// rateGain is by which part a measurement moves the reading rate up or down. So the rate follows the median: single
	// measurements are far off when the engine had work or parts that this VM had not heard of.
	rateGain = 0.01
	// minRate and maxRate bound the reading rate, in tokens a millisecond.
	minRate, maxRate = 10.0, 2000.0
	// firstTokenOverhead is the time in milliseconds from the end of reading to the first token.
	firstTokenOverhead = 26.0
	// transferSetup is the time in milliseconds that a transfer of memory between engines needs before its first byte.
	transferSetup = 5.0
	// crossDomainFactor is how much longer a transfer takes between failure domains, as the platform's pages state.
	crossDomainFactor = 2.0
	// peerReadTime is how long after another VM's news of a prompt its shared parts can be fetched.
	peerReadTime = 100 * time.Millisecond
	// maxReadParts bounds the parts of one entry in the news for other VMs.
	maxReadParts = 64
	// hopCost is the time in milliseconds of one more call in the path of a request.
	hopCost = 3.0
)

// endpoint is what is known of one endpoint.
type endpoint struct {
	catalog.Endpoint
	cache *cacheIndex
	// own work and that of other VMs, by VM.
	own   EndpointWork
	peers map[string]EndpointWork
	// others is the sum of peers.
	others EndpointWork
	health
}

// setPeer replaces the work of another VM.
func (e *endpoint) setPeer(vm string, p EndpointWork) {
	old := e.peers[vm]
	e.others.UnreadTokens += p.UnreadTokens - old.UnreadTokens
	e.others.Running += p.Running - old.Running
	if p == (EndpointWork{}) {
		delete(e.peers, vm)
		return
	}
	e.peers[vm] = p
}

func (e *endpoint) unread() float64 {
	return float64(e.own.UnreadTokens + e.others.UnreadTokens)
}

func (e *endpoint) running() int { return e.own.Running + e.others.Running }

// serviceState is what is known of the endpoints of a service.
type serviceState struct {
	engine *catalog.Engine
	// rate is the measured reading rate of a prefill engine in tokens a millisecond.
	rate float64
	// directLate and splitLate correct predictions by kind of plan.
	directLate, splitLate correction
	// asked is the number of prompt tokens to be read since demandFrom.
	asked      float64
	demandFrom time.Time
	demand     float64
	// peerDemand is the demand at other VMs, in tokens a second.
	peerDemand map[string]float64
}

// Fleet is this VM's view of all endpoints. Its methods may be called concurrently.
type Fleet struct {
	// Log is told of endpoints that are lost and regained. Set it before use.
	Log zerolog.Logger

	domain  string
	weights Weights

	mu        sync.Mutex
	services  map[string]*serviceState
	endpoints map[string]*endpoint
	// ordered holds the endpoints in the order of their ids, so that equal choices fall alike everywhere.
	ordered []*endpoint
	// peerWork holds the ids of the endpoints at which each other VM has work.
	peerWork map[string][]string
	reads    []PromptRead
}

// New returns a fleet without endpoints, seen from a failure domain.
func New(domain string, w Weights) *Fleet {
	return &Fleet{domain: domain, weights: w, services: make(map[string]*serviceState), endpoints: make(map[string]*endpoint),
		peerWork: make(map[string][]string)}
}

// SetServices replaces what is configured of services.
func (f *Fleet) SetServices(services map[string]catalog.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, s := range services {
		if old := f.services[name]; old != nil {
			old.engine = s.Engine
			continue
		}
		f.services[name] = &serviceState{engine: s.Engine, rate: initialRate, demandFrom: time.Now(), peerDemand: make(map[string]float64)}
	}
}

// SetEndpoints replaces the endpoints of all services. Addresses that are no longer used are returned.
func (f *Fleet) SetEndpoints(list []catalog.Endpoint) (gone []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	present := make(map[string]bool, len(list))
	for _, e := range list {
		present[e.ID] = true
		old := f.endpoints[e.ID]
		if old == nil || old.StartedAtMS != e.StartedAtMS || old.Address != e.Address {
			f.endpoints[e.ID] = &endpoint{Endpoint: e, cache: newCacheIndex(f.cacheTokens(e.Service)), peers: make(map[string]EndpointWork)}
			continue
		}
		old.Endpoint = e
	}
	for id, e := range f.endpoints {
		if !present[id] {
			gone = append(gone, e.Address)
			delete(f.endpoints, id)
		}
	}
	f.ordered = f.ordered[:0]
	for _, e := range f.endpoints {
		f.ordered = append(f.ordered, e)
	}
	sort.Slice(f.ordered, func(i, j int) bool { return f.ordered[i].ID < f.ordered[j].ID })
	return gone
}

func (f *Fleet) cacheTokens(service string) int64 {
	if s := f.services[service]; s != nil && s.engine != nil {
		return s.engine.CacheTokens * 9 / 10 // running requests share the memory
	}
	return 0
}

// Avoid keeps new work from an endpoint for a time, while others can take it.
func (f *Fleet) Avoid(id string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.endpoints[id]; e != nil {
		e.avoid(time.Now().Add(d))
	}
}

// Rate returns the measured reading rate of a service's prefill engines in tokens a millisecond.
func (f *Fleet) Rate(service string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.services[service]; s != nil {
		return s.rate
	}
	return initialRate
}

// Endpoints returns the endpoints of a service in the order of their ids.
func (f *Fleet) Endpoints(service string) []catalog.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []catalog.Endpoint
	for _, e := range f.ordered {
		if e.Service == service {
			list = append(list, e.Endpoint)
		}
	}
	return list
}
