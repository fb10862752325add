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

// Names of documents, and prefixes of names by which kinds of documents are
// recognized.
const (
	// DeploymentDocument is the name of the document that holds the Deployment.
	DeploymentDocument = "deployment.toml"
	// ServicePrefix is the prefix of the names of services' documents.
	ServicePrefix = "services/"
	// DrainPrefix is the prefix of the names of drains' documents.
	DrainPrefix = "drains/"
	// ClientBlocksPrefix is the prefix of the names of documents that list client
	// blocks.
	ClientBlocksPrefix = "client-blocks/"
)

// Default values of settings that a document leaves out or sets to 0.
const (
	DefaultLookupLifetime     = 5 * time.Second
	DefaultDeadline           = 30 * time.Second
	DefaultRamp               = 10 * time.Second
	defaultInteractiveReserve = 0.2
)

// Document is one file of a configuration, whether already published or not.
type Document struct {
	// Name is the path of the file, such as services/desk.toml.
	Name    string
	Content []byte
}

// compiler builds a configuration from documents and collects their errors.
type compiler struct {
	configuration *Configuration
	errs          document.Errors
	// file and content are the name and content of the document being compiled.
	file     string
	content  []byte
	reusable reusableParts
	blocks   blockCollector
}

// Compile decodes documents, checks each of them and the references between them, and
// returns the configuration that they define. Unlike Check, it accepts drains that
// leave no capacity. The error is a document.Errors with every error found.
func Compile(version uint64, documents []Document) (*Configuration, error) {
	return Recompile(nil, nil, version, documents)
}

// compileOrder returns a sort key by which each document comes after those that it may
// refer to: the deployment comes first and the drains last.
func compileOrder(name string) string {
	switch {
	case name == DeploymentDocument:
		return "0"
	case strings.HasPrefix(name, DrainPrefix):
		return "2"
	}
	return "1"
}

// compileDocument decodes and checks a document and adds it to the configuration.
func (c *compiler) compileDocument(doc Document) {
	switch {
	case doc.Name == DeploymentDocument:
		c.compileDeployment()
	case strings.HasPrefix(doc.Name, ServicePrefix):
		c.compileService()
	case strings.HasPrefix(doc.Name, DrainPrefix):
		c.compileDrain()
	case strings.HasPrefix(doc.Name, ClientBlocksPrefix):
		c.compileClientBlocks()
	default:
		c.addError("", "is neither %s nor under %s, %s or %s",
			DeploymentDocument, ServicePrefix, DrainPrefix, ClientBlocksPrefix)
	}
}

// addError records an error at a key of the document being compiled.
func (c *compiler) addError(key, format string, args ...any) {
	c.errs = append(c.errs, &document.Error{
		File:    c.file,
		Line:    document.KeyLine(c.content, key),
		Key:     key,
		Problem: fmt.Sprintf(format, args...),
	})
}

// decode decodes the document being compiled into target and returns whether it
// succeeded. It records any error.
func (c *compiler) decode(target any) bool {
	err := document.Decode(c.file, c.content, target)
	if err == nil {
		return true
	}
	var errs document.Errors
	if errors.As(err, &errs) {
		c.errs = append(c.errs, errs...)
	}
	return false
}

func (c *compiler) compileDeployment() {
	deployment := &c.configuration.Deployment
	if !c.decode(deployment) {
		return
	}
	if deployment.Name == "" {
		c.addError("name", "is missing")
	}
	if deployment.Lookup.Lifetime == 0 {
		deployment.Lookup.Lifetime = document.Duration(DefaultLookupLifetime)
	}
	objective := deployment.Objective
	if objective.Latency < 0 || objective.Headroom < 0 || objective.DrainTime < 0 {
		c.addError("objective", "weights must not be negative")
	}
	if objective.Latency+objective.Headroom+objective.DrainTime == 0 {
		c.addError("objective", "no weight is above 0")
	}
	c.checkRegions()
	c.addFailureDomains()
	c.addEntries()
	c.checkLinks()
}

func (c *compiler) checkRegions() {
	seen := make(map[string]bool)
	for i, region := range c.configuration.Deployment.Regions {
		key := fmt.Sprintf("region[%d].name", i)
		if region.Name == "" || seen[region.Name] {
			c.addError(key, "%q is missing or stands twice", region.Name)
		}
		seen[region.Name] = true
	}
}

func (c *compiler) regionExists(name string) bool {
	return slices.ContainsFunc(c.configuration.Deployment.Regions, func(r Region) bool {
		return r.Name == name
	})
}

// addFailureDomains checks the failure domains and indexes them by name.
func (c *compiler) addFailureDomains() {
	domains := c.configuration.Deployment.FailureDomains
	for i := range domains {
		domain := &domains[i]
		if domain.Name == "" || c.configuration.domainsByName[domain.Name] != nil {
			c.addError(fmt.Sprintf("failure-domain[%d].name", i), "%q is missing or stands twice", domain.Name)
		}
		if !c.regionExists(domain.Region) {
			c.addError(fmt.Sprintf("failure-domain[%d].region", i), "region %q does not exist", domain.Region)
		}
		c.configuration.domainsByName[domain.Name] = domain
	}
}

// addEntries checks the entry VMs and indexes them by name.
func (c *compiler) addEntries() {
	entries := c.configuration.Deployment.Entries
	for i := range entries {
		entry := &entries[i]
		if entry.Name == "" || c.configuration.entriesByName[entry.Name] != nil {
			c.addError(fmt.Sprintf("entry[%d].name", i), "%q is missing or stands twice", entry.Name)
		}
		if c.configuration.domainsByName[entry.FailureDomain] == nil {
			c.addError(fmt.Sprintf("entry[%d].failure-domain", i), "failure domain %q does not exist", entry.FailureDomain)
		}
		c.configuration.entriesByName[entry.Name] = entry
	}
	if len(entries) == 0 {
		c.addError("entry", "no entry VM is named")
	}
}

// checkLinks checks the links and sets an InteractiveReserve that is missing or 0 to
// its default.
func (c *compiler) checkLinks() {
	links := c.configuration.Deployment.Links
	for i := range links {
		link := &links[i]
		key := fmt.Sprintf("link[%d]", i)
		if len(link.Between) != 2 || link.Between[0] == link.Between[1] {
			c.addError(key+".between", "must name two regions")
			continue
		}
		for _, name := range link.Between {
			if !c.regionExists(name) {
				c.addError(key+".between", "region %q does not exist", name)
			}
		}
		if c.configuration.Link(link.Between[0], link.Between[1]) != link {
			c.addError(key+".between", "the link stands twice")
		}
		if link.Rate == 0 {
			c.addError(key+".rate", "is missing")
		}
		if link.InteractiveReserve < 0 || link.InteractiveReserve >= 1 {
			c.addError(key+".interactive-reserve", "must be at least 0 and below 1")
		}
		if link.InteractiveReserve == 0 {
			link.InteractiveReserve = defaultInteractiveReserve
		}
	}
}

func (c *compiler) compileService() {
	service := &Service{}
	if !c.decode(service) {
		return
	}
	base := strings.TrimSuffix(path.Base(c.file), ".toml")
	if service.Name != base {
		c.addError("name", "%q differs from the document's name %q", service.Name, base)
	}
	if service.Class == "" {
		service.Class = Interactive
	}
	if service.Class != Interactive && service.Class != Bulk {
		c.addError("class", "%q is neither %s nor %s", service.Class, Interactive, Bulk)
	}
	if service.Deadline == 0 {
		service.Deadline = document.Duration(DefaultDeadline)
	}
	if service.Ramp == 0 {
		service.Ramp = document.Duration(DefaultRamp)
	}
	if service.ServiceTime > service.Deadline {
		c.addError("service-time", "%s contradicts deadline %s: it must not be longer",
			time.Duration(service.ServiceTime), time.Duration(service.Deadline))
	}
	c.checkServiceRegions(service)
	c.addBackendServers(service)
	c.addService(service)
}

func (c *compiler) addService(service *Service) {
	c.configuration.servicesByName[service.Name] = service
	c.configuration.Services = append(c.configuration.Services, service)
}

func (c *compiler) checkServiceRegions(service *Service) {
	if len(service.Regions) == 0 {
		c.addError("region", "the service may run in no region")
	}
	for i, region := range service.Regions {
		key := fmt.Sprintf("region[%d]", i)
		if !c.regionExists(region.Name) {
			c.addError(key+".name", "region %q does not exist", region.Name)
		}
		if service.Region(region.Name) != &service.Regions[i] {
			c.addError(key+".name", "region %q stands twice", region.Name)
		}
		if region.MaxRate <= 0 {
			c.addError(key+".max-rate", "must be above 0 requests a second")
		}
		if region.ShiftRate < 0 || region.ShiftRate > region.MaxRate {
			c.addError(key+".shift-rate", "%g contradicts max-rate %g: it must be between 0 and max-rate",
				region.ShiftRate, region.MaxRate)
		}
	}
}

// addBackendServers checks a service's backend servers, sets their Service and
// Region, and indexes them by name.
func (c *compiler) addBackendServers(service *Service) {
	for i := range service.BackendServers {
		server := &service.BackendServers[i]
		key := fmt.Sprintf("backend-server[%d]", i)
		if server.Name == "" || c.configuration.serversByName[server.Name] != nil {
			c.addError(key+".name", "%q is missing or stands twice", server.Name)
		}
		if _, err := netip.ParseAddrPort(server.Address); err != nil {
			c.addError(key+".address", "%q is no IP address with a port", server.Address)
		}
		if server.Slots <= 0 {
			c.addError(key+".slots", "must be above 0")
		}
		server.Service = service.Name
		server.Region = c.configuration.RegionOf(server.FailureDomain)
		if server.Region == "" {
			c.addError(key+".failure-domain", "failure domain %q does not exist", server.FailureDomain)
		} else if service.Region(server.Region) == nil {
			c.addError(key+".failure-domain", "the service may not run in region %q", server.Region)
		}
		c.configuration.serversByName[server.Name] = server
	}
}

func (c *compiler) compileDrain() {
	var drain Drain
	if !c.decode(&drain) {
		return
	}
	switch drain.Kind {
	case DrainBackendServer:
		if c.configuration.serversByName[drain.Name] == nil {
			c.addError("name", "backend server %q does not exist", drain.Name)
		}
	case DrainEntry:
		if c.configuration.entriesByName[drain.Name] == nil {
			c.addError("name", "entry VM %q does not exist", drain.Name)
		}
	case DrainServiceRegion:
		service := c.configuration.servicesByName[drain.Service]
		if service == nil || service.Region(drain.Name) == nil {
			c.addError("name", "service %q does not run in region %q", drain.Service, drain.Name)
		}
	default:
		c.addError("kind", "%q is none of %s, %s, %s", drain.Kind, DrainBackendServer, DrainServiceRegion, DrainEntry)
	}
	c.configuration.Drains = append(c.configuration.Drains, drain)
}

// compileClientBlocks compiles a document with a client block and its region on
// each line. A # begins a comment.
func (c *compiler) compileClientBlocks() {
	var blocks []block.Block
	line := 0
	for text := range strings.Lines(string(c.content)) {
		line++
		text, _, _ = strings.Cut(text, "#")
		fields := strings.Fields(text)
		if len(fields) == 0 {
			continue
		}
		next, err := c.parseClientBlock(fields)
		if err != nil {
			c.errs = append(c.errs, &document.Error{
				File:    c.file,
				Line:    line,
				Problem: err.Error(),
			})
			continue
		}
		blocks = append(blocks, next)
	}
	c.blocks.setBlocks(c.file, blocks)
}

// parseClientBlock parses the fields of one line of a client-blocks document.
func (c *compiler) parseClientBlock(fields []string) (block.Block, error) {
	if len(fields) != 2 {
		return block.Block{}, errors.New("a line is a client block and a region")
	}
	prefix, err := netip.ParsePrefix(fields[0])
	if err != nil {
		return block.Block{}, errors.Errorf("%q is no client block such as 10.1.0.0/16", fields[0])
	}
	if !c.regionExists(fields[1]) {
		return block.Block{}, errors.Errorf("region %q does not exist", fields[1])
	}
	return block.Block{
		Prefix: prefix,
		Region: fields[1],
	}, nil
}
