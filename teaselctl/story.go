package main

import (
	"io"
	"os"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/teaselctl/story"
)

// storyCommand is the subcommand that prints the log lines about one request, and the
// state changes around them; see package story.
type storyCommand struct {
	ID string `long:"id" required:"true" description:"the request's ID" value-name:"ID"`
}

// Execute reads logs from the named files, or from standard input if none is named,
// and prints the lines about the request.
func (c *storyCommand) Execute(files []string) error {
	logs := []io.Reader{os.Stdin}
	if len(files) > 0 {
		logs = nil
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		defer file.Close()
		logs = append(logs, file)
	}
	return story.Write(os.Stdout, c.ID, logs...)
}
