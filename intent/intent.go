// Package intent defines, compiles and checks the configuration that operators
// publish: the regions, failure domains, links and services, the regions in
// which a service may run with the traffic allowed in each, and the drains. An entry
// that runs with --platform uses package routing instead.
package intent

import (
	"slices"
	"time"

	"github.com/teaselstack/teaselstack/block"
	"github.com/teaselstack/teaselstack/document"
)

// Configuration is one version of the configuration, compiled from its documents.
// It is immutable once Compile or Recompile has returned it.
type Configuration struct {
	Version    uint64
	Deployment Deployment
	// Services is ordered by name.
	Services []*Service
	Drains   []Drain
	// Blocks maps the client blocks to regions.
	Blocks block.Table

	servicesByName map[string]*Service
	serversByName  map[string]*BackendServer
	domainsByName  map[string]*FailureDomain
	entriesByName  map[string]*EntryVM
}

// Deployment is the document deployment.toml: the network and the objective by
// which requests are placed in it.
type Deployment struct {
	Name           string          `toml:"name"`
	Objective      Objective       `toml:"objective"`
	Lookup         Lookup          `toml:"lookup"`
	Regions        []Region        `toml:"region"`
	FailureDomains []FailureDomain `toml:"failure-domain"`
	Entries        []EntryVM       `toml:"entry"`
	Links          []Link          `toml:"link"`
}

// Objective holds the relative weights of the terms of a placement's cost.
type Objective struct {
	// Latency is the weight of the one-way delay to the candidate, which package
	// steering divides by its latencyScale.
	Latency float64 `toml:"latency"`
	// Headroom is the weight of the candidate's utilization.
	Headroom float64 `toml:"headroom"`
	// DrainTime is the weight of a constant cost of candidates that are draining.
	DrainTime float64 `toml:"drain-time"`
}

// Lookup configures look-ups.
type Lookup struct {
	// Lifetime is how long a caller may cache the answer to a look-up.
	Lifetime document.Duration `toml:"lifetime"`
}

// Region is a group of failure domains that are close to each other.
type Region struct {
	Name string `toml:"name"`
}

// FailureDomain is a set of VMs that a single failure, such as a network
// partition, can take out together.
type FailureDomain struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// EntryVM is an entry VM as the deployment declares it. A VM that replaces another
// takes its name, with a higher incarnation.
type EntryVM struct {
	Name          string `toml:"name"`
	FailureDomain string `toml:"failure-domain"`
}

// Link is the network link between two regions.
type Link struct {
	// Between names the two regions.
	Between []string `toml:"between"`
	// Rate is the bandwidth in each direction, which all traffic in that direction
	// shares.
	Rate document.BitRate `toml:"rate"`
	// Delay is the one-way delay.
	Delay document.Duration `toml:"delay"`
	// InteractiveReserve is the fraction of the rate, from 0 to 1, that bulk
	// traffic never uses. 0 stands for defaultInteractiveReserve.
	InteractiveReserve float64 `toml:"interactive-reserve"`
}

// Class is the priority of a service's requests when slots or link bandwidth are
// scarce.
type Class string

// The classes of a service. Bulk services are for uploads and the like. Their requests
// usually go after those of interactive services.
const (
	Interactive Class = "interactive"
	Bulk        Class = "bulk"
)

// Service is a document services/NAME.toml: one service and its backend servers.
type Service struct {
	Name string `toml:"name"`
	// Class is Interactive unless the document sets another.
	Class Class `toml:"class"`
	// Deadline limits the duration of each request. A caller may ask for a shorter
	// one.
	Deadline document.Duration `toml:"deadline"`
	// ServiceTime is how long a request usually occupies a slot. If it is 0, it is
	// unknown, and the checks that need it are skipped.
	ServiceTime document.Duration `toml:"service-time"`
	// Ramp is how long a backend server takes to warm up, during which its usable slots
	// rise from one to all. A server warms up when it is new, when its drain ends and
	// when it recovers from a failure. Ramp is also how long a shift of requests to
	// another region takes to reach the full ShiftRate.
	Ramp           document.Duration `toml:"ramp"`
	Regions        []ServiceRegion   `toml:"region"`
	BackendServers []BackendServer   `toml:"backend-server"`
}

// ServiceRegion allows a service to run in a region and limits its traffic there.
type ServiceRegion struct {
	Name string `toml:"name"`
	// MaxRate limits all requests of the service in the region, in requests per
	// second.
	MaxRate float64 `toml:"max-rate"`
	// ShiftRate limits the requests that other regions shift to this one, in
	// requests per second.
	ShiftRate float64 `toml:"shift-rate"`
}

// BackendServer is one server of a service.
type BackendServer struct {
	Name string `toml:"name"`
	// Address is the IP address and port.
	Address       string `toml:"address"`
	FailureDomain string `toml:"failure-domain"`
	// Slots is the number of requests that the server runs at once.
	Slots int `toml:"slots"`

	// Service and Region are set by Compile.
	Service string `toml:"-"`
	Region  string `toml:"-"`
}

// DrainKind is what a drain takes out of service.
type DrainKind string

// The kinds of drains.
const (
	DrainBackendServer DrainKind = "backend-server"
	DrainServiceRegion DrainKind = "service-region"
	DrainEntry         DrainKind = "entry"
)

// Drain is a document in drains/: the planned removal of a backend server or an
// entry VM, or of a service from a region.
type Drain struct {
	Kind DrainKind `toml:"kind"`
	// Name is the name of the backend server, entry VM or region.
	Name string `toml:"name"`
	// Service is set only for a drain of kind service-region.
	Service string `toml:"service"`
	// Since is the time at which the drain was published.
	Since time.Time `toml:"since"`
	// Force allows the drain even if it leaves no capacity.
	Force bool `toml:"force"`
}

// SharesDeployment reports whether both configurations hold the same Deployment in
// memory, because one was recompiled from the other.
func (c *Configuration) SharesDeployment(other *Configuration) bool {
	ownEntries, otherEntries := c.Deployment.Entries, other.Deployment.Entries
	return len(ownEntries) > 0 && len(otherEntries) > 0 && &ownEntries[0] == &otherEntries[0]
}

// Service returns the service with a name, or nil.
func (c *Configuration) Service(name string) *Service {
	return c.servicesByName[name]
}

// BackendServer returns the backend server with a name, or nil.
func (c *Configuration) BackendServer(name string) *BackendServer {
	return c.serversByName[name]
}

// FailureDomain returns the failure domain with a name, or nil.
func (c *Configuration) FailureDomain(name string) *FailureDomain {
	return c.domainsByName[name]
}

// Entry returns the entry VM with a name, or nil.
func (c *Configuration) Entry(name string) *EntryVM {
	return c.entriesByName[name]
}

// EntryCount returns the number of entry VMs in a region, including those that are
// draining.
func (c *Configuration) EntryCount(region string) int {
	count := 0
	for _, entry := range c.Deployment.Entries {
		if c.RegionOf(entry.FailureDomain) == region {
			count++
		}
	}
	return count
}

// RegionOf returns the region of a failure domain, or "" if the domain doesn't
// exist.
func (c *Configuration) RegionOf(failureDomain string) string {
	if domain := c.domainsByName[failureDomain]; domain != nil {
		return domain.Region
	}
	return ""
}

// Link returns the link between two regions, given in either order, or nil.
func (c *Configuration) Link(from, to string) *Link {
	for i := range c.Deployment.Links {
		link := &c.Deployment.Links[i]
		if slices.Contains(link.Between, from) && slices.Contains(link.Between, to) && from != to {
			return link
		}
	}
	return nil
}

// Delay returns the one-way delay of the link between two regions, or 0 without
// such a link, as within one region.
func (c *Configuration) Delay(from, to string) time.Duration {
	if link := c.Link(from, to); link != nil {
		return time.Duration(link.Delay)
	}
	return 0
}

// ServerDraining reports whether a drain covers a backend server, so that it must
// get no new requests.
func (c *Configuration) ServerDraining(server *BackendServer) bool {
	for _, drain := range c.Drains {
		if drain.Covers(server) {
			return true
		}
	}
	return false
}

// EntryDraining reports whether an entry VM is drained, so that look-ups must not
// return it.
func (c *Configuration) EntryDraining(name string) bool {
	return slices.ContainsFunc(c.Drains, func(d Drain) bool {
		return d.Kind == DrainEntry && d.Name == name
	})
}

// Covers reports whether the drain takes a backend server out of service.
func (d Drain) Covers(server *BackendServer) bool {
	switch d.Kind {
	case DrainBackendServer:
		return d.Name == server.Name
	case DrainServiceRegion:
		return d.Name == server.Region && d.Service == server.Service
	}
	return false
}

// Region returns the limits of the service in a region, or nil if it may not run
// there.
func (s *Service) Region(name string) *ServiceRegion {
	for i := range s.Regions {
		if s.Regions[i].Name == name {
			return &s.Regions[i]
		}
	}
	return nil
}
