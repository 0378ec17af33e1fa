// Package httpresponse rejects responses that the protocol doesn't allow and net/http reads nevertheless, so that no reader takes bytes of a
// broken server for an answer.
package httpresponse

import (
	"net/http"

	"github.com/go-faster/errors"
)

// ErrInvalid means that a response isn't one in the protocol.
var ErrInvalid = errors.New("httpresponse: invalid HTTP response; check the server that sent it")

// Bounds of status codes: minStatus is the lowest, maxStatus the highest, and minFinalStatus the lowest of a response that ends a request.
const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
)

// Check returns an error that wraps ErrInvalid unless the head of a response is valid. An interim response is valid, except for 101: no request
// asks to switch protocols, so what follows is no HTTP.
func Check(resp *http.Response) error {
	switch {
	case resp.StatusCode < minStatus || resp.StatusCode > maxStatus || resp.StatusCode == http.StatusSwitchingProtocols:
		return errors.Wrapf(ErrInvalid, "status %q", resp.Status)
	case resp.ProtoMajor != 1 && resp.ProtoMajor != 2:
		return errors.Wrapf(ErrInvalid, "protocol %q", resp.Proto)
	}
	return nil
}

// IsInterim reports whether a valid response is followed by another one to the same request.
func IsInterim(resp *http.Response) bool { return resp.StatusCode < minFinalStatus }

// Transport fails requests whose response is invalid, and closes it.
type Transport struct{ Base *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a transport that sends requests with base.
func NewTransport(base *http.Transport) *Transport { return &Transport{base} }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close() // the connection isn't reused before the body was read
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the base, for http.Client.CloseIdleConnections.
func (t *Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }
