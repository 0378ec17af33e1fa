package e2e

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"crocusglade.example/crocusglade/internal/ctl"
)

// Guards against a crocusgladectl that does not match the administration API of running controllers: runs its commands against a
// cluster and checks the exit code and a word of the output.
func TestCommandLine(t *testing.T) {
	c := newCluster(t, options{engines: 2, services: 1})
	t.Setenv("CROCUSGLADE_CREDENTIAL", credential)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	run := func(want int, contains string, args ...string) string {
		t.Helper()
		var stdout, stderr bytes.Buffer
		code := ctl.Run(t.Context(), append([]string{"--server=http://" + c.vms[0].ControllerAddr}, args...), &stdout, &stderr)
		text := stdout.String() + stderr.String()
		// On a slow machine a change may be written without being confirmed by a majority in time; the command has not failed then.
		if code != want && code != ctl.ExitUnconfirmed || !strings.Contains(text, contains) {
			t.Errorf("%s: exit code %d, want %d with %q:\n%s", strings.Join(args, " "), code, want, contains, text)
		}
		return stdout.String()
	}
	team := write("team.yaml", "kind: team\nname: buyers\ntemplate: boats\nweight: 2\n")
	invalid := write("wrong.yaml", "kind: team\nname: buyers\ncolour: red\n")
	run(ctl.ExitOK, "", "validate", team)
	run(ctl.ExitUsage, "wrong.yaml:3", "validate", invalid)
	run(ctl.ExitDifferent, "buyers", "diff", team)
	run(ctl.ExitOK, "team/buyers", "apply", team)
	run(ctl.ExitOK, "", "diff", team)
	run(ctl.ExitOK, "buyers", "get", "team")
	key := run(ctl.ExitOK, "cg_buyers_", "key", "issue", "buyers")
	if !strings.Contains(key, "cg_buyers_") {
		t.Error("key issue does not print the key")
	}
	listed := run(ctl.ExitOK, "buyers", "key", "list")
	for _, line := range strings.Split(listed, "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[1] == "buyers" {
			run(ctl.ExitOK, fields[0], "key", "withdraw", fields[0])
		}
	}
	run(ctl.ExitOK, "vm-4", "status")
	run(ctl.ExitOK, "logreader-2", "endpoints")
	run(ctl.ExitOK, "no new work", "drain", "logreader", "logreader-1")
	run(ctl.ExitOK, "drained by an operator", "endpoints")
	run(ctl.ExitOK, "work again", "drain", "--return", "logreader", "logreader-1")
	run(ctl.ExitOK, "KEY", "requests", "unresolved")
	run(ctl.ExitOK, "WINDOW", "usage")
	html := filepath.Join(dir, "burn.html")
	run(ctl.ExitOK, "", "report", "burn", "--html="+html)
	if page, err := os.ReadFile(html); err != nil || !bytes.Contains(page, []byte("<svg")) {
		t.Errorf("the burn report has no plot: %v", err)
	}
	run(ctl.ExitFailed, "", "get", "team", "nobody")
	run(ctl.ExitUsage, "", "nonsense")
	c.checkGuarantees()
}
