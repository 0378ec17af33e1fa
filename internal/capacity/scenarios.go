package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
	"crocusglade.example/crocusglade/internal/peer"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

const (
	// changesPerSecond is the rate of configuration changes, propagationChanges the number of changes whose propagation is measured.
	changesPerSecond   = 5
	propagationChanges = 10
	// outageDuration is the length of the platform outage; recoverySeconds is the time after it during which calls are counted.
	outageDuration  = 10 * time.Second
	recoverySeconds = 10
)

// runChanges measures resource use with and without configuration changes, the propagation of changes and a platform outage.
func runChanges(ctx context.Context, daemon string, o options) error {
	c, err := startCluster(ctx, daemon, clusterSize{vms: 40, endpoints: 40, teams: 400})
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return err
	}
	time.Sleep(o.settleTime)
	if err := c.report(ctx, o.duration, ", no changes", nil); err != nil {
		return err
	}
	changing, stop := context.WithCancel(ctx)
	err = c.report(ctx, o.duration, fmt.Sprintf(", %d changes/s", changesPerSecond), func() { c.editTeams(changing) })
	stop()
	if err != nil {
		return err
	}
	if err := c.measurePropagation(ctx); err != nil {
		return err
	}
	c.measureOutage()
	return nil
}

// editTeams changes teams at changesPerSecond until ctx ends.
func (c *cluster) editTeams(ctx context.Context) {
	ticker := time.NewTicker(time.Second / changesPerSecond)
	defer ticker.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		team := apitypes.Team{Name: fmt.Sprintf("team-%04d", 1+i%c.size.teams), Template: "boats", Weight: float64(2 + i%5)}
		_ = c.put(ctx, apitypes.KindTeam, team.Name, team)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// measurePropagation measures and prints the time from the acceptance of a configuration change until all gateways apply it.
func (c *cluster) measurePropagation(ctx context.Context) error {
	clients := peer.NewClients(nil)
	defer clients.Close()
	var durations []time.Duration
	for i := range propagationChanges {
		team := apitypes.Team{Name: "team-0001", Template: "boats", Weight: float64(20 + i)}
		revision, err := c.putVersion(ctx, apitypes.KindTeam, team.Name, team)
		if err != nil {
			return err
		}
		began := time.Now()
		group, ctx := errgroup.WithContext(ctx)
		for _, vm := range c.vms {
			group.Go(func() error {
				client, err := clients.GatewayClient(vm)
				if err != nil {
					return err
				}
				for {
					s, err := client.GetStatus(ctx, &peerpb.StatusRequest{})
					if err != nil {
						return err
					}
					if s.Revision >= revision {
						return nil
					}
					time.Sleep(2 * time.Millisecond)
				}
			})
		}
		if err := group.Wait(); err != nil {
			return err
		}
		durations = append(durations, time.Since(began))
		time.Sleep(200 * time.Millisecond)
	}
	slices.Sort(durations)
	fmt.Printf("change in force at all %d gateways: median %v, slowest of %d %v\n", len(c.vms), durations[len(durations)/2].Round(time.Millisecond), len(durations),
		durations[len(durations)-1].Round(time.Millisecond))
	return nil
}

// measureOutage makes the platform unavailable and prints its calls in each second of the outage and after it.
func (c *cluster) measureOutage() {
	c.calls.reset()
	c.mem.SetFaults(memplatform.Faults{Down: true})
	fmt.Printf("platform calls in each second of an outage: %s\n", c.callsPerSecond(int(outageDuration/time.Second)))
	c.mem.SetFaults(memplatform.Faults{})
	fmt.Printf("platform calls in each second after it: %s\n", c.callsPerSecond(recoverySeconds))
}

// callsPerSecond returns the number of platform calls in each of the next seconds, as text.
func (c *cluster) callsPerSecond(seconds int) string {
	var out []string
	for range seconds {
		time.Sleep(time.Second)
		calls, _ := c.calls.reset()
		total := 0
		for _, n := range calls {
			total += n
		}
		out = append(out, fmt.Sprint(total))
	}
	return strings.Join(out, " ")
}

// callerScenarios holds the cluster sizes and traffic levels measured with callers. 16 VMs are more than the number of neighbours of a
// gateway, and 240 requests per second over 16 gateways load each one like 4,900 over 330.
var callerScenarios = []struct {
	vms     int
	traffic []traffic
}{
	{4, []traffic{{0, 0}, {100, 16}, {400, 16}, {400, 64}}},
	{16, []traffic{{0, 0}, {240, 16}}},
}

// runCallers measures resource use under the traffic of callers.
func runCallers(ctx context.Context, daemon string, o options) error {
	for _, scenario := range callerScenarios {
		if err := measureCallers(ctx, daemon, o, scenario.vms, scenario.traffic); err != nil {
			return err
		}
	}
	return nil
}

// measureCallers starts a cluster and measures each traffic level in turn.
func measureCallers(ctx context.Context, daemon string, o options, vms int, levels []traffic) error {
	c, err := startCluster(ctx, daemon, clusterSize{vms: vms, endpoints: 40, teams: 400})
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return err
	}
	time.Sleep(o.settleTime)
	for _, level := range levels {
		callCtx, stop := context.WithCancel(ctx)
		var done, failed atomic.Int64
		label := fmt.Sprintf(", %d requests/s of %d tokens", level.rate, level.tokens)
		err := c.report(ctx, o.duration, label, func() { c.sendRequests(callCtx, level, &done, &failed) })
		stop()
		if err != nil {
			return err
		}
		fmt.Printf("callers    %.0f answers/s, %d failed\n", float64(done.Load())/o.duration.Seconds(), failed.Load())
		time.Sleep(time.Second)
	}
	return nil
}

// traffic is a level of traffic: requests per second over all gateways, and output tokens of each request.
type traffic struct{ rate, tokens int }

// sendRequests sends requests at a constant rate until ctx ends and counts the completed and the failed ones.
func (c *cluster) sendRequests(ctx context.Context, level traffic, done, failed *atomic.Int64) {
	if level.rate == 0 {
		return
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(level.rate))
	defer ticker.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		wg.Go(func() {
			if c.sendRequest(ctx, client, i, level.tokens) {
				done.Add(1)
				return
			}
			if ctx.Err() == nil {
				failed.Add(1)
			}
		})
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	wg.Wait()
}

// sendRequest sends one streaming request to a gateway and reports whether the response was complete.
func (c *cluster) sendRequest(ctx context.Context, client *http.Client, i, tokens int) bool {
	body := fmt.Sprintf(`{"model":"model-%d","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Summarise rope log %d"}]}`,
		1+i%poolCount, tokens, i)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.vms[i%len(c.vms)].GatewayAddr+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", "Bearer "+c.keys[i%len(c.keys)])
	r.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && strings.Contains(string(response), "[DONE]")
}
