package membership

import (
	"fmt"
	"testing"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// Guards against failure domains without watchers, and against parents in another failure domain before those in the VM's own.
func TestWatchersPerFailureDomain(t *testing.T) {
	var list []apitypes.VM
	for i := range 12 {
		list = append(list, apitypes.VM{Name: fmt.Sprintf("vm-%d", i), FailureDomain: fmt.Sprintf("d%d", i%3), State: apitypes.VMLive})
	}
	list[0].State = apitypes.VMLeaving
	watchers := Watchers(list)
	if len(watchers) != 3*WatchersPerDomain {
		t.Fatalf("watchers %v", watchers)
	}
	parents := Parents("vm-1", list)
	if len(parents) != len(watchers) || parents[0].FailureDomain != "d1" || parents[1].FailureDomain != "d1" {
		t.Fatalf("parents %v", parents)
	}
}
