package apitypes

import (
	"strings"
	"testing"
)

// Guards against invalid configuration that is accepted, or that is rejected without naming the field and a remedy.
func TestValidateObject(t *testing.T) {
	const endpoint = `{"name":"e1","addr":"https://10.0.0.1:80","failure_domain":"roja","class":"on_demand"}`
	cases := []struct{ name, kind, data, field string }{
		{"valid template", KindTemplate, `{"name":"x","models":[{"model":"m"}],"routes":["r"],"priority":1,"retire":"wait","limits":{}}`, ""},
		{"priority out of range", KindTemplate, `{"name":"x","priority":3,"retire":"wait"}`, "priority"},
		{"priority for a route that is not allowed", KindTemplate, `{"name":"x","retire":"wait","route_priority":{"r":1}}`, "route_priority.r"},
		{"unknown retire mode", KindTemplate, `{"name":"x","retire":"kill"}`, "retire"},
		{"model listed twice", KindTemplate, `{"name":"x","retire":"move","models":[{"model":"m"},{"model":"m"}]}`, "models[1].model"},
		{"negative limit", KindTemplate, `{"name":"x","retire":"move","limits":{"concurrent":-1}}`, "limits.concurrent"},
		{"valid team", KindTeam, `{"name":"x","template":"t"}`, ""},
		{"misspelt field", KindTeam, `{"name":"x","template":"t","wieght":2}`, "team"},
		{"data after the JSON value", KindTeam, `{"name":"x","template":"t"} {}`, "team"},
		{"no template", KindTeam, `{"name":"x"}`, "template"},
		{"name with a slash", KindTeam, `{"name":"x/y","template":"t"}`, "name"},
		{"name of another object", KindTeam, `{"name":"y","template":"t"}`, "name"},
		{"valid pool", KindPool, `{"name":"x","kind":"engine","model":"m","endpoints":[` + endpoint + `]}`, ""},
		{"engine pool without model", KindPool, `{"name":"x","kind":"engine"}`, "model"},
		{"service pool with model", KindPool, `{"name":"x","kind":"service","model":"m"}`, "model"},
		{"endpoint listed twice", KindPool, `{"name":"x","kind":"service","endpoints":[` + endpoint + `,` + endpoint + `]}`, "endpoints[1].name"},
		{"address without port", KindPool, `{"name":"x","kind":"service","endpoints":[{"name":"e","addr":"h","failure_domain":"d","class":"on_demand"}]}`, "endpoints[0].addr"},
		{"plain address outside loopback", KindPool, `{"name":"x","kind":"service","endpoints":[{"name":"e","addr":"10.0.0.1:80","failure_domain":"d","class":"on_demand"}]}`, "endpoints[0].addr"},
		{"minimum above the maximum", KindPool, `{"name":"x","kind":"service","min_on_demand":3,"max_endpoints":2}`, "min_on_demand"},
		{"lower-case method", KindRoute, `{"name":"x","pool":"p","idempotent_methods":["get"]}`, "idempotent_methods[0]"},
		{"route without pool", KindRoute, `{"name":"x"}`, "pool"},
		{"unknown scope", KindAdmin, `{"name":"x","hash":"h","scopes":["root"]}`, "scopes[0]"},
		{"kind that only the system writes", KindLease, `{}`, "kind"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, errs := ValidateObject(c.kind, "x", []byte(c.data))
			if c.field == "" {
				if len(errs) > 0 {
					t.Fatalf("valid object rejected: %v", errs)
				}
				return
			}
			for _, err := range errs {
				fieldErr, ok := err.(*FieldError)
				if ok && fieldErr.Field == c.field && fieldErr.Remedy != "" && strings.Contains(err.Error(), fieldErr.Remedy) {
					return
				}
			}
			t.Fatalf("no error with a remedy for %s in %v", c.field, errs)
		})
	}
}

// Guards against requests and orders that are sent unencrypted over a network, and against endpoint addresses that can be parsed in
// two ways.
func TestEndpointURL(t *testing.T) {
	for addr, want := range map[string]string{
		"127.0.0.1:80": "http://127.0.0.1:80/x", "[::1]:80": "http://[::1]:80/x", "localhost:80": "http://localhost:80/x",
		"https://10.0.0.1:80": "https://10.0.0.1:80/x", "https://127.0.0.1:80": "https://127.0.0.1:80/x", "https://e.example:80": "https://e.example:80/x",
		"10.0.0.1:80": "", "e.example:80": "", "http://10.0.0.1:80": "", "http://127.0.0.1:80": "", "https://10.0.0.1": "", "https://10.0.0.1:80/p": "",
		"https://user@10.0.0.1:80": "", "0.0.0.0:80": "", ":80": "", "127.0.0.1:0": "", "": "",
	} {
		got, err := EndpointURL(addr, "/x")
		if got != want || (err == nil) != (want != "") {
			t.Errorf("%q: got %q, %v", addr, got, err)
		}
		if err != nil && !strings.Contains(err.Error(), "https://") {
			t.Errorf("%q: the error names no remedy: %v", addr, err)
		}
	}
}
