package upstream

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/entry/budget"
)

// readLimit is a reader of a connection that fails once it has read a number of bytes. A
// faulty server may send bytes without end, in a place where they would be collected.
type readLimit struct {
	conn net.Conn
	left int64
	// account is that of the caller whose request is exchanged, and reserved what it has reserved
	// for headers that were read since.
	account  *budget.Account
	reserved int64
}

// errTooLong is the error of a response whose header, or a body to be skipped, exceeds
// maxHeaderBytes.
var errTooLong = errors.New("response is too long")

// errNoMemory is the error of a response for whose header the budget has no room.
var errNoMemory = errors.New("no memory is left for the response")

// Read reads from the connection. While left is limited, it reads a header.
func (r *readLimit) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errTooLong
	}
	count, err := r.conn.Read(p[:min(int64(len(p)), r.left)])
	if r.left != math.MaxInt64 {
		cost := budget.HeaderCost(p[:count])
		if !r.account.Reserve(cost) {
			return 0, errNoMemory
		}
		r.reserved += cost
		r.left -= int64(count)
	}
	return count, err
}

// setAccount sets the account that reserves memory for headers, and returns what was reserved
// before to the last one.
func (r *readLimit) setAccount(account *budget.Account) {
	r.account.Release(r.reserved)
	r.account, r.reserved = account, 0
}

// errNoResponse is the error of bytes that are no HTTP response.
var errNoResponse = errors.New("no HTTP response")

// protocolPrefix is what each response begins with.
const protocolPrefix = "HTTP/1."

// readHeader reads the header of a response. It fails at once where the bytes received so far are no
// response: the server may send nothing more, and keep the connection open.
func readHeader(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	for size := 1; size <= len(protocolPrefix); size++ {
		begin, err := reader.Peek(size)
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if !strings.HasPrefix(protocolPrefix, string(begin)) {
			return nil, errNoResponse
		}
	}
	response, err := http.ReadResponse(reader, request)
	if err == nil && (response.StatusCode < http.StatusContinue || response.StatusCode == http.StatusSwitchingProtocols) {
		return nil, errors.Wrapf(errNoResponse, "status %s", response.Status)
	}
	return response, err
}

// bufferPrefix reads up to maxPrefixBytes of a response's body into Prefix, or as much as the
// account has memory for. It sets Remainder if the body may be longer.
func bufferPrefix(response *http.Response, account *budget.Account, sender *resetWatcher) (*Response, error) {
	buffered := &Response{
		Response: response,
	}
	if response.Request.Method == http.MethodHead {
		// Its length is that of a body that does not follow.
		return buffered, nil
	}
	limit := maxPrefixBytes
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		// The response ends with its connection.
		response.Body = &unlessReset{
			ReadCloser: response.Body,
			sender:     sender,
		}
	}
	if length := response.ContentLength; length >= 0 && length <= maxPrefixBytes {
		if !account.Reserve(length) {
			buffered.Remainder = response.Body
			return buffered, nil
		}
		buffered.reserved = length
		buffered.Prefix = make([]byte, length)
		if _, err := io.ReadFull(response.Body, buffered.Prefix); err != nil {
			account.Release(length)
			return nil, err
		}
		return buffered, nil
	}
	for size := minPrefixBytes; len(buffered.Prefix) < limit; size = min(2*size, limit) {
		if !account.Reserve(int64(size)) {
			break
		}
		buffered.Prefix = append(make([]byte, 0, size), buffered.Prefix...)
		account.Release(buffered.reserved)
		buffered.reserved = int64(size)
		for len(buffered.Prefix) < size {
			count, err := response.Body.Read(buffered.Prefix[len(buffered.Prefix):size])
			buffered.Prefix = buffered.Prefix[:len(buffered.Prefix)+count]
			if errors.Is(err, io.EOF) {
				return buffered, nil
			}
			if err != nil {
				account.Release(buffered.reserved)
				return nil, err
			}
		}
	}
	buffered.Remainder = response.Body
	return buffered, nil
}
