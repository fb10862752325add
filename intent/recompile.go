package intent

import (
	"bytes"
	"cmp"
	"fmt"
	"path"
	"slices"
	"strings"

	"github.com/teaselstack/teaselstack/block"
	"github.com/teaselstack/teaselstack/document"
)

// Recompile is an incremental Compile: it returns the same configuration, but
// reuses the parts of the previous one whose documents are unchanged. previous
// must have been compiled from previousDocuments. The two configurations share the
// pointers to unchanged services and the slices of an unchanged deployment, so that
// callers can recognize unchanged parts by comparing pointers.
func Recompile(previous *Configuration, previousDocuments []Document, version uint64, documents []Document) (*Configuration, error) {
	reuse := findReusableParts(previous, previousDocuments, documents)
	c := &compiler{
		configuration: &Configuration{
			Version:        version,
			servicesByName: make(map[string]*Service, reuse.serviceCount()),
			serversByName:  make(map[string]*BackendServer, reuse.serverCount()),
			domainsByName:  make(map[string]*FailureDomain),
			entriesByName:  make(map[string]*EntryVM),
		},
		reusable: reuse,
		blocks:   newBlockCollector(reuse),
	}
	ordered := slices.Clone(documents)
	slices.SortFunc(ordered, func(a, b Document) int {
		return cmp.Or(strings.Compare(compileOrder(a.Name), compileOrder(b.Name)), strings.Compare(a.Name, b.Name))
	})
	for _, doc := range ordered {
		c.file = doc.Name
		c.content = doc.Content
		if !c.reuseDocument() {
			c.compileDocument(doc)
		}
	}
	if len(c.configuration.Deployment.Regions) == 0 {
		c.errs = append(c.errs, &document.Error{
			File:    DeploymentDocument,
			Problem: "no document defines the regions",
		})
	}
	c.configuration.Blocks = c.blocks.table()
	if err := c.errs.Err(); err != nil {
		return nil, err
	}
	return c.configuration, nil
}

// reusableParts describes the parts of the previous configuration that Recompile
// reuses. With the zero value, nothing is reused.
type reusableParts struct {
	// previous is nil if nothing can be reused: without a previous configuration, or
	// if the deployment changed, against which all other documents are checked.
	previous *Configuration
	// unchanged tells, for the name of each current document, whether a previous
	// document has the same name and content.
	unchanged map[string]bool
	// removed holds the names of the previous documents that no longer exist.
	removed []string
}

// findReusableParts compares documents with those that the previous configuration
// was compiled from.
func findReusableParts(previous *Configuration, previousDocuments, documents []Document) reusableParts {
	if previous == nil {
		return reusableParts{}
	}
	previousContents := make(map[string][]byte, len(previousDocuments))
	for _, doc := range previousDocuments {
		previousContents[doc.Name] = doc.Content
	}
	result := reusableParts{
		previous:  previous,
		unchanged: make(map[string]bool, len(documents)),
	}
	for _, doc := range documents {
		content, existed := previousContents[doc.Name]
		result.unchanged[doc.Name] = existed && bytes.Equal(content, doc.Content)
	}
	if !result.unchanged[DeploymentDocument] {
		return reusableParts{}
	}
	for _, doc := range previousDocuments {
		if _, exists := result.unchanged[doc.Name]; !exists {
			result.removed = append(result.removed, doc.Name)
		}
	}
	return result
}

// serviceCount returns the expected number of services, by which a map is sized.
func (r reusableParts) serviceCount() int {
	if r.previous == nil {
		return 0
	}
	return len(r.previous.servicesByName)
}

// serverCount returns the expected number of backend servers, by which a map is
// sized.
func (r reusableParts) serverCount() int {
	if r.previous == nil {
		return 0
	}
	return len(r.previous.serversByName)
}

// reuseDocument copies what the document being compiled defined in the previous
// configuration. It returns false if the document must be compiled instead. Drains
// are always compiled, because they are checked against the services.
func (c *compiler) reuseDocument() bool {
	if !c.reusable.unchanged[c.file] {
		return false
	}
	switch {
	case c.file == DeploymentDocument:
		c.configuration.Deployment = c.reusable.previous.Deployment
		c.configuration.domainsByName = c.reusable.previous.domainsByName
		c.configuration.entriesByName = c.reusable.previous.entriesByName
		return true
	case strings.HasPrefix(c.file, ClientBlocksPrefix):
		// The block collector starts from the previous table.
		return true
	case strings.HasPrefix(c.file, ServicePrefix):
		return c.reuseService(c.reusable.previous.servicesByName[strings.TrimSuffix(path.Base(c.file), ".toml")])
	}
	return false
}

// reuseService adds a service whose document didn't change. It checks the names of
// the service's backend servers again, since another document may now use them. It
// returns false if the previous configuration has no such service.
func (c *compiler) reuseService(service *Service) bool {
	if service == nil {
		return false
	}
	for i := range service.BackendServers {
		server := &service.BackendServers[i]
		if c.configuration.serversByName[server.Name] != nil {
			c.addError(fmt.Sprintf("backend-server[%d].name", i), "%q is missing or stands twice", server.Name)
		}
		c.configuration.serversByName[server.Name] = server
	}
	c.addService(service)
	return true
}

// blockCollector builds the table of client blocks. If it is incremental, it replaces
// the blocks of changed documents in the previous table; otherwise it builds a new
// table from all documents.
type blockCollector struct {
	incremental bool
	// updated is the table so far, if incremental.
	updated block.Table
	// builder holds the blocks so far, unless incremental.
	builder block.Builder
}

func newBlockCollector(reuse reusableParts) blockCollector {
	if reuse.previous == nil {
		return blockCollector{}
	}
	collector := blockCollector{
		incremental: true,
		updated:     reuse.previous.Blocks,
	}
	for _, name := range reuse.removed {
		if strings.HasPrefix(name, ClientBlocksPrefix) {
			collector.setBlocks(name, nil)
		}
	}
	return collector
}

// setBlocks sets the client blocks of a document. Unless the collector is
// incremental, documents must come in the order of their names.
func (b *blockCollector) setBlocks(name string, blocks []block.Block) {
	if b.incremental {
		b.updated = b.updated.Replace(name, blocks)
		return
	}
	b.builder.BeginDocument(name)
	for _, each := range blocks {
		b.builder.Add(each.Prefix, each.Region)
	}
}

// table returns the resulting table.
func (b *blockCollector) table() block.Table {
	if b.incremental {
		return b.updated
	}
	return b.builder.Table()
}
