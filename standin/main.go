// Command standin takes the place of what surrounds teaselstack, for tests and
// the local run: the platform, the backend servers, the network, and callers.
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

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "standin"
	add(parser, "platform", "serve the platform's table, object store and list of VMs", &platformCommand{
		ctx: ctx,
	})
	add(parser, "backends", "serve all backend servers of a deployment", &backendsCommand{
		ctx: ctx,
	})
	add(parser, "link", "relay connections with the network's delays, rates and cuts", &linkCommand{
		ctx: ctx,
	})
	add(parser, "load", "send a mixed load of callers and print its outcomes", &loadCommand{
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

func add(parser *flags.Parser, name, help string, command any) {
	if _, err := parser.AddCommand(name, help, help, command); err != nil {
		panic(err)
	}
}
