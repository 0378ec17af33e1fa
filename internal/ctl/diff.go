package ctl

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
	"github.com/pmezard/go-difflib/difflib"
)

// difference is the result of one document.
type difference struct {
	Object string `json:"object"`
	Action string `json:"action"`
	Diff   string `json:"diff,omitempty"`
}

// newDiff returns the command that shows what apply would change.
func newDiff(e *env) subcommands.Command {
	return newFileCommand(e, "diff", "show what apply would change; exit code 3 when there are differences", diffAll)
}

func diffAll(ctx context.Context, e *env, client *Client, documents []document) error {
	all := []difference{}
	for _, d := range documents {
		c, err := compare(ctx, client, d)
		if err != nil {
			return err
		}
		if c.action() == "unchanged" {
			continue
		}
		text, err := unified(c)
		if err != nil {
			return err
		}
		all = append(all, difference{Object: c.id(), Action: c.action(), Diff: text})
	}
	if e.json() {
		if err := e.writeJSON(all); err != nil {
			return err
		}
	} else {
		for _, one := range all {
			fmt.Fprint(e.stdout, one.Diff)
		}
	}
	if len(all) > 0 {
		return errDifferent
	}
	return nil
}

// unified returns the change as a unified diff of YAML.
func unified(c change) (string, error) {
	before := ""
	if c.old.Version != 0 {
		var err error
		if before, err = render(c.document.Kind, c.oldData); err != nil {
			return "", errors.Wrapf(err, "server's %s", c.id())
		}
	}
	after, err := render(c.document.Kind, c.new)
	if err != nil {
		return "", err
	}
	return difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: lines(before), B: lines(after), Context: 2,
		FromFile: fmt.Sprintf("server/%s version %d", c.id(), c.old.Version), ToFile: fmt.Sprintf("%s:%d", c.document.File, c.document.Line),
	})
}

// lines splits a text; an empty text has no lines.
func lines(text string) []string {
	if text == "" {
		return nil
	}
	split := difflib.SplitLines(text)
	return split[:len(split)-1] // SplitLines adds an empty line after the last line break
}
