// Command localfleet starts a platform, engines, services, four gateways and four controllers on loopback as separate
// processes, loads a sample configuration and sends sample requests. It is for developers and is not shipped.
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

// exitFailed is the exit code when a process did not start or an answer was not whole.
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
	program, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the directory of the programs")
	}
	work, err := os.MkdirTemp("", "localfleet-")
	if err != nil {
		return errors.Wrap(err, "make a directory for the fleet's files")
	}
	f := newFleet(s, filepath.Dir(program), work)
	defer func() {
		f.stop()
		if err == nil {
			_ = os.RemoveAll(work)
		} else {
			fmt.Fprintf(os.Stderr, "logs of the processes are in %s\n", work)
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
		return errors.Errorf("%d of %d answers were not whole", failed, s.Requests)
	}
	if !s.Once {
		fmt.Println("\nthe fleet runs; press Ctrl-C to end it")
		return f.wait(ctx)
	}
	return nil
}
