package endpoint

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Method string
	// URI is the path with the query, from the slash on.
	URI       string
	Header    http.Header
	Body      []byte
	RequestID string
	// Idempotent calls may be sent over a reused connection, where the transport may repeat them.
	Idempotent bool
	// SendBefore, when set, is the time after which a call that is not idempotent must not be sent any more.
	SendBefore time.Time
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// CallService sends a call to a plain service and reads its whole answer, which must echo the request id. Any status is an answer.
func (c *Client) CallService(ctx context.Context, addr string, call ServiceCall) (*ServiceAnswer, error) {
	op := call.Method
	var guard *sendGuard
	if !call.SendBefore.IsZero() {
		guard = &sendGuard{before: call.SendBefore}
		ctx = context.WithValue(ctx, guardKey{}, guard)
	}
	req, err := newRequest(ctx, call.Method, addr, op, call.URI, call.Body)
	if err != nil {
		return nil, err
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	req.Header.Set(requestIDHeader, call.RequestID)
	hc := c.once
	if call.Idempotent {
		hc = c.pooled
	}
	resp, err := c.do(hc, req, addr, op)
	if e := AsError(err); e != nil && guard != nil && !call.Idempotent && !guard.wrote.Load() {
		// The connection took no byte, so the call can't have left.
		e.MaybeSent = false
	}
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := c.readWhole(resp.Body)
	if err != nil {
		e := &Error{Addr: addr, Op: op, Reason: Interrupted, MaybeSent: true, Err: err}
		if cause := context.Cause(ctx); cause != nil {
			e.Reason, e.Err = Cancelled, cause
		}
		return nil, e
	}
	if resp.Header.Get(requestIDHeader) != call.RequestID {
		return nil, &Error{Addr: addr, Op: op, Reason: WrongRequest, MaybeSent: true, Err: errors.New("the answer does not echo the request id")}
	}
	return &ServiceAnswer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
