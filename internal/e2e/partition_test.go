package e2e

import (
	"net/http"
	"testing"

	"crocusglade.example/crocusglade/internal/apierror"
)

// Guards against a gateway that is cut off from the platform and from all other VMs and goes on admitting keyed work, whose keys
// may have been withdrawn meanwhile, and against one that does not come back.
func TestCutOffGatewayStopsKeyedWork(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	cut := c.vms[1]
	c.isolate(cut, true)
	c.await("the refusal of keyed work", func() bool {
		r := c.call(cut.index, "skippers", http.MethodGet, "/svc/lines/1", "", nil)
		return r.status == http.StatusServiceUnavailable && r.err.Execution == apierror.NotExecuted
	})
	if r := c.call(0, "skippers", http.MethodGet, "/svc/lines/1", "", nil); r.status != http.StatusOK {
		t.Errorf("a gateway on the majority's side: %d %s", r.status, r.body)
	}
	c.heal(cut)
	c.await("service after the cut", func() bool {
		return c.call(cut.index, "skippers", http.MethodGet, "/svc/lines/1", "", nil).status == http.StatusOK
	})
	c.check()
}
