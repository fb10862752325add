package main

import (
	"context"
	"net"

	"golang.org/x/net/proxy"

	"github.com/teaselstack/teaselstack/entry/settings"
)

// dialFunc opens a connection to a peer, a backend server or the platform; it has
// the signature of net.Dialer.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// newDialFunc returns a function that dials directly or, if the settings name a SOCKS5
// proxy, through that proxy with the entry's failure domain as user name.
func newDialFunc(loaded settings.Settings) dialFunc {
	direct := &net.Dialer{
		Timeout: dialTimeout,
	}
	if loaded.Network.SOCKS5Proxy == "" {
		return direct.DialContext
	}
	proxyDialer, err := proxy.SOCKS5("tcp", loaded.Network.SOCKS5Proxy, &proxy.Auth{
		User: loaded.FailureDomain,
	}, direct)
	if err != nil {
		panic("create SOCKS5 client for the relay: " + err.Error())
	}
	contextDialer, ok := proxyDialer.(proxy.ContextDialer)
	if !ok {
		panic("the SOCKS5 client of the relay has no DialContext method")
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return contextDialer.DialContext(ctx, network, address)
	}
}
