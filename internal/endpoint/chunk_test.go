package endpoint

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"
)

// BenchmarkChunk parses one chunk of a stream. A gateway pays this cost for each token, besides two system calls.
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
			s = &Stream{client: c, responseID: "chatcmpl-r1", stallTimer: w, buffers: c.buffers.Reserve("e"), lines: newEventScanner(io.NopCloser(bytes.NewReader(text)), 1<<20)}
		}
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against a delta that the fast path of UnmarshalJSON decodes differently from a general JSON decoder: escapes, quotes, other
// fields, invalid UTF-8.
func TestDeltaDecodesLikeJSON(t *testing.T) {
	for _, raw := range []string{`{"content":"plain"}`, `{"content":""}`, `{"content":"a\"b\u00e9\n"}`, `{"content":"a","role":"assistant"}`,
		`{"content":"x","tool_calls":[{"id":"1"}]}`, `{"content":null}`, `{"content": "spaced"}`, `{}`, `null`, `{"role":"assistant","content":"y"}`,
		"{\"content\":\"\xff\"}", `{"content":"é€"}`} {
		var fast delta
		var generic map[string]any
		if err := json.Unmarshal([]byte(raw), &fast); err != nil {
			t.Fatal(raw, err)
		}
		if err := json.Unmarshal([]byte(raw), &generic); err != nil {
			t.Fatal(raw, err)
		}
		got, want := &Chunk{TextOnly: true}, &Chunk{TextOnly: true}
		got.addChoice(choice{Delta: fast})
		want.addChoice(choice{Delta: delta{fields: generic}})
		if got.Text != want.Text || got.TextOnly != want.TextOnly {
			t.Errorf("%s: got %q, text only %v; want %q, text only %v", raw, got.Text, got.TextOnly, want.Text, want.TextOnly)
		}
	}
}
