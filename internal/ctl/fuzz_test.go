package ctl

import (
	"encoding/json"
	"testing"
)

// Guards against a file of an operator that ends the command line, a mistake without a line, and an accepted object that is
// not JSON.
func FuzzYAML(f *testing.F) {
	for _, s := range []string{"kind: team\nname: a\ntemplate: b\n", "kind: pool\nname: p\nendpoints:\n  - name: e\n    addr: 1.2.3.4:5\n", "---\n---\n", "kind: [", "a: &a [*a]",
		"kind: route\nname: r\npool: p\nkind: team\n", "kind: team\n<<: {name: x}\n", "kind: template\nname: t\nlimits: {tokens_per_second: .inf}\n", "? [kind]\n: team\n", "kind: !!binary aGk=\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var r reader
		r.readData("f.yaml", data)
		r.refuseRepetitions()
		for _, m := range r.mistakes {
			if m.Line < 1 || m.Problem == "" {
				t.Errorf("%q: mistake %+v", data, m)
			}
		}
		for _, d := range r.documents {
			if _, err := json.Marshal(d); err != nil {
				t.Errorf("%q: document %+v: %v", data, d, err)
			}
		}
	})
}
