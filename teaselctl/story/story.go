// Package story gathers what the logs of all entries say of one request, with
// what those entries believed of its backend servers, configuration and store
// shortly before, and prints it in the order of time.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// ErrNotFound is returned when no line names the request.
var ErrNotFound = errors.New("no line names the request")

// line is one log line: its own fields and those that the story goes by.
type line struct {
	at     time.Time
	entry  string
	event  string
	fields map[string]any
	number int
}

const (
	// before is how far back beliefs are told: the longest time for which a server
	// is left out is shorter.
	before = 10 * time.Second
	// maxLine bounds one line of a log, in bytes.
	maxLine = 4 << 20
)

// Write prints the story of a request from logs in any order.
func Write(w io.Writer, id string, logs ...io.Reader) error {
	var all []line
	for _, log := range logs {
		read, err := readLines(log, len(all))
		if err != nil {
			return err
		}
		all = append(all, read...)
	}
	slices.SortStableFunc(all, func(a, b line) int { return a.at.Compare(b.at) })
	told := choose(all, id)
	if len(told) == 0 {
		return errors.Wrapf(ErrNotFound, "request %s", id)
	}
	return write(w, id, told)
}

// readLines reads the JSON objects of a log. Other text, such as what a collector
// puts before each line, is skipped.
func readLines(log io.Reader, first int) ([]line, error) {
	var all []line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		decoder := json.NewDecoder(bytes.NewReader(text[start:]))
		decoder.UseNumber()
		for {
			var fields map[string]any
			if decoder.Decode(&fields) != nil {
				break
			}
			if each, known := newLine(fields); known {
				each.number = first + len(all)
				all = append(all, each)
			}
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	return all, nil
}

func newLine(fields map[string]any) (line, bool) {
	text, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	event, _ := fields["event"].(string)
	entry, _ := fields["entry"].(string)
	return line{
		at:     at,
		entry:  entry,
		event:  event,
		fields: fields,
	}, err == nil && event != ""
}

func (l *line) text(field string) string {
	text, _ := l.fields[field].(string)
	return text
}

// choose returns the lines on a request and, of the entries that handled it,
// those that changed what they believed of its servers or of themselves.
func choose(all []line, id string) []line {
	entries, servers := make(map[string]bool), make(map[string]bool)
	var from, until time.Time
	for i := range all {
		if all[i].text("id") != id {
			continue
		}
		if from.IsZero() {
			from = all[i].at
		}
		until = all[i].at
		entries[all[i].entry] = true
		if server := all[i].text("server"); server != "" {
			servers[server] = true
		}
	}
	var told []line
	for i := range all {
		each := &all[i]
		switch {
		case each.text("id") == id:
		case each.text("id") != "" || from.IsZero() || !entries[each.entry],
			each.at.Before(from.Add(-before)) || each.at.After(until.Add(time.Second)),
			each.text("server") != "" && !servers[each.text("server")]:
			continue
		}
		told = append(told, *each)
	}
	return told
}

// write prints lines with their time from the first one on the request.
func write(w io.Writer, id string, told []line) error {
	var from time.Time
	for i := range told {
		if told[i].text("id") == id {
			from = told[i].at
			break
		}
	}
	out := bufio.NewWriter(w)
	fmt.Fprintf(out, "request %s, times from %s\n", id, from.Format(time.RFC3339Nano))
	for i := range told {
		each := &told[i]
		mark := " "
		if each.text("id") == id {
			mark = "*"
		}
		fmt.Fprintf(out, "%s %8.3fs %s %s%s\n", mark, each.at.Sub(from).Seconds(), each.entry, each.event, each.rest())
	}
	return out.Flush()
}

// rest returns the fields that have no column, in the order of their names.
func (l *line) rest() string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		switch name {
		case "time", "level", "entry", "event", "id":
			continue
		}
		if value := fmt.Sprint(l.fields[name]); value != "" {
			fmt.Fprintf(&text, " %s=%s", name, value)
		}
	}
	return text.String()
}
