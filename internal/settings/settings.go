// Package settings reads the settings of the programs from flags and environment variables and validates them.
//
// Each program has one file with its settings, defaults and checks. A Load function returns all invalid settings at once in a
// *ValidationError, so that an operator can correct them together. There is no configuration file.
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

// EnvPrefix is the prefix of the names of all environment variables that the programs read.
const EnvPrefix = "CROCUSGLADE"

// Exit codes of programs that exit while loading their settings.
const (
	ExitOK = 0
	// ExitUsage is the exit code for invalid settings or arguments.
	ExitUsage = 2
)

// InvalidSetting describes one invalid setting.
type InvalidSetting struct {
	// Setting is the flag with its leading dashes, or "arguments" for a command line that can't be parsed.
	Setting string
	// Problem says what is invalid, Remedy how to correct it.
	Problem string
	Remedy  string
}

// ValidationError lists all invalid settings of a program.
type ValidationError struct {
	Program         string
	InvalidSettings []InvalidSetting
}

// Error returns a heading and one line for each invalid setting.
func (e *ValidationError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d invalid setting(s):", e.Program, len(e.InvalidSettings))
	for _, s := range e.InvalidSettings {
		fmt.Fprintf(&b, "\n  %s: %s; %s", s.Setting, s.Problem, s.Remedy)
	}
	return b.String()
}

// ReportLoadError writes the error of a Load function to w and returns the exit code for it: ExitUsage, or ExitOK after --help.
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

// entry describes one setting for the help text and the documentation.
type entry struct {
	name         string // flag name; empty for settings that only have an environment variable
	env          string
	defaultValue string
	usage        string
}

// rawValue is a flag value that accepts any text. Checks run after parsing, so that one invalid value does not hide others.
type rawValue string

func (v *rawValue) String() string     { return string(*v) }
func (v *rawValue) Set(s string) error { *v = rawValue(s); return nil }

// boolValue is the rawValue of a boolean flag, which may be given without a value.
type boolValue struct{ *rawValue }

// IsBoolFlag makes the flag package accept --name for --name=true.
func (boolValue) IsBoolFlag() bool { return true }

// registry contains the settings of one program: their flags, their checks and the invalid settings found.
type registry struct {
	program string
	summary string
	flags   *flag.FlagSet
	entries []entry
	checks  []func()
	invalid []InvalidSetting
}

func newRegistry(program, summary string) *registry {
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	return &registry{program: program, summary: summary, flags: flags}
}

// addText registers a flag that takes any text. check gets the text after parsing.
func (r *registry) addText(name, defaultValue, usage string, check func(raw string)) {
	raw := rawValue(defaultValue)
	r.addValue(name, defaultValue, usage, &raw, &raw, check)
}

// addValue registers a flag with the given flag.Value, which stores its text in raw. check gets the text after parsing.
func (r *registry) addValue(name, defaultValue, usage string, value flag.Value, raw *rawValue, check func(raw string)) {
	r.flags.Var(value, name, usage)
	r.entries = append(r.entries, entry{name: name, env: EnvName(name), defaultValue: defaultValue, usage: usage})
	r.checks = append(r.checks, func() { check(string(*raw)) })
}

// addCheck registers a check that runs after the checks of all settings that are already registered.
func (r *registry) addCheck(check func()) { r.checks = append(r.checks, check) }

// addInvalid records that the value of a flag is invalid.
func (r *registry) addInvalid(name, remedy, format string, args ...any) {
	r.invalid = append(r.invalid, InvalidSetting{Setting: "--" + name, Problem: fmt.Sprintf(format, args...), Remedy: remedy})
}

// load parses flags and environment and runs all checks. Flags override the environment. With --help it writes the help text to
// help and returns flag.ErrHelp.
func (r *registry) load(args []string, help io.Writer) error {
	for {
		err := r.flags.Parse(args)
		if errors.Is(err, flag.ErrHelp) {
			r.printHelp(help)
			return flag.ErrHelp
		}
		args = r.flags.Args()
		if err != nil {
			r.invalid = append(r.invalid, InvalidSetting{"arguments", err.Error(), "use a flag that --help lists"})
			continue
		}
		if len(args) == 0 {
			break
		}
		r.invalid = append(r.invalid, InvalidSetting{"arguments", fmt.Sprintf("unexpected argument %q", args[0]),
			"remove it or write it as --flag=value"})
		args = args[1:]
	}
	return r.parseEnvAndCheck()
}

// parseEnvAndCheck reads the environment for the flags that are not set and runs all checks.
func (r *registry) parseEnvAndCheck() error {
	if err := ff.Parse(r.flags, nil, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return errors.Wrap(err, "read environment variables")
	}
	for _, check := range r.checks {
		check()
	}
	if len(r.invalid) > 0 {
		return &ValidationError{Program: r.program, InvalidSettings: r.invalid}
	}
	return nil
}

// printHelp writes the help text of the program.
func (r *registry) printHelp(w io.Writer) {
	fmt.Fprintf(w, "%s: %s\n\nSettings (a flag wins over its environment variable):\n", r.program, r.summary)
	for _, e := range r.entries {
		name := "(environment only)"
		if e.name != "" {
			name = "--" + e.name
		}
		fmt.Fprintf(w, "  %s  [%s]", name, e.env)
		if e.defaultValue != "" {
			fmt.Fprintf(w, "  default %s", e.defaultValue)
		}
		fmt.Fprintf(w, "\n        %s\n", e.usage)
	}
	fmt.Fprintf(w, "\nExit code %d: invalid settings; all of them are listed at once.\n", ExitUsage)
}

// readFile returns a file's content without surrounding white space. On an error it records the flag as invalid and returns nil.
func (r *registry) readFile(name, path string) []byte {
	data, err := os.ReadFile(path)
	if err != nil {
		r.addInvalid(name, "give the path of a readable file", "%v", err)
		return nil
	}
	return []byte(strings.TrimSpace(string(data)))
}
