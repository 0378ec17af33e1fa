package ctl

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// applied is the result of one document.
type applied struct {
	Object string `json:"object"`
	Action string `json:"action"`
	*Confirmation
}

// newApply returns the command that writes files to the server. It checks all files before it writes anything.
func newApply(e *env) subcommands.Command {
	return newFileCommand(e, "apply", "create and update the objects in YAML files; a pool without a drained list keeps the server's", applyAll)
}

func applyAll(ctx context.Context, e *env, client *Client, documents []document) error {
	results := make([]applied, 0, len(documents))
	var unconfirmed error
	for _, d := range documents {
		one, err := applyOne(ctx, client, d)
		if err != nil {
			return errors.Wrapf(err, "%s:%d (%d of %d objects done before)", d.File, d.Line, len(results), len(documents))
		}
		results = append(results, one)
		if one.Confirmation != nil {
			unconfirmed = errors.Join(unconfirmed, one.check())
		}
		if !e.json() {
			fmt.Fprintln(e.stdout, one)
		}
	}
	if e.json() {
		if err := e.writeJSON(results); err != nil {
			return err
		}
	}
	if unconfirmed != nil {
		return errUnconfirmed
	}
	return nil
}

func applyOne(ctx context.Context, client *Client, d document) (applied, error) {
	c, err := compare(ctx, client, d)
	if err != nil {
		return applied{}, err
	}
	result := applied{Object: c.id(), Action: c.action()}
	if result.Action == "unchanged" {
		return result, nil
	}
	done, err := client.PutObject(ctx, apitypes.Object{Kind: d.Kind, Name: d.Name, Version: c.old.Version, Data: c.new})
	result.Confirmation = &done
	return result, err
}

// String returns the line for people.
func (a applied) String() string {
	if a.Confirmation == nil {
		return fmt.Sprintf("%s %s", a.Object, a.Action)
	}
	return fmt.Sprintf("%s %sd at version %d, confirmed by %d of %d gateways", a.Object, a.Action, a.Version, a.Confirmed, a.Gateways)
}
