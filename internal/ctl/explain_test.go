package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const nodeLog = `
  20.1 vm-1 {"level":"warn","vm":"vm-1","dependency":"store","kind":"config","error":"status 503","time":"2026-12-04T10:00:01Z","message":"dependency lost"}
{"level":"info","vm":"vm-2","dependency":"store","time":"2026-12-04T10:00:01Z","message":"dependency lost"}
{"level":"info","vm":"vm-1","endpoint":"e2","time":"2026-12-04T10:00:02Z","message":"endpoint gone"}
{"level":"info","vm":"vm-1","request":"r1","endpoint":"e1","detail":"e2: unexpected EOF","outcome":"broken_off","total_ms":900,"time":"2026-12-04T10:00:03Z","message":"request"}
not a log line
{"level":"info","vm":"vm-1","endpoint":"e3","time":"2026-12-04T10:00:03Z","message":"endpoint gone"}
{"level":"info","vm":"vm-1","request":"r2","detail":"this VM can't confirm that the key is still in force","outcome":"unavailable","time":"2026-12-04T10:00:05Z","message":"request"}
`

func runExplain(t *testing.T, id string) (string, int) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "node.log")
	if err := os.WriteFile(file, []byte(nodeLog), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	code := Run(t.Context(), []string{"explain", id, file}, &out, &errs)
	return out.String() + errs.String(), code
}

// Guards against evidence that misses log lines of the request's VM and endpoints, or includes those of other VMs and endpoints.
func TestExplainFindsTheCause(t *testing.T) {
	text, code := runExplain(t, "r1")
	if code != ExitOK || !strings.Contains(text, `"endpoint":"e2"`) || !strings.Contains(text, "dependency lost") ||
		strings.Contains(text, `"e3"`) || strings.Contains(text, "vm-2") {
		t.Errorf("code %d:\n%s", code, text)
	}
	text, code = runExplain(t, "r2")
	if code != ExitOK || !strings.Contains(text, "has not run") || !strings.Contains(text, "status 503") {
		t.Errorf("code %d:\n%s", code, text)
	}
}

// Guards against empty output and success for a request id that is in none of the files.
func TestExplainUnknownRequest(t *testing.T) {
	if text, code := runExplain(t, "r9"); code == ExitOK || !strings.Contains(text, "name the logs of all VMs") {
		t.Errorf("code %d:\n%s", code, text)
	}
}
