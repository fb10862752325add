package slot

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselstack/teaselstack/intent"
)

// Home returns the name of the entry VM that owns a backend server's slots.
func Home(configuration *intent.Configuration, server *intent.BackendServer) string {
	home, _ := Seats(configuration, server)
	return home
}

// Deputy returns the name of the entry VM that holds the smaller part of a
// backend server's slots, or "" when there is a single entry VM.
func Deputy(configuration *intent.Configuration, server *intent.BackendServer) string {
	_, deputy := Seats(configuration, server)
	return deputy
}

// Seats returns the home and the deputy of a backend server. They depend on
// the configuration only, never on who is alive, so that all entries agree.
// Entry VMs of the server's failure domain go first, then those of its region,
// then all others; within a group the order is by rendezvous hashing, see
// Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates"
// (1998).
func Seats(configuration *intent.Configuration, server *intent.BackendServer) (home, deputy string) {
	entries := slices.Clone(configuration.Deployment.Entries)
	slices.SortFunc(entries, func(a, b intent.EntryVM) int {
		order := cmp.Compare(distance(configuration, a, server), distance(configuration, b, server))
		if order != 0 {
			return order
		}
		return cmp.Compare(weight(b.Name, server.Name), weight(a.Name, server.Name))
	})
	if len(entries) > 1 {
		deputy = entries[1].Name
	}
	return entries[0].Name, deputy
}

func distance(configuration *intent.Configuration, entry intent.EntryVM, server *intent.BackendServer) int {
	switch {
	case entry.FailureDomain == server.FailureDomain:
		return 0
	case configuration.RegionOf(entry.FailureDomain) == server.Region:
		return 1
	}
	return 2
}

func weight(entry, server string) uint64 {
	return xxhash.Sum64String(entry + "\x00" + server)
}
