package membership

import (
	"math/rand/v2"
	"slices"
	"sync"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// GatewayDirectory answers which gateways serve callers: this one until it leaves, and the neighbours that are heard and take new callers.
// Its methods may be called concurrently.
type GatewayDirectory struct {
	self    apitypes.VM
	members *Members
	serving func(vm string) bool

	mu   sync.Mutex
	left bool
}

// NewGatewayDirectory returns the entry of the gateway on VM self. serving tells whether a neighbour is alive and takes new callers.
func NewGatewayDirectory(self apitypes.VM, members *Members, serving func(vm string) bool) *GatewayDirectory {
	return &GatewayDirectory{self: self, members: members, serving: serving}
}

// LeaveDiscovery takes this gateway out of its own answers. Neighbours learn of it by the next exchange.
func (e *GatewayDirectory) LeaveDiscovery() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.left = true
}

// ServingVMs returns the VMs whose gateways serve callers.
func (e *GatewayDirectory) ServingVMs() []apitypes.VM {
	e.mu.Lock()
	left := e.left
	e.mu.Unlock()
	var out []apitypes.VM
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

// OwnsEndpoint tells whether this gateway, of those that serve, is the one that uses an endpoint for requests under which another died.
func (e *GatewayDirectory) OwnsEndpoint(endpoint string) bool {
	var names []string
	for _, vm := range e.ServingVMs() {
		names = append(names, vm.Name)
	}
	first := Rendezvous(endpoint, names, 1)
	return len(first) == 1 && first[0] == e.self.Name
}

// GatewayCount returns how many gateways share the pools: all live VMs, without the neighbours that are known not to serve.
func (e *GatewayDirectory) GatewayCount() int {
	neighbours := e.members.Neighbours()
	others := 0
	for _, vm := range e.members.Live() {
		if vm.Name != e.self.Name {
			others++
		}
	}
	return max(1, others-len(neighbours)+len(e.ServingVMs()))
}

// Addresses returns the addresses for callers. The order is random, and neighbouring addresses are in different failure domains
// where possible, so that callers spread and their second try meets another domain.
func (e *GatewayDirectory) Addresses() []string {
	vms := e.ServingVMs()
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	seen := make(map[string]int)
	rank := make(map[string]int, len(vms))
	for _, vm := range vms {
		rank[vm.Name] = seen[vm.FailureDomain]
		seen[vm.FailureDomain]++
	}
	slices.SortStableFunc(vms, func(a, b apitypes.VM) int { return rank[a.Name] - rank[b.Name] })
	out := make([]string, 0, len(vms))
	for _, vm := range vms {
		out = append(out, vm.GatewayAddr)
	}
	return out
}
