package daemon

import "testing"

// Guards against a VM whose name holds dots and whose gateway would count as gone while it runs.
func TestSplitGateway(t *testing.T) {
	for gateway, want := range map[string][2]string{"vm-1.abc": {"vm-1", "abc"}, "vm.riga.1.abc": {"vm.riga.1", "abc"}, "vm": {"vm", ""}} {
		if vm, incarnation := splitGateway(gateway); vm != want[0] || incarnation != want[1] {
			t.Errorf("%s: %s and %s", gateway, vm, incarnation)
		}
	}
}
