package ctl

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// applyResult is the result of applying one document.
type applyResult struct {
	Object string `json:"object"`
	Action string `json:"action"`
	*Confirmation
}

// newApply returns the command that writes the objects in files to the server. All files are checked before the first write.
func newApply(e *env) subcommands.Command {
	return newFileCommand(e, "apply", "create or update the objects in YAML files; a pool without a drained list keeps the server's list", applyAll)
}

func applyAll(ctx context.Context, e *env, client *Client, documents []document) error {
	results := make([]applyResult, 0, len(documents))
	var unconfirmed error
	for _, d := range documents {
		result, err := applyOne(ctx, client, d)
		if err != nil {
			return errors.Wrapf(err, "%s:%d (%d of %d objects processed before it)", d.File, d.Line, len(results), len(documents))
		}
		results = append(results, result)
		if result.Confirmation != nil {
			unconfirmed = errors.Join(unconfirmed, result.requireMajority())
		}
		if !e.wantsJSON() {
			fmt.Fprintln(e.stdout, result)
		}
	}
	if e.wantsJSON() {
		if err := e.writeJSON(results); err != nil {
			return err
		}
	}
	if unconfirmed != nil {
		return errUnconfirmed
	}
	return nil
}

func applyOne(ctx context.Context, client *Client, d document) (applyResult, error) {
	c, err := compareWithServer(ctx, client, d)
	if err != nil {
		return applyResult{}, err
	}
	result := applyResult{Object: c.id(), Action: c.action()}
	if result.Action == "unchanged" {
		return result, nil
	}
	confirmation, err := client.PutObject(ctx, apitypes.Object{Kind: d.Kind, Name: d.Name, Version: c.oldObject.Version, Data: c.newData})
	result.Confirmation = &confirmation
	return result, err
}

// String returns the result as one line of text output.
func (a applyResult) String() string {
	if a.Confirmation == nil {
		return fmt.Sprintf("%s %s", a.Object, a.Action)
	}
	return fmt.Sprintf("%s %sd at version %d, confirmed by %d of %d gateways", a.Object, a.Action, a.Version, a.Confirmed, a.Gateways)
}
