// Package relay is a SOCKS5 relay (RFC 1928, CONNECT to IP addresses) that
// behaves like the network between regions: it delays each direction, keeps the
// rate of each link, counts bytes, and cuts places off from each other.
package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Server is the relay of one site.
type Server struct {
	topology *Topology
	links    map[direction]*link
	dial     func(ctx context.Context, network, address string) (net.Conn, error)

	mu   sync.Mutex
	cuts map[Partition]bool
	// changed is closed and replaced whenever a cut is made or healed.
	changed chan struct{}
}

// Option sets up a Server.
type Option func(*Server)

// WithDial replaces how targets are connected to.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(s *Server) { s.dial = dial }
}

// New returns a relay for a topology.
func New(topology *Topology, options ...Option) *Server {
	server := &Server{
		topology: topology,
		links:    newLinks(topology.configuration),
		dial:     (&net.Dialer{}).DialContext,
		cuts:     make(map[Partition]bool),
		changed:  make(chan struct{}),
	}
	for _, option := range options {
		option(server)
	}
	return server
}

// Serve relays connections until ctx is done.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	var group sync.WaitGroup
	defer group.Wait()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept connection")
		}
		group.Go(func() { s.ServeConn(ctx, conn) })
	}
}

// ServeConn relays one connection to its end.
func (s *Server) ServeConn(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	asked, err := handshake(conn)
	if err != nil {
		return
	}
	source, known := s.topology.SourceLocation(asked.user)
	target, listed := s.topology.TargetLocation(asked.address)
	if !known || !listed {
		_ = reply(conn, replyNotAllowed)
		return
	}
	there, back := s.way(source, target), s.way(target, source)
	if there.travel(ctx, time.Now()) != nil {
		return
	}
	onward, err := s.dial(ctx, "tcp", asked.address)
	if back.travel(ctx, time.Now()) != nil {
		return
	}
	if err != nil {
		_ = reply(conn, replyRefused)
		return
	}
	defer func() { _ = onward.Close() }()
	stopOnward := context.AfterFunc(ctx, func() { _ = onward.Close() })
	defer stopOnward()
	if reply(conn, replyOK) != nil {
		return
	}
	var group sync.WaitGroup
	group.Go(func() { there.carry(ctx, cancel, conn, onward) })
	group.Go(func() { back.carry(ctx, cancel, onward, conn) })
	group.Wait()
}

// way returns the path from one place to another.
func (s *Server) way(from, to Location) *way {
	path := &way{
		server: s,
		from:   from,
		to:     to,
		delay:  s.topology.Delay(from, to),
	}
	if !from.client() && !to.client() {
		path.link = s.links[direction{
			from: from.Region,
			to:   to.Region,
		}]
	}
	return path
}

// Partition is one direction between two places that carries nothing. A place is a
// failure domain, a region, or PlatformDomain; All stands for every place but
// the other one.
type Partition struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// AllLocations is every other place, callers included.
const AllLocations = "all"

// SetPartition makes or heals a cut.
func (s *Server) SetPartition(cut Partition, made bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if made {
		s.cuts[cut] = true
	} else {
		delete(s.cuts, cut)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// HealPartitions heals all cuts.
func (s *Server) HealPartitions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.cuts)
	close(s.changed)
	s.changed = make(chan struct{})
}

// open returns nil when a path carries, or else a channel that is closed when
// that may have changed.
func (s *Server) open(from, to Location) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from == to {
		return nil
	}
	for cut := range s.cuts {
		if cut.covers(from, to) {
			return s.changed
		}
	}
	return nil
}

func (c Partition) covers(from, to Location) bool {
	switch {
	case c.From == AllLocations:
		return to.is(c.To) && !from.is(c.To)
	case c.To == AllLocations:
		return from.is(c.From) && !to.is(c.From)
	}
	return from.is(c.From) && to.is(c.To)
}
