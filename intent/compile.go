package intent

import (
	"fmt"
	"net/netip"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/block"
	"github.com/teaselstack/teaselstack/document"
)

// Names of the published documents.
const (
	// DeploymentDocument holds the network.
	DeploymentDocument = "deployment.toml"
	// ServicePrefix begins the names of services' documents.
	ServicePrefix = "services/"
	// DrainPrefix begins the names of drains' documents.
	DrainPrefix = "drains/"
	// ClientBlocksPrefix begins the names of lists of client blocks.
	ClientBlocksPrefix = "client-blocks/"
)

// Defaults of values that a document may leave out.
const (
	DefaultLookupLifetime = 5 * time.Second
	DefaultDeadline       = 30 * time.Second
	DefaultRamp           = 10 * time.Second
	defaultReserve        = 0.2
)

// Document is one published file.
type Document struct {
	Name    string
	Content []byte
}

// compiler gathers the faults of one set of documents.
type compiler struct {
	configuration *Configuration
	faults        document.Errors
	// file and content are the document at hand.
	file    string
	content []byte
	kept    kept
	blocks  blockCollector
}

// Compile decodes documents, checks them as a whole, and returns the
// configuration they make. Every fault found is in the error, a
// document.Errors.
func Compile(version uint64, documents []Document) (*Configuration, error) {
	return Recompile(nil, nil, version, documents)
}

// rank puts the deployment before what refers to it.
func rank(name string) string {
	switch {
	case name == DeploymentDocument:
		return "0"
	case strings.HasPrefix(name, DrainPrefix):
		return "2"
	}
	return "1"
}

func (c *compiler) document(doc Document) {
	switch {
	case doc.Name == DeploymentDocument:
		c.deployment()
	case strings.HasPrefix(doc.Name, ServicePrefix):
		c.service()
	case strings.HasPrefix(doc.Name, DrainPrefix):
		c.drain()
	case strings.HasPrefix(doc.Name, ClientBlocksPrefix):
		c.clientBlocks()
	default:
		c.fault("", "is neither %s nor under %s, %s or %s",
			DeploymentDocument, ServicePrefix, DrainPrefix, ClientBlocksPrefix)
	}
}

// fault records a problem at a key of the document at hand.
func (c *compiler) fault(key, format string, args ...any) {
	c.faults = append(c.faults, &document.Error{
		File:    c.file,
		Line:    document.KeyLine(c.content, key),
		Key:     key,
		Problem: fmt.Sprintf(format, args...),
	})
}

// decode reads the document at hand and reports whether it could.
func (c *compiler) decode(target any) bool {
	err := document.Decode(c.file, c.content, target)
	if err == nil {
		return true
	}
	var faults document.Errors
	if errors.As(err, &faults) {
		c.faults = append(c.faults, faults...)
	}
	return false
}

func (c *compiler) deployment() {
	deployment := &c.configuration.Deployment
	if !c.decode(deployment) {
		return
	}
	if deployment.Name == "" {
		c.fault("name", "is missing")
	}
	if deployment.Lookup.Lifetime == 0 {
		deployment.Lookup.Lifetime = document.Duration(DefaultLookupLifetime)
	}
	objective := deployment.Objective
	if objective.Latency < 0 || objective.Headroom < 0 || objective.DrainTime < 0 {
		c.fault("objective", "weights must not be negative")
	}
	if objective.Latency+objective.Headroom+objective.DrainTime == 0 {
		c.fault("objective", "no weight is above 0")
	}
	c.regions()
	c.failureDomains()
	c.entries()
	c.links()
}

func (c *compiler) regions() {
	seen := make(map[string]bool)
	for i, region := range c.configuration.Deployment.Regions {
		key := fmt.Sprintf("region[%d].name", i)
		if region.Name == "" || seen[region.Name] {
			c.fault(key, "%q is missing or stands twice", region.Name)
		}
		seen[region.Name] = true
	}
}

func (c *compiler) knownRegion(name string) bool {
	return slices.ContainsFunc(c.configuration.Deployment.Regions, func(r Region) bool {
		return r.Name == name
	})
}

func (c *compiler) failureDomains() {
	domains := c.configuration.Deployment.FailureDomains
	for i := range domains {
		domain := &domains[i]
		if domain.Name == "" || c.configuration.domains[domain.Name] != nil {
			c.fault(fmt.Sprintf("failure-domain[%d].name", i), "%q is missing or stands twice", domain.Name)
		}
		if !c.knownRegion(domain.Region) {
			c.fault(fmt.Sprintf("failure-domain[%d].region", i), "region %q does not exist", domain.Region)
		}
		c.configuration.domains[domain.Name] = domain
	}
}

func (c *compiler) entries() {
	entries := c.configuration.Deployment.Entries
	for i := range entries {
		entry := &entries[i]
		if entry.Name == "" || c.configuration.entries[entry.Name] != nil {
			c.fault(fmt.Sprintf("entry[%d].name", i), "%q is missing or stands twice", entry.Name)
		}
		if c.configuration.domains[entry.FailureDomain] == nil {
			c.fault(fmt.Sprintf("entry[%d].failure-domain", i), "failure domain %q does not exist", entry.FailureDomain)
		}
		c.configuration.entries[entry.Name] = entry
	}
	if len(entries) == 0 {
		c.fault("entry", "no entry VM is named")
	}
}

func (c *compiler) links() {
	links := c.configuration.Deployment.Links
	for i := range links {
		link := &links[i]
		key := fmt.Sprintf("link[%d]", i)
		if len(link.Between) != 2 || link.Between[0] == link.Between[1] {
			c.fault(key+".between", "must name two regions")
			continue
		}
		for _, name := range link.Between {
			if !c.knownRegion(name) {
				c.fault(key+".between", "region %q does not exist", name)
			}
		}
		if c.configuration.Link(link.Between[0], link.Between[1]) != link {
			c.fault(key+".between", "the link stands twice")
		}
		if link.Rate == 0 {
			c.fault(key+".rate", "is missing")
		}
		if link.InteractiveReserve < 0 || link.InteractiveReserve >= 1 {
			c.fault(key+".interactive-reserve", "must be at least 0 and below 1")
		}
		if link.InteractiveReserve == 0 {
			link.InteractiveReserve = defaultReserve
		}
	}
}

func (c *compiler) service() {
	service := &Service{}
	if !c.decode(service) {
		return
	}
	base := strings.TrimSuffix(path.Base(c.file), ".toml")
	if service.Name != base {
		c.fault("name", "%q differs from the document's name %q", service.Name, base)
	}
	if service.Class == "" {
		service.Class = Interactive
	}
	if service.Class != Interactive && service.Class != Bulk {
		c.fault("class", "%q is neither %s nor %s", service.Class, Interactive, Bulk)
	}
	if service.Deadline == 0 {
		service.Deadline = document.Duration(DefaultDeadline)
	}
	if service.Ramp == 0 {
		service.Ramp = document.Duration(DefaultRamp)
	}
	if service.ServiceTime > service.Deadline {
		c.fault("service-time", "%s contradicts deadline %s: it must not be longer",
			time.Duration(service.ServiceTime), time.Duration(service.Deadline))
	}
	c.serviceRegions(service)
	c.backendServers(service)
	c.addService(service)
}

func (c *compiler) addService(service *Service) {
	c.configuration.services[service.Name] = service
	c.configuration.Services = append(c.configuration.Services, service)
}

func (c *compiler) serviceRegions(service *Service) {
	if len(service.Regions) == 0 {
		c.fault("region", "the service may run in no region")
	}
	for i, region := range service.Regions {
		key := fmt.Sprintf("region[%d]", i)
		if !c.knownRegion(region.Name) {
			c.fault(key+".name", "region %q does not exist", region.Name)
		}
		if service.Region(region.Name) != &service.Regions[i] {
			c.fault(key+".name", "region %q stands twice", region.Name)
		}
		if region.MaxRate <= 0 {
			c.fault(key+".max-rate", "must be above 0 requests a second")
		}
		if region.ShiftRate < 0 || region.ShiftRate > region.MaxRate {
			c.fault(key+".shift-rate", "%g contradicts max-rate %g: it must be between 0 and max-rate",
				region.ShiftRate, region.MaxRate)
		}
	}
}

func (c *compiler) backendServers(service *Service) {
	for i := range service.BackendServers {
		server := &service.BackendServers[i]
		key := fmt.Sprintf("backend-server[%d]", i)
		if server.Name == "" || c.configuration.servers[server.Name] != nil {
			c.fault(key+".name", "%q is missing or stands twice", server.Name)
		}
		if _, err := netip.ParseAddrPort(server.Address); err != nil {
			c.fault(key+".address", "%q is no IP address with a port", server.Address)
		}
		if server.Slots <= 0 {
			c.fault(key+".slots", "must be above 0")
		}
		server.Service = service.Name
		server.Region = c.configuration.RegionOf(server.FailureDomain)
		if server.Region == "" {
			c.fault(key+".failure-domain", "failure domain %q does not exist", server.FailureDomain)
		} else if service.Region(server.Region) == nil {
			c.fault(key+".failure-domain", "the service may not run in region %q", server.Region)
		}
		c.configuration.servers[server.Name] = server
	}
}

func (c *compiler) drain() {
	var drain Drain
	if !c.decode(&drain) {
		return
	}
	switch drain.Kind {
	case DrainBackendServer:
		if c.configuration.servers[drain.Name] == nil {
			c.fault("name", "backend server %q does not exist", drain.Name)
		}
	case DrainEntry:
		if c.configuration.entries[drain.Name] == nil {
			c.fault("name", "entry VM %q does not exist", drain.Name)
		}
	case DrainServiceRegion:
		service := c.configuration.services[drain.Service]
		if service == nil || service.Region(drain.Name) == nil {
			c.fault("name", "service %q does not run in region %q", drain.Service, drain.Name)
		}
	default:
		c.fault("kind", "%q is none of %s, %s, %s", drain.Kind, DrainBackendServer, DrainServiceRegion, DrainEntry)
	}
	c.configuration.Drains = append(c.configuration.Drains, drain)
}

func (c *compiler) clientBlocks() {
	var blocks []block.Block
	line := 0
	for text := range strings.Lines(string(c.content)) {
		line++
		text, _, _ = strings.Cut(text, "#")
		fields := strings.Fields(text)
		if len(fields) == 0 {
			continue
		}
		next, err := c.clientBlock(fields)
		if err != nil {
			c.faults = append(c.faults, &document.Error{
				File:    c.file,
				Line:    line,
				Problem: err.Error(),
			})
			continue
		}
		blocks = append(blocks, next)
	}
	c.blocks.put(c.file, blocks)
}

func (c *compiler) clientBlock(fields []string) (block.Block, error) {
	if len(fields) != 2 {
		return block.Block{}, errors.New("a line is a client block and a region")
	}
	prefix, err := netip.ParsePrefix(fields[0])
	if err != nil {
		return block.Block{}, errors.Errorf("%q is no client block such as 10.1.0.0/16", fields[0])
	}
	if !c.knownRegion(fields[1]) {
		return block.Block{}, errors.Errorf("region %q does not exist", fields[1])
	}
	return block.Block{
		Prefix: prefix,
		Region: fields[1],
	}, nil
}
