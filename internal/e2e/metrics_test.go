package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// scrape returns the sum of the samples of a metric family at an address. A label such as `duty="usage"` selects samples; with ""
// all are included.
func (c *cluster) scrape(addr, family, label string) float64 {
	c.t.Helper()
	r, err := c.client.Get(c.url(addr) + "/metrics")
	if err != nil {
		c.t.Errorf("scrape %s: %v", addr, err)
		return 0
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		c.t.Errorf("scrape %s: status %d", addr, r.StatusCode)
	}
	sum, lines := 0.0, bufio.NewScanner(r.Body)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		base, labels, _ := strings.Cut(name, "{")
		if !ok || base != "crocusglade_"+family || !strings.Contains(labels, label) {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			c.t.Errorf("sample %q of %s: %v", lines.Text(), addr, err)
		}
		sum += v
	}
	return sum
}

// scrapeAll returns the sum of a metric family over all gateways, or over all controllers.
func (c *cluster) scrapeAll(gateways bool, family, label string) float64 {
	sum := 0.0
	for _, v := range c.vms {
		addr := v.controllerMetrics
		if gateways {
			addr = v.gatewayMetrics
		}
		sum += c.scrape(addr, family, label)
	}
	return sum
}

// checkGauges checks gauges that are computed at collection time, while a request is in progress.
func (u *usageCluster) checkGauges() {
	u.t.Helper()
	open := u.openChat(0, u.key("skippers"), "levels", 1000)
	defer open.cancel()
	if got := u.scrape(u.vms[0].gatewayMetrics, "in_flight", `pool="logreader"`); got < 1 {
		u.t.Errorf("in_flight is %v while a stream is in progress", got)
	}
	r, err := u.client.Get(u.url(u.vms[0].gatewayMetrics) + "/metrics")
	if err != nil {
		u.t.Fatal(err)
	}
	defer r.Body.Close()
	metrics, _ := io.ReadAll(r.Body)
	for class := range apitypes.PriorityClasses {
		if name := fmt.Sprintf(`crocusglade_admission_waiting{class="%d"}`, class); !strings.Contains(string(metrics), name) {
			u.t.Errorf("metric %s is missing", name)
		}
	}
	if got := u.scrapeAll(false, "relay_sent_total", `stream="config"`); got < vmCount {
		u.t.Errorf("relay_sent is %v, want at least one object for each gateway", got)
	}
	u.await("one configuration stream for each gateway", func() bool {
		return u.scrapeAll(false, "relay_subscribers", `role="gateway"`) == vmCount
	})
}

// Guards against metrics that are never updated and against values that don't match the requests and reports of the run.
func TestUsageMetrics(t *testing.T) {
	t.Parallel()
	u := newUsageCluster(t)
	u.startCallers()
	u.awaitReports(2)
	u.checkGauges()
	u.stopAndCheck()
	complete := 0.0
	for _, r := range u.history.Requests {
		if r.Team == billedTeams[0] && r.Result == "whole" {
			complete++
		}
	}
	if got := u.scrapeAll(true, "usage_requests_total", `team="`+billedTeams[0]+`"`); got != complete {
		t.Errorf("usage_requests of %s is %v, want %v", billedTeams[0], got, complete)
	}
	for _, v := range u.vms {
		if got := u.scrape(v.gatewayMetrics, "usage_copies_total", ""); got < 1 {
			t.Errorf("usage_copies at %s is %v, want at least 1", v.Name, got)
		}
		for _, addr := range []string{v.gatewayMetrics, v.controllerMetrics} {
			if got := u.scrape(addr, "config_revision", ""); got < 1 {
				t.Errorf("config_revision at %s is %v", addr, got)
			}
			if got := u.scrape(addr, "config_age_seconds", ""); got < 0 || got > waitTimeout.Seconds() {
				t.Errorf("config_age at %s is %v", addr, got)
			}
		}
	}
	for _, name := range []string{"admission_admitted_total", "choice_made_total"} {
		if got := u.scrapeAll(true, name, ""); got < complete {
			t.Errorf("%s is %v for %v complete answers of one team", name, got, complete)
		}
	}
	if got := u.scrapeAll(false, "lease_held", `duty="orders"`); got != float64(len(u.pools)) {
		t.Errorf("the orders leases of %v pools are held, want %d", got, len(u.pools))
	}
	if got := u.scrapeAll(false, "lease_held", `duty="usage"`); got != 1 {
		t.Errorf("%v processes hold the usage lease, want 1", got)
	}
	taken, lost := u.scrapeAll(false, "lease_taken_total", `duty="usage"`), u.scrapeAll(false, "lease_lost_total", `duty="usage"`)
	if taken-lost != 1 {
		t.Errorf("the usage lease was taken %v times and lost %v times, want one taken more than lost", taken, lost)
	}
	reports := float64(len(u.platform.Reports()))
	if got := u.scrapeAll(false, "usage_windows_reported_total", ""); got < reports {
		t.Errorf("usage_windows_reported is %v for %v reported windows", got, reports)
	}
	if got := u.scrapeAll(false, "usage_windows_sealed_total", ""); got < reports {
		t.Errorf("usage_windows_sealed is %v for %v reported windows", got, reports)
	}
}
