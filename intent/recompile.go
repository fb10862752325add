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

// Recompile is Compile for a step from a configuration that was compiled from
// known documents. What documents that are the same have made is taken over:
// services by the same pointers, the deployment by the same slices, so that
// others can tell it in turn.
func Recompile(previous *Configuration, known []Document, version uint64, documents []Document) (*Configuration, error) {
	kept := keep(previous, known, documents)
	compile := &compiler{
		configuration: &Configuration{
			Version:  version,
			services: make(map[string]*Service, kept.services()),
			servers:  make(map[string]*BackendServer, kept.servers()),
			domains:  make(map[string]*FailureDomain),
			entries:  make(map[string]*EntryVM),
		},
		kept:   kept,
		blocks: newBlockCollector(kept),
	}
	ordered := slices.Clone(documents)
	slices.SortFunc(ordered, func(a, b Document) int {
		return cmp.Or(strings.Compare(rank(a.Name), rank(b.Name)), strings.Compare(a.Name, b.Name))
	})
	for _, doc := range ordered {
		compile.file = doc.Name
		compile.content = doc.Content
		if !compile.takeOver() {
			compile.document(doc)
		}
	}
	if len(compile.configuration.Deployment.Regions) == 0 {
		compile.faults = append(compile.faults, &document.Error{
			File:    DeploymentDocument,
			Problem: "no document defines the regions",
		})
	}
	compile.configuration.Blocks = compile.blocks.table()
	if err := compile.faults.Err(); err != nil {
		return nil, err
	}
	return compile.configuration, nil
}

// kept is what a step takes over. The zero value takes nothing over.
type kept struct {
	// previous is nil unless the deployment's document is the same: all others
	// are checked against it.
	previous *Configuration
	// same names the documents that did not change.
	same map[string]bool
	// gone names the documents that are no more.
	gone []string
}

func keep(previous *Configuration, known, documents []Document) kept {
	if previous == nil {
		return kept{}
	}
	contents := make(map[string][]byte, len(known))
	for _, doc := range known {
		contents[doc.Name] = doc.Content
	}
	taken := kept{
		previous: previous,
		same:     make(map[string]bool, len(documents)),
	}
	for _, doc := range documents {
		content, stood := contents[doc.Name]
		taken.same[doc.Name] = stood && bytes.Equal(content, doc.Content)
	}
	if !taken.same[DeploymentDocument] {
		return kept{}
	}
	for _, doc := range known {
		if _, stands := taken.same[doc.Name]; !stands {
			taken.gone = append(taken.gone, doc.Name)
		}
	}
	return taken
}

func (k kept) services() int {
	if k.previous == nil {
		return 0
	}
	return len(k.previous.services)
}

func (k kept) servers() int {
	if k.previous == nil {
		return 0
	}
	return len(k.previous.servers)
}

// takeOver takes over what the document at hand made before, and reports
// whether that was all. Drains are checked against the services each time.
func (c *compiler) takeOver() bool {
	if !c.kept.same[c.file] {
		return false
	}
	switch {
	case c.file == DeploymentDocument:
		c.configuration.Deployment = c.kept.previous.Deployment
		c.configuration.domains = c.kept.previous.domains
		c.configuration.entries = c.kept.previous.entries
		return true
	case strings.HasPrefix(c.file, ClientBlocksPrefix):
		return true
	case strings.HasPrefix(c.file, ServicePrefix):
		return c.takeOverService(c.kept.previous.services[strings.TrimSuffix(path.Base(c.file), ".toml")])
	}
	return false
}

// takeOverService adds a service whose document is the same. Its backend
// servers' names are checked again, since another document may now have them.
func (c *compiler) takeOverService(service *Service) bool {
	if service == nil {
		return false
	}
	for i := range service.BackendServers {
		server := &service.BackendServers[i]
		if c.configuration.servers[server.Name] != nil {
			c.fault(fmt.Sprintf("backend-server[%d].name", i), "%q is missing or stands twice", server.Name)
		}
		c.configuration.servers[server.Name] = server
	}
	c.addService(service)
	return true
}

// blockCollector gathers client blocks, either all of them or those of the
// documents that differ from a table.
type blockCollector struct {
	changes bool
	current block.Table
	builder block.Builder
}

func newBlockCollector(kept kept) blockCollector {
	if kept.previous == nil {
		return blockCollector{}
	}
	collector := blockCollector{
		changes: true,
		current: kept.previous.Blocks,
	}
	for _, name := range kept.gone {
		if strings.HasPrefix(name, ClientBlocksPrefix) {
			collector.put(name, nil)
		}
	}
	return collector
}

// put sets the client blocks of a document. Without a table to change,
// documents come in the order of their names.
func (b *blockCollector) put(document string, blocks []block.Block) {
	if b.changes {
		b.current = b.current.Replace(document, blocks)
		return
	}
	b.builder.BeginDocument(document)
	for _, each := range blocks {
		b.builder.Add(each.Prefix, each.Region)
	}
}

func (b *blockCollector) table() block.Table {
	if b.changes {
		return b.current
	}
	return b.builder.Table()
}
