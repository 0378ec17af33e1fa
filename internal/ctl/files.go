package ctl

import (
	"flag"
	"strings"
)

// fileList is the value of -f, which may be repeated.
type fileList []string

func (l *fileList) String() string     { return strings.Join(*l, ",") }
func (l *fileList) Set(s string) error { *l = append(*l, s); return nil }

// registerFlag registers -f.
func (l *fileList) registerFlag(f *flag.FlagSet) {
	f.Var(l, "f", "YAML file, directory of YAML files, or - for standard input; may be repeated")
}
