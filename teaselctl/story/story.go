// Package story extracts the lines about one request from the logs of all
// entries and prints them in chronological order. It also prints the state changes,
// such as those of the configuration, the store and the request's backend servers, that
// the entries which handled the request logged around that time.
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

// ErrNotFound is returned when no log line has the ID of the request.
var ErrNotFound = errors.New("no log line has the request ID")

// logLine is one parsed log line. fields holds all of its JSON fields; time,
// entry and event hold the values of three of them. number is the index of the line
// among the parsed lines of all logs.
type logLine struct {
	time   time.Time
	entry  string
	event  string
	fields map[string]any
	number int
}

const (
	// contextBefore is how long before a request's first line state changes are
	// included. It exceeds the longest time for which a failing server is excluded,
	// maxExclusion of package placement, so that the change that excluded a server is
	// included too.
	contextBefore = 10 * time.Second
	// maxLineBytes is the maximum length of one line of a log; a longer one is an
	// error.
	maxLineBytes = 4 << 20
)

// Write prints the lines of logs about the request with the given ID. The logs may be
// given in any order. Write returns ErrNotFound if no line has the ID.
func Write(w io.Writer, id string, logs ...io.Reader) error {
	var all []logLine
	for _, log := range logs {
		lines, err := readLines(log, len(all))
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b logLine) int { return a.time.Compare(b.time) })
	selected := selectLines(all, id)
	if len(selected) == 0 {
		return errors.Wrapf(ErrNotFound, "request %s", id)
	}
	return writeLines(w, id, selected)
}

// readLines parses the JSON objects of a log and numbers them consecutively from
// first. It skips other text, such as the prefix that a log collector adds to each
// line.
func readLines(log io.Reader, first int) ([]logLine, error) {
	var all []logLine
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
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
			if line, valid := parseLine(fields); valid {
				line.number = first + len(all)
				all = append(all, line)
			}
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	return all, nil
}

// parseLine returns the line that has the given JSON fields. It reports false if
// they lack a valid time or an event.
func parseLine(fields map[string]any) (logLine, bool) {
	text, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	event, _ := fields["event"].(string)
	entry, _ := fields["entry"].(string)
	return logLine{
		time:   at,
		entry:  entry,
		event:  event,
		fields: fields,
	}, err == nil && event != ""
}

// stringField returns the value of a field, or "" if it is not a string.
func (line *logLine) stringField(field string) string {
	text, _ := line.fields[field].(string)
	return text
}

// selectLines returns the lines with the request's ID, and the state changes of the
// entries that handled the request. A state change is a line without an ID. It is
// included if it names a server of the request or no server, and if it was logged
// between contextBefore before the request's first line and one second after its last
// line. The lines in all must be in chronological order.
func selectLines(all []logLine, id string) []logLine {
	entries, servers := make(map[string]bool), make(map[string]bool)
	var firstTime, lastTime time.Time
	for i := range all {
		if all[i].stringField("id") != id {
			continue
		}
		if firstTime.IsZero() {
			firstTime = all[i].time
		}
		lastTime = all[i].time
		entries[all[i].entry] = true
		if server := all[i].stringField("server"); server != "" {
			servers[server] = true
		}
	}
	var selected []logLine
	for i := range all {
		line := &all[i]
		switch {
		case line.stringField("id") == id:
		case line.stringField("id") != "" || firstTime.IsZero() || !entries[line.entry],
			line.time.Before(firstTime.Add(-contextBefore)) || line.time.After(lastTime.Add(time.Second)),
			line.stringField("server") != "" && !servers[line.stringField("server")]:
			continue
		}
		selected = append(selected, *line)
	}
	return selected
}

// writeLines prints lines with their times relative to the request's first line, and
// marks the lines of the request with an asterisk.
func writeLines(w io.Writer, id string, selected []logLine) error {
	var start time.Time
	for i := range selected {
		if selected[i].stringField("id") == id {
			start = selected[i].time
			break
		}
	}
	out := bufio.NewWriter(w)
	fmt.Fprintf(out, "request %s, times from %s\n", id, start.Format(time.RFC3339Nano))
	for i := range selected {
		line := &selected[i]
		mark := " "
		if line.stringField("id") == id {
			mark = "*"
		}
		fmt.Fprintf(out, "%s %8.3fs %s %s%s\n", mark, line.time.Sub(start).Seconds(), line.entry, line.event, line.otherFields())
	}
	return out.Flush()
}

// otherFields formats the fields for which writeLines has no column, other than the
// level and the request's ID, as name=value pairs sorted by name.
func (line *logLine) otherFields() string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(line.fields)) {
		switch name {
		case "time", "level", "entry", "event", "id":
			continue
		}
		if value := fmt.Sprint(line.fields[name]); value != "" {
			fmt.Fprintf(&text, " %s=%s", name, value)
		}
	}
	return text.String()
}
