package intent

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/teaselstack/teaselstack/document"
)

// Check compiles documents and checks that the drains leave capacity. A drain that
// leaves none is an error, or a warning if it is forced. Warnings are also
// returned for a max-rate above the capacity of its region, a region without backend
// servers of a service, and a failure domain that drains leave without entry VMs.
// Publishers call Check, whereas entries only compile, so that an entry never rejects
// a published version for lack of capacity.
func Check(version uint64, documents []Document) (*Configuration, document.Errors, error) {
	configuration, err := Compile(version, documents)
	if err != nil {
		return nil, nil, err
	}
	c := checker{
		configuration: configuration,
		documents:     documents,
	}
	for _, service := range configuration.Services {
		c.checkService(service)
	}
	for _, region := range configuration.Deployment.Regions {
		c.checkEntries(region.Name)
	}
	return configuration, c.warnings, c.errs.Err()
}

// checker collects the errors and warnings of a compiled configuration.
type checker struct {
	configuration *Configuration
	documents     []Document
	errs          document.Errors
	warnings      document.Errors
}

// checkService checks the capacity of a service in each region and in total.
func (c *checker) checkService(service *Service) {
	file := ServicePrefix + service.Name + ".toml"
	for i, region := range service.Regions {
		key := fmt.Sprintf("region[%d]", i)
		capacity := c.configuration.Capacity(service, region.Name)
		if capacity.TotalSlots == 0 {
			c.addWarning(file, key+".name", "no backend server stands in region %q: its max-rate can't be carried", region.Name)
			continue
		}
		rate := capacity.RequestRate(service)
		if rate > 0 && region.MaxRate > rate {
			c.addWarning(file, key+".max-rate", "%g a second can't be carried: %d slots at service-time %s carry %.4g",
				region.MaxRate, capacity.UsableSlots, time.Duration(service.ServiceTime), rate)
		}
		c.checkRegionCapacity(service, region.Name, capacity)
	}
	if total := c.configuration.Capacity(service, ""); total.TotalSlots > 0 && total.UsableSlots == 0 {
		c.reportNoCapacity(c.drainsOf(service, ""), "leaves no backend server of service %q", service.Name)
	}
}

// checkRegionCapacity reports drains of backend servers that together leave a
// service no usable slot in a region. A drain of the service from the whole region
// is allowed if another region has usable slots and accepts shifted requests. If no
// region has usable slots, checkService reports that, and checkRegionCapacity does not
// report the drain of the service from this region.
func (c *checker) checkRegionCapacity(service *Service, region string, capacity Capacity) {
	if capacity.UsableSlots > 0 {
		return
	}
	drains := c.drainsOf(service, region)
	regionDrained := slices.ContainsFunc(drains, func(d Drain) bool { return d.Kind == DrainServiceRegion })
	if !regionDrained {
		c.reportNoCapacity(drains, "leaves no slot of service %q in region %q; drain the service-region instead", service.Name, region)
		return
	}
	shiftRate := 0.0
	for _, other := range service.Regions {
		if c.configuration.Capacity(service, other.Name).UsableSlots > 0 {
			shiftRate += other.ShiftRate
		}
	}
	if shiftRate == 0 && c.configuration.Capacity(service, "").UsableSlots > 0 {
		c.reportNoCapacity(drains, "leaves no room: no other region of service %q has both slots and a shift-rate", service.Name)
	}
}

// checkEntries reports drains that leave a region without entry VMs. It warns of
// drains that leave a failure domain without one, since a network partition would
// then leave that domain without service.
func (c *checker) checkEntries(region string) {
	var drains []Drain
	remaining := 0
	for _, entry := range c.configuration.Deployment.Entries {
		if c.configuration.RegionOf(entry.FailureDomain) != region {
			continue
		}
		if !c.configuration.EntryDraining(entry.Name) {
			remaining++
			continue
		}
		drains = append(drains, c.drainOfEntry(entry.Name))
		if !c.hasServingEntry(entry.FailureDomain) {
			c.addWarning(c.drainDocument(c.drainOfEntry(entry.Name)), "name", "leaves failure domain %q without an entry VM: a cut would leave it unserved", entry.FailureDomain)
		}
	}
	if remaining == 0 && len(drains) > 0 {
		c.reportNoCapacity(drains, "leaves region %q without an entry VM", region)
	}
}

// hasServingEntry reports whether a failure domain has an entry VM that isn't
// draining.
func (c *checker) hasServingEntry(failureDomain string) bool {
	return slices.ContainsFunc(c.configuration.Deployment.Entries, func(e EntryVM) bool {
		return e.FailureDomain == failureDomain && !c.configuration.EntryDraining(e.Name)
	})
}

// drainOfEntry returns the drain of an entry VM. It panics if the VM isn't drained.
func (c *checker) drainOfEntry(name string) Drain {
	index := slices.IndexFunc(c.configuration.Drains, func(d Drain) bool {
		return d.Kind == DrainEntry && d.Name == name
	})
	return c.configuration.Drains[index]
}

// drainsOf returns the drains that cover servers of a service in a region, or in
// any region if region is empty.
func (c *checker) drainsOf(service *Service, region string) []Drain {
	return slices.DeleteFunc(slices.Clone(c.configuration.Drains), func(drain Drain) bool {
		return !slices.ContainsFunc(service.BackendServers, func(server BackendServer) bool {
			return drain.Covers(&server) && (region == "" || region == server.Region)
		})
	})
}

// reportNoCapacity reports that drains together leave no capacity. The error is located
// at the newest drain, which removed the last capacity, and is only a warning if that
// drain is forced. Without drains, reportNoCapacity does nothing.
func (c *checker) reportNoCapacity(drains []Drain, format string, args ...any) {
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
		c.addWarning(c.drainDocument(newest), "name", "%s (forced)", problem)
		return
	}
	c.errs = append(c.errs, c.newError(c.drainDocument(newest), "name", problem+"; --force drains all the same"))
}

func (c *checker) addWarning(file, key, format string, args ...any) {
	c.warnings = append(c.warnings, c.newError(file, key, fmt.Sprintf(format, args...)))
}

// newError returns an error at a key of a document, with the line of the key.
func (c *checker) newError(file, key, problem string) *document.Error {
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

// drainDocument returns the name of the document that defines a drain, or "" if no
// document does.
func (c *checker) drainDocument(drain Drain) string {
	for _, doc := range c.documents {
		var candidate Drain
		if strings.HasPrefix(doc.Name, DrainPrefix) && document.Decode(doc.Name, doc.Content, &candidate) == nil &&
			candidate.Kind == drain.Kind && candidate.Name == drain.Name && candidate.Service == drain.Service {
			return doc.Name
		}
	}
	return ""
}
