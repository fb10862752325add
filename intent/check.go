package intent

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/teaselstack/teaselstack/document"
)

// Check compiles documents and adds what a publisher must know beyond
// Compile: drains that leave no room are faults unless forced, and caps that
// can't be met are warnings. An entry doesn't repeat these checks, so that it
// never refuses a version that was accepted.
func Check(version uint64, documents []Document) (*Configuration, document.Errors, error) {
	configuration, err := Compile(version, documents)
	if err != nil {
		return nil, nil, err
	}
	check := checker{
		configuration: configuration,
		documents:     documents,
	}
	for _, service := range configuration.Services {
		check.service(service)
	}
	for _, region := range configuration.Deployment.Regions {
		check.entries(region.Name)
	}
	return configuration, check.warnings, check.faults.Err()
}

// checker gathers what is wrong with a compiled configuration.
type checker struct {
	configuration *Configuration
	documents     []Document
	faults        document.Errors
	warnings      document.Errors
}

func (c *checker) service(service *Service) {
	file := ServicePrefix + service.Name + ".toml"
	for i, region := range service.Regions {
		key := fmt.Sprintf("region[%d]", i)
		room := c.configuration.Capacity(service, region.Name)
		if room.TotalSlots == 0 {
			c.warn(file, key+".name", "no backend server stands in region %q: its max-rate can't be carried", region.Name)
			continue
		}
		rate := room.RequestRate(service)
		if rate > 0 && region.MaxRate > rate {
			c.warn(file, key+".max-rate", "%g a second can't be carried: %d slots at service-time %s carry %.4g",
				region.MaxRate, room.UsableSlots, time.Duration(service.ServiceTime), rate)
		}
		c.regionRoom(service, region.Name, room)
	}
	if total := c.configuration.Capacity(service, ""); total.TotalSlots > 0 && total.UsableSlots == 0 {
		c.noRoom(c.drainsOf(service, ""), "leaves no backend server of service %q", service.Name)
	}
}

// regionRoom refuses drains of backend servers that together empty a region.
// A drain of the region itself is meant to, as long as another can take over.
func (c *checker) regionRoom(service *Service, region string, room Capacity) {
	if room.UsableSlots > 0 {
		return
	}
	drains := c.drainsOf(service, region)
	whole := slices.ContainsFunc(drains, func(d Drain) bool { return d.Kind == DrainServiceRegion })
	if !whole {
		c.noRoom(drains, "leaves no slot of service %q in region %q; drain the service-region instead", service.Name, region)
		return
	}
	shift := 0.0
	for _, other := range service.Regions {
		if c.configuration.Capacity(service, other.Name).UsableSlots > 0 {
			shift += other.ShiftRate
		}
	}
	if shift == 0 && c.configuration.Capacity(service, "").UsableSlots > 0 {
		c.noRoom(drains, "leaves no room: no other region of service %q has both slots and a shift-rate", service.Name)
	}
}

// entries refuses drains that leave a region without entry VMs, and warns of a
// failure domain without one, which a cut would leave unserved.
func (c *checker) entries(region string) {
	var drains []Drain
	left := 0
	for _, entry := range c.configuration.Deployment.Entries {
		if c.configuration.RegionOf(entry.FailureDomain) != region {
			continue
		}
		if !c.configuration.EntryDraining(entry.Name) {
			left++
			continue
		}
		drains = append(drains, c.entryDrain(entry.Name))
		if !c.served(entry.FailureDomain) {
			c.warn(c.drainFile(c.entryDrain(entry.Name)), "name", "leaves failure domain %q without an entry VM: a cut would leave it unserved", entry.FailureDomain)
		}
	}
	if left == 0 && len(drains) > 0 {
		c.noRoom(drains, "leaves region %q without an entry VM", region)
	}
}

func (c *checker) served(failureDomain string) bool {
	return slices.ContainsFunc(c.configuration.Deployment.Entries, func(e EntryVM) bool {
		return e.FailureDomain == failureDomain && !c.configuration.EntryDraining(e.Name)
	})
}

func (c *checker) entryDrain(name string) Drain {
	index := slices.IndexFunc(c.configuration.Drains, func(d Drain) bool {
		return d.Kind == DrainEntry && d.Name == name
	})
	return c.configuration.Drains[index]
}

// drainsOf returns the drains that take servers of a service out of a region,
// or of all regions for "".
func (c *checker) drainsOf(service *Service, region string) []Drain {
	return slices.DeleteFunc(slices.Clone(c.configuration.Drains), func(drain Drain) bool {
		return !slices.ContainsFunc(service.BackendServers, func(server BackendServer) bool {
			return drain.Covers(&server) && (region == "" || region == server.Region)
		})
	})
}

// noRoom blames the newest of the drains that together leave no room: it took
// the last of it. Without drains nothing is at fault.
func (c *checker) noRoom(drains []Drain, format string, args ...any) {
	if len(drains) == 0 {
		return
	}
	newest := slices.MaxFunc(drains, func(a, b Drain) int {
		if order := a.Since.Compare(b.Since); order != 0 {
			return order
		}
		return strings.Compare(a.Name, b.Name)
	})
	problem := fmt.Sprintf(format, args...)
	if newest.Force {
		c.warn(c.drainFile(newest), "name", "%s (forced)", problem)
		return
	}
	c.faults = append(c.faults, c.found(c.drainFile(newest), "name", problem+"; --force drains all the same"))
}

func (c *checker) warn(file, key, format string, args ...any) {
	c.warnings = append(c.warnings, c.found(file, key, fmt.Sprintf(format, args...)))
}

func (c *checker) found(file, key, problem string) *document.Error {
	line := 0
	for _, doc := range c.documents {
		if doc.Name == file {
			line = document.KeyLine(doc.Content, key)
		}
	}
	return &document.Error{
		File:    file,
		Line:    line,
		Key:     key,
		Problem: problem,
	}
}

// drainFile returns the name of the document of a drain.
func (c *checker) drainFile(drain Drain) string {
	for _, doc := range c.documents {
		var candidate Drain
		if strings.HasPrefix(doc.Name, DrainPrefix) && document.Decode(doc.Name, doc.Content, &candidate) == nil &&
			candidate.Kind == drain.Kind && candidate.Name == drain.Name && candidate.Service == drain.Service {
			return doc.Name
		}
	}
	return ""
}
