package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"testing"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/auth"
	"crocusglade.example/crocusglade/internal/config"
	"crocusglade.example/crocusglade/internal/endpoint"
)

// fuzzKey has the form of an issued key.
const fuzzKey = "cg_rope_ABCDEFGHIJKLMNOPQRSTUVWXYZabcdef"

// encodeKey returns fuzzKey in plain text, with percent escapes or with JSON escapes, depending on mode.
func encodeKey(mode uint8) string {
	var out strings.Builder
	for i, b := range []byte(fuzzKey) {
		switch {
		case mode%3 == 1 && i%2 == 0:
			fmt.Fprintf(&out, "%%%02x", b)
		case mode%3 == 2 && i%3 == 0:
			fmt.Fprintf(&out, `\u%04x`, b)
		default:
			out.WriteByte(b)
		}
	}
	return out.String()
}

// exposesKey reports whether fuzzKey is in the text, in plain text or after decoding the usual escapes.
func exposesKey(text string) bool {
	if strings.Contains(text, fuzzKey) || strings.Contains(unescape(text), fuzzKey) {
		return true
	}
	if plain, err := url.QueryUnescape(text); err == nil && strings.Contains(plain, fuzzKey) {
		return true
	}
	var v any
	if json.Unmarshal([]byte(text), &v) != nil {
		return false
	}
	return strings.Contains(fmt.Sprint(v), fuzzKey)
}

// Guards against a key that reaches an endpoint (guarantee G4) in a body of any type, a query, a path or a header, in plain text or
// escaped, with arbitrary text around it.
func FuzzScrub(f *testing.F) {
	for mode := range uint8(3) {
		f.Add("application/json", `{"a":"`, `"}`, mode)
		f.Add("application/x-www-form-urlencoded", "a=1&b=", "&c=%zz", mode)
		f.Add("text/plain", "before %", " after", mode)
		f.Add("", `[{"`, `":1}]`, mode)
	}
	f.Fuzz(func(t *testing.T, contentType, before, after string, mode uint8) {
		text := before + encodeKey(mode) + after
		if got := string(scrubBody(contentType, []byte(text))); exposesKey(got) {
			t.Errorf("body of type %q: %q became %q", contentType, text, got)
		}
		if got := scrubQuery(text); exposesKey(got) {
			t.Errorf("query %q became %q", text, got)
		}
		if got := scrubPath(text); exposesKey(got) {
			t.Errorf("path %q became %q", text, got)
		}
		for _, values := range scrubHeader(map[string][]string{"X-A": {text}}) {
			if exposesKey(strings.Join(values, "")) {
				t.Errorf("header %q was forwarded", text)
			}
		}
		plain := []byte(before + after)
		if got := scrubBody("text/plain", plain); !containsKey(string(plain)) && !json.Valid(plain) && !bytes.Equal(got, plain) {
			t.Errorf("a body without a key changed from %q to %q", plain, got)
		}
	})
}

// Guards against a request body that crashes the gateway, or that sets a field which only the gateway may set.
func FuzzModelBody(f *testing.F) {
	for _, body := range []string{
		`{"model":"m","messages":[{"role":"user","content":"x"}]}`, `{"model":"m@1","prompt":"x","max_tokens":3}`,
		`{"model":"m","prompt":"x","cache_salt":"other","cache_ſalt":"other","Priority":0,"stream":true,"stream_options":null}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"max_completion_tokens":-1}`,
		`[]`, `{`, `null`, `{"model":null}`, `{"model":"m","prompt":1e999}`,
	} {
		f.Add([]byte(body))
	}
	snapshots := config.NewSnapshotStore()
	snapshots.ApplyEvents([]apitypes.Event{{Revision: 2, Type: apitypes.EventPut, Object: apitypes.Object{Kind: apitypes.KindPool, Name: "llm", Version: 2,
		Data: json.RawMessage(`{"name":"llm","kind":"engine","model":"m","version":"1"}`)}}})
	template := &apitypes.Template{Name: "t", Models: []apitypes.ModelGrant{{Model: "m"}}}
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, path := range []string{endpoint.ChatPath, endpoint.CompletionPath} {
			m := &modelCall{path: path, call: &call{snapshot: snapshots.Current(), team: "rope", template: template, body: body, priority: apitypes.PriorityNormal}}
			if m.parseBody("salt") != nil {
				continue
			}
			sent := m.engineRequest(0, "").Body
			var got struct {
				Model     string `json:"model"`
				Priority  int    `json:"priority"`
				CacheSalt string `json:"cache_salt"`
			}
			if err := json.Unmarshal(sent, &got); err != nil || got.Model != "m" || got.Priority != int(apitypes.PriorityNormal) || got.CacheSalt != "salt" {
				t.Errorf("the body %q became %q: %v", body, sent, err)
			}
		}
	})
}

// Guards against a request id from a caller that crashes the gateway, or whose signature is valid for two teams.
func FuzzRequestID(f *testing.F) {
	g := &Gateway{opts: Options{VM: "vm.1", Incarnation: "abc", Keyring: auth.NewKeyring([]byte("secret"))}}
	f.Add(g.newID("rope", endpoint.ChatPath, "llm"))
	f.Add("....")
	f.Add("a.b.c.d")
	f.Fuzz(func(t *testing.T, id string) {
		parsed, ok := parseID(id)
		if ok && parsed.unsigned+"."+parsed.signature != id {
			t.Errorf("%q was parsed as %+v", id, parsed)
		}
		if ok && g.idSignature(parsed.unsigned, "rope", endpoint.ChatPath, "llm") == g.idSignature(parsed.unsigned, "clerk", endpoint.ChatPath, "llm") {
			t.Errorf("the signature of %q is valid for two teams", id)
		}
	})
}
