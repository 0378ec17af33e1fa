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

// overwrite replaces an object on the platform, past the administration API.
func (c *cluster) overwrite(kind, name, data string) {
	c.t.Helper()
	// The holder of a pool's orders makes the object when it takes over.
	c.await(kind+"/"+name, func() bool {
		o, err := c.mem.Get(context.Background(), kind, name)
		if err == nil {
			_, err = c.mem.Put(context.Background(), kind, name, json.RawMessage(data), o.Version)
		}
		return err == nil
	})
}

// awaitStatus waits until crocusgladectl status shows, or no longer shows, all given objects as damaged.
func (c *cluster) awaitStatus(vm int, shown bool, objects ...string) {
	c.t.Helper()
	c.await("the status of damaged objects", func() bool {
		code, out := c.ctl(vm, "status")
		for _, o := range objects {
			if strings.Contains(out, o+" can't be used") != shown {
				return false
			}
		}
		return code == ctl.ExitOK
	})
}

// Guards against a keyset or orders object that is damaged on the platform and takes keys or drains out of force, also when all controllers
// restart meanwhile, or that nobody sees.
func TestDamagedObjectsOnThePlatform(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{engines: 2})
	pool := c.pools["logreader"]
	pool.Paused = true
	c.put("pool", pool.Name, pool)
	c.overwrite(apitypes.KindOrders, "logreader", `{"drained":{"logreader-2":"test"}}`)
	c.awaitDrained()
	sets, _, err := c.mem.List(context.Background(), apitypes.KindKeySet)
	if err != nil {
		t.Fatal(err)
	}
	damaged := []string{"orders/logreader"}
	c.overwrite(apitypes.KindOrders, "logreader", `{"drained":{},"intents":[{"state":"lost"}]}`)
	for i, set := range sets {
		c.overwrite(apitypes.KindKeySet, set.Name, []string{`{"keys":"lost"}`, `{"keys":null}`}[i%2])
		damaged = append(damaged, "keyset/"+set.Name)
	}
	for vm := range vmCount {
		c.awaitStatus(vm, true, damaged...)
		c.await("the metric of damaged objects", func() bool {
			return c.scrape(c.vms[vm].gatewayMetrics, "config_bad_objects", "") == float64(len(damaged))
		})
	}
	c.checkLastGood()
	for _, v := range c.vms {
		c.restartController(v)
	}
	for vm := range vmCount {
		c.awaitStatus(vm, true, damaged...)
	}
	c.await("the gateways' streams", func() bool { return c.scrapeAll(false, "relay_subscribers", `role="gateway"`) == vmCount })
	c.checkLastGood()
	for _, set := range sets {
		c.overwrite(apitypes.KindKeySet, set.Name, string(set.Data))
	}
	c.overwrite(apitypes.KindOrders, "logreader", `{}`)
	for vm := range vmCount {
		c.awaitStatus(vm, false, damaged...)
	}
	c.checkKeys()
	c.check()
}

func (c *cluster) awaitDrained() {
	c.t.Helper()
	c.await("the drained engine", func() bool {
		_, out := c.ctl(0, "endpoints")
		return strings.Contains(out, "drained by the system: test")
	})
	for vm := range c.vms {
		c.await("the revision at "+c.vms[vm].Name, func() bool {
			before := len(c.engines["logreader-2"].Requests())
			for range 8 {
				if !c.chat(vm, "skippers", "drained?", 1, false).whole {
					return false
				}
			}
			return len(c.engines["logreader-2"].Requests()) == before
		})
	}
}

func (c *cluster) checkKeys() {
	c.t.Helper()
	for vm := range c.vms {
		for _, team := range []string{"skippers", "clerks"} {
			if r := c.call(vm, team, http.MethodGet, "/svc/lines/x", "", nil); r.status != http.StatusOK {
				c.t.Errorf("G4: the key of %s at gateway %d: %d %s", team, vm, r.status, r.body)
			}
		}
	}
}

// checkLastGood checks that keys work and that the drained engine gets no work.
func (c *cluster) checkLastGood() {
	c.t.Helper()
	c.checkKeys()
	before := len(c.engines["logreader-2"].Requests())
	for i := range 16 {
		if r := c.chat(i%vmCount, "clerks", "after the damage", 2, false); !r.whole {
			c.t.Errorf("a chat after the damage: %d %s", r.status, r.body)
		}
	}
	if got := len(c.engines["logreader-2"].Requests()); got != before {
		c.t.Errorf("G10: the drained engine got %d requests", got-before)
	}
}
