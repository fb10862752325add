package main

import (
	"context"
	"net"

	"golang.org/x/net/proxy"

	"github.com/teaselstack/teaselstack/entry/settings"
)

// dial connects to an address of a peer, a backend server or the platform.
type dial func(ctx context.Context, network, address string) (net.Conn, error)

// newDial returns how an entry connects to others: directly, or through the
// SOCKS5 relay of its site, where the failure domain is the user's name.
func newDial(loaded settings.Settings) dial {
	direct := &net.Dialer{
		Timeout: dialTimeout,
	}
	if loaded.Network.Relay == "" {
		return direct.DialContext
	}
	relay, err := proxy.SOCKS5("tcp", loaded.Network.Relay, &proxy.Auth{
		User: loaded.FailureDomain,
	}, direct)
	if err != nil {
		panic("set up the relay's client: " + err.Error())
	}
	relayed, ok := relay.(proxy.ContextDialer)
	if !ok {
		panic("the relay's client takes no context")
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return relayed.DialContext(ctx, network, address)
	}
}
