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

// Guards a small deployment: with few VMs in a failure domain, callers are told all of them.
func TestSmallDeploymentNamesAllVMs(t *testing.T) {
	if got := SelectAddresses(vms(9, "a", "b", "c"), "a", "vm-1", 64); len(got) != 9 {
		t.Errorf("%d addresses, want 9", len(got))
	}
}

// Guards bytes between failure domains: callers of a domain with enough VMs stay in it.
func TestLargeDeploymentNamesVMsOfTheDomain(t *testing.T) {
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

// Guards against naming VMs that must refuse requests with keys while others need not, also when the others are elsewhere.
func TestVMsWithoutProofAreLeftOut(t *testing.T) {
	list := vms(30, "a", "b", "c")
	for i := range list {
		list[i].ConfigConfirmed = list[i].Domain != "b"
	}
	for _, a := range SelectAddresses(list, "b", "vm-1", 64) {
		if i := slices.IndexFunc(list, func(v VM) bool { return v.Address == a }); list[i].Domain == "b" {
			t.Errorf("%s has no proof", a)
		}
	}
	for i := range list {
		list[i].ConfigConfirmed = false
	}
	if got := SelectAddresses(list, "b", "vm-1", 64); len(got) != 10 {
		t.Errorf("%d addresses without any proof, want 10", len(got))
	}
}

// Guards a deployment larger than one answer: the first VMs by address got all callers, the others none.
func TestAllVMsGetAShareOfCallers(t *testing.T) {
	list := vms(330, "a")
	named := make(map[string]int)
	for i := range 330 {
		asker := fmt.Sprintf("vm-%d", i)
		got := SelectAddresses(list, "a", asker, 64)
		if len(got) != 64 || !slices.Equal(got, SelectAddresses(list, "a", asker, 64)) {
			t.Fatalf("%d addresses, or others the second time", len(got))
		}
		for _, a := range got {
			named[a]++
		}
	}
	for _, v := range list {
		if n := named[v.Address]; n < 32 || n > 128 {
			t.Errorf("%s is named by %d directories of 330, want 64 within a factor of 2", v.Address, n)
		}
	}
}
