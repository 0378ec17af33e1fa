package ctl

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// Guards against unintended changes of output, line numbers and exit codes. Directives: "file name=N" writes a file, "run" runs
// crocusgladectl with one argument per line, "server confirmed=N" sets the number of confirming gateways, "server race" makes the
// next write conflict.
func TestCommands(t *testing.T) {
	data, err := filepath.Abs("testdata")
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(t.TempDir())
	datadriven.Walk(t, data, func(t *testing.T, path string) {
		fake := &fakeServer{objects: make(map[string]apitypes.Object), confirmed: 4}
		server := httptest.NewServer(fake)
		defer server.Close()
		t.Setenv("CROCUSGLADE_SERVER", server.URL)
		t.Setenv("CROCUSGLADE_CREDENTIAL", credential)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "file":
				var name string
				d.ScanArgs(t, "name", &name)
				if err := os.WriteFile(name, []byte(d.Input), 0o600); err != nil {
					t.Fatal(err)
				}
				return ""
			case "server":
				fake.race = d.HasArg("race")
				d.MaybeScanArgs(t, "confirmed", &fake.confirmed)
				return ""
			case "run":
				return run(t, strings.Split(d.Input, "\n"))
			}
			t.Fatalf("unknown directive %s", d.Cmd)
			return ""
		})
	})
}

func run(t *testing.T, args []string) string {
	t.Helper()
	var out, failure bytes.Buffer
	code := Run(t.Context(), args, &out, &failure)
	var text strings.Builder
	text.Write(out.Bytes())
	for line := range strings.Lines(failure.String()) {
		fmt.Fprintf(&text, "stderr: %s", line)
	}
	fmt.Fprintf(&text, "exit %d\n", code)
	// Padded table columns end in spaces, which editors remove from the expected output.
	var trimmed strings.Builder
	for line := range strings.Lines(text.String()) {
		trimmed.WriteString(strings.TrimRight(line, " \n") + "\n")
	}
	return strings.ReplaceAll(trimmed.String(), "\n\n", "\n")
}

// Guards against commands that require settings they don't use, and against invalid settings that are not reported.
func TestSettingsOfCommands(t *testing.T) {
	t.Setenv("CROCUSGLADE_CREDENTIAL", "")
	file := filepath.Join(t.TempDir(), "a.yaml")
	if err := os.WriteFile(file, []byte("kind: route\nname: r\npool: p\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := run(t, []string{"validate", file}); got != "1 object(s) are valid\nexit 0\n" {
		t.Error(got)
	}
	got := run(t, []string{"--server=nowhere", "--timeout=1", "status"})
	for _, want := range []string{"--server:", "--timeout:", "--credential-file:", "exit 2"} {
		if !strings.Contains(got, want) {
			t.Errorf("%s is missing in %s", want, got)
		}
	}
	t.Setenv("CROCUSGLADE_CREDENTIAL", credential)
	if got := run(t, []string{"--server=http://127.0.0.1:1", "status"}); !strings.Contains(got, "exit 1") {
		t.Error(got)
	}
}

// Guards against report burn --html that does not write its HTML page.
func TestBurnPage(t *testing.T) {
	server := httptest.NewServer(&fakeServer{})
	defer server.Close()
	t.Setenv("CROCUSGLADE_SERVER", server.URL)
	t.Setenv("CROCUSGLADE_CREDENTIAL", credential)
	page := filepath.Join(t.TempDir(), "burn.html")
	got := run(t, []string{"report", "burn", "--html", page})
	data, err := os.ReadFile(page)
	if err != nil || !strings.Contains(string(data), "No requests") || !strings.Contains(got, "exit 0") {
		t.Errorf("%v %s %s", err, data, got)
	}
}

// Guards against a wrong time range when only --to is given, and against invalid ranges that are accepted.
func TestUsageTimeRange(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	start, end, err := parseTimeRange("", "1790000000", now)
	if err != nil || end.Sub(start) != defaultUsageRange {
		t.Error(start, end, err)
	}
	if _, _, err := parseTimeRange("1790000000", "1780000000", now); exitCode(err) != ExitUsage {
		t.Error(err)
	}
	if _, _, err := parseTimeRange("yesterday", "", now); exitCode(err) != ExitUsage {
		t.Error(err)
	}
}
