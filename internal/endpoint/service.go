package endpoint

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/eventstream"
)

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Method string
	// URI is the path, with its leading slash, and the query.
	URI       string
	Header    http.Header
	Body      []byte
	RequestID string
	// Idempotent calls are sent over pooled connections, on which the transport may repeat them.
	Idempotent bool
	// SendBefore is the deadline for sending the first byte of a call that is not idempotent. Zero means no deadline.
	SendBefore time.Time
}

// ServiceAnswer is the complete response of a plain service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// CallService sends a call to a plain service and reads its complete response, which must echo the request id. An error status is returned
// as a response, not as an error.
func (c *Client) CallService(ctx context.Context, addr string, call ServiceCall) (*ServiceAnswer, error) {
	op := call.Method
	var guard *sendGuard
	if !call.SendBefore.IsZero() {
		guard = &sendGuard{deadline: call.SendBefore}
		ctx = context.WithValue(ctx, sendGuardKey{}, guard)
	}
	req, err := newRequest(ctx, call.Method, addr, op, call.URI, call.Body)
	if err != nil {
		return nil, err
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	req.Header.Set(requestIDHeader, call.RequestID)
	hc := c.unpooled
	if call.Idempotent {
		hc = c.pooled
	}
	resp, err := c.do(hc, req, addr, op)
	if e := AsError(err); e != nil && guard != nil && !call.Idempotent && !guard.wrote.Load() {
		// No byte was written to the connection, so the call was not sent.
		e.MaybeSent = false
	}
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := c.readBody(addr, resp.Body)
	if err != nil {
		e := &Error{Addr: addr, Op: op, Reason: Interrupted, MaybeSent: true, Err: err}
		if cause := context.Cause(ctx); cause != nil {
			e.Reason, e.Err = Cancelled, cause
		}
		return nil, e
	}
	if resp.Header.Get(requestIDHeader) != call.RequestID {
		return nil, &Error{Addr: addr, Op: op, Reason: WrongRequest, MaybeSent: true, Err: errors.New("response does not echo the request id")}
	}
	if eventstream.IsBrokenOff(resp.Header, body) {
		return nil, &Error{Addr: addr, Op: op, Reason: Interrupted, MaybeSent: true, Err: errors.New("stream ended inside an event; check the endpoint")}
	}
	return &ServiceAnswer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
