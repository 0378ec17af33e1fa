package peer

import (
	"context"
	"slices"
	"strings"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/membership"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

const (
	// introduceEvery is the time between two looks for neighbours that lack the list of VMs.
	introduceEvery = 2 * time.Second
	// toldFor is how long a told list counts, several times introduceEvery.
	toldFor = 10 * time.Second
)

// toldList is a list of VMs that a neighbour told.
type toldList struct {
	vms []apitypes.VM
	at  time.Time
}

// introduce tells the list of VMs to neighbours that have none, as they say, or may have none since they are silent: a gateway that
// starts in an outage of the platform knows no address but its own. Only a gateway in contact tells, and only a list that it read
// from the platform itself.
func (m *Mesh) introduce(ctx context.Context) {
	if time.Since(m.introducedAt) < introduceEvery || !m.members.HasPlatformList() || !m.HasPlatformOrMajority() {
		return
	}
	m.introducedAt = time.Now()
	for _, vm := range m.members.Neighbours() {
		if m.mayLackMembers(vm.Name) {
			m.wg.Go(func() { m.tellMembers(ctx, vm) })
		}
	}
}

func (m *Mesh) mayLackMembers(vm string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, ok := m.neighbours[vm]
	return !ok || n.lacksMembers || time.Since(n.heard) > silentAfter
}

func (m *Mesh) tellMembers(ctx context.Context, vm apitypes.VM) {
	client, err := m.clients.GatewayClient(vm)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	// The list of 330 VMs has some 50 KB, so it goes only to a gateway that lacks it.
	if st, err := client.GetStatus(ctx, &peerpb.StatusRequest{}); err != nil || !st.LacksMembers {
		return
	}
	list := &peerpb.MemberList{Vm: m.self}
	for _, v := range m.members.All() {
		list.Members = append(list.Members, &peerpb.Member{Name: v.Name, Region: v.Region, FailureDomain: v.FailureDomain, State: string(v.State),
			GatewayAddr: v.GatewayAddr, GatewayPeerAddr: v.GatewayPeerAddr, ControllerAddr: v.ControllerAddr, ControllerPeerAddr: v.ControllerPeerAddr})
	}
	_, _ = client.TellMembers(ctx, list)
}

// takeMembers adopts a told list once enough VMs of it have told the same: as many as have to give their snapshots before this gateway
// is ready. A single neighbour may know an old list. The list must name this VM as live, since the neighbours were told of it by
// the platform and this gateway was not.
func (m *Mesh) takeMembers(l *peerpb.MemberList) {
	if m.members.HasList() {
		return
	}
	vms := membersOf(l)
	live := slices.DeleteFunc(slices.Clone(vms), func(vm apitypes.VM) bool { return vm.State != apitypes.VMLive })
	self := slices.IndexFunc(live, func(vm apitypes.VM) bool { return vm.Name == m.self })
	if self < 0 {
		return
	}
	neighbours := membership.Neighbours(live[self], live)
	m.mu.Lock()
	m.told[l.Vm] = toldList{vms, time.Now()}
	same := 0
	for _, vm := range neighbours {
		t, ok := m.told[vm.Name]
		if ok && time.Since(t.at) < toldFor && slices.EqualFunc(t.vms, vms, sameMember) {
			same++
		}
	}
	m.mu.Unlock()
	if same >= snapshotsNeeded(len(live), len(neighbours)) {
		m.members.AdoptPeerList(vms)
	}
}

func membersOf(l *peerpb.MemberList) []apitypes.VM {
	vms := make([]apitypes.VM, 0, len(l.Members))
	for _, v := range l.Members {
		vms = append(vms, apitypes.VM{Name: v.Name, Region: v.Region, FailureDomain: v.FailureDomain, State: apitypes.VMState(v.State),
			GatewayAddr: v.GatewayAddr, GatewayPeerAddr: v.GatewayPeerAddr, ControllerAddr: v.ControllerAddr, ControllerPeerAddr: v.ControllerPeerAddr})
	}
	slices.SortFunc(vms, func(a, b apitypes.VM) int { return strings.Compare(a.Name, b.Name) })
	return vms
}

// sameMember compares what decides majorities. Addresses may differ, where VMs reach each other by different ones.
func sameMember(a, b apitypes.VM) bool {
	return a.Name == b.Name && a.State == b.State && a.FailureDomain == b.FailureDomain
}

// snapshotsNeeded returns how many of the asked VMs meet every majority that may have confirmed a change.
func snapshotsNeeded(live, asked int) int {
	if live > membership.MaxNeighbours {
		return asked/2 + 1
	}
	return live - live/2
}
