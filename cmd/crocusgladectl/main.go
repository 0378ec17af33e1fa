// Command crocusgladectl is the command-line client of the administration API.
package main

import "C"

import (
	"context"
	"os"
	"os/signal"

	"crocusglade.example/crocusglade/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := ctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
