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

// bench watches a service of six backend servers, three in each of two failure
// domains.
type bench struct {
	watch   *Monitor
	servers []intent.BackendServer
	failing map[string]bool
	reached map[string]int
	probes  map[string]int
	silent  []string
	alive   func(server string) bool
}

func newBench(t *testing.T) *bench {
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
	b := &bench{
		servers: configuration.Service("desk").BackendServers,
		failing: make(map[string]bool),
		reached: make(map[string]int),
		probes:  make(map[string]int),
		alive:   func(string) bool { return true },
	}
	b.watch = &Monitor{
		Probe:         b.probe,
		MarkFailing:   func(server string, failing bool) { b.failing[server] = failing },
		MarkReachable: func(failureDomain string) { b.reached[failureDomain]++ },
		SilentDomains: func() []string { return b.silent },
	}
	b.watch.Configure(configuration)
	return b
}

func (b *bench) probe(_ context.Context, server *intent.BackendServer) error {
	b.watch.mu.Lock()
	defer b.watch.mu.Unlock()
	b.probes[server.Name]++
	if !b.alive(server.Name) {
		return errors.New("refused")
	}
	return nil
}

func (b *bench) observe(server int, sign Signal, times int) {
	for range times {
		b.watch.Observe(&b.servers[server], sign)
	}
}

// run probes for a while on the paused clock.
func (b *bench) run(length time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	b.watch.Run(ctx)
}

func (b *bench) countFailing() int {
	count := 0
	for _, failing := range b.failing {
		if failing {
			count++
		}
	}
	return count
}

func TestPassiveSignals(t *testing.T) {
	for _, c := range []struct {
		name    string
		signs   []Signal
		failing bool
	}{
		{
			name:    "two refused connections",
			signs:   []Signal{SignalNoConnection, SignalNoConnection},
			failing: true,
		},
		{
			name:  "an answer between",
			signs: []Signal{SignalNoConnection, SignalAnswered, SignalNoConnection},
		},
		{
			name:  "a few broken connections",
			signs: []Signal{SignalBroken, SignalBroken, SignalBroken},
		},
		{
			name:    "many broken connections",
			signs:   []Signal{SignalBroken, SignalBroken, SignalBroken, SignalBroken},
			failing: true,
		},
		{
			name:  "sheds",
			signs: []Signal{SignalShed, SignalShed, SignalShed, SignalShed, SignalShed, SignalShed},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			for _, sign := range c.signs {
				b.observe(0, sign, 1)
			}
			assert.Equal(t, b.failing["desk-0"], c.failing)
		})
	}
}

// TestPanicThreshold lets half the servers fail, then one more: with most of them failing
// the way there is at fault, and none is taken out.
func TestPanicThreshold(t *testing.T) {
	b := newBench(t)
	for i := range 3 {
		b.observe(i, SignalNoConnection, 2)
	}
	assert.Equal(t, b.countFailing(), 3)
	b.observe(3, SignalNoConnection, 2)
	assert.Equal(t, b.countFailing(), 0)
	b.observe(3, SignalAnswered, 1)
	assert.Equal(t, b.countFailing(), 3)
}

// TestProbeBudget counts the probes of a failing server until its trial, whose
// failure domain is silent as well: 6 ms each are to stay under 1% of its time,
// with a deputy that probes as often.
func TestProbeBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.alive = func(string) bool { return false }
		b.silent = []string{"north-a"}
		b.observe(0, SignalNoConnection, 2)
		b.run(trialAfter)
		const probeCost = 6 * time.Millisecond
		for server, probes := range b.probes {
			assert.Assert(t, 2*time.Duration(probes)*probeCost <= trialAfter/100, "%s: %d probes", server, probes)
		}
		assert.Assert(t, b.probes["desk-0"] > 0)
		assert.Equal(t, b.probes["desk-1"], 0, "a healthy server of another failure domain is not probed")
	})
}

// TestFailedProbesAloneDoNotMarkFailing has probes that fail everywhere while requests are
// answered: no server is taken out.
func TestFailedProbesAloneDoNotMarkFailing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.alive = func(string) bool { return false }
		b.silent = []string{"north-a", "north-b"}
		b.run(time.Minute)
		assert.Equal(t, b.countFailing(), 0)
		// A server that failed and whose probes fail gets a request on trial.
		b.silent = nil
		b.observe(0, SignalNoConnection, 2)
		assert.Equal(t, b.countFailing(), 1)
		b.run(trialAfter + 2*probeInterval)
		assert.Equal(t, b.countFailing(), 0)
		b.observe(0, SignalNoConnection, 1)
		b.run(trialAfter + 2*probeInterval)
		assert.Equal(t, b.countFailing(), 1, "the second wait is longer")
	})
}

func TestSuccessfulProbeClearsFailing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.observe(0, SignalNoConnection, 2)
		before := b.reached["north-a"]
		b.run(probeInterval)
		assert.Equal(t, b.countFailing(), 0)
		assert.Assert(t, b.reached["north-a"] > before)
	})
}

type roundTrip func(*http.Request) (*http.Response, error)

func (r roundTrip) RoundTrip(request *http.Request) (*http.Response, error) {
	return r(request)
}

func TestHTTPProbe(t *testing.T) {
	var asked string
	probe := HTTPProbe(roundTrip(func(request *http.Request) (*http.Response, error) {
		asked = request.Method + " " + request.URL.String()
		return &http.Response{
			StatusCode: http.StatusServiceUnavailable,
			Body:       http.NoBody,
		}, nil
	}))
	assert.NilError(t, probe(context.Background(), &intent.BackendServer{
		Name:    "desk-1",
		Address: "127.0.0.1:100",
	}))
	assert.Equal(t, asked, "GET http://127.0.0.1:100/health")
}
