package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/publication"
	"github.com/teaselstack/teaselstack/teaselctl/control"
)

// command is one subcommand with its help.
type command struct {
	name    string
	short   string
	long    string
	command any
}

func commands(ctx context.Context, shared *globals) []command {
	common := base{
		ctx:     ctx,
		globals: shared,
	}
	return []command{
		{
			name:    "check",
			short:   "check a directory of intents",
			long:    "Checks all documents below a directory as a whole and prints each fault as file:line: key: problem.",
			command: &checkCommand{},
		},
		{
			name:  "publish",
			short: "put a directory of intents into force",
			long:  "Publishes all documents below a directory as the next version. Drains in force stay in force.",
			command: &publishCommand{
				base: common,
			},
		},
		{
			name:  "status",
			short: "show entries and backend servers",
			long:  "Asks every entry for its state: configuration, members, slots in use, drains.",
			command: &statusCommand{
				base: common,
			},
		},
		{
			name:  "drain",
			short: "take a backend server, a service's region or an entry out",
			long:  "Publishes a planned leave. What leaves gets no new work; requests in flight end.",
			command: &drainCommand{
				base: common,
			},
		},
		{
			name:  "undrain",
			short: "take a drain back",
			long:  "Publishes a version without a drain.",
			command: &undrainCommand{
				base: common,
			},
		},
		{
			name:  "explain",
			short: "explain what a caller gets now, and why",
			long:  "Asks an entry for the look-up's answer and the terms of the decision for a caller of a service.",
			command: &explainCommand{
				base: common,
			},
		},
		{
			name:  "timeline",
			short: "show the events of all entries in causal order",
			long:  "Merges the time lines of all entries, optionally of one key, service, backend server or version.",
			command: &timelineCommand{
				base: common,
			},
		},
	}
}

// base is what all commands that talk to the system share.
type base struct {
	ctx     context.Context
	globals *globals
}

type checkCommand struct {
	Args struct {
		Directory string `positional-arg-name:"DIRECTORY"`
	} `positional-args:"yes" required:"yes"`
}

// Execute checks the directory.
func (c *checkCommand) Execute([]string) error {
	configuration, err := collect(c.Args.Directory)
	if err != nil {
		return err
	}
	fmt.Printf("ok: %d services, %d client blocks, %d drains\n",
		len(configuration.Services), configuration.Blocks.Len(), len(configuration.Drains))
	return nil
}

func collect(directory string) (*intent.Configuration, error) {
	documents, err := publication.Collect(os.DirFS(directory))
	if err != nil {
		return nil, err
	}
	return intent.Compile(1, documents)
}

// waiting are the options of commands that publish.
type waiting struct {
	Wait    bool          `long:"wait" description:"wait until all entries have the version in force"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"how long to wait"`
}

func (w waiting) finish(ctx context.Context, operator *control.Operator, version uint64) error {
	fmt.Printf("published version %d\n", version)
	if !w.Wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, w.Timeout)
	defer cancel()
	took, err := operator.WaitInForce(ctx, version)
	if err != nil {
		return err
	}
	fmt.Printf("version %d is in force on all entries after %s\n", version, took.Round(time.Millisecond))
	return nil
}

type publishCommand struct {
	base
	waiting
	Args struct {
		Directory string `positional-arg-name:"DIRECTORY"`
	} `positional-args:"yes" required:"yes"`
}

// Execute publishes the directory.
func (c *publishCommand) Execute([]string) error {
	if _, err := collect(c.Args.Directory); err != nil {
		return err
	}
	documents, err := publication.Collect(os.DirFS(c.Args.Directory))
	if err != nil {
		return err
	}
	operator, err := c.globals.operator()
	if err != nil {
		return err
	}
	version, err := operator.Publish(c.ctx, documents)
	if err != nil {
		return err
	}
	return c.finish(c.ctx, operator, version)
}

type statusCommand struct {
	base
}

// Execute prints the state of all entries.
func (c *statusCommand) Execute([]string) error {
	operator, err := c.globals.operator()
	if err != nil {
		return err
	}
	statuses := operator.Status(c.ctx)
	if c.globals.JSON {
		return control.WriteJSON(os.Stdout, statuses)
	}
	control.WriteStatus(os.Stdout, statuses)
	return nil
}

type drainTarget struct {
	Kind    string `positional-arg-name:"KIND" description:"backend-server, service-region or entry"`
	Name    string `positional-arg-name:"NAME" description:"the backend server, the entry or the region"`
	Service string `positional-arg-name:"SERVICE" description:"the service, for a service-region"`
}

func (t drainTarget) drain() (intent.Drain, error) {
	if t.Kind == "" || t.Name == "" {
		return intent.Drain{}, errors.New("KIND and NAME are missing")
	}
	return intent.Drain{
		Kind:    intent.DrainKind(t.Kind),
		Name:    t.Name,
		Service: t.Service,
		Since:   time.Now().UTC().Truncate(time.Second),
	}, nil
}

type drainCommand struct {
	base
	waiting
	Force bool        `long:"force" description:"drain even where no room is left"`
	Args  drainTarget `positional-args:"yes"`
}

// Execute publishes the drain.
func (c *drainCommand) Execute([]string) error {
	operator, err := c.globals.operator()
	if err != nil {
		return err
	}
	drain, err := c.Args.drain()
	if err != nil {
		return err
	}
	drain.Force = c.Force
	version, err := operator.Drain(c.ctx, drain)
	if err != nil {
		return err
	}
	return c.finish(c.ctx, operator, version)
}

type undrainCommand struct {
	base
	waiting
	Args drainTarget `positional-args:"yes"`
}

// Execute publishes a version without the drain.
func (c *undrainCommand) Execute([]string) error {
	operator, err := c.globals.operator()
	if err != nil {
		return err
	}
	drain, err := c.Args.drain()
	if err != nil {
		return err
	}
	version, err := operator.Undrain(c.ctx, drain)
	if err != nil {
		return err
	}
	return c.finish(c.ctx, operator, version)
}

type explainCommand struct {
	base
	Args struct {
		Service string `positional-arg-name:"SERVICE"`
		Caller  string `positional-arg-name:"CALLER-ADDRESS"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the decision for a caller.
func (c *explainCommand) Execute([]string) error {
	operator, err := c.globals.operator()
	if err != nil {
		return err
	}
	explained, err := operator.Explain(c.ctx, c.Args.Service, c.Args.Caller)
	if err != nil {
		return err
	}
	if c.globals.JSON {
		return control.WriteJSON(os.Stdout, explained)
	}
	control.WriteExplanation(os.Stdout, explained)
	return nil
}

type timelineCommand struct {
	base
	Key     string `long:"key" description:"only events of an idempotency key"`
	Service string `long:"service" description:"only events of a service"`
	Server  string `long:"backend-server" description:"only events of a backend server"`
	Version uint64 `long:"config-version" description:"only events of a configuration version"`
	Limit   uint32 `long:"limit" default:"200" description:"the most events of each entry"`
}

// Execute prints the merged time line.
func (c *timelineCommand) Execute([]string) error {
	operator, err := c.globals.operator()
	if err != nil {
		return err
	}
	events, missing := operator.Timeline(c.ctx, &teaselv1.TimelineRequest{
		Key:     c.Key,
		Service: c.Service,
		Server:  c.Server,
		Version: c.Version,
		Limit:   c.Limit,
	})
	if c.globals.JSON {
		return control.WriteJSON(os.Stdout, events)
	}
	control.WriteTimeline(os.Stdout, events)
	for _, entry := range missing {
		fmt.Fprintln(os.Stderr, "teaselctl: no answer from", entry)
	}
	return nil
}
