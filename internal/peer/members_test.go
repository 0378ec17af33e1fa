package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/membership"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

// newcomer returns the mesh of a gateway that has read no list of VMs, and its members.
func newcomer(name string) (*Mesh, *membership.Members) {
	p := memplatform.New()
	p.SetFaults(memplatform.Faults{Down: true})
	members := membership.New(apitypes.VM{Name: name, FailureDomain: "d0"}, p)
	members.Refresh(context.Background())
	return NewMesh(name, "i", members, nil, nil, nil, nil, nil), members
}

func listOf(from string, states ...string) *peerpb.MemberList {
	l := &peerpb.MemberList{Vm: from}
	for i, state := range states {
		l.Members = append(l.Members, &peerpb.Member{Name: "vm-" + string(rune('0'+i)), FailureDomain: "d" + string(rune('0'+i%3)), State: state})
	}
	return l
}

// Guards against a gateway that believes one neighbour's old list of VMs, lists that differ, its own, an old telling, or a list in which
// it leaves, and so counts majorities of VMs that are no longer there.
func TestToldMembersNeedAgreement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		four := []string{"live", "live", "live", "live"}
		larger, leaving := append(four, "live"), []string{"leaving", "live", "live", "live"}
		for name, tell := range map[string]func(m *Mesh){
			"one":             func(m *Mesh) { m.takeMembers(listOf("vm-1", four...)); m.takeMembers(listOf("vm-1", four...)) },
			"different lists": func(m *Mesh) { m.takeMembers(listOf("vm-1", larger...)); m.takeMembers(listOf("vm-2", four...)) },
			"its own":         func(m *Mesh) { m.takeMembers(listOf("vm-0", four...)); m.takeMembers(listOf("vm-2", four...)) },
			"a stranger":      func(m *Mesh) { m.takeMembers(listOf("vm-9", four...)); m.takeMembers(listOf("vm-2", four...)) },
			"leaving":         func(m *Mesh) { m.takeMembers(listOf("vm-1", leaving...)); m.takeMembers(listOf("vm-2", leaving...)) },
			"an old telling": func(m *Mesh) {
				m.takeMembers(listOf("vm-1", four...))
				time.Sleep(toldFor)
				m.takeMembers(listOf("vm-2", four...))
			},
		} {
			m, members := newcomer("vm-0")
			if tell(m); members.HasList() {
				t.Errorf("%s: the list was taken", name)
			}
		}
		m, members := newcomer("vm-0")
		m.takeMembers(listOf("vm-1", four...))
		m.takeMembers(listOf("vm-3", four...))
		if !members.HasList() || len(members.Neighbours()) != 3 {
			t.Errorf("two of three others agree, known %v, neighbours %v", members.HasList(), members.Neighbours())
		}
		// Whether a VM is gone is for the platform's list alone to say.
		if _, err := members.IsListed("vm-1"); err == nil {
			t.Error("a told list counts as the platform's")
		}
	})
}
