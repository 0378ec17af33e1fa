package membership

import (
	"slices"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// WatchersPerDomain is the number of controllers in each failure domain that watch the platform's configuration. The second one
// supplies the domain while the first restarts.
const WatchersPerDomain = 2

// Watchers returns the sorted names of the live VMs whose controllers watch the platform's configuration.
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

// Parents returns the VMs whose controllers supply configuration to the processes on VM self, in order of preference: watchers in its
// own failure domain, then the other watchers. A controller that watches the platform itself doesn't use them.
func Parents(self string, vms []apitypes.VM) []apitypes.VM {
	watchers := Watchers(vms)
	byName := make(map[string]apitypes.VM, len(vms))
	for _, vm := range vms {
		byName[vm.Name] = vm
	}
	domain := byName[self].FailureDomain
	var sameDomain, otherDomains []apitypes.VM
	for _, name := range Rendezvous("config-parent/"+self, watchers, len(watchers)) {
		if byName[name].FailureDomain == domain {
			sameDomain = append(sameDomain, byName[name])
			continue
		}
		otherDomains = append(otherDomains, byName[name])
	}
	return append(sameDomain, otherDomains...)
}
