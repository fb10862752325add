package main

import (
	"context"
	"fmt"
	"os"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/document"
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
			name:  "check",
			short: "check a directory of intents",
			long:  "Checks all documents below a directory as a whole and prints each fault as file:line: key: problem.",
			command: &checkCommand{
				base: common,
			},
		},
		{
			name:  "diff",
			short: "show what publishing a directory would do",
			long:  "Checks all documents below a directory and prints how they differ from the version in force, and the expected effect. Nothing is published.",
			command: &diffCommand{
				base: common,
			},
		},
		{
			name:  "publish",
			short: "put a directory of intents into force",
			long:  "Shows the difference and its expected effect, then publishes all documents below a directory as the next version. Drains in force stay in force. Without a difference nothing is published.",
			command: &publishCommand{
				base: common,
			},
		},
		{
			name:  "history",
			short: "show the published versions",
			long:  "Prints the newest versions with their authors and changed documents, newest first.",
			command: &historyCommand{
				base: common,
			},
		},
		{
			name:  "rollback",
			short: "put the documents of an earlier version into force",
			long:  "Publishes the documents of an earlier version as a new, higher version. Drains stay as they are in force now.",
			command: &rollbackCommand{
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
			name:    "story",
			short:   "tell what became of one request",
			long:    "Reads entries' logs from files or standard input, gathers all lines on a request and what the entries believed shortly before, and prints them in the order of time.",
			command: &storyCommand{},
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
	base
	Args directory `positional-args:"yes" required:"yes"`
}

// checked is the result of a check, as --json prints it.
type checked struct {
	Services     int             `json:"services"`
	ClientBlocks int             `json:"client-blocks"`
	Drains       int             `json:"drains"`
	Warnings     document.Errors `json:"warnings,omitempty"`
}

// Execute checks the directory.
func (c *checkCommand) Execute([]string) error {
	documents, err := publication.ReadDocuments(os.DirFS(c.Args.Directory))
	if err != nil {
		return err
	}
	configuration, warnings, err := intent.Check(1, documents)
	if err != nil {
		return err
	}
	if c.globals.JSON {
		return control.WriteJSON(os.Stdout, checked{
			Services:     len(configuration.Services),
			ClientBlocks: configuration.Blocks.Len(),
			Drains:       len(configuration.Drains),
			Warnings:     warnings,
		})
	}
	for _, warning := range warnings {
		fmt.Println("warning:", warning)
	}
	fmt.Printf("ok: %d services, %d client blocks, %d drains\n",
		len(configuration.Services), configuration.Blocks.Len(), len(configuration.Drains))
	return nil
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
