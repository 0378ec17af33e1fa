package ctl

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
)

// validation is the JSON output of validate.
type validation struct {
	Valid   bool        `json:"valid"`
	Objects int         `json:"objects"`
	Errors  []fileError `json:"mistakes,omitempty"`
}

// newValidate returns the command that checks files without a server.
func newValidate(e *env) subcommands.Command {
	var files fileList
	return &command{env: e, name: "validate", operands: "FILE...", flags: files.registerFlag,
		synopsis: "check YAML files without a server; every error is listed with its line",
		run: func(_ context.Context, args []string) error {
			documents, err := readFiles(append(files, args...))
			var invalid *fileErrors
			if e.wantsJSON() && (err == nil || errors.As(err, &invalid)) {
				v := validation{Valid: err == nil, Objects: len(documents)}
				if invalid != nil {
					v.Errors = invalid.list
				}
				if writeErr := e.writeJSON(v); writeErr != nil {
					return writeErr
				}
				if invalid != nil {
					return usageErrorf("%d error(s) in the files", len(invalid.list))
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
