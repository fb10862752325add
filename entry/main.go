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
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// commandLine holds the parsed options.
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
		return serveOnPlatform()
	}
	if options.Settings == "" {
		fmt.Fprintln(os.Stderr, "entry: --settings is missing")
		return exitSettings
	}
	loaded, err := settings.Load(options.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if options.Check {
		fmt.Println(options.Settings + ": ok")
		return exitOK
	}
	return serve(loaded)
}

// reportUsageError prints the parser's error, or the first unexpected argument, and
// returns the exit code. A request for help is no failure.
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
	return exitSettings
}

// serve runs the entry until SIGTERM or an interrupt and returns the exit code.
func serve(loaded settings.Settings) int {
	logger := logline.New(os.Stderr, "entry", loaded.Name)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	open, err := listen(loaded)
	if err != nil {
		logger.Error().Str("event", "listen-failed").Err(err).Msg("")
		return exitFailed
	}
	running := newNode(loaded, logger)
	if err := running.serve(ctx, open); err != nil {
		logger.Error().Str("event", "serve-failed").Err(err).Msg("")
		return exitFailed
	}
	logger.Info().Str("event", "stopped").Msg("")
	return exitOK
}

// serveOnPlatform runs the entry with the platform's settings, routes and
// registrations until SIGTERM or an interrupt, and returns the exit code.
func serveOnPlatform() int {
	loaded, err := platform.ReadSettings(platform.SettingsFile())
	if err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		return exitSettings
	}
	buffer := logline.NewBuffer(os.Stdout)
	defer buffer.Close()
	logger := logline.NewJSON(buffer, "entry", loaded.Name)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	running := newPlatformNode(loaded, logger, buffer.Dropped)
	open, err := running.listen()
	if err != nil {
		logger.Error().Str("event", "listen-failed").Err(err).Msg("")
		return exitFailed
	}
	if err := running.serve(ctx, open, hangups); err != nil {
		logger.Error().Str("event", "serve-failed").Err(err).Msg("")
		return exitFailed
	}
	logger.Info().Str("event", "stopped").Msg("")
	return exitOK
}

// sockets are the open listeners of a node.
type sockets struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
}

// listen opens the sockets at the addresses in the settings.
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
