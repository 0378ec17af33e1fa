package placement

import "time"

// EndpointWork is what another VM has at an endpoint.
type EndpointWork struct {
	UnreadTokens int
	Running      int
}

// PromptRead is a prompt that this VM sent to an engine, for the cache estimates of other VMs.
type PromptRead struct {
	Endpoint string
	Parts    []Part
}

// SetPeerWork replaces what another VM has at the endpoints, and adds the prompts that it sent since the last call. A nil map
// forgets the VM.
func (f *Fleet) SetPeerWork(vm string, work map[string]EndpointWork, reads []PromptRead) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.peerWork[vm] {
		if _, ok := work[id]; ok {
			continue
		}
		if e := f.endpoints[id]; e != nil {
			e.setPeer(vm, EndpointWork{})
		}
	}
	ids := f.peerWork[vm][:0]
	for id, p := range work {
		if e := f.endpoints[id]; e != nil {
			e.setPeer(vm, p)
			ids = append(ids, id)
		}
	}
	f.peerWork[vm] = ids
	if len(ids) == 0 {
		delete(f.peerWork, vm)
	}
	for _, r := range reads {
		if e := f.endpoints[r.Endpoint]; e != nil {
			e.cache.touch(r.Parts, time.Now().Add(peerReadTime))
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

// UnreachableEndpoints returns how long ago this VM found that endpoints accept no connection, for the other VMs.
func (f *Fleet) UnreachableEndpoints() map[string]time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found map[string]time.Duration
	now := time.Now()
	for id, e := range f.endpoints {
		at, ok := e.unreachable[ownReports]
		if !ok || now.Sub(at) >= reportTime || e.heard.After(at) {
			continue
		}
		if found == nil {
			found = make(map[string]time.Duration)
		}
		found[id] = now.Sub(at)
	}
	return found
}

// SetPeerUnreachable records which endpoints accept no connection from another VM, and how long ago it found that.
func (f *Fleet) SetPeerUnreachable(vm string, found map[string]time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for id, ago := range found {
		if e := f.endpoints[id]; e != nil {
			f.report(e, vm, now.Add(-ago), now)
		}
	}
}

// RecordCachedParts records parts that an engine says it keeps, and tells other VMs of them.
func (f *Fleet) RecordCachedParts(endpoint string, parts []Part) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[endpoint]
	if e == nil {
		return
	}
	e.cache.touch(parts, time.Now())
	for len(parts) > 0 {
		n := min(len(parts), maxReadParts)
		f.reads = append(f.reads, PromptRead{Endpoint: endpoint, Parts: parts[:n]})
		parts = parts[n:]
	}
}

// CachedParts returns the parts that each engine is expected to keep.
func (f *Fleet) CachedParts() []PromptRead {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []PromptRead
	for id, e := range f.endpoints {
		if parts := e.cache.parts(); len(parts) > 0 {
			all = append(all, PromptRead{Endpoint: id, Parts: parts})
		}
	}
	return all
}

// ImportCachedParts records what another VM expects engines to keep.
func (f *Fleet) ImportCachedParts(reads []PromptRead) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range reads {
		if e := f.endpoints[r.Endpoint]; e != nil {
			e.cache.touch(r.Parts, time.Now())
		}
	}
}

// CollectWork returns this VM's work at the endpoints, and the prompts sent since the last call.
func (f *Fleet) CollectWork() (map[string]EndpointWork, []PromptRead) {
	f.mu.Lock()
	defer f.mu.Unlock()
	work := make(map[string]EndpointWork)
	for id, e := range f.endpoints {
		if e.own != (EndpointWork{}) {
			work[id] = e.own
		}
	}
	reads := f.reads
	f.reads = nil
	return work, reads
}

// demandSpan is the time over which demand is averaged.
const demandSpan = 2 * time.Second

// MeasureDemand returns this VM's demand for prompt reading by service, in tokens a second, averaged over the last span.
func (f *Fleet) MeasureDemand() map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]float64)
	for name, s := range f.services {
		if elapsed := time.Since(s.demandFrom); elapsed >= demandSpan {
			s.demand = s.asked / elapsed.Seconds()
			s.asked, s.demandFrom = 0, time.Now()
		}
		if s.demand > 0 {
			out[name] = s.demand
		}
	}
	return out
}

// SetPeerDemand replaces another VM's demand. A nil map forgets it.
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

// Demand returns the demand of all VMs for prompt reading at a service, as a multiple of what one prefill engine reads.
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
	return sum / (s.rate * 1000)
}
