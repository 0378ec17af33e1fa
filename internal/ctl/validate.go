package ctl

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
)

// validation is the JSON output of validate.
type validation struct {
	Valid    bool        `json:"valid"`
	Objects  int         `json:"objects"`
	Mistakes []fileError `json:"mistakes,omitempty"`
}

// newValidate returns the command that checks files. It needs no server.
func newValidate(e *env) subcommands.Command {
	var files fileList
	return &command{env: e, name: "validate", operands: "FILE...", flags: files.bind,
		synopsis: "check YAML files without a server; all mistakes are listed with their lines",
		run: func(_ context.Context, args []string) error {
			documents, err := readFiles(append(files, args...))
			var wrong *fileErrors
			if e.json() && (err == nil || errors.As(err, &wrong)) {
				v := validation{Valid: err == nil, Objects: len(documents)}
				if wrong != nil {
					v.Mistakes = wrong.list
				}
				if writeErr := e.writeJSON(v); writeErr != nil {
					return writeErr
				}
				if wrong != nil {
					return wrongUsage("%d mistake(s) in the files", len(wrong.list))
				}
				return nil
			}
			if err != nil {
				return err
			}
			fmt.Fprintf(e.stdout, "%d object(s) are valid\n", len(documents))
			return nil
		}}
}
