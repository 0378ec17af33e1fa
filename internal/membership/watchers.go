package membership

import (
	"slices"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// WatchersPerDomain is the number of controllers in each failure domain that watch the platform. A second one keeps the
// domain supplied while the first is restarted.
const WatchersPerDomain = 2

// Watchers returns the names of the live VMs whose controllers watch the platform, sorted.
func Watchers(vms []apitypes.VM) []string {
	byDomain := make(map[string][]string)
	for _, vm := range vms {
		if vm.State == apitypes.VMLive {
			byDomain[vm.FailureDomain] = append(byDomain[vm.FailureDomain], vm.Name)
		}
	}
	var watchers []string
	for domain, names := range byDomain {
		watchers = append(watchers, Rendezvous("config-watch/"+domain, names, WatchersPerDomain)...)
	}
	slices.Sort(watchers)
	return watchers
}

// Parents returns the VMs whose controllers supply configuration to the process on VM self, best first: watchers in its own
// failure domain, then the other watchers. A watching controller has no parents.
func Parents(self string, vms []apitypes.VM) []apitypes.VM {
	watchers := Watchers(vms)
	byName := make(map[string]apitypes.VM, len(vms))
	for _, vm := range vms {
		byName[vm.Name] = vm
	}
	domain := byName[self].FailureDomain
	var near, far []apitypes.VM
	for _, name := range Rendezvous("config-parent/"+self, watchers, len(watchers)) {
		if byName[name].FailureDomain == domain {
			near = append(near, byName[name])
			continue
		}
		far = append(far, byName[name])
	}
	return append(near, far...)
}
