package ingress

import (
	"context"
	"io"
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/buffer"
	"crocusglade.example/crocusglade/internal/eventstream"
	"crocusglade.example/crocusglade/internal/placement"
)

// exchange is a request to one endpoint in progress. Another goroutine receives its response, so that the call can try another endpoint
// while this one is silent, and go on with the one that responds first.
type exchange struct {
	attempt *placement.Attempt
	ctx     context.Context
	cancel  context.CancelFunc
	parts   chan part
	// events scans a streamed response. Only the goroutine that receives it uses the scanner.
	events eventstream.Scanner
	// lastProgress is when the exchange started or its last event arrived, progressed whether there was one.
	lastProgress time.Time
	progressed   bool
	// probed is set once the endpoint was probed because of its silence.
	probed bool
	// standby is the silent exchange that this one is to replace; nil for none.
	standby *exchange

	mu     sync.Mutex
	body   io.Closer
	closed bool
	// onResponse is called when the endpoint responds while another exchange is to replace this one; nil otherwise.
	onResponse func()
	// yielded is set once another exchange has replaced this one.
	yielded bool
}

// part is a part of an endpoint's response, or the error that ended it. The first part of a response holds its answer.
type part struct {
	answer *Answer
	// bytes are a piece of a stream, or the whole body of a buffered response. They are valid until the next part is received.
	bytes []byte
	// completed is the number of events that the bytes complete, end the length of the bytes up to the end of the last one, and pending
	// the number of bytes of the event that is not complete yet.
	completed, end, pending int
	err                     error
}

// startExchange sends the request to an attempt's endpoint and delivers the response's answer as the first part. With buffers, the first part
// holds the whole body too, and its receiver must release them; without, the response is received piece by piece.
func (c *call) startExchange(attempt *placement.Attempt, d *Dispatch, buffers *buffer.Reservation) *exchange {
	x := &exchange{attempt: attempt, parts: make(chan part), lastProgress: time.Now(), standby: c.standby}
	x.ctx, x.cancel = context.WithCancel(c.ctx)
	c.openExchanges++
	go func() {
		a, err := c.Backend.Run(x.ctx, &attempt.Endpoint, c.r, d)
		p := part{answer: a, err: err}
		if err == nil && !x.setBody(a.Body) {
			return
		}
		if err == nil && buffers != nil && !a.NotRun {
			p.bytes, p.err = buffers.ReadAll(a.Body, maxResponseBytes)
		}
		if !x.deliver(p) && buffers != nil {
			buffers.Release()
		}
	}()
	return x
}

// setBody makes close close the response body. It returns false if the exchange has ended.
func (x *exchange) setBody(body io.Closer) bool {
	x.mu.Lock()
	closed := x.closed
	x.body = body
	x.mu.Unlock()
	if closed {
		_ = body.Close()
	}
	return !closed
}

// receiveStream starts to deliver the pieces of a streamed response.
func (x *exchange) receiveStream(body io.Reader) {
	go func() {
		// A piece is read into one buffer while the call uses the other.
		var buffers [2][streamBuffer]byte
		for i := 0; ; i++ {
			buf := buffers[i%2][:]
			n, err := body.Read(buf)
			completed, end := x.events.Scan(buf[:n])
			if !x.deliver(part{bytes: buf[:n], completed: completed, end: end, pending: x.events.Pending, err: err}) || err != nil {
				return
			}
		}
	}()
}

// deliver hands a part to the call. A part that shows progress ends the attempts to replace the exchange. It returns false if the exchange
// has ended.
func (x *exchange) deliver(p part) bool {
	if p.answer != nil && p.err == nil || p.completed > 0 || p.err == io.EOF {
		x.mu.Lock()
		onResponse := x.onResponse
		x.onResponse = nil
		x.mu.Unlock()
		if onResponse != nil {
			onResponse()
		}
	}
	select {
	case x.parts <- p:
		return true
	case <-x.ctx.Done():
		return false
	}
}

// contest lets another exchange replace this one until endContest. onResponse is called if this one responds before.
func (x *exchange) contest(onResponse func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.onResponse = onResponse
}

// yield ends the exchange in favour of one that has responded. It returns false if this one has responded since contest.
func (x *exchange) yield() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.onResponse == nil {
		return false
	}
	x.onResponse, x.yielded = nil, true
	x.cancel()
	return true
}

// endContest ends contest. It returns whether another exchange has replaced this one.
func (x *exchange) endContest() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.onResponse = nil
	return x.yielded
}

// close ends the exchange. The body is closed before the context ends, so that the connection of a complete response can be reused.
func (c *call) close(x *exchange) {
	c.openExchanges--
	x.mu.Lock()
	body := x.body
	x.closed = true
	x.mu.Unlock()
	if body != nil {
		_ = body.Close()
	}
	x.cancel()
}
