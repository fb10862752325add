package dispatch_test

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// network joins the processes of a test by pipes, which can be cut.
type network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	wires     map[*wire]struct{}
	paused    map[string]chan struct{}
	cuts      map[[2]string]bool
	ports     int
}

func newNetwork() *network {
	return &network{
		listeners: make(map[string]*pipeListener),
		wires:     make(map[*wire]struct{}),
		paused:    make(map[string]chan struct{}),
		cuts:      make(map[[2]string]bool),
	}
}

// pipeListener accepts the far ends of pipes for one process.
type pipeListener struct {
	process  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (n *network) listen(process, address string) net.Listener {
	listener := &pipeListener{
		process:  process,
		accepted: make(chan net.Conn),
		closed:   make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = listener
	return listener
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr {
	return &net.TCPAddr{}
}

// wire is one end of a pipe, held by a process.
type wire struct {
	net.Conn
	net        *network
	near, far  string
	remotePort int
}

func (w *wire) RemoteAddr() net.Addr {
	return &net.TCPAddr{
		IP:   net.IPv4(127, 0, 0, 1),
		Port: w.remotePort,
	}
}

func (w *wire) Read(buffer []byte) (int, error) {
	count, err := w.Conn.Read(buffer)
	w.net.waitWhilePaused(w.near)
	return count, err
}

func (w *wire) Write(buffer []byte) (int, error) {
	w.net.waitWhilePaused(w.near)
	w.net.waitWhilePaused(direction(w.near, w.far))
	return w.Conn.Write(buffer)
}

func (w *wire) Close() error {
	w.net.mu.Lock()
	delete(w.net.wires, w)
	w.net.mu.Unlock()
	return w.Conn.Close()
}

// dialer returns the DialContext of a process.
func (n *network) dialer(process string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		n.waitWhilePaused(process)
		n.mu.Lock()
		listener := n.listeners[address]
		if listener == nil || n.cuts[[2]string{process, listener.process}] {
			n.mu.Unlock()
			return nil, errors.Errorf("dial %s: refused", address)
		}
		near, far := net.Pipe()
		n.ports++
		ends := []*wire{{
			Conn:       near,
			net:        n,
			near:       process,
			far:        listener.process,
			remotePort: n.ports,
		}, {
			Conn:       far,
			net:        n,
			near:       listener.process,
			far:        process,
			remotePort: n.ports,
		}}
		for _, end := range ends {
			n.wires[end] = struct{}{}
		}
		n.mu.Unlock()
		select {
		case listener.accepted <- ends[1]:
			return ends[0], nil
		case <-listener.closed:
			return nil, errors.Errorf("dial %s: refused", address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// breakAll closes the wires that a condition selects.
func (n *network) breakAll(selected func(near, far string) bool) {
	n.mu.Lock()
	var broken []*wire
	for end := range n.wires {
		if selected(end.near, end.far) {
			broken = append(broken, end)
		}
	}
	n.mu.Unlock()
	for _, end := range broken {
		_ = end.Close()
	}
}

// crash breaks all wires of a process.
func (n *network) crash(process string) {
	n.breakAll(func(near, far string) bool { return near == process || far == process })
}

// cut separates two processes until heal.
func (n *network) cut(a, b string) {
	n.mu.Lock()
	n.cuts[[2]string{a, b}] = true
	n.cuts[[2]string{b, a}] = true
	n.mu.Unlock()
	n.breakAll(func(near, far string) bool { return near == a && far == b || near == b && far == a })
}

func (n *network) heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, [2]string{a, b})
	delete(n.cuts, [2]string{b, a})
}

func (n *network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{a, b}]
}

// direction names what one process sends another, to be paused on its own.
func direction(near, far string) string {
	return near + " to " + far
}

// pause stops a process's input and output, or one direction, until resume.
func (n *network) pause(process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[process] == nil {
		n.paused[process] = make(chan struct{})
	}
}

func (n *network) resume(process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[process] != nil {
		close(n.paused[process])
		delete(n.paused, process)
	}
}

func (n *network) waitWhilePaused(process string) {
	n.mu.Lock()
	paused := n.paused[process]
	n.mu.Unlock()
	if paused != nil {
		<-paused
	}
}
