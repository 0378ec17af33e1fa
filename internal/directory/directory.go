// Package directory selects the VMs that callers connect to.
package directory

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// minLocalVMs is the smallest number of VMs in the caller's failure domain at which callers get no VMs of other domains. With fewer, the
// loss of one would leave the callers of the domain with too few VMs until their directory response expires.
const minLocalVMs = 4

// VM is a VM that serves callers.
type VM struct {
	Address, Domain string
	// ConfigConfirmed is set when the VM recently confirmed that its configuration is the newest. Other VMs may have to refuse requests
	// with keys.
	ConfigConfirmed bool
}

// SelectAddresses returns at most limit addresses of VMs for callers of a failure domain, in sorted order. VMs without a
// confirmed configuration are left out unless no VM has one. If the domain has enough VMs, only those are returned, which saves traffic
// between domains. If more VMs remain than limit, the result is a subset that depends on directoryVM, the name of the VM that responds:
// it is the same each time, so that callers keep their connections, and differs between responding VMs, so that all VMs get callers.
func SelectAddresses(vms []VM, domain, directoryVM string, limit int) []string {
	selected := filter(vms, func(v VM) bool { return v.ConfigConfirmed })
	if len(selected) == 0 {
		selected = vms
	}
	if local := filter(selected, func(v VM) bool { return v.Domain == domain }); len(local) >= minLocalVMs {
		selected = local
	}
	addresses := make([]string, 0, len(selected))
	for _, v := range selected {
		addresses = append(addresses, v.Address)
	}
	if len(addresses) > limit {
		sort.Slice(addresses, func(i, j int) bool {
			return xxhash.Sum64String(directoryVM+" "+addresses[i]) < xxhash.Sum64String(directoryVM+" "+addresses[j])
		})
		addresses = addresses[:limit]
	}
	sort.Strings(addresses)
	return addresses
}

func filter(vms []VM, match func(VM) bool) []VM {
	var matching []VM
	for _, v := range vms {
		if match(v) {
			matching = append(matching, v)
		}
	}
	return matching
}
