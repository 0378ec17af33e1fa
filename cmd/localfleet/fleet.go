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
	// stopLimit bounds the wait for a process after SIGTERM; then it is killed.
	stopLimit = 20 * time.Second
	pollEvery = 100 * time.Millisecond
	// portsPerVM leaves room for the six addresses of a VM.
	portsPerVM = 10
)

var failureDomains = []string{"engure", "salacgriva", "roja"}

// child is one started process.
type child struct {
	name string
	cmd  *exec.Cmd
	// done is closed when the process has ended; err is its result.
	done chan struct{}
	err  error
}

// fleet is a running deployment on loopback.
type fleet struct {
	settings   *settings.Localfleet
	programs   string
	work       string
	credential string
	secret     string
	vms        []apitypes.VM
	engines    []apitypes.Endpoint
	services   []apitypes.Endpoint
	children   []*child
}

// newFleet lays out addresses. Ports from the base: 0 platform, 1.. endpoints, 20.. VMs.
func newFleet(s *settings.Localfleet, programs, work string) *fleet {
	f := &fleet{settings: s, programs: programs, work: work, credential: rand.Text() + rand.Text(), secret: rand.Text() + rand.Text()}
	for i := range engineCount {
		f.engines = append(f.engines, f.endpoint("logreader", i, 1+i))
	}
	for i := range serviceCount {
		f.services = append(f.services, f.endpoint("quayside", i, 1+engineCount+i))
	}
	for i := range vmCount {
		f.vms = append(f.vms, apitypes.VM{Name: fmt.Sprintf("vm-%d", i+1), Region: region, FailureDomain: domain(i), State: apitypes.VMLive,
			GatewayAddr: f.vmAddress(i, 0), GatewayPeerAddr: f.vmAddress(i, 1),
			ControllerAddr: f.vmAddress(i, 3), ControllerPeerAddr: f.vmAddress(i, 4)})
	}
	return f
}

func domain(i int) string { return failureDomains[i%len(failureDomains)] }

func (f *fleet) address(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", f.settings.BasePort+port)
}

func (f *fleet) vmAddress(vm, port int) string { return f.address(20 + vm*portsPerVM + port) }

func (f *fleet) endpoint(pool string, i, port int) apitypes.Endpoint {
	return apitypes.Endpoint{Name: fmt.Sprintf("%s-%d", pool, i+1), Addr: f.address(port), FailureDomain: domain(i),
		Class: apitypes.OnDemand, State: apitypes.EndpointReady, ChecksFence: true}
}

// start starts all processes and waits until the daemons are ready.
func (f *fleet) start(ctx context.Context) error {
	if err := f.startStandins(); err != nil {
		return err
	}
	for i, vm := range f.vms {
		if err := f.startVM(i, vm); err != nil {
			return err
		}
	}
	limited, cancel := context.WithTimeout(ctx, f.settings.StartLimit)
	defer cancel()
	for i, vm := range f.vms {
		for role, port := range map[string]int{"controller": 5, "gateway": 2} {
			if err := f.awaitReady(limited, vm.Name+" "+role, f.vmAddress(i, port)); err != nil {
				return err
			}
		}
	}
	return nil
}

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

func (f *fleet) writeJSON(name string, v any) (string, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return "", errors.Wrap(err, "encode "+name)
	}
	path := filepath.Join(f.work, name)
	return path, os.WriteFile(path, data, 0o600)
}

// spawn starts a program of the fleet's directory. Its output goes to a file of the work directory.
func (f *fleet) spawn(name, program string, args ...string) error {
	log, err := os.Create(filepath.Join(f.work, name+".log"))
	if err != nil {
		return errors.Wrap(err, "make a log file")
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(f.programs, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "CROCUSGLADE_KEY_SECRET="+f.secret, "CROCUSGLADE_BOOTSTRAP_CREDENTIAL="+f.credential)
	// An own process group keeps Ctrl-C from the children, so that they are stopped in order. The signal on the parent's
	// death ends them when localfleet is killed; it is bound to the starting thread, which the Go runtime keeps.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGTERM}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s (run 'make build' first)", name)
	}
	c := &child{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		c.err = cmd.Wait()
		close(c.done)
	}()
	f.children = append(f.children, c)
	fmt.Printf("started %s (process %d)\n", name, cmd.Process.Pid)
	return nil
}

// awaitReady polls /readyz until it answers 200.
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
		if ended := f.ended(); ended != nil {
			return errors.Errorf("%s ended early (%v); see its log", ended.name, ended.err)
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("%s was not ready in time; see its log", name)
		case <-time.After(pollEvery):
		}
	}
}

// ended returns a process that has ended, or nil.
func (f *fleet) ended() *child {
	for _, c := range f.children {
		select {
		case <-c.done:
			return c
		default:
		}
	}
	return nil
}

// wait returns when ctx ends, or with an error when a process ends before.
func (f *fleet) wait(ctx context.Context) error {
	for ctx.Err() == nil {
		if ended := f.ended(); ended != nil {
			return errors.Errorf("%s ended (%v); see its log", ended.name, ended.err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollEvery):
		}
	}
	return nil
}

// stop ends the started processes: daemons together, then the stand-ins. Each gets SIGTERM and, after stopLimit, SIGKILL.
func (f *fleet) stop() {
	standins := min(1+engineCount+serviceCount, len(f.children))
	stopAll(f.children[standins:])
	stopAll(f.children[:standins])
}

func stopAll(children []*child) {
	for _, c := range slices.Backward(children) {
		_ = c.cmd.Process.Signal(syscall.SIGTERM)
	}
	limit := time.After(stopLimit)
	for _, c := range children {
		select {
		case <-c.done:
		case <-limit:
			fmt.Fprintf(os.Stderr, "%s did not end within %v and is killed\n", c.name, stopLimit)
			_ = c.cmd.Process.Kill()
			<-c.done
			limit = time.After(0)
		}
	}
}
