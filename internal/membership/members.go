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
	// listReadsPerSecond bounds the reads of the VM list by all processes together. The platform allows about two thousand reads a
	// second in total.
	listReadsPerSecond = 50
	// processesPerVM is the number of processes on a VM that read the list: a gateway and a controller.
	processesPerVM = 2
	// pollTimeout bounds one read of the VM list.
	pollTimeout = 5 * time.Second
)

// PollPeriod returns the time between two reads of the VM list by one process when there are n VMs.
func PollPeriod(n int) time.Duration {
	return max(minPollPeriod, time.Duration(n)*processesPerVM*time.Second/listReadsPerSecond)
}

// Members tracks the VMs of the deployment by polling the platform's list, which lags. It keeps the last list during an outage. Its
// methods may be called concurrently.
type Members struct {
	self   apitypes.VM
	lister objectstore.VMLister
	view   atomic.Pointer[view]
	// failures counts reads that failed or returned an empty list.
	failures atomic.Uint64

	mu        sync.Mutex
	listeners []func()
}

// view is an immutable list of VMs with the values derived from it.
type view struct {
	all, live  []apitypes.VM
	byName     map[string]apitypes.VM
	neighbours []apitypes.VM
	// collectors caches the collector's name by endpoint, because hashing 330 VMs takes about 20 µs.
	collectors *sync.Map
	// platformNames holds the names in the platform's list. It is nil before the first list and in a list from neighbours.
	platformNames map[string]bool
	// fromNeighbours is true for a list received from neighbours.
	fromNeighbours bool
}

// New returns members with only self, the VM that the process runs on according to its settings.
func New(self apitypes.VM, lister objectstore.VMLister) *Members {
	m := &Members{self: self, lister: lister}
	m.view.Store(newView(self, nil))
	return m
}

// newView returns the view of a list. It adds self if the list lacks it, which happens on a new VM because the list lags.
func newView(self apitypes.VM, vms []apitypes.VM) *view {
	v := &view{all: slices.Clone(vms), byName: make(map[string]apitypes.VM, len(vms)+1), collectors: &sync.Map{}}
	if len(vms) > 0 {
		v.platformNames = make(map[string]bool, len(vms))
	}
	for _, vm := range vms {
		v.platformNames[vm.Name] = true
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

// Run reads the list periodically until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	for {
		m.Refresh(ctx)
		period := PollPeriod(len(m.view.Load().all))
		// The jitter spreads the reads of processes that started together.
		timer := time.NewTimer(period*4/5 + rand.N(period*2/5))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

// Refresh reads the list once and keeps the last known list on failure. An empty list counts as a failure, because at least this VM
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
	if slices.Equal(old.all, next.all) && old.platformNames != nil && maps.Equal(old.platformNames, next.platformNames) {
		return
	}
	m.view.Store(next)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.listeners {
		f()
	}
}

// HasPlatformList reports whether the list was read from the platform.
func (m *Members) HasPlatformList() bool { return m.view.Load().platformNames != nil }

// HasList reports whether there is a list, from the platform or from neighbours.
func (m *Members) HasList() bool {
	v := m.view.Load()
	return v.platformNames != nil || v.fromNeighbours
}

// AdoptPeerList uses a list received from neighbours while the platform is unavailable. It has no effect if there is a list already,
// and a list from the platform replaces it. IsListed ignores it.
func (m *Members) AdoptPeerList(vms []apitypes.VM) {
	next := newView(m.self, vms)
	next.platformNames, next.fromNeighbours = nil, true
	old := m.view.Load()
	if old.platformNames != nil || old.fromNeighbours || !m.view.CompareAndSwap(old, next) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.listeners {
		f()
	}
}

// OnChange registers a function that is called after each change of the list. It must be called before Run.
func (m *Members) OnChange(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listeners = append(m.listeners, f)
}

// Failures returns the number of reads that failed or returned an empty list.
func (m *Members) Failures() uint64 { return m.failures.Load() }

// Self returns this VM with its state in the list.
func (m *Members) Self() apitypes.VM { return m.view.Load().byName[m.self.Name] }

// All returns all known VMs by name, live and leaving. The caller must not change the slice.
func (m *Members) All() []apitypes.VM { return m.view.Load().all }

// Live returns the live VMs by name. The caller must not change the slice.
func (m *Members) Live() []apitypes.VM { return m.view.Load().live }

// VM returns a VM of the list, or false.
func (m *Members) VM(name string) (apitypes.VM, bool) {
	vm, ok := m.view.Load().byName[name]
	return vm, ok
}

// IsListed reports whether the platform's list contains a VM. It returns an error before the first list was read. Unlike VM, it
// doesn't count this VM as listed when the list lacks it.
func (m *Members) IsListed(name string) (bool, error) {
	v := m.view.Load()
	if v.platformNames == nil {
		return false, errors.New("membership: the platform's list of VMs has not been read yet; try again later")
	}
	return v.platformNames[name], nil
}

// Neighbours returns the VMs that this one exchanges updates with. The caller must not change the slice.
func (m *Members) Neighbours() []apitypes.VM { return m.view.Load().neighbours }

// Parents returns the VMs whose controllers supply this VM's processes with configuration, best first.
func (m *Members) Parents() []apitypes.VM { return Parents(m.self.Name, m.All()) }

// Collector returns the VM whose controller collects the load of an endpoint, or false when no VM is live. VMs in excluded are
// skipped.
func (m *Members) Collector(endpoint string, excluded ...string) (apitypes.VM, bool) {
	v := m.view.Load()
	if name, ok := v.collectors.Load(endpoint); ok && !slices.Contains(excluded, name.(string)) {
		return v.byName[name.(string)], true
	}
	names := Rendezvous("collect/"+endpoint, v.names(excluded), 1)
	if len(names) == 0 {
		return apitypes.VM{}, false
	}
	if len(excluded) == 0 {
		v.collectors.Store(endpoint, names[0])
	}
	return v.byName[names[0]], true
}

// LimitDivider returns the name of the VM whose gateway divides a team's limits among the gateways of a large fleet, or this VM's
// name when none is live.
func (m *Members) LimitDivider(team string) string {
	names := Rendezvous("limits/"+team, m.view.Load().names(nil), 1)
	if len(names) == 0 {
		return m.self.Name
	}
	return names[0]
}

// candidatesPerLease is the number of VMs whose controllers compete for a lease: two in each of three failure domains.
const candidatesPerLease = 6

// IsLeaseCandidate reports whether this VM's controller competes for a lease. Only the VMs with the lowest ranks do, because every
// candidate reads the lease once a second: 330 of them would read eight leases 2,640 times a second, more than the platform allows.
func (m *Members) IsLeaseCandidate(lease string) bool { return m.Rank(lease) < candidatesPerLease }

// Rank returns this VM's rank among the live VMs by rendezvous hashing for a key, starting at 0. The failure domains alternate, so
// that the VMs with the lowest ranks aren't all lost with one domain. A VM that isn't live gets rank 0.
func (m *Members) Rank(key string) int {
	v := m.view.Load()
	names := Rendezvous("rank/"+key, v.names(nil), len(v.live))
	seen, rankInDomain := make(map[string]int), make(map[string]int, len(names))
	for _, name := range names {
		domain := v.byName[name].FailureDomain
		rankInDomain[name] = seen[domain]
		seen[domain]++
	}
	slices.SortStableFunc(names, func(a, b string) int { return rankInDomain[a] - rankInDomain[b] })
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

// pollersPerPool is the number of controllers that poll the provider for one pool.
const pollersPerPool = 2

// names returns the names of the live VMs that aren't excluded.
func (v *view) names(excluded []string) []string {
	names := make([]string, 0, len(v.live))
	for _, vm := range v.live {
		if !slices.Contains(excluded, vm.Name) {
			names = append(names, vm.Name)
		}
	}
	return names
}

// CopyPeers returns up to n live VMs, each in another failure domain and none in this VM's own, for copies that must survive the loss
// of this VM's domain.
func (m *Members) CopyPeers(n int) []apitypes.VM {
	v := m.view.Load()
	usedDomains := map[string]bool{m.self.FailureDomain: true}
	var out []apitypes.VM
	for _, name := range Rendezvous("copy/"+m.self.Name, v.names([]string{m.self.Name}), len(v.live)) {
		vm := v.byName[name]
		if len(out) == n || usedDomains[vm.FailureDomain] {
			continue
		}
		usedDomains[vm.FailureDomain] = true
		out = append(out, vm)
	}
	return out
}

// Majority reports whether this VM and the VMs for which reachable returns true form a majority of all live VMs. With more than
// MaxNeighbours live VMs, only the neighbours count, which span the failure domains: a majority of them must be reachable.
func (m *Members) Majority(reachable func(vm string) bool) bool {
	v := m.view.Load()
	if len(v.live) > MaxNeighbours {
		return 2*countReachable(v.neighbours, reachable) > len(v.neighbours)
	}
	others := slices.DeleteFunc(slices.Clone(v.live), func(vm apitypes.VM) bool { return vm.Name == m.self.Name })
	return 2*(countReachable(others, reachable)+1) > len(others)+1
}

// countReachable returns the number of VMs for which reachable returns true.
func countReachable(vms []apitypes.VM, reachable func(string) bool) int {
	n := 0
	for _, vm := range vms {
		if reachable(vm.Name) {
			n++
		}
	}
	return n
}
