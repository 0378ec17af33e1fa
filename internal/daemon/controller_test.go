package daemon

import "testing"

// Guards against a gateway that is treated as gone while it runs, because the name of its VM contains dots and is split at the wrong one.
func TestSplitGateway(t *testing.T) {
	for gateway, want := range map[string][2]string{"vm-1.abc": {"vm-1", "abc"}, "vm.riga.1.abc": {"vm.riga.1", "abc"}, "vm": {"vm", ""}} {
		if vm, incarnation := splitGatewayName(gateway); vm != want[0] || incarnation != want[1] {
			t.Errorf("%s: %s and %s", gateway, vm, incarnation)
		}
	}
}
