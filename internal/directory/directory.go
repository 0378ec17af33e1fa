// Package directory chooses the VMs that callers are told to connect to.
package directory

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// minLocal is the number of VMs of the caller's failure domain from which on only these are named: with fewer, the loss of one
// would leave the callers of the domain with too few until their answer ends.
const minLocal = 4

// VM is a VM that serves callers.
type VM struct {
	Address, Domain string
	// ConfigConfirmed is set when the VM has confirmed its configuration lately. VMs without it may have to refuse requests with keys.
	ConfigConfirmed bool
}

// SelectAddresses returns the addresses for callers of a failure domain, at most limit. It answers two loads: callers in a domain with
// enough VMs stay in it, which saves bytes between domains; in a deployment larger than one answer, each directory names other
// VMs, the same ones each time, so that callers keep their connections and all VMs get a share. asker names the directory's VM.
func SelectAddresses(vms []VM, domain, asker string, limit int) []string {
	chosen := filter(vms, func(v VM) bool { return v.ConfigConfirmed })
	if len(chosen) == 0 {
		chosen = vms
	}
	if local := filter(chosen, func(v VM) bool { return v.Domain == domain }); len(local) >= minLocal {
		chosen = local
	}
	addresses := make([]string, 0, len(chosen))
	for _, v := range chosen {
		addresses = append(addresses, v.Address)
	}
	if len(addresses) > limit {
		sort.Slice(addresses, func(i, j int) bool {
			return xxhash.Sum64String(asker+" "+addresses[i]) < xxhash.Sum64String(asker+" "+addresses[j])
		})
		addresses = addresses[:limit]
	}
	sort.Strings(addresses)
	return addresses
}

func filter(vms []VM, keep func(VM) bool) []VM {
	var kept []VM
	for _, v := range vms {
		if keep(v) {
			kept = append(kept, v)
		}
	}
	return kept
}
