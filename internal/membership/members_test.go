package membership

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
)

func vms(n, domains int) []apitypes.VM {
	var out []apitypes.VM
	for i := range n {
		out = append(out, apitypes.VM{Name: fmt.Sprintf("vm-%03d", i), FailureDomain: fmt.Sprintf("d%d", i%domains), State: apitypes.VMLive})
	}
	return out
}

// Guards against losing the members in an outage or after an empty list, and against a read rate that grows with the fleet.
func TestMembersKeepLastList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memplatform.New()
		list := vms(330, 6)
		p.SetVMs(list)
		m := New(list[0], p)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = m.Run(ctx) }()
		defer func() { cancel(); <-done }()
		time.Sleep(time.Minute)
		if reads := float64(p.Calls().VMs) * 330 * processesPerVM / 60; reads > 1.4*listReadsPerSecond {
			t.Fatalf("%v reads a second from all processes", reads)
		}
		p.SetVMs(nil)
		time.Sleep(time.Minute)
		p.SetFaults(memplatform.Faults{Down: true})
		time.Sleep(time.Minute)
		if len(m.Live()) != 330 || m.Failures() == 0 {
			t.Fatalf("%d live VMs in the outage", len(m.Live()))
		}
	})
}

// Guards against a new VM that is missing from its own members while the list lags, and a leaving VM that counts as live.
func TestMembersLaggingList(t *testing.T) {
	p := memplatform.New()
	list := vms(4, 3)
	list[1].State = apitypes.VMLeaving
	p.SetVMs(list[1:])
	m := New(list[0], p)
	m.Refresh(context.Background())
	if m.Self().Name != "vm-000" || len(m.All()) != 4 || len(m.Live()) != 3 || len(m.Neighbours()) != 2 {
		t.Fatalf("self %v, %d known, %d live, neighbours %v", m.Self(), len(m.All()), len(m.Live()), m.Neighbours())
	}
}

// Guards against asymmetric or unbounded neighbour relations, and against neighbours that are all in one failure domain.
func TestNeighboursAreSymmetricBoundedAndSpread(t *testing.T) {
	for _, n := range []int{1, 4, 9, 10, 50, 165} {
		list := vms(n, 3)
		for _, a := range list {
			neighbours := Neighbours(a, list)
			if len(neighbours) != min(n-1, MaxNeighbours) {
				t.Fatalf("%d of %d VMs are neighbours", len(neighbours), n)
			}
			domains := map[string]bool{}
			for _, b := range neighbours {
				domains[b.FailureDomain] = true
				if !slices.Contains(Neighbours(b, list), a) {
					t.Fatalf("%s has neighbour %s but not the other way round, n=%d", a.Name, b.Name, n)
				}
			}
			if n >= 10 && len(domains) < 3 {
				t.Fatalf("neighbours of %s lie in %d domains", a.Name, len(domains))
			}
		}
	}
}

// Guards against both halves of a partition counting as a majority.
func TestMajority(t *testing.T) {
	p := memplatform.New()
	list := vms(4, 3)
	p.SetVMs(list)
	m := New(list[0], p)
	m.Refresh(context.Background())
	for reached, want := range map[int]bool{0: false, 1: false, 2: true, 3: true} {
		names := map[string]bool{}
		for _, vm := range list[1 : 1+reached] {
			names[vm.Name] = true
		}
		if got := m.Majority(func(vm string) bool { return names[vm] }); got != want {
			t.Errorf("self and %d of 3 others: majority is %v", reached, got)
		}
	}
}

// Guards against endpoints without a collector while the list still contains a failed VM, and against copies in the VM's own failure
// domain.
func TestCollectorAndCopyPeers(t *testing.T) {
	p := memplatform.New()
	list := vms(9, 3)
	p.SetVMs(list)
	m := New(list[0], p)
	m.Refresh(context.Background())
	first, _ := m.Collector("engine-1")
	second, ok := m.Collector("engine-1", first.Name)
	if !ok || second.Name == first.Name {
		t.Fatalf("collectors %s and %s", first.Name, second.Name)
	}
	peers := m.CopyPeers(2)
	if len(peers) != 2 || peers[0].FailureDomain == peers[1].FailureDomain || peers[0].FailureDomain == "d0" || peers[1].FailureDomain == "d0" {
		t.Fatalf("copy peers %v", peers)
	}
}

// Guards against lease reads that grow with the fleet, against losing all candidates of a lease with one failure domain, and against
// two VMs with the same rank.
func TestCandidatesSpreadOverFailureDomains(t *testing.T) {
	all := vms(330, 3)
	p := memplatform.New()
	p.SetVMs(all)
	domains, ranks, candidates := make(map[string]int), make(map[int]bool), 0
	for _, vm := range all {
		m := New(vm, p)
		m.Refresh(t.Context())
		rank := m.Rank("p.orders")
		ranks[rank] = true
		if m.IsLeaseCandidate("p.orders") {
			domains[vm.FailureDomain]++
			candidates++
		}
	}
	if len(domains) != 3 || candidates != candidatesPerLease || len(ranks) != len(all) {
		t.Errorf("%d candidates, by failure domain %v; %d ranks of %d VMs", candidates, domains, len(ranks), len(all))
	}
}

// Guards against a VM that counts as removed before the list has been read, and against one that its own processes always count as
// listed: the claims of its gateway would be released too early, or never.
func TestListed(t *testing.T) {
	p := memplatform.New()
	list := vms(3, 3)
	m := New(list[0], p)
	if _, err := m.IsListed("vm-001"); err == nil {
		t.Fatal("IsListed returned no error before the first list")
	}
	for _, c := range []struct {
		list []apitypes.VM
		want []bool
	}{{list, []bool{true, true, true}}, {list[1:], []bool{false, true, true}}, {list[:1], []bool{true, false, false}}} {
		p.SetVMs(c.list)
		m.Refresh(context.Background())
		for i, vm := range list {
			if got, err := m.IsListed(vm.Name); err != nil || got != c.want[i] {
				t.Errorf("with %d VMs %s is listed: %v, %v", len(c.list), vm.Name, got, err)
			}
		}
	}
}
