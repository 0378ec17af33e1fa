package ctl

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// change compares a document with the server's object.
type change struct {
	document document
	// oldObject is the server's object; its version is 0 when it does not exist.
	oldObject apitypes.Object
	// newData is the document's object and oldData the server's object, both in canonical JSON.
	newData, oldData json.RawMessage
}

// action returns what applying the change does to the object: "create", "unchanged" or "update".
func (c change) action() string {
	switch {
	case c.oldObject.Version == 0:
		return "create"
	case string(c.newData) == string(c.oldData):
		return "unchanged"
	}
	return "update"
}

// id returns the object's kind and name.
func (c change) id() string { return c.document.Kind + "/" + c.document.Name }

// compareWithServer reads the server's object for a document and returns the change between them.
func compareWithServer(ctx context.Context, client *Client, d document) (change, error) {
	old, found, err := client.GetObject(ctx, d.Kind, d.Name)
	if err != nil {
		return change{}, errors.Wrapf(err, "read %s/%s", d.Kind, d.Name)
	}
	c := change{document: d}
	if found {
		c.oldObject = old
		c.oldData = canonicalJSON(d.Kind, d.Name, old.Data)
	}
	if d.omitsDrained && found {
		copyDrained(d.Object, old.Data)
	}
	c.newData, err = apitypes.MarshalObject(d.Object)
	if err != nil {
		return change{}, errors.Wrapf(err, "encode %s/%s", d.Kind, d.Name)
	}
	return c, nil
}

// canonicalJSON returns an object's data in the same encoding as documents of files. Data that this version can't parse is
// returned unchanged and therefore differs from every file.
func canonicalJSON(kind, name string, data json.RawMessage) json.RawMessage {
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

// copyDrained copies the list of drained endpoints from the server's pool to the document's pool.
func copyDrained(object apitypes.Validator, old json.RawMessage) {
	pool, ok := object.(*apitypes.Pool)
	var previous apitypes.Pool
	if ok && json.Unmarshal(old, &previous) == nil {
		pool.Drained = previous.Drained
	}
}
