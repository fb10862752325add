package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/teaselstack/teaselstack/entry/budget"
)

// conn is a caller's connection. Its Read returns the bytes of one request at a time: the
// http.Server gets none of the next request while it serves one. Instead of bytes, Read
// then reads ahead, and starts the idempotent requests that it finds. The http.Server
// calls Read all the time while a handler runs, to notice that the caller has left.
type conn struct {
	net.Conn
	handler *Handler
	// ctx ends when the connection is closed or broken. It is the parent of the contexts of
	// requests that are started early.
	ctx    context.Context
	cancel context.CancelFunc

	// account is what the connection holds of the budget, nil if there is none.
	account *budget.Account

	// used is true once a request has begun. It is guarded by the mutex of the handler.
	used bool

	mu sync.Mutex
	// phase says which bytes Read returns next.
	phase phase
	// pending holds the bytes that were received and not yet returned by Read.
	pending []byte
	// begun is true from the first byte of a request that was not started early until Read has
	// returned its whole header.
	begun bool
	// scanned is the size of the part of pending that is known not to complete the header of the
	// next request, and headerSize the size of that header, 0 while it is not complete.
	scanned    int
	headerSize int
	// header holds what Read has returned of the current request's header.
	header []byte
	// opaqueHeader is the number of bytes that Read has returned since the last handler returned, in
	// phaseOpaque.
	opaqueHeader int
	// exhausted is true if there was no memory for further headers in phaseOpaque.
	exhausted bool
	// headerCost is what was reserved for the parsed header of the current request, and answeredCost
	// for requests whose handlers have returned. The http.Server keeps those until it has written
	// their responses, for which it may wait for the rest of their bodies.
	headerCost   int64
	answeredCost int64
	// receiving is true from the first byte of a request until Read has returned it whole. The
	// account waits then.
	receiving bool
	// left is the number of bytes that Read still returns of the current request, in
	// phaseRest.
	left int64
	// chunks finds the end of the current request, in phaseChunks.
	chunks chunkScanner
	// serving is true from the moment when Read has returned the whole header of a request
	// until its handler returns.
	serving bool
	// counted is true while the current request counts as outstanding, until its handler
	// returns. From then on it is one of unwritten, until the http.Server has written its
	// response.
	counted   bool
	unwritten int
	// responding is true from the moment when a handler begins until the http.Server has written its
	// response.
	responding bool
	// handlerDone is closed when the handler of the current request returns. It is nil
	// while no handler runs.
	handlerDone chan struct{}
	// current is the early start of the current request, nil if it was not started early.
	current *exchange
	// requestID is the ID of the current request, or of the last one until the next one begins.
	requestID string
	// early holds the early starts of the requests at the beginning of pending, in order.
	early []*exchange
	// examined is the size of the requests in early.
	examined int
	// nextCounted is true while the request behind the current one and those in early has been
	// received at least in part, and counts as outstanding.
	nextCounted bool
	// barrier is true while the request behind those in early must wait for the responses
	// before it.
	barrier bool
	// closing is true once a response has asked the caller to close the connection.
	closing bool
	// closed is true once Close was called.
	closed bool
}

// phase is the part of a request whose bytes conn.Read returns next.
type phase uint8

const (
	// phaseHeader is the header of the current request, or the beginning of the next one. Read
	// returns nothing of it before it is complete: the http.Server would parse it line by line, which
	// takes many times the memory.
	phaseHeader phase = iota
	// phaseHeaderRead means that the whole header was returned. Whether a body follows isn't
	// known yet.
	phaseHeaderRead
	// phaseRest is the rest of the current request, whose size is known.
	phaseRest
	// phaseChunks is the rest of the current request, whose body is in chunks.
	phaseChunks
	// phaseComplete means that the whole request was returned.
	phaseComplete
	// phaseOpaque means that the ends of requests aren't known, for the rest of the
	// connection. Read then returns what it receives, but no more than a header may have between
	// two requests.
	phaseOpaque
)

const (
	// readBufferBytes is the size of the buffers into which is read from the network.
	readBufferBytes = 4 << 10
	// earlyCost is what a request that is started early takes beside its header, mostly for the stack
	// of its goroutine and the buffers of its response, in bytes.
	earlyCost = 24 << 10
	// lingerTime is how long Close waits for the caller to close its side, if the caller was
	// asked to. A further request that arrives after the connection was closed would reset it,
	// and the system would drop what the caller hasn't yet received of the last response.
	lingerTime = 500 * time.Millisecond
)

// readBuffers holds buffers of readBufferBytes.
var readBuffers = sync.Pool{
	New: func() any { return new([readBufferBytes]byte) },
}

// newConn returns a conn for an accepted connection.
func (h *Handler) newConn(accepted net.Conn) *conn {
	c := &conn{
		Conn:    accepted,
		handler: h,
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if h.Budget != nil {
		c.account = h.Budget.Open(c.evict)
		c.ctx = budget.NewContext(c.ctx, c.account)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.conns == nil {
		h.conns = make(map[*conn]struct{})
	}
	h.conns[c] = struct{}{}
	return c
}

// evict ends the connection, so that the http.Server, whose reads and writes fail then, closes it.
func (c *conn) evict() {
	c.cancel()
	// The connection is closed again by the http.Server, which handles errors.
	_ = c.Conn.Close()
}

// Close closes the connection and cancels the requests that were started early.
func (c *conn) Close() error {
	c.cancel()
	c.mu.Lock()
	abandoned := c.early
	requests := len(c.early) + c.unwritten
	if c.counted {
		requests++
	}
	if c.nextCounted {
		requests++
	}
	if c.current != nil {
		abandoned = append(abandoned, c.current)
	}
	linger := c.closing && !c.closed
	c.early, c.counted, c.nextCounted, c.unwritten, c.closed = nil, false, false, 0, true
	c.mu.Unlock()
	for _, early := range abandoned {
		early.abandon()
	}
	c.account.Close()
	c.handler.forget(c, requests)
	if linger {
		c.awaitCallerClose()
	}
	return c.Conn.Close()
}

// awaitCallerClose closes the sending side and discards what the caller sends, until the
// caller closes its side or lingerTime has passed.
func (c *conn) awaitCallerClose() {
	if c.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	// An error ends the wait, as it should.
	_, _ = io.CopyN(io.Discard, c.Conn, maxPendingBytes)
}

// SyscallConn implements syscall.Conn, if the network connection does.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, http.ErrNotSupported
}

// callerLeft reports whether the caller has closed its side and nothing is left to read: it did so
// before its request was read. The http.Server notices only while the handler runs.
func (c *conn) callerLeft() bool {
	c.mu.Lock()
	pending := len(c.pending)
	c.mu.Unlock()
	rawConn, err := c.SyscallConn()
	if err != nil || pending > 0 {
		return false
	}
	left := false
	err = rawConn.Control(func(fd uintptr) {
		var buffer [1]byte
		count, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = err == nil && count == 0
	})
	return err == nil && left
}

// CloseWrite closes the sending side, if the network connection supports that. http.Server
// calls it before it closes a connection with an unread body.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Write implements net.Conn. It logs the request whose response can't be delivered: the
// http.Server writes the end of a response after its handler has returned.
func (c *conn) Write(p []byte) (int, error) {
	c.account.Wait()
	count, err := c.Conn.Write(p)
	c.account.Resume()
	if err != nil {
		c.mu.Lock()
		id := c.requestID
		c.mu.Unlock()
		c.handler.Logger.Warn().Str("event", "undelivered").Str("id", id).Str("failure", err.Error()).Msg("")
	}
	return count, err
}

// mayClose reports whether the caller may be asked to close the connection after the current
// response: no request behind it was received. If so, none will be served.
func (c *conn) mayClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countNext()
	if len(c.early) > 0 || c.receivedNext() {
		return false
	}
	c.closing = true
	return true
}

// Read implements net.Conn for the http.Server, which has at most one call in progress.
func (c *conn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		count, refused, err := c.take(p)
		began := count > 0 || len(c.pending) > 0
		full := len(c.pending) >= maxPendingBytes
		handlerDone := c.handlerDone
		c.mu.Unlock()
		if refused != 0 {
			return 0, c.refuse(refused)
		}
		if began && handlerDone == nil && c.handler.RequestBegan != nil {
			c.handler.RequestBegan(c)
		}
		if count > 0 || err != nil {
			return count, err
		}
		if full && handlerDone != nil {
			select {
			case <-handlerDone:
				continue
			case <-c.ctx.Done():
				return 0, net.ErrClosed
			}
		}
		if err := c.fill(); err != nil {
			if c.endsInHeader() {
				continue
			}
			return 0, err
		}
	}
}

// fill reads from the network into pending, starts the requests that it completes, and counts
// the one that it begins.
func (c *conn) fill() error {
	buffer := readBuffers.Get().(*[readBufferBytes]byte)
	defer readBuffers.Put(buffer)
	count, err := c.Conn.Read(buffer[:])
	if timeout, ok := err.(net.Error); err != nil && (!ok || !timeout.Timeout()) {
		// The caller has left. The http.Server cancels the current request.
		c.cancel()
	}
	if count == 0 {
		return err
	}
	if !c.account.Reserve(pendingCost(count)) {
		// The connection is closed, as the http.Server does after an error.
		return errNoMemory
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, buffer[:count]...)
	c.startEarly()
	c.countNext()
	return nil
}

// take moves bytes from pending to p, as many as belong to the current request. It returns
// no bytes if pending is empty, if the header of a request isn't complete, or if the current
// request is being served and was returned whole. refused is the status with which to refuse the
// request that begins, or 0. c.mu must be held.
func (c *conn) take(p []byte) (count, refused int, err error) {
	if c.closed || c.account.Evicted() {
		return 0, 0, net.ErrClosed
	}
	for len(c.pending) > 0 {
		count := min(len(p), len(c.pending))
		switch c.phase {
		case phaseHeader:
			if !c.begun {
				c.nextRequest()
			}
			if c.phase != phaseHeader {
				continue
			}
			if complete, refused := c.completeHeader(); !complete {
				return 0, refused, nil
			}
			count = c.takeHeader(count)
		case phaseHeaderRead:
			request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(c.header)))
			if err != nil {
				c.setOpaque()
				continue
			}
			c.setBody(request)
			continue
		case phaseRest:
			count = int(min(int64(count), c.left))
			c.left -= int64(count)
			if c.left == 0 {
				c.phase = phaseComplete
			}
		case phaseChunks:
			var complete, known bool
			count, complete, known = c.chunks.scan(c.pending[:count])
			if !known {
				c.setOpaque()
				continue
			}
			if complete {
				c.phase = phaseComplete
			}
		case phaseComplete:
			if c.serving {
				c.countNext()
				return 0, 0, nil
			}
			c.phase = phaseHeader
			continue
		case phaseOpaque:
			if !c.serving {
				c.opaqueHeader += count
			}
			if c.opaqueHeader > c.handler.maxHeaderBytes() || c.exhausted && !c.serving {
				return 0, 0, io.EOF
			}
		}
		copy(p, c.pending[:count])
		c.discardPending(count)
		c.setReceiving(c.phase != phaseComplete)
		return count, 0, nil
	}
	return 0, 0, nil
}

// setReceiving records whether a request is being received, and makes the account wait meanwhile.
// c.mu must be held.
func (c *conn) setReceiving(receiving bool) {
	if receiving == c.receiving {
		return
	}
	c.receiving = receiving
	if receiving {
		c.account.Wait()
	} else {
		c.account.Resume()
	}
}

// discardPending removes bytes from the beginning of pending. c.mu must be held.
func (c *conn) discardPending(count int) {
	c.account.Release(pendingCost(count))
	c.pending = c.pending[count:]
	if len(c.pending) == 0 {
		c.pending = nil
	}
}

// nextRequest makes the request at the beginning of pending the current one, and counts it as
// outstanding if it is admitted. c.mu must be held.
func (c *conn) nextRequest() {
	if len(c.early) > 0 {
		c.current = c.early[0]
		c.early = c.early[1:]
		c.examined -= c.current.size
		c.left = int64(c.current.size)
		c.phase, c.serving, c.counted = phaseRest, true, true
		return
	}
	c.counted = c.nextCounted || c.handler.admit(c)
	c.begun, c.nextCounted, c.barrier, c.requestID = true, false, false, ""
}

// countNext counts the request behind the current one and those in early as outstanding, once
// some of it was received. Its caller gets an answer: it may have been sent before the entry
// began to shut down, and its connection may stay open for a long time. Behind a request that is
// refused, it is refused as well. c.mu must be held.
func (c *conn) countNext() {
	if c.nextCounted || !c.counted || c.closing || c.closed || !c.receivedNext() {
		return
	}
	c.handler.admitNext()
	c.nextCounted = true
}

// receivedNext reports whether some of the request behind the current one and those in early was
// received. c.mu must be held.
func (c *conn) receivedNext() bool {
	sizeKnown := c.phase == phaseRest || c.phase == phaseComplete
	return sizeKnown && c.serving && int64(len(c.pending)) > c.left+int64(c.examined)
}

// setBody sets what follows the current request's header. c.mu must be held.
func (c *conn) setBody(request *http.Request) {
	switch {
	case isChunked(request):
		c.phase, c.chunks = phaseChunks, chunkScanner{}
	case !hasKnownSize(request):
		c.setOpaque()
	case request.ContentLength > 0:
		c.phase, c.left = phaseRest, request.ContentLength
	default:
		c.phase = phaseComplete
	}
	c.header = nil
}

// begin records that the handler of the current request begins. It returns the early start
// of the request, or nil. admitted is false if the request is to be refused, and open if the
// connection was closed since the request was read.
func (c *conn) begin(request *http.Request) (early *exchange, admitted, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseHeaderRead {
		c.setBody(request)
	}
	c.serving, c.responding, c.opaqueHeader = true, true, 0
	c.handlerDone = make(chan struct{})
	c.requestID = request.Header.Get(c.handler.RequestIDHeader)
	if c.closed {
		return nil, false, false
	}
	admitted = true
	if !c.counted {
		// The request is to be refused, or began while the ends of requests weren't known.
		admitted = c.handler.admit(c)
		c.counted = admitted
	}
	if c.current == nil {
		c.barrier = c.phase == phaseOpaque || !allowsEarlySuccessor(request) || !c.handler.Idempotent(request)
	}
	c.startEarly()
	c.countNext()
	return c.current, admitted, true
}

// end records that the handler of the current request has returned.
func (c *conn) end() {
	c.mu.Lock()
	close(c.handlerDone)
	c.answeredCost += c.headerCost
	if c.current != nil {
		c.answeredCost += c.current.cost
	}
	c.handlerDone, c.current, c.serving, c.headerCost = nil, nil, false, 0
	if c.counted {
		c.counted = false
		c.unwritten++
	}
	c.mu.Unlock()
}

// written records that the http.Server has written the response to the current request.
func (c *conn) written() {
	c.mu.Lock()
	count := c.unwritten
	c.account.Release(c.answeredCost)
	c.unwritten, c.answeredCost, c.responding = 0, 0, false
	c.mu.Unlock()
	c.handler.release(count)
}

// startEarly starts the complete requests in pending that may run before the responses to
// those before them are complete. c.mu must be held.
func (c *conn) startEarly() {
	if c.phase == phaseOpaque || c.handlerDone == nil || c.closed {
		return
	}
	for c.phase == phaseComplete && !c.barrier && !c.closing && len(c.early) < maxEarly && len(c.pending) > c.examined {
		request, size, complete := parseRequest(c.pending[c.examined:])
		if !complete {
			return
		}
		if request == nil || !c.handler.Idempotent(request) {
			c.barrier = true
			return
		}
		cost := earlyCost + budget.HeaderCost(c.pending[c.examined:c.examined+size])
		if !c.account.TryReserve(cost) {
			return
		}
		if !c.handler.admitEarly() {
			c.account.Release(cost)
			return
		}
		if c.nextCounted {
			c.nextCounted = false
			c.handler.release(1)
		}
		c.barrier = !allowsEarlySuccessor(request)
		c.examined += size
		c.early = append(c.early, c.handler.start(c, request, size, cost))
	}
}
