package node

import (
	"time"

	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/catalog"
)

const (
	// repeatTime is the time from the store's return from a copy in which the operator and the endpoints write again what it lost.
	repeatTime = 10 * time.Second
	// newsTimeout bounds how long a VM that starts in this time waits for the status of the others, newsCheckInterval is the time between two checks.
	newsTimeout       = 500 * time.Millisecond
	newsCheckInterval = 5 * time.Millisecond
)

// awaitNews delays the start of a VM while the store may have come back from a copy lately, until the VM has heard what the others know: the copy
// may hold withdrawn keys and endpoints that have left. first is the edition of the configuration in the store. Without a return the record of the lease
// or the first status of another VM tells within milliseconds how long the store's era has lasted.
func (n *Node) awaitNews(first catalog.Edition) {
	for deadline := time.Now().Add(newsTimeout); time.Now().Before(deadline); time.Sleep(newsCheckInterval) {
		era, since := n.Store.Eras().Newest()
		if era == 0 || bootclock.Since(since) > repeatTime || n.link.Size() > 1 && n.link.InStep() && !n.peerSupersedes(first) {
			return
		}
	}
}

// peerSupersedes reports whether another VM has a newer configuration than an edition, and this one hasn't got it yet.
func (n *Node) peerSupersedes(e catalog.Edition) bool {
	if n.catalogHolder.Current() != nil {
		return false
	}
	for _, vm := range n.link.LivePeers() {
		if vm.Config.Supersedes(e) {
			return true
		}
	}
	return false
}
