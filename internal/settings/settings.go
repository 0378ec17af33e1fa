// Package settings reads and checks the settings of the programs from flags and environment variables.
//
// Each program has one file with its settings, defaults and checks. A Load function returns all mistakes at
// once in a *ValidationError, so that an operator corrects them in one go. There is no configuration file.
package settings

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3"
)

// EnvPrefix starts the name of every environment variable that the programs read.
const EnvPrefix = "CROCUSGLADE"

// Exit codes of programs that end because of their settings.
const (
	ExitOK = 0
	// ExitUsage is the exit code for wrong settings or arguments.
	ExitUsage = 2
)

// InvalidSetting is one wrong setting.
type InvalidSetting struct {
	// Setting names the flag with its dashes, or the environment variable.
	Setting string
	// Problem says what is wrong, Remedy what to do.
	Problem string
	Remedy  string
}

// ValidationError lists all mistakes in the settings of a program.
type ValidationError struct {
	Program         string
	InvalidSettings []InvalidSetting
}

// Error returns one line for each mistake.
func (e *ValidationError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d wrong setting(s):", e.Program, len(e.InvalidSettings))
	for _, m := range e.InvalidSettings {
		fmt.Fprintf(&b, "\n  %s: %s; %s", m.Setting, m.Problem, m.Remedy)
	}
	return b.String()
}

// ReportLoadError writes the error of a Load function and returns the exit code for it: 0 after --help, 2 otherwise.
func ReportLoadError(w io.Writer, err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	fmt.Fprintln(w, err)
	var invalid *ValidationError
	if errors.As(err, &invalid) {
		fmt.Fprintf(w, "run '%s --help' for all settings\n", invalid.Program)
	}
	return ExitUsage
}

// EnvName returns the environment variable of a flag.
func EnvName(flagName string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// entry describes one setting for help and documentation.
type entry struct {
	name     string // flag name; empty for settings that only the environment holds
	env      string
	fallback string
	usage    string
}

// text is a flag value that accepts any text. Checks run after parsing, so that one wrong value does not hide others.
type text string

func (t *text) String() string     { return string(*t) }
func (t *text) Set(s string) error { *t = text(s); return nil }

// switchText is the text of a boolean flag, which may stand without a value.
type switchText struct{ *text }

// IsBoolFlag makes the flag package accept --name for --name=true.
func (switchText) IsBoolFlag() bool { return true }

// form collects the settings of one program: their flags, their checks and the mistakes found.
type form struct {
	program  string
	summary  string
	flags    *flag.FlagSet
	entries  []entry
	checks   []func()
	mistakes []InvalidSetting
}

func newForm(program, summary string) *form {
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	return &form{program: program, summary: summary, flags: flags}
}

// add registers a flag whose raw text is given to check after parsing.
func (f *form) add(name, fallback, usage string, check func(raw string)) {
	raw := text(fallback)
	f.register(name, fallback, usage, &raw, &raw, check)
}

// register adds a flag with the given value, whose text is given to check after parsing.
func (f *form) register(name, fallback, usage string, value flag.Value, raw *text, check func(raw string)) {
	f.flags.Var(value, name, usage)
	f.entries = append(f.entries, entry{name: name, env: EnvName(name), fallback: fallback, usage: usage})
	f.checks = append(f.checks, func() { check(string(*raw)) })
}

// later registers a check that runs after the checks of all settings before it.
func (f *form) later(check func()) { f.checks = append(f.checks, check) }

// wrong records a mistake in a flag.
func (f *form) wrong(name, remedy, format string, args ...any) {
	f.mistakes = append(f.mistakes, InvalidSetting{Setting: "--" + name, Problem: fmt.Sprintf(format, args...), Remedy: remedy})
}

// load parses flags and environment and runs all checks. Flags win over the environment. With --help it
// writes all settings to help and returns flag.ErrHelp.
func (f *form) load(args []string, help io.Writer) error {
	for {
		err := f.flags.Parse(args)
		if errors.Is(err, flag.ErrHelp) {
			f.help(help)
			return flag.ErrHelp
		}
		args = f.flags.Args()
		if err != nil {
			f.mistakes = append(f.mistakes, InvalidSetting{"arguments", err.Error(), "use a flag that --help lists"})
			continue
		}
		if len(args) == 0 {
			break
		}
		f.mistakes = append(f.mistakes, InvalidSetting{"arguments", fmt.Sprintf("unexpected argument %q", args[0]),
			"remove it or write it as --flag=value"})
		args = args[1:]
	}
	return f.finish()
}

// finish reads the environment for flags that were not given and runs all checks.
func (f *form) finish() error {
	if err := ff.Parse(f.flags, nil, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return errors.Wrap(err, "read the environment")
	}
	for _, check := range f.checks {
		check()
	}
	if len(f.mistakes) > 0 {
		return &ValidationError{Program: f.program, InvalidSettings: f.mistakes}
	}
	return nil
}

func (f *form) help(w io.Writer) {
	fmt.Fprintf(w, "%s: %s\n\nSettings (a flag wins over its environment variable):\n", f.program, f.summary)
	for _, e := range f.entries {
		name := "(environment only)"
		if e.name != "" {
			name = "--" + e.name
		}
		fmt.Fprintf(w, "  %s  [%s]", name, e.env)
		if e.fallback != "" {
			fmt.Fprintf(w, "  default %s", e.fallback)
		}
		fmt.Fprintf(w, "\n        %s\n", e.usage)
	}
	fmt.Fprintf(w, "\nExit code %d: wrong settings; all mistakes are listed at once.\n", ExitUsage)
}

// readFile returns a file's content without surrounding white space, or records a mistake.
func (f *form) readFile(name, path string) []byte {
	data, err := os.ReadFile(path)
	if err != nil {
		f.wrong(name, "name a readable file", "%v", err)
		return nil
	}
	return []byte(strings.TrimSpace(string(data)))
}
