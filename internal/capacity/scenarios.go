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
	changesPerSecond = 5
	spreadChanges    = 10
	outageLength     = 10 * time.Second
	rushSeconds      = 10
)

// runChanges measures changes of the configuration and an outage of the platform.
func runChanges(ctx context.Context, daemon string, o options) error {
	c, err := start(ctx, daemon, size{vms: 40, endpoints: 40, teams: 400})
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return err
	}
	time.Sleep(o.settle)
	if err := c.report(ctx, o.length, ", no changes", nil); err != nil {
		return err
	}
	changing, stop := context.WithCancel(ctx)
	err = c.report(ctx, o.length, fmt.Sprintf(", %d changes/s", changesPerSecond), func() { c.change(changing) })
	stop()
	if err != nil {
		return err
	}
	if err := c.spread(ctx); err != nil {
		return err
	}
	c.outage()
	return nil
}

// change edits teams until ctx ends.
func (c *cluster) change(ctx context.Context) {
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

// spread measures the time from the acceptance of a change until every gateway has it in force.
func (c *cluster) spread(ctx context.Context) error {
	clients := peer.NewClients(nil)
	defer clients.Close()
	var all []time.Duration
	for i := range spreadChanges {
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
		all = append(all, time.Since(began))
		time.Sleep(200 * time.Millisecond)
	}
	slices.Sort(all)
	fmt.Printf("change in force at all %d gateways: median %v, slowest of %d %v\n", len(c.vms), all[len(all)/2].Round(time.Millisecond), len(all),
		all[len(all)-1].Round(time.Millisecond))
	return nil
}

// outage takes the platform down and prints the calls in each second of the outage and after it.
func (c *cluster) outage() {
	c.calls.take()
	c.mem.SetFaults(memplatform.Faults{Down: true})
	fmt.Printf("platform calls in each second of an outage: %s\n", c.callsEachSecond(int(outageLength/time.Second)))
	c.mem.SetFaults(memplatform.Faults{})
	fmt.Printf("platform calls in each second after it: %s\n", c.callsEachSecond(rushSeconds))
}

func (c *cluster) callsEachSecond(seconds int) string {
	var out []string
	for range seconds {
		time.Sleep(time.Second)
		calls, _ := c.calls.take()
		total := 0
		for _, n := range calls {
			total += n
		}
		out = append(out, fmt.Sprint(total))
	}
	return strings.Join(out, " ")
}

// callerRuns are the fleets that get callers. 16 VMs are more than a gateway has neighbours, and 240 requests a second give each gateway as
// many as 4,900 give each of 330.
var callerRuns = []struct {
	vms     int
	traffic []traffic
}{
	{4, []traffic{{0, 0}, {100, 16}, {400, 16}, {400, 64}}},
	{16, []traffic{{0, 0}, {240, 16}}},
}

// runCallers measures callers' traffic.
func runCallers(ctx context.Context, daemon string, o options) error {
	for _, run := range callerRuns {
		if err := callCluster(ctx, daemon, o, run.vms, run.traffic); err != nil {
			return err
		}
	}
	return nil
}

func callCluster(ctx context.Context, daemon string, o options, vms int, all []traffic) error {
	c, err := start(ctx, daemon, size{vms: vms, endpoints: 40, teams: 400})
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return err
	}
	time.Sleep(o.settle)
	for _, t := range all {
		calls, stop := context.WithCancel(ctx)
		var done, failed atomic.Int64
		label := fmt.Sprintf(", %d requests/s of %d tokens", t.rate, t.tokens)
		err := c.report(ctx, o.length, label, func() { c.call(calls, t, &done, &failed) })
		stop()
		if err != nil {
			return err
		}
		fmt.Printf("callers    %.0f answers/s, %d failed\n", float64(done.Load())/o.length.Seconds(), failed.Load())
		time.Sleep(time.Second)
	}
	return nil
}

// traffic is requests a second over all gateways, and output tokens of each.
type traffic struct{ rate, tokens int }

// call sends requests at an even rate until ctx ends.
func (c *cluster) call(ctx context.Context, t traffic, done, failed *atomic.Int64) {
	if t.rate == 0 {
		return
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(t.rate))
	defer ticker.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		wg.Go(func() {
			if c.request(ctx, client, i, t.tokens) {
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

func (c *cluster) request(ctx context.Context, client *http.Client, i, tokens int) bool {
	body := fmt.Sprintf(`{"model":"model-%d","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Summarise rope log %d"}]}`,
		1+i%pools, tokens, i)
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
	answer, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && strings.Contains(string(answer), "[DONE]")
}
