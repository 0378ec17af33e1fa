package gateway

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"crocusglade.example/crocusglade/internal/apierror"
)

// keyPattern matches keys as auth.NewKey makes them: the prefix, the team, and 24 random bytes in base64. The last part is
// open-ended, because a team's name may hold an underscore.
var keyPattern = regexp.MustCompile(`cg_[A-Za-z0-9._~-]{0,128}?_[A-Za-z0-9_-]{32,}`)

// removed replaces a key in text that goes to an endpoint.
const removed = "[removed]"

// credentialNames are headers, query parameters and top-level body fields that carry credentials by their name.
var credentialNames = []string{"authorization", "x-api-key", "api-key", "api_key", "apikey", "access_token", "x-auth-token"}

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// refusedHeaders change the meaning of a request on its way: its framing, its connection or its method. A changed method
// would let a non-idempotent call pass as an idempotent one.
var refusedHeaders = []string{"Upgrade", "Trailer", "Proxy-Connection", "Proxy-Authorization", "X-Http-Method-Override",
	"X-Http-Method", "X-Method-Override"}

// checkFraming refuses requests whose headers could make an endpoint see another request than the gateway did.
func checkFraming(r *http.Request) error {
	refuse := func(what string) error {
		return apierror.New(apierror.InvalidRequest, "send a plain request with one Content-Length or chunked encoding", "%s is not accepted", what)
	}
	for _, name := range refusedHeaders {
		if _, ok := r.Header[name]; ok {
			return refuse("header " + name)
		}
	}
	if len(r.Trailer) > 0 {
		return refuse("a trailer")
	}
	for _, value := range r.Header.Values("Connection") {
		for _, option := range strings.Split(value, ",") {
			if o := strings.ToLower(strings.TrimSpace(option)); o != "keep-alive" && o != "close" && o != "" {
				return refuse("connection option " + o)
			}
		}
	}
	for name := range r.Header {
		// Some servers read an underscore as a hyphen, so such a name would set the length a second time.
		plain := strings.ReplaceAll(strings.ToLower(name), "_", "-")
		if plain != strings.ToLower(name) && (plain == "content-length" || plain == "transfer-encoding") {
			return refuse("header " + name)
		}
	}
	return nil
}

func namesCredential(name string) bool {
	return slices.Contains(credentialNames, strings.ToLower(name))
}

// scrubHeader returns the headers that may go to an endpoint.
func scrubHeader(in http.Header) http.Header {
	out := make(http.Header, len(in))
	for name, values := range in {
		if namesCredential(name) || slices.Contains(hopHeaders, name) {
			continue
		}
		if slices.ContainsFunc(values, holdsKey) {
			continue
		}
		out[name] = slices.Clone(values)
	}
	return out
}

func holdsKey(value string) bool { return scrubText(value) != value }

// maxEscapes is how many layers of escapes are undone in search of a key.
const maxEscapes = 3

// scrubText removes keys from text, also where escapes hide them. Text without a key passes unchanged, and text whose
// key was escaped loses its escapes.
func scrubText(text string) string {
	plain := text
	for range maxEscapes {
		if keyPattern.MatchString(plain) {
			return keyPattern.ReplaceAllString(plain, removed)
		}
		next := unescape(plain)
		if next == plain {
			break
		}
		plain = next
	}
	if keyPattern.MatchString(plain) {
		return keyPattern.ReplaceAllString(plain, removed)
	}
	return text
}

// unescape undoes percent escapes and JSON's escapes of ASCII, and leaves what is no valid escape, as lenient servers do. A strict
// decoder would give up at the first invalid escape and miss a key after it.
func unescape(text string) string {
	if !strings.ContainsAny(text, `%\`) {
		return text
	}
	out := make([]byte, 0, len(text))
	for i := 0; i < len(text); i++ {
		if n, b := escapeAt(text[i:]); n > 0 {
			out = append(out, b)
			i += n - 1
			continue
		}
		out = append(out, text[i])
	}
	return string(out)
}

// escapeAt returns the length of the escape that the text begins with, and the byte that it stands for; 0 when there is none.
func escapeAt(text string) (int, byte) {
	for _, prefix := range []string{"%", `\u00`} {
		digits, ok := strings.CutPrefix(text, prefix)
		if !ok || len(digits) < 2 {
			continue
		}
		if b, err := hex.DecodeString(digits[:2]); err == nil {
			return len(prefix) + 2, b[0]
		}
	}
	return 0, 0
}

// scrubPath removes keys from an escaped path. Segments without a key keep their escapes.
func scrubPath(escaped string) string {
	segments := strings.Split(escaped, "/")
	for i, segment := range segments {
		if holdsKey(segment) {
			segments[i] = url.PathEscape(scrubText(segment))
		}
	}
	return strings.Join(segments, "/")
}

// scrubQuery removes parameters that carry a key. A query without one passes unchanged.
func scrubQuery(raw string) string {
	kept := make([]string, 0, strings.Count(raw, "&")+1)
	for _, pair := range strings.Split(raw, "&") {
		name, _, _ := strings.Cut(pair, "=")
		if n, err := url.QueryUnescape(name); err == nil {
			name = n
		}
		if !namesCredential(name) && !holdsKey(pair) {
			kept = append(kept, pair)
		}
	}
	return strings.Join(kept, "&")
}

// scrubBody removes keys from a body. JSON and form bodies are parsed, since escapes may hide a key there; a body without a
// key passes unchanged.
func scrubBody(contentType string, body []byte) []byte {
	// The body decides before its declared type, because a service may ignore the type.
	if cleaned, ok := scrubJSON(body); ok {
		return cleaned
	}
	if strings.Contains(contentType, "x-www-form-urlencoded") {
		return []byte(scrubQuery(string(body)))
	}
	return []byte(scrubText(string(body)))
}

// scrubJSON returns false when the body is not one JSON value.
func scrubJSON(body []byte) ([]byte, bool) {
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	var v any
	if d.Decode(&v) != nil || d.More() {
		return nil, false
	}
	found := false
	if top, ok := v.(map[string]any); ok {
		for name := range top {
			if namesCredential(name) {
				delete(top, name)
				found = true
			}
		}
	}
	v = scrubValue(v, &found)
	if !found {
		return body, true
	}
	cleaned, err := json.Marshal(v)
	return cleaned, err == nil
}

func scrubValue(v any, found *bool) any {
	switch v := v.(type) {
	case string:
		if cleaned := scrubText(v); cleaned != v {
			*found = true
			return cleaned
		}
	case []any:
		for i := range v {
			v[i] = scrubValue(v[i], found)
		}
	case map[string]any:
		for name, value := range v {
			if holdsKey(name) {
				*found = true
				delete(v, name)
				continue
			}
			v[name] = scrubValue(value, found)
		}
	}
	return v
}
