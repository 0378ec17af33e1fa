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
	// memberListCheckPeriod is the time between two checks for neighbours that have no VM list.
	memberListCheckPeriod = 2 * time.Second
	// neighbourListLifetime is how long a VM list from a neighbour counts, several times memberListCheckPeriod.
	neighbourListLifetime = 10 * time.Second
)

// neighbourList is a VM list that a neighbour sent.
type neighbourList struct {
	vms        []apitypes.VM
	receivedAt time.Time
}

// sendMemberLists sends the VM list to neighbours that report that they have none, and to those that may have none because no message
// arrives from them: a gateway that starts during a platform outage has no address but its own. A gateway sends only a list that it read
// from the platform itself, and only while it is in contact with the platform or a majority.
func (m *Mesh) sendMemberLists(ctx context.Context) {
	if time.Since(m.membersCheckedAt) < memberListCheckPeriod || !m.members.HasPlatformList() || !m.HasPlatformOrMajority() {
		return
	}
	m.membersCheckedAt = time.Now()
	for _, vm := range m.members.Neighbours() {
		if m.mayLackMemberList(vm.Name) {
			m.wg.Go(func() { m.sendMemberList(ctx, vm) })
		}
	}
}

// mayLackMemberList reports whether a neighbour has no VM list or has not sent a message within neighbourTimeout.
func (m *Mesh) mayLackMemberList(vm string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, ok := m.neighbours[vm]
	return !ok || n.lacksMembers || time.Since(n.lastMessageAt) > neighbourTimeout
}

// sendMemberList sends the VM list to the gateway on a VM if it has none.
func (m *Mesh) sendMemberList(ctx context.Context, vm apitypes.VM) {
	client, err := m.clients.GatewayClient(vm)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, neighbourCallTimeout)
	defer cancel()
	// A list of 330 VMs takes about 50 KB, so it is sent only to a gateway that has none.
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

// handleMemberList adopts a VM list once enough neighbours according to that list have sent an equal one: as many as must provide their
// snapshots before this gateway is ready. The list of a single neighbour may be old. The list must contain this VM as live, because the
// neighbours have read this VM's state from the platform and this gateway has not.
func (m *Mesh) handleMemberList(l *peerpb.MemberList) {
	if m.members.HasList() {
		return
	}
	vms := vmsFromMessage(l)
	live := slices.DeleteFunc(slices.Clone(vms), func(vm apitypes.VM) bool { return vm.State != apitypes.VMLive })
	self := slices.IndexFunc(live, func(vm apitypes.VM) bool { return vm.Name == m.self })
	if self < 0 {
		return
	}
	neighbours := membership.Neighbours(live[self], live)
	m.mu.Lock()
	m.neighbourLists[l.Vm] = neighbourList{vms, time.Now()}
	matching := 0
	for _, vm := range neighbours {
		list, ok := m.neighbourLists[vm.Name]
		if ok && time.Since(list.receivedAt) < neighbourListLifetime && slices.EqualFunc(list.vms, vms, sameMember) {
			matching++
		}
	}
	m.mu.Unlock()
	if matching >= snapshotsNeeded(len(live), len(neighbours)) {
		m.members.AdoptPeerList(vms)
	}
}

// vmsFromMessage returns the VMs of a list by name.
func vmsFromMessage(l *peerpb.MemberList) []apitypes.VM {
	vms := make([]apitypes.VM, 0, len(l.Members))
	for _, v := range l.Members {
		vms = append(vms, apitypes.VM{Name: v.Name, Region: v.Region, FailureDomain: v.FailureDomain, State: apitypes.VMState(v.State),
			GatewayAddr: v.GatewayAddr, GatewayPeerAddr: v.GatewayPeerAddr, ControllerAddr: v.ControllerAddr, ControllerPeerAddr: v.ControllerPeerAddr})
	}
	slices.SortFunc(vms, func(a, b apitypes.VM) int { return strings.Compare(a.Name, b.Name) })
	return vms
}

// sameMember compares the fields that determine majorities. Addresses may differ, because VMs may reach the same VM at different ones.
func sameMember(a, b apitypes.VM) bool {
	return a.Name == b.Name && a.State == b.State && a.FailureDomain == b.FailureDomain
}

// snapshotsNeeded returns how many of the neighbours must respond to overlap with every majority that may have confirmed a change.
func snapshotsNeeded(live, neighbours int) int {
	if live > membership.MaxNeighbours {
		return neighbours/2 + 1
	}
	return live - live/2
}
