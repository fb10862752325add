package relay

import (
	"strings"
	"time"

	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/standin/site"
)

// Location is the network location of one end of a connection.
type Location struct {
	Region string
	// FailureDomain is empty for callers.
	FailureDomain string
}

// PlatformDomain is the name of the failure domain that contains only the
// platform's service.
const PlatformDomain = "platform"

// callerPrefix precedes the name of the region in the SOCKS user name of callers.
const callerPrefix = "client@"

// CallerUser returns the SOCKS user name of callers in a region.
func CallerUser(region string) string {
	return callerPrefix + region
}

// isCaller reports whether the location is that of callers.
func (l Location) isCaller() bool {
	return l.FailureDomain == ""
}

// isWithin reports whether the location lies in the failure domain or the region
// with the given name. The platform lies only in PlatformDomain, so that a partition
// of its region does not affect it.
func (l Location) isWithin(name string) bool {
	return name == l.FailureDomain || name == l.Region && l.FailureDomain != PlatformDomain
}

// Topology maps addresses and SOCKS users to locations, and gives the delays
// between locations.
type Topology struct {
	configuration *intent.Configuration
	settings      site.Settings
	// locationByAddress holds the location of each host and port of the site.
	locationByAddress map[string]Location
}

// NewTopology returns the topology of a site.
func NewTopology(loaded *site.Site) *Topology {
	topology := &Topology{
		configuration:     loaded.Configuration,
		settings:          loaded.Settings,
		locationByAddress: make(map[string]Location),
	}
	topology.locationByAddress[loaded.Settings.PlatformAddress] = topology.platformLocation()
	for _, entry := range loaded.Entries {
		location := topology.domainLocation(entry.FailureDomain)
		for _, address := range []string{entry.CallersAddress, entry.PeersAddress, entry.OperatorsAddress} {
			topology.locationByAddress[address] = location
		}
	}
	for _, service := range loaded.Configuration.Services {
		for _, server := range service.BackendServers {
			topology.locationByAddress[server.Address] = topology.domainLocation(server.FailureDomain)
		}
	}
	return topology
}

// platformLocation returns the location of the platform's service.
func (t *Topology) platformLocation() Location {
	return Location{
		Region:        t.settings.PlatformRegion,
		FailureDomain: PlatformDomain,
	}
}

// domainLocation returns the location of a failure domain. Its region is empty if
// there is no such domain.
func (t *Topology) domainLocation(name string) Location {
	return Location{
		Region:        t.configuration.RegionOf(name),
		FailureDomain: name,
	}
}

// SourceLocation returns the location of a SOCKS user. The user name is either the
// name of a failure domain or a result of CallerUser. SourceLocation returns false for
// an unknown failure domain, but does not check the region of a caller.
func (t *Topology) SourceLocation(user string) (Location, bool) {
	if region, isCaller := strings.CutPrefix(user, callerPrefix); isCaller {
		return Location{
			Region: region,
		}, true
	}
	location := t.domainLocation(user)
	return location, location.Region != ""
}

// TargetLocation returns the location of a host and port. It returns false if the
// address does not belong to the site.
func (t *Topology) TargetLocation(address string) (Location, bool) {
	location, known := t.locationByAddress[address]
	return location, known
}

// Delay returns the one-way delay between two locations. Between regions it is the
// delay of their link, if there is one, and between failure domains of the same region
// Settings.FailureDomainDelay. If either end is a caller, it is the delay of the link
// between their regions, if there is one, plus Settings.CallerDelay.
func (t *Topology) Delay(from, to Location) time.Duration {
	delay := t.configuration.Delay(from.Region, to.Region)
	switch {
	case from.isCaller() || to.isCaller():
		delay += time.Duration(t.settings.CallerDelay)
	case from.Region == to.Region && from.FailureDomain != to.FailureDomain:
		delay = time.Duration(t.settings.FailureDomainDelay)
	}
	return delay
}
