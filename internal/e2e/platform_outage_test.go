package e2e

import (
	"net/http"
	"testing"
)

// Guards against a gateway that starts during a platform outage and does not serve until the outage ends, although the other VMs
// have the list of VMs. The first VM by name dials the others and the last is dialled by them; both cases need the list.
func TestGatewayStartsInOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	c.platform.UpdateFaults(func(f *platformFaults) { f.Down = true })
	for _, v := range []*vm{c.vms[0], c.vms[vmCount-1]} {
		c.restartGateway(v)
		c.await(v.Name+" to serve in the outage", func() bool {
			return c.call(v.index, "skippers", http.MethodGet, "/svc/lines/x", "", nil).status == http.StatusOK
		})
	}
	c.platform.UpdateFaults(func(f *platformFaults) { f.Down = false })
	c.checkGuarantees()
}
