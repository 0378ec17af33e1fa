package placement

import "time"

// EndpointWork is the work of one VM at an endpoint.
type EndpointWork struct {
	// PrefillTokens is the number of prompt tokens that the endpoint has yet to prefill.
	PrefillTokens int
	// Running is the number of requests in progress.
	Running int
}

// CachedPrefix lists shared prompt parts that are in an engine's cache, or that the engine prefills now. VMs exchange it to update
// their cache estimates.
type CachedPrefix struct {
	Endpoint string
	Parts    []Part
}

// SetPeerWork replaces another VM's work at the endpoints, and adds the prompts that it sent since the last call to the cache
// estimates. A nil map removes the VM's work.
func (f *Fleet) SetPeerWork(vm string, work map[string]EndpointWork, prefixes []CachedPrefix) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.endpointIDsByPeer[vm] {
		if _, ok := work[id]; ok {
			continue
		}
		if e := f.endpoints[id]; e != nil {
			e.setPeerWork(vm, EndpointWork{})
		}
	}
	ids := f.endpointIDsByPeer[vm][:0]
	for id, p := range work {
		if e := f.endpoints[id]; e != nil {
			e.setPeerWork(vm, p)
			ids = append(ids, id)
		}
	}
	f.endpointIDsByPeer[vm] = ids
	if len(ids) == 0 {
		delete(f.endpointIDsByPeer, vm)
	}
	for _, r := range prefixes {
		if e := f.endpoints[r.Endpoint]; e != nil {
			e.cache.touch(r.Parts, time.Now().Add(peerPrefillDelay))
		}
	}
}

// ReportUnreachable records that an endpoint accepts no connection from this VM.
func (f *Fleet) ReportUnreachable(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.endpoints[id]; e != nil {
		f.record(e, Unreachable, time.Now())
	}
}

// UnreachableEndpoints returns this VM's own valid reports of endpoints that accept no connection, with their age. Reports of other VMs
// are not included.
func (f *Fleet) UnreachableEndpoints() map[string]time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found map[string]time.Duration
	now := time.Now()
	for id, e := range f.endpoints {
		at, ok := e.unreachableReports[ownReportKey]
		if !ok || now.Sub(at) >= reportTTL || e.lastActivity.After(at) {
			continue
		}
		if found == nil {
			found = make(map[string]time.Duration)
		}
		found[id] = now.Sub(at)
	}
	return found
}

// SetPeerUnreachable records another VM's reports of endpoints that accept no connection, with their age.
func (f *Fleet) SetPeerUnreachable(vm string, found map[string]time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for id, age := range found {
		if e := f.endpoints[id]; e != nil {
			f.recordPeerReport(e, vm, now.Add(-age), now)
		}
	}
}

// RecordCachedParts records parts that an engine reported as cached, and queues them for the other VMs.
func (f *Fleet) RecordCachedParts(endpoint string, parts []Part) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[endpoint]
	if e == nil {
		return
	}
	e.cache.touch(parts, time.Now())
	for len(parts) > 0 {
		n := min(len(parts), maxPartsPerPrefix)
		f.unsentPrefixes = append(f.unsentPrefixes, CachedPrefix{Endpoint: endpoint, Parts: parts[:n]})
		parts = parts[n:]
	}
}

// CachedParts returns the parts that are expected in each engine's cache.
func (f *Fleet) CachedParts() []CachedPrefix {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []CachedPrefix
	for id, e := range f.endpoints {
		if parts := e.cache.parts(); len(parts) > 0 {
			all = append(all, CachedPrefix{Endpoint: id, Parts: parts})
		}
	}
	return all
}

// ImportCachedParts adds another VM's cache estimates to this VM's.
func (f *Fleet) ImportCachedParts(prefixes []CachedPrefix) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range prefixes {
		if e := f.endpoints[r.Endpoint]; e != nil {
			e.cache.touch(r.Parts, time.Now())
		}
	}
}

// CollectWork returns this VM's work by endpoint ID, and the prompts sent since the last call.
func (f *Fleet) CollectWork() (map[string]EndpointWork, []CachedPrefix) {
	f.mu.Lock()
	defer f.mu.Unlock()
	work := make(map[string]EndpointWork)
	for id, e := range f.endpoints {
		if e.ownWork != (EndpointWork{}) {
			work[id] = e.ownWork
		}
	}
	prefixes := f.unsentPrefixes
	f.unsentPrefixes = nil
	return work, prefixes
}

// demandInterval is the time over which demand is averaged.
const demandInterval = 2 * time.Second

// MeasureDemand returns this VM's prefill demand by service in tokens per second, averaged over the last demandInterval.
func (f *Fleet) MeasureDemand() map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]float64)
	for name, s := range f.services {
		if elapsed := time.Since(s.demandSince); elapsed >= demandInterval {
			s.demand = s.demandTokens / elapsed.Seconds()
			s.demandTokens, s.demandSince = 0, time.Now()
		}
		if s.demand > 0 {
			out[name] = s.demand
		}
	}
	return out
}

// SetPeerDemand replaces another VM's demand in tokens per second by service. A nil map removes it.
func (f *Fleet) SetPeerDemand(vm string, demand map[string]float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, s := range f.services {
		if d, ok := demand[name]; ok {
			s.peerDemand[vm] = d
			continue
		}
		delete(s.peerDemand, vm)
	}
}

// Demand returns the prefill demand of all VMs for a service, as a multiple of the prefill rate of one prefill engine.
func (f *Fleet) Demand(service string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	if s == nil {
		return 0
	}
	sum := s.demand
	for _, d := range s.peerDemand {
		sum += d
	}
	return sum / (s.prefillRate * 1000)
}
