// Command teaselctl is the operators' command-line tool. It validates and
// publishes intents, drains backend servers, entries and the regions of services, and
// shows the status and decisions of the entries.
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

// version is the version of the release, set by the linker.
var version = "devel"

// Exit codes of the program. exitUsage means that the command line, the settings file or
// a document is invalid; exitConflict that another version than expected is in force, because
// another operator published first; exitUnknownOutcome that a publication may or may
// not have taken effect; exitNotInForce that a published version was not in force on
// all entries when the wait ended.
const (
	exitOK             = 0
	exitFailed         = 1
	exitUsage          = 2
	exitConflict       = 3
	exitUnknownOutcome = 4
	exitNotInForce     = 5
)

// globalOptions are the options that every subcommand accepts, although some ignore
// them.
type globalOptions struct {
	Settings string `short:"s" long:"settings" env:"TEASELCTL_SETTINGS" description:"settings file in TOML" value-name:"FILE"`
	JSON     bool   `long:"json" description:"print JSON instead of a table"`
	Version  func() `long:"version" description:"print the version and exit"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run executes a command line and returns the exit code.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	options := &globalOptions{
		Version: func() {
			fmt.Println("teaselctl", version)
			os.Exit(exitOK)
		},
	}
	parser := flags.NewParser(options, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "teaselctl"
	parser.LongDescription = "Exit codes: 0 for success, 1 for a failure, 2 for a wrong command line or document, 3 when another operator published first, 4 when lost answers of the platform leave open whether a change took effect, 5 when a published version is not in force on all entries in time."
	for _, command := range commands(ctx, options) {
		if _, err := parser.AddCommand(command.name, command.short, command.long, command.commander); err != nil {
			fmt.Fprintln(os.Stderr, "teaselctl:", err)
			return exitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	return reportError(err)
}

// reportError prints an error, if any, and returns the exit code for it.
func reportError(err error) int {
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
	var unknown *publication.UnknownOutcomeError
	var notInForce *control.NotInForceError
	switch {
	case errors.As(err, &flagsErr), errors.As(err, &faults):
		return exitUsage
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &unknown):
		return exitUnknownOutcome
	case errors.As(err, &notInForce):
		return exitNotInForce
	}
	return exitFailed
}

// newClient loads the settings file and returns a client of the platform and the
// entries.
func (g *globalOptions) newClient() (*control.Client, error) {
	if g.Settings == "" {
		return nil, errors.New("--settings is missing")
	}
	settings, err := control.LoadSettings(g.Settings)
	if err != nil {
		return nil, err
	}
	return control.NewClient(settings), nil
}
