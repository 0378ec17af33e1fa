package order

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/auth"
	"crocusglade.example/crocusglade/internal/httpresponse"
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/objectstore/httpplatform"
)

// EngineClient sends one order to an engine, once. A nil error means that the engine executes the order, ErrRefused that it never will,
// and ErrNotSent that no byte was sent; after any other error the outcome is unknown.
type EngineClient interface {
	SendOrder(ctx context.Context, e apitypes.Endpoint, o apitypes.Order) error
}

// ErrNotSent is returned by an EngineClient when no byte of the order was sent, for example because no connection could be opened.
var ErrNotSent = errors.New("order: the endpoint can't be reached; check its address and state")

// controlTimeout limits one attempt. It is longer than the TCP_USER_TIMEOUT of one second that package lease sets, so that a connection
// that delivers nothing has failed before the timeout.
const controlTimeout = 1500 * time.Millisecond

// send sends an order whose intent has been written, retries until its outcome is known or SendTimeout has passed, and records the
// outcome. maybeSent is true when an earlier attempt may have arrived.
func (d *Dispatcher) send(ctx context.Context, o apitypes.Order, maybeSent bool) error {
	attempt := d.sendToEngine
	if isProviderOrder(o.Kind) {
		attempt = d.sendToProvider
	}
	var backoff httpplatform.Backoff
	deadline := time.Now().Add(d.opts.SendTimeout)
	for {
		if !d.opts.Authority.Valid() {
			return lease.ErrNoAuthority
		}
		err := attempt(ctx, o)
		if err == nil || errors.Is(err, ErrRefused) {
			return d.recordOutcome(ctx, o, err)
		}
		maybeSent = maybeSent || !errors.Is(err, ErrNotSent)
		if time.Now().After(deadline) {
			return d.handleNoResponse(ctx, o, maybeSent, err)
		}
		if backoff.Wait(ctx) != nil {
			return d.stopCause(ctx)
		}
	}
}

// recordOutcome records the final state of an order. outcome is nil or wraps ErrRefused, and is returned.
func (d *Dispatcher) recordOutcome(ctx context.Context, o apitypes.Order, outcome error) error {
	intent := apitypes.Intent{Order: o, State: apitypes.IntentDone}
	if outcome != nil {
		intent.State, intent.Reason = apitypes.IntentRefused, outcome.Error()
	}
	err := d.save(ctx, func(s *apitypes.PoolOrders) {
		setIntent(s, intent)
		if o.Kind == apitypes.OrderRemove && outcome == nil {
			setEntry(&s.Drained, o.Endpoint, DrainReasonRemoved)
		}
	})
	if err != nil {
		return err
	}
	d.opts.OnOutcome(o.Kind, intent.State)
	return outcome
}

// handleNoResponse handles an order that got no response within SendTimeout. An engine order of which no byte was sent is recorded as
// refused. An engine that may have received the order is abandoned, so that a late effect does not conflict with a later order. A
// provider order stays pending: the provider applies an id only once, so the order can be sent again.
func (d *Dispatcher) handleNoResponse(ctx context.Context, o apitypes.Order, maybeSent bool, err error) error {
	if isProviderOrder(o.Kind) {
		return errors.Wrap(ErrUnresolved, err.Error())
	}
	if !maybeSent {
		return d.recordOutcome(ctx, o, errors.Wrap(ErrRefused, err.Error()))
	}
	return d.abandon(ctx, o, "no answer: "+err.Error())
}

func (d *Dispatcher) sendToEngine(ctx context.Context, o apitypes.Order) error {
	e, known := d.opts.LookupEndpoint(o.Endpoint)
	if !known {
		return errors.Wrapf(ErrNotSent, "endpoint %q is not known", o.Endpoint)
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return d.opts.EngineClient.SendOrder(ctx, e, o)
}

// sendToProvider places an order on condition that the provider's version is the one just read. The version is read while the authority
// is valid: if the process is paused afterwards and its successor places orders, the version no longer matches and the order fails.
func (d *Dispatcher) sendToProvider(ctx context.Context, o apitypes.Order) error {
	view, err := d.opts.Provider.Endpoints(ctx, d.opts.Pool)
	if err != nil {
		return err
	}
	if !d.opts.Authority.Valid() {
		return lease.ErrNoAuthority
	}
	_, err = d.opts.Provider.PlaceOrder(ctx, d.opts.Pool, o, view.Version)
	if errors.Is(err, objectstore.ErrThrottled) {
		return errors.Wrap(ErrRefused, "the provider has no such endpoint to give now")
	}
	return err
}

// httpEngineClient implements EngineClient with the engines' control protocol over HTTP.
type httpEngineClient struct {
	authority *lease.Authority
	tls       *auth.TLS
}

func newHTTPEngineClient(a *lease.Authority, t *auth.TLS) EngineClient { return httpEngineClient{a, t} }

// SendOrder posts the order over a new connection that is bound to the authority.
func (c httpEngineClient) SendOrder(ctx context.Context, e apitypes.Endpoint, o apitypes.Order) error {
	body, err := json.Marshal(struct {
		ID    string             `json:"id"`
		Fence uint64             `json:"fence"`
		Kind  apitypes.OrderKind `json:"kind"`
		Value string             `json:"value,omitempty"`
	}{o.ID, o.Fence, o.Kind, o.Value})
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	var connected atomic.Bool
	transport := httpresponse.NewTransport(&http.Transport{DisableKeepAlives: true, DialContext: recordConnect(c.authority.DialContext, &connected),
		DialTLSContext: recordConnect(c.tls.DialTLS(c.authority.DialContext), &connected)})
	url, err := apitypes.EndpointURL(e.Addr, "/v1/control/orders")
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := transport.RoundTrip(r)
	if err != nil {
		// An endpoint that rejects the certificate reads nothing of the order. Without this case an expired certificate would make each
		// order ambiguous, and the pool would lose its engines one after the other.
		if !connected.Load() || auth.IsCertificateRejected(err) {
			return errors.Wrap(ErrNotSent, err.Error())
		}
		return errors.Wrap(err, "send order")
	}
	defer func() { _ = resp.Body.Close() }()
	message, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
	switch {
	case resp.StatusCode == http.StatusOK:
		return nil
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return errors.Wrapf(ErrRefused, "the endpoint answered %d: %s", resp.StatusCode, strings.TrimSpace(string(message)))
	}
	return errors.Errorf("the endpoint answered %d: %s", resp.StatusCode, strings.TrimSpace(string(message)))
}

// recordConnect sets connected once dial has opened a connection, including the TLS handshake. Without a connection no byte of an order
// can have been sent.
func recordConnect(dial auth.DialFunc, connected *atomic.Bool) auth.DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		connected.Store(connected.Load() || err == nil)
		return conn, err
	}
}
