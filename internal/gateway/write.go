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

func errorBody(e *apierror.Error) []byte {
	b, err := json.Marshal(map[string]*apierror.Error{"error": e})
	if err != nil {
		return []byte(`{"error":{"type":"internal"}}`)
	}
	return b
}

// writeError answers with an error, naming the request if it has an id.
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

// copyAnswer sends an answer to a caller until it ends or the caller goes.
func (g *Gateway) copyAnswer(c echo.Context, keyHash string, a *answer, offset int64) error {
	detach := a.attach(g.opts.AbandonAfter)
	defer detach()
	w := c.Response()
	err := a.follow(c.Request().Context(), offset, func(v view) error {
		// The fetching key may be another one of the team than the key that the request came with.
		if !v.finished && keyHash != a.keyHash && withdrawn(g.opts.Config.Current(), keyHash) {
			return errWithdrawn
		}
		if !w.Committed {
			copyHeader(w.Header(), v.header)
			w.Header().Set(requestIDHeader, a.id)
			setRetryAfter(w.Header(), v.err)
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
	case errors.Is(err, errWithdrawn) && w.Committed:
		return g.cutAnswer(w, err)
	case err != nil && c.Request().Context().Err() == nil:
		return err
	}
	return nil
}

func setRetryAfter(h http.Header, e *apierror.Error) {
	if e != nil && e.RetryAfterSeconds > 0 {
		h.Set("Retry-After", strconv.Itoa(e.RetryAfterSeconds))
	}
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// detached returns a context that keeps a request's values but not its end.
func detached(c echo.Context) context.Context { return context.WithoutCancel(c.Request().Context()) }
