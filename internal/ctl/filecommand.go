package ctl

import (
	"context"

	"github.com/google/subcommands"
)

// newFileCommand returns a command that reads all YAML files, with every mistake listed, before it calls the server.
func newFileCommand(e *env, name, synopsis string, run func(context.Context, *env, *Client, []document) error) subcommands.Command {
	var files fileList
	return &command{env: e, name: name, operands: "FILE...", flags: files.bind, synopsis: synopsis,
		run: func(ctx context.Context, args []string) error {
			documents, err := readFiles(append(files, args...))
			if err != nil {
				return err
			}
			client, err := e.client()
			if err != nil {
				return err
			}
			return run(ctx, e, client, documents)
		}}
}
