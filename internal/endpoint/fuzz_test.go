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

// fixedResponse is an http.RoundTripper that responds to every request with the same body.
type fixedResponse []byte

func (a fixedResponse) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Request: r, Header: http.Header{requestIDHeader: {r.Header.Get(requestIDHeader)}},
		Body: io.NopCloser(bytes.NewReader(a))}, nil
}

func fuzzClient(body []byte) *Client {
	c := New(Options{MaxAnswerBytes: 1 << 16})
	c.pooled = &http.Client{Transport: fixedResponse(body)}
	return c
}

// Guards against a stream that crashes the gateway, or that is accepted as complete without finish_reason and usage or with the id of
// another request (guarantee G7).
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
		finished, hasUsage := false, false
		for {
			chunk, err := s.Next()
			if errors.Is(err, io.EOF) && AsError(err) == nil {
				if !finished || !hasUsage {
					t.Errorf("%q was accepted as complete without finish_reason and usage", body)
				}
				return
			}
			if err != nil {
				return
			}
			if !bytes.Contains(chunk.Data, []byte("chatcmpl-r")) && !bytes.Contains(chunk.Data, []byte(`\u`)) {
				t.Errorf("%q was accepted without the request id", chunk.Data)
			}
			finished, hasUsage = finished || chunk.FinishReason != "", hasUsage || chunk.Usage != nil
		}
	})
}

// Guards against a malformed response, load report, lookup or control state that crashes the process, and against an accepted response
// whose body differs from what the engine sent.
func FuzzAnswers(f *testing.F) {
	for _, s := range []string{`{"id":"chatcmpl-r","choices":[{"message":{"content":"x"},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":1}}`,
		`{"role":"mixed","running":1,"kv_free":-1,"adapters":["a"],"age_ms":-5}`, `{"state":"done","status":200,"body":"x","instance":"i"}`, `null`, `[]`, `{"usage":{}}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		c, ctx := fuzzClient(body), context.Background()
		if a, err := c.RunUnary(ctx, "e", DataRequest{Path: ChatPath, RequestID: "r"}); err == nil && !bytes.Equal(a.Body, body) {
			t.Errorf("the response %q became %q", body, a.Body)
		}
		_, _ = c.Load(ctx, "e")
		_, _ = c.ControlState(ctx, "e")
		_ = c.CacheEvents(ctx, "e", func(CacheEvent) error { return nil })
		if l, err := c.Lookup(ctx, "e", "r"); err == nil {
			_ = l.ContentType()
		}
	})
}
