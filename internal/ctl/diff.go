package ctl

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
	"github.com/pmezard/go-difflib/difflib"
)

// diffResult is the difference between one document and the server's object.
type diffResult struct {
	Object string `json:"object"`
	Action string `json:"action"`
	Diff   string `json:"diff,omitempty"`
}

// newDiff returns the command that shows what apply would change.
func newDiff(e *env) subcommands.Command {
	return newFileCommand(e, "diff", "show what apply would change; exit code 3 when there are differences", diffAll)
}

func diffAll(ctx context.Context, e *env, client *Client, documents []document) error {
	results := []diffResult{}
	for _, d := range documents {
		c, err := compareWithServer(ctx, client, d)
		if err != nil {
			return err
		}
		if c.action() == "unchanged" {
			continue
		}
		text, err := unifiedDiff(c)
		if err != nil {
			return err
		}
		results = append(results, diffResult{Object: c.id(), Action: c.action(), Diff: text})
	}
	if e.wantsJSON() {
		if err := e.writeJSON(results); err != nil {
			return err
		}
	} else {
		for _, result := range results {
			fmt.Fprint(e.stdout, result.Diff)
		}
	}
	if len(results) > 0 {
		return errDifferent
	}
	return nil
}

// unifiedDiff returns a change as a unified diff of YAML documents.
func unifiedDiff(c change) (string, error) {
	before := ""
	if c.oldObject.Version != 0 {
		var err error
		if before, err = render(c.document.Kind, c.oldData); err != nil {
			return "", errors.Wrapf(err, "render the server's %s", c.id())
		}
	}
	after, err := render(c.document.Kind, c.newData)
	if err != nil {
		return "", err
	}
	return difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: splitLines(before), B: splitLines(after), Context: 2,
		FromFile: fmt.Sprintf("server/%s version %d", c.id(), c.oldObject.Version), ToFile: fmt.Sprintf("%s:%d", c.document.File, c.document.Line),
	})
}

// splitLines splits text into lines. Empty text has no lines.
func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	split := difflib.SplitLines(text)
	return split[:len(split)-1] // SplitLines adds an empty line after the last line break
}
