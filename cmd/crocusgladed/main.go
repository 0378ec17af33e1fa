// Command crocusgladed is the daemon. It runs as a gateway or a controller on an entry VM, or as a node: the single process of a VM on a
// platform without a separate control plane.
package main

import "C"

import (
	"context"
	"fmt"
	"io"
	"os"

	"crocusglade.example/crocusglade/internal/daemon"
	"crocusglade.example/crocusglade/internal/settings"
)

const usage = `usage: crocusgladed gateway|controller|node [settings]
Run 'crocusgladed gateway --help', 'crocusgladed controller --help' or 'crocusgladed node --help' for all settings.
`

func main() {
	daemon.KeepHangups()
	roles := map[string]func(context.Context, []string, io.Writer, io.Writer) int{
		"gateway": daemon.RunGateway, "controller": daemon.RunController, "node": runNode}
	if len(os.Args) > 1 {
		if role, ok := roles[os.Args[1]]; ok {
			os.Exit(role(context.Background(), os.Args[2:], os.Stdout, os.Stderr))
		}
	}
	fmt.Fprint(os.Stderr, usage)
	os.Exit(settings.ExitUsage)
}
