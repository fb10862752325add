// Command measure measures how the costs of teaselstack's mechanisms scale with
// the size of a deployment, prints the results of the tests that prove each promise,
// and writes variations of site files, which describe simulated deployments.
package main

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// run executes a command line and returns the exit code.
func run(args []string) int {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "measure"
	addCommand(parser, "capacity", "measure how costs grow and print them beside the target", &capacityCommand{})
	addCommand(parser, "proofs", "list the tests that prove the promises, or print their results, read from go test -json", &proofsCommand{})
	addCommand(parser, "vary", "write variations of a site file of the platform's bench", &varyCommand{})
	_, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(err)
		return exitOK
	case errors.As(err, &flagsErr):
		fmt.Fprintln(os.Stderr, "measure:", err)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "measure:", err)
	return exitFailed
}

// addCommand registers a subcommand.
func addCommand(parser *flags.Parser, name, help string, command any) {
	if _, err := parser.AddCommand(name, help, help, command); err != nil {
		panic(err)
	}
}
