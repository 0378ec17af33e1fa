package ingress

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against event boundaries that are missed or seen twice where reads split a stream, which would hide that a stream ended inside
// an event.
func TestEventScannerIsIndependentOfReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.SliceOf(rapid.StringMatching(`(id: [0-9]{1,3}\n)?(data: [a-z ]{0,9}\n)+`)).Draw(t, "events")
		var stream strings.Builder
		for _, e := range events {
			stream.WriteString(e + strings.Repeat("\n", rapid.IntRange(1, 3).Draw(t, "newlines")))
		}
		tail := rapid.SampledFrom([]string{"", "d", "data: x", "data: x\n"}).Draw(t, "tail")
		rest := stream.String() + tail
		var s eventScanner
		for len(rest) > 0 {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			s.scan([]byte(rest[:n]))
			rest = rest[n:]
		}
		if s.completed != len(events) || s.pending != len(tail) {
			t.Fatalf("%d events, %d bytes pending; want %d and %d", s.completed, s.pending, len(events), len(tail))
		}
	})
}
