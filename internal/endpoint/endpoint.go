// Package endpoint holds the clients for model engines and plain services.
//
// Every error of a call is an *Error. It says what went wrong and whether any byte of the request may have left this
// process, which decides whether a refusal may claim that the request did not run.
package endpoint

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/auth"
)

// DefaultDialTimeout bounds the set-up of a connection when Options has no DialContext.
const DefaultDialTimeout = time.Second

// Defaults of Options.
const (
	defaultFirstTokenWait = 60 * time.Second
	defaultTokenWait      = 10 * time.Second
	defaultWholeWait      = 10 * time.Minute
	defaultControlTimeout = 5 * time.Second
	defaultMaxAnswerBytes = 16 << 20
	maxIdlePerEndpoint    = 64
	maxErrorBytes         = 8 << 10
)

// requestIDHeader carries the request id to endpoints and back.
const requestIDHeader = "X-Request-Id"

// Reason tells what went wrong in a call.
type Reason string

const (
	// Unreachable: no connection could be made.
	Unreachable Reason = "unreachable"
	// Refused: the endpoint answered with an error status.
	Refused Reason = "refused"
	// Interrupted: the connection broke, or the answer ended without its end marker.
	Interrupted Reason = "cut"
	// Stalled: the endpoint sent nothing for too long.
	Stalled Reason = "stalled"
	// Invalid: the answer does not follow the protocol.
	Invalid Reason = "invalid"
	// WrongRequest: the answer belongs to another request or names none.
	WrongRequest Reason = "crossed"
	// Cancelled: the caller's context ended.
	Cancelled Reason = "cancelled"
)

// Error is the error of every call in this package.
type Error struct {
	Addr   string
	Op     string
	Reason Reason
	// MaybeSent is true when a byte of the request may have left for the endpoint.
	MaybeSent bool
	// Status and Body hold the endpoint's answer when Reason is Refused. Body is cut at 8 KiB.
	Status int
	Body   []byte
	Err    error
}

// Error returns operation, endpoint and cause in one line.
func (e *Error) Error() string {
	if e.Reason == Refused {
		return fmt.Sprintf("endpoint %s: %s refused with status %d", e.Addr, e.Op, e.Status)
	}
	return fmt.Sprintf("endpoint %s: %s %s: %v", e.Addr, e.Op, e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// SuggestsCrash tells whether the error suggests that the endpoint crashed: the connection broke after the request was sent.
func (e *Error) SuggestsCrash() bool { return e.MaybeSent && e.Reason == Interrupted }

// AsError returns the *Error in err's chain, or nil.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// Options sets up a Client. Zero fields take defaults.
type Options struct {
	// DialContext opens connections; controllers pass one that is bound to their authority.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
	// TLS is the identity towards endpoints whose address begins with https://; nil means the system's authorities and no client
	// certificate.
	TLS *auth.TLS
	// FirstTokenWait bounds the wait for the start of an answer, TokenWait the wait between two chunks of a stream.
	FirstTokenWait time.Duration
	TokenWait      time.Duration
	// UnaryWait bounds the wait for an answer that is not streamed, which shows no progress before its end.
	UnaryWait time.Duration
	// ControlTimeout bounds load reports, lookups, control calls and cancels.
	ControlTimeout time.Duration
	// MaxAnswerBytes bounds a whole answer and one event of a stream.
	MaxAnswerBytes int64
}

// Client calls engines and plain services. Its methods may be called concurrently.
type Client struct {
	opts Options
	// pooled reuses connections. The transport may send a request again when a reused connection turns out to be
	// closed, so it serves only requests that may be repeated.
	pooled *http.Client
	// once opens a connection for each request, which rules out that repetition.
	once *http.Client
}

// New returns a client.
func New(o Options) *Client {
	if o.DialContext == nil {
		o.DialContext = (&net.Dialer{Timeout: DefaultDialTimeout}).DialContext
	}
	setDefault(&o.FirstTokenWait, defaultFirstTokenWait)
	setDefault(&o.TokenWait, defaultTokenWait)
	setDefault(&o.UnaryWait, defaultWholeWait)
	setDefault(&o.ControlTimeout, defaultControlTimeout)
	if o.MaxAnswerBytes == 0 {
		o.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	dialTLS := o.TLS.DialTLS(o.DialContext)
	// The guard stands above TLS, so that it counts bytes of the call and not those of the handshake.
	return &Client{opts: o, pooled: newHTTPClient(o.DialContext, dialTLS, false),
		once: newHTTPClient(guardDial(o.DialContext), guardDial(dialTLS), true)}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func newHTTPClient(dial, dialTLS auth.DialFunc, oneRequestPerConnection bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			DialTLSContext:      dialTLS,
			MaxIdleConnsPerHost: maxIdlePerEndpoint,
			IdleConnTimeout:     90 * time.Second,
			DisableCompression:  true,
			DisableKeepAlives:   oneRequestPerConnection,
		},
		// A redirect would carry the request to an address that no operator has listed.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close drops idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.once.CloseIdleConnections()
}

// newRequest makes a request to an endpoint. It refuses plain TCP outside loopback, whoever gave the address.
func newRequest(ctx context.Context, method, addr, op, uri string, body []byte) (*http.Request, error) {
	url, err := apitypes.EndpointURL(addr, uri)
	if err != nil {
		return nil, &Error{Addr: addr, Op: op, Reason: Unreachable, Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Addr: addr, Op: op, Reason: Unreachable, Err: err}
	}
	return req, nil
}

// do sends a request and returns the answer with any status. MaybeSent in an error is false only when no connection was made, or the
// endpoint refused the certificate.
func (c *Client) do(hc *http.Client, req *http.Request, addr, op string) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := hc.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, nil
	}
	e := &Error{Addr: addr, Op: op, Reason: Unreachable, MaybeSent: connected.Load() && !auth.IsCertificateRejected(err), Err: err}
	if e.MaybeSent {
		e.Reason = Interrupted
	}
	if cause := context.Cause(req.Context()); cause != nil {
		e.Reason, e.Err = reasonOf(cause), cause
	}
	return nil, e
}

// errStalled ends the context of a call whose endpoint sends nothing.
var errStalled = errors.New("no data within the time limit; check the endpoint's load")

func reasonOf(cause error) Reason {
	if errors.Is(cause, errStalled) {
		return Stalled
	}
	return Cancelled
}

// refusal reads an answer with an error status.
func refusal(resp *http.Response, addr, op string) *Error {
	defer resp.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	return &Error{Addr: addr, Op: op, Reason: Refused, MaybeSent: true, Status: resp.StatusCode, Body: body}
}

// watchdog ends a context when it is not reset in time.
type watchdog struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

func newWatchdog(parent context.Context, d time.Duration) *watchdog {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watchdog{ctx: ctx, cancel: cancel}
	w.timer = time.AfterFunc(d, func() { cancel(errStalled) })
	return w
}

func (w *watchdog) reset(d time.Duration) { w.timer.Reset(d) }

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(context.Canceled)
}

// readError describes a failure to read an answer.
func (w *watchdog) readError(addr, op string, err error) *Error {
	e := &Error{Addr: addr, Op: op, Reason: Interrupted, MaybeSent: true, Err: err}
	if cause := context.Cause(w.ctx); cause != nil {
		e.Reason, e.Err = reasonOf(cause), cause
	}
	return e
}
