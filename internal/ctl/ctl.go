// Package ctl holds the commands of crocusgladectl, one file for each.
//
// Every command prints text for people, or JSON with -o json. Run returns one of the exit codes below.
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
	// ExitOK: done.
	ExitOK = 0
	// ExitFailed: the server refused or could not be reached.
	ExitFailed = 1
	// ExitUsage: wrong arguments, settings or files; nothing was sent.
	ExitUsage = 2
	// ExitDifferent: diff found differences.
	ExitDifferent = 3
	// ExitConflict: someone else changed the object first; nothing was written.
	ExitConflict = 4
	// ExitUnconfirmed: written, but a majority of the live gateways has not confirmed it yet.
	ExitUnconfirmed = 5
)

const exitCodes = `Exit codes: 0 done, 1 refused or unreachable, 2 wrong arguments, settings or files,
3 differences (diff), 4 conflict with another change, 5 written but not yet confirmed by a majority of gateways.
`

// usageError is a mistake in the arguments of a command.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

func wrongUsage(format string, args ...any) error { return &usageError{fmt.Sprintf(format, args...)} }

var (
	errDifferent   = errors.New("the files and the server differ")
	errUnconfirmed = errors.New("the change is written, but a majority of the live gateways has not confirmed it; " +
		"run 'crocusgladectl status' to see which gateways lag")
)

// exitCode returns the exit code for a command's error.
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

// env is what commands share.
type env struct {
	stdout, stderr io.Writer
	// load reads the shared settings. Commands that work without a server don't call it.
	load func() (*settings.Ctl, error)
	// output is "text" or "json".
	output string
}

// client connects to the administration API.
func (e *env) client() (*Client, error) {
	s, err := e.load()
	if err != nil {
		return nil, err
	}
	return NewClient(s)
}

// json says whether the output is JSON.
func (e *env) json() bool { return e.output == "json" }

// writeJSON prints a value as indented JSON.
func (e *env) writeJSON(v any) error {
	encoder := json.NewEncoder(e.stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(v)
}

// table prints rows with tab-separated columns.
func (e *env) table(header string, rows func(w io.Writer)) error {
	t := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, header)
	rows(t)
	return t.Flush()
}

// command is one command. It implements subcommands.Command.
type command struct {
	env      *env
	name     string
	synopsis string
	// operands describes the arguments after the flags.
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
	f.StringVar(&c.env.output, "o", "text", "output: text or json")
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute runs the command. Flags may also stand between and after the operands.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var operands []string
	for f.NArg() > 0 {
		operands = append(operands, f.Arg(0))
		if f.Parse(f.Args()[1:]) != nil {
			return ExitUsage
		}
	}
	var err error
	if c.env.output != "text" && c.env.output != "json" {
		err = wrongUsage("-o %s is unknown; use text or json", c.env.output)
	} else {
		err = c.run(ctx, operands)
	}
	if err != nil {
		fmt.Fprintf(c.env.stderr, "crocusgladectl %s: %v\n", c.name, err)
	}
	return subcommands.ExitStatus(exitCode(err))
}

// group is a command that consists of commands, such as key.
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

// Run runs crocusgladectl with the given arguments, without the program's name, and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("crocusgladectl", flag.ContinueOnError)
	flags.SetOutput(stderr)
	e := &env{stdout: stdout, stderr: stderr, load: settings.RegisterCtlFlags(flags)}
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
