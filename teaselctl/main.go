// Command teaselctl is the operators' tool: it checks and publishes intents,
// drains what is to leave, and asks the entries what they do and why.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/teaselstack/teaselstack/document"
	"github.com/teaselstack/teaselstack/publication"
	"github.com/teaselstack/teaselstack/teaselctl/control"
)

// version is set when a release is linked.
var version = "devel"

// Exit codes of the program.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitUnknown  = 4
	exitLacking  = 5
)

// globals are the options of all commands.
type globals struct {
	Settings string `short:"s" long:"settings" env:"TEASELCTL_SETTINGS" description:"settings file in TOML" value-name:"FILE"`
	JSON     bool   `long:"json" description:"print JSON instead of a table"`
	Version  func() `long:"version" description:"print the version and exit"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	shared := &globals{
		Version: func() {
			fmt.Println("teaselctl", version)
			os.Exit(exitOK)
		},
	}
	parser := flags.NewParser(shared, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "teaselctl"
	parser.LongDescription = "Exit codes: 0 for success, 1 for a failure, 2 for a wrong command line or document, 3 when another operator published first, 4 when lost answers of the platform leave open whether a change took effect, 5 when a published version is not in force on all entries in time."
	for _, each := range commands(ctx, shared) {
		if _, err := parser.AddCommand(each.name, each.short, each.long, each.command); err != nil {
			fmt.Fprintln(os.Stderr, "teaselctl:", err)
			return exitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	return report(err)
}

// report prints an error and returns the exit code that stands for it.
func report(err error) int {
	if err == nil {
		return exitOK
	}
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Println(err)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "teaselctl:", err)
	var faults document.Errors
	var conflict *publication.ConflictError
	var unknown *publication.UnknownError
	var lacking *control.NotInForceError
	switch {
	case errors.As(err, &flagsErr), errors.As(err, &faults):
		return exitUsage
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &unknown):
		return exitUnknown
	case errors.As(err, &lacking):
		return exitLacking
	}
	return exitFailed
}

// operator returns the connection to the platform and the entries.
func (g *globals) operator() (*control.Client, error) {
	if g.Settings == "" {
		return nil, errors.New("--settings is missing")
	}
	settings, err := control.LoadSettings(g.Settings)
	if err != nil {
		return nil, err
	}
	return control.NewClient(settings), nil
}
