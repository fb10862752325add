// Command standin runs the cases of the review: it starts entries as processes of their own,
// with the command of the deploy file, beside stand-ins for the store, the backend servers and
// the clients, and checks one rule by what clients and servers have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of the program.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case.
type verdict struct {
	// broken describes how the rule was broken, and is empty if it held.
	broken []string
	// err says why the case could not run.
	err error
}

// cases holds the cases by their names. The argument trouble says whether the disruption
// happens.
var cases = map[string]func(d *deployment, trouble bool) verdict{
	"stop-chunked": stopChunked,
	"stop-late":    stopLate,
	"crashing":     crashing,
	"lose-zone":    loseZone,
}

func main() {
	os.Exit(run())
}

// run runs the case that the arguments name: the case, the file of the record and the root of
// the repository.
func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD ROOT")
		return exitNotRun
	}
	root, err := filepath.Abs(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, with the disruption: %t", os.Args[1], trouble)
	d, err := newDeployment(rec, root)
	if err != nil {
		rec.log("the case could not run: %v", err)
		return exitNotRun
	}
	result := cases[os.Args[1]](d, trouble)
	d.close()
	switch {
	case result.err != nil:
		rec.log("the case could not run: %v", result.err)
		fmt.Println("the case could not run:", result.err)
		return exitNotRun
	case len(result.broken) > 0:
		for _, each := range result.broken {
			rec.log("BROKEN: %s", each)
		}
		fmt.Printf("the rule was broken %d times, first: %s\n", len(result.broken), result.broken[0])
		return exitBroken
	}
	rec.log("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
