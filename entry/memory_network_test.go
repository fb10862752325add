package main

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// datagramDelay is the delay of a datagram in a datagramNetwork: that of the link between
// two regions.
const datagramDelay = 55 * time.Millisecond

// datagramNetwork delivers datagrams between the connections that it opened, in memory, so
// that a synctest bubble can wait for them.
type datagramNetwork struct {
	mu    sync.Mutex
	conns map[string]*datagramConn
}

// datagramConn is one end of a datagramNetwork.
type datagramConn struct {
	net.PacketConn
	network *datagramNetwork
	address string
	arrived chan []byte
	closed  chan struct{}
}

// open returns the connection with an address.
func (n *datagramNetwork) open(address string) *datagramConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	conn := &datagramConn{
		network: n,
		address: address,
		arrived: make(chan []byte, 1000),
		closed:  make(chan struct{}),
	}
	if n.conns == nil {
		n.conns = make(map[string]*datagramConn)
	}
	n.conns[address] = conn
	return conn
}

// deliver passes a datagram to the connection with an address, if there is one.
func (n *datagramNetwork) deliver(payload []byte, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if conn := n.conns[address]; conn != nil {
		conn.arrived <- payload
	}
}

// WriteTo sends a datagram.
func (c *datagramConn) WriteTo(payload []byte, to net.Addr) (int, error) {
	content := append([]byte(nil), payload...)
	time.AfterFunc(datagramDelay, func() { c.network.deliver(content, to.String()) })
	return len(payload), nil
}

// ReadFrom waits for the next datagram.
func (c *datagramConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case payload := <-c.arrived:
		return copy(buffer, payload), nil, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// Close ends ReadFrom and drops later datagrams.
func (c *datagramConn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.network.conns[c.address] == c {
		delete(c.network.conns, c.address)
	}
	close(c.closed)
	return nil
}

// memoryListener is a net.Listener whose connections are opened by dial, in memory.
type memoryListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// newMemoryListener returns an open memoryListener.
func newMemoryListener() *memoryListener {
	return &memoryListener{
		conns: make(chan net.Conn),
		done:  make(chan struct{}),
	}
}

// dial opens a connection. It fails once the listener is closed.
func (l *memoryListener) dial() (net.Conn, error) {
	caller, accepted := net.Pipe()
	select {
	case l.conns <- accepted:
		return caller, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Accept returns the next connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept and dial.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns an address that means nothing.
func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// handlerTransport is an http.RoundTripper that calls a handler without a network.
type handlerTransport struct {
	handler http.Handler
}

// RoundTrip returns the handler's response, or an error if the handler aborts it.
func (h handlerTransport) RoundTrip(request *http.Request) (response *http.Response, err error) {
	defer func() {
		if aborted := recover(); aborted != nil {
			err = errors.Errorf("handler: %v", aborted)
		}
	}()
	recorder := httptest.NewRecorder()
	served := request.Clone(request.Context())
	if served.Body == nil {
		served.Body = http.NoBody
	}
	h.handler.ServeHTTP(recorder, served)
	return recorder.Result(), nil
}
