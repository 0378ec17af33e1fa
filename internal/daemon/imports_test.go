package daemon

import (
	"os/exec"
	"strings"
	"testing"
)

// Guards against a daemon that can start processes, and against the use of an existing proxy or clustering library. Only packages of this
// module are checked, because libraries may import os/exec for other operating systems.
func TestDaemonImports(t *testing.T) {
	const module = "crocusglade.example/crocusglade/"
	out, err := exec.Command("go", "list", "-deps", "-f", "{{.ImportPath}} {{join .Imports \" \"}}", module+"cmd/crocusgladed").Output()
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, line := range strings.Split(string(out), "\n") {
		if !strings.HasPrefix(line, module) {
			continue
		}
		checked++
		for _, forbidden := range []string{"os/exec", "net/http/httputil", "github.com/hashicorp/memberlist", "github.com/hashicorp/raft", "go.etcd.io/raft"} {
			if strings.Contains(line+" ", " "+forbidden+" ") {
				t.Errorf("%s imports %s", strings.Fields(line)[0], forbidden)
			}
		}
	}
	if checked < 10 {
		t.Errorf("only %d packages of the module were found", checked)
	}
}
