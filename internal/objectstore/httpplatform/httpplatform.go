// Package httpplatform is the client of the platform's HTTP and JSON API. It implements objectstore.Store, Provider, UsageSink
// and VMLister.
//
// The client never retries a call. A write whose response is lost, times out or can't be decoded returns
// objectstore.ErrUnavailable: it may have taken effect, and only the caller can recognise its own write. Callers retry, with
// Backoff.
package httpplatform

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/httpresponse"
	"crocusglade.example/crocusglade/internal/netdial"
	"crocusglade.example/crocusglade/internal/objectstore"
)

const (
	// DefaultTimeout bounds one call. It is below the lease margin, so that a lease renewal that hangs can be retried in time.
	DefaultTimeout = 1500 * time.Millisecond
	// DefaultDialTimeout bounds the TCP connect and the TLS handshake, each.
	DefaultDialTimeout = 500 * time.Millisecond
	// DefaultRate (calls per second) and DefaultBurst (calls) limit one process. With four VMs and two processes on each, 50
	// calls per second per process stay below the several hundred writes per second that the platform accepts.
	DefaultRate  = 50
	DefaultBurst = 50
	// DefaultWatchIdle is the time without an event or bookmark after which a watch ends. The platform sends a bookmark about
	// once a second.
	DefaultWatchIdle = 5 * time.Second

	maxIdleConnsPerHost = 8
	// maxErrorBytes bounds how much of an error response's body is included in the error message.
	maxErrorBytes = 512
)

// Options configures a Client. Zero fields take the Default constants.
type Options struct {
	Timeout     time.Duration
	DialTimeout time.Duration
	Rate        float64
	Burst       int
	WatchIdle   time.Duration
	// DialContext replaces the dialer, for connections that must close when a lease.Authority ends.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
	// TLS is the configuration for https; nil means the system's certificate authorities and no client certificate.
	TLS *tls.Config
}

// Client calls one platform. Its methods are safe for concurrent use.
type Client struct {
	baseURL   *url.URL
	http      *http.Client
	limiter   *rate.Limiter
	timeout   time.Duration
	watchIdle time.Duration

	mu sync.Mutex
	// cache holds the last response of each conditional read, by path and query.
	cache map[string]cachedResponse
}

// cachedResponse is a response body with its entity tag.
type cachedResponse struct {
	etag string
	body []byte
}

var (
	_ objectstore.Store     = (*Client)(nil)
	_ objectstore.Provider  = (*Client)(nil)
	_ objectstore.UsageSink = (*Client)(nil)
	_ objectstore.VMLister  = (*Client)(nil)
)

// New returns a client of the platform at base, such as "http://127.0.0.1:7000".
func New(base string, o Options) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, errors.Errorf("invalid platform URL %q; use one such as http://192.0.2.1:7000", base)
	}
	o = o.withDefaults()
	transport := &http.Transport{
		DialContext:           o.DialContext,
		TLSClientConfig:       o.TLS,
		MaxIdleConnsPerHost:   maxIdleConnsPerHost,
		IdleConnTimeout:       time.Minute,
		TLSHandshakeTimeout:   o.DialTimeout,
		ResponseHeaderTimeout: o.Timeout,
	}
	return &Client{
		baseURL:   u,
		http:      &http.Client{Transport: httpresponse.NewTransport(transport), CheckRedirect: noRedirect},
		limiter:   rate.NewLimiter(rate.Limit(o.Rate), o.Burst),
		timeout:   o.Timeout,
		watchIdle: o.WatchIdle,
		cache:     make(map[string]cachedResponse),
	}, nil
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.Rate <= 0 {
		o.Rate = DefaultRate
	}
	if o.Burst <= 0 {
		o.Burst = DefaultBurst
	}
	if o.WatchIdle <= 0 {
		o.WatchIdle = DefaultWatchIdle
	}
	if o.DialContext == nil {
		o.DialContext = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	o.DialContext = netdial.DetectResets(o.DialContext)
	return o
}

// noRedirect disables redirects, because net/http would send a write a second time to follow one. The transport itself
// retries PUT, POST and DELETE only when no byte of the first attempt was written, which is safe.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections. Calls in progress continue until they finish or their contexts end.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements objectstore.Store.
func (c *Client) Get(ctx context.Context, kind, name string) (apitypes.Object, error) {
	var o apitypes.Object
	err := c.call(ctx, request{method: http.MethodGet, path: objectPath(kind, name)}, &o)
	return o, err
}

// List implements objectstore.Store.
func (c *Client) List(ctx context.Context, kind string) ([]apitypes.Object, uint64, error) {
	var list struct {
		Revision uint64            `json:"revision"`
		Items    []apitypes.Object `json:"items"`
	}
	err := c.call(ctx, request{method: http.MethodGet, path: "/objects/" + url.PathEscape(kind)}, &list)
	return list.Items, list.Revision, err
}

// Put implements objectstore.Store.
func (c *Client) Put(ctx context.Context, kind, name string, data []byte, expected uint64) (uint64, error) {
	if len(data) > objectstore.MaxValueBytes {
		return 0, objectstore.ErrTooLarge
	}
	var written struct {
		Version uint64 `json:"version"`
	}
	err := c.call(ctx, request{method: http.MethodPut, path: objectPath(kind, name), body: data, expected: &expected}, &written)
	return written.Version, err
}

// Delete implements objectstore.Store.
func (c *Client) Delete(ctx context.Context, kind, name string, expected uint64) error {
	return c.call(ctx, request{method: http.MethodDelete, path: objectPath(kind, name), expected: &expected}, nil)
}

// ListVMs implements objectstore.VMLister.
func (c *Client) ListVMs(ctx context.Context) ([]apitypes.VM, error) {
	var list struct {
		VMs []apitypes.VM `json:"vms"`
	}
	err := c.call(ctx, request{method: http.MethodGet, path: "/vms", conditional: true}, &list)
	return list.VMs, err
}

type providerView struct {
	Version   uint64              `json:"version"`
	Endpoints []apitypes.Endpoint `json:"endpoints"`
}

// Endpoints implements objectstore.Provider.
func (c *Client) Endpoints(ctx context.Context, pool string) (objectstore.ProviderView, error) {
	var view providerView
	err := c.call(ctx, request{method: http.MethodGet, path: "/provider/endpoints", query: url.Values{"pool": {pool}},
		conditional: true}, &view)
	return objectstore.ProviderView(view), err
}

// PlaceOrder implements objectstore.Provider.
func (c *Client) PlaceOrder(ctx context.Context, pool string, o apitypes.Order, expected uint64) (objectstore.ProviderView, error) {
	body, err := json.Marshal(struct {
		apitypes.Order
		Pool string `json:"pool"`
	}{o, pool})
	if err != nil {
		return objectstore.ProviderView{}, errors.Wrap(err, "encode order")
	}
	var view providerView
	err = c.call(ctx, request{method: http.MethodPost, path: "/provider/orders", body: body, expected: &expected}, &view)
	return objectstore.ProviderView(view), err
}

// ReportWindow implements objectstore.UsageSink.
func (c *Client) ReportWindow(ctx context.Context, window apitypes.UsageWindow) error {
	body, err := json.Marshal(window)
	if err != nil {
		return errors.Wrap(err, "encode usage window")
	}
	return c.call(ctx, request{method: http.MethodPost, path: "/usage/windows/" + url.PathEscape(window.ID), body: body}, nil)
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// request is one API call. expected is nil for calls without a precondition.
type request struct {
	method, path string
	query        url.Values
	body         []byte
	expected     *uint64
	// conditional makes a read send the entity tag of the last response, and reuse that response when the platform replies 304
	// Not Modified. Without it, the lists that are read every few seconds exceed a node's traffic budget of 6 KB/s.
	conditional bool
}

func (q request) cacheKey() string { return q.path + "?" + q.query.Encode() }

// newRequest builds a call. A read is conditional on prev, the cached response that a 304 Not Modified would refer to.
func (c *Client) newRequest(ctx context.Context, q request, prev cachedResponse) (*http.Request, error) {
	target := strings.TrimSuffix(c.baseURL.String(), "/") + q.path
	if len(q.query) > 0 {
		target += "?" + q.query.Encode()
	}
	var body io.Reader
	if q.body != nil {
		body = bytes.NewReader(q.body)
	}
	r, err := http.NewRequestWithContext(ctx, q.method, target, body)
	if err != nil {
		return nil, errors.Wrap(err, "build platform request")
	}
	if q.body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	if prev.etag != "" {
		r.Header.Set("If-None-Match", prev.etag)
	}
	switch {
	case q.expected == nil:
	case *q.expected == 0 && q.method == http.MethodPut:
		r.Header.Set("If-None-Match", "*")
	default:
		r.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(*q.expected, 10)))
	}
	return r, nil
}

// call sends the request once and decodes the response into out, unless out is nil.
func (c *Client) call(ctx context.Context, q request, out any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return rateLimitError(ctx, err)
	}
	callCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	prev := c.cached(q)
	r, err := c.newRequest(callCtx, q, prev)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return transportError(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if q.conditional {
		return c.decodeConditional(ctx, q, prev, resp, out)
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	if out == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	} else {
		err = json.NewDecoder(resp.Body).Decode(out)
	}
	if err != nil {
		return transportError(ctx, err)
	}
	return nil
}

// cached returns the last response of a conditional read, or the zero value when there is none.
func (c *Client) cached(q request) cachedResponse {
	if !q.conditional {
		return cachedResponse{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cache[q.cacheKey()]
}

// decodeConditional decodes the response of a conditional read, or prev when the platform replies 304 Not Modified. The cache may hold
// the response to a later read by then.
func (c *Client) decodeConditional(ctx context.Context, q request, prev cachedResponse, resp *http.Response, out any) error {
	if resp.StatusCode == http.StatusNotModified && prev.etag != "" && resp.Header.Get("ETag") == prev.etag {
		return json.Unmarshal(prev.body, out)
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil {
		err = json.Unmarshal(body, out)
	}
	if err != nil {
		return transportError(ctx, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cache[q.cacheKey()] = cachedResponse{resp.Header.Get("ETag"), body}
	return nil
}

// rateLimitError maps an error of the client-side rate limiter to the context's error or ErrThrottled. No request was sent.
func rateLimitError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Wrap(objectstore.ErrThrottled, err.Error())
}

// transportError maps the error of a call without a usable response: the context's error when the caller's context ended,
// otherwise ErrUnavailable.
func transportError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Wrap(objectstore.ErrUnavailable, err.Error())
}

// statusError maps a response whose status is not 200 to an error of package objectstore.
func statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	message := strings.TrimSpace(string(text))
	switch resp.StatusCode {
	case http.StatusNotFound:
		return objectstore.ErrNotFound
	case http.StatusPreconditionFailed, http.StatusConflict:
		return objectstore.ErrConflict
	case http.StatusGone:
		return objectstore.ErrCompacted
	case http.StatusRequestEntityTooLarge:
		return objectstore.ErrTooLarge
	case http.StatusTooManyRequests:
		return objectstore.ErrThrottled
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return errors.Wrapf(objectstore.ErrUnavailable, "status %d: %s", resp.StatusCode, message)
	}
	return errors.Errorf("platform rejected the request with status %d: %s; check the platform URL and version", resp.StatusCode, message)
}
