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

// ticksPerSecond is the unit of processor times in /proc, which Linux fixes at 100 for programs.
const ticksPerSecond = 100

// callCounter counts calls to the platform by kind, and their bytes.
type callCounter struct {
	mu    sync.Mutex
	calls map[string]int
	bytes map[string]int
}

func newCallCounter() *callCounter {
	return &callCounter{calls: make(map[string]int), bytes: make(map[string]int)}
}

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

// take returns and clears the counts.
func (c *callCounter) take() (calls, bytes map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls, bytes = c.calls, c.bytes
	c.calls, c.bytes = make(map[string]int), make(map[string]int)
	return calls, bytes
}

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

// Unwrap lets http.ResponseController reach the writer below.
func (w *countedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// reading is the state of one process at one moment.
type reading struct {
	cpu      float64 // seconds
	resident float64 // bytes
	metrics  map[string]float64
}

func read(ctx context.Context, p *fault.Process, metricsAddr string) (reading, error) {
	r := reading{metrics: make(map[string]float64)}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return r, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	for _, field := range fields[11:13] {
		ticks, _ := strconv.ParseFloat(field, 64)
		r.cpu += ticks / ticksPerSecond
	}
	pages, _ := strconv.ParseFloat(fields[21], 64)
	r.resident = pages * float64(os.Getpagesize())
	text, err := get(ctx, "http://"+metricsAddr+"/metrics")
	if err != nil {
		return r, errors.Wrapf(err, "read the metrics of %s", metricsAddr)
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		name, value, ok := cutLast(lines.Text())
		if ok && !strings.HasPrefix(name, "#") {
			r.metrics[name], _ = strconv.ParseFloat(value, 64)
		}
	}
	return r, nil
}

func cutLast(line string) (name, value string, ok bool) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 {
		return "", "", false
	}
	return line[:i], line[i+1:], true
}

// use is what the processes of one role used, as means over the VMs and maxima.
type use struct {
	role               string
	cpu, cpuMax        float64 // share of a core
	memory, memoryMax  float64 // MB, resident
	heap               float64 // MB in use
	control, controlMx float64 // bytes a second, both directions
	// links and methods hold mean bytes a second by link and direction, or by method and direction.
	links, methods map[string]float64
}

// measure reads all processes twice and returns the use in between.
func (c *cluster) measure(ctx context.Context, length time.Duration, during func()) ([]use, map[string]int, map[string]int, error) {
	before, err := c.readAll(ctx)
	if err != nil {
		return nil, nil, nil, err
	}
	c.calls.take()
	began := time.Now()
	if during != nil {
		go during()
	}
	time.Sleep(length)
	calls, bytes := c.calls.take()
	after, err := c.readAll(ctx)
	seconds := time.Since(began).Seconds()
	if err != nil {
		return nil, nil, nil, err
	}
	n := len(c.vms)
	return []use{compare("gateway", before[:n], after[:n], seconds), compare("controller", before[n:], after[n:], seconds)}, calls, bytes, nil
}

func (c *cluster) readAll(ctx context.Context) ([]reading, error) {
	out := make([]reading, 2*len(c.vms))
	for i := range c.vms {
		var err error
		if out[i], err = read(ctx, c.gateways[i], c.address(i, portGatewayMetrics)); err != nil {
			return nil, err
		}
		if out[len(c.vms)+i], err = read(ctx, c.control[i], c.address(i, portControllerMetrics)); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func compare(role string, before, after []reading, seconds float64) use {
	u := use{role: role, links: make(map[string]float64), methods: make(map[string]float64)}
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
		u.controlMx = max(u.controlMx, control)
	}
	return u
}

// shortLabels turns the labels of a metric into a short text.
func shortLabels(name string) string {
	_, text, _ := strings.Cut(name, "{")
	values := make(map[string]string)
	for pair := range strings.SplitSeq(strings.TrimSuffix(text, "}"), ",") {
		label, value, _ := strings.Cut(pair, "=")
		value = strings.Trim(value, `"`)
		values[label] = value[strings.LastIndexByte(value, '.')+1:]
	}
	what := values["link"] + values["method"]
	return what + " " + values["direction"]
}

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
