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

// Guards against resumed or continued output that differs from the output of a single uninterrupted request.
func TestEngineResumedOutputMatches(t *testing.T) {
	e := NewEngine(EngineConfig{})
	s := httptest.NewServer(e)
	defer s.Close()
	_, response := post(t, s.URL+"/v1/completions", "a", `{"prompt":"log","max_tokens":4}`)
	if !strings.Contains(response, ExpectedOutput("log", 4)) {
		t.Fatalf("response %s lacks the expected output", response)
	}
	resp, err := http.Get(s.URL + "/v1/requests/a/stream?after=3")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	if !strings.Contains(string(b), ExpectedToken("log", 3)) || strings.Contains(string(b), ExpectedToken("log", 2)) || !strings.HasSuffix(string(b), "data: [DONE]\n\n") {
		t.Fatalf("resumed stream does not contain exactly the tokens from index 3: %s", b)
	}
	body := fmt.Sprintf(`{"prompt":"log","max_tokens":4,"continue_after":2,"continue_text":%q,"stream":true}`, ExpectedOutput("log", 2))
	if _, rest := post(t, s.URL+"/v1/completions", "b", body); !strings.Contains(rest, ExpectedToken("log", 2)) || strings.Contains(rest, ExpectedToken("log", 1)) {
		t.Fatalf("continued stream does not start at token 2: %s", rest)
	}
}

// Guards against a repeated order that is applied twice, and against an order with a stale fencing token that is applied although
// ChecksFence is set.
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
			t.Fatalf("order %s: status %d, body %s", c.body, status, b)
		}
	}
	if status, _ := post(t, s.URL+"/v1/completions", "x", `{"prompt":"p"}`); status != 503 {
		t.Fatalf("draining engine responded to a request with status %d, want 503", status)
	}
	if o := e.Orders(); len(o) != 3 || !o[0].Applied || !o[1].Rejected || o[2].Applied {
		t.Fatalf("order log %+v", o)
	}
}
