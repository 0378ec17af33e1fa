package ingress

import (
	"io"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxResponseBytes is the largest response that is buffered: those of plain services and error responses of engines.
	maxResponseBytes = 16 << 20
	// maxBufferedBytes bounds the responses that a VM buffers at the same time.
	maxBufferedBytes = 64 << 20
	// minReadBytes is the initial size of the buffer of a response, which doubles when it is full; maxReadBytes bounds one read.
	minReadBytes = 4 << 10
	maxReadBytes = 256 << 10
	// maxDrainBytes and maxDrainTime bound what is read of the response of an endpoint that did not run the request, so that its
	// connection can be reused.
	maxDrainBytes = 64 << 10
	maxDrainTime  = 50 * time.Millisecond
	// maxEventBytes is the largest event of a stream. Bytes that go on for longer without the end of an event are no stream.
	maxEventBytes = 256 << 10
)

var (
	errResponseTooLarge = errors.New("endpoint's response is too large to be relayed; limit the size of the service's responses")
	errIncompleteStream = errors.New("endpoint's stream ended inside an event or before the first one")
	errNotResumed       = errors.New("endpoint didn't continue the stream after the last event; check that it honours the id of the last event")
	errEventTooLarge    = errors.New("endpoint sent bytes without the end of an event; check the endpoint")
)

// readBody reads a complete response. It fails if the response exceeds maxResponseBytes, or if this VM would buffer more than
// maxBufferedBytes: a part of a response must not be sent as a complete one.
func (c *call) readBody(r io.Reader) ([]byte, error) {
	body := make([]byte, 0, minReadBytes)
	for {
		if len(body) == cap(body) {
			body = slices.Grow(body, len(body))
		}
		n, err := r.Read(body[len(body):min(cap(body), len(body)+maxReadBytes)])
		if n > 0 {
			if len(body)+n > maxResponseBytes || !c.reserveBuffer(n) {
				return nil, errResponseTooLarge
			}
			body = body[:len(body)+n]
		}
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// reserveBuffer reserves memory for n bytes of a response until the request ends. It returns false if the VM buffers too much already.
func (c *call) reserveBuffer(n int) bool {
	if c.bufferedBytes.Add(int64(n)) > maxBufferedBytes {
		c.bufferedBytes.Add(-int64(n))
		return false
	}
	c.reservedBytes += n
	return true
}

// releaseBuffer releases the memory that the request has reserved.
func (c *call) releaseBuffer() { c.bufferedBytes.Add(-int64(c.reservedBytes)) }

// drain reads the rest of a short response, so that the connection can be reused. Closing the body of a longer one closes the connection.
func drain(body io.ReadCloser) {
	timer := time.AfterFunc(maxDrainTime, func() { _ = body.Close() })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxDrainBytes))
}
