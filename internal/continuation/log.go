package continuation

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusglade.example/crocusglade/internal/bootclock"
)

const (
	// streamRetention is how long after it began, or was last resumed, a stream can be taken up.
	streamRetention = 5 * time.Minute
	// maxStreams bounds the streams in a log. The oldest are dropped first.
	maxStreams = 100_000
	// doubtAfterRestart is how long before this VM learns of an endpoint's restart the endpoint may have restarted.
	doubtAfterRestart = 15 * time.Second
)

// Key identifies a stream by its team and the request that brought its first event.
type Key uint64

// NoKey stands for the key of a stream that nobody names. Such streams aren't kept.
const NoKey Key = 0

// NewKey returns the key of a team's request, NoKey without a request.
func NewKey(team, requestID string) Key {
	if requestID == "" {
		return NoKey
	}
	return Key(xxhash.Sum64String(team + "\x00" + requestID))
}

// Stream is a stream that an endpoint began. Version is empty if it isn't known.
type Stream struct {
	Key              Key
	Service, Version string
	// Endpoint and StartedAtMS are the incarnation of the endpoint that the stream's first event came from.
	Endpoint    string
	StartedAtMS int64
}

func (s *Stream) origin() Origin { return Begun(s.Service, s.Version) }

// streamLog holds streams for streamRetention. It isn't safe for concurrent use.
type streamLog struct {
	streams map[Key]loggedStream
	// order holds the keys by time. A stream that was added again is in it more than once.
	order []loggedKey
}

type loggedStream struct {
	Stream
	at bootclock.Instant
}

type loggedKey struct {
	key Key
	at  bootclock.Instant
}

// add adds a stream, or extends its time. A stream whose version was found to be unknown stays so.
func (l *streamLog) add(s Stream) {
	if l.streams == nil {
		l.streams = make(map[Key]loggedStream)
	}
	now := bootclock.Now()
	if old, ok := l.streams[s.Key]; ok && old.Version != s.Version {
		s.Version = ""
	}
	l.streams[s.Key] = loggedStream{s, now}
	l.order = append(l.order, loggedKey{s.Key, now})
	l.prune(now)
}

func (l *streamLog) prune(now bootclock.Instant) {
	dropped := 0
	for _, k := range l.order {
		if now.Sub(k.at) <= streamRetention && len(l.order)-dropped <= maxStreams {
			break
		}
		dropped++
		if l.streams[k.key].at == k.at {
			delete(l.streams, k.key)
		}
	}
	l.order = l.order[dropped:]
}

func (l *streamLog) get(k Key) (Stream, bool) {
	s, ok := l.streams[k]
	return s.Stream, ok && bootclock.Since(s.at) <= streamRetention
}

// since returns the streams that were added after an instant.
func (l *streamLog) since(at bootclock.Instant) []Stream {
	var list []Stream
	for i := len(l.order) - 1; i >= 0 && l.order[i].at > at; i-- {
		if s := l.streams[l.order[i].key]; s.at == l.order[i].at {
			list = append(list, s.Stream)
		}
	}
	return list
}

// doubt makes the versions of the streams unknown that may have begun after an endpoint restarted with another software version.
func (l *streamLog) doubt(endpoint string, startedAtMS int64) {
	earliest := bootclock.Now().Add(-doubtAfterRestart)
	for k, s := range l.streams {
		if s.Endpoint == endpoint && s.StartedAtMS == startedAtMS && s.at > earliest {
			s.Version = ""
			l.streams[k] = s
		}
	}
}
