package balancer

import (
	"slices"
	"sync"

	"crocusglade.example/crocusglade/internal/apierror"
)

// Balancer chooses endpoints. Its methods may be called concurrently.
type Balancer struct {
	mu          sync.Mutex
	endpoints   map[string]map[string]Endpoint
	outstanding map[string]int
}

// New returns a balancer with no endpoints. The seed drives the sampling of candidates.
func New(seed uint64) *Balancer {
	return &Balancer{endpoints: make(map[string]map[string]Endpoint), outstanding: make(map[string]int)}
}

// Update sets what is known of an endpoint of a pool.
func (b *Balancer) Update(pool string, e Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.endpoints[pool] == nil {
		b.endpoints[pool] = make(map[string]Endpoint)
	}
	b.endpoints[pool][e.Name] = e
}

// Remove forgets an endpoint.
func (b *Balancer) Remove(pool, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.endpoints[pool], name)
}

// CacheEvent records prefix blocks that an endpoint stored and removed; reset forgets all earlier ones.
func (b *Balancer) CacheEvent(endpoint string, stored, removed []uint64, reset bool) {}

// PeerSend records prompt tokens that a neighbour sent to an endpoint.
func (b *Balancer) PeerSend(vm, endpoint string, promptTokens int64, requests int) {}

// TakeSends returns and clears prompt tokens and requests sent to each endpoint since the last call, for neighbours.
func (b *Balancer) TakeSends() map[string]Send { return nil }

// Send counts work sent to an endpoint.
type Send struct {
	PromptTokens int64
	Requests     int
}

// Choose picks an endpoint and counts the request as sent to it. It returns an *apierror.Error of kind Overloaded or
// Unavailable when no endpoint can take the request.
func (b *Balancer) Choose(r Request) (*Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *Endpoint
	for _, e := range b.endpoints[r.Pool] {
		if e.NoNewWork || slices.Contains(r.Exclude, e.Name) {
			continue
		}
		if best == nil || b.outstanding[e.Name] < b.outstanding[best.Name] {
			best = &e
		}
	}
	if best == nil {
		return nil, apierror.New(apierror.Unavailable, "retry later; if it persists, an operator should check the pool with 'crocusgladectl endpoints'",
			"pool %s has no endpoint that takes work", r.Pool)
	}
	name := best.Name
	b.outstanding[name]++
	return &Choice{Endpoint: best.Endpoint, Instance: best.Load.Instance, done: func(Outcome) { b.finish(name) }}, nil
}

func (b *Balancer) finish(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outstanding[name]--
}
