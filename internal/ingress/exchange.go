package ingress

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"crocusglade.example/crocusglade/internal/buffer"
	"crocusglade.example/crocusglade/internal/eventstream"
	"crocusglade.example/crocusglade/internal/placement"
)

// exchange is a request to one endpoint in progress. Another goroutine receives its response, so that the call can try another endpoint
// while this one is silent, and keep the one that makes progress first.
type exchange struct {
	attempt *placement.Attempt
	buffers *buffer.Reservation
	ctx     context.Context
	cancel  context.CancelFunc
	parts   chan part
	// closed is closed when the call no longer receives parts.
	closed chan struct{}
	// lastProgress is when the exchange started or its last event arrived, progressed whether there was one.
	lastProgress time.Time
	progressed   bool
	// probed is set once the endpoint was probed because of its silence.
	probed bool
	// pendingBytes is the number of bytes of an event that is not complete yet.
	pendingBytes atomic.Int64

	mu       sync.Mutex
	body     io.Closer
	isClosed bool
	// onProgress is called when the endpoint makes progress while another one is to replace it; nil otherwise.
	onProgress func()
	// yielded is set once another exchange has replaced this one.
	yielded bool
}

// part is a part of an endpoint's response: the whole of a buffered response or of one without success, or a piece of a stream.
type part struct {
	// answer is nil if the endpoint sent none.
	answer *Answer
	// bytes are valid until the next part is received.
	bytes []byte
	// completed is the number of events that the bytes complete, pending the number of bytes of an event that is not complete.
	completed, pending int
	// err ended the response; io.EOF if it ended regularly.
	err error
}

// streamMode states how the pieces of a stream are delivered.
type streamMode int

const (
	// buffered responses are delivered whole.
	buffered streamMode = iota
	// rawPieces are delivered as they arrive, wholeEvents when an event is complete.
	rawPieces
	wholeEvents
)

// startExchange sends the request to an attempt's endpoint. Its parts hold the answer from the first one on.
func (c *call) startExchange(attempt *placement.Attempt, d *Dispatch, mode streamMode) *exchange {
	x := &exchange{attempt: attempt, buffers: c.buffers, parts: make(chan part), closed: make(chan struct{}), lastProgress: time.Now()}
	x.ctx, x.cancel = context.WithCancel(c.ctx)
	c.openExchanges++
	c.countPossibleRun()
	go func() {
		a, err := c.Backend.Run(x.ctx, &attempt.Endpoint, c.r, d)
		switch {
		case err != nil:
			x.deliver(part{err: err})
		case !x.setBody(a.Body):
		case a.NotRun:
			drain(a.Body)
			x.deliver(part{answer: a})
		case mode == buffered || !a.succeeded():
			p := part{answer: a}
			p.bytes, p.err = x.buffers.ReadAll(a.Body, maxResponseBytes)
			if p.err == nil {
				p.err = io.EOF
			}
			x.deliver(p)
		default:
			x.receiveStream(a, mode)
		}
	}()
	return x
}

// succeeded reports whether the answer is the success of an endpoint that signed it.
func (a *Answer) succeeded() bool { return a.Status < http.StatusMultipleChoices && a.Signed }

// setBody makes close close the response body. It returns false if the exchange has ended.
func (x *exchange) setBody(body io.Closer) bool {
	x.mu.Lock()
	isClosed := x.isClosed
	x.body = body
	x.mu.Unlock()
	if isClosed {
		_ = body.Close()
	}
	return !isClosed
}

// receiveStream delivers the pieces of a stream.
func (x *exchange) receiveStream(a *Answer, mode streamMode) {
	// A piece is read into one buffer while the call uses the other, which holds the part that was delivered last.
	var buffers [2][streamBuffer]byte
	var scanner eventstream.Scanner
	var partial []byte
	for delivered := 0; ; {
		buf := buffers[delivered%2][:]
		n, err := a.Body.Read(buf)
		completed, end := scanner.Scan(buf[:n])
		x.pendingBytes.Store(int64(scanner.Pending))
		p := part{answer: a, bytes: buf[:n], completed: completed, pending: scanner.Pending, err: err}
		if mode == wholeEvents {
			var holdErr error
			p.bytes, partial, holdErr = x.holdBack(partial, buf[:n], end)
			if holdErr != nil {
				p.err = holdErr
			}
			if err == io.EOF && scanner.Pending == 0 {
				p.bytes = append(p.bytes, partial...) // empty lines after the last event
			}
		}
		if scanner.Pending > maxEventBytes {
			p.err = errEventTooLarge
		}
		if len(p.bytes) == 0 && p.err == nil {
			continue
		}
		if !x.deliver(p) || p.err != nil {
			_ = x.buffers.Resize(cap(partial), 0) // can't fail, since it needs no memory
			return
		}
		delivered++
	}
}

// holdBack returns the complete events among the held back bytes and p, of which the first end bytes complete events, and the rest.
func (x *exchange) holdBack(partial, p []byte, end int) (complete, rest []byte, err error) {
	if end > 0 {
		complete = p[:end]
		if len(partial) > 0 {
			complete = append(partial[:len(partial):len(partial)], complete...)
		}
		rest = append([]byte(nil), p[end:]...)
	} else {
		rest = append(partial, p...)
	}
	if err := x.buffers.Resize(cap(partial), cap(rest)); err != nil {
		return nil, partial, err
	}
	return complete, rest, nil
}

// deliver hands a part to the call. Progress ends the attempt to replace the exchange. It returns false if the call receives no parts any
// more.
func (x *exchange) deliver(p part) bool {
	if p.isProgress() {
		x.mu.Lock()
		onProgress := x.onProgress
		x.onProgress = nil
		x.mu.Unlock()
		if onProgress != nil {
			onProgress()
		}
	}
	select {
	case x.parts <- p:
		return true
	case <-x.closed:
		return false
	}
}

// isProgress reports whether a part brings the request closer to its end: complete events, or a response that can be passed on. The head
// of a stream, an incomplete event and a failure are none.
func (p *part) isProgress() bool {
	switch {
	case p.answer == nil || p.answer.NotRun:
		return false
	case p.completed > 0:
		return true
	}
	return p.err == io.EOF && p.pending == 0 && p.answer.Status < http.StatusInternalServerError &&
		(p.answer.Signed || p.answer.Status >= http.StatusMultipleChoices)
}

// contest lets another exchange replace this one until endContest. onProgress is called if this one makes progress before.
func (x *exchange) contest(onProgress func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.onProgress = onProgress
}

// yield ends the exchange in favour of one that makes progress. It returns false if this one has done so since contest.
func (x *exchange) yield() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.onProgress == nil {
		return false
	}
	x.onProgress, x.yielded = nil, true
	return true
}

// endContest ends contest. It returns whether another exchange has replaced this one.
func (x *exchange) endContest() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.onProgress = nil
	return x.yielded
}

// close ends the exchange. Later calls have no effect. The body is closed before the context ends, so that the connection of a complete
// response can be reused.
func (c *call) close(x *exchange) {
	x.mu.Lock()
	body, wasClosed := x.body, x.isClosed
	x.isClosed = true
	x.mu.Unlock()
	if wasClosed {
		return
	}
	c.openExchanges--
	close(x.closed)
	if body != nil {
		_ = body.Close()
	}
	x.cancel()
}
