package e2e

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/ctl"
)

// overwriteObject replaces an object on the platform directly, bypassing the administration API.
func (c *cluster) overwriteObject(kind, name, data string) {
	c.t.Helper()
	// Retried, because the holder of the lease on a pool's orders creates the object only when it takes over.
	c.await(kind+"/"+name+" to be overwritten", func() bool {
		o, err := c.platform.Get(context.Background(), kind, name)
		if err == nil {
			_, err = c.platform.Put(context.Background(), kind, name, json.RawMessage(data), o.Version)
		}
		return err == nil
	})
}

// awaitCorruptObjectStatus waits until crocusgladectl status reports all given objects as unusable, or none of them when shown is
// false.
func (c *cluster) awaitCorruptObjectStatus(vm int, shown bool, objects ...string) {
	c.t.Helper()
	c.await("the status to report corrupt objects", func() bool {
		code, out := c.ctl(vm, "status")
		for _, o := range objects {
			if strings.Contains(out, o+" can't be used") != shown {
				return false
			}
		}
		return code == ctl.ExitOK
	})
}

// Guards against a corrupt keyset or orders object on the platform that disables keys or ends drains, even when all controllers
// restart while it is corrupt, and against one that neither status nor metrics report.
func TestCorruptPlatformObjects(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{engines: 2})
	pool := c.pools["logreader"]
	pool.Paused = true
	c.put("pool", pool.Name, pool)
	c.overwriteObject(apitypes.KindOrders, "logreader", `{"drained":{"logreader-2":"test"}}`)
	c.awaitDrained()
	sets, _, err := c.platform.List(context.Background(), apitypes.KindKeySet)
	if err != nil {
		t.Fatal(err)
	}
	corrupt := []string{"orders/logreader"}
	c.overwriteObject(apitypes.KindOrders, "logreader", `{"drained":{},"intents":[{"state":"lost"}]}`)
	for i, set := range sets {
		c.overwriteObject(apitypes.KindKeySet, set.Name, []string{`{"keys":"lost"}`, `{"keys":null}`}[i%2])
		corrupt = append(corrupt, "keyset/"+set.Name)
	}
	for vm := range vmCount {
		c.awaitCorruptObjectStatus(vm, true, corrupt...)
		c.await("the metric to count the corrupt objects", func() bool {
			return c.scrape(c.vms[vm].gatewayMetrics, "config_bad_objects", "") == float64(len(corrupt))
		})
	}
	c.checkLastGood()
	for _, v := range c.vms {
		c.restartController(v)
	}
	for vm := range vmCount {
		c.awaitCorruptObjectStatus(vm, true, corrupt...)
	}
	c.await("all gateways to subscribe to configuration", func() bool { return c.scrapeAll(false, "relay_subscribers", `role="gateway"`) == vmCount })
	c.checkLastGood()
	for _, set := range sets {
		c.overwriteObject(apitypes.KindKeySet, set.Name, string(set.Data))
	}
	c.overwriteObject(apitypes.KindOrders, "logreader", `{}`)
	for vm := range vmCount {
		c.awaitCorruptObjectStatus(vm, false, corrupt...)
	}
	c.checkKeys()
	c.checkGuarantees()
}

// awaitDrained waits until logreader-2 is drained by the system and no gateway sends it work.
func (c *cluster) awaitDrained() {
	c.t.Helper()
	c.await("logreader-2 to be drained", func() bool {
		_, out := c.ctl(0, "endpoints")
		return strings.Contains(out, "drained by the system: test")
	})
	for vm := range c.vms {
		c.await("the drain to be in force at "+c.vms[vm].Name, func() bool {
			before := len(c.engines["logreader-2"].Requests())
			for range 8 {
				if !c.chat(vm, "skippers", "drained?", 1, false).complete {
					return false
				}
			}
			return len(c.engines["logreader-2"].Requests()) == before
		})
	}
}

// checkKeys checks that every gateway accepts the key of each team.
func (c *cluster) checkKeys() {
	c.t.Helper()
	for vm := range c.vms {
		for _, team := range []string{"skippers", "clerks"} {
			if r := c.call(vm, team, http.MethodGet, "/svc/lines/x", "", nil); r.status != http.StatusOK {
				c.t.Errorf("G4: the key of %s at gateway %d: status %d: %s", team, vm, r.status, r.body)
			}
		}
	}
}

// checkLastGood checks that the last valid state is in force: keys are accepted and the drained engine gets no work.
func (c *cluster) checkLastGood() {
	c.t.Helper()
	c.checkKeys()
	before := len(c.engines["logreader-2"].Requests())
	for i := range 16 {
		if r := c.chat(i%vmCount, "clerks", "after the damage", 2, false); !r.complete {
			c.t.Errorf("a chat while objects are corrupt: status %d: %s", r.status, r.body)
		}
	}
	if got := len(c.engines["logreader-2"].Requests()); got != before {
		c.t.Errorf("G10: the drained engine received %d requests", got-before)
	}
}
