package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/publication"
	"github.com/teaselstack/teaselstack/teaselctl/control"
)

// publishOptions are the options of the subcommands that publish a version.
type publishOptions struct {
	Wait      bool          `long:"wait" description:"wait until all entries have the version in force"`
	Timeout   time.Duration `long:"timeout" default:"30s" description:"how long to wait"`
	PublishID string        `long:"publish-id" description:"makes the command safe to repeat: a version published under this ID is returned, not published again"`
}

// publishResult is the JSON output of a subcommand that publishes a version.
type publishResult struct {
	Version uint64               `json:"version"`
	Preview *publication.Preview `json:"preview"`
	// InForceAfterMs is how long the command waited, in milliseconds, until the
	// version was in force on all entries. It is set only with --wait.
	InForceAfterMs int64 `json:"in-force-after-ms,omitempty"`
	// PendingEntries describes the entries that did not have the version in force,
	// or did not answer, when the wait timed out.
	PendingEntries []string `json:"lacking,omitempty"`
}

// publish prints the preview of a proposal and publishes it. With --wait it then
// waits until the new version is in force on all entries, and returns a
// *control.NotInForceError after the timeout. With --json it only prints a
// publishResult at the end.
func (p publishOptions) publish(ctx context.Context, options *globalOptions, client *control.Client, proposal *control.Proposal) error {
	if !options.JSON {
		control.WritePreview(os.Stdout, proposal.Preview)
	}
	version, err := client.Publish(ctx, proposal, p.PublishID)
	if err != nil {
		return err
	}
	result := publishResult{
		Version: version,
		Preview: proposal.Preview,
	}
	if !options.JSON {
		fmt.Printf("published version %d\n", version)
	}
	var waitErr error
	if p.Wait {
		waitErr = p.waitInForce(ctx, options, client, &result)
	}
	if options.JSON {
		if err := control.WriteJSON(os.Stdout, result); err != nil {
			return err
		}
	}
	return waitErr
}

// waitInForce waits until all entries have the version of result in force. It records
// in result how long it waited, or which entries were still pending at the timeout.
func (p publishOptions) waitInForce(ctx context.Context, options *globalOptions, client *control.Client, result *publishResult) error {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	took, err := client.WaitInForce(ctx, result.Version)
	var notInForce *control.NotInForceError
	if errors.As(err, &notInForce) {
		result.PendingEntries = notInForce.PendingEntries
	}
	if err != nil {
		return err
	}
	result.InForceAfterMs = took.Milliseconds()
	if !options.JSON {
		fmt.Printf("version %d is in force on all entries after %s\n", result.Version, took.Round(time.Millisecond))
	}
	return nil
}

// directoryArg is the positional argument for a directory of intents.
type directoryArg struct {
	Directory string `positional-arg-name:"DIRECTORY"`
}

// publishCommand is the subcommand that publishes a directory of intents.
type publishCommand struct {
	baseCommand
	publishOptions
	ExpectedVersion uint64       `long:"on" description:"publish only if this version is in force; exit code 3 otherwise"`
	Args            directoryArg `positional-args:"yes" required:"yes"`
}

// Execute publishes the intents of the directory.
func (c *publishCommand) Execute([]string) error {
	client, proposal, err := c.propose(c.ExpectedVersion, c.Args.Directory)
	if err != nil {
		return err
	}
	return c.publish(c.ctx, c.options, client, proposal)
}

// propose prepares the publication of a directory of intents. A nonzero
// expectedVersion must be the version in force; see control.Client.Propose.
func (c baseCommand) propose(expectedVersion uint64, directory string) (*control.Client, *control.Proposal, error) {
	documents, err := publication.ReadDocuments(os.DirFS(directory))
	if err != nil {
		return nil, nil, err
	}
	client, err := c.options.newClient()
	if err != nil {
		return nil, nil, err
	}
	proposal, err := client.Propose(c.ctx, expectedVersion, documents)
	return client, proposal, err
}

// diffCommand is the subcommand that previews the publication of a directory of
// intents.
type diffCommand struct {
	baseCommand
	Args directoryArg `positional-args:"yes" required:"yes"`
}

// Execute prints the preview and publishes nothing.
func (c *diffCommand) Execute([]string) error {
	_, proposal, err := c.propose(0, c.Args.Directory)
	if err != nil {
		return err
	}
	if c.options.JSON {
		return control.WriteJSON(os.Stdout, proposal.Preview)
	}
	control.WritePreview(os.Stdout, proposal.Preview)
	return nil
}

// historyCommand is the subcommand that lists published versions.
type historyCommand struct {
	baseCommand
	Limit int `long:"limit" default:"20" description:"the most versions"`
}

// Execute prints the latest versions, newest first.
func (c *historyCommand) Execute([]string) error {
	client, err := c.options.newClient()
	if err != nil {
		return err
	}
	versions, err := client.History(c.ctx, c.Limit)
	if err != nil {
		return err
	}
	if c.options.JSON {
		return control.WriteJSON(os.Stdout, versions)
	}
	control.WriteHistory(os.Stdout, versions)
	return nil
}

// rollbackCommand is the subcommand that publishes the documents of an earlier
// version again.
type rollbackCommand struct {
	baseCommand
	publishOptions
	Args struct {
		Version uint64 `positional-arg-name:"VERSION"`
	} `positional-args:"yes" required:"yes"`
}

// Execute publishes the documents of the earlier version, but with the drains that are
// in force now, as a new version.
func (c *rollbackCommand) Execute([]string) error {
	client, err := c.options.newClient()
	if err != nil {
		return err
	}
	proposal, err := client.ProposeRollback(c.ctx, c.Args.Version)
	if err != nil {
		return err
	}
	return c.publish(c.ctx, c.options, client, proposal)
}

// drainTarget holds the positional arguments that name what to drain.
type drainTarget struct {
	Kind    string `positional-arg-name:"KIND" description:"backend-server, service-region or entry"`
	Name    string `positional-arg-name:"NAME" description:"the backend server, the entry or the region"`
	Service string `positional-arg-name:"SERVICE" description:"the service, for a service-region"`
}

// drain returns a drain of the target that starts now.
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

// drainCommand is the subcommand that publishes a drain.
type drainCommand struct {
	baseCommand
	publishOptions
	Force bool        `long:"force" description:"drain even where no room is left"`
	Args  drainTarget `positional-args:"yes"`
}

// Execute publishes a version with the drain.
func (c *drainCommand) Execute([]string) error {
	client, err := c.options.newClient()
	if err != nil {
		return err
	}
	drain, err := c.Args.drain()
	if err != nil {
		return err
	}
	drain.Force = c.Force
	proposal, err := client.ProposeDrain(c.ctx, drain)
	if err != nil {
		return err
	}
	return c.publish(c.ctx, c.options, client, proposal)
}

// undrainCommand is the subcommand that removes a drain.
type undrainCommand struct {
	baseCommand
	publishOptions
	Args drainTarget `positional-args:"yes"`
}

// Execute publishes a version without the drain.
func (c *undrainCommand) Execute([]string) error {
	client, err := c.options.newClient()
	if err != nil {
		return err
	}
	drain, err := c.Args.drain()
	if err != nil {
		return err
	}
	proposal, err := client.ProposeUndrain(c.ctx, drain)
	if err != nil {
		return err
	}
	return c.publish(c.ctx, c.options, client, proposal)
}
