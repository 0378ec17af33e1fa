package main

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/ctl"
	"crocusglade.example/crocusglade/internal/settings"
	"crocusglade.example/crocusglade/internal/standin"
)

// Guards against sample requests that the endpoints' interfaces don't answer, and against a refusal that counts as whole.
func TestSendSamples(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle("/v1/", standin.NewEngine(standin.EngineConfig{Name: "e", Model: "logreader", DecodeRate: 1e5, PrefillRate: 1e6}))
	mux.Handle("/svc/", standin.NewService(standin.ServiceConfig{Name: "s"}))
	whole := httptest.NewServer(mux)
	defer whole.Close()
	refusing := httptest.NewServer(http.NotFoundHandler())
	defer refusing.Close()
	f := &fleet{settings: &settings.Localfleet{Requests: 8}, vms: []apitypes.VM{
		{GatewayAddr: strings.TrimPrefix(whole.URL, "http://")}, {GatewayAddr: strings.TrimPrefix(refusing.URL, "http://")}}}
	if failed := f.sendSamples(t.Context(), "key"); failed != 4 {
		t.Errorf("%d failed, want the 4 that were refused", failed)
	}
}

// Guards against a sample configuration that the product refuses.
func TestSampleConfiguration(t *testing.T) {
	f := newFleet(&settings.Localfleet{BasePort: 17000}, "", "")
	path := filepath.Join(t.TempDir(), "sample.yaml")
	if err := os.WriteFile(path, []byte(f.sampleConfiguration()), 0o600); err != nil {
		t.Fatal(err)
	}
	if code := ctl.Run(t.Context(), []string{"validate", path}, os.Stdout, os.Stderr); code != ctl.ExitOK {
		t.Errorf("exit code %d", code)
	}
}

// Guards against a cut stream that the demo calls whole.
func TestStreamText(t *testing.T) {
	const text = `data: {"choices":[{"delta":{"content":"a b"}}]}` + "\n\n"
	const finish = `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	if got, err := streamText(text + finish + "data: [DONE]\n\n"); err != nil || got != "a b" {
		t.Errorf("%q, %v", got, err)
	}
	for _, cut := range []string{"", text, text + finish, text + "data: [DONE]\n", "data: {\n"} {
		if _, err := streamText(cut); err == nil {
			t.Errorf("%q was called whole", cut)
		}
	}
}
