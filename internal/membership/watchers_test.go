package membership

import (
	"fmt"
	"testing"

	"crocusglade.example/crocusglade/internal/world"
)

// Guards against failure domains without watchers, or a watcher that takes itself as its parent's parent.
func TestWatchersPerFailureDomain(t *testing.T) {
	var list []world.VM
	for i := range 12 {
		list = append(list, world.VM{Name: fmt.Sprintf("vm-%d", i), FailureDomain: fmt.Sprintf("d%d", i%3), State: world.VMLive})
	}
	list[0].State = world.VMLeaving
	watchers := Watchers(list)
	if len(watchers) != 3*WatchersPerDomain {
		t.Fatalf("watchers %v", watchers)
	}
	parents := Parents("vm-1", list)
	if len(parents) != len(watchers) || parents[0].FailureDomain != "d1" || parents[1].FailureDomain != "d1" {
		t.Fatalf("parents %v", parents)
	}
}
