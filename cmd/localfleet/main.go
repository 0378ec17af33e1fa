// Command localfleet runs a demo deployment on loopback for developers. It starts a stand-in platform, stand-in engines and services,
// four gateways and four controllers as separate processes, applies a sample configuration and sends sample requests. It is not part of
// releases.
package main

import "C"

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/settings"
)

// exitFailed is the exit code when a process could not be started or an answer was incomplete.
const exitFailed = 1

func main() {
	s, err := settings.LoadLocalfleet(os.Args[1:], os.Stdout)
	if err != nil {
		os.Exit(settings.ReportLoadError(os.Stderr, err))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err = run(ctx, s)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "localfleet:", err)
		os.Exit(exitFailed)
	}
}

func run(ctx context.Context, s *settings.Localfleet) (err error) {
	executable, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the directory of the executables")
	}
	workDir, err := os.MkdirTemp("", "localfleet-")
	if err != nil {
		return errors.Wrap(err, "create the work directory")
	}
	f := newFleet(s, filepath.Dir(executable), workDir)
	defer func() {
		f.stop()
		if err == nil {
			_ = os.RemoveAll(workDir)
		} else {
			fmt.Fprintf(os.Stderr, "the logs of the processes are in %s\n", workDir)
		}
	}()
	if err := f.start(ctx); err != nil {
		return err
	}
	key, err := f.configure(ctx)
	if err != nil {
		return err
	}
	failed := f.sendSamples(ctx, key)
	if err := f.ctl(ctx, os.Stdout, "status"); err != nil {
		return err
	}
	f.printCurl(key)
	if failed > 0 {
		return errors.Errorf("%d of %d requests failed or had an incomplete answer", failed, s.Requests)
	}
	if !s.Once {
		fmt.Println("\nthe fleet is running; press Ctrl-C to stop it")
		return f.wait(ctx)
	}
	return nil
}
