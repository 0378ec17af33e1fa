package endpoint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// fixedAnswer answers every request with one body.
type fixedAnswer []byte

func (a fixedAnswer) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Request: r, Header: http.Header{requestIDHeader: {r.Header.Get(requestIDHeader)}},
		Body: io.NopCloser(bytes.NewReader(a))}, nil
}

func fuzzClient(answer []byte) *Client {
	c := New(Options{MaxAnswerBytes: 1 << 16})
	c.pooled = &http.Client{Transport: fixedAnswer(answer)}
	return c
}

// Guards against a stream that ends the gateway, or that counts as whole without all its end marks or with another request's id
// (G7).
func FuzzStream(f *testing.F) {
	chunk := `data: {"id":"chatcmpl-r","choices":[{"delta":{"content":"a"},"finish_reason":null}]}` + "\n\n"
	end := `data: {"id":"chatcmpl-r","choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n" +
		`data: {"id":"chatcmpl-r","choices":[],"usage":{"prompt_tokens":1,"completion_tokens":1}}` + "\n\n"
	for _, s := range []string{chunk + end + "data: [DONE]\n\n", chunk + "data: [DONE]\n\n", end, "data:\n", "data: null\n\n", "event: error\ndata: {}\n\n",
		strings.Replace(chunk, "-r", "-s", 1) + end, chunk + "data: {\"id\":\"chatcmpl-r\",\"choices\":[{\"delta\":{\"content\":7}}]}\n\n", strings.Repeat("x", 1<<16)} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := fuzzClient(body).Stream(context.Background(), "127.0.0.1:1", DataRequest{Path: ChatPath, RequestID: "r"})
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		finished, used := false, false
		for {
			chunk, err := s.Next()
			if errors.Is(err, io.EOF) && AsError(err) == nil {
				if !finished || !used {
					t.Errorf("%q is whole without finish_reason and usage", body)
				}
				return
			}
			if err != nil {
				return
			}
			if !bytes.Contains(chunk.Data, []byte("chatcmpl-r")) && !bytes.Contains(chunk.Data, []byte(`\u`)) {
				t.Errorf("%q passed without the request's id", chunk.Data)
			}
			finished, used = finished || chunk.FinishReason != "", used || chunk.Usage != nil
		}
	})
}

// Guards against a whole answer, a load report, a lookup or a control state that ends a process, and against a whole answer
// without output.
func FuzzAnswers(f *testing.F) {
	for _, s := range []string{`{"id":"chatcmpl-r","choices":[{"message":{"content":"x"},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":1}}`,
		`{"role":"mixed","running":1,"kv_free":-1,"adapters":["a"],"age_ms":-5}`, `{"state":"done","status":200,"body":"x","instance":"i"}`, `null`, `[]`, `{"usage":{}}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		c, ctx := fuzzClient(body), context.Background()
		if a, err := c.RunUnary(ctx, "e", DataRequest{Path: ChatPath, RequestID: "r"}); err == nil && !bytes.Equal(a.Body, body) {
			t.Errorf("the answer %q became %q", body, a.Body)
		}
		_, _ = c.Load(ctx, "e")
		_, _ = c.ControlState(ctx, "e")
		_ = c.CacheEvents(ctx, "e", func(CacheEvent) error { return nil })
		if l, err := c.Lookup(ctx, "e", "r"); err == nil {
			_ = l.ContentType()
		}
	})
}
