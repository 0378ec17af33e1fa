package settings

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

var rewritePage = flag.Bool("settings.write", false, "rewrite docs/settings.md")

const secret = "0123456789abcdef0123456789abcdef"

func gatewayArgs(extra ...string) []string {
	return append([]string{"--vm-name=vm-1", "--region=riga-gulf", "--failure-domain=roja", "--listen=127.0.0.1:8080",
		"--peer-listen=127.0.0.1:8081", "--metrics-listen=127.0.0.1:8082", "--platform-url=http://127.0.0.1:7000/"}, extra...)
}

// Guards against a daemon that ignores a given value, or in which the environment overrides a flag.
func TestGatewaySettings(t *testing.T) {
	t.Setenv("CROCUSGLADE_KEY_SECRET", secret)
	t.Setenv("CROCUSGLADE_DRAIN_LIMIT", "90s")
	t.Setenv("CROCUSGLADE_LOG_LEVEL", "debug")
	g, err := LoadGateway(gatewayArgs("--log-level", "warn"), nil)
	if err != nil {
		t.Fatal(err)
	}
	if g.DrainLimit.Seconds() != 90 || g.LogLevel != "warn" || g.Advertise != "127.0.0.1:8080" ||
		g.PlatformURL != "http://127.0.0.1:7000" || g.KeySecret != secret {
		t.Errorf("got %+v", g)
	}
}

// Guards against invalid settings that are accepted, or that are reported under another name or without a remedy.
func TestInvalidSettings(t *testing.T) {
	short := filepath.Join(t.TempDir(), "short")
	if err := os.WriteFile(short, []byte("abc\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, arg, setting string }{
		{"name with capitals", "--vm-name=VM 1", "--vm-name"},
		{"no IP address", "--listen=localhost:80", "--listen"},
		{"no port", "--peer-listen=127.0.0.1", "--peer-listen"},
		{"advertised address unspecified", "--advertise=0.0.0.0:80", "--advertise"},
		{"listen unspecified and not advertised", "--listen=0.0.0.0:80", "--advertise --listen"},
		{"URL without scheme", "--platform-url=10.0.0.1:70", "--platform-url"},
		{"plain callers", "--listen=10.0.0.1:80", "--listen"},
		{"plain peers", "--peer-listen=10.0.0.1:80", "--peer-listen"},
		{"plain metrics", "--metrics-listen=0.0.0.0:80", "--metrics-listen"},
		{"plain platform", "--platform-url=http://10.0.0.1:70", "--platform-url"},
		{"duration without unit", "--entry-lifetime=30", "--entry-lifetime"},
		{"duration out of range", "--entry-lifetime=1ms", "--entry-lifetime"},
		{"fraction of a second", "--usage-window=10500ms", "--usage-window"},
		{"unknown level", "--log-level=loud", "--log-level"},
		{"short secret", "--key-secret-file=" + short, "--key-secret-file"},
		{"absent file", "--key-secret-file=/nonexistent", "--key-secret-file"},
		{"certificate without key", "--caller-tls-cert=x", "--caller-tls-cert"},
		{"absent certificate", "--peer-tls-ca=/nonexistent", "--peer-tls-ca"},
		{"file without certificate", "--peer-tls-ca=" + short, "--peer-tls-ca"},
		{"unknown flag", "--colour=red", "arguments"},
		{"stray argument", "now", "arguments"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if !strings.Contains(c.arg, "key-secret") {
				t.Setenv("CROCUSGLADE_KEY_SECRET", secret)
			}
			_, err := LoadGateway(gatewayArgs(c.arg), nil)
			var invalid *ValidationError
			if !errors.As(err, &invalid) {
				t.Fatalf("want *ValidationError, got %v", err)
			}
			var names []string
			for _, s := range invalid.InvalidSettings {
				names = append(names, s.Setting)
				if s.Remedy == "" {
					t.Errorf("%s has no remedy", s.Setting)
				}
			}
			if strings.Join(names, " ") != c.setting {
				t.Errorf("got %+v", invalid.InvalidSettings)
			}
		})
	}
}

// Guards against an invalid setting that hides others because loading stops at it, and against a wrong exit code.
func TestAllInvalidSettingsAtOnce(t *testing.T) {
	_, err := LoadController([]string{"--admin-listen=x", "--what", "--drain-limit=long"}, nil)
	var out bytes.Buffer
	if code := ReportLoadError(&out, err); code != ExitUsage {
		t.Errorf("exit code %d", code)
	}
	for _, want := range []string{"--admin-listen", "-what", "--drain-limit", "--vm-name", "--region", "--failure-domain",
		"--platform-url", "--key-secret-file"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s is missing from the output:\n%s", want, out.String())
		}
	}
}

// Guards against a secret that is accepted from a file and the environment at once, which leaves open which one applies.
func TestSecretGivenTwice(t *testing.T) {
	t.Setenv("CROCUSGLADE_KEY_SECRET", secret)
	if _, err := LoadGateway(gatewayArgs("--key-secret-file=/tmp/x"), nil); err == nil {
		t.Error("accepted a secret in a file and in the environment")
	}
}

// Guards against a help text that exits with an error or omits settings, and against a boolean flag that needs a value.
func TestHelp(t *testing.T) {
	var out bytes.Buffer
	_, err := LoadLocalfleet([]string{"--help"}, &out)
	if ReportLoadError(&out, err) != ExitOK || !strings.Contains(out.String(), "CROCUSGLADE_BASE_PORT") {
		t.Errorf("%v\n%s", err, out.String())
	}
	l, err := LoadLocalfleet([]string{"--once"}, nil)
	if err != nil || !l.Once {
		t.Errorf("--once: %+v, %v", l, err)
	}
}

// Guards against a documentation page that does not match the code.
func TestSettingsPage(t *testing.T) {
	const page = "../../docs/settings.md"
	if *rewritePage {
		if err := os.WriteFile(page, []byte(Markdown()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil || string(got) != Markdown() {
		t.Errorf("docs/settings.md differs from the code (%v); run 'make settings'", err)
	}
}
