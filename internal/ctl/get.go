package ctl

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/google/subcommands"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
)

// newGet returns the command that prints configuration objects. Its text output is valid input for apply.
func newGet(e *env) subcommands.Command {
	return &command{env: e, name: "get", operands: "KIND [NAME]",
		synopsis: "print configuration objects as YAML; KIND is " + strings.Join(applyOrder, ", "),
		run: func(ctx context.Context, args []string) error {
			if len(args) < 1 || len(args) > 2 || !slices.Contains(applyOrder, args[0]) {
				return usageErrorf("give one of %s, and optionally a name", strings.Join(applyOrder, ", "))
			}
			client, err := e.newClient()
			if err != nil {
				return err
			}
			list, err := fetchObjects(ctx, client, args)
			if err != nil {
				return err
			}
			if e.wantsJSON() {
				return e.writeJSON(list)
			}
			return printObjects(e, list.Items)
		}}
}

func fetchObjects(ctx context.Context, client *Client, args []string) (ConfigList, error) {
	if len(args) == 1 {
		return client.ListObjects(ctx, args[0])
	}
	o, found, err := client.GetObject(ctx, args[0], args[1])
	if err != nil {
		return ConfigList{}, err
	}
	if !found {
		return ConfigList{}, apierror.New(apierror.NotFound, "list all with 'crocusgladectl get "+args[0]+"'",
			"%s/%s does not exist", args[0], args[1])
	}
	return ConfigList{Revision: o.Version, Items: []apitypes.Object{o}}, nil
}

func printObjects(e *env, items []apitypes.Object) error {
	for i, o := range items {
		text, err := render(o.Kind, o.Data)
		if err != nil {
			return err
		}
		if i > 0 {
			fmt.Fprintln(e.stdout, "---")
		}
		fmt.Fprintf(e.stdout, "# version %d\n%s", o.Version, text)
	}
	return nil
}
