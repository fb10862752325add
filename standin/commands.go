package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/standin/backend"
	"github.com/teaselstack/teaselstack/standin/caller"
	"github.com/teaselstack/teaselstack/standin/relay"
	"github.com/teaselstack/teaselstack/standin/site"
	"github.com/teaselstack/teaselstack/standin/store"
)

// headerTimeout limits the time for reading a request's header.
const headerTimeout = 10 * time.Second

// siteOptions holds the option that all commands have: the directory of the
// deployment whose environment they simulate.
type siteOptions struct {
	SiteDirectory string `long:"site" required:"true" value-name:"DIRECTORY" description:"directory of a deployment, as under examples/"`
}

// platformCommand is the command "platform". It runs the stand-in for the platform,
// and the control API that sets its faults and its list of VMs.
type platformCommand struct {
	siteOptions
	ctx context.Context
}

// Execute serves until the program is stopped.
func (c *platformCommand) Execute([]string) error {
	loaded, err := site.Load(c.SiteDirectory)
	if err != nil {
		return err
	}
	server := store.New()
	return serveAll(c.ctx, []endpoint{
		{
			address: loaded.Settings.PlatformAddress,
			handler: server,
		},
		{
			address: loaded.Settings.PlatformControlAddress,
			handler: server.ControlHandler(),
		},
	}, nil)
}

// backendsCommand is the command "backends". It runs all backend servers, and the
// control API that sets their faults and reports what they ran.
type backendsCommand struct {
	siteOptions
	ctx context.Context
}

// Execute serves until the program is stopped.
func (c *backendsCommand) Execute([]string) error {
	loaded, err := site.Load(c.SiteDirectory)
	if err != nil {
		return err
	}
	fleet := backend.NewFleet(loaded.Configuration)
	return serveAll(c.ctx, []endpoint{{
		address: loaded.Settings.BackendsControlAddress,
		handler: fleet.ControlHandler(),
	}}, fleet.Serve)
}

// relayCommand is the command "link". It runs the relay, which emulates the network
// between locations, and the control API that reports the loads of the links and sets
// partitions.
type relayCommand struct {
	siteOptions
	ctx context.Context
}

// Execute serves until the program is stopped.
func (c *relayCommand) Execute([]string) error {
	loaded, err := site.Load(c.SiteDirectory)
	if err != nil {
		return err
	}
	server := relay.New(relay.NewTopology(loaded))
	listener, err := net.Listen("tcp", loaded.Settings.RelayAddress)
	if err != nil {
		return errors.Wrap(err, "listen for connections to the relay")
	}
	return serveAll(c.ctx, []endpoint{{
		address: loaded.Settings.RelayControlAddress,
		handler: server.ControlHandler(),
	}}, func(ctx context.Context) error { return server.Serve(ctx, listener) })
}

// generatorCommand is the command "load". It runs the load generator, which sends
// requests as callers do, and checks the outcomes against the reports of the backend
// servers and the relay.
type generatorCommand struct {
	siteOptions
	ctx      context.Context
	Rate     float64       `long:"rate" default:"120" description:"requests a second"`
	Duration time.Duration `long:"duration" default:"12s" description:"how long to send"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the mix"`
	Drain    string        `long:"drain" value-name:"FILE" description:"file that holds, at the end, a drained backend server and when its drain was asked for and had ended"`
}

// Execute sends the load and prints the outcomes and checks. It returns an error if a
// check shows that a promise was broken.
func (c *generatorCommand) Execute([]string) error {
	loaded, err := site.Load(c.SiteDirectory)
	if err != nil {
		return err
	}
	generator := caller.NewGenerator(loaded,
		caller.WithRate(c.Rate),
		caller.WithSeed(c.Seed),
		caller.WithOnFirstDone(func(caller.Result) { fmt.Println(time.Now().Format(time.TimeOnly), "first request answered") }),
	)
	report := &caller.Report{
		Results: generator.Run(c.ctx, c.Duration),
	}
	if err := fetch("http://"+loaded.Settings.BackendsControlAddress+"/report", &report.Backends); err != nil {
		return err
	}
	if err := fetch("http://"+loaded.Settings.RelayControlAddress+"/links", &report.Links); err != nil {
		return err
	}
	if c.Drain != "" {
		if report.Drain, err = readDrain(c.Drain); err != nil {
			return err
		}
	}
	checks := append(report.Checks(), report.CheckAllGivenOutcome(), report.CheckAllDone())
	if !caller.WriteReport(os.Stdout, report, checks) {
		return errors.New("a promise was broken")
	}
	return nil
}

// fetch gets a URL of a stand-in's control API and decodes the JSON body of the
// response into target.
func fetch(url string, target any) error {
	response, err := http.Get(url)
	if err != nil {
		return errors.Wrap(err, "fetch report")
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(target); err != nil {
		return errors.Wrapf(err, "decode report from %s", url)
	}
	return nil
}

// readDrain reads a file with the name of a backend server and two times in the
// format RFC 3339: when its drain was requested, and when the drain had ended.
func readDrain(file string) (*caller.Drain, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read drain file")
	}
	fields := strings.Fields(string(content))
	if len(fields) != 3 {
		return nil, errors.Errorf("read drain file: %q is not a server name and two times", content)
	}
	drain := &caller.Drain{
		Server: fields[0],
	}
	if drain.RequestedAt, err = time.Parse(time.RFC3339Nano, fields[1]); err != nil {
		return nil, errors.Wrap(err, "parse time of drain request")
	}
	if drain.IdleAt, err = time.Parse(time.RFC3339Nano, fields[2]); err != nil {
		return nil, errors.Wrap(err, "parse end of drain")
	}
	return drain, nil
}

// endpoint is an address to listen on and the handler of its requests.
type endpoint struct {
	address string
	handler http.Handler
}

// serveAll serves the endpoints until ctx is done or, if background is not nil, until
// background(ctx) returns.
func serveAll(ctx context.Context, endpoints []endpoint, background func(context.Context) error) error {
	var group sync.WaitGroup
	defer group.Wait()
	for _, current := range endpoints {
		listener, err := net.Listen("tcp", current.address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		server := &http.Server{
			Handler:           current.handler,
			ReadHeaderTimeout: headerTimeout,
		}
		group.Go(func() { _ = server.Serve(listener) })
		defer func() { _ = server.Close() }()
	}
	if background != nil {
		return background(ctx)
	}
	<-ctx.Done()
	return nil
}
