package eventstream

import (
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against event boundaries that are missed or seen twice where reads split a stream, which would hide that a stream ended inside
// an event, and against streams whose lines end with CR LF and seem to have no events.
func TestScannerIsIndependentOfReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		withLineEnds := func(s string) string { return strings.ReplaceAll(s, "\n", lineEnd) }
		events := rapid.SliceOf(rapid.StringMatching(`(id: [0-9]{1,3}\n)?(data: ([a-z \r]{0,8}[a-z ])?\n)+`)).Draw(t, "events")
		var stream strings.Builder
		endOfLast := 0
		for _, e := range events {
			stream.WriteString(withLineEnds(e + "\n"))
			endOfLast = stream.Len()
			stream.WriteString(withLineEnds(strings.Repeat("\n", rapid.IntRange(0, 2).Draw(t, "empty lines"))))
		}
		tail := withLineEnds(rapid.SampledFrom([]string{"", "d", "data: x", "data: x\n"}).Draw(t, "tail"))
		rest := stream.String() + tail
		var s Scanner
		completed, lastEnd, read := 0, 0, 0
		for len(rest) > 0 {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			more, end := s.Scan([]byte(rest[:n]))
			if completed += more; more > 0 {
				lastEnd = read + end
			}
			read, rest = read+n, rest[n:]
		}
		if s.Completed != len(events) || completed != len(events) || lastEnd != endOfLast {
			t.Fatalf("%d events, %d counted by reads, the last of which ends at %d; want %d and %d", s.Completed, completed, lastEnd, len(events), endOfLast)
		}
		if s.Pending != len(tail) {
			t.Fatalf("%d bytes pending, want %d", s.Pending, len(tail))
		}
	})
}

// Guards against bytes before the first event of a resumed stream that are taken for a part of it because a later event has an id.
func TestFirst(t *testing.T) {
	for events, want := range map[string]string{
		"id: 1\n\nid: 2\n\n":              "id: 1\n\n",
		"\n\nid: 1\n\nid: 2\n\n":          "\n\nid: 1\n\n",
		"HTTP/1.1 500 E\r\n\r\nid: 2\n\n": "HTTP/1.1 500 E\r\n\r\n",
		"id: 1\n":                         "id: 1\n",
		"":                                "",
	} {
		if got := First([]byte(events)); string(got) != want {
			t.Errorf("first of %q is %q, want %q", events, got, want)
		}
	}
}

// Guards against a buffered stream that is passed on as complete although it ends inside an event, and against other content that is taken
// for a stream.
func TestIsBrokenOff(t *testing.T) {
	for _, c := range []struct {
		contentType, body string
		want              bool
	}{
		{"text/event-stream", "data: a\n\ndata: b", true},
		{"text/event-stream; charset=utf-8", "data: a\n\ndata: b\n", true},
		{"text/event-stream", "data: a\n\ndata: b\n\n", false},
		{"text/event-stream", "data: a\r\n\r\n", false},
		{"text/event-stream", "", false},
		{"application/json", "{}", false},
		{"", "data: a", false},
	} {
		if got := IsBrokenOff(http.Header{"Content-Type": {c.contentType}}, []byte(c.body)); got != c.want {
			t.Errorf("%q with %q: %v, want %v", c.contentType, c.body, got, c.want)
		}
	}
}
