package membership

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// MaxNeighbours bounds the neighbours of a VM. Heartbeats of 50 bytes a second from 8 neighbours use 0.4 KB/s. In a full mesh of 330
// VMs they would use 16 KB/s, more than the 6 KB/s that a node may use.
const MaxNeighbours = 8

func byName(a, b apitypes.VM) int { return strings.Compare(a.Name, b.Name) }

// Neighbours returns the VMs that self exchanges updates with, by name: all other VMs if there are at most MaxNeighbours, and
// otherwise the nearest ones on both sides of self on a ring on which the failure domains alternate. The relation is symmetric.
func Neighbours(self apitypes.VM, live []apitypes.VM) []apitypes.VM {
	ring := buildRing(self, live)
	if len(ring) <= MaxNeighbours+1 {
		return slices.SortedFunc(slices.Values(without(ring, self.Name)), byName)
	}
	index := slices.IndexFunc(ring, func(vm apitypes.VM) bool { return vm.Name == self.Name })
	var out []apitypes.VM
	for distance := 1; distance <= MaxNeighbours/2; distance++ {
		out = append(out, ring[(index+distance)%len(ring)], ring[(index-distance+len(ring))%len(ring)])
	}
	slices.SortFunc(out, byName)
	return out
}

// without returns a copy of the VMs without the named one.
func without(vms []apitypes.VM, name string) []apitypes.VM {
	return slices.DeleteFunc(slices.Clone(vms), func(vm apitypes.VM) bool { return vm.Name == name })
}

// buildRing orders the VMs so that each failure domain is spread evenly over the ring, in hash order within a domain. self is always
// part of the ring, because a leaving VM still serves.
func buildRing(self apitypes.VM, live []apitypes.VM) []apitypes.VM {
	vms := append(without(live, self.Name), self)
	slices.SortFunc(vms, func(a, b apitypes.VM) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), byName(a, b))
	})
	domainSize := make(map[string]int)
	for _, vm := range vms {
		domainSize[vm.FailureDomain]++
	}
	position := make(map[string]float64, len(vms))
	seen := make(map[string]int)
	for _, vm := range vms {
		domain := vm.FailureDomain
		position[vm.Name] = (float64(seen[domain]) + 0.5) / float64(domainSize[domain])
		seen[domain]++
	}
	slices.SortFunc(vms, func(a, b apitypes.VM) int {
		return cmp.Or(cmp.Compare(position[a.Name], position[b.Name]), strings.Compare(a.FailureDomain, b.FailureDomain))
	})
	return vms
}
