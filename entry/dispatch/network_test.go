package dispatch_test

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// network simulates the network between the processes of a cluster with in-memory
// pipes. It can pause processes and partition them from each other. A process is
// known by its name: it is an incarnation of an entry, a backend server, the caller or
// the store.
type network struct {
	mu sync.Mutex
	// listeners holds the listeners by address.
	listeners map[string]*pipeListener
	// pipeEnds holds the ends of pipes that are not closed.
	pipeEnds map[*pipeEnd]struct{}
	// paused holds a channel for each paused target, which is the name of a process or
	// a directionName. The channel is closed when the target resumes.
	paused map[string]chan struct{}
	// partitions holds the pairs of processes that are cut off from each other, in both
	// orders.
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

// pipeListener is the net.Listener of a process. It accepts the pipes that other
// processes dial.
type pipeListener struct {
	process string
	// incoming passes the listening process's end of each new pipe to Accept.
	incoming  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// listen returns a listener of a process at an address. It replaces any earlier
// listener at the address.
func (n *network) listen(process, address string) net.Listener {
	listener := &pipeListener{
		process:  process,
		incoming: make(chan net.Conn),
		closed:   make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = listener
	return listener
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr {
	return &net.TCPAddr{}
}

// pipeEnd is one end of a pipe.
type pipeEnd struct {
	net.Conn
	network *network
	// local names the process that holds this end, remote the one at the other end.
	local, remote string
	// remotePort is the port of RemoteAddr. It is different for each pipe, but the same
	// at both ends.
	remotePort int
}

func (e *pipeEnd) RemoteAddr() net.Addr {
	return &net.TCPAddr{
		IP:   net.IPv4(127, 0, 0, 1),
		Port: e.remotePort,
	}
}

// Read delays the result while the local process is paused. It waits after the read, as
// the process may have been paused meanwhile; the remote process's write succeeds.
func (e *pipeEnd) Read(buffer []byte) (int, error) {
	count, err := e.Conn.Read(buffer)
	e.network.waitForResume(e.local)
	return count, err
}

func (e *pipeEnd) Write(buffer []byte) (int, error) {
	e.network.waitForResume(e.local)
	e.network.waitForResume(directionName(e.local, e.remote))
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
		n.waitForResume(process)
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
		case listener.incoming <- ends[1]:
			return ends[0], nil
		case <-listener.closed:
			return nil, errors.Errorf("dial %s: refused", address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// closeMatching closes the pipe ends for which match reports true.
func (n *network) closeMatching(match func(local, remote string) bool) {
	n.mu.Lock()
	var matching []*pipeEnd
	for end := range n.pipeEnds {
		if match(end.local, end.remote) {
			matching = append(matching, end)
		}
	}
	n.mu.Unlock()
	for _, end := range matching {
		_ = end.Close()
	}
}

// closePipes closes both ends of all pipes of a process.
func (n *network) closePipes(process string) {
	n.closeMatching(func(local, remote string) bool { return local == process || remote == process })
}

// partition closes all pipes between two processes and prevents new ones until
// heal.
func (n *network) partition(a, b string) {
	n.mu.Lock()
	n.partitions[[2]string{a, b}] = true
	n.partitions[[2]string{b, a}] = true
	n.mu.Unlock()
	n.closeMatching(func(local, remote string) bool { return local == a && remote == b || local == b && remote == a })
}

// heal ends a partition of two processes.
func (n *network) heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitions, [2]string{a, b})
	delete(n.partitions, [2]string{b, a})
}

// isPartitioned reports whether two processes are partitioned from each other.
func (n *network) isPartitioned(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitions[[2]string{a, b}]
}

// directionName returns the target of pause and resume for the traffic from one process
// to another.
func directionName(from, to string) string {
	return from + " to " + to
}

// pause holds back the dials, the writes and the results of reads of a process, or the
// writes in one direction, until resume. A write that has already begun goes on.
func (n *network) pause(target string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[target] == nil {
		n.paused[target] = make(chan struct{})
	}
}

// resume ends the pause of a target, if it is paused.
func (n *network) resume(target string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[target] != nil {
		close(n.paused[target])
		delete(n.paused, target)
	}
}

// waitForResume waits until the current pause of a target, if any, ends. It doesn't wait
// for a later pause.
func (n *network) waitForResume(target string) {
	n.mu.Lock()
	paused := n.paused[target]
	n.mu.Unlock()
	if paused != nil {
		<-paused
	}
}
