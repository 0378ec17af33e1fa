package peer

import (
	"context"
	"sync/atomic"
	"time"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

const (
	// contactTimeout is how long after the last contact with the platform or a majority requests that need a key are still admitted.
	contactTimeout = 5 * time.Second
	// neighbourCallTimeout bounds one call to a neighbour.
	neighbourCallTimeout = 2 * time.Second
)

// HasPlatformOrMajority reports whether requests that need a key may be admitted: within the last 5 s, the platform confirmed the
// configuration or messages arrived from a majority of the known VMs. With neither, a gateway can't distinguish a platform outage from a
// network partition. After a partition, messages of the majority arrive before its configuration, in which keys may be withdrawn, so a
// majority does not count while a neighbour has a newer configuration.
func (m *Mesh) HasPlatformOrMajority() bool {
	if m.freshness.AgeMS() <= contactTimeout.Milliseconds() {
		return true
	}
	return !m.isBehind() && m.members.Majority(func(vm string) bool { return m.receivedWithin(vm, contactTimeout) })
}

// isBehind reports whether a neighbour with a message in the last 5 s has a newer configuration from operators. The digests are compared
// because the system's own writes also increase the revision, especially right after an outage.
func (m *Mesh) isBehind() bool {
	own := m.snapshots.Current()
	digest := own.OperatorDigest()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.neighbours {
		if n.revision > own.Revision() && n.digest != digest && time.Since(n.lastMessageAt) <= contactTimeout {
			return true
		}
	}
	return false
}

// relayStaleAgeMS is the configuration age in milliseconds above which the gateway assumes that its relay delivers no changes.
const relayStaleAgeMS = 4000

// fetchNewerSnapshot fetches the snapshot of a neighbour whose larger revision no relay has delivered. While a relay confirms the
// configuration, the change is only delayed, and full snapshots of more than 1 MB would add to the load of an overloaded machine.
func (m *Mesh) fetchNewerSnapshot(ctx context.Context) {
	if m.freshness.AgeMS() <= relayStaleAgeMS {
		return
	}
	vm, ok := m.neighbourAhead()
	if !ok {
		return
	}
	u, err := m.fetchSnapshot(ctx, vm)
	if err != nil || u.Revision <= m.snapshots.Current().Revision() {
		return
	}
	_ = config.ApplyUpdate(m.snapshots, u)
}

// neighbourAhead returns the live neighbour with the largest revision that has been larger than this gateway's for at least
// snapshotFetchDelay, or false.
func (m *Mesh) neighbourAhead() (apitypes.VM, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	best, name := m.snapshots.Current().Revision(), ""
	for vm, n := range m.neighbours {
		if n.aheadSince.IsZero() || time.Since(n.aheadSince) < snapshotFetchDelay || time.Since(n.lastMessageAt) > neighbourTimeout || n.revision <= best {
			continue
		}
		best, name = n.revision, vm
	}
	if name == "" {
		return apitypes.VM{}, false
	}
	// If the fetch fails, the next try follows after the same delay.
	m.neighbours[name].aheadSince = time.Now()
	return m.members.VM(name)
}

// fetchSnapshot returns the configuration of the gateway on a VM.
func (m *Mesh) fetchSnapshot(ctx context.Context, vm apitypes.VM) (*peerpb.ConfigUpdate, error) {
	client, err := m.clients.GatewayClient(vm)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, neighbourCallTimeout)
	defer cancel()
	return client.Snapshot(ctx, &peerpb.SnapshotRequest{Digest: m.snapshots.Current().Digest()})
}

// Readiness determines when a started gateway has a configuration that is recent enough to serve with.
type Readiness struct {
	mesh   *Mesh
	synced func() bool
	ready  atomic.Bool
}

// NewReadiness returns the readiness of a gateway; synced is config.Subscriber.Synced.
func NewReadiness(mesh *Mesh, synced func() bool) *Readiness {
	return &Readiness{mesh: mesh, synced: synced}
}

// Ready reports whether the gateway has once been synced by its subscriber, or has loaded the largest snapshot of a majority of the known
// VMs. Once true, it stays true.
func (r *Readiness) Ready() bool { return r.ready.Load() || r.synced() }

// Run tries once a second to load the snapshot of a majority until the gateway is ready, then waits for ctx to end.
func (r *Readiness) Run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for !r.Ready() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if !r.synced() && r.mesh.loadMajoritySnapshot(ctx) {
			r.ready.Store(true)
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// loadMajoritySnapshot fetches the snapshots of the neighbours that are ready and puts the one with the largest revision in force. It
// returns true only if enough of them responded with a configuration to overlap with every majority that may have confirmed a change.
// With 4 VMs that is 2, because at most one ready gateway lacks a change that 3 have confirmed. This gateway does not count, because it
// lost its configuration in the restart, nor does a gateway that is not ready. Requiring 3 would keep two gateways that restart together
// during an outage from ever serving again.
func (m *Mesh) loadMajoritySnapshot(ctx context.Context) bool {
	live := m.members.Live()
	neighbours := m.members.Neighbours()
	required := snapshotsNeeded(len(live), len(neighbours))
	responses := make(chan *peerpb.ConfigUpdate, len(neighbours))
	for _, vm := range neighbours {
		go func() { responses <- m.fetchReadySnapshot(ctx, vm) }()
	}
	responded := 0
	for range neighbours {
		u := <-responses
		if u == nil || u.Revision == 0 {
			continue
		}
		responded++
		_ = config.ApplyUpdate(m.snapshots, u)
	}
	return responded >= required
}

// fetchReadySnapshot returns the snapshot of the gateway on a VM, or nil if it is not ready or a call fails.
func (m *Mesh) fetchReadySnapshot(ctx context.Context, vm apitypes.VM) *peerpb.ConfigUpdate {
	client, err := m.clients.GatewayClient(vm)
	if err != nil {
		return nil
	}
	statusCtx, cancel := context.WithTimeout(ctx, neighbourCallTimeout)
	defer cancel()
	st, err := client.GetStatus(statusCtx, &peerpb.StatusRequest{})
	if err != nil || !st.Ready {
		return nil
	}
	u, err := m.fetchSnapshot(ctx, vm)
	if err != nil {
		return nil
	}
	return u
}
