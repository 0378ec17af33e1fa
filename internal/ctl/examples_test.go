package ctl

import "testing"

// Guards against shipped example files that validation rejects.
func TestExamples(t *testing.T) {
	for _, name := range []string{"rope-harvest", "royalty-office"} {
		if _, err := readFiles([]string{"../../examples/" + name + ".yaml"}); err != nil {
			t.Error(err)
		}
	}
}
