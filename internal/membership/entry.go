package membership

import (
	"math/rand/v2"
	"slices"
	"sync"

	"crocusglade.example/crocusglade/internal/world"
)

// Entry answers which gateways serve callers: this one until it leaves, and the neighbours that are heard and take new callers.
// Its methods may be called concurrently.
type Entry struct {
	self    world.VM
	members *Members
	serving func(vm string) bool

	mu   sync.Mutex
	left bool
}

// NewEntry returns the entry of the gateway on VM self. serving tells whether a neighbour is alive and takes new callers.
func NewEntry(self world.VM, members *Members, serving func(vm string) bool) *Entry {
	return &Entry{self: self, members: members, serving: serving}
}

// Leave takes this gateway out of its own answers. Neighbours learn of it by the next exchange.
func (e *Entry) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.left = true
}

// Serving returns the VMs whose gateways serve callers.
func (e *Entry) Serving() []world.VM {
	e.mu.Lock()
	left := e.left
	e.mu.Unlock()
	var out []world.VM
	if !left {
		out = append(out, e.self)
	}
	for _, vm := range e.members.Neighbours() {
		if e.serving(vm.Name) {
			out = append(out, vm)
		}
	}
	return out
}

// Owns tells whether this gateway, of those that serve, is the one that uses an endpoint for requests under which another died.
func (e *Entry) Owns(endpoint string) bool {
	var names []string
	for _, vm := range e.Serving() {
		names = append(names, vm.Name)
	}
	first := Rendezvous(endpoint, names, 1)
	return len(first) == 1 && first[0] == e.self.Name
}

// Sharing returns how many gateways share the pools: all live VMs, without the neighbours that are known not to serve.
func (e *Entry) Sharing() int {
	neighbours := e.members.Neighbours()
	others := 0
	for _, vm := range e.members.Live() {
		if vm.Name != e.self.Name {
			others++
		}
	}
	return max(1, others-len(neighbours)+len(e.Serving()))
}

// Addresses returns the addresses for callers. The order is random, and neighbouring addresses are in different failure domains
// where possible, so that callers spread and their second try meets another domain.
func (e *Entry) Addresses() []string {
	vms := e.Serving()
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	seen := make(map[string]int)
	rank := make(map[string]int, len(vms))
	for _, vm := range vms {
		rank[vm.Name] = seen[vm.FailureDomain]
		seen[vm.FailureDomain]++
	}
	slices.SortStableFunc(vms, func(a, b world.VM) int { return rank[a.Name] - rank[b.Name] })
	out := make([]string, 0, len(vms))
	for _, vm := range vms {
		out = append(out, vm.GatewayAddr)
	}
	return out
}
