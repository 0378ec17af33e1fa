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
	// contactLimit is how long after the last contact with the platform or a majority keyed work is still admitted.
	contactLimit = 5 * time.Second
	// statusTimeout bounds one call to a neighbour.
	statusTimeout = 2 * time.Second
)

// HasPlatformOrMajority tells whether keyed work may be admitted: the platform has confirmed the configuration, or a majority of the known VMs
// was heard, within the last 5 s. Without both, an outage can't be told from a partition. A gateway that returns from a partition
// hears the majority before it has their configuration, in which keys may be withdrawn; so nobody may be ahead of it.
func (m *Mesh) HasPlatformOrMajority() bool {
	if m.freshness.AgeMS() <= contactLimit.Milliseconds() {
		return true
	}
	return !m.behind() && m.members.Majority(func(vm string) bool { return m.heardWithin(vm, contactLimit) })
}

// behind tells whether a neighbour that was heard has a newer configuration of operators. Revisions also grow by the system's own
// writes, above all right after an outage, which the digest shows.
func (m *Mesh) behind() bool {
	own := m.holder.Current()
	digest := own.OperatorsDigest()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.neighbours {
		if n.revision > own.Revision() && n.digest != digest && time.Since(n.heard) <= contactLimit {
			return true
		}
	}
	return false
}

// relayAge is the age in milliseconds of the configuration above which a gateway's relay is taken to deliver nothing.
const relayAge = 4000

// catchUp fetches the snapshot of a neighbour whose larger revision no relay has delivered. While a relay confirms the configuration, a
// change is only on its way; on an overloaded machine whole snapshots of above 1 MB would come on top of it.
func (m *Mesh) catchUp(ctx context.Context) {
	if m.freshness.AgeMS() <= relayAge {
		return
	}
	vm, ok := m.ahead()
	if !ok {
		return
	}
	u, err := m.snapshotOf(ctx, vm)
	if err != nil || u.Revision <= m.holder.Current().Revision() {
		return
	}
	_ = config.ApplyUpdate(m.holder, u)
}

// ahead returns the live neighbour with the largest revision that has been larger than this gateway's for a while.
func (m *Mesh) ahead() (apitypes.VM, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	best, name := m.holder.Current().Revision(), ""
	for vm, n := range m.neighbours {
		if n.aheadSince.IsZero() || time.Since(n.aheadSince) < snapshotPatience || time.Since(n.heard) > silentAfter || n.revision <= best {
			continue
		}
		best, name = n.revision, vm
	}
	if name == "" {
		return apitypes.VM{}, false
	}
	// The next try, if this one fails, comes after the same wait.
	m.neighbours[name].aheadSince = time.Now()
	return m.members.VM(name)
}

func (m *Mesh) snapshotOf(ctx context.Context, vm apitypes.VM) (*peerpb.ConfigUpdate, error) {
	client, err := m.clients.GatewayClient(vm)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return client.Snapshot(ctx, &peerpb.SnapshotRequest{Digest: m.holder.Current().Digest()})
}

// Readiness tells when a started gateway has a configuration that it may serve with.
type Readiness struct {
	mesh   *Mesh
	synced func() bool
	ready  atomic.Bool
}

// NewReadiness returns the readiness of a gateway; synced is config.Subscriber.Synced.
func NewReadiness(mesh *Mesh, synced func() bool) *Readiness {
	return &Readiness{mesh: mesh, synced: synced}
}

// Ready tells whether the gateway has been level with a live watch, or has the largest snapshot of a majority of the known VMs. It
// stays true.
func (r *Readiness) Ready() bool { return r.ready.Load() || r.synced() }

// Run looks for a majority's snapshot once a second until the gateway is ready, then waits for ctx to end.
func (r *Readiness) Run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for !r.Ready() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if !r.synced() && r.mesh.loadMajority(ctx) {
			r.ready.Store(true)
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// loadMajority asks the VMs whose majority counts for their snapshots and puts the largest in force. It returns true only when enough
// answered with a configuration to meet every majority that may have confirmed a change: 2 of 4, because at most one of the ready
// gateways lacks what 3 have confirmed. This gateway itself does not count: it has lost its memory. Nor does a gateway that is not
// ready. Asking for 3 would keep two gateways that restart together in an outage from ever serving again.
func (m *Mesh) loadMajority(ctx context.Context) bool {
	live := m.members.Live()
	asked := m.members.Neighbours()
	need := snapshotsNeeded(len(live), len(asked))
	answers := make(chan *peerpb.ConfigUpdate, len(asked))
	for _, vm := range asked {
		go func() { answers <- m.readySnapshot(ctx, vm) }()
	}
	good := 0
	for range asked {
		u := <-answers
		if u == nil || u.Revision == 0 {
			continue
		}
		good++
		_ = config.ApplyUpdate(m.holder, u)
	}
	return good >= need
}

// readySnapshot returns the snapshot of a gateway that is ready, or nil.
func (m *Mesh) readySnapshot(ctx context.Context, vm apitypes.VM) *peerpb.ConfigUpdate {
	client, err := m.clients.GatewayClient(vm)
	if err != nil {
		return nil
	}
	statusCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	st, err := client.GetStatus(statusCtx, &peerpb.StatusRequest{})
	if err != nil || !st.Ready {
		return nil
	}
	u, err := m.snapshotOf(ctx, vm)
	if err != nil {
		return nil
	}
	return u
}
