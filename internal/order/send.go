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
	"crocusglade.example/crocusglade/internal/lease"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/objectstore/httpplatform"
)

// EngineClient sends one order to an engine, once. A nil error means that the engine carries the order out. ErrRefused means
// that it never will, ErrNotSent that no byte left; after any other error the outcome is unknown.
type EngineClient interface {
	SendOrder(ctx context.Context, e apitypes.Endpoint, o apitypes.Order) error
}

// ErrNotSent is returned by an EngineClient when no connection could be opened.
var ErrNotSent = errors.New("order: the endpoint can't be reached; check its address and state")

// controlTimeout bounds one try. It is above lease's one second of TCP_USER_TIMEOUT, so that a connection that delivers
// nothing has failed by then.
const controlTimeout = 1500 * time.Millisecond

// send sends an order whose intent is written, until its outcome is known, and records the outcome. sent says that an
// earlier try may have arrived.
func (d *Dispatcher) send(ctx context.Context, o apitypes.Order, sent bool) error {
	try := d.tryEngine
	if toProvider(o.Kind) {
		try = d.tryProvider
	}
	var wait httpplatform.Backoff
	deadline := time.Now().Add(d.o.SendTimeout)
	for {
		if !d.o.Authority.Valid() {
			return lease.ErrNoAuthority
		}
		err := try(ctx, o)
		if err == nil || errors.Is(err, ErrRefused) {
			return d.conclude(ctx, o, err)
		}
		sent = sent || !errors.Is(err, ErrNotSent)
		if time.Now().After(deadline) {
			return d.giveUp(ctx, o, sent, err)
		}
		if wait.Wait(ctx) != nil {
			return d.ended(ctx)
		}
	}
}

// conclude records the final state of an order. outcome is nil or wraps ErrRefused, and is returned.
func (d *Dispatcher) conclude(ctx context.Context, o apitypes.Order, outcome error) error {
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
	d.o.OnOutcome(o.Kind, intent.State)
	return outcome
}

// giveUp deals with an order without answer. An order of which no byte left is refused. An engine that stayed silent is
// abandoned, so that a late effect meets no later order. A provider order stays pending: its id makes repeating it safe.
func (d *Dispatcher) giveUp(ctx context.Context, o apitypes.Order, sent bool, err error) error {
	if toProvider(o.Kind) {
		return errors.Wrap(ErrUnresolved, err.Error())
	}
	if !sent {
		return d.conclude(ctx, o, errors.Wrap(ErrRefused, err.Error()))
	}
	return d.abandon(ctx, o, "no answer: "+err.Error())
}

func (d *Dispatcher) tryEngine(ctx context.Context, o apitypes.Order) error {
	e, known := d.o.LookupEndpoint(o.Endpoint)
	if !known {
		return errors.Wrapf(ErrNotSent, "endpoint %q is not known", o.Endpoint)
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return d.o.EngineClient.SendOrder(ctx, e, o)
}

// tryProvider orders against the provider's current version. The view is read while the authority is valid, so an order of
// a process that was paused in between meets a version that its successor's orders have moved.
func (d *Dispatcher) tryProvider(ctx context.Context, o apitypes.Order) error {
	view, err := d.o.Provider.Endpoints(ctx, d.o.Pool)
	if err != nil {
		return err
	}
	if !d.o.Authority.Valid() {
		return lease.ErrNoAuthority
	}
	_, err = d.o.Provider.PlaceOrder(ctx, d.o.Pool, o, view.Version)
	if errors.Is(err, objectstore.ErrThrottled) {
		return errors.Wrap(ErrRefused, "the provider has no such endpoint to give now")
	}
	return err
}

// httpControl speaks the engines' control protocol.
type httpControl struct {
	authority *lease.Authority
	tls       *auth.TLS
}

func newHTTPControl(a *lease.Authority, t *auth.TLS) EngineClient { return httpControl{a, t} }

// SendOrder posts the order on a new connection that is bound to the authority.
func (c httpControl) SendOrder(ctx context.Context, e apitypes.Endpoint, o apitypes.Order) error {
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
	transport := &http.Transport{DisableKeepAlives: true, DialContext: watchDial(c.authority.DialContext, &connected),
		DialTLSContext: watchDial(c.tls.DialTLS(c.authority.DialContext), &connected)}
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
		// An endpoint that refuses the certificate reads nothing of the order. Without this an expired certificate would cost the pool
		// its engines, one ambiguous order after the other.
		if !connected.Load() || auth.IsCertificateRejected(err) {
			return errors.Wrap(ErrNotSent, err.Error())
		}
		return errors.Wrap(err, "send order")
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
	switch {
	case resp.StatusCode == http.StatusOK:
		return nil
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return errors.Wrapf(ErrRefused, "the endpoint answered %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))
	}
	return errors.Errorf("the endpoint answered %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))
}

// watchDial notes whether a connection was made, its handshake included. Without one, no byte of an order can have left.
func watchDial(dial auth.DialFunc, connected *atomic.Bool) auth.DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		connected.Store(connected.Load() || err == nil)
		return conn, err
	}
}
