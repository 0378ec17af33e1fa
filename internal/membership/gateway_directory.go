package membership

import (
	"math/rand/v2"
	"slices"
	"sync"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// GatewayDirectory lists the gateways that serve callers: this one until it leaves, and the neighbours that are alive and accept new
// callers. Its methods may be called concurrently.
type GatewayDirectory struct {
	self    apitypes.VM
	members *Members
	serving func(vm string) bool

	mu   sync.Mutex
	left bool
}

// NewGatewayDirectory returns the directory of the gateway on VM self. serving reports whether a neighbour is alive and accepts new
// callers.
func NewGatewayDirectory(self apitypes.VM, members *Members, serving func(vm string) bool) *GatewayDirectory {
	return &GatewayDirectory{self: self, members: members, serving: serving}
}

// LeaveDiscovery removes this gateway from its own directory. Neighbours are notified by the next exchange.
func (d *GatewayDirectory) LeaveDiscovery() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left = true
}

// ServingVMs returns this VM, unless it has left, and the neighbours whose gateways serve callers.
func (d *GatewayDirectory) ServingVMs() []apitypes.VM {
	d.mu.Lock()
	left := d.left
	d.mu.Unlock()
	var out []apitypes.VM
	if !left {
		out = append(out, d.self)
	}
	for _, vm := range d.members.Neighbours() {
		if d.serving(vm.Name) {
			out = append(out, vm)
		}
	}
	return out
}

// OwnsEndpoint reports whether this gateway, of those in the directory, is the one that may use an endpoint for requests under which
// another endpoint died.
func (d *GatewayDirectory) OwnsEndpoint(endpoint string) bool {
	var names []string
	for _, vm := range d.ServingVMs() {
		names = append(names, vm.Name)
	}
	owner := Rendezvous(endpoint, names, 1)
	return len(owner) == 1 && owner[0] == d.self.Name
}

// GatewayCount returns the number of gateways that share the pools, at least 1: those of all live VMs without the neighbours that
// don't serve.
func (d *GatewayDirectory) GatewayCount() int {
	neighbours := d.members.Neighbours()
	others := 0
	for _, vm := range d.members.Live() {
		if vm.Name != d.self.Name {
			others++
		}
	}
	return max(1, others-len(neighbours)+len(d.ServingVMs()))
}

// Addresses returns the addresses for callers. The order is random, so that callers spread over the gateways, and consecutive
// addresses are in different failure domains where possible, so that a caller's second try goes to another domain.
func (d *GatewayDirectory) Addresses() []string {
	vms := d.ServingVMs()
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
