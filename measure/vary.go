package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/platform/site"
)

// varyCommand is the subcommand that writes the variations of a site file to a
// directory; see package site.
type varyCommand struct {
	To   string `long:"to" required:"true" description:"directory that the variations are written to"`
	Args struct {
		Site string `positional-arg-name:"SITE"`
	} `positional-args:"true" required:"true"`
}

// Execute writes all variations of a site file, prints their paths, and copies the
// messages file that belongs to the site file.
func (c *varyCommand) Execute([]string) error {
	content, err := os.ReadFile(c.Args.Site)
	if err != nil {
		return errors.Wrap(err, "read site file")
	}
	base := strings.TrimSuffix(filepath.Base(c.Args.Site), ".toml")
	for _, name := range site.Variations() {
		varied, err := site.Vary(content, name)
		if err != nil {
			return err
		}
		path := filepath.Join(c.To, base+"-"+name+".toml")
		if err := os.WriteFile(path, varied, 0o644); err != nil {
			return errors.Wrap(err, "write variation")
		}
		fmt.Println(path)
	}
	return c.copyMessages()
}

// messagesFile is the name of an optional file next to a site file, which lists the
// messages on the wire.
const messagesFile = "wire.json"

// copyMessages copies the messages file, if it exists, to the directory of the
// variations.
func (c *varyCommand) copyMessages() error {
	content, err := os.ReadFile(filepath.Join(filepath.Dir(c.Args.Site), messagesFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read messages")
	}
	if err := os.WriteFile(filepath.Join(c.To, messagesFile), content, 0o644); err != nil {
		return errors.Wrap(err, "write messages")
	}
	return nil
}
