package ctl

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/google/subcommands"
)

// newStatus returns the command that prints the state of the deployment.
func newStatus(e *env) subcommands.Command {
	return &command{env: e, name: "status", synopsis: "print VMs, duties and the age of the configuration",
		run: func(ctx context.Context, args []string) error {
			if len(args) != 0 {
				return usageErrorf("status takes no arguments")
			}
			client, err := e.newClient()
			if err != nil {
				return err
			}
			var s Status
			if err := client.do(ctx, apiCall{method: http.MethodGet, path: "/status"}, &s); err != nil {
				return err
			}
			if e.wantsJSON() {
				return e.writeJSON(s)
			}
			return s.print(e)
		}}
}

func (s Status) print(e *env) error {
	fmt.Fprintf(e.stdout, "revision %d, last confirmed by the platform %v ago\n\n", s.Revision, milliseconds(s.PlatformAgeMS))
	err := e.writeTable("VM\tFAILURE DOMAIN\tSTATE\tGATEWAY\tREVISION\tPLATFORM AGE\tIN FLIGHT\tCONTROLLER", func(w io.Writer) {
		for _, vm := range s.VMs {
			g := vm.Gateway
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%v\t%d\t%s\n", vm.Name, vm.FailureDomain, vm.State, g.summary(), g.Revision,
				milliseconds(g.PlatformAgeMS), g.InFlight, reachability(vm.Controller.Reachable))
		}
	})
	if err != nil {
		return err
	}
	fmt.Fprintln(e.stdout)
	err = e.writeTable("DUTY\tHOLDER\tFENCE", func(w io.Writer) {
		for _, d := range s.Duties {
			fmt.Fprintf(w, "%s\t%s\t%d\n", d.Name, d.Holder, d.Fence)
		}
	})
	for _, name := range slices.Sorted(maps.Keys(s.BadObjects)) {
		fmt.Fprintf(e.stdout, "\n%s can't be used; its last valid version stays in force: %s\n", name, s.BadObjects[name])
	}
	return err
}

// summary returns a gateway's state as one term.
func (g GatewayStatus) summary() string {
	switch {
	case !g.Reachable:
		return "unreachable"
	case g.Draining:
		return "draining"
	case !g.Ready:
		return "not ready"
	}
	return "ready"
}

func reachability(reachable bool) string {
	if reachable {
		return "reachable"
	}
	return "unreachable"
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
