// Package upstream is an HTTP/1.1 client for backend servers with a pool of
// keep-alive connections. It matches responses to requests by request ID. Unlike
// http.Transport, it never retries a request by itself, and it skips responses without
// the request's ID, such as the late response to an earlier request.
package upstream

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/entry/budget"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/routing"
)

// Pool is the pool of one entry's connections to backend servers.
type Pool struct {
	// HeaderNames holds the names of the platform's HTTP headers.
	HeaderNames header.Names
	// Dial connects to the address of a server.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxIdlePerServer returns how many idle connections to keep to each server of
	// a service, given by name. It must not be nil.
	MaxIdlePerServer func(service string) int
	// Eligible reports whether a server may still get requests. It is called after a
	// new connection was opened, since the server may have become ineligible meanwhile,
	// but not for a reused connection. If Eligible is nil, all servers are eligible.
	Eligible func(server *routing.Server) bool
	// Usable returns when connections to a server must have been opened for requests to be sent on
	// them: at a time or later, and before another one unless that is zero. If it isn't, another
	// process than the registered incarnation may run at the server's address, and requests are not
	// sent on new connections, see [ToAnyProcess]. If Usable is nil, all connections are usable.
	Usable func(server *routing.Server) (from, before time.Time)
	// OnOpened is called when a connection to a server was opened, and OnClosed when an idle one
	// that was opened at a time turns out to be closed early, see observeIdle. Both may be nil.
	OnOpened func(server *routing.Server)
	OnClosed func(server *routing.Server, openedAt time.Time)
	// MaxIdleTotal returns how many idle connections to keep to all servers
	// together, so that the entry doesn't run out of file descriptors; nil means
	// no limit.
	MaxIdleTotal func() int

	mu sync.Mutex
	// idle holds the idle connections by the server's incarnation, longest idle first.
	idle map[routing.Incarnation][]*pooledConn
	// idleCount is the number of connections in idle.
	idleCount int
	// keptIdle is the longest time for which servers of a service, given by name, have kept an idle
	// connection.
	keptIdle map[string]time.Duration
}

const (
	// defaultIdleTimeout is how long an idle connection may be reused if the server
	// sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the server's Keep-Alive timeout, because a
	// request that is sent while the server closes the connection may be lost.
	idleTimeoutMargin = 1500 * time.Millisecond
	// maxPrefixBytes is the maximum number of bytes of a response's body that Exchange
	// buffers before it returns. If the connection fails within that part, the request
	// can still be retried, since the caller has received nothing yet.
	maxPrefixBytes = 256 << 10
	// minPrefixBytes is the size of the first buffer for a body of unknown length, in bytes. Each
	// further one is twice as large.
	minPrefixBytes = 4 << 10
	// maxSyncBodyBytes is the largest request body, in bytes, that is sent in full
	// before the response is read. It fits the smallest socket buffers, so that
	// sending it doesn't block. The headers, which are sent before the body, are not
	// included.
	maxSyncBodyBytes = 8 << 10
	// maxResponsesRead bounds how many responses are read to find the one with the
	// request's ID. Interim (1xx) responses and those to other requests are included
	// in the count.
	maxResponsesRead = 4
	// maxHeaderBytes is the maximum size of a response's header, in bytes, and of the body
	// of a response to another request, which is skipped.
	maxHeaderBytes = 64 << 10
)

// pooledConn is a connection to a backend server with its buffers. It is in the pool
// only while no request uses it.
type pooledConn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// limit bounds what reader may still read from the connection.
	limit *readLimit
	// sender is what writer writes to.
	sender *resetWatcher
	// openedAt is when the connection was opened.
	openedAt time.Time
	// idleSince is when the connection was added to the pool.
	idleSince time.Time
	// expires is the time after which the idle connection may no longer be reused. stated reports
	// whether it follows from the server's Keep-Alive timeout.
	expires time.Time
	stated  bool
}

// ErrServerNotEligible is the failure of an exchange whose server was no longer
// eligible for requests once a connection to it was open. See Pool.Eligible.
var ErrServerNotEligible = errors.New("server became ineligible for requests while connecting")

// ErrServerUnverified is the failure of an exchange with a server that may have started again, for
// want of a connection that was opened before. See Pool.Usable.
var ErrServerUnverified = errors.New("server may have started again")

// Option is an option of an exchange.
type Option func(*exchangeOptions)

// exchangeOptions holds what Options set.
type exchangeOptions struct {
	anyProcess    bool
	newConnection bool
}

// ToAnyProcess allows an exchange with whatever process runs at the server's address.
func ToAnyProcess() Option {
	return func(o *exchangeOptions) { o.anyProcess = true }
}

// OnNewConnection makes an exchange use a new connection.
func OnNewConnection() Option {
	return func(o *exchangeOptions) { o.newConnection = true }
}

// Failure is the error of an exchange without a usable response: there was no
// connection, no response with the request's ID was read, or the body of that response
// broke off within the first maxPrefixBytes. Exactly one of MaybeSent and NoConnection
// is set.
type Failure struct {
	// MaybeSent says that part of the request may have reached the server.
	MaybeSent bool
	// NoConnection says that no usable connection was obtained, so that nothing
	// was sent.
	NoConnection bool
	// ResponseMismatch says that responses arrived on the connection, but none that
	// was read had the request's ID.
	ResponseMismatch bool
	// ConnBroken says that the connection broke, or that what arrived on it was not a
	// response, before the response with the request's ID was complete.
	ConnBroken bool
	// ConnReused says that the connection had served another request before.
	ConnReused bool
	// OpenedAt is when the connection was opened; zero if there was none.
	OpenedAt time.Time
	// Truncated is the response with the request's ID if its header was complete and its body broke
	// off. Its body must not be read.
	Truncated *http.Response
	// Err is the cause.
	Err error
}

// Error returns the message of Err.
func (f *Failure) Error() string { return f.Err.Error() }

// Response is the response to a request, with the beginning of its body buffered.
// The body must be read from Prefix and Remainder, not from the embedded Body.
type Response struct {
	*http.Response
	// Prefix is the buffered beginning of the body, or all of it if Remainder is
	// nil.
	Prefix []byte
	// Remainder reads the rest of the body, which may be empty. It is nil if Prefix
	// is the whole body.
	Remainder io.Reader
	// reserved is the memory reserved for Prefix.
	reserved int64
	// StopSending ends the sending of a request body of which the server has not received all:
	// nothing that is read of the body from now on is sent. It must be called before anything
	// else reads the body.
	StopSending func()
	// ConnectTime is the time taken to open the connection; 0 if it was reused.
	ConnectTime time.Duration
	// OpenedAt is when the connection was opened, and SentAt when the sending of the request began.
	OpenedAt time.Time
	SentAt   time.Time
	// Release returns the connection to the pool, or closes it if it can't be reused.
	// It must be called exactly once, after the last read of Remainder.
	Release func()
}

// Exchange sends a request with the given request ID to a server and reads the
// response with that ID. If the URL of the request is opaque, it is the target, byte for
// byte. When the context ends before Release is called, pending
// reads and writes fail and the connection is not reused. The request's body may be
// read in another goroutine until Exchange returns a failure or Release returns; if
// the context has ended, that goroutine may outlast Release.
func (p *Pool) Exchange(ctx context.Context, server *routing.Server, request *http.Request, id string, opts ...Option) (*Response, *Failure) {
	var options exchangeOptions
	for _, option := range opts {
		option(&options)
	}
	started := time.Now()
	conn, reused, err := p.getConn(ctx, server, options)
	connectTime := time.Since(started)
	if err != nil {
		return nil, &Failure{
			NoConnection: true,
			Err:          err,
		}
	}
	sentAt := time.Now()
	stop := context.AfterFunc(ctx, func() {
		// A deadline in the past unblocks pending reads and writes. Exchange or
		// Release closes the connection after that.
		_ = conn.SetDeadline(time.Unix(1, 0))
	})
	account := budget.FromContext(ctx)
	conn.limit.setAccount(account)
	response, failure := p.roundTrip(conn, account, server, request, id)
	if failure != nil {
		conn.limit.setAccount(nil)
		stop()
		conn.abort()
		failure.ConnReused, failure.OpenedAt = reused, conn.openedAt
		return nil, failure
	}
	response.OpenedAt, response.SentAt = conn.openedAt, sentAt
	if !reused {
		response.ConnectTime = connectTime
	}
	release := response.Release
	response.Release = func() {
		account.Release(response.reserved)
		conn.limit.setAccount(nil)
		if !stop() {
			conn.abort()
			return
		}
		release()
	}
	return response, nil
}

// discard closes a connection that won't be used again, so an error can be ignored.
func (c *pooledConn) discard() { _ = c.Close() }

// abort closes a connection with a reset, so that the system drops what it has not yet delivered. A
// link that is cut may hold up a request, which would otherwise run long after it was given up.
func (c *pooledConn) abort() {
	if conn, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		// An error says that the connection is closed already.
		_ = conn.SetLinger(0)
	}
	c.discard()
}

// roundTrip sends a request on a connection and reads the response. A small request
// body is sent in full first. A larger one is sent while the response is read, since
// a server may respond before it has read the whole body.
func (p *Pool) roundTrip(conn *pooledConn, account *budget.Account, server *routing.Server, request *http.Request, id string) (*Response, *Failure) {
	var sending sync.WaitGroup
	var sendErr error
	sendDone := make(chan struct{}) // closed when sending has succeeded or failed
	body := &stoppableBody{
		ReadCloser: request.Body,
	}
	send := func() {
		defer close(sendDone)
		if sendErr = writeRequest(conn.writer, request); sendErr == nil {
			sendErr = conn.writer.Flush()
		}
		if sendErr != nil && !body.stopped.Load() && !errors.Is(sendErr, syscall.EPIPE) && !errors.Is(sendErr, syscall.ECONNRESET) {
			// The request can't be completed, so the server may never respond. Closing
			// the connection ends the read of the response that runs meanwhile for a
			// large body. After EPIPE or ECONNRESET the connection stays open: a server
			// that stopped reading may have responded already. So it does if the server
			// has responded and sending was stopped for that.
			conn.abort()
		}
	}
	if request.ContentLength >= 0 && request.ContentLength <= maxSyncBodyBytes {
		send()
		if sendErr != nil {
			return nil, &Failure{
				MaybeSent:  true,
				ConnBroken: true,
				Err:        errors.Wrap(sendErr, "send request"),
			}
		}
	} else {
		request.Body = body
		sending.Go(send)
	}
	httpResponse, stray, failure := p.readResponse(conn, request, id)
	if failure != nil {
		conn.abort()
		sending.Wait()
		if sendErr != nil {
			failure.Err = errors.Wrap(sendErr, "send request")
		}
		return nil, failure
	}
	response, err := bufferPrefix(httpResponse, account, conn.sender)
	if err != nil {
		conn.abort()
		sending.Wait()
		return nil, &Failure{
			MaybeSent:  true,
			ConnBroken: true,
			Truncated:  httpResponse,
			Err:        errors.Wrap(err, "read answer"),
		}
	}
	response.StopSending = func() { body.stopped.Store(true) }
	response.Release = func() {
		fullySent := false
		select {
		case <-sendDone:
			fullySent = sendErr == nil
		default:
		}
		// A server that has sent a response to another request may send more of them.
		if !fullySent {
			conn.abort()
			sending.Wait()
			return
		}
		if stray || response.Remainder != nil || httpResponse.Close || conn.reader.Buffered() > 0 {
			conn.discard()
			return
		}
		p.putIdle(server, conn, httpResponse.Header)
	}
	return response, nil
}

// stoppableBody is a request body whose reading can be stopped.
type stoppableBody struct {
	io.ReadCloser
	stopped atomic.Bool
}

// errSendingStopped is the error of reading a stoppableBody that is stopped.
var errSendingStopped = errors.New("sending the request was stopped")

// Read implements io.Reader. What is read while the body is stopped is dropped, since something
// else may have read what comes before it.
func (b *stoppableBody) Read(p []byte) (int, error) {
	if b.stopped.Load() {
		return 0, errSendingStopped
	}
	count, err := b.ReadCloser.Read(p)
	if b.stopped.Load() {
		return 0, errSendingStopped
	}
	return count, err
}

// readResponse reads up to maxResponsesRead responses until it finds the one with the
// request's ID. stray reports whether one of another request came before it.
func (p *Pool) readResponse(conn *pooledConn, request *http.Request, id string) (response *http.Response, stray bool, failure *Failure) {
	broken := false
	for range maxResponsesRead {
		conn.limit.left = maxHeaderBytes
		response, err := readHeader(conn.reader, request)
		if err != nil {
			return nil, stray, &Failure{
				MaybeSent:        true,
				ResponseMismatch: stray,
				ConnBroken:       !errors.Is(err, errNoMemory) && !errors.Is(err, errNoResponse),
				Err:              errors.Wrap(err, "read answer"),
			}
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if response.Header.Get(p.HeaderNames.RequestID) == id {
			conn.limit.left = math.MaxInt64
			return response, stray, nil
		}
		stray = true
		conn.limit.left = maxHeaderBytes
		_, err = io.Copy(io.Discard, response.Body)
		if broken = err != nil; broken || response.Close {
			break
		}
	}
	return nil, stray, &Failure{
		MaybeSent:        true,
		ResponseMismatch: true,
		ConnBroken:       broken,
		Err:              errors.New("read answer: none of the responses has the request's ID"),
	}
}
