package ctl

import (
	"context"

	"github.com/google/subcommands"
)

// newFileCommand returns a command that passes the documents in YAML files to run. It reads all files and reports every error in
// them before it connects to the server.
func newFileCommand(e *env, name, synopsis string, run func(context.Context, *env, *Client, []document) error) subcommands.Command {
	var files fileList
	return &command{env: e, name: name, operands: "FILE...", flags: files.registerFlag, synopsis: synopsis,
		run: func(ctx context.Context, args []string) error {
			documents, err := readFiles(append(files, args...))
			if err != nil {
				return err
			}
			client, err := e.newClient()
			if err != nil {
				return err
			}
			return run(ctx, e, client, documents)
		}}
}
