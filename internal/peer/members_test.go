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

// newMeshWithoutList returns the mesh of a gateway that has not read a VM list, and its members.
func newMeshWithoutList(name string) (*Mesh, *membership.Members) {
	p := memplatform.New()
	p.SetFaults(memplatform.Faults{Down: true})
	members := membership.New(apitypes.VM{Name: name, FailureDomain: "d0"}, p)
	members.Refresh(context.Background())
	return NewMesh(name, "i", members, nil, nil, nil, nil, nil), members
}

// memberListFrom returns a list of VMs vm-0, vm-1 and so on with the given states, sent by a VM.
func memberListFrom(sender string, states ...string) *peerpb.MemberList {
	l := &peerpb.MemberList{Vm: sender}
	for i, state := range states {
		l.Members = append(l.Members, &peerpb.Member{Name: "vm-" + string(rune('0'+i)), FailureDomain: "d" + string(rune('0'+i%3)), State: state})
	}
	return l
}

// Guards against a gateway that computes majorities of VMs that no longer exist because it adopted a VM list that only one neighbour sent,
// that differs between senders, that came from itself or a VM not in it, that expired, or that has this gateway as leaving.
func TestNeighbourListsNeedAgreement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		four := []string{"live", "live", "live", "live"}
		larger, leaving := append(four, "live"), []string{"leaving", "live", "live", "live"}
		for name, send := range map[string]func(m *Mesh){
			"one": func(m *Mesh) {
				m.handleMemberList(memberListFrom("vm-1", four...))
				m.handleMemberList(memberListFrom("vm-1", four...))
			},
			"different lists": func(m *Mesh) {
				m.handleMemberList(memberListFrom("vm-1", larger...))
				m.handleMemberList(memberListFrom("vm-2", four...))
			},
			"its own": func(m *Mesh) {
				m.handleMemberList(memberListFrom("vm-0", four...))
				m.handleMemberList(memberListFrom("vm-2", four...))
			},
			"not in the list": func(m *Mesh) {
				m.handleMemberList(memberListFrom("vm-9", four...))
				m.handleMemberList(memberListFrom("vm-2", four...))
			},
			"leaving": func(m *Mesh) {
				m.handleMemberList(memberListFrom("vm-1", leaving...))
				m.handleMemberList(memberListFrom("vm-2", leaving...))
			},
			"expired": func(m *Mesh) {
				m.handleMemberList(memberListFrom("vm-1", four...))
				time.Sleep(neighbourListLifetime)
				m.handleMemberList(memberListFrom("vm-2", four...))
			},
		} {
			m, members := newMeshWithoutList("vm-0")
			if send(m); members.HasList() {
				t.Errorf("%s: the list was adopted", name)
			}
		}
		m, members := newMeshWithoutList("vm-0")
		m.handleMemberList(memberListFrom("vm-1", four...))
		m.handleMemberList(memberListFrom("vm-3", four...))
		if !members.HasList() || len(members.Neighbours()) != 3 {
			t.Errorf("two of three others agree, but HasList is %v and the neighbours are %v", members.HasList(), members.Neighbours())
		}
		// Only the platform's list determines whether a VM has been removed.
		if _, err := members.IsListed("vm-1"); err == nil {
			t.Error("a list from neighbours counts as the platform's")
		}
	})
}
