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
	// segments is the number of measurement segments. Segments of direct calls and of calls through a gateway alternate, so that other
	// load on the machine affects both.
	segments        = 3
	segmentDuration = 5 * time.Second
	// Decode rates are in output tokens per second of one request. slowDecodeRate makes a stream last 0.8 s, like a response of a few words.
	slowDecodeRate = 20
	streamDuration = outputTokens * time.Second / slowDecodeRate
	fastDecodeRate = 1e5
	// idleDecodeRate gives 5 s between tokens, below the 10 s without data after which a gateway gives up on a stream.
	idleDecodeRate = 0.2
	idleStreams    = 1000
	// outputTokens is the number of output tokens of each request.
	outputTokens = 16
	// startupRounds is the number of restarts measured for each role.
	startupRounds = 5
)

// runLatency measures the latency that a gateway adds to a direct call, its requests per core, the memory of idle streams and the startup
// time.
func runLatency(ctx context.Context, daemon string, o options) error {
	for _, run := range []func(context.Context, string) error{measureFirstByte, measureThroughput, measureStreams, measureStartup} {
		if err := run(ctx, daemon); err != nil {
			return err
		}
	}
	return nil
}

// withCluster runs f against a cluster of four VMs whose engines have the given decode rate.
func withCluster(ctx context.Context, daemon string, decodeRate float64, f func(c *cluster) error) error {
	c, err := startCluster(ctx, daemon, clusterSize{vms: 4, endpoints: 40, teams: 400, decodeRate: decodeRate})
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return f(c)
}

// measureFirstByte measures and prints the time to the first byte of direct calls and of calls through one gateway.
func measureFirstByte(ctx context.Context, daemon string) error {
	return withCluster(ctx, daemon, slowDecodeRate, func(c *cluster) error {
		fmt.Printf("\n## time to first byte, direct and through one gateway (machine load %s)\n", machineLoad())
		for _, inFlight := range []int{1, 50, 500} {
			var direct, through []time.Duration
			for range segments {
				d, err := c.runClosedLoop(ctx, inFlight, c.directTarget)
				if err != nil {
					return err
				}
				g, err := c.runClosedLoop(ctx, inFlight, c.gatewayTarget)
				if err != nil {
					return err
				}
				direct, through = append(direct, d...), append(through, g...)
			}
			fmt.Printf("%3d in flight: direct median %s p99 %s (%d calls), gateway median %s p99 %s (%d calls), added median %s p99 %s, machine load %s\n",
				inFlight, formatMS(quantile(direct, 0.5)), formatMS(quantile(direct, 0.99)), len(direct), formatMS(quantile(through, 0.5)), formatMS(quantile(through, 0.99)),
				len(through), formatMS(quantile(through, 0.5)-quantile(direct, 0.5)), formatMS(quantile(through, 0.99)-quantile(direct, 0.99)), machineLoad())
		}
		return nil
	})
}

// formatMS formats a duration in milliseconds.
func formatMS(d time.Duration) string { return fmt.Sprintf("%.2f ms", d.Seconds()*1000) }

// quantile returns a quantile of all, which it sorts.
func quantile(all []time.Duration, q float64) time.Duration {
	slices.Sort(all)
	return all[int(q*float64(len(all)-1))]
}

// target returns the base URL, the API key (empty for none) and the model of call i.
type target func(i int) (url, key, model string)

// directTarget is the target that sends calls to the engines directly, in rotation.
func (c *cluster) directTarget(i int) (string, string, string) {
	e := c.endpoints[i%len(c.endpoints)]
	return "http://" + e.Addr, "", e.Pool
}

// gatewayTarget is the target that sends all calls to the gateway of the first VM.
func (c *cluster) gatewayTarget(i int) (string, string, string) {
	return "http://" + c.vms[0].GatewayAddr, c.keys[i%len(c.keys)], fmt.Sprintf("model-%d", 1+i%poolCount)
}

// runClosedLoop keeps the given number of calls in flight for one segment and returns their times to the first byte.
func (c *cluster) runClosedLoop(ctx context.Context, inFlight int, to target) ([]time.Duration, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: inFlight}}
	defer client.CloseIdleConnections()
	end := time.Now().Add(segmentDuration)
	var mu sync.Mutex
	var latencies []time.Duration
	var lastErr error
	var wg sync.WaitGroup
	for worker := range inFlight {
		wg.Go(func() {
			// Stagger the workers: calls that start together stay synchronised, and the measurement would be one of bursts.
			time.Sleep(streamDuration * time.Duration(worker) / time.Duration(inFlight))
			for i := worker; time.Now().Before(end) && ctx.Err() == nil; i += inFlight {
				firstByte, err := streamRequest(ctx, client, to, i)
				mu.Lock()
				if err != nil {
					lastErr = err
				}
				latencies = append(latencies, firstByte)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return latencies, lastErr
}

// streamRequest sends one streaming request and returns the time to the first byte of the response body.
func streamRequest(ctx context.Context, client *http.Client, to target, i int) (time.Duration, error) {
	url, key, model := to(i)
	body := fmt.Sprintf(`{"model":%q,"stream":true,"stream_options":{"include_usage":true},"max_tokens":%d,"messages":[{"role":"user","content":"Summarise rope log %d"}]}`,
		model, outputTokens, i)
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
	latency := time.Since(began)
	rest, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || !strings.Contains(string(rest), "[DONE]") {
		return 0, errors.Errorf("response with status %d is incomplete: %.200s (%v)", resp.StatusCode, rest, err)
	}
	return latency, nil
}

// measureThroughput measures and prints the requests per second of one gateway per core that it uses.
func measureThroughput(ctx context.Context, daemon string) error {
	return withCluster(ctx, daemon, fastDecodeRate, func(c *cluster) error {
		fmt.Printf("\n## requests per core of one gateway, %d tokens each, 50 in flight (machine load %s)\n", outputTokens, machineLoad())
		for range segments {
			before, err := sampleProcess(ctx, c.gateways[0], c.address(0, portGatewayMetrics))
			if err != nil {
				return err
			}
			began := time.Now()
			calls, err := c.runClosedLoop(ctx, 50, c.gatewayTarget)
			if err != nil {
				return err
			}
			seconds := time.Since(began).Seconds()
			after, err := sampleProcess(ctx, c.gateways[0], c.address(0, portGatewayMetrics))
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

// measureStreams measures and prints the memory that idle streams use in one gateway.
func measureStreams(ctx context.Context, daemon string) error {
	return withCluster(ctx, daemon, idleDecodeRate, func(c *cluster) error {
		before, err := sampleProcess(ctx, c.gateways[0], c.address(0, portGatewayMetrics))
		if err != nil {
			return err
		}
		callCtx, stop := context.WithCancel(ctx)
		defer stop()
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleStreams}}
		defer client.CloseIdleConnections()
		var wg sync.WaitGroup
		for i := range idleStreams {
			wg.Go(func() { _, _ = streamRequest(callCtx, client, c.gatewayTarget, i) })
		}
		time.Sleep(8 * time.Second)
		running, err := c.inFlight(ctx, 0)
		if err != nil {
			return err
		}
		after, err := sampleProcess(ctx, c.gateways[0], c.address(0, portGatewayMetrics))
		stop()
		wg.Wait()
		if err != nil {
			return err
		}
		kBPerStream := func(metric string) float64 {
			return (after.metrics[metric] - before.metrics[metric]) / idleStreams / 1000
		}
		fmt.Printf("\n## memory of %d idle streams at one gateway (machine load %s)\nresident %.1f kB, heap %.1f kB, stacks %.1f kB each\n",
			running, machineLoad(), (after.resident-before.resident)/idleStreams/1000,
			kBPerStream("go_memstats_heap_inuse_bytes"), kBPerStream("go_memstats_stack_inuse_bytes"))
		return nil
	})
}

// inFlight returns the number of requests in progress at gateway i.
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

// measureStartup kills and restarts a gateway and a controller repeatedly and prints their times to readiness.
func measureStartup(ctx context.Context, daemon string) error {
	return withCluster(ctx, daemon, fastDecodeRate, func(c *cluster) error {
		fmt.Printf("\n## time from start to ready, 400 teams (machine load %s)\n", machineLoad())
		for role, port := range map[string]int{"gateway": portGatewayMetrics, "controller": portControllerMetrics} {
			var durations []time.Duration
			for range startupRounds {
				processes := map[string][]*fault.Process{"gateway": c.gateways, "controller": c.controllers}[role]
				if err := processes[1].Kill(); err != nil {
					return err
				}
				began := time.Now()
				p, err := c.startProcess(daemon, "restarted", c.arguments(role, 1))
				if err != nil {
					return err
				}
				processes[1] = p
				if err := waitReady(ctx, c.address(1, port)); err != nil {
					return err
				}
				durations = append(durations, time.Since(began))
			}
			fmt.Printf("%s: median %s, slowest of %d %s\n", role, formatMS(quantile(durations, 0.5)), len(durations), formatMS(quantile(durations, 1)))
		}
		return nil
	})
}
