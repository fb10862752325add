package relay

import (
	"strings"
	"time"

	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/standin/site"
)

// Location is where an end of a connection stands.
type Location struct {
	Region string
	// FailureDomain is empty for clients.
	FailureDomain string
}

// PlatformDomain is the failure domain in which the platform's service stands
// by itself.
const PlatformDomain = "platform"

// clientPrefix begins the user name of callers; their region follows.
const clientPrefix = "client@"

// ClientUser returns the SOCKS user name of callers in a region.
func ClientUser(region string) string {
	return clientPrefix + region
}

// client reports whether the place is that of callers.
func (p Location) client() bool {
	return p.FailureDomain == ""
}

// is reports whether name is the place's failure domain or region.
func (p Location) is(name string) bool {
	return name == p.FailureDomain || name == p.Region && p.FailureDomain != PlatformDomain
}

// Topology knows where each address stands and how far places are apart.
type Topology struct {
	configuration *intent.Configuration
	settings      site.Settings
	addresses     map[string]Location
}

// NewTopology returns the topology of a site.
func NewTopology(loaded *site.Site) *Topology {
	topology := &Topology{
		configuration: loaded.Configuration,
		settings:      loaded.Settings,
		addresses:     make(map[string]Location),
	}
	topology.addresses[loaded.Settings.PlatformAddress] = topology.platform()
	for _, entry := range loaded.Entries {
		place := topology.domain(entry.FailureDomain)
		for _, address := range []string{entry.CallersAddress, entry.PeersAddress, entry.OperatorsAddress} {
			topology.addresses[address] = place
		}
	}
	for _, service := range loaded.Configuration.Services {
		for _, server := range service.BackendServers {
			topology.addresses[server.Address] = topology.domain(server.FailureDomain)
		}
	}
	return topology
}

func (t *Topology) platform() Location {
	return Location{
		Region:        t.settings.PlatformRegion,
		FailureDomain: PlatformDomain,
	}
}

func (t *Topology) domain(name string) Location {
	return Location{
		Region:        t.configuration.RegionOf(name),
		FailureDomain: name,
	}
}

// SourceLocation returns the place of a SOCKS user: a failure domain or a client's
// region.
func (t *Topology) SourceLocation(user string) (Location, bool) {
	if region, client := strings.CutPrefix(user, clientPrefix); client {
		return Location{
			Region: region,
		}, true
	}
	place := t.domain(user)
	return place, place.Region != ""
}

// TargetLocation returns the place of an address.
func (t *Topology) TargetLocation(address string) (Location, bool) {
	place, known := t.addresses[address]
	return place, known
}

// Delay returns the one-way delay between two places.
func (t *Topology) Delay(from, to Location) time.Duration {
	delay := t.configuration.Delay(from.Region, to.Region)
	switch {
	case from.client() || to.client():
		delay += time.Duration(t.settings.ClientDelay)
	case from.Region == to.Region && from.FailureDomain != to.FailureDomain:
		delay = time.Duration(t.settings.FailureDomainDelay)
	}
	return delay
}
