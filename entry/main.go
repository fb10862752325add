// Command entry runs on each entry VM: it answers look-ups, forwards callers'
// requests to backend servers, and exchanges state with the other entries.
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

// version is set by the linker in release builds.
var version = "devel"

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	// exitUsage stands for a wrong command line or settings file.
	exitUsage = 2
)

// commandLine holds the parsed command-line options.
type commandLine struct {
	Settings string `short:"s" long:"settings" description:"settings file in TOML" value-name:"FILE"`
	Platform bool   `long:"platform" description:"take settings, routes and registrations from the platform"`
	Check    bool   `long:"check" description:"check the settings file and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run executes the program with the arguments args and returns its exit code.
func run(args []string) int {
	var options commandLine
	parser := flags.NewParser(&options, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "entry"
	parser.LongDescription = "Serves callers, peers and operators of one entry VM until SIGTERM. Exit codes: 0 after a graceful shutdown, 1 after a failure, 2 for a wrong command line or settings file."
	if rest, err := parser.ParseArgs(args); err != nil || len(rest) > 0 {
		return reportUsageError(err, rest)
	}
	if options.Version {
		fmt.Println("entry", version)
		return exitOK
	}
	if options.Platform {
		return runPlatformNode()
	}
	if options.Settings == "" {
		fmt.Fprintln(os.Stderr, "entry: --settings is missing")
		return exitUsage
	}
	loaded, err := settings.Load(options.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if options.Check {
		fmt.Println(options.Settings + ": ok")
		return exitOK
	}
	return runNode(loaded)
}

// reportUsageError prints the error of the command-line parser or, if that is nil, the
// first unexpected argument in rest, and returns the exit code. If help was requested,
// it prints that and returns exitOK.
func reportUsageError(err error, rest []string) int {
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Println(err)
		return exitOK
	}
	if err == nil {
		err = errors.Errorf("unexpected argument %q", rest[0])
	}
	fmt.Fprintln(os.Stderr, "entry:", err)
	return exitUsage
}

// runNode runs a node until SIGTERM or an interrupt and returns the exit code.
func runNode(loaded settings.Settings) int {
	logger := logline.New(os.Stderr, "entry", loaded.Name)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	open, err := listen(loaded)
	if err != nil {
		logger.Error().Str("event", "listen-failed").Err(err).Msg("")
		return exitFailed
	}
	n := newNode(loaded, logger)
	n.connections.limitHeap()
	if err := n.serve(ctx, open); err != nil {
		logger.Error().Str("event", "serve-failed").Err(err).Msg("")
		return exitFailed
	}
	logger.Info().Str("event", "stopped").Msg("")
	return exitOK
}

// runPlatformNode runs a platformNode until SIGTERM or an interrupt and returns the
// exit code. SIGHUP reloads its settings.
func runPlatformNode() int {
	// Until it is caught, the signal ends the process.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	loaded, err := platform.ReadSettings(platform.SettingsPath())
	if err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		return exitUsage
	}
	buffer := logline.NewBuffer(os.Stdout)
	defer buffer.Close()
	logger := logline.NewJSON(buffer, "entry", loaded.Name)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	n := newPlatformNode(loaded, logger, buffer.Dropped)
	n.connections.limitHeap()
	open, err := n.listen()
	if err != nil {
		logger.Error().Str("event", "listen-failed").Err(err).Msg("")
		return exitFailed
	}
	if err := n.serve(ctx, open, reloadSignals); err != nil {
		logger.Error().Str("event", "serve-failed").Err(err).Msg("")
		return exitFailed
	}
	logger.Info().Str("event", "stopped").Msg("")
	return exitOK
}

// sockets holds the open listeners of a node.
type sockets struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
}

// listen opens the listeners of a node at the addresses in the settings.
func listen(loaded settings.Settings) (sockets, error) {
	var open sockets
	for _, socket := range []struct {
		listener *net.Listener
		address  string
	}{
		{
			listener: &open.callers,
			address:  loaded.CallersAddress,
		},
		{
			listener: &open.peers,
			address:  loaded.PeersAddress,
		},
		{
			listener: &open.operators,
			address:  loaded.OperatorsAddress,
		},
	} {
		listener, err := net.Listen("tcp", socket.address)
		if err != nil {
			return sockets{}, err
		}
		*socket.listener = listener
	}
	return open, nil
}
