// Package httpresponse rejects responses that the protocol doesn't allow and net/http reads nevertheless, so that no reader takes bytes of a
// broken server for an answer.
package httpresponse

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
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
	case IsInterim(resp):
		return checkInterim(resp.Header)
	}
	return checkFields(resp.Header)
}

// checkInterim checks the fields of an interim response, which has no body.
func checkInterim(h http.Header) error {
	for _, name := range [...]string{"Content-Length", "Transfer-Encoding"} {
		if _, ok := h[name]; ok {
			return errors.Wrapf(ErrInvalid, "interim response with the field %s", name)
		}
	}
	return checkFields(h)
}

// checkFields checks the names and values of fields. net/http accepts blanks and control bytes in names. A field whose name has one is passed
// on, or doesn't have the effect that its sender meant, such as "Content Length".
func checkFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrInvalid, "field name %q", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return errors.Wrapf(ErrInvalid, "value %q of the field %s", v, name)
			}
		}
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
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { return checkInterim(http.Header(h)) }}
	resp, err := t.Base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
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
