// Command standin simulates the environment of teaselstack for tests and local
// runs: the platform, the backend servers, the network and the callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes of the program: success, a failed command, and wrong arguments.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses the arguments, executes the command and returns the exit code.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "standin"
	addCommand(parser, "platform", "serve the platform's table, object store and list of VMs", &platformCommand{
		ctx: ctx,
	})
	addCommand(parser, "backends", "serve all backend servers of a deployment", &backendsCommand{
		ctx: ctx,
	})
	addCommand(parser, "link", "relay connections with the network's delays, rates and cuts", &relayCommand{
		ctx: ctx,
	})
	addCommand(parser, "load", "send a mixed load of callers and print its outcomes", &generatorCommand{
		ctx: ctx,
	})
	_, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(err)
		return exitOK
	case errors.As(err, &flagsErr):
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "standin:", err)
	return exitFailed
}

// addCommand adds a command whose options are the tagged fields of the struct that
// command points to. It panics if the tags are not valid.
func addCommand(parser *flags.Parser, name, help string, command any) {
	if _, err := parser.AddCommand(name, help, help, command); err != nil {
		panic(err)
	}
}
