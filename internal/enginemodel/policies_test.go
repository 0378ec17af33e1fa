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

// byPlacement is the product's policy: a view for each VM, which tell each other what they sent.
func byPlacement(s *site) func(int, *prompt) *route { return place(s, true) }

// withoutLimit is the same without a limit on waits.
func withoutLimit(s *site) func(int, *prompt) *route { return place(s, false) }

func place(s *site, limited bool) func(int, *prompt) *route {
	k := enginemodel.RopeLogs
	var views []*placement.Fleet
	for vm := range siteVMs {
		f := placement.New(fmt.Sprint("z", vm%3), placement.DefaultWeights)
		f.SetServices(map[string]catalog.Service{"llm": {Name: "llm", Engine: &catalog.Engine{Slots: k.Slots, CacheTokens: int64(k.MemoryTokens),
			KVBytesPerToken: k.TokenBytes, LinkMbps: k.LinkMbps}}})
		f.SetEndpoints(s.list)
		views = append(views, f)
	}
	go func() {
		for range (warmUp + measured + 8*time.Second) / newsEvery {
			time.Sleep(newsEvery)
			for from, f := range views {
				work, reads := f.CollectWork()
				time.AfterFunc(newsWay, func() {
					for to, other := range views {
						if to != from {
							other.SetPeerWork(fmt.Sprint("vm-", from), work, reads)
						}
					}
				})
			}
		}
	}()
	return func(vm int, p *prompt) *route {
		if limited {
			p.MaxWait, p.MaxTimeToFirstToken = placement.MaxWait(longestAim, p.priority), p.deadline
		}
		plan := views[vm].PlacePrompt("llm", &p.Prompt, nil)
		if plan.LimitExcess > 0 {
			return &route{refused: comeBack + plan.LimitExcess}
		}
		r := &route{runner: plan.Runner.Endpoint.ID, runnerFetch: plan.Runner.FetchFrom, done: plan.Runner.Done,
			first: func() { plan.Runner.RecordFirstToken(); plan.RecordFirstToken() }}
		if plan.Reader != nil {
			r.reader, r.readerFetch = plan.Reader.Endpoint.ID, plan.Reader.FetchFrom
			r.read = func() { plan.Reader.RecordFirstToken(); plan.Reader.Done(placement.Served) }
			r.done = func(o placement.Outcome) { plan.Reader.Done(o); plan.Runner.Done(o) }
		}
		return r
	}
}

// leastInFlight is the plain baseline: each VM sends to the decode engine at which it has least, and engines read their prompts
// themselves.
func leastInFlight(s *site) func(int, *prompt) *route {
	counts := make([]map[string]int, siteVMs)
	for vm := range counts {
		counts[vm] = make(map[string]int)
	}
	turn := 0
	var mu sync.Mutex
	return func(vm int, _ *prompt) *route {
		mu.Lock()
		defer mu.Unlock()
		turn++
		best := ""
		for i := range s.list {
			e := s.list[(i+turn)%len(s.list)]
			if e.Role == catalog.Decode && (best == "" || counts[vm][e.ID] < counts[vm][best]) {
				best = e.ID
			}
		}
		counts[vm][best]++
		return &route{runner: best, first: func() {}, done: func(placement.Outcome) {
			mu.Lock()
			defer mu.Unlock()
			counts[vm][best]--
		}}
	}
}

// bySubject is the second baseline: a subject has one decode engine by hash, so nothing is read twice and load isn't looked at.
func bySubject(s *site) func(int, *prompt) *route {
	return func(_ int, p *prompt) *route {
		best, rank := "", uint64(0)
		for _, e := range s.list {
			if h := xxhash.Sum64String(p.SharedPrefixID() + e.ID); e.Role == catalog.Decode && (best == "" || h > rank) {
				best, rank = e.ID, h
			}
		}
		return &route{runner: best, first: func() {}, done: func(placement.Outcome) {}}
	}
}

var policies = []struct {
	name string
	make func(*site) func(int, *prompt) *route
}{{"placement", byPlacement}, {"placement, no limit", withoutLimit}, {"least in flight", leastInFlight}, {"by subject", bySubject}}
