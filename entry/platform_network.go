package main

import (
	"context"
	"net"
	"net/http"
	"path"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"github.com/teaselstack/teaselstack/platform"
)

// maxInternalHeaderBytes bounds the header of a response of the store or another entry, in
// bytes.
const maxInternalHeaderBytes = 64 << 10

// keepAliveDialer opens TCP connections that fail soon after the remote side stops
// responding: idle ones by keep-alive probes, those with unacknowledged data by
// TCP_USER_TIMEOUT.
type keepAliveDialer struct {
	net.Dialer
}

// newKeepAliveDialer returns a dialer whose attempts to connect take at most timeout.
func newKeepAliveDialer(timeout time.Duration) *keepAliveDialer {
	return &keepAliveDialer{
		Dialer: net.Dialer{
			Timeout: timeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     keepAliveInterval,
				Interval: keepAliveInterval,
				Count:    keepAliveProbes,
			},
			Control: func(_, _ string, conn syscall.RawConn) error {
				var optionErr error
				err := conn.Control(func(fd uintptr) {
					userTimeoutMs := int((keepAliveProbes + 1) * keepAliveInterval.Milliseconds())
					optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMs)
				})
				if err != nil {
					return err
				}
				return optionErr
			},
		},
	}
}

// dial connects to an IPv4 address and port.
func (d *keepAliveDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	return d.DialContext(ctx, "tcp4", address)
}

// newStore returns a client of the platform's store that shares no connection with
// other clients. It counts its calls by name and outcome in the metrics.
func (n *platformNode) newStore() *platform.Client {
	dialer := newKeepAliveDialer(keepAliveDialTimeout)
	store := platform.NewClient("http://"+n.settings.Load().StoreAddress, &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return dialer.dial(ctx, address)
			},
			MaxIdleConnsPerHost:    1,
			MaxResponseHeaderBytes: maxInternalHeaderBytes,
			DisableCompression:     true,
		},
	})
	store.Eras = &n.eras
	store.OnCall = func(call, outcome string) {
		metrics.GetOrRegisterCounter("store-calls."+path.Base(call)+"."+outcome, n.metrics).Inc(1)
	}
	return store
}

// platformSockets holds the open sockets of a platformNode. A listener without an
// address in the settings is nil.
type platformSockets struct {
	callers   net.Listener
	ready     net.Listener
	lookups   net.Listener
	snapshots net.Listener
	metrics   net.Listener
	// peers receives and sends the datagrams of the tracker.
	peers net.PacketConn
}

// listen opens the sockets of a platformNode at the addresses in the settings.
func (n *platformNode) listen() (open platformSockets, err error) {
	settings := n.settings.Load()
	for _, socket := range []struct {
		listener *net.Listener
		address  string
	}{
		{
			listener: &open.callers,
			address:  settings.CallerAddress,
		},
		{
			listener: &open.ready,
			address:  settings.ReadyAddress,
		},
		{
			listener: &open.lookups,
			address:  settings.LookupAddress,
		},
		{
			listener: &open.snapshots,
			address:  settings.SnapshotAddress,
		},
		{
			listener: &open.metrics,
			address:  net.JoinHostPort(settings.IP, metricsPort),
		},
	} {
		if socket.address == "" {
			continue
		}
		if *socket.listener, err = net.Listen("tcp4", socket.address); err != nil {
			return open, err
		}
	}
	open.peers, err = net.ListenPacket("udp4", n.self().PeerAddress)
	return open, err
}
