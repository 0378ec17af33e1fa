package admin

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
)

// Guards against a team or a route that refers to a missing object, and against the deletion of an object that others refer to.
func TestReferences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		put := func(path, body string) (int, map[string]any) {
			return f.call("boot", http.MethodPut, "/config/"+path, "*", body)
		}
		expectRefused := func(what string, status, want int, body map[string]any, wantName string) {
			t.Helper()
			if kind, message := errorOf(body); status != want || kind == "no remedy" || !strings.Contains(message, wantName) {
				t.Errorf("%s: %d %v", what, status, body)
			}
		}
		status, body := put("team/rope", `{"name":"rope","template":"boats"}`)
		expectRefused("team without template", status, http.StatusBadRequest, body, "template boats")
		status, body = put("route/lines", `{"name":"lines","pool":"quayside"}`)
		expectRefused("route without pool", status, http.StatusBadRequest, body, "pool quayside")
		versions := map[string]string{}
		for _, o := range [][2]string{
			{"pool/quayside", `{"name":"quayside","kind":"service"}`},
			{"route/lines", `{"name":"lines","pool":"quayside"}`},
			{"template/boats", `{"name":"boats","routes":["lines"],"retire":"wait"}`},
			{"team/rope", `{"name":"rope","template":"boats"}`},
		} {
			status, body := put(o[0], o[1])
			if status != http.StatusOK {
				t.Fatalf("put %s: %d %v", o[0], status, body)
			}
			versions[o[0]] = fmt.Sprint(body["version"])
		}
		for path, user := range map[string]string{"template/boats": "rope", "pool/quayside": "lines", "route/lines": "boats"} {
			status, body := f.call("boot", http.MethodDelete, "/config/"+path, versions[path], "")
			expectRefused("delete "+path, status, http.StatusConflict, body, user)
		}
		for _, path := range []string{"team/rope", "template/boats", "route/lines", "pool/quayside"} {
			if status, body := f.call("boot", http.MethodDelete, "/config/"+path, versions[path], ""); status != http.StatusOK {
				t.Errorf("delete %s: %d %v", path, status, body)
			}
		}
	})
}
