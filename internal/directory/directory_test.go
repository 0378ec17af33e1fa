package directory

import (
	"fmt"
	"slices"
	"testing"
)

func vms(n int, domains ...string) []VM {
	var list []VM
	for i := range n {
		list = append(list, VM{Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Domain: domains[i%len(domains)], ConfigConfirmed: true})
	}
	return list
}

// Guards against callers that get only the few VMs of their failure domain: in a small deployment the loss of one would leave too few.
func TestSmallDeploymentReturnsAllVMs(t *testing.T) {
	if got := SelectAddresses(vms(9, "a", "b", "c"), "a", "vm-1", 64); len(got) != 9 {
		t.Errorf("%d addresses, want 9", len(got))
	}
}

// Guards against traffic between failure domains: callers of a domain with enough VMs get only the VMs of that domain.
func TestLargeDeploymentReturnsVMsOfTheDomain(t *testing.T) {
	list := vms(30, "a", "b", "c")
	got := SelectAddresses(list, "b", "vm-1", 64)
	if len(got) != 10 {
		t.Errorf("%d addresses, want the 10 of the domain", len(got))
	}
	for _, v := range list {
		if slices.Contains(got, v.Address) != (v.Domain == "b") {
			t.Errorf("%s in %s is in %v", v.Address, v.Domain, got)
		}
	}
	if got := SelectAddresses(list, "elsewhere", "vm-1", 64); len(got) != 30 {
		t.Errorf("%d addresses for callers of no domain with VMs, want 30", len(got))
	}
}

// Guards against returning VMs that may have to refuse requests with keys while other VMs don't, even if those are in other failure
// domains.
func TestUnconfirmedVMsAreExcluded(t *testing.T) {
	list := vms(30, "a", "b", "c")
	for i := range list {
		list[i].ConfigConfirmed = list[i].Domain != "b"
	}
	for _, a := range SelectAddresses(list, "b", "vm-1", 64) {
		if i := slices.IndexFunc(list, func(v VM) bool { return v.Address == a }); list[i].Domain == "b" {
			t.Errorf("%s has no confirmed configuration", a)
		}
	}
	for i := range list {
		list[i].ConfigConfirmed = false
	}
	if got := SelectAddresses(list, "b", "vm-1", 64); len(got) != 10 {
		t.Errorf("%d addresses with no confirmed VM, want 10", len(got))
	}
}

// Guards against an uneven load in a deployment larger than one response, in which the first VMs by address got all callers and the others
// none.
func TestAllVMsGetAShareOfCallers(t *testing.T) {
	list := vms(330, "a")
	counts := make(map[string]int)
	for i := range 330 {
		directoryVM := fmt.Sprintf("vm-%d", i)
		got := SelectAddresses(list, "a", directoryVM, 64)
		if len(got) != 64 || !slices.Equal(got, SelectAddresses(list, "a", directoryVM, 64)) {
			t.Fatalf("%d addresses, or different ones the second time", len(got))
		}
		for _, a := range got {
			counts[a]++
		}
	}
	for _, v := range list {
		if n := counts[v.Address]; n < 32 || n > 128 {
			t.Errorf("%s is returned by %d VMs of 330, want 64 within a factor of 2", v.Address, n)
		}
	}
}
