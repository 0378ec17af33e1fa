package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"crocusglade.example/crocusglade/internal/apierror"
)

const (
	jsonType        = "application/json"
	eventStreamType = "text/event-stream"
	requestIDHeader = "X-Request-Id"
)

// errorBody returns the JSON response body for an error.
func errorBody(e *apierror.Error) []byte {
	b, err := json.Marshal(map[string]*apierror.Error{"error": e})
	if err != nil {
		return []byte(`{"error":{"type":"internal"}}`)
	}
	return b
}

// writeError writes an error response. requestID, when not empty, is added to an error without a request id.
func writeError(w http.ResponseWriter, e *apierror.Error, requestID string) {
	c := *e
	if c.RequestID == "" {
		c.RequestID = requestID
	}
	if c.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(c.RetryAfterSeconds))
	}
	writeJSON(w, c.HTTPStatus(), errorBody(&c))
}

func writeJSON(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", jsonType)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// copyAnswer sends an answer to a caller from a byte offset until the answer ends, the caller disconnects or the caller's key is
// withdrawn.
func (g *Gateway) copyAnswer(c echo.Context, keyHash string, a *answer, offset int64) error {
	detach := a.attach(g.opts.AbandonAfter)
	defer detach()
	w := c.Response()
	err := a.follow(c.Request().Context(), offset, func(v view) error {
		// The answer may be fetched with another key of the team than the request was sent with.
		if !v.finished && keyHash != a.keyHash && isKeyWithdrawn(g.opts.Config.Current(), keyHash) {
			return errKeyWithdrawn
		}
		if !w.Committed {
			copyHeaders(w.Header(), v.header)
			w.Header().Set(requestIDHeader, a.id)
			setRetryAfterHeader(w.Header(), v.err)
			if v.finished && v.status != http.StatusNoContent && v.status != http.StatusNotModified {
				w.Header().Set("Content-Length", strconv.Itoa(len(v.data)))
			}
			w.WriteHeader(v.status)
		}
		if _, err := w.Write(v.data); err != nil {
			return err
		}
		w.Flush()
		return nil
	})
	switch {
	case errors.Is(err, errKeyWithdrawn) && w.Committed:
		return g.abortAnswer(w, err)
	case err != nil && c.Request().Context().Err() == nil:
		return err
	}
	return nil
}

func setRetryAfterHeader(h http.Header, e *apierror.Error) {
	if e != nil && e.RetryAfterSeconds > 0 {
		h.Set("Retry-After", strconv.Itoa(e.RetryAfterSeconds))
	}
}

func copyHeaders(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// detachedContext returns a context with the request's values that is not cancelled with the request.
func detachedContext(c echo.Context) context.Context {
	return context.WithoutCancel(c.Request().Context())
}
