// Package logline creates loggers that write one line per event, either as key=value
// pairs or as a JSON object.
package logline

import (
	"io"
	"strconv"

	"github.com/phuslu/log"
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes lines of key=value pairs to w. Each line holds the
// name of the process under the key given by field.
func New(w io.Writer, field, name string) *log.Logger {
	return &log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: timeFormat,
		Context:    log.NewContext(nil).Str(field, name).Value(),
		Writer: &log.ConsoleWriter{
			Formatter: formatLine,
			Writer:    w,
		},
	}
}

// formatLine writes the time and level, then the pairs of an event in their order.
// The key "event" holds the event's name, so most events have no message, and an
// empty message is left out.
func formatLine(w io.Writer, args *log.FormatterArgs) (int, error) {
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

// appendValue appends a value, quoted if it is empty or contains spaces, quotes,
// equals signs or characters that need escaping.
func appendValue(line []byte, value string) []byte {
	quoted := strconv.Quote(value)
	for _, char := range value {
		if char <= ' ' || char == '=' || char == '"' {
			return append(line, quoted...)
		}
	}
	if value == "" || len(quoted) != len(value)+2 {
		return append(line, quoted...)
	}
	return append(line, value...)
}
