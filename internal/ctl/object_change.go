package ctl

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// change is what applying a document would do.
type change struct {
	document document
	// old is the server's object; its version is 0 when it does not exist.
	old apitypes.Object
	// new is the document's value in canonical JSON, oldData that of the server.
	new, oldData json.RawMessage
}

// action names what applying the change does.
func (c change) action() string {
	switch {
	case c.old.Version == 0:
		return "create"
	case string(c.new) == string(c.oldData):
		return "unchanged"
	}
	return "update"
}

// id names the object.
func (c change) id() string { return c.document.Kind + "/" + c.document.Name }

// compare reads the server's object of a document.
func compare(ctx context.Context, client *Client, d document) (change, error) {
	old, found, err := client.GetObject(ctx, d.Kind, d.Name)
	if err != nil {
		return change{}, errors.Wrapf(err, "read %s/%s", d.Kind, d.Name)
	}
	c := change{document: d}
	if found {
		c.old = old
		c.oldData = canonical(d.Kind, d.Name, old.Data)
	}
	if d.keepsDrained && found {
		keepDrained(d.Object, old.Data)
	}
	c.new, err = apitypes.MarshalObject(d.Object)
	if err != nil {
		return change{}, errors.Wrapf(err, "encode %s/%s", d.Kind, d.Name)
	}
	return c, nil
}

// canonical returns an object's data in the form in which files are encoded. Data that this version does not
// understand stays as it is, and thus differs from every file.
func canonical(kind, name string, data json.RawMessage) json.RawMessage {
	v, _ := apitypes.ValidateObject(kind, name, data)
	if v == nil {
		return data
	}
	encoded, err := apitypes.MarshalObject(v)
	if err != nil {
		return data
	}
	return encoded
}

// keepDrained copies the list of drained endpoints from the server's object.
func keepDrained(object apitypes.Validator, old json.RawMessage) {
	pool, ok := object.(*apitypes.Pool)
	var was apitypes.Pool
	if ok && json.Unmarshal(old, &was) == nil {
		pool.Drained = was.Drained
	}
}
