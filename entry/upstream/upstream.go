// Package upstream sends requests to backend servers over kept HTTP/1.1
// connections and reads only the answer that belongs to each. Unlike
// http.Transport it never sends a request again by itself, and it can skip an
// answer that belongs to an earlier request.
package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/routing"
)

// Pool holds the kept connections of one entry.
type Pool struct {
	HeaderNames header.Names
	// Dial connects to an address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxIdlePerServer returns how many idle connections are kept to a server of a service.
	MaxIdlePerServer func(service string) int
	// Eligible reports whether a server still gets requests; it is asked after a
	// connection was opened, which may take long. Nil wants all.
	Eligible func(server *routing.Server) bool
	// MaxIdleTotal returns how many are kept to all servers; nil sets no bound.
	MaxIdleTotal func() int

	mu   sync.Mutex
	idle map[routing.Incarnation][]*conn
	// kept counts the connections in idle.
	kept int
}

const (
	// defaultIdle is how long a kept connection is used again if the server does
	// not say; idleMargin is how much earlier than it says. A request that
	// crosses the server's close may be lost.
	defaultIdle = 4 * time.Second
	idleMargin  = 1500 * time.Millisecond
	// bufferedBody is the most bytes of an answer that are read before any of it
	// is passed on, so that a cut answer can still be replaced.
	bufferedBody = 256 << 10
	// inlineBody is the largest request body that is sent before the answer is
	// looked for, in bytes; it fits the smallest socket buffers.
	inlineBody = 8 << 10
	// maxSkipped bounds the answers of other requests that are read and dropped.
	maxSkipped = 4
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// expires is when the connection is not used again.
	expires time.Time
}

// ErrServerNotEligible says that a server began to leave while it was connected to.
var ErrServerNotEligible = errors.New("server is leaving")

// Failure says what broke and whether the request may have reached the server.
type Failure struct {
	// MaybeSent says that bytes may have reached the server.
	MaybeSent bool
	// NoConnection says that no connection came about.
	NoConnection bool
	// ResponseMismatch says that the answers on the connection belonged to others.
	ResponseMismatch bool
	// ConnReused says that the connection had served another request before.
	ConnReused bool
	Err        error
}

// Error describes the failure.
func (f *Failure) Error() string { return f.Err.Error() }

// Response is the answer to one request.
type Response struct {
	*http.Response
	// Prefix is the whole body, unless Rest is not nil: then it is the body's
	// beginning and Rest gives what follows.
	Prefix    []byte
	Remainder io.Reader
	// ConnectTime is how long it took to open the connection, 0 for a kept one.
	ConnectTime time.Duration
	// Release must be called; it keeps or closes the connection.
	Release func()
}

// Exchange sends a request to a server and reads its answer. The context bounds
// all of it; when it ends, the connection is closed. Body is sent behind the
// request's head; it may be sent from another goroutine until Finish is called.
func (p *Pool) Exchange(ctx context.Context, server *routing.Server, request *http.Request, id string) (*Response, *Failure) {
	began := time.Now()
	link, reused, err := p.connect(ctx, server)
	connected := time.Since(began)
	if err != nil {
		return nil, &Failure{
			NoConnection: true,
			Err:          err,
		}
	}
	if !reused && p.Eligible != nil && !p.Eligible(server) {
		link.shut()
		return nil, &Failure{
			NoConnection: true,
			Err:          ErrServerNotEligible,
		}
	}
	stop := context.AfterFunc(ctx, func() {
		// An expired deadline ends reads and writes at once; Close follows.
		_ = link.SetDeadline(time.Unix(1, 0))
	})
	answer, failure := p.exchange(link, server, request, id)
	if failure != nil {
		stop()
		link.shut()
		failure.ConnReused = reused
		return nil, failure
	}
	if !reused {
		answer.ConnectTime = connected
	}
	finish := answer.Release
	answer.Release = func() {
		if !stop() {
			link.shut()
			return
		}
		finish()
	}
	return answer, nil
}

// shut closes a connection that is of no more use; its error changes nothing.
func (c *conn) shut() { _ = c.Close() }

func (p *Pool) exchange(link *conn, server *routing.Server, request *http.Request, id string) (*Response, *Failure) {
	var sending sync.WaitGroup
	var sendErr error
	sent := make(chan struct{})
	send := func() {
		defer close(sent)
		if sendErr = request.Write(link.writer); sendErr == nil {
			sendErr = link.writer.Flush()
		}
		if sendErr != nil && !errors.Is(sendErr, syscall.EPIPE) && !errors.Is(sendErr, syscall.ECONNRESET) {
			// The rest of the body will never come; nothing is left to wait for. A
			// server that reads no more may have answered already.
			link.shut()
		}
	}
	if request.ContentLength >= 0 && request.ContentLength <= inlineBody {
		send()
		if sendErr != nil {
			return nil, &Failure{
				MaybeSent: true,
				Err:       errors.Wrap(sendErr, "send request"),
			}
		}
	} else {
		sending.Go(send)
	}
	response, failure := p.readAnswer(link, request, id)
	if failure != nil {
		link.shut()
		sending.Wait()
		if sendErr != nil {
			failure.Err = errors.Wrap(sendErr, "send request")
		}
		return nil, failure
	}
	answer, err := buffer(response)
	if err != nil {
		link.shut()
		sending.Wait()
		return nil, &Failure{
			MaybeSent: true,
			Err:       errors.Wrap(err, "read answer"),
		}
	}
	answer.Release = func() {
		whole := false
		select {
		case <-sent:
			whole = sendErr == nil
		default:
		}
		if !whole || answer.Remainder != nil || response.Close || link.reader.Buffered() > 0 {
			link.shut()
			sending.Wait()
			return
		}
		p.keep(server, link, response.Header)
	}
	return answer, nil
}

// readAnswer reads the answer with the request's ID and skips others.
func (p *Pool) readAnswer(link *conn, request *http.Request, id string) (*http.Response, *Failure) {
	for range maxSkipped {
		response, err := http.ReadResponse(link.reader, request)
		if err != nil {
			return nil, &Failure{
				MaybeSent: true,
				Err:       errors.Wrap(err, "read answer"),
			}
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if response.Header.Get(p.HeaderNames.RequestID) == id {
			return response, nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			break
		}
	}
	return nil, &Failure{
		MaybeSent:        true,
		ResponseMismatch: true,
		Err:              errors.New("the answers on the connection belong to other requests"),
	}
}

// buffer reads the body of an answer up to bufferedBody bytes.
func buffer(response *http.Response) (*Response, error) {
	answer := &Response{
		Response: response,
	}
	var content []byte
	if response.ContentLength >= 0 && response.ContentLength <= bufferedBody {
		content = make([]byte, response.ContentLength)
		if _, err := io.ReadFull(response.Body, content); err != nil {
			return nil, err
		}
		answer.Prefix = content
		return answer, nil
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, bufferedBody))
	if err != nil {
		return nil, err
	}
	answer.Prefix = content
	if len(content) == bufferedBody {
		answer.Remainder = response.Body
	}
	return answer, nil
}

// connect returns a kept connection or a new one.
func (p *Pool) connect(ctx context.Context, server *routing.Server) (link *conn, reused bool, err error) {
	for {
		link := p.take(server.Incarnation())
		if link == nil {
			break
		}
		if quiet(link.Conn) {
			return link, true, nil
		}
		link.shut()
	}
	opened, err := p.Dial(ctx, server.Address)
	if err != nil {
		return nil, false, err
	}
	return &conn{
		Conn:   opened,
		reader: bufio.NewReaderSize(opened, 4<<10),
		writer: bufio.NewWriterSize(opened, 4<<10),
	}, false, nil
}

// take returns the connection that was kept last and closes those that expired.
func (p *Pool) take(owner routing.Incarnation) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[owner]
	now := time.Now()
	for len(kept) > 0 && now.After(kept[0].expires) {
		kept[0].shut()
		kept = kept[1:]
		p.kept--
	}
	if len(kept) == 0 {
		delete(p.idle, owner)
		return nil
	}
	link := kept[len(kept)-1]
	p.idle[owner] = kept[:len(kept)-1]
	p.kept--
	return link
}

func (p *Pool) keep(server *routing.Server, link *conn, answer http.Header) {
	lifetime := defaultIdle
	for part := range strings.SplitSeq(answer.Get("Keep-Alive"), ",") {
		if text, is := strings.CutPrefix(strings.TrimSpace(part), "timeout="); is {
			if seconds, err := strconv.Atoi(text); err == nil {
				lifetime = time.Duration(seconds)*time.Second - idleMargin
			}
		}
	}
	if lifetime <= 0 {
		link.shut()
		return
	}
	link.expires = time.Now().Add(lifetime)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[routing.Incarnation][]*conn)
	}
	owner := server.Incarnation()
	full := p.MaxIdleTotal != nil && p.kept >= p.MaxIdleTotal()
	if full || len(p.idle[owner]) >= p.MaxIdlePerServer(server.Service) {
		link.shut()
		return
	}
	p.idle[owner] = append(p.idle[owner], link)
	p.kept++
}

// CloseStale closes connections that expired and those of servers that are gone.
func (p *Pool) CloseStale(alive func(owner routing.Incarnation) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for owner, kept := range p.idle {
		left := kept[:0]
		for _, link := range kept {
			if now.After(link.expires) || !alive(owner) {
				link.shut()
				p.kept--
				continue
			}
			left = append(left, link)
		}
		if len(left) == 0 {
			delete(p.idle, owner)
			continue
		}
		p.idle[owner] = left
	}
}
