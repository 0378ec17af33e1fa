package ingress

import (
	"io"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxResponseBytes is the largest response that is buffered: those of plain services and error responses of engines.
	maxResponseBytes = 16 << 20
	// maxDrainBytes and maxDrainTime bound what is read of the response of an endpoint that did not run the request, so that its
	// connection can be reused.
	maxDrainBytes = 64 << 10
	maxDrainTime  = 50 * time.Millisecond
	// maxEventBytes is the largest event of a stream. Bytes that go on for longer without the end of an event are no stream.
	maxEventBytes = 256 << 10
)

var (
	errIncompleteStream = errors.New("endpoint's stream ended inside an event or before the first one")
	errNotResumed       = errors.New("endpoint didn't continue the stream after the last event; check that it honours the id of the last event")
	errEventTooLarge    = errors.New("endpoint sent bytes without the end of an event; check the endpoint")
)

// drain reads the rest of a short response, so that the connection can be reused. Closing the body of a longer one closes the connection.
func drain(body io.ReadCloser) {
	timer := time.AfterFunc(maxDrainTime, func() { _ = body.Close() })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxDrainBytes))
}
