package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/teaselstack/teaselstack/platform/memory"
	"github.com/teaselstack/teaselstack/publication"
	"github.com/teaselstack/teaselstack/standin/backend"
	"github.com/teaselstack/teaselstack/standin/caller"
	"github.com/teaselstack/teaselstack/standin/store"
)

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 10 * time.Second

type platformCommand struct {
	ctx     context.Context
	Address string `long:"address" required:"true" description:"IP address and port to listen on"`
}

// Execute serves until the program is stopped.
func (c *platformCommand) Execute([]string) error {
	server := &store.Server{
		Store: &memory.Store{},
	}
	return serveAll(c.ctx, []endpoint{{
		address: c.Address,
		handler: server,
	}})
}

type backendsCommand struct {
	ctx     context.Context
	Intents string `long:"intents" required:"true" description:"directory of intents"`
	Control string `long:"control" required:"true" description:"IP address and port to report and to be told of faults on"`
}

// Execute serves until the program is stopped.
func (c *backendsCommand) Execute([]string) error {
	documents, err := publication.Collect(os.DirFS(c.Intents))
	if err != nil {
		return err
	}
	fleet, err := backend.NewFleet(documents)
	if err != nil {
		return err
	}
	endpoints := []endpoint{{
		address: c.Control,
		handler: fleet,
	}}
	for _, server := range fleet.Servers() {
		endpoints = append(endpoints, endpoint{
			address: server.Address,
			handler: server,
		})
	}
	return serveAll(c.ctx, endpoints)
}

type loadCommand struct {
	ctx      context.Context
	Intents  string        `long:"intents" required:"true" description:"directory of intents"`
	Entries  []string      `long:"entry" required:"true" description:"address of an entry's callers listener; may be repeated"`
	Rate     float64       `long:"rate" default:"100" description:"requests a second"`
	Duration time.Duration `long:"duration" default:"10s" description:"how long to send"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the mix"`
}

// Execute sends the load and prints its table.
func (c *loadCommand) Execute([]string) error {
	documents, err := publication.Collect(os.DirFS(c.Intents))
	if err != nil {
		return err
	}
	load, err := caller.NewLoad(documents, c.Entries, c.Rate, c.Seed)
	if err != nil {
		return err
	}
	report := load.Run(c.ctx, c.Duration)
	fmt.Print(report)
	return report.Err()
}

// endpoint is an address with what serves it.
type endpoint struct {
	address string
	handler http.Handler
}

// serveAll serves endpoints until ctx is done.
func serveAll(ctx context.Context, endpoints []endpoint) error {
	var group sync.WaitGroup
	defer group.Wait()
	for _, each := range endpoints {
		listener, err := net.Listen("tcp", each.address)
		if err != nil {
			return err
		}
		server := &http.Server{
			Handler:           each.handler,
			ReadHeaderTimeout: headerTimeout,
		}
		group.Go(func() { _ = server.Serve(listener) })
		defer func() { _ = server.Close() }()
	}
	<-ctx.Done()
	return nil
}
