package node

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/metering"
	"crocusglade.example/crocusglade/internal/vmlink"
)

// finalCountsTimeout bounds reading the final counts of the other VMs. It is short, because the holder of the duties lease waits for it
// before it orders endpoints.
const finalCountsTimeout = 400 * time.Millisecond

// newUsageReporter returns the reporter for one term of the duties.
func (n *Node) newUsageReporter(a *lease.Authority, d Duties) *metering.Reporter {
	return &metering.Reporter{Meter: n.meter, Ledger: n.ledger, Store: n.Store, Now: n.medianClock.Now, Send: d.ReportUsage, Limit: n.UsageLimit,
		MissingVMs: n.fetchFinalCounts, OnIncomplete: func(int) { n.incompleteWindows.Add(1) }, OnOmitted: func() { n.omittedWindows.Add(1) },
		StoreCompleteSince: a.CompleteSince(), Log: n.log}
}

// fetchFinalCounts reads the final counts for a window of the VMs that may have served requests in it and have not reported them, and
// returns the names of those that it can't get them from. VMs whose process has ended don't count: what they reported before is all
// there is.
func (n *Node) fetchFinalCounts(ctx context.Context, w metering.Window) []string {
	sinceStart := n.medianClock.Now().Sub(n.meter.WindowStart(w))
	var missing []vmlink.PeerStatus
	for _, vm := range n.link.PeersSince(bootclock.Now().Add(-sinceStart)) {
		if !n.ledger.HasFinalCounts(vm.Incarnation, w) {
			missing = append(missing, vm)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, finalCountsTimeout)
	defer cancel()
	known := make([]bool, len(missing))
	n.forEachVM(missing, func(i int, vm vmlink.PeerStatus) {
		incarnation, err := n.fetchLedger(ctx, vm)
		known[i] = errors.Is(err, syscall.ECONNREFUSED) || err == nil && incarnation != vm.Incarnation || n.ledger.HasFinalCounts(vm.Incarnation, w)
	})
	var names []string
	for i, vm := range missing {
		if !known[i] {
			names = append(names, vm.Name)
		}
	}
	return names
}

// fetchPeerLedgers merges the usage ledgers of the other VMs, which include counts of VMs that have stopped or restarted. Failures are
// logged.
func (n *Node) fetchPeerLedgers(ctx context.Context) {
	n.forEachVM(n.link.LivePeers(), func(_ int, vm vmlink.PeerStatus) {
		if _, err := n.fetchLedger(ctx, vm); err != nil {
			n.log.Warn().Str("peer", vm.Name).Err(err).Msg("reading the usage counts of a VM failed")
		}
	})
}

// forEachVM calls f for each VM concurrently, so that a VM that doesn't respond doesn't delay the others, and waits for all calls.
func (n *Node) forEachVM(vms []vmlink.PeerStatus, f func(i int, vm vmlink.PeerStatus)) {
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Go(func() { f(i, vm) })
	}
	wg.Wait()
}

// fetchLedger merges the usage ledger of one VM and returns the VM's incarnation.
func (n *Node) fetchLedger(ctx context.Context, vm vmlink.PeerStatus) (incarnation string, err error) {
	var ledger metering.LedgerCopy
	if err := getFromVM(ctx, vm.LinkAddress, ledgerPath, &ledger); err != nil {
		return "", err
	}
	n.ledger.Merge(&ledger)
	return ledger.Incarnation, nil
}
