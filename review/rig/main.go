//go:build review

// Command rig plays one case of the review: it starts nodes as processes with the command of the deploy file, next to stand-ins of the
// platform and of the replicas, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import "C"

import (
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2

	// maxCaseTime bounds a case. The rules allow 120 s.
	maxCaseTime = 110 * time.Second
)

// caseFunc plays a case. trouble is false for the control, which is the same without the disruption. It returns what broke the rule.
type caseFunc func(d *deployment, trouble bool) (broken []string, err error)

var cases = map[string]caseFunc{
	"slow-upload":   playSlowUpload,
	"two-stops":     playTwoStops,
	"false-refusal": playFalseRefusal,
	"short-stream":  playShortStream,
	"odd-entry":     playOddEntry,
}

func main() { os.Exit(playCase()) }

func playCase() int {
	name := flag.String("case", "", "name of the case")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	program := flag.String("program", "target/crocusgladed", "program of the deploy file")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return exitFailed
	}
	rec, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	time.AfterFunc(maxCaseTime, func() {
		rec.add("the case takes too long")
		rec.close()
		os.Exit(exitFailed) // the nodes die with their parent
	})
	d, err := newDeployment(*program, rec)
	if err != nil {
		rec.add("can't start: %v", err)
		return exitFailed
	}
	defer d.close()
	broken, err := play(d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("the case couldn't run: %v", err)
		return exitFailed
	}
	for _, b := range broken {
		rec.add("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.add("the rule held")
	return exitHeld
}
