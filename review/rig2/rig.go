// Command rig2 runs the cases of the second review that are no days of the bench: nodes as processes, with stand-ins for the platform, the
// servers and the clients in this process. Its first argument names the case. It exits with 1 if the rule was broken, 0 if it held and 2
// if the case couldn't run.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"crocusglade.example/crocusglade/platform/standin"
)

const (
	host  = "rig.example"
	model = "m"
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		cantRun("create the record: %v", err)
	}
	return &record{file: f, start: time.Now()}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// cantRun ends the program because the case can't be run.
func cantRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "can't run: "+format+"\n", args...)
	os.Exit(2)
}

// machine is one node process.
type machine struct {
	number   int
	ip       string
	settings string
	cmd      *exec.Cmd
	done     chan struct{}
	// pid is the id of the running or last process.
	pid atomic.Int64
}

// limits are the limits of a machine in its settings.
type limits struct{ memoryMB, descriptors int }

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec     *record
	dir     string
	program string
	store   *standin.Store
	cloud   *standin.Cloud
	// ports are those for clients, readiness, the directory, other machines, control and metrics.
	ports    [6]int
	machines []*machine
	limits   limits
}

func newDeployment(rec *record, l limits) *deployment {
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		cantRun("temporary folder: %v", err)
	}
	d := &deployment{rec: rec, dir: dir, program: program(), limits: l}
	if d.store, err = standin.NewStore(); err != nil {
		cantRun("store: %v", err)
	}
	if d.cloud, err = standin.NewCloud(); err != nil {
		cantRun("cloud API: %v", err)
	}
	for i := range d.ports {
		if d.ports[i], err = standin.FreePort(); err != nil {
			cantRun("port: %v", err)
		}
	}
	return d
}

// program returns the path of the program that the deploy file builds.
func program() string {
	for _, p := range []string{"target/crocusgladed", "bin/crocusgladed"} {
		if _, err := os.Stat(p); err == nil {
			return p
		}
	}
	cantRun("target/crocusgladed is missing; run the build of the deploy file")
	return ""
}

// route is a route of the configuration.
func route(name, kind, service string, attempts, timeoutMS int, extra map[string]any) map[string]any {
	r := map[string]any{"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": kind, "service": service, "attempts": attempts,
		"timeout_ms": timeoutMS, "target_latency_ms": 300, "priority": 1}
	for k, v := range extra {
		r[k] = v
	}
	return r
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "connection_limit": 2000, "health_path": "/health"}
}

// configure writes a version of the configuration.
func (d *deployment) configure(version int, routes, services []any, tenants map[string][]string) {
	var list []any
	for name, keys := range tenants {
		list = append(list, map[string]any{"name": name, "api_keys": keys})
	}
	raw, err := json.Marshal(map[string]any{"version": version, "routes": routes, "services": services, "tenants": list,
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	if err != nil {
		cantRun("configuration: %v", err)
	}
	d.store.SetRaw("config", "main", raw)
	d.rec.add("config   version %d acknowledged, %d bytes", version, len(raw))
}

// list writes the entry of a server.
func (d *deployment) list(id, service, stage, address, state string, slots int, born int64) {
	entry := map[string]any{"service": service, "address": address, "zone": "z1", "version": "v1", "slots": slots, "state": state,
		"cold_remaining_ms": 0, "sequence": 1, "born": born}
	if stage != "" {
		entry["stage"] = stage
		entry["models"] = []any{map[string]any{"name": model, "version": 1, "adapters": []any{}}}
	}
	d.store.Set("servers", id, entry)
	d.rec.add("server   %s (%s%s) at %s is listed as %s", id, service, stage, address, state)
}

// start starts a number of machines.
func (d *deployment) start(n int, storeAddress func(number int) string) {
	for i := 1; i <= n; i++ {
		m := &machine{number: i, ip: fmt.Sprintf("127.0.0.%d", i+1), settings: filepath.Join(d.dir, fmt.Sprintf("node-%d.json", i))}
		address := func(port int) string { return fmt.Sprintf("%s:%d", m.ip, d.ports[port]) }
		store := d.store.Address()
		if storeAddress != nil {
			store = storeAddress(i)
		}
		data, err := json.Marshal(map[string]any{"node_name": fmt.Sprintf("front-z1-%d", i), "role": "node", "machine_class": "front",
			"serves": []string{"front", "directory", "control"}, "zone": "z1", "region": "r", "ip": m.ip, "zones": map[string]string{"z1": "r"},
			"listen":         map[string]string{"front": address(0), "ready": address(1), "directory": address(2), "control": address(4)},
			"internal_ports": []int{d.ports[3], d.ports[3]}, "seeds": []string{}, "bootstrap": true, "heartbeat_ms": 1200,
			"limits":    map[string]any{"cpu_share": 0.8, "cores": 1, "memory_mb": d.limits.memoryMB, "file_descriptors": d.limits.descriptors, "link_mbps": 2000, "disk_mb": 0},
			"platform":  map[string]any{"address": store, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576},
			"cloud_api": map[string]any{"address": d.cloud.Address(), "rate_per_s": 50, "duties": []string{"usage_report", "autoscale"}, "duty_per_s": 50},
			"bounds": map[string]any{"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000,
				"revoke_ms": 5000, "strict_revocation": true, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 54,
				"require_fencing": false, "lease_ms": 3000, "usage_window_s": 5, "usage_late_s": 10, "ttl_max_s": 5}})
		if err != nil {
			cantRun("settings: %v", err)
		}
		if err := os.WriteFile(m.settings, data, 0o600); err != nil {
			cantRun("settings: %v", err)
		}
		d.machines = append(d.machines, m)
		d.startMachine(m)
	}
}

// startMachine starts the process of a machine.
func (d *deployment) startMachine(m *machine) {
	log, err := os.OpenFile(filepath.Join(d.dir, fmt.Sprintf("node-%d.log", m.number)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		cantRun("log: %v", err)
	}
	m.cmd = exec.Command(d.program, "node", "--metrics-port", strconv.Itoa(d.ports[5]))
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CROCUSGLADE_CONFIG=" + m.settings}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		cantRun("start machine %d: %v", m.number, err)
	}
	m.done = make(chan struct{})
	m.pid.Store(int64(m.cmd.Process.Pid))
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait() // the exit status doesn't matter
		_ = log.Close()
		close(done)
	}(m.cmd, m.done)
	d.rec.add("machine  %d started, process %d", m.number, m.cmd.Process.Pid)
}

// front returns the address of a machine for clients.
func (d *deployment) front(number int) string {
	return fmt.Sprintf("%s:%d", d.machines[number-1].ip, d.ports[0])
}

// awaitReady waits until all machines answer that they are ready.
func (d *deployment) awaitReady() {
	for _, m := range d.machines {
		deadline := time.Now().Add(15 * time.Second)
		for !isReady(fmt.Sprintf("%s:%d", m.ip, d.ports[1])) {
			if time.Now().After(deadline) {
				d.close()
				cantRun("machine %d isn't ready after 15 s", m.number)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.rec.add("all machines are ready")
}

func isReady(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	line := make([]byte, len("HTTP/1.1 200"))
	_, err = conn.Read(line)
	return err == nil && strings.HasSuffix(string(line), " 200")
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	for _, m := range d.machines {
		_ = m.cmd.Process.Kill() // it may have ended
		<-m.done
	}
	d.store.Close()
	d.cloud.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs in", d.dir)
	}
}

// trouble reports whether the disruption is to take place.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }
