package ingress

import "bytes"

var eventEnd = []byte("\n\n")

// eventScanner finds the boundaries of events in the bytes of a stream.
type eventScanner struct {
	// completed is the number of complete events.
	completed int
	// pending is the number of bytes of the event that is not complete yet. endsInNewline is true if the last of them is a newline,
	// which may be the first half of the event's end.
	pending       int
	endsInNewline bool
}

// scan adds received bytes and returns the number of events that they complete.
func (s *eventScanner) scan(p []byte) int {
	before := s.completed
	for len(p) > 0 {
		if s.pending == 0 {
			if p = bytes.TrimLeft(p, "\n"); len(p) == 0 {
				break // empty lines between events
			}
		}
		end := 0
		if s.endsInNewline && p[0] == '\n' {
			end = 1
		} else if i := bytes.Index(p, eventEnd); i >= 0 {
			end = i + len(eventEnd)
		}
		if end == 0 {
			s.pending += len(p)
			s.endsInNewline = p[len(p)-1] == '\n'
			break
		}
		s.completed++
		s.pending, s.endsInNewline = 0, false
		p = p[end:]
	}
	return s.completed - before
}
