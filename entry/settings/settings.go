// Package settings reads and checks an entry's settings file.
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/document"
)

// Settings is the settings file of one entry.
type Settings struct {
	// Name is the seat that the entry takes, as the deployment names it.
	Name          string `toml:"name"`
	Region        string `toml:"region"`
	FailureDomain string `toml:"failure-domain"`
	// Addresses of the three listeners, an IP address and a port each.
	CallersAddress   string `toml:"callers-address"`
	PeersAddress     string `toml:"peers-address"`
	OperatorsAddress string `toml:"operators-address"`
	// PlatformURL is the base URL of the platform's service.
	PlatformURL string `toml:"platform"`
	// Peers are peers' addresses to start from.
	Peers       []string `toml:"peers"`
	PeerKey     string   `toml:"peer-key"`
	OperatorKey string   `toml:"operator-key"`
	Network     Network  `toml:"network"`
	Limits      Limits   `toml:"limits"`
}

// Network says how an entry reaches others.
type Network struct {
	// Relay is the address of a SOCKS5 relay for all connections that the entry
	// opens; empty means that it connects directly.
	Relay string `toml:"relay"`
}

// Limits bounds what an entry uses and waits for.
type Limits struct {
	HeaderBytes       int               `toml:"header-bytes"`
	HeaderTimeout     document.Duration `toml:"header-timeout"`
	IdleTimeout       document.Duration `toml:"idle-timeout"`
	MaxDeadline       document.Duration `toml:"max-deadline"`
	HeartbeatInterval document.Duration `toml:"heartbeat-interval"`
	StopTimeout       document.Duration `toml:"stop-timeout"`
	TimelineEvents    int               `toml:"timeline-events"`
}

// Default returns the settings that a file starts from.
func Default() Settings {
	return Settings{
		Limits: Limits{
			HeaderBytes:       16 << 10,
			HeaderTimeout:     document.Duration(5 * time.Second),
			IdleTimeout:       document.Duration(2 * time.Minute),
			MaxDeadline:       document.Duration(10 * time.Minute),
			HeartbeatInterval: document.Duration(500 * time.Millisecond),
			StopTimeout:       document.Duration(11 * time.Minute),
			TimelineEvents:    20_000,
		},
	}
}

// minKeyLength is the shortest key accepted, in bytes.
const minKeyLength = 16

// Load reads and checks a settings file. Faults are document.Errors.
func Load(file string) (Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(file, content)
}

// Parse checks the content of a settings file.
func Parse(file string, content []byte) (Settings, error) {
	settings := Default()
	if err := document.Decode(file, content, &settings); err != nil {
		return Settings{}, err
	}
	check := checker{
		file:    file,
		content: content,
	}
	check.all(settings)
	if err := check.faults.Err(); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

type checker struct {
	file    string
	content []byte
	faults  document.Errors
}

func (c *checker) fault(key, format string, args ...any) {
	c.faults = append(c.faults, &document.Error{
		File:    c.file,
		Line:    document.KeyLine(c.content, key),
		Key:     key,
		Problem: fmt.Sprintf(format, args...),
	})
}

func (c *checker) all(s Settings) {
	c.present("name", s.Name)
	c.present("region", s.Region)
	c.present("failure-domain", s.FailureDomain)
	c.address("callers-address", s.CallersAddress)
	c.address("peers-address", s.PeersAddress)
	c.address("operators-address", s.OperatorsAddress)
	for i, peer := range s.Peers {
		if _, err := netip.ParseAddrPort(peer); err != nil {
			c.fault("peers", "peer %d: %q is no IP address with a port", i, peer)
		}
	}
	base, err := url.Parse(s.PlatformURL)
	if err != nil || base.Scheme == "" || base.Host == "" {
		c.fault("platform", "%q is no URL such as http://10.0.0.1:7000", s.PlatformURL)
	}
	if s.Network.Relay != "" {
		c.address("network.relay", s.Network.Relay)
	}
	c.key("peer-key", s.PeerKey)
	c.key("operator-key", s.OperatorKey)
	c.limits(s.Limits)
}

func (c *checker) limits(l Limits) {
	c.positive("limits.header-bytes", int64(l.HeaderBytes))
	c.span("limits.header-timeout", l.HeaderTimeout)
	c.span("limits.idle-timeout", l.IdleTimeout)
	c.span("limits.max-deadline", l.MaxDeadline)
	c.span("limits.heartbeat-interval", l.HeartbeatInterval)
	c.span("limits.stop-timeout", l.StopTimeout)
	c.positive("limits.timeline-events", int64(l.TimelineEvents))
}

func (c *checker) present(key, value string) {
	if value == "" {
		c.fault(key, "is missing")
	}
}

func (c *checker) address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fault(key, "%q is no IP address with a port", value)
	}
}

func (c *checker) key(key, value string) {
	if len(value) < minKeyLength {
		c.fault(key, "is shorter than %d bytes", minKeyLength)
	}
}

func (c *checker) positive(key string, value int64) {
	if value <= 0 {
		c.fault(key, "must be above 0")
	}
}

// minSpan is the shortest duration accepted. A bare number counts nanoseconds,
// which nobody means.
const minSpan = document.Duration(time.Millisecond)

func (c *checker) span(key string, value document.Duration) {
	if value < minSpan {
		c.fault(key, "must be at least 1ms, written as a duration such as \"5s\"")
	}
}
