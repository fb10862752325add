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

// dialer opens connections whose silence shows.
type dialer struct {
	net.Dialer
}

func newDialer(timeout time.Duration) *dialer {
	return &dialer{
		Dialer: net.Dialer{
			Timeout: timeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     silentProbe,
				Interval: silentProbe,
				Count:    silentProbes,
			},
			Control: func(_, _ string, raw syscall.RawConn) error {
				var failure error
				err := raw.Control(func(descriptor uintptr) {
					unanswered := int((silentProbes + 1) * silentProbe.Milliseconds())
					failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, unanswered)
				})
				if err != nil {
					return err
				}
				return failure
			},
		},
	}
}

func (d *dialer) dial(ctx context.Context, address string) (net.Conn, error) {
	return d.DialContext(ctx, "tcp4", address)
}

// newStore returns a client of the store with connections of its own.
func (g *gate) newStore() *platform.Client {
	dial := newDialer(connectTimeout)
	store := platform.NewClient("http://"+g.settings.Load().StoreAddress, &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return dial.dial(ctx, address)
			},
			MaxIdleConnsPerHost: 1,
			DisableCompression:  true,
		},
	})
	store.OnCall = func(call, outcome string) {
		metrics.GetOrRegisterCounter("store-calls."+path.Base(call)+"."+outcome, g.metrics).Inc(1)
	}
	return store
}

// gateListeners are the open sockets of a gate; introductions is nil where the
// settings give no address for them.
type gateListeners struct {
	callers       net.Listener
	ready         net.Listener
	lookups       net.Listener
	introductions net.Listener
	metrics       net.Listener
	peers         net.PacketConn
}

func (g *gate) listen() (opened gateListeners, err error) {
	settings := g.settings.Load()
	for _, each := range []struct {
		listener *net.Listener
		address  string
	}{
		{
			listener: &opened.callers,
			address:  settings.CallerAddress,
		},
		{
			listener: &opened.ready,
			address:  settings.ReadyAddress,
		},
		{
			listener: &opened.lookups,
			address:  settings.LookupAddress,
		},
		{
			listener: &opened.introductions,
			address:  settings.SnapshotAddress,
		},
		{
			listener: &opened.metrics,
			address:  net.JoinHostPort(settings.IP, metricsPort),
		},
	} {
		if each.address == "" {
			continue
		}
		if *each.listener, err = net.Listen("tcp4", each.address); err != nil {
			return opened, err
		}
	}
	opened.peers, err = net.ListenPacket("udp4", g.self().PeerAddress)
	return opened, err
}
