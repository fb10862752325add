// Package intent holds what operators publish: which regions, failure domains,
// links and services exist, where a service may run, how much traffic each
// region may carry, and which backend servers leave.
package intent

import (
	"slices"
	"time"

	"github.com/teaselstack/teaselstack/block"
	"github.com/teaselstack/teaselstack/document"
)

// Configuration is one published version, checked as a whole. It is never
// changed after Compile has returned it.
type Configuration struct {
	Version    uint64
	Deployment Deployment
	// Services is ordered by name.
	Services []*Service
	Drains   []Drain
	Blocks   block.Table

	services map[string]*Service
	servers  map[string]*BackendServer
	domains  map[string]*FailureDomain
	entries  map[string]*EntryVM
}

// Deployment is the document deployment.toml: the network and its objective.
type Deployment struct {
	Name           string          `toml:"name"`
	Objective      Objective       `toml:"objective"`
	Lookup         Lookup          `toml:"lookup"`
	Regions        []Region        `toml:"region"`
	FailureDomains []FailureDomain `toml:"failure-domain"`
	Entries        []EntryVM       `toml:"entry"`
	Links          []Link          `toml:"link"`
}

// Objective weighs the measures against each other; the weights are relative.
type Objective struct {
	Latency   float64 `toml:"latency"`
	Headroom  float64 `toml:"headroom"`
	DrainTime float64 `toml:"drain-time"`
}

// Lookup sets the answers that callers cache.
type Lookup struct {
	Lifetime document.Duration `toml:"lifetime"`
}

// Region is a group of failure domains near each other.
type Region struct {
	Name string `toml:"name"`
}

// FailureDomain is a set of VMs that can be cut off together.
type FailureDomain struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// EntryVM is the seat of one entry VM. A VM that replaces another takes its
// seat, under a higher incarnation.
type EntryVM struct {
	Name          string `toml:"name"`
	FailureDomain string `toml:"failure-domain"`
}

// Link joins two regions. Its rate holds each way, for all traffic together.
type Link struct {
	Between []string          `toml:"between"`
	Rate    document.BitRate  `toml:"rate"`
	Delay   document.Duration `toml:"delay"`
	// InteractiveReserve is the part of the rate, 0 to 1, that bulk never takes.
	InteractiveReserve float64 `toml:"interactive-reserve"`
}

// Class orders requests when room is short.
type Class string

// Classes of a service.
const (
	Interactive Class = "interactive"
	Bulk        Class = "bulk"
)

// Service is the document of one service.
type Service struct {
	Name  string `toml:"name"`
	Class Class  `toml:"class"`
	// Deadline bounds every request; a caller may name a shorter one.
	Deadline document.Duration `toml:"deadline"`
	// ServiceTime is how long a request usually holds its slot; 0 where it is
	// not known, which leaves out the checks that need it.
	ServiceTime document.Duration `toml:"service-time"`
	// Ramp is how long a cold backend server takes to its full slots.
	Ramp           document.Duration `toml:"ramp"`
	Regions        []ServiceRegion   `toml:"region"`
	BackendServers []BackendServer   `toml:"backend-server"`
}

// ServiceRegion lets a service run in a region, under caps.
type ServiceRegion struct {
	Name string `toml:"name"`
	// MaxRate caps all requests of the service in the region, in requests a second.
	MaxRate float64 `toml:"max-rate"`
	// ShiftRate caps those that other regions move here, in requests a second.
	ShiftRate float64 `toml:"shift-rate"`
}

// BackendServer serves one service.
type BackendServer struct {
	Name          string `toml:"name"`
	Address       string `toml:"address"`
	FailureDomain string `toml:"failure-domain"`
	// Slots is how many requests it runs at once.
	Slots int `toml:"slots"`

	// Service and Region are filled in by Compile.
	Service string `toml:"-"`
	Region  string `toml:"-"`
}

// DrainKind says what leaves.
type DrainKind string

// Things that can be drained.
const (
	DrainBackendServer DrainKind = "backend-server"
	DrainServiceRegion DrainKind = "service-region"
	DrainEntry         DrainKind = "entry"
)

// Drain is the document of one planned leave.
type Drain struct {
	Kind DrainKind `toml:"kind"`
	// Name is the backend server, the entry, or the region.
	Name string `toml:"name"`
	// Service is set for a service-region only.
	Service string `toml:"service"`
	// Since is when it was published.
	Since time.Time `toml:"since"`
	// Force publishes a drain that leaves no room.
	Force bool `toml:"force"`
}

// SharesDeployment reports whether the deployment was taken over from another
// configuration, or that from this one.
func (c *Configuration) SharesDeployment(other *Configuration) bool {
	own, theirs := c.Deployment.Entries, other.Deployment.Entries
	return len(own) > 0 && len(theirs) > 0 && &own[0] == &theirs[0]
}

// Service returns a service by name, or nil.
func (c *Configuration) Service(name string) *Service {
	return c.services[name]
}

// BackendServer returns a backend server by name, or nil.
func (c *Configuration) BackendServer(name string) *BackendServer {
	return c.servers[name]
}

// FailureDomain returns a failure domain by name, or nil.
func (c *Configuration) FailureDomain(name string) *FailureDomain {
	return c.domains[name]
}

// Entry returns an entry VM's seat by name, or nil.
func (c *Configuration) Entry(name string) *EntryVM {
	return c.entries[name]
}

// EntryCount returns how many entry VMs have their seat in a region.
func (c *Configuration) EntryCount(region string) int {
	count := 0
	for _, entry := range c.Deployment.Entries {
		if c.RegionOf(entry.FailureDomain) == region {
			count++
		}
	}
	return count
}

// RegionOf returns the region of a failure domain, or "".
func (c *Configuration) RegionOf(failureDomain string) string {
	if domain := c.domains[failureDomain]; domain != nil {
		return domain.Region
	}
	return ""
}

// Link returns the link between two regions, or nil.
func (c *Configuration) Link(from, to string) *Link {
	for i := range c.Deployment.Links {
		link := &c.Deployment.Links[i]
		if slices.Contains(link.Between, from) && slices.Contains(link.Between, to) && from != to {
			return link
		}
	}
	return nil
}

// Delay returns the one-way delay between two regions; 0 within one.
func (c *Configuration) Delay(from, to string) time.Duration {
	if link := c.Link(from, to); link != nil {
		return time.Duration(link.Delay)
	}
	return 0
}

// ServerDraining reports whether a backend server is to get no new work.
func (c *Configuration) ServerDraining(server *BackendServer) bool {
	for _, drain := range c.Drains {
		if drain.Covers(server) {
			return true
		}
	}
	return false
}

// EntryDraining reports whether an entry VM is to be left out of look-ups.
func (c *Configuration) EntryDraining(name string) bool {
	return slices.ContainsFunc(c.Drains, func(d Drain) bool {
		return d.Kind == DrainEntry && d.Name == name
	})
}

// Covers reports whether the drain takes a backend server out.
func (d Drain) Covers(server *BackendServer) bool {
	switch d.Kind {
	case DrainBackendServer:
		return d.Name == server.Name
	case DrainServiceRegion:
		return d.Name == server.Region && d.Service == server.Service
	}
	return false
}

// Region returns the caps of a region, or nil where the service may not run.
func (s *Service) Region(name string) *ServiceRegion {
	for i := range s.Regions {
		if s.Regions[i].Name == name {
			return &s.Regions[i]
		}
	}
	return nil
}
