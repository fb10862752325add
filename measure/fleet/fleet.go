// Package fleet generates the documents of deployments of any size, to measure
// how the cost of a mechanism scales with the size of the deployment.
package fleet

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/teaselstack/teaselstack/intent"
)

// Size is the size of a deployment.
type Size struct {
	// Nodes is the number of entry VMs.
	Nodes          int
	Regions        int
	FailureDomains int
	// Sites is the number of sites, each of which is one service.
	Sites int
	// ServersPerSite is the number of backend servers of each site.
	ServersPerSite int
	// Blocks is the number of client blocks.
	Blocks int
}

// unlimitedRate is the rate cap of a service in each region, in requests per second,
// to which ServiceDocument adds the revision. No measurement reaches it.
const unlimitedRate = 500_000_000

// FirstDeployment returns the size of one of the first real deployments.
func FirstDeployment() Size {
	return Size{
		Nodes:          7,
		Regions:        3,
		FailureDomains: 6,
		Sites:          2,
		ServersPerSite: serversPerSite,
		Blocks:         4,
	}
}

// HundredthOfTarget returns about a hundredth of the target size.
func HundredthOfTarget() Size {
	return Size{
		Nodes:          36,
		Regions:        4,
		FailureDomains: 8,
		Sites:          19,
		ServersPerSite: serversPerSite,
		Blocks:         5_200,
	}
}

// TenthOfTarget returns about a tenth of the target size.
func TenthOfTarget() Size {
	return Size{
		Nodes:          360,
		Regions:        8,
		FailureDomains: 24,
		Sites:          190,
		ServersPerSite: serversPerSite,
		Blocks:         52_000,
	}
}

// Target returns the size that every mechanism is designed for.
func Target() Size {
	return Size{
		Nodes:          3_600,
		Regions:        32,
		FailureDomains: 123,
		Sites:          1_900,
		ServersPerSite: serversPerSite,
		Blocks:         520_000,
	}
}

const (
	// serversPerSite is the number of backend servers of each site: the mean in the
	// first deployments.
	serversPerSite = 16
	// failureDomainsPerSite is the number of failure domains that the backend servers of
	// a site are spread over, unless the deployment has fewer.
	failureDomainsPerSite = 4
	// slotsPerServer is the number of slots of each backend server.
	slotsPerServer = 3
)

// Documents returns the deployment document, followed by one service document for
// each site. BlockDocuments returns the documents of the client blocks.
func (s Size) Documents() []intent.Document {
	documents := []intent.Document{{
		Name:    intent.DeploymentDocument,
		Content: []byte(s.deploymentText()),
	}}
	for site := range s.Sites {
		documents = append(documents, s.ServiceDocument(site, 1))
	}
	return documents
}

// deploymentText returns the document that lists regions, failure domains,
// entries, and the links between all pairs of regions.
func (s Size) deploymentText() string {
	var text strings.Builder
	text.WriteString("name = \"fleet\"\n[objective]\nlatency = 0.4\nheadroom = 0.4\ndrain-time = 0.2\n")
	for i := range s.Regions {
		fmt.Fprintf(&text, "[[region]]\nname = \"%s\"\n", RegionName(i))
	}
	for i := range s.FailureDomains {
		fmt.Fprintf(&text, "[[failure-domain]]\nname = \"%s\"\nregion = \"%s\"\n", FailureDomainName(i), RegionName(i%s.Regions))
	}
	for i := range s.Nodes {
		fmt.Fprintf(&text, "[[entry]]\nname = \"%s\"\nfailure-domain = \"%s\"\n", EntryName(i), FailureDomainName(i%s.FailureDomains))
	}
	for a := range s.Regions {
		for b := range a {
			fmt.Fprintf(&text, "[[link]]\nbetween = [\"%s\", \"%s\"]\nrate = \"4 Gbit/s\"\ndelay = \"%dms\"\n",
				RegionName(a), RegionName(b), 10+(a*7+b*3)%90)
		}
	}
	return text.String()
}

// ServiceDocument returns the service document of a site in a given revision.
// Revisions differ only in their rate caps.
func (s Size) ServiceDocument(site, revision int) intent.Document {
	var text strings.Builder
	fmt.Fprintf(&text, "name = \"%s\"\nclass = \"interactive\"\ndeadline = \"5s\"\n", SiteName(site))
	domains := min(failureDomainsPerSite, s.FailureDomains)
	regions := make(map[int]bool)
	for i := range domains {
		region := s.siteDomain(site, i) % s.Regions
		if !regions[region] {
			regions[region] = true
			fmt.Fprintf(&text, "[[region]]\nname = \"%s\"\nmax-rate = %d\nshift-rate = 30\n", RegionName(region), unlimitedRate+revision)
		}
	}
	for i := range s.ServersPerSite {
		fmt.Fprintf(&text, "[[backend-server]]\nname = \"%s-%d\"\naddress = \"10.%d.%d.%d:8080\"\nfailure-domain = \"%s\"\nslots = %d\n",
			SiteName(site), i, site>>8, site&255, i+1, FailureDomainName(s.siteDomain(site, i%domains)), slotsPerServer)
	}
	return intent.Document{
		Name:    intent.ServicePrefix + SiteName(site) + ".toml",
		Content: []byte(text.String()),
	}
}

// siteDomain returns the index, in the deployment, of the i-th of the failure domains
// that contain backend servers of a site. Both indices start at 0.
func (s Size) siteDomain(site, i int) int {
	return (site*7 + i) % s.FailureDomains
}

// BlockDocuments returns the documents of client blocks, one for each region.
// The regions take turns, each with 16 consecutive blocks.
func (s Size) BlockDocuments() []intent.Document {
	texts := make([]strings.Builder, s.Regions)
	for i := range s.Blocks {
		region := i / 16 % s.Regions
		fmt.Fprintf(&texts[region], "%s %s\n", BlockPrefix(i), RegionName(region))
	}
	documents := make([]intent.Document, 0, s.Regions)
	for i := range texts {
		documents = append(documents, intent.Document{
			Name:    intent.ClientBlocksPrefix + RegionName(i) + ".blocks",
			Content: []byte(texts[i].String()),
		})
	}
	return documents
}

// BlockPrefix returns the prefix of client block i. Every eighth block is an IPv6
// /48; the others are IPv4 /24s, no two of which are adjacent.
func BlockPrefix(i int) netip.Prefix {
	if i%8 == 0 {
		return netip.PrefixFrom(netip.AddrFrom16([16]byte{0x20, 0x01, byte(i >> 16), byte(i >> 8), byte(i)}), 48)
	}
	first := uint32(1)<<24 + uint32(i)<<9
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(first >> 24), byte(first >> 16), byte(first >> 8)}), 24)
}

// RegionName returns the name of region i.
func RegionName(i int) string { return fmt.Sprintf("region-%02d", i) }

// FailureDomainName returns the name of failure domain i.
func FailureDomainName(i int) string { return fmt.Sprintf("domain-%03d", i) }

// EntryName returns the name of entry VM i.
func EntryName(i int) string { return fmt.Sprintf("entry-%04d", i) }

// SiteName returns the name of site i.
func SiteName(i int) string { return fmt.Sprintf("site-%04d", i) }
