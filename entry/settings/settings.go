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

// Settings is the content of an entry's settings file.
type Settings struct {
	// Name is the entry's name in the deployment. Of several processes with the same
	// name, only the one that started last may act for the entry; see package fencing.
	Name string `toml:"name"`
	// Region and FailureDomain name the region and the failure domain of the entry VM.
	Region        string `toml:"region"`
	FailureDomain string `toml:"failure-domain"`
	// CallersAddress, PeersAddress and OperatorsAddress are the IP addresses and ports
	// on which the entry listens for callers, peers and operators, respectively.
	CallersAddress   string `toml:"callers-address"`
	PeersAddress     string `toml:"peers-address"`
	OperatorsAddress string `toml:"operators-address"`
	// PlatformURL is the base URL of the platform.
	PlatformURL string `toml:"platform"`
	// Peers are the addresses of the seed peers. The entry learns the addresses of the
	// other peers from them.
	Peers []string `toml:"peers"`
	// PeerKey and OperatorKey are the secrets that peers and operators, respectively,
	// send with each call to authenticate themselves. All entries have the same PeerKey.
	PeerKey     string  `toml:"peer-key"`
	OperatorKey string  `toml:"operator-key"`
	Network     Network `toml:"network"`
	Limits      Limits  `toml:"limits"`
}

// Network holds the options for the connections that an entry opens.
type Network struct {
	// SOCKS5Proxy is the address of a SOCKS5 proxy for all connections that the entry
	// opens; if empty, it connects directly.
	SOCKS5Proxy string `toml:"relay"`
}

// Limits bounds the resources and timeouts of an entry.
type Limits struct {
	// HeaderBytes bounds the total size of a request's URI, host and headers, and the
	// size of the message in a look-up, in bytes.
	HeaderBytes int `toml:"header-bytes"`
	// MemoryMB is the memory of the process in megabytes, of which a part bounds what all
	// connections hold, and Connections the maximum number of open connections to all listeners.
	MemoryMB    int `toml:"memory-mb"`
	Connections int `toml:"connections"`
	// HeaderTimeout bounds the time to read a request's header.
	HeaderTimeout document.Duration `toml:"header-timeout"`
	// IdleTimeout is how long an idle connection of a caller, peer or operator is kept.
	IdleTimeout document.Duration `toml:"idle-timeout"`
	// MaxDeadline is the longest time that a request may take, also if its caller or
	// service allows more.
	MaxDeadline document.Duration `toml:"max-deadline"`
	// HeartbeatInterval is the longest time between two successive heartbeats to a peer
	// that this entry monitors. The other intervals and the timeouts of package membership
	// are multiples of it.
	HeartbeatInterval document.Duration `toml:"heartbeat-interval"`
	// StopTimeout bounds the duration of a graceful shutdown.
	StopTimeout document.Duration `toml:"stop-timeout"`
	// TimelineEvents is the capacity of the entry's time line, in events.
	TimelineEvents int `toml:"timeline-events"`
}

// Default returns settings that hold the default value of each key that has one.
func Default() Settings {
	return Settings{
		Limits: Limits{
			HeaderBytes:       16 << 10,
			MemoryMB:          256,
			Connections:       2048,
			HeaderTimeout:     document.Duration(5 * time.Second),
			IdleTimeout:       document.Duration(2 * time.Minute),
			MaxDeadline:       document.Duration(10 * time.Minute),
			HeartbeatInterval: document.Duration(500 * time.Millisecond),
			StopTimeout:       document.Duration(11 * time.Minute),
			TimelineEvents:    20_000,
		},
	}
}

// minKeyLength is the minimum length of the peer and operator keys, in bytes.
const minKeyLength = 16

// Load reads and validates a settings file. Errors in its content have the type
// document.Errors.
func Load(file string) (Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(file, content)
}

// Parse decodes and validates the content of a settings file. The file name is used
// only in errors.
func Parse(file string, content []byte) (Settings, error) {
	settings := Default()
	if err := document.Decode(file, content, &settings); err != nil {
		return Settings{}, err
	}
	validation := validator{
		file:    file,
		content: content,
	}
	validation.validateSettings(settings)
	if err := validation.errs.Err(); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

// validator checks the settings of a file and collects the errors.
type validator struct {
	file    string
	content []byte
	errs    document.Errors
}

// report records an error in the value of a key, with the line of that key in the file.
func (v *validator) report(key, format string, args ...any) {
	v.errs = append(v.errs, &document.Error{
		File:    v.file,
		Line:    document.KeyLine(v.content, key),
		Key:     key,
		Problem: fmt.Sprintf(format, args...),
	})
}

// validateSettings checks all settings and reports the errors.
func (v *validator) validateSettings(settings Settings) {
	v.requireNonEmpty("name", settings.Name)
	v.requireNonEmpty("region", settings.Region)
	v.requireNonEmpty("failure-domain", settings.FailureDomain)
	v.requireAddress("callers-address", settings.CallersAddress)
	v.requireAddress("peers-address", settings.PeersAddress)
	v.requireAddress("operators-address", settings.OperatorsAddress)
	for i, peer := range settings.Peers {
		if _, err := netip.ParseAddrPort(peer); err != nil {
			v.report("peers", "peer %d: %q is no IP address with a port", i, peer)
		}
	}
	platformURL, err := url.Parse(settings.PlatformURL)
	if err != nil || platformURL.Scheme == "" || platformURL.Host == "" {
		v.report("platform", "%q is no URL such as http://10.0.0.1:7000", settings.PlatformURL)
	}
	if settings.Network.SOCKS5Proxy != "" {
		v.requireAddress("network.relay", settings.Network.SOCKS5Proxy)
	}
	v.requireMinLength("peer-key", settings.PeerKey)
	v.requireMinLength("operator-key", settings.OperatorKey)
	v.validateLimits(settings.Limits)
}

// validateLimits checks the settings in the table limits.
func (v *validator) validateLimits(l Limits) {
	v.requirePositive("limits.header-bytes", int64(l.HeaderBytes))
	v.requirePositive("limits.memory-mb", int64(l.MemoryMB))
	v.requirePositive("limits.connections", int64(l.Connections))
	v.requireMinDuration("limits.header-timeout", l.HeaderTimeout)
	v.requireMinDuration("limits.idle-timeout", l.IdleTimeout)
	v.requireMinDuration("limits.max-deadline", l.MaxDeadline)
	v.requireMinDuration("limits.heartbeat-interval", l.HeartbeatInterval)
	v.requireMinDuration("limits.stop-timeout", l.StopTimeout)
	v.requirePositive("limits.timeline-events", int64(l.TimelineEvents))
}

// requireNonEmpty reports an empty value.
func (v *validator) requireNonEmpty(key, value string) {
	if value == "" {
		v.report(key, "is missing")
	}
}

// requireAddress reports a value that is not an IP address with a port.
func (v *validator) requireAddress(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		v.report(key, "%q is no IP address with a port", value)
	}
}

// requireMinLength reports a peer or operator key shorter than minKeyLength.
func (v *validator) requireMinLength(key, value string) {
	if len(value) < minKeyLength {
		v.report(key, "is shorter than %d bytes", minKeyLength)
	}
}

// requirePositive reports a number that is not above 0.
func (v *validator) requirePositive(key string, value int64) {
	if value <= 0 {
		v.report(key, "must be above 0")
	}
}

// minDuration is the shortest valid duration. It is far above one nanosecond, so that a
// number without a unit, which would mean nanoseconds, is reported.
const minDuration = document.Duration(time.Millisecond)

// requireMinDuration reports a duration below minDuration.
func (v *validator) requireMinDuration(key string, value document.Duration) {
	if value < minDuration {
		v.report(key, "must be at least 1ms, written as a duration such as \"5s\"")
	}
}
