// Command capacity measures what gateways and controllers use at several sizes, for docs/CAPACITY.md (`make capacity`). It runs the real
// daemons on loopback against a stand-in platform and stand-in endpoints in its own process. Every run is bounded in time, and the
// number of processes by the largest size.
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

// pageSizes are the sizes behind docs/CAPACITY.md: each group changes one quantity.
var pageSizes = map[string][]size{
	"vms":       {{vms: 4, endpoints: 40, teams: 8}, {vms: 16, endpoints: 40, teams: 8}, {vms: 40, endpoints: 40, teams: 8}, {vms: 80, endpoints: 40, teams: 8}},
	"busy":      {{vms: 4, endpoints: 40, teams: 8, busy: true}, {vms: 16, endpoints: 40, teams: 8, busy: true}, {vms: 40, endpoints: 40, teams: 8, busy: true}},
	"endpoints": {{vms: 16, endpoints: 20, teams: 8, busy: true}, {vms: 16, endpoints: 200, teams: 8, busy: true}, {vms: 16, endpoints: 600, teams: 8, busy: true}},
	"cache":     {{vms: 16, endpoints: 200, teams: 8, busy: true, cacheBlocks: 10}, {vms: 16, endpoints: 200, teams: 8, busy: true, cacheBlocks: 100}},
	// region comes near to one of two regions of 165 VMs, in processes as far as a machine of 32 GiB allows.
	"region": {{vms: 40, endpoints: 300, teams: 3500, busy: true, cacheBlocks: 100}, {vms: 80, endpoints: 300, teams: 3500, busy: true, cacheBlocks: 100},
		{vms: 120, endpoints: 300, teams: 3500, busy: true, cacheBlocks: 100}},
	"teams": {{vms: 4, endpoints: 20, teams: 8}, {vms: 4, endpoints: 20, teams: 400}, {vms: 4, endpoints: 20, teams: 3500}},
}

// extraGroups measure more than the use of one size.
var extraGroups = map[string]func(context.Context, string, options) error{"changes": runChanges, "callers": runCallers, "latency": runLatency,
	"firstbyte": func(ctx context.Context, daemon string, _ options) error { return measureFirstByte(ctx, daemon) },
	"streams":   func(ctx context.Context, daemon string, _ options) error { return measureStreams(ctx, daemon) }}

type options struct {
	groups         string
	settle, length time.Duration
}

func main() {
	var o options
	flag.StringVar(&o.groups, "groups", "vms,busy,endpoints,cache,teams,region,changes,callers",
		"groups to run; changes includes an outage, and latency is for docs/performance.md")
	flag.DurationVar(&o.settle, "settle", 8*time.Second, "wait after readiness")
	flag.DurationVar(&o.length, "length", 12*time.Second, "length of one measurement")
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
		return errors.Wrapf(err, "build the daemon: %s", out)
	}
	for group := range strings.SplitSeq(o.groups, ",") {
		if run := extraGroups[group]; run != nil {
			if err := run(ctx, daemon, o); err != nil {
				return err
			}
			continue
		}
		if pageSizes[group] == nil {
			return errors.Errorf("group %q is not known; use some of %s, changes, callers, latency, firstbyte, streams", group, strings.Join(slices.Sorted(maps.Keys(pageSizes)), ", "))
		}
		for _, s := range pageSizes[group] {
			if err := runSize(ctx, daemon, o, s); err != nil {
				return err
			}
		}
	}
	return nil
}

func runSize(ctx context.Context, daemon string, o options, s size) error {
	c, err := start(ctx, daemon, s)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return err
	}
	time.Sleep(o.settle)
	return c.report(ctx, o.length, "", nil)
}

// report measures and prints one block.
func (c *cluster) report(ctx context.Context, length time.Duration, label string, during func()) error {
	uses, calls, bytes, err := c.measure(ctx, length, during)
	if err != nil {
		return err
	}
	fmt.Printf("\n## %s%s (ready after %.1f s, machine load %s)\n", c.size, label, c.startTime.Seconds(), machineLoad())
	for _, u := range uses {
		fmt.Printf("%-10s cpu %.2f%% (max %.2f%%)  resident %.1f MB (max %.1f)  heap %.1f MB  control %.0f B/s (max %.0f)\n", u.role, 100*u.cpu,
			100*u.cpuMax, u.memory, u.memoryMax, u.heap, u.control, u.controlMx)
		fmt.Printf("           links: %s\n           messages: %s\n", sortedRates(u.links), sortedRates(u.methods))
	}
	total := 0
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(calls)) {
		total += calls[kind]
		parts = append(parts, fmt.Sprintf("%s %.1f (%.0f B/s)", kind, float64(calls[kind])/length.Seconds(), float64(bytes[kind])/length.Seconds()))
	}
	fmt.Printf("platform   %.1f calls/s: %s\n", float64(total)/length.Seconds(), strings.Join(parts, ", "))
	return nil
}

func machineLoad() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Fields(string(data))[0]
}
