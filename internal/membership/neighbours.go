package membership

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// MaxNeighbours bounds the neighbours of a VM. Heartbeats of 50 bytes a second from 8 neighbours cost 0.4 KB/s, while a full
// mesh of 330 VMs would cost 16 KB/s of the 6 KB/s that a node may use.
const MaxNeighbours = 8

func byName(a, b apitypes.VM) int { return strings.Compare(a.Name, b.Name) }

// Neighbours returns the VMs that self exchanges updates with, by name: all others while there are at most MaxNeighbours, and
// otherwise the nearest ones on both sides of a ring on which the failure domains alternate. The relation is symmetric.
func Neighbours(self apitypes.VM, live []apitypes.VM) []apitypes.VM {
	ring := ringOf(self, live)
	if len(ring) <= MaxNeighbours+1 {
		return slices.SortedFunc(slices.Values(without(ring, self.Name)), byName)
	}
	at := slices.IndexFunc(ring, func(vm apitypes.VM) bool { return vm.Name == self.Name })
	var out []apitypes.VM
	for d := 1; d <= MaxNeighbours/2; d++ {
		out = append(out, ring[(at+d)%len(ring)], ring[(at-d+len(ring))%len(ring)])
	}
	slices.SortFunc(out, byName)
	return out
}

func without(vms []apitypes.VM, name string) []apitypes.VM {
	return slices.DeleteFunc(slices.Clone(vms), func(vm apitypes.VM) bool { return vm.Name == name })
}

// ringOf orders the VMs so that each failure domain is spread evenly over the ring, in hash order within a domain. A leaving
// self keeps its place, because it still serves.
func ringOf(self apitypes.VM, live []apitypes.VM) []apitypes.VM {
	vms := append(without(live, self.Name), self)
	slices.SortFunc(vms, func(a, b apitypes.VM) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), byName(a, b))
	})
	size := make(map[string]int)
	for _, vm := range vms {
		size[vm.FailureDomain]++
	}
	place := make(map[string]float64, len(vms))
	seen := make(map[string]int)
	for _, vm := range vms {
		d := vm.FailureDomain
		place[vm.Name] = (float64(seen[d]) + 0.5) / float64(size[d])
		seen[d]++
	}
	slices.SortFunc(vms, func(a, b apitypes.VM) int {
		return cmp.Or(cmp.Compare(place[a.Name], place[b.Name]), strings.Compare(a.FailureDomain, b.FailureDomain))
	})
	return vms
}
