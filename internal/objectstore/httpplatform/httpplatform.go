// Package httpplatform is the client of the platform over HTTP and JSON. It implements objectstore.Store, Provider, UsageSink
// and VMLister.
//
// The client never repeats a call. A write whose answer is lost, late or unreadable returns objectstore.ErrUnavailable: it may
// have taken effect, and only the caller can recognise its own write. Retry loops belong to callers, with Backoff.
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
	"crocusglade.example/crocusglade/internal/objectstore"
)

const (
	// DefaultTimeout bounds one call. It is below the lease margin, so a renewal that hangs can be tried again.
	DefaultTimeout = 1500 * time.Millisecond
	// DefaultDialTimeout bounds the connection set-up.
	DefaultDialTimeout = 500 * time.Millisecond
	// DefaultRate and DefaultBurst limit the calls of one process. With four VMs and two processes on each, 50 calls per
	// second stay below the several hundred writes per second that the platform takes.
	DefaultRate  = 50
	DefaultBurst = 50
	// DefaultWatchIdle ends a watch that delivers neither event nor bookmark for this long. The platform sends a bookmark
	// about once a second.
	DefaultWatchIdle = 5 * time.Second

	maxIdleConnections = 8
	// maxErrorBytes bounds how much of an error answer is read into the message.
	maxErrorBytes = 512
)

// Options configures a Client. Zero fields take the defaults above.
type Options struct {
	Timeout     time.Duration
	DialTimeout time.Duration
	Rate        float64
	Burst       int
	WatchIdle   time.Duration
	// DialContext replaces the dialer, for connections that are bound to an authority.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
	// TLS is used for https; nil means the system's authorities and no client certificate.
	TLS *tls.Config
}

// Client speaks to one platform. Its methods may be called concurrently.
type Client struct {
	base    *url.URL
	http    *http.Client
	limiter *rate.Limiter
	timeout time.Duration
	idle    time.Duration

	mu sync.Mutex
	// answers holds the last answer of each conditional read, by path and query.
	answers map[string]cachedAnswer
}

// cachedAnswer is an answer with the entity tag that the platform gave it.
type cachedAnswer struct {
	tag  string
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
		return nil, errors.Errorf("platform URL %q is not usable; give one such as http://192.0.2.1:7000", base)
	}
	o = o.withDefaults()
	transport := &http.Transport{
		DialContext:           o.DialContext,
		TLSClientConfig:       o.TLS,
		MaxIdleConnsPerHost:   maxIdleConnections,
		IdleConnTimeout:       time.Minute,
		TLSHandshakeTimeout:   o.DialTimeout,
		ResponseHeaderTimeout: o.Timeout,
	}
	return &Client{
		base:    u,
		http:    &http.Client{Transport: transport, CheckRedirect: noRedirect},
		limiter: rate.NewLimiter(rate.Limit(o.Rate), o.Burst),
		timeout: o.Timeout,
		idle:    o.WatchIdle,
		answers: make(map[string]cachedAnswer),
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
	return o
}

// noRedirect refuses redirects, because net/http would send a write a second time to follow one. The transport itself
// repeats PUT, POST and DELETE only when no byte of the first try was written, which is safe.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections. Calls in progress end with their contexts.
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

// request is one call. expected is nil for calls without a precondition.
type request struct {
	method, path string
	query        url.Values
	body         []byte
	expected     *uint64
	// conditional reads send the entity tag of the last answer, and take that answer again when the platform says that it still
	// holds. Lists that are read every few seconds cost a node more than its 6 KB/s otherwise.
	conditional bool
}

func (q request) key() string { return q.path + "?" + q.query.Encode() }

func (c *Client) newRequest(ctx context.Context, q request) (*http.Request, error) {
	target := strings.TrimSuffix(c.base.String(), "/") + q.path
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
	if last := c.answer(q); last.tag != "" {
		r.Header.Set("If-None-Match", last.tag)
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

// call sends one request, once, and decodes its answer into out.
func (c *Client) call(ctx context.Context, q request, out any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return limitError(ctx, err)
	}
	callCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r, err := c.newRequest(callCtx, q)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return lost(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if q.conditional {
		return c.decodeConditional(ctx, q, resp, out)
	}
	if resp.StatusCode != http.StatusOK {
		return answerError(resp)
	}
	if out == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	} else {
		err = json.NewDecoder(resp.Body).Decode(out)
	}
	if err != nil {
		return lost(ctx, err)
	}
	return nil
}

// answer returns the last answer of a conditional read.
func (c *Client) answer(q request) cachedAnswer {
	if !q.conditional {
		return cachedAnswer{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers[q.key()]
}

// decodeConditional decodes the answer of a conditional read, or the last one where the platform says that it still holds.
func (c *Client) decodeConditional(ctx context.Context, q request, resp *http.Response, out any) error {
	last := c.answer(q)
	if resp.StatusCode == http.StatusNotModified && last.tag != "" && resp.Header.Get("ETag") == last.tag {
		return json.Unmarshal(last.body, out)
	}
	if resp.StatusCode != http.StatusOK {
		return answerError(resp)
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil {
		err = json.Unmarshal(body, out)
	}
	if err != nil {
		return lost(ctx, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[q.key()] = cachedAnswer{resp.Header.Get("ETag"), body}
	return nil
}

// limitError maps an error of the client-side rate limit. Nothing was sent.
func limitError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Wrap(objectstore.ErrThrottled, err.Error())
}

// lost maps a call without a usable answer: the caller's own cancellation, else ErrUnavailable.
func lost(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Wrap(objectstore.ErrUnavailable, err.Error())
}

// answerError maps an answer that is not 200 to a platform error.
func answerError(resp *http.Response) error {
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
	return errors.Errorf("platform refused the call with status %d: %s; check the platform URL and version", resp.StatusCode, message)
}
