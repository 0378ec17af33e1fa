// Package endpoint holds the clients for model engines and for plain services, which are HTTP services without engines.
//
// Every call returns its errors as *Error, with the reason and whether any byte of the request may have left this process. Callers use
// that to decide whether they may report that the request did not run.
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
	"crocusglade.example/crocusglade/internal/buffer"
	"crocusglade.example/crocusglade/internal/httpresponse"
	"crocusglade.example/crocusglade/internal/netdial"
	"crocusglade.example/crocusglade/internal/retryafter"
)

// DefaultDialTimeout bounds the time to open a connection when Options has no DialContext.
const DefaultDialTimeout = time.Second

// Defaults of Options, and limits that Options can't change.
const (
	defaultFirstTokenWait   = 60 * time.Second
	defaultTokenWait        = 10 * time.Second
	defaultUnaryWait        = 10 * time.Minute
	defaultControlTimeout   = 5 * time.Second
	defaultMaxResponseBytes = 16 << 20
	maxIdlePerEndpoint      = 64
	maxErrorBodyBytes       = 8 << 10
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10
)

// requestIDHeader carries the request id to endpoints and back.
const requestIDHeader = "X-Request-Id"

// Reason classifies the failure of a call.
type Reason string

const (
	// Unreachable: no connection could be made.
	Unreachable Reason = "unreachable"
	// Refused: the endpoint responded with an error status.
	Refused Reason = "refused"
	// Interrupted: the connection broke, or the response ended without its end marker.
	Interrupted Reason = "cut"
	// Stalled: the endpoint sent no data within the time limit.
	Stalled Reason = "stalled"
	// Invalid: the response does not follow the protocol.
	Invalid Reason = "invalid"
	// WrongRequest: the response carries the id of another request or no id.
	WrongRequest Reason = "crossed"
	// Cancelled: the caller's context ended.
	Cancelled Reason = "cancelled"
)

// Error is the error of every call in this package.
type Error struct {
	Addr   string
	Op     string
	Reason Reason
	// MaybeSent is true when a byte of the request may have been sent to the endpoint.
	MaybeSent bool
	// Status and Body hold the endpoint's response when Reason is Refused. Body is truncated to 8 KiB.
	Status int
	Body   []byte
	// Pause is how long the endpoint wants nothing from this process, when it refused with 503 and said so.
	Pause time.Duration
	Err   error
}

// Error returns the endpoint, the operation and the cause in one line.
func (e *Error) Error() string {
	if e.Reason == Refused {
		return fmt.Sprintf("endpoint %s: %s refused with status %d", e.Addr, e.Op, e.Status)
	}
	return fmt.Sprintf("endpoint %s: %s %s: %v", e.Addr, e.Op, e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// SuggestsCrash reports whether the endpoint may have crashed: the connection broke after the request was sent.
func (e *Error) SuggestsCrash() bool { return e.MaybeSent && e.Reason == Interrupted }

// PauseOf returns the pause that the endpoint asked for in a response or an error.
func PauseOf(response *ServiceAnswer, err error) time.Duration {
	if e := AsError(err); e != nil {
		return e.Pause
	}
	if response == nil {
		return 0
	}
	return pauseOf(response.Status, response.Header)
}

// AsError returns the *Error in err's chain, or nil.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// Options configures a Client. Zero fields take defaults.
type Options struct {
	// DialContext opens connections; controllers pass one that is bound to their authority.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
	// TLS holds the certificates for endpoints whose address begins with https://. Nil means the system's certificate authorities and no
	// client certificate.
	TLS *auth.TLS
	// FirstTokenWait bounds the time to the first chunk of a stream, TokenWait the time between two chunks.
	FirstTokenWait time.Duration
	TokenWait      time.Duration
	// UnaryWait bounds the time to the complete response when it is not streamed, since such a response shows no progress before its end.
	UnaryWait time.Duration
	// ControlTimeout bounds calls for load reports, lookups, control and cancellation.
	ControlTimeout time.Duration
	// MaxAnswerBytes bounds the size of a complete response and of one event of a stream.
	MaxAnswerBytes int64
	// MaxBufferedBytes bounds the memory of all responses and events that are being read. One endpoint may occupy half of it.
	MaxBufferedBytes int64
}

// Client calls engines and plain services. Its methods may be called concurrently.
type Client struct {
	opts    Options
	buffers *buffer.Memory
	// pooled reuses connections. The transport may send a request again when a reused connection turns out to be closed, so this client
	// is only for requests that may run more than once.
	pooled *http.Client
	// unpooled opens a connection for each request, so the transport never repeats one.
	unpooled *http.Client
}

// New returns a client.
func New(o Options) *Client {
	if o.DialContext == nil {
		o.DialContext = (&net.Dialer{Timeout: DefaultDialTimeout}).DialContext
	}
	setDefault(&o.FirstTokenWait, defaultFirstTokenWait)
	setDefault(&o.TokenWait, defaultTokenWait)
	setDefault(&o.UnaryWait, defaultUnaryWait)
	setDefault(&o.ControlTimeout, defaultControlTimeout)
	if o.MaxAnswerBytes == 0 {
		o.MaxAnswerBytes = defaultMaxResponseBytes
	}
	if o.MaxBufferedBytes == 0 {
		o.MaxBufferedBytes = buffer.DefaultMax
	}
	o.DialContext = netdial.DetectResets(o.DialContext)
	dialTLS := o.TLS.DialTLS(o.DialContext)
	// The guard wraps the TLS connection, so that it sees the bytes of the call and not those of the handshake.
	return &Client{opts: o, buffers: buffer.NewMemory(o.MaxBufferedBytes), pooled: newHTTPClient(o.DialContext, dialTLS, false),
		unpooled: newHTTPClient(guardDial(o.DialContext), guardDial(dialTLS), true)}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func newHTTPClient(dial, dialTLS auth.DialFunc, oneRequestPerConnection bool) *http.Client {
	return &http.Client{
		Transport: httpresponse.NewTransport(&http.Transport{
			DialContext:            dial,
			DialTLSContext:         dialTLS,
			MaxIdleConnsPerHost:    maxIdlePerEndpoint,
			IdleConnTimeout:        90 * time.Second,
			DisableCompression:     true,
			DisableKeepAlives:      oneRequestPerConnection,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}),
		// A redirect would send the request to an address that no operator has configured.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// newRequest creates a request to an endpoint. It returns an error for an address without TLS outside loopback, whether the address came
// from the configuration or from the provider.
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

// do sends a request and returns the response, whatever its status. MaybeSent in an error is false only when no connection was made or the
// endpoint rejected the certificate.
func (c *Client) do(hc *http.Client, req *http.Request, addr, op string) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := hc.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, nil
	}
	e := &Error{Addr: addr, Op: op, Reason: Unreachable, MaybeSent: connected.Load() && !auth.IsCertificateRejected(err), Err: err}
	switch {
	case errors.Is(err, httpresponse.ErrInvalid):
		e.Reason = Invalid
	case e.MaybeSent:
		e.Reason = Interrupted
	}
	if cause := context.Cause(req.Context()); cause != nil {
		e.Reason, e.Err = reasonOf(cause), cause
	}
	return nil, e
}

// errStalled is the cancellation cause of a call whose endpoint sent no data in time.
var errStalled = errors.New("no data within the time limit; check the endpoint's load")

func reasonOf(cause error) Reason {
	if errors.Is(cause, errStalled) {
		return Stalled
	}
	return Cancelled
}

// statusError reads and closes a response with an error status and returns it as an error.
func statusError(resp *http.Response, addr, op string) *Error {
	defer resp.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	return &Error{Addr: addr, Op: op, Reason: Refused, MaybeSent: true, Status: resp.StatusCode, Body: body, Pause: pauseOf(resp.StatusCode, resp.Header)}
}

// pauseOf returns the pause that a response asks for, 0 if it asks for none or for an invalid time.
func pauseOf(status int, h http.Header) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	d, _ := retryafter.Parse(h.Get(retryafter.Header))
	return d
}

// watchdog cancels a context with errStalled unless it is reset in time.
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

// readError returns the error of a failed read of a response. The reason depends on whether the context was cancelled.
func (w *watchdog) readError(addr, op string, err error) *Error {
	e := &Error{Addr: addr, Op: op, Reason: Interrupted, MaybeSent: true, Err: err}
	if cause := context.Cause(w.ctx); cause != nil {
		e.Reason, e.Err = reasonOf(cause), cause
	}
	return e
}
