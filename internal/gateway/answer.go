package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"crocusglade.example/crocusglade/internal/apierror"
)

// answer collects what a request has produced so far. Any number of readers may follow it.
type answer struct {
	id      string
	team    string
	keyHash string
	// cancel stops the request; nil for requests that run to their end once dispatched.
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	status   int
	header   http.Header
	data     []byte
	finished bool
	whole    bool
	err      *apierror.Error
	changed  chan struct{}
	readers  int
	// delivered tells that a reader got the answer to its end.
	delivered bool
	abandon   *time.Timer
	ended     time.Time
}

func newAnswer(id, team, keyHash string, cancel context.CancelCauseFunc) *answer {
	return &answer{id: id, team: team, keyHash: keyHash, cancel: cancel, header: make(http.Header), changed: make(chan struct{})}
}

func (a *answer) broadcast() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// begin sets status and header. Only the first call counts.
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

// complete ends a whole stream.
func (a *answer) complete() { a.end(true, nil) }

// settle sets a whole answer that is not streamed, at once.
func (a *answer) settle(status int, header http.Header, body []byte) {
	a.mu.Lock()
	a.status, a.data = status, body
	copyHeader(a.header, header)
	a.mu.Unlock()
	a.end(true, nil)
}

// fail ends an answer that is not whole. When the answer has begun as a stream, its last event is the error.
func (a *answer) fail(e *apierror.Error) {
	c := *e
	c.RequestID = a.id
	body := errorBody(&c)
	if a.begun() {
		a.write([]byte("event: error\ndata: "), body, []byte("\n\n"))
		a.end(false, &c)
		return
	}
	a.mu.Lock()
	a.status, a.data = c.HTTPStatus(), body
	a.header.Set("Content-Type", jsonType)
	a.mu.Unlock()
	a.end(false, &c)
}

func (a *answer) end(whole bool, e *apierror.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finished, a.whole, a.err, a.ended = true, whole, e, time.Now()
	if a.abandon != nil {
		a.abandon.Stop()
	}
	a.broadcast()
}

// attach counts a reader; the returned function ends it. Without readers the request is cancelled after a time, or at once when
// the answer has not begun: its caller does not know the id by which it could fetch the answer.
func (a *answer) attach(abandonAfter time.Duration) func() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
	if a.abandon != nil {
		a.abandon.Stop()
		a.abandon = nil
	}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.readers--
		if a.readers == 0 && !a.finished && a.cancel != nil {
			if a.status == 0 {
				abandonAfter = 0
			}
			a.abandon = time.AfterFunc(abandonAfter, func() { a.cancel(errAbandoned) })
		}
	}
}

// view is what a reader sees of an answer.
type view struct {
	status   int
	header   http.Header
	data     []byte
	finished bool
	whole    bool
	err      *apierror.Error
	changed  <-chan struct{}
}

// since returns what follows the first offset bytes. The caller must not change the data or the header.
func (a *answer) since(offset int64) view {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := view{status: a.status, finished: a.finished, whole: a.whole, err: a.err, changed: a.changed}
	if a.status != 0 {
		// Nothing changes the header once the status is set.
		v.header = a.header
	}
	if offset < int64(len(a.data)) {
		v.data = a.data[offset:]
	}
	return v
}

// follow calls handle for each part of an answer from an offset on, until its end, an error or the end of ctx. An answer
// that is not streamed has one part.
func (a *answer) follow(ctx context.Context, offset int64, handle func(view) error) error {
	for {
		v := a.since(offset)
		streamed := v.header.Get("Content-Type") == eventStreamType
		if v.finished || v.status != 0 && streamed {
			if err := handle(v); err != nil {
				return err
			}
			offset += int64(len(v.data))
		}
		if v.finished {
			a.noteDelivered()
			return nil
		}
		select {
		case <-v.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (a *answer) noteDelivered() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delivered = true
}

// wanted tells whether a whole answer has not been read to its end by anyone.
func (a *answer) wanted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.whole && !a.delivered
}

// answerStore keeps running answers, and finished ones for a time and within a bound of memory.
type answerStore struct {
	ttl      time.Duration
	maxBytes int64

	mu       sync.Mutex
	answers  map[string]*answer
	finished []*answer // in order of their end
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

// finish starts the retention of an answer that has ended.
func (s *answerStore) finish(a *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = append(s.finished, a)
	s.bytes += int64(len(a.data))
	s.evict()
}

// get returns the answer of a team, or nil.
func (s *answerStore) get(id, team string) *answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict()
	if a := s.answers[id]; a != nil && a.team == team {
		return a
	}
	return nil
}

// evict drops answers whose time is over, and the oldest while they take too much memory. The caller holds the lock.
func (s *answerStore) evict() {
	for len(s.finished) > 0 {
		oldest := s.finished[0]
		if time.Since(oldest.ended) < s.ttl && s.bytes <= s.maxBytes {
			return
		}
		s.finished = s.finished[1:]
		s.bytes -= int64(len(oldest.data))
		delete(s.answers, oldest.id)
	}
}

// wanted tells whether a whole answer is kept that nobody has read to its end.
func (s *answerStore) wanted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict()
	return slices.ContainsFunc(s.finished, (*answer).wanted)
}

// running returns the answers in progress that can be cancelled.
func (s *answerStore) running() []*answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*answer
	for _, a := range s.answers {
		if a.cancel != nil && !a.since(0).finished {
			out = append(out, a)
		}
	}
	return out
}
