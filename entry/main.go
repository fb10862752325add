// Command entry runs on each entry VM: it answers look-ups, admits callers'
// requests and takes them to backend servers, and exchanges news with its peers.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/teaselstack/teaselstack/entry/settings"
	"github.com/teaselstack/teaselstack/logline"
	"github.com/teaselstack/teaselstack/platform"
)

// version is set when a release is linked.
var version = "devel"

// Exit codes of the program.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

type commandLine struct {
	Settings string `short:"s" long:"settings" description:"settings file in TOML" value-name:"FILE"`
	Platform bool   `long:"platform" description:"take settings, routes and registrations from the platform"`
	Check    bool   `long:"check" description:"check the settings file and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var line commandLine
	parser := flags.NewParser(&line, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "entry"
	parser.LongDescription = "Serves callers, peers and operators of one entry VM until SIGTERM. Exit codes: 0 after a graceful shutdown, 1 after a failure, 2 for a wrong command line or settings file."
	if rest, err := parser.ParseArgs(args); err != nil || len(rest) > 0 {
		return usage(err, rest)
	}
	if line.Version {
		fmt.Println("entry", version)
		return exitOK
	}
	if line.Platform {
		return serveOnPlatform()
	}
	if line.Settings == "" {
		fmt.Fprintln(os.Stderr, "entry: --settings is missing")
		return exitSettings
	}
	loaded, err := settings.Load(line.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if line.Check {
		fmt.Println(line.Settings + ": ok")
		return exitOK
	}
	return serve(loaded)
}

func usage(err error, rest []string) int {
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Println(err)
		return exitOK
	}
	if err == nil {
		err = errors.Errorf("unexpected argument %q", rest[0])
	}
	fmt.Fprintln(os.Stderr, "entry:", err)
	return exitSettings
}

func serve(loaded settings.Settings) int {
	logger := logline.New(os.Stderr, "entry", loaded.Name)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	listeners, err := listen(loaded)
	if err != nil {
		logger.Error().Str("event", "listen-failed").Err(err).Msg("")
		return exitFailed
	}
	machine := newMachine(loaded, logger)
	if err := machine.serve(ctx, listeners); err != nil {
		logger.Error().Str("event", "serve-failed").Err(err).Msg("")
		return exitFailed
	}
	logger.Info().Str("event", "stopped").Msg("")
	return exitOK
}

// serveOnPlatform runs the entry with the settings that the platform gives.
func serveOnPlatform() int {
	loaded, err := platform.ReadSettings(platform.SettingsFile())
	if err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		return exitSettings
	}
	lines := logline.NewBuffer(os.Stdout)
	defer lines.Close()
	logger := logline.NewJSON(lines, "entry", loaded.Name)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	running := newGate(loaded, logger, lines.Dropped)
	opened, err := running.listen()
	if err != nil {
		logger.Error().Str("event", "listen-failed").Err(err).Msg("")
		return exitFailed
	}
	if err := running.serve(ctx, opened, hangups); err != nil {
		logger.Error().Str("event", "serve-failed").Err(err).Msg("")
		return exitFailed
	}
	logger.Info().Str("event", "stopped").Msg("")
	return exitOK
}

// listeners are the open sockets of an entry.
type listeners struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
}

func listen(loaded settings.Settings) (listeners, error) {
	var opened listeners
	for _, each := range []struct {
		listener *net.Listener
		address  string
	}{
		{
			listener: &opened.callers,
			address:  loaded.CallersAddress,
		},
		{
			listener: &opened.peers,
			address:  loaded.PeersAddress,
		},
		{
			listener: &opened.operators,
			address:  loaded.OperatorsAddress,
		},
	} {
		listener, err := net.Listen("tcp", each.address)
		if err != nil {
			return listeners{}, err
		}
		*each.listener = listener
	}
	return opened, nil
}
