package pipeline

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"slices"

	"golang.org/x/net/http/httpguts"
)

// allowsEarlySuccessor reports whether a request behind this one on the same connection is
// read in any case: the caller does not ask to close the connection or to change the
// protocol.
func allowsEarlySuccessor(request *http.Request) bool {
	return !request.Close && request.Header.Get("Upgrade") == "" && request.Header.Get("Expect") == ""
}

// parseRequest parses the request at the beginning of data, and returns it with its body and
// its size. complete is false if more bytes are needed. The request is nil if the
// http.Server could refuse it, or if it doesn't say where it ends.
func parseRequest(data []byte) (request *http.Request, size int, complete bool) {
	end := headerEnd(data, 0)
	if end == 0 {
		return nil, 0, len(data) >= maxPendingBytes
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data[:end])))
	if err != nil || !hasKnownSize(request) || !isValid(request, data[:end]) {
		return nil, 0, true
	}
	if request.ContentLength > maxPendingBytes {
		return nil, 0, true
	}
	size = end + int(request.ContentLength)
	if len(data) < size {
		return nil, 0, false
	}
	request.Body = http.NoBody
	if request.ContentLength > 0 {
		request.Body = io.NopCloser(bytes.NewReader(bytes.Clone(data[end:size])))
	}
	return request, size, true
}

// isValid reports whether a request passes the checks of an http.Server that
// http.ReadRequest doesn't make, and needs nothing but a response.
func isValid(request *http.Request, header []byte) bool {
	hosts := 0
	for line := range bytes.Lines(header) {
		if name, _, found := bytes.Cut(line, []byte(":")); found && bytes.EqualFold(name, []byte("Host")) {
			hosts++
		}
	}
	if hosts != 1 || !httpguts.ValidHostHeader(request.Host) || request.Header.Get("Expect") != "" || request.Header.Get("Upgrade") != "" {
		return false
	}
	for name, values := range request.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return false
			}
		}
	}
	return true
}

// hasKnownSize reports whether the header of a request says where the request ends.
func hasKnownSize(request *http.Request) bool {
	return request.ProtoMajor == 1 && request.ProtoMinor >= 1 && len(request.TransferEncoding) == 0 && request.ContentLength >= 0
}

// isChunked reports whether the body of a request is in chunks, and nothing else.
func isChunked(request *http.Request) bool {
	return request.ProtoMajor == 1 && request.ProtoMinor >= 1 && slices.Equal(request.TransferEncoding, []string{"chunked"})
}

// headerEnd returns the position behind the first empty line of a header, or 0 if there is
// none. The first known bytes are known not to complete such a line. In place of a request line, an
// empty one ends what http.Server reads of a request.
func headerEnd(header []byte, known int) int {
	for _, empty := range []string{"\n", "\r\n"} {
		if bytes.HasPrefix(header, []byte(empty)) {
			return len(empty)
		}
	}
	for i := max(0, known-2); i < len(header); i++ {
		if header[i] != '\n' {
			continue
		}
		rest := header[i+1:]
		if bytes.HasPrefix(rest, []byte("\n")) && i+2 > known {
			return i + 2
		}
		if bytes.HasPrefix(rest, []byte("\r\n")) {
			return i + 3
		}
	}
	return 0
}

// pendingFactor is the factor by which the memory of received bytes exceeds their number, as the
// buffer grows by doubling.
const pendingFactor = 2

// pendingCost returns the memory of a number of received bytes.
func pendingCost(count int) int64 { return pendingFactor * int64(count) }
