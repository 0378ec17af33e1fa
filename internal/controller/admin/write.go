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
	// maxEditAttempts bounds the attempts at a change that is applied again after each conflict.
	maxEditAttempts = 8
	// confirmPollPeriod is the delay between two status calls to the gateways that have not confirmed a change.
	confirmPollPeriod = 200 * time.Millisecond
	// confirmTimeout bounds the wait for a majority. A connected gateway applies a change within 2 s, and a disconnected one stops
	// admitting requests with a key after 5 s.
	confirmTimeout = 6 * time.Second
	// statusTimeout bounds one call to a gateway or a controller.
	statusTimeout = time.Second
)

// responseLost reports whether err means that the platform's response was lost, so that a write may or may not have taken effect.
func responseLost(err error) bool {
	return errors.Is(err, objectstore.ErrUnavailable) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// writeObject writes an object conditionally and returns its new version. After a lost response it repeats the same conditional
// write, which can take effect only once. A conflict then means that an earlier attempt or another operator's write took effect;
// the data of the stored object distinguishes the two.
func (s *Server) writeObject(ctx context.Context, kind, name string, data []byte, expected uint64) (uint64, error) {
	for attempt := range maxLostResponseAttempts {
		version, err := s.Store.Put(ctx, kind, name, data, expected)
		switch {
		case err == nil:
			return version, nil
		case responseLost(err):
			ctxtime.Sleep(ctx, lostResponseRetryDelay)
			continue
		case attempt == 0 || !errors.Is(err, objectstore.ErrConflict):
			return 0, s.storeError(ctx, kind, name, err)
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
	// maxLostResponseAttempts bounds the attempts at one conditional call whose responses are lost; lostResponseRetryDelay is the
	// delay between them.
	maxLostResponseAttempts = 3
	lostResponseRetryDelay  = 200 * time.Millisecond
)

// sameJSON reports whether two JSON texts differ at most in white space.
func sameJSON(a, b []byte) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}

// deleteObject deletes an object conditionally. After a lost response it repeats the deletion; an object that does not exist then
// means success.
func (s *Server) deleteObject(ctx context.Context, kind, name string, expected uint64) error {
	for attempt := range maxLostResponseAttempts {
		err := s.Store.Delete(ctx, kind, name, expected)
		if responseLost(err) {
			ctxtime.Sleep(ctx, lostResponseRetryDelay)
			continue
		}
		if attempt > 0 && errors.Is(err, objectstore.ErrNotFound) {
			return nil
		}
		return s.storeError(ctx, kind, name, err)
	}
	return unavailable(apierror.ExecutionUnknown, "the deletion may have taken effect")
}

// storeError returns the *apierror.Error for an error of the platform. The error for a conflict names the newer version.
func (s *Server) storeError(ctx context.Context, kind, name string, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, objectstore.ErrConflict):
		o, readErr := s.Store.Get(ctx, kind, name)
		if errors.Is(readErr, objectstore.ErrNotFound) {
			return apierror.New(apierror.PreconditionFailed, "read the list again; to create it, send 'If-None-Match: *'", "%s %s no longer exists", kind, name)
		}
		return conflict(kind, name, o.Version)
	case errors.Is(err, objectstore.ErrNotFound):
		return notFound(kind, name)
	case errors.Is(err, objectstore.ErrTooLarge):
		return apierror.New(apierror.TooLarge, "split the object; the platform accepts at most 1 MiB", "%s %s is too large", kind, name)
	case errors.Is(err, objectstore.ErrThrottled):
		return apierror.New(apierror.Overloaded, "wait a few seconds and retry", "the platform throttled the call; nothing was written")
	case responseLost(err):
		return unavailable(apierror.NotExecuted, "the object can't be read")
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

func unavailable(execution apierror.Execution, consequence string) error {
	return apierror.New(apierror.Unavailable, "wait until the platform responds again, read the object, and repeat the call if it is unchanged",
		"the platform does not respond: %s", consequence).WithExecution(execution)
}

// errUnchanged is returned by the change function of an edit when there is nothing to change.
var errUnchanged = errors.New("admin: nothing to change")

// editObject reads an object, applies change and writes the object conditionally, and repeats this after a conflict with another
// writer. It returns the version with the change. With create, a missing object starts as the zero value. change must be
// repeatable: after a lost response it runs again on the stored object and returns errUnchanged when its change took effect.
func editObject[T any](ctx context.Context, s *Server, kind, name string, create bool, change func(*T) error) (uint64, error) {
	maybeWritten := false
	for range maxEditAttempts {
		v := new(T)
		o, err := s.Store.Get(ctx, kind, name)
		if maybeWritten && responseLost(err) {
			return 0, unavailable(apierror.ExecutionUnknown, "the change may have taken effect")
		}
		if err != nil && !(create && errors.Is(err, objectstore.ErrNotFound)) {
			return 0, s.storeError(ctx, kind, name, err)
		}
		if err == nil {
			if err := json.Unmarshal(o.Data, v); err != nil {
				return 0, apierror.New(apierror.Conflict, "write a correct version of the object first", "%s %s can't be parsed: %v", kind, name, err)
			}
			if set, ok := any(v).(*apitypes.KeySet); ok && len(set.Validate()) > 0 {
				return 0, apierror.New(apierror.Conflict, "write a correct version of the object first", "%s %s holds an invalid value: %v",
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
		maybeWritten = maybeWritten || responseLost(err)
		if !errors.Is(err, objectstore.ErrConflict) && !responseLost(err) {
			return 0, s.storeError(ctx, kind, name, err)
		}
	}
	return 0, apierror.New(apierror.Conflict, "retry later", "concurrent writers kept changing %s %s, or the platform's responses were lost", kind, name).WithExecution(apierror.ExecutionUnknown)
}

// confirmation counts the live gateways and those of them that have a change in force.
type confirmation struct {
	Confirmed int `json:"confirmed"`
	Gateways  int `json:"gateways"`
}

func (c confirmation) majority() bool { return 2*c.Confirmed > c.Gateways }

// confirm waits until a majority of the live gateways has a version of an object in force, for confirmTimeout at most. Version 0
// stands for a deletion. A gateway with a newer version of the object counts as well.
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
		case <-time.After(confirmPollPeriod):
		}
	}
}

// unconfirmed calls the gateways of some VMs concurrently and returns the VMs whose gateways don't have the version in force.
func (s *Server) unconfirmed(ctx context.Context, vms []apitypes.VM, kind, name string, version uint64) []apitypes.VM {
	confirmed := make([]bool, len(vms))
	s.eachGateway(ctx, vms, func(ctx context.Context, i int, g peerpb.GatewayClient) {
		st, err := g.GetStatus(ctx, &peerpb.StatusRequest{Kind: kind, Name: name})
		confirmed[i] = err == nil && (version > 0 && st.ObjectVersion >= version || version == 0 && st.ObjectVersion == 0 && st.Revision > 0)
	})
	var pending []apitypes.VM
	for i, vm := range vms {
		if !confirmed[i] {
			pending = append(pending, vm)
		}
	}
	return pending
}
