package slot

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselstack/teaselstack/intent"
)

// Seats names the two entry VMs that may allocate slots of a backend server.
type Seats struct {
	// Home owns all slots if it is in the failure domain of the server or there is no
	// Deputy, and the larger part of them otherwise; see SplitSlots.
	Home string
	// Deputy owns no slots if Home is in the failure domain of the server, but takes
	// over from Home when that is dead. Otherwise Deputy owns the smaller part of the
	// slots. It is "" if there is only one entry VM.
	Deputy string
}

// Seating holds the seats of all backend servers of one configuration. The
// seats depend on the configuration only, not on which entry VMs are running,
// so that all entries agree on them.
//
// Home and deputy of a server are the first two entry VMs in this order: those in
// the failure domain of the server, those in its region, all others. Within each
// of these groups, rendezvous hashing determines the order; see Thaler and
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates" (1998).
type Seating struct {
	configuration *intent.Configuration
	// services is keyed by the name of the service.
	services map[string]*serviceSeats
}

// serviceSeats holds the seats of one service's backend servers.
type serviceSeats struct {
	service *intent.Service
	// seats is keyed by the name of the backend server.
	seats map[string]Seats
	// holders names the entry VMs that have a seat at any of the servers.
	holders []string
}

// NewSeating computes the seats of a configuration.
func NewSeating(configuration *intent.Configuration) *Seating {
	return (&Seating{}).ForConfiguration(configuration)
}

// ForConfiguration returns the seats of another configuration. It reuses the seats
// of services that are the same in both, if the deployment is the same too.
func (s *Seating) ForConfiguration(configuration *intent.Configuration) *Seating {
	next := &Seating{
		configuration: configuration,
		services:      make(map[string]*serviceSeats, len(configuration.Services)),
	}
	index := indexEntries(configuration)
	sameDeployment := s.configuration != nil && configuration.SharesDeployment(s.configuration)
	for _, service := range configuration.Services {
		if previous := s.services[service.Name]; sameDeployment && previous != nil && previous.service == service {
			next.services[service.Name] = previous
			continue
		}
		next.services[service.Name] = index.chooseServiceSeats(service)
	}
	return next
}

// chooseServiceSeats computes the seats of a service.
func (i entryIndex) chooseServiceSeats(service *intent.Service) *serviceSeats {
	computed := &serviceSeats{
		service: service,
		seats:   make(map[string]Seats, len(service.BackendServers)),
	}
	for position := range service.BackendServers {
		server := &service.BackendServers[position]
		seats := i.chooseSeats(server)
		computed.seats[server.Name] = seats
		for _, name := range []string{seats.Home, seats.Deputy} {
			if name != "" && !slices.Contains(computed.holders, name) {
				computed.holders = append(computed.holders, name)
			}
		}
	}
	return computed
}

// Seats returns the seats of a backend server; they are empty if the
// configuration does not contain it.
func (s *Seating) Seats(server string) Seats {
	backend := s.configuration.BackendServer(server)
	if backend == nil {
		return Seats{}
	}
	return s.services[backend.Service].seats[server]
}

// Partners returns the names of the entry VMs that share a backend server with
// the given one, as its home or deputy, sorted by name.
func (s *Seating) Partners(entry string) []string {
	found := make(map[string]bool)
	for _, service := range s.services {
		if !slices.Contains(service.holders, entry) {
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

// SeatHolders returns the names of the entry VMs that have a seat at a backend server
// of the service, in the order of the servers. The caller must not change the slice.
func (s *Seating) SeatHolders(service string) []string {
	if seats := s.services[service]; seats != nil {
		return seats.holders
	}
	return nil
}

// Home returns the name of the home of a backend server. It indexes all entries
// on each call; to look up several servers, use a Seating.
func Home(configuration *intent.Configuration, server *intent.BackendServer) string {
	return indexEntries(configuration).chooseSeats(server).Home
}

// entryIndex groups the names of the entry VMs by failure domain and by region.
type entryIndex struct {
	byDomain map[string][]string
	byRegion map[string][]string
	all      []string
}

// indexEntries builds the index of a configuration's entry VMs.
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

// chooseSeats chooses home and deputy of a backend server. It considers a more
// distant group only if the nearer ones have fewer than two entry VMs.
func (i entryIndex) chooseSeats(server *intent.BackendServer) Seats {
	var seats Seats
	for _, group := range [][]string{i.byDomain[server.FailureDomain], i.byRegion[server.Region], i.all} {
		if seats.Home == "" {
			seats.Home = highestWeight(group, server.Name, "")
		}
		if seats.Deputy == "" {
			seats.Deputy = highestWeight(group, server.Name, seats.Home)
		}
		if seats.Deputy != "" {
			break
		}
	}
	return seats
}

// highestWeight returns the entry VM, other than except, that has the highest weight
// for a server in rendezvous hashing; "" if there is none.
func highestWeight(entries []string, server, except string) string {
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

// deputyDivisor divides the slots of a server to get the number that the deputy owns.
const deputyDivisor = 3

// SplitSlots splits the slots of a backend server without an entry VM in its failure
// domain between home and deputy; the parts sum to slots. A single slot goes to the
// home.
func SplitSlots(slots int) (home, deputy int) {
	if slots < 2 {
		return slots, 0
	}
	deputy = max(1, slots/deputyDivisor)
	return slots - deputy, deputy
}
