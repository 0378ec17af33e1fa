package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
)

// answer buffers the output of a request. Any number of readers may follow it.
type answer struct {
	id      string
	team    string
	keyHash string
	// cancel cancels the request; nil for requests that must run to completion once dispatched.
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	status   int
	header   http.Header
	data     []byte
	finished bool
	complete bool
	err      *apierror.Error
	changed  chan struct{}
	readers  int
	// delivered is true once a reader has received the answer up to its end.
	delivered    bool
	abandonTimer *time.Timer
	endedAt      time.Time
}

func newAnswer(id, team, keyHash string, cancel context.CancelCauseFunc) *answer {
	return &answer{id: id, team: team, keyHash: keyHash, cancel: cancel, header: make(http.Header), changed: make(chan struct{})}
}

// broadcast wakes all readers. The caller holds the lock.
func (a *answer) broadcast() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// begin sets the status and header of a streamed answer. Later calls have no effect.
func (a *answer) begin(status int, header http.Header) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.status != 0 {
		return
	}
	a.status = status
	for name, values := range header {
		a.header[name] = values
	}
	a.broadcast()
}

func (a *answer) begun() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.status != 0
}

func (a *answer) write(data ...[]byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, d := range data {
		a.data = append(a.data, d...)
	}
	a.broadcast()
}

// completeStream marks a streamed answer as complete.
func (a *answer) completeStream() { a.finish(true, nil) }

// completeResponse sets a complete answer that is not streamed.
func (a *answer) completeResponse(status int, header http.Header, body []byte) {
	a.mu.Lock()
	a.status, a.data = status, body
	copyHeaders(a.header, header)
	a.mu.Unlock()
	a.finish(true, nil)
}

// fail finishes the answer with an error. When the answer has begun as a stream, the error is its last event; otherwise it is the
// response body.
func (a *answer) fail(e *apierror.Error) {
	c := *e
	c.RequestID = a.id
	body := errorBody(&c)
	if a.begun() {
		a.write([]byte("event: error\ndata: "), body, []byte("\n\n"))
		a.finish(false, &c)
		return
	}
	a.mu.Lock()
	a.status, a.data = c.HTTPStatus(), body
	a.header.Set("Content-Type", jsonType)
	a.mu.Unlock()
	a.finish(false, &c)
}

// finish marks the answer as finished and wakes its readers.
func (a *answer) finish(complete bool, e *apierror.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finished, a.complete, a.err, a.endedAt = true, complete, e, time.Now()
	if a.abandonTimer != nil {
		a.abandonTimer.Stop()
	}
	a.broadcast()
}

// attach adds a reader; the returned function removes it. When the last reader leaves, the request is cancelled after abandonAfter,
// or at once when the answer has not begun, because its caller does not have the id to fetch the answer by.
func (a *answer) attach(abandonAfter time.Duration) func() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
	if a.abandonTimer != nil {
		a.abandonTimer.Stop()
		a.abandonTimer = nil
	}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.readers--
		if a.readers == 0 && !a.finished && a.cancel != nil {
			if a.status == 0 {
				abandonAfter = 0
			}
			a.abandonTimer = time.AfterFunc(abandonAfter, func() { a.cancel(errAbandoned) })
		}
	}
}

// view is a snapshot of an answer from an offset on.
type view struct {
	status   int
	header   http.Header
	data     []byte
	finished bool
	complete bool
	err      *apierror.Error
	changed  <-chan struct{} // closed when the answer changes
}

// readFrom returns the answer without its first offset bytes. The caller must not modify the data or the header.
func (a *answer) readFrom(offset int64) view {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := view{status: a.status, finished: a.finished, complete: a.complete, err: a.err, changed: a.changed}
	if a.status != 0 {
		// The header does not change once the status is set.
		v.header = a.header
	}
	if offset < int64(len(a.data)) {
		v.data = a.data[offset:]
	}
	return v
}

// follow calls handle for each part of an answer from a byte offset until the answer is finished, handle returns an error or ctx
// ends. An answer that is not streamed has one part.
func (a *answer) follow(ctx context.Context, offset int64, handle func(view) error) error {
	for {
		v := a.readFrom(offset)
		streamed := v.header.Get("Content-Type") == eventStreamType
		if v.finished || v.status != 0 && streamed {
			if err := handle(v); err != nil {
				return err
			}
			offset += int64(len(v.data))
		}
		if v.finished {
			a.markDelivered()
			return nil
		}
		select {
		case <-v.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (a *answer) markDelivered() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delivered = true
}

// isUndelivered reports whether the answer is complete but no reader has received it up to its end.
func (a *answer) isUndelivered() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.complete && !a.delivered
}

// answerStore holds the answers of running requests, and finished answers up to an age of ttl and a total size of maxBytes.
type answerStore struct {
	ttl      time.Duration
	maxBytes int64

	mu       sync.Mutex
	answers  map[string]*answer
	finished []*answer // ordered by endedAt
	bytes    int64
}

func newAnswerStore(ttl time.Duration, maxBytes int64) *answerStore {
	return &answerStore{ttl: ttl, maxBytes: maxBytes, answers: make(map[string]*answer)}
}

func (s *answerStore) add(a *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict()
	s.answers[a.id] = a
}

// finish starts the retention period of a finished answer.
func (s *answerStore) finish(a *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = append(s.finished, a)
	s.bytes += int64(len(a.data))
	s.evict()
}

// get returns an answer by id, or nil when the team has no such answer.
func (s *answerStore) get(id, team string) *answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict()
	if a := s.answers[id]; a != nil && a.team == team {
		return a
	}
	return nil
}

// evict removes expired answers, and the oldest ones while the store is over its size limit. The caller holds the lock.
func (s *answerStore) evict() {
	for len(s.finished) > 0 {
		oldest := s.finished[0]
		if time.Since(oldest.endedAt) < s.ttl && s.bytes <= s.maxBytes {
			return
		}
		s.finished = s.finished[1:]
		s.bytes -= int64(len(oldest.data))
		delete(s.answers, oldest.id)
	}
}

// hasUndelivered reports whether the store holds a complete answer that no reader has received up to its end.
func (s *answerStore) hasUndelivered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict()
	return slices.ContainsFunc(s.finished, (*answer).isUndelivered)
}

// cancellableAnswers returns the unfinished answers whose requests can be cancelled.
func (s *answerStore) cancellableAnswers() []*answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*answer
	for _, a := range s.answers {
		if a.cancel != nil && !a.readFrom(0).finished {
			out = append(out, a)
		}
	}
	return out
}
