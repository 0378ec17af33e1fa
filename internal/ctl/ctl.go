// Package ctl implements the commands of crocusgladectl, mostly one file per command.
//
// Every command prints text, or JSON with -o json. Run returns one of the exit codes below.
package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/settings"
)

// Exit codes of crocusgladectl.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the server refused the request or could not be reached.
	ExitFailed = 1
	// ExitUsage means that arguments, settings or files are invalid and nothing was written to the server.
	ExitUsage = 2
	// ExitDifferent means that diff found differences.
	ExitDifferent = 3
	// ExitConflict means that the server refused the change because the object has changed since it was read or the change conflicts
	// with another one.
	ExitConflict = 4
	// ExitUnconfirmed means that the change was written but a majority of the live gateways has not confirmed it yet.
	ExitUnconfirmed = 5
)

const exitCodes = `Exit codes: 0 done, 1 refused or unreachable, 2 wrong arguments, settings or files,
3 differences (diff), 4 conflict with another change, 5 written but not yet confirmed by a majority of gateways.
`

// usageError reports invalid command-line arguments.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

func usageErrorf(format string, args ...any) error { return &usageError{fmt.Sprintf(format, args...)} }

var (
	errDifferent   = errors.New("the files and the server differ")
	errUnconfirmed = errors.New("the change is written, but a majority of the live gateways has not confirmed it; " +
		"run 'crocusgladectl status' to see which gateways lag")
)

// exitCode maps a command's error to an exit code.
func exitCode(err error) int {
	var usage *usageError
	var invalid *settings.ValidationError
	var files *fileErrors
	var api *apierror.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage), errors.As(err, &invalid), errors.As(err, &files):
		return ExitUsage
	case errors.Is(err, errDifferent):
		return ExitDifferent
	case errors.Is(err, errUnconfirmed):
		return ExitUnconfirmed
	case errors.As(err, &api) && (api.Kind == apierror.PreconditionFailed || api.Kind == apierror.Conflict):
		return ExitConflict
	}
	return ExitFailed
}

// env holds the output streams and shared settings of all commands.
type env struct {
	stdout, stderr io.Writer
	// loadSettings reads and checks the shared settings. Commands that need no server don't call it.
	loadSettings func() (*settings.Ctl, error)
	// outputFormat is the value of -o: "text" or "json".
	outputFormat string
}

// newClient returns a client of the administration API from the shared settings.
func (e *env) newClient() (*Client, error) {
	s, err := e.loadSettings()
	if err != nil {
		return nil, err
	}
	return NewClient(s)
}

// wantsJSON reports whether the output format is JSON.
func (e *env) wantsJSON() bool { return e.outputFormat == "json" }

// writeJSON prints a value as indented JSON.
func (e *env) writeJSON(v any) error {
	encoder := json.NewEncoder(e.stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(v)
}

// writeTable prints an aligned table. header and the lines that rows writes have tab-separated columns.
func (e *env) writeTable(header string, rows func(w io.Writer)) error {
	t := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, header)
	rows(t)
	return t.Flush()
}

// command implements subcommands.Command.
type command struct {
	env      *env
	name     string
	synopsis string
	// operands is the usage text of the positional arguments.
	operands string
	flags    func(f *flag.FlagSet)
	run      func(ctx context.Context, args []string) error
}

func (c *command) Name() string     { return c.name }
func (c *command) Synopsis() string { return c.synopsis }

func (c *command) Usage() string {
	return fmt.Sprintf("%s [flags] %s\n  %s.\n", c.name, c.operands, c.synopsis)
}

func (c *command) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.env.stderr)
	f.StringVar(&c.env.outputFormat, "o", "text", "output: text or json")
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute runs the command. Flags may also appear between and after the positional arguments.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var operands []string
	for f.NArg() > 0 {
		operands = append(operands, f.Arg(0))
		if f.Parse(f.Args()[1:]) != nil {
			return ExitUsage
		}
	}
	var err error
	if c.env.outputFormat != "text" && c.env.outputFormat != "json" {
		err = usageErrorf("-o %s is unknown; use text or json", c.env.outputFormat)
	} else {
		err = c.run(ctx, operands)
	}
	if err != nil {
		fmt.Fprintf(c.env.stderr, "crocusgladectl %s: %v\n", c.name, err)
	}
	return subcommands.ExitStatus(exitCode(err))
}

// group is a command with subcommands, such as key.
type group struct {
	env      *env
	name     string
	synopsis string
	commands []subcommands.Command
}

func (g *group) Name() string     { return g.name }
func (g *group) Synopsis() string { return g.synopsis }

func (g *group) Usage() string {
	usage := ""
	for _, c := range g.commands {
		usage += g.name + " " + c.Usage()
	}
	return usage
}

func (g *group) SetFlags(f *flag.FlagSet) { f.SetOutput(g.env.stderr) }

func (g *group) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	commander := subcommands.NewCommander(f, "crocusgladectl "+g.name)
	commander.Output, commander.Error = g.env.stdout, g.env.stderr
	for _, c := range g.commands {
		commander.Register(c, "")
	}
	return commander.Execute(ctx, args...)
}

// Run runs crocusgladectl with args, which exclude the program name, and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("crocusgladectl", flag.ContinueOnError)
	flags.SetOutput(stderr)
	e := &env{stdout: stdout, stderr: stderr, loadSettings: settings.RegisterCtlFlags(flags)}
	commander := subcommands.NewCommander(flags, "crocusgladectl")
	commander.Output, commander.Error = stdout, stderr
	explain := commander.Explain
	commander.Explain = func(w io.Writer) {
		explain(w)
		fmt.Fprint(w, "\n", exitCodes)
	}
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.FlagsCommand(), "help")
	for _, c := range []subcommands.Command{newApply(e), newGet(e), newDiff(e), newValidate(e)} {
		commander.Register(c, "configuration")
	}
	commander.Register(newKey(e), "keys")
	for _, c := range []subcommands.Command{newStatus(e), newEndpoints(e), newDrain(e), newRequests(e), newUsage(e), newReport(e), newExplain(e)} {
		commander.Register(c, "operation")
	}
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		return ExitUsage
	}
	return int(commander.Execute(ctx))
}
