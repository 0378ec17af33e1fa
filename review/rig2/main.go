package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases holds the cases by name. Each returns whether the rule held.
var cases = map[string]func(rec *record) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cantRun("usage: rig2 CASE FOLDER")
	}
	rec := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if cases[os.Args[1]](rec) {
		rec.add("the rule held")
		fmt.Println("held")
		return
	}
	rec.add("THE RULE WAS BROKEN")
	fmt.Println("broken")
	os.Exit(1)
}
