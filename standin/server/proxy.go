package server

import (
	"io"
	"net"
	"sync"
	"time"
)

// ProxyMode is what a proxy does with the bytes that it receives.
type ProxyMode uint8

// Modes of a proxy.
const (
	// ProxyForward forwards all bytes.
	ProxyForward ProxyMode = iota
	// ProxyDropAll reads and discards the bytes of both directions.
	ProxyDropAll
	// ProxyDropResponses forwards requests and discards responses.
	ProxyDropResponses
	// ProxyReset resets the connections to the client and to the target when bytes
	// arrive on either.
	ProxyReset
)

// Proxy is a TCP proxy in front of one address. It injects network faults.
type Proxy struct {
	// Target is the address to which connections are forwarded.
	Target string

	mu   sync.Mutex
	mode ProxyMode
	// delay is how long the proxy holds each chunk of bytes before it forwards or
	// discards the chunk, in both directions.
	delay time.Duration
	// conns is the set of open connections, those of clients and those to the target.
	conns map[net.Conn]bool
	// group waits for the goroutines that forward bytes.
	group sync.WaitGroup
}

// SetMode changes the mode, and the delay added in each direction, of all
// connections, open ones included.
func (p *Proxy) SetMode(mode ProxyMode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = mode, delay
}

// currentMode returns the mode and the added delay.
func (p *Proxy) currentMode() (ProxyMode, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.delay
}

// Serve accepts connections and forwards them to the target until the listener is
// closed. It then closes the open connections. If the target can't be reached, it
// resets the client's connection.
func (p *Proxy) Serve(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			break
		}
		target, err := net.Dial("tcp4", p.Target)
		if err != nil {
			reset(client)
			continue
		}
		p.track(client, target)
		p.group.Go(func() { p.forward(client, target, false) })
		p.group.Go(func() { p.forward(target, client, true) })
	}
	p.mu.Lock()
	for conn := range p.conns {
		conn.Close()
	}
	p.mu.Unlock()
	p.group.Wait()
}

// track adds connections to those that Serve closes at its end.
func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = make(map[net.Conn]bool)
	}
	for _, conn := range conns {
		p.conns[conn] = true
	}
}

// reset closes a connection with a TCP reset, so that its peer gets an error.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// A linger time of 0 makes Close send a reset. If it can't be set, Close is
		// an ordinary one.
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// forward copies bytes in one direction, as the mode says, until a read or a write
// fails or ProxyReset takes effect, and then closes both connections. isResponse is
// true for the direction from the target to the client.
func (p *Proxy) forward(from, to net.Conn, isResponse bool) {
	defer func() {
		from.Close()
		to.Close()
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		mode, delay := p.currentMode()
		if err == nil && mode == ProxyReset {
			reset(from)
			reset(to)
			return
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		if count > 0 && mode != ProxyDropAll && (mode != ProxyDropResponses || !isResponse) {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			return
		}
	}
}
