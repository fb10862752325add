// Package relay implements a SOCKS5 proxy (RFC 1928, CONNECT to IP addresses) that
// emulates the network of a deployment: it delays both directions of each connection,
// limits the rate of each link between regions, counts the bytes that links carry, and
// partitions locations from each other.
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
	// links holds both directions of each link.
	links map[regionPair]*link
	// dial connects to a target.
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu         sync.Mutex
	partitions map[Partition]bool
	// partitionsChanged is closed and replaced whenever SetPartition or HealPartitions
	// is called.
	partitionsChanged chan struct{}
}

// Option configures a Server.
type Option func(*Server)

// WithDial sets the function that connects to targets, net.Dialer.DialContext by
// default.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(s *Server) { s.dial = dial }
}

// New returns a relay for a topology, without partitions.
func New(topology *Topology, options ...Option) *Server {
	server := &Server{
		topology:          topology,
		links:             newLinks(topology.configuration),
		dial:              (&net.Dialer{}).DialContext,
		partitions:        make(map[Partition]bool),
		partitionsChanged: make(chan struct{}),
	}
	for _, option := range options {
		option(server)
	}
	return server
}

// Serve accepts connections on a listener and relays them until ctx is done.
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

// ServeConn performs the SOCKS handshake on a connection and relays the connection
// until it ends. Connecting to the target takes one round trip of the emulated network.
// A client whose location or target is unknown is refused.
func (s *Server) ServeConn(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	request, err := handshake(conn)
	if err != nil {
		return
	}
	source, sourceKnown := s.topology.SourceLocation(request.user)
	target, targetKnown := s.topology.TargetLocation(request.address)
	if !sourceKnown || !targetKnown {
		_ = sendReply(conn, replyNotAllowed)
		return
	}
	toTarget, toSource := s.newFlow(source, target), s.newFlow(target, source)
	if toTarget.awaitArrival(ctx, time.Now()) != nil {
		return
	}
	targetConn, err := s.dial(ctx, "tcp", request.address)
	if toSource.awaitArrival(ctx, time.Now()) != nil {
		return
	}
	if err != nil {
		_ = sendReply(conn, replyRefused)
		return
	}
	defer func() { _ = targetConn.Close() }()
	stopTarget := context.AfterFunc(ctx, func() { _ = targetConn.Close() })
	defer stopTarget()
	if sendReply(conn, replyOK) != nil {
		return
	}
	var group sync.WaitGroup
	group.Go(func() { toTarget.forward(ctx, cancel, conn, targetConn) })
	group.Go(func() { toSource.forward(ctx, cancel, targetConn, conn) })
	group.Wait()
}

// newFlow returns a flow from one location to another. The traffic of callers does not
// pass through the links between regions.
func (s *Server) newFlow(from, to Location) *flow {
	created := &flow{
		server: s,
		from:   from,
		to:     to,
		delay:  s.topology.Delay(from, to),
	}
	if !from.isCaller() && !to.isCaller() {
		created.link = s.links[regionPair{
			from: from.Region,
			to:   to.Region,
		}]
	}
	return created
}

// Partition is a network partition in one direction, from one location to another:
// it holds back bytes in that direction until it heals. From and To are each the
// name of a failure domain or region, or PlatformDomain, or AllLocations. Bytes within
// one failure domain are never held back.
type Partition struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// AllLocations as one end of a Partition stands for every location, callers included,
// that is not within its other end.
const AllLocations = "all"

// SetPartition makes a partition if active is true, and heals it otherwise.
func (s *Server) SetPartition(partition Partition, active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if active {
		s.partitions[partition] = true
	} else {
		delete(s.partitions, partition)
	}
	close(s.partitionsChanged)
	s.partitionsChanged = make(chan struct{})
}

// HealPartitions heals all partitions.
func (s *Server) HealPartitions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.partitions)
	close(s.partitionsChanged)
	s.partitionsChanged = make(chan struct{})
}

// changedIfBlocked returns nil if no partition blocks the direction from one location
// to another, and otherwise a channel that is closed when the set of partitions next
// changes. No partition blocks bytes within one location.
func (s *Server) changedIfBlocked(from, to Location) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from == to {
		return nil
	}
	for partition := range s.partitions {
		if partition.blocks(from, to) {
			return s.partitionsChanged
		}
	}
	return nil
}

// blocks reports whether the partition blocks the direction from one location to
// another.
func (p Partition) blocks(from, to Location) bool {
	switch {
	case p.From == AllLocations:
		return to.isWithin(p.To) && !from.isWithin(p.To)
	case p.To == AllLocations:
		return from.isWithin(p.From) && !to.isWithin(p.From)
	}
	return from.isWithin(p.From) && to.isWithin(p.To)
}
