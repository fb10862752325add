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

// command is a subcommand: its name, its short and long help text, and the
// flags.Commander that holds its options and runs it.
type command struct {
	name      string
	short     string
	long      string
	commander any
}

// commands returns all subcommands. Those that embed baseCommand use ctx and options.
func commands(ctx context.Context, options *globalOptions) []command {
	base := baseCommand{
		ctx:     ctx,
		options: options,
	}
	return []command{
		{
			name:  "check",
			short: "check a directory of intents",
			long:  "Checks all documents below a directory as a whole and prints each fault as file:line: key: problem.",
			commander: &checkCommand{
				baseCommand: base,
			},
		},
		{
			name:  "diff",
			short: "show what publishing a directory would do",
			long:  "Checks all documents below a directory and prints how they differ from the version in force, and the expected effect. Nothing is published.",
			commander: &diffCommand{
				baseCommand: base,
			},
		},
		{
			name:  "publish",
			short: "put a directory of intents into force",
			long:  "Shows the difference and its expected effect, then publishes all documents below a directory as the next version. Drains in force stay in force. Without a difference nothing is published.",
			commander: &publishCommand{
				baseCommand: base,
			},
		},
		{
			name:  "history",
			short: "show the published versions",
			long:  "Prints the newest versions with their authors and changed documents, newest first.",
			commander: &historyCommand{
				baseCommand: base,
			},
		},
		{
			name:  "rollback",
			short: "put the documents of an earlier version into force",
			long:  "Publishes the documents of an earlier version as a new, higher version. Drains stay as they are in force now.",
			commander: &rollbackCommand{
				baseCommand: base,
			},
		},
		{
			name:  "status",
			short: "show entries and backend servers",
			long:  "Asks every entry for its state: configuration, members, slots in use, drains.",
			commander: &statusCommand{
				baseCommand: base,
			},
		},
		{
			name:      "story",
			short:     "tell what became of one request",
			long:      "Reads entries' logs from files or standard input, gathers all lines on a request and what the entries believed shortly before, and prints them in the order of time.",
			commander: &storyCommand{},
		},
		{
			name:  "drain",
			short: "take a backend server, a service's region or an entry out",
			long:  "Publishes a planned leave. What leaves gets no new work; requests in flight end.",
			commander: &drainCommand{
				baseCommand: base,
			},
		},
		{
			name:  "undrain",
			short: "take a drain back",
			long:  "Publishes a version without a drain.",
			commander: &undrainCommand{
				baseCommand: base,
			},
		},
		{
			name:  "explain",
			short: "explain what a caller gets now, and why",
			long:  "Asks an entry for the look-up's answer and the terms of the decision for a caller of a service.",
			commander: &explainCommand{
				baseCommand: base,
			},
		},
		{
			name:  "timeline",
			short: "show the events of all entries in causal order",
			long:  "Merges the time lines of all entries, optionally of one key, service, backend server or version.",
			commander: &timelineCommand{
				baseCommand: base,
			},
		},
	}
}

// baseCommand is embedded by the subcommands that use the global options.
type baseCommand struct {
	ctx     context.Context
	options *globalOptions
}

// checkCommand is the subcommand that validates a directory of intents.
type checkCommand struct {
	baseCommand
	Args directoryArg `positional-args:"yes" required:"yes"`
}

// checkResult is the JSON output of the check command.
type checkResult struct {
	Services     int             `json:"services"`
	ClientBlocks int             `json:"client-blocks"`
	Drains       int             `json:"drains"`
	Warnings     document.Errors `json:"warnings,omitempty"`
}

// Execute validates the documents of the directory and prints the warnings and the
// numbers of services, client blocks and drains.
func (c *checkCommand) Execute([]string) error {
	documents, err := publication.ReadDocuments(os.DirFS(c.Args.Directory))
	if err != nil {
		return err
	}
	configuration, warnings, err := intent.Check(1, documents)
	if err != nil {
		return err
	}
	if c.options.JSON {
		return control.WriteJSON(os.Stdout, checkResult{
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

// statusCommand is the subcommand that shows the status of the entries and of their
// backend servers.
type statusCommand struct {
	baseCommand
}

// Execute prints the status of all entries and their backend servers.
func (c *statusCommand) Execute([]string) error {
	client, err := c.options.newClient()
	if err != nil {
		return err
	}
	statuses := client.Status(c.ctx)
	if c.options.JSON {
		return control.WriteJSON(os.Stdout, statuses)
	}
	control.WriteStatus(os.Stdout, statuses)
	return nil
}

// explainCommand is the subcommand that shows how a request of a caller would be
// placed now, and why.
type explainCommand struct {
	baseCommand
	Args struct {
		Service string `positional-arg-name:"SERVICE"`
		Caller  string `positional-arg-name:"CALLER-ADDRESS"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the look-up's answer and the steering decision for the caller, as
// the first entry that answers explains them.
func (c *explainCommand) Execute([]string) error {
	client, err := c.options.newClient()
	if err != nil {
		return err
	}
	explanation, err := client.Explain(c.ctx, c.Args.Service, c.Args.Caller)
	if err != nil {
		return err
	}
	if c.options.JSON {
		return control.WriteJSON(os.Stdout, explanation)
	}
	control.WriteExplanation(os.Stdout, explanation)
	return nil
}

// timelineCommand is the subcommand that shows the time lines of the entries. The
// zero value of a filter selects all events.
type timelineCommand struct {
	baseCommand
	Key     string `long:"key" description:"only events of an idempotency key"`
	Service string `long:"service" description:"only events of a service"`
	Server  string `long:"backend-server" description:"only events of a backend server"`
	Version uint64 `long:"config-version" description:"only events of a configuration version"`
	Limit   uint32 `long:"limit" default:"200" description:"the most events of each entry"`
}

// Execute prints the merged time line. Without --json, it also prints on standard
// error the entries that did not answer.
func (c *timelineCommand) Execute([]string) error {
	client, err := c.options.newClient()
	if err != nil {
		return err
	}
	events, unanswered := client.Timeline(c.ctx, &teaselv1.TimelineRequest{
		Key:     c.Key,
		Service: c.Service,
		Server:  c.Server,
		Version: c.Version,
		Limit:   c.Limit,
	})
	if c.options.JSON {
		return control.WriteJSON(os.Stdout, events)
	}
	control.WriteTimeline(os.Stdout, events)
	for _, entry := range unanswered {
		fmt.Fprintln(os.Stderr, "teaselctl: no answer from", entry)
	}
	return nil
}
