package membership

import "testing"

// Guards against processes that compute different assignments because they have the same names in a different order.
func TestRendezvousIgnoresOrder(t *testing.T) {
	a := Rendezvous("pool", []string{"vm-1", "vm-2", "vm-3"}, 2)
	b := Rendezvous("pool", []string{"vm-3", "vm-1", "vm-2"}, 2)
	if a[0] != b[0] || a[1] != b[1] {
		t.Fatalf("the order of the names changes the result: %v and %v", a, b)
	}
}
