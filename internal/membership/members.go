package membership

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/objectstore"
)

const (
	// minPollPeriod is the shortest time between two reads of the VM list.
	minPollPeriod = 2 * time.Second
	// listReadsPerSecond bounds the reads of the VM list by all processes together. The platform takes about two
	// thousand reads a second for everything.
	listReadsPerSecond = 50
	// processesPerVM is the number of processes on a VM that read the list: a gateway and a controller.
	processesPerVM = 2
	// pollTimeout bounds one read.
	pollTimeout = 5 * time.Second
)

// PollPeriod returns the time between two reads of the VM list by one process when there are n VMs.
func PollPeriod(n int) time.Duration {
	return max(minPollPeriod, time.Duration(n)*processesPerVM*time.Second/listReadsPerSecond)
}

// Members knows the VMs of the deployment from the platform's lagging list. It keeps the last list in an outage. Its methods may
// be called concurrently.
type Members struct {
	self   apitypes.VM
	lister objectstore.VMLister
	view   atomic.Pointer[view]
	// failures counts reads that failed or gave an empty list.
	failures atomic.Uint64

	mu     sync.Mutex
	notify []func()
}

// view is one immutable list with what follows from it.
type view struct {
	all, live  []apitypes.VM
	byName     map[string]apitypes.VM
	neighbours []apitypes.VM
	// collectors holds the collector of each endpoint that was asked for; weighing all VMs costs some 20 µs at 330 VMs.
	collectors *sync.Map
	// listed holds the names in the platform's list; nil before the first list.
	listed map[string]bool
	// adopted is true for a list that neighbours told.
	adopted bool
}

// New returns members that know only self, the VM that the process runs on according to its settings.
func New(self apitypes.VM, lister objectstore.VMLister) *Members {
	m := &Members{self: self, lister: lister}
	m.view.Store(newView(self, nil))
	return m
}

// newView adds self when the list does not have it yet, which happens on a new VM because the list lags.
func newView(self apitypes.VM, vms []apitypes.VM) *view {
	v := &view{all: slices.Clone(vms), byName: make(map[string]apitypes.VM, len(vms)+1), collectors: &sync.Map{}}
	if len(vms) > 0 {
		v.listed = make(map[string]bool, len(vms))
	}
	for _, vm := range vms {
		v.listed[vm.Name] = true
	}
	if !slices.ContainsFunc(vms, func(vm apitypes.VM) bool { return vm.Name == self.Name }) {
		self.State = apitypes.VMLive
		v.all = append(v.all, self)
	}
	slices.SortFunc(v.all, byName)
	for _, vm := range v.all {
		v.byName[vm.Name] = vm
		if vm.State == apitypes.VMLive {
			v.live = append(v.live, vm)
		}
	}
	v.neighbours = Neighbours(v.byName[self.Name], v.live)
	return v
}

// Run reads the list until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	for {
		m.Refresh(ctx)
		period := PollPeriod(len(m.view.Load().all))
		// The jitter keeps processes that started together from reading together.
		t := time.NewTimer(period*4/5 + rand.N(period*2/5))
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		}
	}
}

// Refresh reads the list once. On failure the last known list stays. An empty list counts as a failure, because at least this VM
// exists.
func (m *Members) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	vms, err := m.lister.ListVMs(ctx)
	if err != nil || len(vms) == 0 {
		m.failures.Add(1)
		return
	}
	old, next := m.view.Load(), newView(m.self, vms)
	if slices.Equal(old.all, next.all) && old.listed != nil && maps.Equal(old.listed, next.listed) {
		return
	}
	m.view.Store(next)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.notify {
		f()
	}
}

// HasPlatformList tells whether the list was read from the platform.
func (m *Members) HasPlatformList() bool { return m.view.Load().listed != nil }

// HasList tells whether there is a list, from the platform or from neighbours.
func (m *Members) HasList() bool { v := m.view.Load(); return v.listed != nil || v.adopted }

// AdoptPeerList takes a list that neighbours told while the platform is out. A list from the platform goes before it. IsListed does not count it.
func (m *Members) AdoptPeerList(vms []apitypes.VM) {
	next := newView(m.self, vms)
	next.listed, next.adopted = nil, true
	old := m.view.Load()
	if old.listed != nil || old.adopted || !m.view.CompareAndSwap(old, next) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.notify {
		f()
	}
}

// OnChange registers a function that is called after each change of the list. Register before Run.
func (m *Members) OnChange(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.notify = append(m.notify, f)
}

// Failures returns the number of reads that failed or gave an empty list.
func (m *Members) Failures() uint64 { return m.failures.Load() }

// Self returns this VM, with the state that the list gives it.
func (m *Members) Self() apitypes.VM { return m.view.Load().byName[m.self.Name] }

// All returns all known VMs by name, live and leaving. The caller must not change the slice.
func (m *Members) All() []apitypes.VM { return m.view.Load().all }

// Live returns the VMs that stay, by name. The caller must not change the slice.
func (m *Members) Live() []apitypes.VM { return m.view.Load().live }

// VM returns a VM of the list, or false.
func (m *Members) VM(name string) (apitypes.VM, bool) {
	vm, ok := m.view.Load().byName[name]
	return vm, ok
}

// IsListed tells whether the platform's list has a VM. It returns an error before the first list has come. Other than VM, it does
// not count this VM as listed by itself.
func (m *Members) IsListed(name string) (bool, error) {
	v := m.view.Load()
	if v.listed == nil {
		return false, errors.New("membership: the platform's list of VMs has not been read yet; try again later")
	}
	return v.listed[name], nil
}

// Neighbours returns the VMs that this one exchanges updates with. The caller must not change the slice.
func (m *Members) Neighbours() []apitypes.VM { return m.view.Load().neighbours }

// Parents returns the VMs whose controllers supply this VM's processes with configuration, best first.
func (m *Members) Parents() []apitypes.VM { return Parents(m.self.Name, m.All()) }

// Collector returns the VM whose controller collects the load of an endpoint, or false when no VM is live. VMs in without are
// passed over.
func (m *Members) Collector(endpoint string, without ...string) (apitypes.VM, bool) {
	v := m.view.Load()
	if name, ok := v.collectors.Load(endpoint); ok && !slices.Contains(without, name.(string)) {
		return v.byName[name.(string)], true
	}
	names := Rendezvous("collect/"+endpoint, v.names(without), 1)
	if len(names) == 0 {
		return apitypes.VM{}, false
	}
	if len(without) == 0 {
		v.collectors.Store(endpoint, names[0])
	}
	return v.byName[names[0]], true
}

// LimitDivider returns the VM whose gateway divides a team's limits in a large fleet; this VM when none is live.
func (m *Members) LimitDivider(team string) string {
	names := Rendezvous("limits/"+team, m.view.Load().names(nil), 1)
	if len(names) == 0 {
		return m.self.Name
	}
	return names[0]
}

// candidatesPerLease is the number of VMs whose controllers compete for a lease: two in each of three failure domains.
const candidatesPerLease = 6

// IsLeaseCandidate tells whether this VM's controller competes for a lease. Only the first few in rank do, because every candidate reads the lease
// once a second: 330 of them would read eight leases 2,640 times a second, more than the platform takes.
func (m *Members) IsLeaseCandidate(lease string) bool { return m.Rank(lease) < candidatesPerLease }

// Rank returns this VM's place among the live VMs by rendezvous hashing for a key; 0 is the first. Failure domains take turns, so that the
// first few VMs are not lost together.
func (m *Members) Rank(key string) int {
	v := m.view.Load()
	names := Rendezvous("rank/"+key, v.names(nil), len(v.live))
	seen, turn := make(map[string]int), make(map[string]int, len(names))
	for _, name := range names {
		domain := v.byName[name].FailureDomain
		turn[name] = seen[domain]
		seen[domain]++
	}
	slices.SortStableFunc(names, func(a, b string) int { return turn[a] - turn[b] })
	return max(0, slices.Index(names, m.self.Name))
}

// Pollers returns the VMs whose controllers poll the provider for a pool. There are two, so that one may fail.
func (m *Members) Pollers(pool string) []apitypes.VM {
	v := m.view.Load()
	var out []apitypes.VM
	for _, name := range Rendezvous("provider/"+pool, v.names(nil), pollersPerPool) {
		out = append(out, v.byName[name])
	}
	return out
}

// pollersPerPool is the number of controllers that read the provider's list of one pool.
const pollersPerPool = 2

func (v *view) names(without []string) []string {
	names := make([]string, 0, len(v.live))
	for _, vm := range v.live {
		if !slices.Contains(without, vm.Name) {
			names = append(names, vm.Name)
		}
	}
	return names
}

// CopyPeers returns up to n live VMs in n failure domains other than this VM's own, for copies that must survive the loss of
// this VM's domain.
func (m *Members) CopyPeers(n int) []apitypes.VM {
	v := m.view.Load()
	taken := map[string]bool{m.self.FailureDomain: true}
	var out []apitypes.VM
	for _, name := range Rendezvous("copy/"+m.self.Name, v.names([]string{m.self.Name}), len(v.live)) {
		vm := v.byName[name]
		if len(out) == n || taken[vm.FailureDomain] {
			continue
		}
		taken[vm.FailureDomain] = true
		out = append(out, vm)
	}
	return out
}

// Majority tells whether this VM and the VMs for which reachable is true form a majority: of all live VMs while they are few, and
// of its neighbours, which span the failure domains, when there are more than MaxNeighbours VMs.
func (m *Members) Majority(reachable func(vm string) bool) bool {
	v := m.view.Load()
	if len(v.live) > MaxNeighbours {
		return 2*count(v.neighbours, reachable) > len(v.neighbours)
	}
	others := slices.DeleteFunc(slices.Clone(v.live), func(vm apitypes.VM) bool { return vm.Name == m.self.Name })
	return 2*(count(others, reachable)+1) > len(others)+1
}

func count(vms []apitypes.VM, reachable func(string) bool) int {
	n := 0
	for _, vm := range vms {
		if reachable(vm.Name) {
			n++
		}
	}
	return n
}
