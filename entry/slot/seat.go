package slot

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselstack/teaselstack/intent"
)

// Seats names the two entry VMs that may use a backend server's slots.
type Seats struct {
	// Home owns the larger part of the slots.
	Home string
	// Deputy owns the smaller part; it is "" when there is a single entry VM.
	Deputy string
}

// Seating holds the seats of all backend servers of one configuration. They
// depend on the configuration only, never on who is alive, so that all entries
// agree.
//
// Entry VMs of the server's failure domain go first, then those of its region,
// then all others; within a group the order is by rendezvous hashing, see
// Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates"
// (1998).
type Seating struct {
	configuration *intent.Configuration
	services      map[string]*serviceSeats
}

// serviceSeats holds the seats of one service's backend servers.
type serviceSeats struct {
	service *intent.Service
	seats   map[string]Seats
	owners  []string
}

// NewSeating computes the seats of a configuration.
func NewSeating(configuration *intent.Configuration) *Seating {
	return (&Seating{}).ForConfiguration(configuration)
}

// ForConfiguration returns the seats of a later configuration. Those of services that it
// took over from the one before are taken over, too.
func (s *Seating) ForConfiguration(configuration *intent.Configuration) *Seating {
	next := &Seating{
		configuration: configuration,
		services:      make(map[string]*serviceSeats, len(configuration.Services)),
	}
	index := indexEntries(configuration)
	shared := s.configuration != nil && configuration.SharesDeployment(s.configuration)
	for _, service := range configuration.Services {
		if known := s.services[service.Name]; shared && known != nil && known.service == service {
			next.services[service.Name] = known
			continue
		}
		next.services[service.Name] = index.serviceSeats(service)
	}
	return next
}

func (i entryIndex) serviceSeats(service *intent.Service) *serviceSeats {
	computed := &serviceSeats{
		service: service,
		seats:   make(map[string]Seats, len(service.BackendServers)),
	}
	for position := range service.BackendServers {
		server := &service.BackendServers[position]
		seats := i.seats(server)
		computed.seats[server.Name] = seats
		for _, name := range []string{seats.Home, seats.Deputy} {
			if name != "" && !slices.Contains(computed.owners, name) {
				computed.owners = append(computed.owners, name)
			}
		}
	}
	return computed
}

// Seats returns the seats of a backend server.
func (s *Seating) Seats(server string) Seats {
	known := s.configuration.BackendServer(server)
	if known == nil {
		return Seats{}
	}
	return s.services[known.Service].seats[server]
}

// Partners returns the entry VMs that hold the other seat at a backend server
// at which an entry VM has one.
func (s *Seating) Partners(entry string) []string {
	found := make(map[string]bool)
	for _, service := range s.services {
		if !slices.Contains(service.owners, entry) {
			continue
		}
		for _, seats := range service.seats {
			switch {
			case seats.Deputy == "":
			case seats.Home == entry:
				found[seats.Deputy] = true
			case seats.Deputy == entry:
				found[seats.Home] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// SeatHolders returns the entry VMs that have a seat at a backend server of the
// service, in the order of the servers. The caller must not change the slice.
func (s *Seating) SeatHolders(service string) []string {
	if known := s.services[service]; known != nil {
		return known.owners
	}
	return nil
}

// Home returns the name of the entry VM that owns a backend server's slots. It
// is for a single question; Seating answers many.
func Home(configuration *intent.Configuration, server *intent.BackendServer) string {
	return indexEntries(configuration).seats(server).Home
}

// entryIndex groups the entry VMs by their distance from a backend server.
type entryIndex struct {
	byDomain map[string][]string
	byRegion map[string][]string
	all      []string
}

func indexEntries(configuration *intent.Configuration) entryIndex {
	index := entryIndex{
		byDomain: make(map[string][]string),
		byRegion: make(map[string][]string),
	}
	for _, entry := range configuration.Deployment.Entries {
		region := configuration.RegionOf(entry.FailureDomain)
		index.byDomain[entry.FailureDomain] = append(index.byDomain[entry.FailureDomain], entry.Name)
		index.byRegion[region] = append(index.byRegion[region], entry.Name)
		index.all = append(index.all, entry.Name)
	}
	return index
}

// seats takes the two best entry VMs, looking farther only while fewer are found.
func (i entryIndex) seats(server *intent.BackendServer) Seats {
	var seats Seats
	for _, group := range [][]string{i.byDomain[server.FailureDomain], i.byRegion[server.Region], i.all} {
		if seats.Home == "" {
			seats.Home = heaviest(group, server.Name, "")
		}
		if seats.Deputy == "" {
			seats.Deputy = heaviest(group, server.Name, seats.Home)
		}
		if seats.Deputy != "" {
			break
		}
	}
	return seats
}

// heaviest returns the entry VM with the highest weight for a server, or "".
func heaviest(entries []string, server, except string) string {
	best := ""
	var highest uint64
	for _, entry := range entries {
		if entry == except {
			continue
		}
		if weight := xxhash.Sum64String(entry + "\x00" + server); best == "" || weight > highest {
			best = entry
			highest = weight
		}
	}
	return best
}

// deputyShare is the divisor that gives the deputy's part of the slots.
const deputyShare = 3

// SplitSlots splits a backend server's slots between home and deputy; the parts sum
// to the slots. A single slot is the home's.
func SplitSlots(slots int) (home, deputy int) {
	if slots < 2 {
		return slots, 0
	}
	deputy = max(1, slots/deputyShare)
	return slots - deputy, deputy
}
