// Command capacity measures the CPU, memory and network use of gateways and controllers at several cluster sizes, for docs/CAPACITY.md
// (`make capacity`). It runs the real daemons as processes on loopback; the stand-in platform and the stand-in endpoints run in its own
// process. Each run is bounded in time, and the number of processes by the largest size.
package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// sizeGroups holds the cluster sizes measured for docs/CAPACITY.md. Each group varies one quantity.
var sizeGroups = map[string][]clusterSize{
	"vms":       {{vms: 4, endpoints: 40, teams: 8}, {vms: 16, endpoints: 40, teams: 8}, {vms: 40, endpoints: 40, teams: 8}, {vms: 80, endpoints: 40, teams: 8}},
	"busy":      {{vms: 4, endpoints: 40, teams: 8, busy: true}, {vms: 16, endpoints: 40, teams: 8, busy: true}, {vms: 40, endpoints: 40, teams: 8, busy: true}},
	"endpoints": {{vms: 16, endpoints: 20, teams: 8, busy: true}, {vms: 16, endpoints: 200, teams: 8, busy: true}, {vms: 16, endpoints: 600, teams: 8, busy: true}},
	"cache":     {{vms: 16, endpoints: 200, teams: 8, busy: true, cacheBlocks: 10}, {vms: 16, endpoints: 200, teams: 8, busy: true, cacheBlocks: 100}},
	// region approximates one of two regions of 165 VMs each; the number of VMs is limited by a machine with 32 GiB of memory.
	"region": {{vms: 40, endpoints: 300, teams: 3500, busy: true, cacheBlocks: 100}, {vms: 80, endpoints: 300, teams: 3500, busy: true, cacheBlocks: 100},
		{vms: 120, endpoints: 300, teams: 3500, busy: true, cacheBlocks: 100}},
	"teams": {{vms: 4, endpoints: 20, teams: 8}, {vms: 4, endpoints: 20, teams: 400}, {vms: 4, endpoints: 20, teams: 3500}},
}

// scenarioGroups holds the groups that run a scenario, such as an outage or a latency measurement, instead of a list of sizes.
var scenarioGroups = map[string]func(context.Context, string, options) error{"changes": runChanges, "callers": runCallers, "latency": runLatency,
	"firstbyte": func(ctx context.Context, daemon string, _ options) error { return measureFirstByte(ctx, daemon) },
	"streams":   func(ctx context.Context, daemon string, _ options) error { return measureStreams(ctx, daemon) }}

type options struct {
	// groups is a comma-separated list.
	groups string
	// settleTime is the wait between readiness and a measurement, duration the length of the measurement.
	settleTime, duration time.Duration
}

func main() {
	var o options
	flag.StringVar(&o.groups, "groups", "vms,busy,endpoints,cache,teams,region,changes,callers",
		"groups to run; changes includes an outage, and latency is for docs/performance.md")
	flag.DurationVar(&o.settleTime, "settle", 8*time.Second, "wait after readiness")
	flag.DurationVar(&o.duration, "length", 12*time.Second, "length of one measurement")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		stop()
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	dir, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	daemon := filepath.Join(dir, "crocusgladed")
	build := exec.CommandContext(ctx, "go", "build", "-o", daemon, "crocusglade.example/crocusglade/cmd/crocusgladed")
	if out, err := build.CombinedOutput(); err != nil {
		return errors.Wrapf(err, "build crocusgladed: %s", out)
	}
	for group := range strings.SplitSeq(o.groups, ",") {
		if scenario := scenarioGroups[group]; scenario != nil {
			if err := scenario(ctx, daemon, o); err != nil {
				return err
			}
			continue
		}
		if sizeGroups[group] == nil {
			return errors.Errorf("unknown group %q; use %s, changes, callers, latency, firstbyte or streams", group, strings.Join(slices.Sorted(maps.Keys(sizeGroups)), ", "))
		}
		for _, s := range sizeGroups[group] {
			if err := runSize(ctx, daemon, o, s); err != nil {
				return err
			}
		}
	}
	return nil
}

// runSize measures one cluster size.
func runSize(ctx context.Context, daemon string, o options, s clusterSize) error {
	c, err := startCluster(ctx, daemon, s)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return err
	}
	time.Sleep(o.settleTime)
	return c.report(ctx, o.duration, "", nil)
}

// report measures for the given duration, while during runs if it is not nil, and prints the results. label is appended to the heading.
func (c *cluster) report(ctx context.Context, duration time.Duration, label string, during func()) error {
	usages, calls, bytes, err := c.measure(ctx, duration, during)
	if err != nil {
		return err
	}
	fmt.Printf("\n## %s%s (ready after %.1f s, machine load %s)\n", c.size, label, c.startDuration.Seconds(), machineLoad())
	for _, u := range usages {
		fmt.Printf("%-10s cpu %.2f%% (max %.2f%%)  resident %.1f MB (max %.1f)  heap %.1f MB  control %.0f B/s (max %.0f)\n", u.role, 100*u.cpu,
			100*u.cpuMax, u.memory, u.memoryMax, u.heap, u.control, u.controlMax)
		fmt.Printf("           links: %s\n           messages: %s\n", sortedRates(u.links), sortedRates(u.methods))
	}
	total := 0
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(calls)) {
		total += calls[kind]
		parts = append(parts, fmt.Sprintf("%s %.1f (%.0f B/s)", kind, float64(calls[kind])/duration.Seconds(), float64(bytes[kind])/duration.Seconds()))
	}
	fmt.Printf("platform   %.1f calls/s: %s\n", float64(total)/duration.Seconds(), strings.Join(parts, ", "))
	return nil
}

// machineLoad returns the load average of the last minute.
func machineLoad() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Fields(string(data))[0]
}
