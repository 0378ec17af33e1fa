package fault

import (
	"io"
	"os"
	"os/exec"
	"syscall"

	"github.com/go-faster/errors"
)

// Process is a child process that a test started and may freeze or kill. Only processes started here are ever signalled.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// StartProcess runs a program with arguments and extra environment variables ("NAME=value"); its output goes to out.
func StartProcess(out io.Writer, env []string, program string, args ...string) (*Process, error) {
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout = out
	cmd.Stderr = out
	// The child ends with its parent, so that an aborted test leaves nothing behind.
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

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// Suspend stops the process with SIGSTOP.
func (p *Process) Suspend() error { return p.signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Terminate asks the process to stop gracefully.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Reload tells the process that its settings have changed, with SIGHUP.
func (p *Process) Reload() error { return p.signal(syscall.SIGHUP) }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns the result of the process after Done is closed.
func (p *Process) Err() error { return p.err }

func (p *Process) signal(s syscall.Signal) error {
	select {
	case <-p.done:
		return nil
	default:
	}
	return p.cmd.Process.Signal(s)
}
