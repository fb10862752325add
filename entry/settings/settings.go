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
	// Name is the entry's name in the deployment. The process claims the seat of that
	// name.
	Name string `toml:"name"`
	// Region and FailureDomain say where the entry VM runs.
	Region        string `toml:"region"`
	FailureDomain string `toml:"failure-domain"`
	// CallersAddress, PeersAddress and OperatorsAddress are the IP addresses and ports
	// on which the entry listens for callers, peers and operators, respectively.
	CallersAddress   string `toml:"callers-address"`
	PeersAddress     string `toml:"peers-address"`
	OperatorsAddress string `toml:"operators-address"`
	// PlatformURL is the base URL of the platform.
	PlatformURL string `toml:"platform"`
	// Peers are the addresses of the peers to contact first. The entry learns the
	// addresses of the other peers from them.
	Peers []string `toml:"peers"`
	// PeerKey and OperatorKey authenticate the calls of peers and operators.
	PeerKey     string  `toml:"peer-key"`
	OperatorKey string  `toml:"operator-key"`
	Network     Network `toml:"network"`
	Limits      Limits  `toml:"limits"`
}

// Network sets how an entry opens connections.
type Network struct {
	// Relay is the address of a SOCKS5 proxy for all connections that the entry opens;
	// if empty, it connects directly.
	Relay string `toml:"relay"`
}

// Limits bounds an entry's resources and waiting times.
type Limits struct {
	// HeaderBytes bounds the total size of a request's URI, host and headers, and the
	// size of a look-up request's message.
	HeaderBytes int `toml:"header-bytes"`
	// HeaderTimeout bounds the time to read a request's header.
	HeaderTimeout document.Duration `toml:"header-timeout"`
	// IdleTimeout is how long an idle connection of a caller, peer or operator is kept.
	IdleTimeout document.Duration `toml:"idle-timeout"`
	// MaxDeadline is the longest deadline of a request; a longer one is shortened to it.
	MaxDeadline document.Duration `toml:"max-deadline"`
	// HeartbeatInterval is the time between two heartbeats to a peer.
	HeartbeatInterval document.Duration `toml:"heartbeat-interval"`
	// StopTimeout bounds a graceful shutdown.
	StopTimeout document.Duration `toml:"stop-timeout"`
	// TimelineEvents is the number of events that the entry's time line holds.
	TimelineEvents int `toml:"timeline-events"`
}

// Default returns the values of settings that a file leaves out.
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

// minKeyLength is the minimum length of the peer and operator keys, in bytes.
const minKeyLength = 16

// Load reads and validates a settings file. Errors in its content are document.Errors.
func Load(file string) (Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(file, content)
}

// Parse decodes and validates the content of a settings file. The file name appears in
// errors only.
func Parse(file string, content []byte) (Settings, error) {
	settings := Default()
	if err := document.Decode(file, content, &settings); err != nil {
		return Settings{}, err
	}
	validation := validator{
		file:    file,
		content: content,
	}
	validation.validate(settings)
	if err := validation.errs.Err(); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

// validator collects the errors in a settings file.
type validator struct {
	file    string
	content []byte
	errs    document.Errors
}

// report adds an error at the line of a key in the file.
func (v *validator) report(key, format string, args ...any) {
	v.errs = append(v.errs, &document.Error{
		File:    v.file,
		Line:    document.KeyLine(v.content, key),
		Key:     key,
		Problem: fmt.Sprintf(format, args...),
	})
}

// validate checks all settings.
func (v *validator) validate(settings Settings) {
	v.required("name", settings.Name)
	v.required("region", settings.Region)
	v.required("failure-domain", settings.FailureDomain)
	v.address("callers-address", settings.CallersAddress)
	v.address("peers-address", settings.PeersAddress)
	v.address("operators-address", settings.OperatorsAddress)
	for i, peer := range settings.Peers {
		if _, err := netip.ParseAddrPort(peer); err != nil {
			v.report("peers", "peer %d: %q is no IP address with a port", i, peer)
		}
	}
	platformURL, err := url.Parse(settings.PlatformURL)
	if err != nil || platformURL.Scheme == "" || platformURL.Host == "" {
		v.report("platform", "%q is no URL such as http://10.0.0.1:7000", settings.PlatformURL)
	}
	if settings.Network.Relay != "" {
		v.address("network.relay", settings.Network.Relay)
	}
	v.key("peer-key", settings.PeerKey)
	v.key("operator-key", settings.OperatorKey)
	v.limits(settings.Limits)
}

// limits checks the table of limits.
func (v *validator) limits(l Limits) {
	v.positive("limits.header-bytes", int64(l.HeaderBytes))
	v.duration("limits.header-timeout", l.HeaderTimeout)
	v.duration("limits.idle-timeout", l.IdleTimeout)
	v.duration("limits.max-deadline", l.MaxDeadline)
	v.duration("limits.heartbeat-interval", l.HeartbeatInterval)
	v.duration("limits.stop-timeout", l.StopTimeout)
	v.positive("limits.timeline-events", int64(l.TimelineEvents))
}

// required reports an empty value.
func (v *validator) required(key, value string) {
	if value == "" {
		v.report(key, "is missing")
	}
}

// address reports a value that is not an IP address with a port.
func (v *validator) address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		v.report(key, "%q is no IP address with a port", value)
	}
}

// key reports a peer or operator key that is too short.
func (v *validator) key(key, value string) {
	if len(value) < minKeyLength {
		v.report(key, "is shorter than %d bytes", minKeyLength)
	}
}

// positive reports a number that is not positive.
func (v *validator) positive(key string, value int64) {
	if value <= 0 {
		v.report(key, "must be above 0")
	}
}

// minDuration is the shortest valid duration. It catches a number without a unit, which
// would mean nanoseconds.
const minDuration = document.Duration(time.Millisecond)

// duration reports a duration below minDuration.
func (v *validator) duration(key string, value document.Duration) {
	if value < minDuration {
		v.report(key, "must be at least 1ms, written as a duration such as \"5s\"")
	}
}
