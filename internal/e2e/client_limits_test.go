package e2e

import (
	"net/http"
	"testing"
	"time"

	"crocusglade.example/crocusglade/internal/fault"
)

const (
	// misbehavingClients is the number of connections of a load.
	misbehavingClients = 200
	// loadTime is how long a load stays connected.
	loadTime = time.Second
	// smallestVMMemoryMB and smallestVMDescriptors are the limits of the smallest VM in use.
	smallestVMMemoryMB    = 144
	smallestVMDescriptors = 3075
)

// Guards against clients outside the limits that make a gateway or a controller use up the memory or the descriptors of its VM, or stop
// answering others.
func TestMisbehavingClientsDoNotExhaustProcess(t *testing.T) {
	for _, port := range []string{"callers", "gateway metrics", "gateway peers", "administration", "administration with credential"} {
		t.Run(port, func(t *testing.T) {
			c := newCluster(t, options{})
			for _, load := range fault.ClientLoads() {
				t.Run(load.Name, func(t *testing.T) { testClientLoad(t, c, port, load) })
			}
		})
	}
}

// testClientLoad puts a load on a port. The memory of the processes is that of all loads so far.
func testClientLoad(t *testing.T, c *cluster, port string, load fault.ClientLoad) {
	v := c.vms[0]
	process, address, head := v.gateway, v.GatewayAddr, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+c.keys["skippers"]+"\r\n"
	ordinary := func() bool {
		return c.call(0, "clerks", http.MethodGet, "/svc/lines/ready", "", nil).status == http.StatusOK
	}
	get := func(address, path string) func() bool {
		return func() bool {
			r, err := c.client.Get(c.url(address) + path)
			if err != nil {
				return false
			}
			defer r.Body.Close()
			return r.StatusCode == http.StatusOK
		}
	}
	switch port {
	case "gateway metrics":
		address, head, ordinary = v.gatewayMetrics, "POST /metrics HTTP/1.1\r\nHost: a\r\n", get(v.gatewayMetrics, "/metrics")
	case "gateway peers":
		address, head = v.GatewayPeerAddr, "POST / HTTP/1.1\r\nHost: a\r\n"
	case "administration", "administration with credential":
		process, address, head = v.controller, v.ControllerAddr, "PUT /admin/v1/config/team/x HTTP/1.1\r\nHost: a\r\nIf-None-Match: *\r\n"
		if port != "administration" {
			head += "Authorization: Bearer " + credential + "\r\n"
		}
		ordinary = func() bool {
			status, _ := c.adminAt(v, http.MethodGet, "/config/team/clerks", nil, nil)
			return status == http.StatusOK
		}
	}
	c.client.CloseIdleConnections() // a request that the server closes an idle connection under is not what this test is about
	crowd := fault.StartCrowd(address, misbehavingClients, load, head)
	time.Sleep(loadTime)
	c.await("an ordinary request during the load", ordinary)
	descriptors, err := process.Descriptors()
	if err != nil {
		t.Fatal(err)
	}
	crowd.Stop()
	c.await("an ordinary request after the load", ordinary)
	peak, err := process.PeakMemory()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak memory %.0f MiB, %d descriptors", peak, descriptors)
	if peak > smallestVMMemoryMB {
		t.Errorf("peak memory %.0f MiB, the VM has %d", peak, smallestVMMemoryMB)
	}
	if descriptors > smallestVMDescriptors {
		t.Errorf("%d descriptors, the VM has %d", descriptors, smallestVMDescriptors)
	}
}
