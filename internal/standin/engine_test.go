package standin

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func post(t *testing.T, url, id, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Request-Id", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

// Guards against a stand-in whose resumed or continued output differs from the output of one run.
func TestEngineOutputIsTheSameInParts(t *testing.T) {
	e := NewEngine(EngineConfig{})
	s := httptest.NewServer(e)
	defer s.Close()
	_, whole := post(t, s.URL+"/v1/completions", "a", `{"prompt":"log","max_tokens":4}`)
	if !strings.Contains(whole, ExpectedOutput("log", 4)) {
		t.Fatalf("answer %s lacks the expected output", whole)
	}
	resp, err := http.Get(s.URL + "/v1/requests/a/stream?after=3")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	if !strings.Contains(string(b), ExpectedToken("log", 3)) || strings.Contains(string(b), ExpectedToken("log", 2)) || !strings.HasSuffix(string(b), "data: [DONE]\n\n") {
		t.Fatalf("resumed stream is wrong: %s", b)
	}
	body := fmt.Sprintf(`{"prompt":"log","max_tokens":4,"continue_after":2,"continue_text":%q,"stream":true}`, ExpectedOutput("log", 2))
	if _, rest := post(t, s.URL+"/v1/completions", "b", body); !strings.Contains(rest, ExpectedToken("log", 2)) || strings.Contains(rest, ExpectedToken("log", 1)) {
		t.Fatalf("continued stream is wrong: %s", rest)
	}
}

// Guards against a stand-in that applies an order twice, or a stale one where fencing numbers are checked.
func TestEngineOrders(t *testing.T) {
	e := NewEngine(EngineConfig{ChecksFence: true})
	s := httptest.NewServer(e)
	defer s.Close()
	for _, c := range []struct {
		body   string
		status int
	}{
		{`{"id":"1","fence":5,"kind":"drain"}`, 200},
		{`{"id":"2","fence":4,"kind":"resume"}`, 409},
		{`{"id":"1","fence":5,"kind":"drain"}`, 200},
	} {
		if status, b := post(t, s.URL+"/v1/control/orders", "", c.body); status != c.status {
			t.Fatalf("order %s gave %d: %s", c.body, status, b)
		}
	}
	if status, _ := post(t, s.URL+"/v1/completions", "x", `{"prompt":"p"}`); status != 503 {
		t.Fatalf("a draining engine took work with status %d", status)
	}
	if o := e.Orders(); len(o) != 3 || !o[0].Applied || !o[1].Refused || o[2].Applied {
		t.Fatalf("order log %+v", o)
	}
}
