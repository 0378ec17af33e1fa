package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/node"
	"crocusglade.example/crocusglade/internal/settings"
	"crocusglade.example/crocusglade/platform"
)

// runNode runs `crocusgladed node` and returns the exit code. Unlike the other roles, its settings come from a file that an environment
// variable names.
func runNode(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("crocusgladed node", flag.ContinueOnError)
	flags.SetOutput(stdout)
	metricsPort := flags.Int("metrics-port", 0, "port for /metrics on the VM's address; 0 serves none")
	check := flags.Bool("check", false, "check the settings file that "+platform.SettingsVariable+" names, and end")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return settings.ExitOK
		}
		return settings.ExitUsage
	}
	s, err := platform.ReadSettings()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return settings.ExitUsage
	}
	if *check {
		fmt.Fprintln(stdout, "settings are valid")
		return settings.ExitOK
	}
	s.MetricsPort = *metricsPort
	return node.Run(ctx, *s, platform.NewAdapter(s), stdout)
}
