package health

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/intent"
)

// fixture is a Monitor of a service with six backend servers, which are named desk-i
// after their index i. Those with an even index are in failure domain north-a, the
// others in north-b.
type fixture struct {
	monitor *Monitor
	servers []intent.BackendServer
	// failing holds the last value passed to MarkFailing for each server.
	failing map[string]bool
	// reachable counts the calls of MarkReachable by failure domain.
	reachable map[string]int
	// probes counts the probes by server.
	probes map[string]int
	// silentDomains is what SilentDomains returns.
	silentDomains []string
	// probeSucceeds reports whether a probe of a server succeeds.
	probeSucceeds func(server string) bool
}

func newFixture(t *testing.T) *fixture {
	service := "name = \"desk\"\n[[region]]\nname = \"north\"\nmax-rate = 10\n"
	for i := range 6 {
		service += fmt.Sprintf("[[backend-server]]\nname = \"desk-%d\"\naddress = \"127.0.0.1:%d\"\nfailure-domain = \"north-%c\"\nslots = 3\n", i, 100+i, 'a'+rune(i%2))
	}
	configuration, err := intent.Compile(1, []intent.Document{
		{
			Name: intent.DeploymentDocument,
			Content: []byte("name = \"test\"\n[objective]\nlatency = 1\n[[region]]\nname = \"north\"\n" +
				"[[failure-domain]]\nname = \"north-a\"\nregion = \"north\"\n[[failure-domain]]\nname = \"north-b\"\nregion = \"north\"\n" +
				"[[entry]]\nname = \"one\"\nfailure-domain = \"north-a\"\n"),
		},
		{
			Name:    "services/desk.toml",
			Content: []byte(service),
		},
	})
	assert.NilError(t, err)
	f := &fixture{
		servers:       configuration.Service("desk").BackendServers,
		failing:       make(map[string]bool),
		reachable:     make(map[string]int),
		probes:        make(map[string]int),
		probeSucceeds: func(string) bool { return true },
	}
	f.monitor = &Monitor{
		Probe:         f.probe,
		MarkFailing:   func(server string, failing bool) { f.failing[server] = failing },
		MarkReachable: func(failureDomain string) { f.reachable[failureDomain]++ },
		SilentDomains: func() []string { return f.silentDomains },
	}
	f.monitor.Configure(configuration)
	return f
}

// probe is the Monitor's Probe function. It counts the probe and returns an error if
// probeSucceeds is false for the server. The Monitor's lock also guards the counts.
func (f *fixture) probe(_ context.Context, server *intent.BackendServer) error {
	f.monitor.mu.Lock()
	defer f.monitor.mu.Unlock()
	f.probes[server.Name]++
	if !f.probeSucceeds(server.Name) {
		return errors.New("refused")
	}
	return nil
}

// observe passes a signal about a server to the Monitor the given number of times.
func (f *fixture) observe(serverIndex int, signal Signal, times int) {
	for range times {
		f.monitor.Observe(&f.servers[serverIndex], signal)
	}
}

// run runs the Monitor for a duration on the fake clock.
func (f *fixture) run(duration time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	f.monitor.Run(ctx)
}

// countFailing returns the number of servers that are marked as failing.
func (f *fixture) countFailing() int {
	count := 0
	for _, failing := range f.failing {
		if failing {
			count++
		}
	}
	return count
}

// TestSignalsThatMarkServerFailing checks that a server is marked as failing after two
// connection failures or four requests without an answer, if there is no answer in
// between, and never for shed requests.
func TestSignalsThatMarkServerFailing(t *testing.T) {
	for _, test := range []struct {
		name    string
		signals []Signal
		failing bool
	}{
		{
			name:    "two connection failures",
			signals: []Signal{SignalNoConnection, SignalNoConnection},
			failing: true,
		},
		{
			name:    "an answer between",
			signals: []Signal{SignalNoConnection, SignalAnswered, SignalNoConnection},
		},
		{
			name:    "three requests without an answer",
			signals: []Signal{SignalNoAnswer, SignalNoAnswer, SignalNoAnswer},
		},
		{
			name:    "four requests without an answer",
			signals: []Signal{SignalNoAnswer, SignalNoAnswer, SignalNoAnswer, SignalNoAnswer},
			failing: true,
		},
		{
			name:    "sheds",
			signals: []Signal{SignalShed, SignalShed, SignalShed, SignalShed, SignalShed, SignalShed},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			for _, signal := range test.signals {
				f.observe(0, signal, 1)
			}
			assert.Equal(t, f.failing["desk-0"], test.failing)
		})
	}
}

// TestPanicThreshold checks that the servers are marked as failing while half of them
// fail, and that none is while more than half fail: the network is then presumed to be
// at fault.
func TestPanicThreshold(t *testing.T) {
	f := newFixture(t)
	for i := range 3 {
		f.observe(i, SignalNoConnection, 2)
	}
	assert.Equal(t, f.countFailing(), 3)
	f.observe(3, SignalNoConnection, 2)
	assert.Equal(t, f.countFailing(), 0)
	f.observe(3, SignalAnswered, 1)
	assert.Equal(t, f.countFailing(), 3)
}

// TestProbeBudget counts the probes of each server until the trial of a failing server
// whose failure domain is silent. At 6 ms each, the probes must take at most 1% of a
// server's time, even if a deputy probes as often.
func TestProbeBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.probeSucceeds = func(string) bool { return false }
		f.silentDomains = []string{"north-a"}
		f.observe(0, SignalNoConnection, 2)
		f.run(initialTrialDelay)
		const probeCost = 6 * time.Millisecond
		for server, probes := range f.probes {
			assert.Assert(t, 2*time.Duration(probes)*probeCost <= initialTrialDelay/100, "%s: %d probes", server, probes)
		}
		assert.Assert(t, f.probes["desk-0"] > 0)
		assert.Equal(t, f.probes["desk-1"], 0, "a healthy server of another failure domain is not probed")
	})
}

// TestFailedProbesAloneDoNotMarkFailing checks that no server is marked as failing
// while all probes fail but no request does, and that a server that failed requests
// is healthy again when its trial is due, although its probes fail.
func TestFailedProbesAloneDoNotMarkFailing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.probeSucceeds = func(string) bool { return false }
		f.silentDomains = []string{"north-a", "north-b"}
		f.run(time.Minute)
		assert.Equal(t, f.countFailing(), 0)
		// After two connection failures the server is failing until its trial.
		f.silentDomains = nil
		f.observe(0, SignalNoConnection, 2)
		assert.Equal(t, f.countFailing(), 1)
		f.run(initialTrialDelay + 2*probeInterval)
		assert.Equal(t, f.countFailing(), 0)
		f.observe(0, SignalNoConnection, 1)
		f.run(initialTrialDelay + 2*probeInterval)
		assert.Equal(t, f.countFailing(), 1, "the second trial delay is longer")
	})
}

// TestSuccessfulProbeClearsFailing checks that a successful probe makes a failing
// server healthy and its failure domain reachable.
func TestSuccessfulProbeClearsFailing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.observe(0, SignalNoConnection, 2)
		reachableBefore := f.reachable["north-a"]
		f.run(probeInterval)
		assert.Equal(t, f.countFailing(), 0)
		assert.Assert(t, f.reachable["north-a"] > reachableBefore)
	})
}

// roundTripFunc is a function that implements http.RoundTripper.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (r roundTripFunc) RoundTrip(request *http.Request) (*http.Response, error) {
	return r(request)
}

// TestHTTPProbe checks that a probe sends GET /health to the server's address and
// that a response with an error status counts as success.
func TestHTTPProbe(t *testing.T) {
	var requested string
	probe := HTTPProbe(roundTripFunc(func(request *http.Request) (*http.Response, error) {
		requested = request.Method + " " + request.URL.String()
		return &http.Response{
			StatusCode: http.StatusServiceUnavailable,
			Body:       http.NoBody,
		}, nil
	}))
	assert.NilError(t, probe(context.Background(), &intent.BackendServer{
		Name:    "desk-1",
		Address: "127.0.0.1:100",
	}))
	assert.Equal(t, requested, "GET http://127.0.0.1:100/health")
}
