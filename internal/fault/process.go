package fault

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"

	"github.com/go-faster/errors"
)

// Process is a child process that a test can suspend, resume, terminate and kill. Signals go only to processes that StartProcess
// started.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// StartProcess starts a program with arguments and additional environment variables ("NAME=value"). Its standard output and
// standard error go to out.
func StartProcess(out io.Writer, env []string, program string, args ...string) (*Process, error) {
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout = out
	cmd.Stderr = out
	// The kernel kills the child when its parent dies, so that an aborted test leaves no processes running.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", program)
	}
	p := &Process{cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Kill kills the process with SIGKILL and waits until it has exited.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// Suspend suspends the process with SIGSTOP.
func (p *Process) Suspend() error { return p.signal(syscall.SIGSTOP) }

// Resume resumes a suspended process with SIGCONT.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Terminate requests a graceful stop with SIGTERM.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Reload makes the process reload its settings, with SIGHUP.
func (p *Process) Reload() error { return p.signal(syscall.SIGHUP) }

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns the exit error of the process, nil for exit code 0. It may be called only after Done is closed.
func (p *Process) Err() error { return p.err }

// signal sends a signal, unless the process has exited.
func (p *Process) signal(s syscall.Signal) error {
	select {
	case <-p.done:
		return nil
	default:
	}
	return p.cmd.Process.Signal(s)
}

// PeakMemory returns the largest resident memory that the process has used, in MiB.
func (p *Process) PeakMemory() (float64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid()))
	if err != nil {
		return 0, errors.Wrap(err, "read memory of a process, which may have ended")
	}
	_, value, _ := strings.Cut(string(status), "VmHWM:")
	var kib float64
	if _, err := fmt.Sscan(value, &kib); err != nil {
		return 0, errors.Wrap(err, "decode peak memory")
	}
	return kib / 1024, nil
}

// Descriptors returns the number of open file descriptors of the process.
func (p *Process) Descriptors() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid()))
	if err != nil {
		return 0, errors.Wrap(err, "read descriptors of a process, which may have ended")
	}
	return len(entries), nil
}
