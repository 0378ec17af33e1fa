package config

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/membership"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
)

// Guards against a controller that stays without configuration because all watchers in a lagging VM list are gone, and against one
// that watches the platform at once although it is not a watcher.
func TestSourceSelectorChoosesSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, snapshots, freshness := memplatform.New(), NewSnapshotStore(), &Freshness{}
		put(t, p, apitypes.KindTeam, "a", apitypes.Team{Name: "a"})
		vms := []apitypes.VM{{Name: "v1", State: apitypes.VMLive}, {Name: "v2", State: apitypes.VMLive}, {Name: "v3", State: apitypes.VMLive}}
		watchers := membership.Watchers(vms)
		self := ""
		for _, vm := range vms {
			if vm.Name != watchers[0] && vm.Name != watchers[1] {
				self = vm.Name
			}
		}
		refuse := func(apitypes.VM) (grpc.ClientConnInterface, func(), error) {
			return nil, nil, objectstore.ErrUnavailable
		}
		list := func() []apitypes.VM { return vms }
		s := NewSourceSelector(self, list, NewPlatformSource(p, snapshots, freshness),
			NewSubscriber(self, "controller", snapshots, freshness, func() []apitypes.VM { return membership.Parents(self, list()) }, refuse))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = s.Run(ctx) }()
		defer func() { cancel(); <-done }()
		time.Sleep(noParentTimeout / 2)
		if snapshots.Current().Revision() != 0 || s.Watching() {
			t.Fatal("a controller that is not a watcher watches the platform at once")
		}
		time.Sleep(noParentTimeout)
		if snapshots.Current().Team("a") == nil || !s.Watching() {
			t.Fatal("a controller without reachable parents does not watch the platform")
		}
	})
}
