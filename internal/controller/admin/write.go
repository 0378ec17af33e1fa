package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

const (
	// editTries bounds the tries of a change that is made anew on each conflict.
	editTries = 8
	// confirmPeriod is the time between two questions to gateways that have not confirmed.
	confirmPeriod = 200 * time.Millisecond
	// confirmTimeout bounds the wait for a majority. A connected gateway applies a change within 2 s, and one that is cut off
	// stops admitting keyed work after 5 s.
	confirmTimeout = 6 * time.Second
	// statusTimeout bounds one call to a gateway.
	statusTimeout = time.Second
)

// lost tells whether a write's answer was lost, so that the write may or may not have taken effect.
func lost(err error) bool {
	return errors.Is(err, objectstore.ErrUnavailable) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// write writes an object conditionally. After a lost answer it repeats the same conditional write, which can take effect only once.
// A conflict then means that the first try, or another operator's write, is in; reading the object tells them apart.
func (s *Server) write(ctx context.Context, kind, name string, data []byte, expected uint64) (uint64, error) {
	for try := range lostTries {
		version, err := s.Store.Put(ctx, kind, name, data, expected)
		switch {
		case err == nil:
			return version, nil
		case lost(err):
			ctxtime.Sleep(ctx, lostPause)
			continue
		case try == 0 || !errors.Is(err, objectstore.ErrConflict):
			return 0, s.explain(ctx, kind, name, err)
		}
		o, err := s.Store.Get(ctx, kind, name)
		switch {
		case err == nil && o.Version > expected && sameJSON(o.Data, data):
			return o.Version, nil
		case err == nil && o.Version > expected:
			return 0, conflict(kind, name, o.Version)
		}
		return 0, unavailable(apierror.ExecutionUnknown, "the write may have taken effect")
	}
	return 0, unavailable(apierror.ExecutionUnknown, "the write may have taken effect")
}

const (
	// lostTries bounds the tries of one conditional call whose answers are lost, lostPause is the wait between them.
	lostTries = 3
	lostPause = 200 * time.Millisecond
)

func sameJSON(a, b []byte) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}

// remove deletes an object conditionally. After a lost answer it repeats the deletion; an object that is gone then means success.
func (s *Server) remove(ctx context.Context, kind, name string, expected uint64) error {
	for try := range lostTries {
		err := s.Store.Delete(ctx, kind, name, expected)
		if lost(err) {
			ctxtime.Sleep(ctx, lostPause)
			continue
		}
		if try > 0 && errors.Is(err, objectstore.ErrNotFound) {
			return nil
		}
		return s.explain(ctx, kind, name, err)
	}
	return unavailable(apierror.ExecutionUnknown, "the deletion may have taken effect")
}

// explain turns a platform error into a typed one. A conflict names the newer version.
func (s *Server) explain(ctx context.Context, kind, name string, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, objectstore.ErrConflict):
		o, readErr := s.Store.Get(ctx, kind, name)
		if errors.Is(readErr, objectstore.ErrNotFound) {
			return apierror.New(apierror.PreconditionFailed, "read the list again; to create it, send 'If-None-Match: *'", "%s %s does not exist any more", kind, name)
		}
		return conflict(kind, name, o.Version)
	case errors.Is(err, objectstore.ErrNotFound):
		return notFound(kind, name)
	case errors.Is(err, objectstore.ErrTooLarge):
		return apierror.New(apierror.TooLarge, "split the object; the platform takes at most 1 MiB", "%s %s is too large", kind, name)
	case errors.Is(err, objectstore.ErrThrottled):
		return apierror.New(apierror.Overloaded, "wait a few seconds and retry", "the platform limits the rate; nothing was written")
	case lost(err):
		return unavailable(apierror.NotExecuted, "it can't be read")
	}
	return err
}

func conflict(kind, name string, version uint64) error {
	return apierror.New(apierror.PreconditionFailed, "read it again, repeat your change on the newer version, and send that version in If-Match",
		"%s %s has the newer version %d", kind, name, version)
}

func notFound(kind, name string) error {
	return apierror.New(apierror.NotFound, "check the name, or create it first", "%s %s does not exist", kind, name)
}

func unavailable(run apierror.Execution, what string) error {
	return apierror.New(apierror.Unavailable, "wait until the platform is back, read the object, and repeat the call if it is unchanged",
		"the platform does not answer: %s", what).WithExecution(run)
}

// errUnchanged is returned by an edit that finds nothing to do.
var errUnchanged = errors.New("admin: nothing to change")

// edit changes an object by reading and writing it conditionally until no other writer comes between. change must be repeatable:
// after a lost answer it runs again on what the platform has, and returns errUnchanged when its change is in. It returns the
// version with the change.
func edit[T any](ctx context.Context, s *Server, kind, name string, create bool, change func(*T) error) (uint64, error) {
	sent := false
	for range editTries {
		v := new(T)
		o, err := s.Store.Get(ctx, kind, name)
		if sent && lost(err) {
			return 0, unavailable(apierror.ExecutionUnknown, "the change may have taken effect")
		}
		if err != nil && !(create && errors.Is(err, objectstore.ErrNotFound)) {
			return 0, s.explain(ctx, kind, name, err)
		}
		if err == nil {
			if err := json.Unmarshal(o.Data, v); err != nil {
				return 0, apierror.New(apierror.Conflict, "write a correct version of the object first", "%s %s can't be parsed: %v", kind, name, err)
			}
			if set, ok := any(v).(*apitypes.KeySet); ok && len(set.Validate()) > 0 {
				return 0, apierror.New(apierror.Conflict, "write a correct version of the object first", "%s %s holds an impossible value: %v",
					kind, name, set.Validate()[0])
			}
		}
		if err := change(v); errors.Is(err, errUnchanged) {
			return o.Version, nil
		} else if err != nil {
			return 0, err
		}
		data, err := json.Marshal(v)
		if err != nil {
			return 0, err
		}
		version, err := s.Store.Put(ctx, kind, name, data, o.Version)
		if err == nil {
			return version, nil
		}
		sent = sent || lost(err)
		if !errors.Is(err, objectstore.ErrConflict) && !lost(err) {
			return 0, s.explain(ctx, kind, name, err)
		}
	}
	return 0, apierror.New(apierror.Conflict, "retry later", "others keep changing %s %s, or the platform loses answers", kind, name).WithExecution(apierror.ExecutionUnknown)
}

// confirmation counts gateways that have a change in force.
type confirmation struct {
	Confirmed int `json:"confirmed"`
	Gateways  int `json:"gateways"`
}

func (c confirmation) majority() bool { return 2*c.Confirmed > c.Gateways }

// confirm waits until a majority of the live gateways has a version of an object in force, or a time limit. Version 0 stands for a
// deletion. A gateway whose last version of the object is newer counts as well.
func (s *Server) confirm(ctx context.Context, kind, name string, version uint64) confirmation {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	pending := s.Members.Live()
	c := confirmation{Gateways: len(pending)}
	for {
		pending = s.unconfirmed(ctx, pending, kind, name, version)
		c.Confirmed = c.Gateways - len(pending)
		if c.majority() {
			return c
		}
		select {
		case <-ctx.Done():
			return c
		case <-time.After(confirmPeriod):
		}
	}
}

// unconfirmed asks gateways at once and returns those that don't have the version.
func (s *Server) unconfirmed(ctx context.Context, vms []apitypes.VM, kind, name string, version uint64) []apitypes.VM {
	answers := make([]bool, len(vms))
	s.each(ctx, vms, func(ctx context.Context, i int, g peerpb.GatewayClient) {
		st, err := g.GetStatus(ctx, &peerpb.StatusRequest{Kind: kind, Name: name})
		answers[i] = err == nil && (version > 0 && st.ObjectVersion >= version || version == 0 && st.ObjectVersion == 0 && st.Revision > 0)
	})
	var left []apitypes.VM
	for i, vm := range vms {
		if !answers[i] {
			left = append(left, vm)
		}
	}
	return left
}
