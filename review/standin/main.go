// The program standin plays the platform, its model servers, clients and operator for the cases of a review. It starts the project's own
// programs as separate processes with the commands of the deploy file, on loopback addresses.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenarios are the cases by name. Each reports whether the rule was broken.
var scenarios = map[string]func(fleet *fleet, trouble bool) (broken bool, err error){
	"early-wipe":    earlyWipe,
	"stale-undrain": staleUndrain,
	"stray-answer":  strayAnswerCase,
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "name of the case")
	programs := flag.String("programs", "target", "folder of the project's programs")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	scenario, found := scenarios[*name]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return exitNotRun
	}
	record, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	folder, err := os.MkdirTemp("", "cedarreel-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(folder)
	absolute, err := filepath.Abs(*programs)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fleet, err := newFleet(record, absolute, folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer fleet.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.line("case %s, trouble %v", *name, trouble)
	if err = fleet.start(); err == nil {
		var broken bool
		if broken, err = scenario(fleet, trouble); err == nil {
			if broken {
				record.line("RESULT the rule was broken")
				return exitBroken
			}
			record.line("RESULT the rule held")
			return exitHeld
		}
	}
	record.line("RESULT the case could not run: %v", err)
	return exitNotRun
}
