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

// Guards against sample requests that the stand-in endpoints don't serve, and against error responses that are counted as complete
// answers.
func TestSendSamples(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle("/v1/", standin.NewEngine(standin.EngineConfig{Name: "e", Model: "logreader", DecodeRate: 1e5, PrefillRate: 1e6}))
	mux.Handle("/svc/", standin.NewService(standin.ServiceConfig{Name: "s"}))
	serving := httptest.NewServer(mux)
	defer serving.Close()
	rejecting := httptest.NewServer(http.NotFoundHandler())
	defer rejecting.Close()
	f := &fleet{settings: &settings.Localfleet{Requests: 8}, vms: []apitypes.VM{
		{GatewayAddr: strings.TrimPrefix(serving.URL, "http://")}, {GatewayAddr: strings.TrimPrefix(rejecting.URL, "http://")}}}
	if failed := f.sendSamples(t.Context(), "key"); failed != 4 {
		t.Errorf("%d failed, want the 4 that were rejected", failed)
	}
}

// Guards against a sample configuration that crocusgladectl validate rejects.
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

// Guards against a truncated stream that is accepted as complete.
func TestStreamText(t *testing.T) {
	const text = `data: {"choices":[{"delta":{"content":"a b"}}]}` + "\n\n"
	const finish = `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	if got, err := streamText(text + finish + "data: [DONE]\n\n"); err != nil || got != "a b" {
		t.Errorf("%q, %v", got, err)
	}
	for _, truncated := range []string{"", text, text + finish, text + "data: [DONE]\n", "data: {\n"} {
		if _, err := streamText(truncated); err == nil {
			t.Errorf("%q was accepted as complete", truncated)
		}
	}
}
