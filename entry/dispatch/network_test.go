package dispatch_test

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// network connects the processes of a test with in-memory pipes, and can pause
// processes and partition them from each other.
type network struct {
	mu sync.Mutex
	// listeners holds the listeners by address.
	listeners map[string]*pipeListener
	// pipeEnds holds the ends of pipes that are not closed.
	pipeEnds map[*pipeEnd]struct{}
	// paused holds a channel for each paused process, by name, and for each paused
	// direction. The channel is closed when the process or direction resumes.
	paused map[string]chan struct{}
	// partitions holds the pairs of dialing and listening process that can't
	// connect.
	partitions map[[2]string]bool
	// lastPort is the port of the pipe that was opened last.
	lastPort int
}

func newNetwork() *network {
	return &network{
		listeners:  make(map[string]*pipeListener),
		pipeEnds:   make(map[*pipeEnd]struct{}),
		paused:     make(map[string]chan struct{}),
		partitions: make(map[[2]string]bool),
	}
}

// pipeListener is a net.Listener that accepts the remote ends of pipes for one
// process.
type pipeListener struct {
	process  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// listen returns a listener of a process at an address. It replaces any earlier
// listener at the address.
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

// pipeEnd is the local process's end of a pipe to the remote process.
type pipeEnd struct {
	net.Conn
	network       *network
	local, remote string
	// remotePort is the port of RemoteAddr; both ends of a pipe have the same.
	remotePort int
}

func (e *pipeEnd) RemoteAddr() net.Addr {
	return &net.TCPAddr{
		IP:   net.IPv4(127, 0, 0, 1),
		Port: e.remotePort,
	}
}

func (e *pipeEnd) Read(buffer []byte) (int, error) {
	count, err := e.Conn.Read(buffer)
	e.network.waitWhilePaused(e.local)
	return count, err
}

func (e *pipeEnd) Write(buffer []byte) (int, error) {
	e.network.waitWhilePaused(e.local)
	e.network.waitWhilePaused(direction(e.local, e.remote))
	return e.Conn.Write(buffer)
}

func (e *pipeEnd) Close() error {
	e.network.mu.Lock()
	delete(e.network.pipeEnds, e)
	e.network.mu.Unlock()
	return e.Conn.Close()
}

// dialer returns the http.Transport.DialContext function of a process.
func (n *network) dialer(process string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		n.waitWhilePaused(process)
		n.mu.Lock()
		listener := n.listeners[address]
		if listener == nil || n.partitions[[2]string{process, listener.process}] {
			n.mu.Unlock()
			return nil, errors.Errorf("dial %s: refused", address)
		}
		localConn, remoteConn := net.Pipe()
		n.lastPort++
		ends := []*pipeEnd{{
			Conn:       localConn,
			network:    n,
			local:      process,
			remote:     listener.process,
			remotePort: n.lastPort,
		}, {
			Conn:       remoteConn,
			network:    n,
			local:      listener.process,
			remote:     process,
			remotePort: n.lastPort,
		}}
		for _, end := range ends {
			n.pipeEnds[end] = struct{}{}
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

// closeSelected closes the pipe ends for whose processes selected reports true.
func (n *network) closeSelected(selected func(local, remote string) bool) {
	n.mu.Lock()
	var broken []*pipeEnd
	for end := range n.pipeEnds {
		if selected(end.local, end.remote) {
			broken = append(broken, end)
		}
	}
	n.mu.Unlock()
	for _, end := range broken {
		_ = end.Close()
	}
}

// closeAllOf closes all pipes of a process.
func (n *network) closeAllOf(process string) {
	n.closeSelected(func(local, remote string) bool { return local == process || remote == process })
}

// partition closes all pipes between two processes and prevents new ones until
// heal.
func (n *network) partition(a, b string) {
	n.mu.Lock()
	n.partitions[[2]string{a, b}] = true
	n.partitions[[2]string{b, a}] = true
	n.mu.Unlock()
	n.closeSelected(func(local, remote string) bool { return local == a && remote == b || local == b && remote == a })
}

// heal ends a partition of two processes.
func (n *network) heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitions, [2]string{a, b})
	delete(n.partitions, [2]string{b, a})
}

// isPartitioned reports whether two processes can't connect.
func (n *network) isPartitioned(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitions[[2]string{a, b}]
}

// direction returns the name that pause and resume take for the traffic from one
// process to another.
func direction(local, remote string) string {
	return local + " to " + remote
}

// pause suspends the input and output of a process, or the traffic in one
// direction, until resume.
func (n *network) pause(process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[process] == nil {
		n.paused[process] = make(chan struct{})
	}
}

// resume ends a pause.
func (n *network) resume(process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[process] != nil {
		close(n.paused[process])
		delete(n.paused, process)
	}
}

// waitWhilePaused returns when a process or direction is not paused.
func (n *network) waitWhilePaused(process string) {
	n.mu.Lock()
	paused := n.paused[process]
	n.mu.Unlock()
	if paused != nil {
		<-paused
	}
}
