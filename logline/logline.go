// Package logline makes the loggers of all programs: one line of key=value
// pairs an event.
package logline

import (
	"io"
	"strconv"

	"github.com/phuslu/log"
)

// timeFormat is that of RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes lines with a field that names the process.
func New(w io.Writer, field, name string) *log.Logger {
	return &log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: timeFormat,
		Context:    log.NewContext(nil).Str(field, name).Value(),
		Writer: &log.ConsoleWriter{
			Formatter: format,
			Writer:    w,
		},
	}
}

// format writes time and level, then the event's own pairs. An event is named
// by its pair "event"; a message is written only when there is one.
func format(w io.Writer, args *log.FormatterArgs) (int, error) {
	line := make([]byte, 0, 256)
	line = append(line, "time="+args.Time+" level="+args.Level...)
	for _, pair := range args.KeyValues {
		line = append(line, ' ')
		line = append(line, pair.Key...)
		line = append(line, '=')
		line = appendValue(line, pair.Value)
	}
	if args.Message != "" {
		line = append(line, " message="...)
		line = appendValue(line, args.Message)
	}
	return w.Write(append(line, '\n'))
}

// appendValue quotes a value only where it would not read as one word.
func appendValue(line []byte, value string) []byte {
	quoted := strconv.Quote(value)
	for _, letter := range value {
		if letter <= ' ' || letter == '=' || letter == '"' {
			return append(line, quoted...)
		}
	}
	if value == "" || len(quoted) != len(value)+2 {
		return append(line, quoted...)
	}
	return append(line, value...)
}
