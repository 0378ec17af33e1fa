package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/fault"
	"crocusglade.example/crocusglade/internal/peer"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

const (
	// segments of direct calls and of calls through a gateway alternate, so that other load on the machine meets both.
	segments      = 3
	segmentLength = 5 * time.Second
	// slowDecode gives streams of 0.8 s, as long as an answer of a few words takes.
	slowDecode   = 20
	streamLength = answerTokens * time.Second / slowDecode
	fastDecode   = 1e5
	// idleDecode leaves 5 s between tokens, within the 10 s after which a gateway gives a stream up.
	idleDecode    = 0.2
	idleStreams   = 1000
	answerTokens  = 16
	startupRounds = 5
)

// runLatency measures what a gateway adds to a direct call, its requests per core, the memory of idle streams and the start-up time.
func runLatency(ctx context.Context, daemon string, o options) error {
	for _, run := range []func(context.Context, string) error{measureFirstByte, measureThroughput, measureStreams, measureStartup} {
		if err := run(ctx, daemon); err != nil {
			return err
		}
	}
	return nil
}

func withCluster(ctx context.Context, daemon string, decode float64, f func(c *cluster) error) error {
	c, err := start(ctx, daemon, size{vms: 4, endpoints: 40, teams: 400, decode: decode})
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return f(c)
}

func measureFirstByte(ctx context.Context, daemon string) error {
	return withCluster(ctx, daemon, slowDecode, func(c *cluster) error {
		fmt.Printf("\n## time to first byte, direct and through one gateway (machine load %s)\n", machineLoad())
		for _, inFlight := range []int{1, 50, 500} {
			var direct, through []time.Duration
			for range segments {
				d, err := c.loop(ctx, inFlight, c.direct)
				if err != nil {
					return err
				}
				g, err := c.loop(ctx, inFlight, c.throughGateway)
				if err != nil {
					return err
				}
				direct, through = append(direct, d...), append(through, g...)
			}
			fmt.Printf("%3d in flight: direct median %s p99 %s (%d calls), gateway median %s p99 %s (%d calls), added median %s p99 %s, machine load %s\n",
				inFlight, ms(quantile(direct, 0.5)), ms(quantile(direct, 0.99)), len(direct), ms(quantile(through, 0.5)), ms(quantile(through, 0.99)),
				len(through), ms(quantile(through, 0.5)-quantile(direct, 0.5)), ms(quantile(through, 0.99)-quantile(direct, 0.99)), machineLoad())
		}
		return nil
	})
}

func ms(d time.Duration) string { return fmt.Sprintf("%.2f ms", d.Seconds()*1000) }

func quantile(all []time.Duration, q float64) time.Duration {
	slices.Sort(all)
	return all[int(q*float64(len(all)-1))]
}

// target is a URL and a key; i numbers the call.
type target func(i int) (url, key, model string)

func (c *cluster) direct(i int) (string, string, string) {
	e := c.endpoints[i%len(c.endpoints)]
	return "http://" + e.Addr, "", e.Pool
}

func (c *cluster) throughGateway(i int) (string, string, string) {
	return "http://" + c.vms[0].GatewayAddr, c.keys[i%len(c.keys)], fmt.Sprintf("model-%d", 1+i%pools)
}

// loop keeps a number of calls in flight for one segment and returns their times to the first byte.
func (c *cluster) loop(ctx context.Context, inFlight int, to target) ([]time.Duration, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: inFlight}}
	defer client.CloseIdleConnections()
	end := time.Now().Add(segmentLength)
	var mu sync.Mutex
	var all []time.Duration
	var failure error
	var wg sync.WaitGroup
	for worker := range inFlight {
		wg.Go(func() {
			// Calls that begin together stay together, and would measure bursts.
			time.Sleep(streamLength * time.Duration(worker) / time.Duration(inFlight))
			for i := worker; time.Now().Before(end) && ctx.Err() == nil; i += inFlight {
				first, err := stream(ctx, client, to, i)
				mu.Lock()
				if err != nil {
					failure = err
				}
				all = append(all, first)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return all, failure
}

// stream runs one call and returns the time to the first byte of its body.
func stream(ctx context.Context, client *http.Client, to target, i int) (time.Duration, error) {
	url, key, model := to(i)
	body := fmt.Sprintf(`{"model":%q,"stream":true,"stream_options":{"include_usage":true},"max_tokens":%d,"messages":[{"role":"user","content":"Summarise rope log %d"}]}`,
		model, answerTokens, i)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Id", fmt.Sprintf("capacity-%d-%d", time.Now().UnixNano(), i))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	began := time.Now()
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	first := make([]byte, 1)
	if _, err := io.ReadFull(resp.Body, first); err != nil {
		return 0, errors.Wrapf(err, "status %d", resp.StatusCode)
	}
	took := time.Since(began)
	rest, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || !strings.Contains(string(rest), "[DONE]") {
		return 0, errors.Errorf("the answer with status %d is not whole: %.200s (%v)", resp.StatusCode, rest, err)
	}
	return took, nil
}

func measureThroughput(ctx context.Context, daemon string) error {
	return withCluster(ctx, daemon, fastDecode, func(c *cluster) error {
		fmt.Printf("\n## requests per core of one gateway, %d tokens each, 50 in flight (machine load %s)\n", answerTokens, machineLoad())
		for range segments {
			before, err := read(ctx, c.gateways[0], c.address(0, portGatewayMetrics))
			if err != nil {
				return err
			}
			began := time.Now()
			calls, err := c.loop(ctx, 50, c.throughGateway)
			if err != nil {
				return err
			}
			seconds := time.Since(began).Seconds()
			after, err := read(ctx, c.gateways[0], c.address(0, portGatewayMetrics))
			if err != nil {
				return err
			}
			cpu := after.cpu - before.cpu
			fmt.Printf("%.0f requests/s with %.2f cores: %.0f requests/s per core, %.2f ms of a core and %.0f objects allocated for each request\n",
				float64(len(calls))/seconds, cpu/seconds, float64(len(calls))/cpu, 1000*cpu/float64(len(calls)),
				(after.metrics["go_memstats_mallocs_total"]-before.metrics["go_memstats_mallocs_total"])/float64(len(calls)))
		}
		return nil
	})
}

func measureStreams(ctx context.Context, daemon string) error {
	return withCluster(ctx, daemon, idleDecode, func(c *cluster) error {
		before, err := read(ctx, c.gateways[0], c.address(0, portGatewayMetrics))
		if err != nil {
			return err
		}
		calls, stop := context.WithCancel(ctx)
		defer stop()
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleStreams}}
		defer client.CloseIdleConnections()
		var wg sync.WaitGroup
		for i := range idleStreams {
			wg.Go(func() { _, _ = stream(calls, client, c.throughGateway, i) })
		}
		time.Sleep(8 * time.Second)
		running, err := c.inFlight(ctx, 0)
		if err != nil {
			return err
		}
		after, err := read(ctx, c.gateways[0], c.address(0, portGatewayMetrics))
		stop()
		wg.Wait()
		if err != nil {
			return err
		}
		each := func(metric string) float64 {
			return (after.metrics[metric] - before.metrics[metric]) / idleStreams / 1000
		}
		fmt.Printf("\n## memory of %d idle streams at one gateway (machine load %s)\nresident %.1f kB, heap %.1f kB, stacks %.1f kB each\n",
			running, machineLoad(), (after.resident-before.resident)/idleStreams/1000,
			each("go_memstats_heap_inuse_bytes"), each("go_memstats_stack_inuse_bytes"))
		return nil
	})
}

// inFlight asks a gateway for its number of requests in progress.
func (c *cluster) inFlight(ctx context.Context, i int) (int, error) {
	clients := peer.NewClients(nil)
	defer clients.Close()
	client, err := clients.GatewayClient(c.vms[i])
	if err != nil {
		return 0, err
	}
	s, err := client.GetStatus(ctx, &peerpb.StatusRequest{})
	return int(s.GetInFlight()), err
}

// measureStartup kills and starts a gateway and a controller in turn.
func measureStartup(ctx context.Context, daemon string) error {
	return withCluster(ctx, daemon, fastDecode, func(c *cluster) error {
		fmt.Printf("\n## time from start to ready, 400 teams (machine load %s)\n", machineLoad())
		for role, port := range map[string]int{"gateway": portGatewayMetrics, "controller": portControllerMetrics} {
			var all []time.Duration
			for range startupRounds {
				processes := map[string][]*fault.Process{"gateway": c.gateways, "controller": c.control}[role]
				if err := processes[1].Kill(); err != nil {
					return err
				}
				began := time.Now()
				p, err := c.spawn(daemon, "restarted", c.arguments(role, 1))
				if err != nil {
					return err
				}
				processes[1] = p
				if err := awaitReady(ctx, c.address(1, port)); err != nil {
					return err
				}
				all = append(all, time.Since(began))
			}
			fmt.Printf("%s: median %s, slowest of %d %s\n", role, ms(quantile(all, 0.5)), len(all), ms(quantile(all, 1)))
		}
		return nil
	})
}
