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

// publishing are the options of commands that publish.
type publishing struct {
	Wait      bool          `long:"wait" description:"wait until all entries have the version in force"`
	Timeout   time.Duration `long:"timeout" default:"30s" description:"how long to wait"`
	PublishID string        `long:"publish-id" description:"makes the command safe to repeat: a version published under this ID is returned, not published again"`
}

// published is the result of a command that publishes, as --json prints it.
type published struct {
	Version uint64               `json:"version"`
	Preview *publication.Preview `json:"preview"`
	// InForceAfter is in milliseconds; it is set with --wait only.
	InForceAfter int64    `json:"in-force-after-ms,omitempty"`
	Lacking      []string `json:"lacking,omitempty"`
}

// finish shows a proposal, publishes it, and waits where asked to.
func (p publishing) finish(ctx context.Context, globals *globals, operator *control.Client, proposal *control.Proposal) error {
	if !globals.JSON {
		control.WritePreview(os.Stdout, proposal.Preview)
	}
	version, err := operator.Publish(ctx, proposal, p.PublishID)
	if err != nil {
		return err
	}
	result := published{
		Version: version,
		Preview: proposal.Preview,
	}
	if !globals.JSON {
		fmt.Printf("published version %d\n", version)
	}
	var waitErr error
	if p.Wait {
		waitErr = p.wait(ctx, globals, operator, &result)
	}
	if globals.JSON {
		if err := control.WriteJSON(os.Stdout, result); err != nil {
			return err
		}
	}
	return waitErr
}

func (p publishing) wait(ctx context.Context, globals *globals, operator *control.Client, result *published) error {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	took, err := operator.WaitInForce(ctx, result.Version)
	var lacking *control.NotInForceError
	if errors.As(err, &lacking) {
		result.Lacking = lacking.PendingEntries
	}
	if err != nil {
		return err
	}
	result.InForceAfter = took.Milliseconds()
	if !globals.JSON {
		fmt.Printf("version %d is in force on all entries after %s\n", result.Version, took.Round(time.Millisecond))
	}
	return nil
}

type directory struct {
	Directory string `positional-arg-name:"DIRECTORY"`
}

type publishCommand struct {
	base
	publishing
	On   uint64    `long:"on" description:"publish only if this version is in force; exit code 3 otherwise"`
	Args directory `positional-args:"yes" required:"yes"`
}

// Execute publishes the directory.
func (c *publishCommand) Execute([]string) error {
	operator, proposal, err := c.propose(c.On, c.Args.Directory)
	if err != nil {
		return err
	}
	return c.finish(c.ctx, c.globals, operator, proposal)
}

// propose prepares the publication of a directory.
func (b base) propose(on uint64, name string) (*control.Client, *control.Proposal, error) {
	documents, err := publication.Collect(os.DirFS(name))
	if err != nil {
		return nil, nil, err
	}
	operator, err := b.globals.operator()
	if err != nil {
		return nil, nil, err
	}
	proposal, err := operator.Propose(b.ctx, on, documents)
	return operator, proposal, err
}

type diffCommand struct {
	base
	Args directory `positional-args:"yes" required:"yes"`
}

// Execute shows what publishing the directory would do.
func (c *diffCommand) Execute([]string) error {
	_, proposal, err := c.propose(0, c.Args.Directory)
	if err != nil {
		return err
	}
	if c.globals.JSON {
		return control.WriteJSON(os.Stdout, proposal.Preview)
	}
	control.WritePreview(os.Stdout, proposal.Preview)
	return nil
}

type historyCommand struct {
	base
	Limit int `long:"limit" default:"20" description:"the most versions"`
}

// Execute prints the newest versions.
func (c *historyCommand) Execute([]string) error {
	operator, err := c.globals.operator()
	if err != nil {
		return err
	}
	versions, err := operator.History(c.ctx, c.Limit)
	if err != nil {
		return err
	}
	if c.globals.JSON {
		return control.WriteJSON(os.Stdout, versions)
	}
	control.WriteHistory(os.Stdout, versions)
	return nil
}

type rollbackCommand struct {
	base
	publishing
	Args struct {
		Version uint64 `positional-arg-name:"VERSION"`
	} `positional-args:"yes" required:"yes"`
}

// Execute publishes the documents of an earlier version.
func (c *rollbackCommand) Execute([]string) error {
	operator, err := c.globals.operator()
	if err != nil {
		return err
	}
	proposal, err := operator.ProposeRollback(c.ctx, c.Args.Version)
	if err != nil {
		return err
	}
	return c.finish(c.ctx, c.globals, operator, proposal)
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
	publishing
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
	proposal, err := operator.ProposeDrain(c.ctx, drain)
	if err != nil {
		return err
	}
	return c.finish(c.ctx, c.globals, operator, proposal)
}

type undrainCommand struct {
	base
	publishing
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
	proposal, err := operator.ProposeUndrain(c.ctx, drain)
	if err != nil {
		return err
	}
	return c.finish(c.ctx, c.globals, operator, proposal)
}
