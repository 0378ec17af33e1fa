package endpoint

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"time"
)

// BenchmarkChunk reads one chunk of a stream, the cost of each token at a gateway besides its two system calls.
func BenchmarkChunk(b *testing.B) {
	chunk := `data: {"id":"chatcmpl-r1","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":"token"},"finish_reason":null}]}` + "\n\n"
	const perStream = 1000
	text := []byte(fmt.Sprint(string(bytes.Repeat([]byte(chunk), perStream))))
	w := &watchdog{timer: time.AfterFunc(time.Hour, func() {})}
	defer w.timer.Stop()
	c := New(Options{})
	b.ReportAllocs()
	var s *Stream
	for i := 0; b.Loop(); i++ {
		if i%perStream == 0 {
			s = &Stream{client: c, id: "chatcmpl-r1", dog: w, lines: newEventScanner(io.NopCloser(bytes.NewReader(text)), 1<<20)}
		}
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
