package main

import (
	"fmt"
	"os"
)

// play is one play of a case. It returns 1 if the rule was broken, 0 if it held and 2 if it couldn't run.
type play func(recordPath string, trouble bool) int

func main() {
	cases := map[string]play{"revoked-key": revokedKey, "same-token": sameToken, "drill-alone": drillAlone, "two-bills": twoBills,
		"thawed-machine": thawedMachine, "frozen-at-release": frozenAtRelease, "poison": poison}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		os.Exit(2)
	}
	os.Remove(os.Args[2])
	finish(cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0"))
}
