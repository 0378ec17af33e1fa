package endpoint

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// ErrStaleFence is wrapped by the error that SendOrder returns when an engine refuses the fencing token of an order.
var ErrStaleFence = errors.New("the order's fencing token is stale; the order had no effect")

// ControlState is the control state that an engine reports.
type ControlState struct {
	FencingToken uint64        `json:"fence"`
	ChecksFence  bool          `json:"checks_fence"`
	Role         apitypes.Role `json:"role"`
	Model        string        `json:"model"`
	Version      string        `json:"version"`
	Adapters     []string      `json:"adapters"`
	LastOrderID  string        `json:"last_order_id"`
	Changing     bool          `json:"changing"`
}

// LookupState is the state of a request at an endpoint.
type LookupState string

const (
	LookupDone    LookupState = "done"
	LookupRunning LookupState = "running"
	LookupUnknown LookupState = "unknown"
)

// Lookup is the outcome of a request as its endpoint reports it.
type Lookup struct {
	State  LookupState `json:"state"`
	Status int         `json:"status"`
	Body   string      `json:"body"`
	// Instance identifies a run of the endpoint and changes when it restarts. A restarted endpoint may no longer know the request.
	Instance string `json:"instance"`
}

// ContentType returns the content type of the body, inferred from its text because a lookup carries no headers.
func (l Lookup) ContentType() string {
	if json.Valid([]byte(l.Body)) {
		return "application/json"
	}
	return "text/plain; charset=utf-8"
}

// CacheEvent is a change of an engine's prefix cache: the hashes of the blocks that were stored and removed.
type CacheEvent struct {
	Seq     uint64   `json:"seq"`
	Stored  []uint64 `json:"stored"`
	Removed []uint64 `json:"removed"`
}

// callJSON sends a call that is bounded by ControlTimeout and decodes its response into out. A nil out discards the response.
func (c *Client) callJSON(ctx context.Context, method, addr, uri string, in, out any) error {
	w := newWatchdog(ctx, c.opts.ControlTimeout)
	defer w.stop()
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return &Error{Addr: addr, Op: uri, Reason: Invalid, Err: err}
		}
	}
	req, err := newRequest(w.ctx, method, addr, uri, uri, body)
	if err != nil {
		return err
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.do(c.pooled, req, addr, uri)
	if err != nil {
		return err
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return statusError(resp, addr, uri)
	}
	defer resp.Body.Close()
	respBody, err := c.readBody(addr, resp.Body)
	if err != nil {
		return w.readError(addr, uri, err)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(respBody, out); err != nil {
		return &Error{Addr: addr, Op: uri, Reason: Invalid, MaybeSent: true, Err: err}
	}
	return nil
}

// Cancel stops a request at an engine.
func (c *Client) Cancel(ctx context.Context, addr, requestID string) error {
	return c.callJSON(ctx, http.MethodDelete, addr, "/v1/requests/"+url.PathEscape(requestID), nil, nil)
}

// Load returns an endpoint's load report.
func (c *Client) Load(ctx context.Context, addr string) (apitypes.Load, error) {
	var load apitypes.Load
	err := c.callJSON(ctx, http.MethodGet, addr, "/v1/load", nil, &load)
	return load, err
}

// Lookup returns the outcome of a request at an endpoint. An endpoint without lookups responds with an error status.
func (c *Client) Lookup(ctx context.Context, addr, requestID string) (Lookup, error) {
	var l Lookup
	err := c.callJSON(ctx, http.MethodGet, addr, "/v1/requests/"+url.PathEscape(requestID), nil, &l)
	return l, err
}

// ControlState returns the control state of an engine.
func (c *Client) ControlState(ctx context.Context, addr string) (ControlState, error) {
	var s ControlState
	err := c.callJSON(ctx, http.MethodGet, addr, "/v1/control/state", nil, &s)
	return s, err
}

// SendOrder sends an order to an engine. The error wraps ErrStaleFence when the engine refused the fencing token of the order.
func (c *Client) SendOrder(ctx context.Context, addr string, o apitypes.Order) error {
	err := c.callJSON(ctx, http.MethodPost, addr, "/v1/control/orders", o, nil)
	if e := AsError(err); e != nil && e.Reason == Refused && e.Status == http.StatusConflict {
		e.Err = ErrStaleFence
	}
	return err
}

// CacheEvents calls handle for each cache event until the stream breaks, ctx ends or handle returns an error. Events can be delayed,
// and lost events show as gaps in Seq.
func (c *Client) CacheEvents(ctx context.Context, addr string, handle func(CacheEvent) error) error {
	const op = "/v1/cache/events"
	req, err := newRequest(ctx, http.MethodGet, addr, op, op, nil)
	if err != nil {
		return err
	}
	resp, err := c.do(c.pooled, req, addr, op)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp, addr, op)
	}
	defer resp.Body.Close()
	reservation := c.buffers.Reserve(addr)
	defer reservation.Release()
	lines := newEventScanner(&lineReader{src: resp.Body, buffers: reservation}, c.opts.MaxAnswerBytes)
	for {
		data, err := nextEventData(lines)
		if err != nil {
			return &Error{Addr: addr, Op: op, Reason: Interrupted, MaybeSent: true, Err: err}
		}
		var e CacheEvent
		if err := json.Unmarshal(data, &e); err != nil {
			return &Error{Addr: addr, Op: op, Reason: Invalid, MaybeSent: true, Err: err}
		}
		if err := handle(e); err != nil {
			return err
		}
	}
}
