package gate_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/standin/server"
	"github.com/teaselstack/teaselstack/standin/store"
)

var (
	soakSeeds = flag.Int("soak-seeds", 2, "how many seeds TestSoak plays")
	soakFirst = flag.Uint64("soak-first", 1, "the first seed of TestSoak")
)

const (
	// strikes is how many faults a seed has.
	strikes = 7
	// maxResident bounds an entry's memory: the smallest VM's, less what the
	// system needs.
	maxResident = 200 << 20
	// maxDescriptors bounds an entry's descriptors once the callers are gone.
	maxDescriptors = 200
)

// strike begins a fault and returns how it ends; what is drawn is drawn at once.
type strike func(f *fleet, random *rand.Rand) (name string, heal func())

var all = []strike{
	func(f *fleet, random *rand.Rand) (string, func()) {
		i := random.IntN(len(f.entries))
		struck := f.entries[i].command
		f.signal(i, syscall.SIGKILL)
		return fmt.Sprintf("kill entry %d", i), func() { f.restart(i, struck) }
	},
	func(f *fleet, random *rand.Rand) (string, func()) {
		i := random.IntN(len(f.entries))
		struck := f.entries[i].command
		f.signal(i, syscall.SIGTERM)
		return fmt.Sprintf("stop entry %d", i), func() { f.restart(i, struck) }
	},
	func(f *fleet, random *rand.Rand) (string, func()) {
		i := random.IntN(len(f.entries))
		f.signal(i, syscall.SIGSTOP)
		return fmt.Sprintf("pause entry %d", i), func() { f.signal(i, syscall.SIGCONT) }
	},
	func(f *fleet, random *rand.Rand) (string, func()) {
		i := random.IntN(len(f.entries))
		f.signal(i, syscall.SIGHUP)
		return fmt.Sprintf("reload entry %d", i), func() {}
	},
	func(f *fleet, random *rand.Rand) (string, func()) {
		fault := []store.Fault{
			{
				Outage: store.OutageRefuse,
			},
			{
				Outage: store.OutageHang,
			},
			{
				LostResponses: 20,
			},
			{
				RefusedAddresses: []string{f.entries[random.IntN(len(f.entries))].ip},
			},
		}[random.IntN(4)]
		f.store.SetFault(fault)
		return fmt.Sprintf("store %+v", fault), func() { f.store.SetFault(store.Fault{}) }
	},
	func(f *fleet, _ *rand.Rand) (string, func()) {
		f.store.Compact()
		return "store forgets its history", func() {}
	},
	func(f *fleet, random *rand.Rand) (string, func()) {
		i := random.IntN(len(f.servers))
		f.servers[i].Crash()
		return fmt.Sprintf("crash server %d", i), func() { f.bring(f.servers[i], f.proxies[i].Target) }
	},
	func(f *fleet, random *rand.Rand) (string, func()) {
		i := random.IntN(len(f.servers))
		f.servers[i].Drain()
		f.drained = time.Now()
		// It serves on to the end of the seed, so that work it gets too late shows.
		return fmt.Sprintf("drain server %d", i), func() {}
	},
	func(f *fleet, random *rand.Rand) (string, func()) {
		i := random.IntN(len(f.servers))
		way := []server.ProxyMode{server.ProxyForward, server.ProxyDropAll, server.ProxyDropResponses, server.ProxyReset}[random.IntN(4)]
		f.proxies[i].SetMode(way, 100*time.Millisecond)
		return fmt.Sprintf("way %d to server %d", way, i), func() { f.proxies[i].SetMode(server.ProxyForward, 0) }
	},
	func(f *fleet, random *rand.Rand) (string, func()) {
		first := random.IntN(len(f.servers))
		faults := server.Faults{
			LostResponseShare: 0.4 + 0.4*random.Float64(),
			Slowdown:          1 + 4*random.Float64(),
			ShedShare:         0.3 * random.Float64(),
		}
		some := []*server.Server{
			f.servers[first],
			f.servers[(first+1)%len(f.servers)],
			f.servers[(first+2)%len(f.servers)],
		}
		for _, each := range some {
			each.SetFaults(faults)
		}
		return fmt.Sprintf("three servers from %d on %+v", first, faults), func() {
			for _, each := range some {
				each.SetFaults(server.Faults{})
			}
		}
	},
	func(f *fleet, _ *rand.Rand) (string, func()) {
		f.configure(fmt.Sprintf(`,{"name":"extra","prefix":"/extra-%d/","kind":"safe","service":"desk"}`, f.version))
		return "new configuration", func() {}
	},
	func(f *fleet, random *rand.Rand) (string, func()) {
		domain := domains[random.IntN(len(domains))].domain
		f.store.PutRow(platform.OperatorTable, "evacuate/"+domain, []byte("{}"))
		return "evacuate " + domain, func() { f.store.RemoveRow(platform.OperatorTable, "evacuate/"+domain) }
	},
}

// restart starts an entry again once the process that was struck has ended,
// unless another strike has done so.
func (f *fleet) restart(i int, struck *exec.Cmd) {
	// How it ended is judged by what callers saw.
	_ = struck.Wait()
	if f.entries[i].command == struck {
		f.startEntry(i)
	}
}

// TestSoak lets drawn faults strike, in series and overlapping, while callers
// keep their connections. A seed gives one schedule.
func TestSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			f := startFleet(t, 9)
			random := rand.New(rand.NewPCG(seed, 3))
			f.underLoad(callers, func() {
				f.serves()
				f.strike(random)
				f.serves()
				if !f.drained.IsZero() {
					f.eventually("the bound of the last drain has passed", func() bool { return time.Since(f.drained) > drainBound+time.Second })
				}
			})
			f.flat()
		})
	}
}

// strike lets faults begin and end; one may begin before the last has ended, but
// none strikes the same thing twice at a time.
func (f *fleet) strike(random *rand.Rand) {
	order := random.Perm(len(all))[:strikes]
	var heals []func()
	for n, at := range order {
		name, heal := all[at](f, random)
		f.t.Logf("strike: %s", name)
		heals = append(heals, heal)
		pause(f.t.Context(), time.Duration(random.IntN(int(600*time.Millisecond))))
		if random.IntN(2) == 0 || n == len(order)-1 {
			for _, heal := range heals {
				heal()
			}
			heals = nil
		}
	}
}

// flat checks the entries' memory and descriptors.
func (f *fleet) flat() {
	for _, each := range f.entries {
		directory := fmt.Sprintf("/proc/%d/", each.command.Process.Pid)
		open, err := os.ReadDir(directory + "fd")
		assert.NilError(f.t, err)
		assert.Check(f.t, len(open) <= maxDescriptors, "%s has %d descriptors", each.name, len(open))
		content, err := os.ReadFile(directory + "statm")
		assert.NilError(f.t, err)
		pages, err := strconv.Atoi(strings.Fields(string(content))[1])
		assert.NilError(f.t, err)
		assert.Check(f.t, pages*os.Getpagesize() <= maxResident, "%s holds %d bytes", each.name, pages*os.Getpagesize())
	}
}
