// Package eventstream finds the events in the bytes of a text/event-stream, so that a stream that was broken off inside an event is
// recognized whatever the framing of its response says.
package eventstream

import (
	"bytes"
	"mime"
	"net/http"
)

// Scanner finds the boundaries of events in the bytes of a stream. An empty line ends an event; a line ends with LF or CR LF.
type Scanner struct {
	// Completed is the number of complete events.
	Completed int
	// Pending is the number of bytes of the event that is not complete yet.
	Pending int
	// lineHasText is true if the current line is not empty. afterCR is true if it has a carriage return so far, which belongs to the end
	// of an empty line unless text follows.
	lineHasText, afterCR bool
}

// Scan adds received bytes. It returns the number of events that they complete, and the number of bytes up to the end of the last one.
func (s *Scanner) Scan(p []byte) (completed, end int) {
	for read := 0; read < len(p); {
		text, _, lineEnds := bytes.Cut(p[read:], []byte("\n"))
		read += len(text)
		s.addText(text)
		if !lineEnds {
			break
		}
		read++
		if s.Pending > 0 && !s.lineHasText {
			s.Completed++
			completed++
			s.Pending, end = 0, read
		} else if s.Pending > 0 {
			s.Pending++
		}
		s.lineHasText, s.afterCR = false, false
	}
	return completed, end
}

// addText adds a part of the current line, without its newline.
func (s *Scanner) addText(text []byte) {
	if !s.lineHasText {
		s.lineHasText = s.afterCR && len(text) > 0 || len(text) > 1 || len(text) == 1 && text[0] != '\r'
		s.afterCR = s.afterCR || len(text) > 0
	}
	if s.Pending > 0 || s.lineHasText {
		s.Pending += len(text)
	}
}

// First returns the first event among complete events.
func First(events []byte) []byte {
	var s Scanner
	for read := 0; ; {
		line, _, found := bytes.Cut(events[read:], []byte("\n"))
		if !found {
			return events
		}
		read += len(line) + 1
		if completed, _ := s.Scan(events[read-len(line)-1 : read]); completed > 0 {
			return events[:read]
		}
	}
}

// IsBrokenOff reports whether a whole response body is a stream, by its Content-Type, that was broken off inside an event.
func IsBrokenOff(h http.Header, body []byte) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	if err != nil || mediaType != "text/event-stream" {
		return false
	}
	var s Scanner
	s.Scan(body)
	return s.Pending > 0
}
