package e2e

import (
	"net/http"
	"testing"
)

// Guards against a gateway that starts in an outage of the platform and stays out of service until its end, although its neighbours
// know the list of VMs. The first VM by name dials its neighbours and the last is dialled by them; both need the list.
func TestGatewayStartsInOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	c.mem.UpdateFaults(func(f *memFaults) { f.Down = true })
	for _, v := range []*vm{c.vms[0], c.vms[vmCount-1]} {
		c.restartGateway(v)
		c.await(v.Name+" in the outage", func() bool {
			return c.call(v.index, "skippers", http.MethodGet, "/svc/lines/x", "", nil).status == http.StatusOK
		})
	}
	c.mem.UpdateFaults(func(f *memFaults) { f.Down = false })
	c.check()
}
