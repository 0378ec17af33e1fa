// Package placement selects the endpoints for a request: the engine that prefills its prompt and the engine that generates its tokens.
//
// It is designed for prompts that share long prefixes, on few engines whose prefill rate is the scarce resource. A prompt goes where
// the predicted time to its first token plus the weighted cost for the fleet is lowest. A direct plan uses one decode engine for both
// steps; a split plan prefills on a prefill engine and transfers the KV cache to a decode engine. Estimates are based on the requests
// in progress from this VM and its peers, because the engines' own load reports lag. The package makes no network calls.
package placement

import (
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/catalog"
)

const (
	// decodePrefillSlowdown is the factor by which a decode engine prefills more slowly than a prefill engine, as documented by the
	// platform.
	decodePrefillSlowdown = 2.0
	// initialPrefillRate is the assumed prefill rate of an engine in tokens per millisecond before the first measurement. The known
	// engine types reach 112 to 157.
	initialPrefillRate = 110.0
	// prefillRateGain is the fraction by which one measurement moves the prefill rate up or down. Fixed steps make the rate follow the
	// median: single measurements are far off when the engine has work or cached parts that this VM has no information about.
	prefillRateGain = 0.01
	// minPrefillRate and maxPrefillRate bound the prefill rate in tokens per millisecond.
	minPrefillRate, maxPrefillRate = 10.0, 2000.0
	// firstTokenOverheadMS is the time in milliseconds from the end of the prefill to the first token.
	firstTokenOverheadMS = 26.0
	// transferSetupMS is the time in milliseconds before the first byte of a KV cache transfer between engines.
	transferSetupMS = 5.0
	// crossDomainFactor is the factor by which a transfer between failure domains is slower, as documented by the platform.
	crossDomainFactor = 2.0
	// peerPrefillDelay is how long after a peer's message about a prompt its shared parts count as fetchable.
	peerPrefillDelay = 100 * time.Millisecond
	// maxPartsPerPrefix is the largest number of parts in one CachedPrefix.
	maxPartsPerPrefix = 64
	// hopCostMS is the time in milliseconds that an additional call adds to a request.
	hopCostMS = 3.0
)

// endpoint is this VM's state of one endpoint.
type endpoint struct {
	catalog.Endpoint
	cache *cacheIndex
	// ownWork is the work of this VM at the endpoint, workByPeer that of other VMs by VM name.
	ownWork    EndpointWork
	workByPeer map[string]EndpointWork
	// peerTotal is the sum of workByPeer.
	peerTotal EndpointWork
	// notices is what this incarnation of the endpoint has said about itself.
	notices *notices
	// listedDraining is set while the store lists the endpoint as draining. Draining is also set once it has announced that it leaves.
	listedDraining bool
	health
}

// setPeerWork replaces the work of another VM. A zero value removes it.
func (e *endpoint) setPeerWork(vm string, p EndpointWork) {
	old := e.workByPeer[vm]
	e.peerTotal.PrefillTokens += p.PrefillTokens - old.PrefillTokens
	e.peerTotal.Running += p.Running - old.Running
	if p == (EndpointWork{}) {
		delete(e.workByPeer, vm)
		return
	}
	e.workByPeer[vm] = p
}

// prefillBacklog returns the number of prompt tokens of all VMs that the endpoint has yet to prefill.
func (e *endpoint) prefillBacklog() float64 {
	return float64(e.ownWork.PrefillTokens + e.peerTotal.PrefillTokens)
}

// running returns the number of requests of all VMs at the endpoint.
func (e *endpoint) running() int { return e.ownWork.Running + e.peerTotal.Running }

// serviceState holds the measurements of a service.
type serviceState struct {
	// engine is nil for plain services.
	engine *catalog.Engine
	// prefillRate is the measured prefill rate of a prefill engine in tokens per millisecond.
	prefillRate float64
	// directCorrection and splitCorrection correct the predictions of direct and of split plans.
	directCorrection, splitCorrection correction
	// demandTokens is the number of prompt tokens to prefill since demandSince.
	demandTokens float64
	demandSince  time.Time
	// demand is this VM's demand in tokens per second over the last complete demandInterval.
	demand float64
	// peerDemand is the demand of other VMs in tokens per second, by VM name.
	peerDemand map[string]float64
}

// Fleet is this VM's view of all endpoints. It is safe for concurrent use.
type Fleet struct {
	// Log receives a line when an endpoint becomes unavailable or serves again. Set it before use.
	Log zerolog.Logger
	// OnNotice is called with the kind of each new notice. Set it before use. It must not call the fleet.
	OnNotice func(kind string)

	// domain is the failure domain of this VM.
	domain  string
	weights Weights

	mu        sync.Mutex
	services  map[string]*serviceState
	endpoints map[string]*endpoint
	// ordered holds the endpoints sorted by ID, so that all VMs break ties in the same way.
	ordered []*endpoint
	// notices outlives the endpoints, because a store that was unavailable may list an endpoint again.
	notices map[incarnation]*notices
	// endpointIDsByPeer holds the IDs of the endpoints at which each other VM has work.
	endpointIDsByPeer map[string][]string
	// unsentPrefixes are the prompts sent since the last CollectWork.
	unsentPrefixes []CachedPrefix
}

// New returns a fleet without endpoints for a VM in the given failure domain.
func New(domain string, w Weights) *Fleet {
	return &Fleet{domain: domain, weights: w, services: make(map[string]*serviceState), endpoints: make(map[string]*endpoint),
		endpointIDsByPeer: make(map[string][]string), notices: make(map[incarnation]*notices), OnNotice: func(string) {}}
}

// SetServices adds services and replaces the engine configuration of existing ones.
func (f *Fleet) SetServices(services map[string]catalog.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, s := range services {
		if old := f.services[name]; old != nil {
			old.engine = s.Engine
			continue
		}
		f.services[name] = &serviceState{engine: s.Engine, prefillRate: initialPrefillRate, demandSince: time.Now(), peerDemand: make(map[string]float64)}
	}
}

// SetEndpoints replaces the endpoints of all services, and returns the addresses of those that were removed. An endpoint with a new
// address or start time starts with empty state.
func (f *Fleet) SetEndpoints(list []catalog.Endpoint) (gone []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	present := make(map[string]bool, len(list))
	for _, e := range list {
		present[e.ID] = true
		announced, listedDraining := f.noticesOf(&e), e.Draining
		e.Draining = e.Draining || !announced.leavingSince.IsZero()
		old := f.endpoints[e.ID]
		if old == nil || old.StartedAtMS != e.StartedAtMS || old.Address != e.Address {
			f.endpoints[e.ID] = &endpoint{Endpoint: e, cache: newCacheIndex(f.cacheTokens(e.Service)), workByPeer: make(map[string]EndpointWork),
				notices: announced, listedDraining: listedDraining}
			continue
		}
		old.Endpoint, old.listedDraining = e, listedDraining
	}
	f.pruneNotices()
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

// cacheTokens returns the capacity in tokens that the cache of a service's engines has for prompt parts.
func (f *Fleet) cacheTokens(service string) int64 {
	if s := f.services[service]; s != nil && s.engine != nil {
		return s.engine.CacheTokens * 9 / 10 // running requests use the same memory
	}
	return 0
}

// Avoid makes an endpoint get no new work for a duration while others can take it.
func (f *Fleet) Avoid(id string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.endpoints[id]; e != nil {
		e.avoid(time.Now().Add(d))
	}
}

// PrefillRate returns the measured prefill rate of a service's prefill engines in tokens per millisecond.
func (f *Fleet) PrefillRate(service string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.services[service]; s != nil {
		return s.prefillRate
	}
	return initialPrefillRate
}

// Endpoints returns the endpoints of a service sorted by ID.
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
