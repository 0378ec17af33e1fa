package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/fault"
)

// ticksPerSecond is the number of clock ticks per second in the CPU times of /proc; Linux fixes it at 100 for user space.
const ticksPerSecond = 100

// callCounter counts the calls to the platform and their response bytes, by kind of call.
type callCounter struct {
	mu    sync.Mutex
	calls map[string]int
	bytes map[string]int
}

func newCallCounter() *callCounter {
	return &callCounter{calls: make(map[string]int), bytes: make(map[string]int)}
}

// wrap returns a handler that counts the calls to next.
func (c *callCounter) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
		kind := r.Method + " " + strings.Join(parts[:min(2, len(parts))], "/")
		if len(parts) == 2 && parts[0] == "objects" {
			kind = "LIST " + parts[1]
		}
		c.add(kind, 1, 0)
		next.ServeHTTP(&countedWriter{ResponseWriter: w, counter: c, kind: kind}, r)
	})
}

func (c *callCounter) add(kind string, calls, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[kind] += calls
	c.bytes[kind] += bytes
}

// reset returns the counts and sets them to zero.
func (c *callCounter) reset() (calls, bytes map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls, bytes = c.calls, c.bytes
	c.calls, c.bytes = make(map[string]int), make(map[string]int)
	return calls, bytes
}

// countedWriter counts the bytes of one response.
type countedWriter struct {
	http.ResponseWriter
	counter *callCounter
	kind    string
}

// Write implements http.ResponseWriter.
func (w *countedWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.counter.add(w.kind, 0, n)
	return n, err
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *countedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// processSample is the resource use and the metrics of one process at one moment.
type processSample struct {
	cpu      float64 // CPU seconds since the start of the process
	resident float64 // resident memory in bytes
	metrics  map[string]float64
}

// sampleProcess reads /proc and the metrics of a process.
func sampleProcess(ctx context.Context, p *fault.Process, metricsAddr string) (processSample, error) {
	sample := processSample{metrics: make(map[string]float64)}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return sample, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	for _, field := range fields[11:13] {
		ticks, _ := strconv.ParseFloat(field, 64)
		sample.cpu += ticks / ticksPerSecond
	}
	pages, _ := strconv.ParseFloat(fields[21], 64)
	sample.resident = pages * float64(os.Getpagesize())
	text, err := httpGet(ctx, "http://"+metricsAddr+"/metrics")
	if err != nil {
		return sample, errors.Wrapf(err, "read the metrics of %s", metricsAddr)
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		name, value, ok := splitMetricLine(lines.Text())
		if ok && !strings.HasPrefix(name, "#") {
			sample.metrics[name], _ = strconv.ParseFloat(value, 64)
		}
	}
	return sample, nil
}

// splitMetricLine splits a line of the metrics text format at its last space.
func splitMetricLine(line string) (name, value string, ok bool) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 {
		return "", "", false
	}
	return line[:i], line[i+1:], true
}

// roleUsage is the resource use of the processes of one role: means over the VMs, and maxima in the fields that end in Max.
type roleUsage struct {
	role                string
	cpu, cpuMax         float64 // cores
	memory, memoryMax   float64 // resident memory in MB
	heap                float64 // heap in use in MB
	control, controlMax float64 // control traffic in bytes per second, both directions
	// links and methods hold mean bytes per second, by link and direction and by method and direction.
	links, methods map[string]float64
}

// measure samples all processes before and after the given duration and returns the use in between, and the number and the response bytes
// of platform calls by kind. during, unless nil, is started in between and not waited for.
func (c *cluster) measure(ctx context.Context, duration time.Duration, during func()) ([]roleUsage, map[string]int, map[string]int, error) {
	before, err := c.sampleAll(ctx)
	if err != nil {
		return nil, nil, nil, err
	}
	c.calls.reset()
	began := time.Now()
	if during != nil {
		go during()
	}
	time.Sleep(duration)
	calls, bytes := c.calls.reset()
	after, err := c.sampleAll(ctx)
	seconds := time.Since(began).Seconds()
	if err != nil {
		return nil, nil, nil, err
	}
	n := len(c.vms)
	return []roleUsage{usageBetween("gateway", before[:n], after[:n], seconds), usageBetween("controller", before[n:], after[n:], seconds)}, calls, bytes, nil
}

// sampleAll samples all processes: the gateways, then the controllers, each in order of VMs.
func (c *cluster) sampleAll(ctx context.Context) ([]processSample, error) {
	out := make([]processSample, 2*len(c.vms))
	for i := range c.vms {
		var err error
		if out[i], err = sampleProcess(ctx, c.gateways[i], c.address(i, portGatewayMetrics)); err != nil {
			return nil, err
		}
		if out[len(c.vms)+i], err = sampleProcess(ctx, c.controllers[i], c.address(i, portControllerMetrics)); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// usageBetween returns the usage of a role from samples of its processes that were taken the given number of seconds apart.
func usageBetween(role string, before, after []processSample, seconds float64) roleUsage {
	u := roleUsage{role: role, links: make(map[string]float64), methods: make(map[string]float64)}
	n := float64(len(before))
	for i := range before {
		cpu := (after[i].cpu - before[i].cpu) / seconds
		u.cpu += cpu / n
		u.cpuMax = max(u.cpuMax, cpu)
		u.memory += after[i].resident / 1e6 / n
		u.memoryMax = max(u.memoryMax, after[i].resident/1e6)
		u.heap += after[i].metrics["go_memstats_heap_inuse_bytes"] / 1e6 / n
		control := 0.0
		for name, value := range after[i].metrics {
			rate := (value - before[i].metrics[name]) / seconds
			switch {
			case strings.HasPrefix(name, "crocusglade_link_bytes_total"):
				u.links[shortLabels(name)] += rate / n
				control += rate
			case strings.HasPrefix(name, "crocusglade_message_bytes_total"):
				u.methods[shortLabels(name)] += rate / n
			}
		}
		u.control += control / n
		u.controlMax = max(u.controlMax, control)
	}
	return u
}

// shortLabels returns the link or method and the direction from the labels of a metric; a method loses its service prefix.
func shortLabels(name string) string {
	_, text, _ := strings.Cut(name, "{")
	values := make(map[string]string)
	for pair := range strings.SplitSeq(strings.TrimSuffix(text, "}"), ",") {
		label, value, _ := strings.Cut(pair, "=")
		value = strings.Trim(value, `"`)
		values[label] = value[strings.LastIndexByte(value, '.')+1:]
	}
	linkOrMethod := values["link"] + values["method"]
	return linkOrMethod + " " + values["direction"]
}

// sortedRates lists the rates of at least 1 byte per second, highest first.
func sortedRates(rates map[string]float64) string {
	var names []string
	for name, rate := range rates {
		if rate >= 1 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return int(rates[b] - rates[a]) })
	var parts []string
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %.0f", name, rates[name]))
	}
	return strings.Join(parts, ", ")
}
