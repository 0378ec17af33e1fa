package standin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
)

// Guards against a stand-in that is more lenient than the platform: no rate limit, injected faults without effect, orders and
// reports missing from the arrival log, or writes accepted without a precondition.
func TestPlatformFaultsAndRejections(t *testing.T) {
	h := NewPlatform(memplatform.New())
	call := func(method, path, body string, headers ...string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		for i := 0; i < len(headers); i += 2 {
			r.Header.Set(headers[i], headers[i+1])
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w
	}
	wantStatus := func(w *httptest.ResponseRecorder, status int) {
		t.Helper()
		if w.Code != status {
			t.Errorf("status %d, want %d: %s", w.Code, status, w.Body)
		}
	}
	wantStatus(call("PUT", "/objects/team/a", `{}`), http.StatusBadRequest)
	wantStatus(call("PUT", "/objects/team/a", `{`, "If-None-Match", "*"), http.StatusBadRequest)
	wantStatus(call("POST", "/fault", `{"endpoints":{"p":[{"name":"e1","failure_domain":"roja","class":"reclaimable"}]},
		"reclaim":{"failure_domain":"roja","notice_ms":5000}}`), http.StatusOK)
	if w := call("GET", "/provider/endpoints?pool=p", ""); !strings.Contains(w.Body.String(), "reclaim_at") {
		t.Errorf("reclaimed endpoint lacks reclaim_at: %s", w.Body)
	}
	wantStatus(call("POST", "/provider/orders", `{"id":"o1","pool":"p","kind":"remove","endpoint":"e1"}`, "If-Match", `"99"`), http.StatusPreconditionFailed)
	wantStatus(call("POST", "/usage/windows/300", `{"id":"300"}`), http.StatusOK)
	wantStatus(call("POST", "/fault", `{"faults":{"Down":true}}`), http.StatusOK)
	wantStatus(call("POST", "/usage/windows/600", `{"id":"600"}`), http.StatusServiceUnavailable)
	wantStatus(call("POST", "/fault", `{"faults":{},"call_rate":0.001}`), http.StatusOK)
	call("GET", "/vms", "")
	if w := call("GET", "/vms", ""); w.Code != http.StatusTooManyRequests || w.Header().Get("Retry-After") == "" {
		t.Errorf("call above the rate limit: status %d, header %v", w.Code, w.Header())
	}
	var status FaultResponse
	if err := json.Unmarshal(call("GET", "/fault", "").Body.Bytes(), &status); err != nil {
		t.Fatal(err)
	}
	if len(status.Reports) != 1 || len(status.Arrivals) != 3 || status.Arrivals[0].Status != http.StatusPreconditionFailed {
		t.Errorf("fault response %+v", status)
	}
}
