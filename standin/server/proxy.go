package server

import (
	"io"
	"net"
	"sync"
	"time"
)

// ProxyMode says what a proxy does with bytes.
type ProxyMode uint8

// Ways of a proxy.
const (
	// ProxyForward passes bytes on.
	ProxyForward ProxyMode = iota
	// ProxyDropAll takes bytes and passes none on, in either direction.
	ProxyDropAll
	// ProxyDropResponses passes requests on and no answers.
	ProxyDropResponses
	// ProxyReset resets each connection when something comes.
	ProxyReset
)

// Proxy stands between callers and one address on loopback.
type Proxy struct {
	Target string

	mu    sync.Mutex
	way   ProxyMode
	delay time.Duration
	conns map[net.Conn]bool
	group sync.WaitGroup
}

// SetMode changes what happens to all connections, open ones included.
func (p *Proxy) SetMode(way ProxyMode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.way, p.delay = way, delay
}

func (p *Proxy) current() (ProxyMode, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.way, p.delay
}

// Serve passes the connections of a listener on until it is closed.
func (p *Proxy) Serve(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			break
		}
		far, err := net.Dial("tcp4", p.Target)
		if err != nil {
			reset(near)
			continue
		}
		p.hold(near, far)
		p.group.Go(func() { p.pass(near, far, false) })
		p.group.Go(func() { p.pass(far, near, true) })
	}
	p.mu.Lock()
	for conn := range p.conns {
		conn.Close()
	}
	p.mu.Unlock()
	p.group.Wait()
}

func (p *Proxy) hold(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = make(map[net.Conn]bool)
	}
	for _, conn := range conns {
		p.conns[conn] = true
	}
}

// reset closes a connection so that its peer gets an error.
func reset(conn net.Conn) {
	if tcp, is := conn.(*net.TCPConn); is {
		// Close follows; without the option it is an ordinary one.
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// pass copies bytes one way until either side ends.
func (p *Proxy) pass(from, to net.Conn, back bool) {
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
		way, delay := p.current()
		if err == nil && way == ProxyReset {
			reset(from)
			reset(to)
			return
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		if count > 0 && way != ProxyDropAll && (way != ProxyDropResponses || !back) {
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
