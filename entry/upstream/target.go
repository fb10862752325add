package upstream

import (
	"bufio"
	"net/http"
	"net/url"
	"strings"

	"github.com/go-faster/errors"
)

// writeRequest writes a request whose URL may be opaque. Request.Write can't write a target that
// begins with two slashes: it puts the scheme and a colon before it.
func writeRequest(w *bufio.Writer, request *http.Request) error {
	target := request.URL.Opaque
	if !strings.HasPrefix(target, "//") {
		return request.Write(w)
	}
	replaced := *request
	replaced.URL = &url.URL{
		Opaque: placeholderTarget,
	}
	return replaced.Write(&targetWriter{
		Writer: w,
		method: request.Method,
		target: target,
	})
}

// placeholderTarget is the target that a targetWriter replaces.
const placeholderTarget = "/"

// targetWriter replaces the target in the first line of a request, which Request.Write writes in one
// call.
type targetWriter struct {
	*bufio.Writer
	method  string
	target  string
	written bool
}

// errRequestLine is the error of a first line that isn't written as expected.
var errRequestLine = errors.New("request line is not written in one call")

// Write writes to the underlying writer.
func (w *targetWriter) Write(p []byte) (int, error) {
	if w.written {
		return w.Writer.Write(p)
	}
	w.written = true
	const rest = " HTTP/1.1\r\n"
	if string(p) != w.method+" "+placeholderTarget+rest {
		return 0, errRequestLine
	}
	if _, err := w.WriteString(w.method + " " + w.target + rest); err != nil {
		return 0, err
	}
	return len(p), nil
}
