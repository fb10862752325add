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

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 10 * time.Second

// siteOption names the deployment that a command belongs to.
type siteOption struct {
	Site string `long:"site" required:"true" value-name:"DIRECTORY" description:"directory of a deployment, as under examples/"`
}

type platformCommand struct {
	siteOption
	ctx context.Context
}

// Execute serves until the program is stopped.
func (c *platformCommand) Execute([]string) error {
	loaded, err := site.Load(c.Site)
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
			handler: server.Control(),
		},
	}, nil)
}

type backendsCommand struct {
	siteOption
	ctx context.Context
}

// Execute serves until the program is stopped.
func (c *backendsCommand) Execute([]string) error {
	loaded, err := site.Load(c.Site)
	if err != nil {
		return err
	}
	fleet := backend.NewFleet(loaded.Configuration)
	return serveAll(c.ctx, []endpoint{{
		address: loaded.Settings.BackendsControlAddress,
		handler: fleet.Control(),
	}}, fleet.Serve)
}

type linkCommand struct {
	siteOption
	ctx context.Context
}

// Execute serves until the program is stopped.
func (c *linkCommand) Execute([]string) error {
	loaded, err := site.Load(c.Site)
	if err != nil {
		return err
	}
	server := relay.New(relay.NewTopology(loaded))
	listener, err := net.Listen("tcp", loaded.Settings.RelayAddress)
	if err != nil {
		return errors.Wrap(err, "listen for connections to relay")
	}
	return serveAll(c.ctx, []endpoint{{
		address: loaded.Settings.RelayControlAddress,
		handler: server.Control(),
	}}, func(ctx context.Context) error { return server.Serve(ctx, listener) })
}

type loadCommand struct {
	siteOption
	ctx      context.Context
	Rate     float64       `long:"rate" default:"120" description:"requests a second"`
	Duration time.Duration `long:"duration" default:"12s" description:"how long to send"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the mix"`
	Drain    string        `long:"drain" value-name:"FILE" description:"file that holds, at the end, a drained backend server and when its drain was asked for and had ended"`
}

// Execute sends the load and prints its tables.
func (c *loadCommand) Execute([]string) error {
	loaded, err := site.Load(c.Site)
	if err != nil {
		return err
	}
	load := caller.New(loaded,
		caller.WithRate(c.Rate),
		caller.WithSeed(c.Seed),
		caller.WithOnFirstDone(func(caller.Result) { fmt.Println(time.Now().Format(time.TimeOnly), "first request answered") }),
	)
	report := &caller.Report{
		Results: load.Run(c.ctx, c.Duration),
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

// fetch reads JSON from a stand-in's control listener.
func fetch(url string, target any) error {
	response, err := http.Get(url)
	if err != nil {
		return errors.Wrap(err, "fetch report")
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(target); err != nil {
		return errors.Wrapf(err, "decode report of %s", url)
	}
	return nil
}

// readDrain reads a line of a backend server's name and two times.
func readDrain(file string) (*caller.Drain, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read drain")
	}
	fields := strings.Fields(string(content))
	if len(fields) != 3 {
		return nil, errors.Errorf("read drain: %q is no name with two times", content)
	}
	drain := &caller.Drain{
		Server: fields[0],
	}
	if drain.RequestedAt, err = time.Parse(time.RFC3339Nano, fields[1]); err != nil {
		return nil, errors.Wrap(err, "read drain")
	}
	if drain.IdleAt, err = time.Parse(time.RFC3339Nano, fields[2]); err != nil {
		return nil, errors.Wrap(err, "read drain")
	}
	return drain, nil
}

// endpoint is an address with what serves it.
type endpoint struct {
	address string
	handler http.Handler
}

// serveAll serves endpoints, and what else runs beside them, until ctx is done.
func serveAll(ctx context.Context, endpoints []endpoint, beside func(context.Context) error) error {
	var group sync.WaitGroup
	defer group.Wait()
	for _, each := range endpoints {
		listener, err := net.Listen("tcp", each.address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		server := &http.Server{
			Handler:           each.handler,
			ReadHeaderTimeout: headerTimeout,
		}
		group.Go(func() { _ = server.Serve(listener) })
		defer func() { _ = server.Close() }()
	}
	if beside != nil {
		return beside(ctx)
	}
	<-ctx.Done()
	return nil
}
