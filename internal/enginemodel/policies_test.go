package enginemodel_test

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/enginemodel"
	"crocusglade.example/crocusglade/internal/placement"
)

// byPlacement is the policy of package placement: each VM has a view of the fleet and sends its dispatched work to the other VMs.
func byPlacement(s *site) func(int, *prompt) *route { return newPlacementPolicy(s, true) }

// byPlacementWithoutLimit is byPlacement without a limit on waits.
func byPlacementWithoutLimit(s *site) func(int, *prompt) *route { return newPlacementPolicy(s, false) }

func newPlacementPolicy(s *site, limited bool) func(int, *prompt) *route {
	spec := enginemodel.RopeLogsEngine
	var views []*placement.Fleet
	for vm := range siteVMs {
		f := placement.New(fmt.Sprint("z", vm%3), placement.DefaultWeights)
		f.SetServices(map[string]catalog.Service{"llm": {Name: "llm", Engine: &catalog.Engine{Slots: spec.Slots, CacheTokens: int64(spec.MemoryTokens),
			KVBytesPerToken: spec.TokenBytes, LinkMbps: spec.LinkMbps}}})
		f.SetEndpoints(s.endpoints)
		views = append(views, f)
	}
	go func() {
		for range (warmUpTime + measuredTime + 8*time.Second) / peerUpdateInterval {
			time.Sleep(peerUpdateInterval)
			var deliveries []func() // in the order of the senders: the order of prompts decides which cached parts are evicted
			for from, f := range views {
				work, reads := f.CollectWork()
				deliveries = append(deliveries, func() {
					for to, other := range views {
						if to != from {
							other.SetPeerWork(fmt.Sprint("vm-", from), work, reads)
						}
					}
				})
			}
			time.AfterFunc(peerUpdateDelay, func() {
				for _, deliver := range deliveries {
					deliver()
				}
			})
		}
	}()
	return func(vm int, p *prompt) *route {
		if limited {
			p.MaxWait, p.MaxTimeToFirstToken = placement.MaxWait(maxObjective, p.priority), p.deadline
		}
		plan := views[vm].PlacePrompt("llm", &p.Prompt, placement.Filter{})
		if plan.LimitExcess > 0 {
			return &route{retryAfter: minRetryAfter + plan.LimitExcess}
		}
		r := &route{decodeEngine: plan.Decode.Endpoint.ID, decodeFetchFrom: plan.Decode.FetchFrom, onDone: plan.Decode.Done,
			onFirstToken: func() { plan.Decode.RecordFirstToken(); plan.RecordFirstToken() }}
		if plan.Prefill != nil {
			r.prefillEngine, r.prefillFetchFrom = plan.Prefill.Endpoint.ID, plan.Prefill.FetchFrom
			r.onPrefillDone = func() { plan.Prefill.RecordFirstToken(); plan.Prefill.Done(placement.Served) }
			r.onDone = func(o placement.Outcome) { plan.Prefill.Done(o); plan.Decode.Done(o) }
		}
		return r
	}
}

// leastInFlight is the first baseline: each VM sends a request to the decode engine with the fewest of its requests in flight.
// That engine also prefills the prompt.
func leastInFlight(s *site) func(int, *prompt) *route {
	inFlight := make([]map[string]int, siteVMs)
	for vm := range inFlight {
		inFlight[vm] = make(map[string]int)
	}
	offset := 0
	var mu sync.Mutex
	return func(vm int, _ *prompt) *route {
		mu.Lock()
		defer mu.Unlock()
		offset++
		best := ""
		for i := range s.endpoints {
			e := s.endpoints[(i+offset)%len(s.endpoints)]
			if e.Role == catalog.Decode && (best == "" || inFlight[vm][e.ID] < inFlight[vm][best]) {
				best = e.ID
			}
		}
		inFlight[vm][best]++
		return &route{decodeEngine: best, onFirstToken: func() {}, onDone: func(placement.Outcome) {
			mu.Lock()
			defer mu.Unlock()
			inFlight[vm][best]--
		}}
	}
}

// bySubject is the second baseline: a hash assigns each subject to one decode engine, so that no other engine prefills its shared
// part. Load is ignored.
func bySubject(s *site) func(int, *prompt) *route {
	return func(_ int, p *prompt) *route {
		best, bestHash := "", uint64(0)
		for _, e := range s.endpoints {
			if h := xxhash.Sum64String(p.SharedPrefixID() + e.ID); e.Role == catalog.Decode && (best == "" || h > bestHash) {
				best, bestHash = e.ID, h
			}
		}
		return &route{decodeEngine: best, onFirstToken: func() {}, onDone: func(placement.Outcome) {}}
	}
}

var policies = []struct {
	name      string
	newPolicy func(*site) func(int, *prompt) *route
}{{"placement", byPlacement}, {"placement, no limit", byPlacementWithoutLimit}, {"least in flight", leastInFlight}, {"by subject", bySubject}}
