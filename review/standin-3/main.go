// Command standin-3 runs the scripts of the third review: it starts entries as separate processes
// against small stand-ins for the platform's store, the backends and the clients, and checks one
// rule. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't
// run.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestRun bounds the time of a case.
const longestRun = 110 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(*deployment) (broken bool, err error){
		"path":    runPath,
		"refused": runRefused,
		"restart": runRestart,
	}
	run, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	d := &deployment{
		record:  record,
		trouble: os.Getenv("TROUBLE") != "0",
		domains: make(map[string]string),
	}
	// The entries end also if the case hangs.
	time.AfterFunc(longestRun, func() {
		record.line("not run: the case took too long")
		d.stop()
		os.Exit(exitNotRun)
	})
	broken, err := run(d)
	d.stop()
	code := exitHeld
	switch {
	case err != nil:
		record.line("not run: %v", err)
		code = exitNotRun
	case broken:
		record.line("the rule was broken")
		code = exitBroken
	default:
		record.line("the rule held")
	}
	record.close()
	os.Exit(code)
}
