package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/settings"
)

const (
	vmCount      = 4
	engineCount  = 4
	serviceCount = 3

	region = "riga-gulf"
	// stopTimeout limits the wait for a process to end after SIGTERM; then the process is killed.
	stopTimeout  = 20 * time.Second
	pollInterval = 100 * time.Millisecond
	// portsPerVM is the number of ports reserved for a VM, which uses six.
	portsPerVM = 10
)

var failureDomains = []string{"engure", "salacgriva", "roja"}

// childProcess is a process that localfleet has started.
type childProcess struct {
	name string
	cmd  *exec.Cmd
	// done is closed when the process has ended. err is the result of cmd.Wait and is set before.
	done chan struct{}
	err  error
}

// fleet is a deployment on loopback.
type fleet struct {
	settings   *settings.Localfleet
	binDir     string // of the programs
	workDir    string // for configuration and log files
	credential string // the bootstrap credential of administrators
	keySecret  string
	vms        []apitypes.VM
	engines    []apitypes.Endpoint
	services   []apitypes.Endpoint
	children   []*childProcess
}

// newFleet returns a fleet with assigned addresses that has not been started. The ports, relative to the base port, are 0 for the
// platform, from 1 on for endpoints and from 20 on for VMs.
func newFleet(s *settings.Localfleet, binDir, workDir string) *fleet {
	f := &fleet{settings: s, binDir: binDir, workDir: workDir, credential: rand.Text() + rand.Text(), keySecret: rand.Text() + rand.Text()}
	for i := range engineCount {
		f.engines = append(f.engines, f.endpoint("logreader", i, 1+i))
	}
	for i := range serviceCount {
		f.services = append(f.services, f.endpoint("quayside", i, 1+engineCount+i))
	}
	for i := range vmCount {
		f.vms = append(f.vms, apitypes.VM{Name: fmt.Sprintf("vm-%d", i+1), Region: region, FailureDomain: failureDomain(i), State: apitypes.VMLive,
			GatewayAddr: f.vmAddress(i, 0), GatewayPeerAddr: f.vmAddress(i, 1),
			ControllerAddr: f.vmAddress(i, 3), ControllerPeerAddr: f.vmAddress(i, 4)})
	}
	return f
}

// failureDomain returns the failure domain of the VM or endpoint with the index i.
func failureDomain(i int) string { return failureDomains[i%len(failureDomains)] }

// address returns the loopback address with a port relative to the base port.
func (f *fleet) address(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", f.settings.BasePort+port)
}

// vmAddress returns the loopback address with one of the ports of a VM: 0 gateway, 1 gateway peer, 2 gateway metrics, 3 controller, 4
// controller peer, 5 controller metrics.
func (f *fleet) vmAddress(vm, port int) string { return f.address(20 + vm*portsPerVM + port) }

// endpoint returns the endpoint with the index i of a pool.
func (f *fleet) endpoint(pool string, i, port int) apitypes.Endpoint {
	return apitypes.Endpoint{Name: fmt.Sprintf("%s-%d", pool, i+1), Addr: f.address(port), FailureDomain: failureDomain(i),
		Class: apitypes.OnDemand, State: apitypes.EndpointReady, ChecksFence: true}
}

// start starts all processes and waits until the gateways and controllers are ready.
func (f *fleet) start(ctx context.Context) error {
	if err := f.startStandins(); err != nil {
		return err
	}
	for i, vm := range f.vms {
		if err := f.startVM(i, vm); err != nil {
			return err
		}
	}
	startCtx, cancel := context.WithTimeout(ctx, f.settings.StartLimit)
	defer cancel()
	for i, vm := range f.vms {
		for role, port := range map[string]int{"controller": 5, "gateway": 2} {
			if err := f.awaitReady(startCtx, vm.Name+" "+role, f.vmAddress(i, port)); err != nil {
				return err
			}
		}
	}
	return nil
}

// startStandins starts the stand-in platform, engines and services.
func (f *fleet) startStandins() error {
	vms, err := f.writeJSON("vms.json", f.vms)
	if err != nil {
		return err
	}
	endpoints, err := f.writeJSON("endpoints.json", map[string][]apitypes.Endpoint{"logreader": f.engines, "quayside": f.services})
	if err != nil {
		return err
	}
	if err := f.spawn("platform", "standin", "platform", "--listen="+f.address(0), "--vms-file="+vms, "--endpoints-file="+endpoints); err != nil {
		return err
	}
	for _, e := range f.engines {
		if err := f.spawn(e.Name, "standin", "engine", "--listen="+e.Addr, "--name="+e.Name, "--model=logreader"); err != nil {
			return err
		}
	}
	for _, e := range f.services {
		if err := f.spawn(e.Name, "standin", "service", "--listen="+e.Addr, "--name="+e.Name); err != nil {
			return err
		}
	}
	return nil
}

// startVM starts the controller and the gateway of a VM.
func (f *fleet) startVM(i int, vm apitypes.VM) error {
	common := []string{"--vm-name=" + vm.Name, "--region=" + vm.Region, "--failure-domain=" + vm.FailureDomain,
		"--platform-url=http://" + f.address(0), "--log-level=" + f.settings.LogLevel, "--usage-window=10s"}
	controller := append([]string{"controller", "--admin-listen=" + vm.ControllerAddr, "--peer-listen=" + vm.ControllerPeerAddr,
		"--metrics-listen=" + f.vmAddress(i, 5)}, common...)
	if err := f.spawn(vm.Name+"-controller", "crocusgladed", controller...); err != nil {
		return err
	}
	gateway := append([]string{"gateway", "--listen=" + vm.GatewayAddr, "--peer-listen=" + vm.GatewayPeerAddr,
		"--metrics-listen=" + f.vmAddress(i, 2), "--entry-lifetime=1s", "--drain-limit=10s"}, common...)
	return f.spawn(vm.Name+"-gateway", "crocusgladed", gateway...)
}

// writeJSON writes v to a file in the work directory and returns its path.
func (f *fleet) writeJSON(name string, v any) (string, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return "", errors.Wrap(err, "encode "+name)
	}
	path := filepath.Join(f.workDir, name)
	return path, os.WriteFile(path, data, 0o600)
}

// spawn starts a program. Its output is written to a log file in the work directory.
func (f *fleet) spawn(name, program string, args ...string) error {
	log, err := os.Create(filepath.Join(f.workDir, name+".log"))
	if err != nil {
		return errors.Wrap(err, "create log file")
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(f.binDir, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "CROCUSGLADE_KEY_SECRET="+f.keySecret, "CROCUSGLADE_BOOTSTRAP_CREDENTIAL="+f.credential)
	// Children run in their own process groups, so that Ctrl-C does not reach them and they are stopped in order. Pdeathsig ends them when
	// localfleet is killed. It depends on the thread that started the child, which the Go runtime does not end.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGTERM}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s (run 'make build' first)", name)
	}
	c := &childProcess{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		c.err = cmd.Wait()
		close(c.done)
	}()
	f.children = append(f.children, c)
	fmt.Printf("started %s (pid %d)\n", name, cmd.Process.Pid)
	return nil
}

// awaitReady polls /readyz at an address until the response has status 200. It returns an error when ctx ends or any process has ended.
func (f *fleet) awaitReady(ctx context.Context, name, address string) error {
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				fmt.Printf("%s is ready\n", name)
				return nil
			}
		}
		if ended := f.endedChild(); ended != nil {
			return errors.Errorf("%s ended before the fleet was ready (%v); see its log", ended.name, ended.err)
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("%s was not ready before the start limit; see its log", name)
		case <-time.After(pollInterval):
		}
	}
}

// endedChild returns a process that has ended, or nil.
func (f *fleet) endedChild() *childProcess {
	for _, c := range f.children {
		select {
		case <-c.done:
			return c
		default:
		}
	}
	return nil
}

// wait blocks until ctx ends. It returns an error when a process ends before.
func (f *fleet) wait(ctx context.Context) error {
	for ctx.Err() == nil {
		if ended := f.endedChild(); ended != nil {
			return errors.Errorf("%s ended unexpectedly (%v); see its log", ended.name, ended.err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// stop ends the started processes: first the gateways and controllers together, then the stand-ins. Each receives SIGTERM and, after
// stopTimeout, SIGKILL.
func (f *fleet) stop() {
	standins := min(1+engineCount+serviceCount, len(f.children))
	stopAll(f.children[standins:])
	stopAll(f.children[:standins])
}

// stopAll ends processes and waits until all have ended.
func stopAll(children []*childProcess) {
	for _, c := range slices.Backward(children) {
		_ = c.cmd.Process.Signal(syscall.SIGTERM)
	}
	timeout := time.After(stopTimeout)
	for _, c := range children {
		select {
		case <-c.done:
		case <-timeout:
			fmt.Fprintf(os.Stderr, "%s did not end within %v, killing it\n", c.name, stopTimeout)
			_ = c.cmd.Process.Kill()
			<-c.done
			timeout = time.After(0)
		}
	}
}
