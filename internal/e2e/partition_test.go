package e2e

import (
	"net/http"
	"testing"

	"crocusglade.example/crocusglade/internal/apierror"
)

// Guards against a gateway that still admits requests with keys while it is partitioned from the platform and from all other VMs,
// since the keys may have been withdrawn, and against one that does not resume service after the partition.
func TestPartitionedGatewayRefusesKeyedRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	target := c.vms[1]
	c.partition(target, true)
	c.await("requests with keys to be refused", func() bool {
		r := c.call(target.index, "skippers", http.MethodGet, "/svc/lines/1", "", nil)
		return r.status == http.StatusServiceUnavailable && r.err.Execution == apierror.NotExecuted
	})
	if r := c.call(0, "skippers", http.MethodGet, "/svc/lines/1", "", nil); r.status != http.StatusOK {
		t.Errorf("a gateway on the majority side: status %d: %s", r.status, r.body)
	}
	c.heal(target)
	c.await("the gateway to serve after the partition", func() bool {
		return c.call(target.index, "skippers", http.MethodGet, "/svc/lines/1", "", nil).status == http.StatusOK
	})
	c.checkGuarantees()
}
