package dispatch_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/teaselstack/teaselstack/intent"
)

var (
	histories = flag.Int("histories", 3000, "number of seeded histories to run")
	firstSeed = flag.Uint64("seed", 1, "seed of the first history")
)

// historyGroupCount is the number of histories that run in parallel.
const historyGroupCount = 8

// timedRequest is one request of a history with its reply. Times are relative to the
// start of the history.
type timedRequest struct {
	request callerRequest
	reply   reply
	// began is when the request was sent or, until then, when it is to be sent.
	began time.Duration
	// ended is when the caller had the reply.
	ended time.Duration
}

// TestHistoriesMatchSingleRunModel runs seeded histories, in which callers send the
// same keys repeatedly and concurrently while up to two faults occur. Each history
// must be linearizable according to singleRunModel, and no key may run twice.
func TestHistoriesMatchSingleRunModel(t *testing.T) {
	configuration := compileConfiguration(t)
	var mu sync.Mutex
	counts := make(map[string]int)
	for group := range historyGroupCount {
		t.Run(fmt.Sprintf("group-%d", group), func(t *testing.T) {
			t.Parallel()
			for i := group; i < *histories; i += historyGroupCount {
				seed := *firstSeed + uint64(i)
				synctest.Test(t, func(t *testing.T) {
					for label, count := range runHistory(t, configuration, seed) {
						mu.Lock()
						counts[label] += count
						mu.Unlock()
					}
				})
				if t.Failed() {
					t.Fatalf("repeat with -seed %d -histories 1", seed)
				}
			}
		})
	}
	t.Cleanup(func() {
		for _, fault := range faultNames {
			total := counts[fault+" done"] + counts[fault+" not-run"] + counts[fault+" unknown"]
			t.Logf("%-14s %5d requests: done %4.1f%%, not run %4.1f%%, unknown %4.1f%%", fault, total,
				100*float64(counts[fault+" done"])/float64(total),
				100*float64(counts[fault+" not-run"])/float64(total),
				100*float64(counts[fault+" unknown"])/float64(total))
		}
	})
}

// faultNames lists the labels of histories: "none" without a fault, the kind of the
// fault with one, and "two faults" with two.
var faultNames = []string{"none", "replace entry", "pause entry", "cut entries", "store down", "store loses", "server faults", "two faults"}

// historyLength is the time within which the first request of each key is sent and
// all faults begin.
const historyLength = 300 * time.Millisecond

// runHistory runs and checks one history. It returns the number of replies by the
// history's fault label and the outcome.
func runHistory(t *testing.T, configuration *intent.Configuration, seed uint64) map[string]int {
	random := rand.New(rand.NewPCG(seed, 0))
	c := newCluster(t, configuration)
	defer c.close()
	c.storeDelay = time.Duration(random.IntN(4)) * 10 * time.Millisecond
	label := c.addFaults(random)
	requests := c.drawRequests(random)
	start := time.Now()
	var group sync.WaitGroup
	for i := range requests {
		group.Go(func() {
			timed := &requests[i]
			time.Sleep(timed.began)
			timed.began = time.Since(start)
			timed.reply = c.send(timed.request)
			timed.ended = time.Since(start)
		})
	}
	group.Wait()
	c.faultTasks.Wait()
	counts := make(map[string]int)
	for _, timed := range requests {
		counts[label+" "+timed.reply.outcome]++
	}
	c.checkRequests(t, seed, requests)
	return counts
}

// drawRequests generates the requests of a history: for each of three keys, two to
// four requests with the same content to random entries.
func (c *cluster) drawRequests(random *rand.Rand) []timedRequest {
	keys := []string{"own-a", "own-b", c.entry(randomEntry(random)).register.IssueTicket()}
	var requests []timedRequest
	for _, requestKey := range keys {
		body := strings.Repeat("x", random.IntN(3)*3000)
		began := time.Duration(random.Int64N(int64(historyLength)))
		for sent := range 2 + random.IntN(3) {
			requests = append(requests, timedRequest{
				began: began,
				request: callerRequest{
					entry:     randomEntry(random),
					key:       requestKey,
					query:     "echo=" + requestKey,
					body:      strings.NewReader(body),
					firstSend: sent == 0 && random.IntN(2) == 0,
				},
			})
			began += time.Duration(1 + random.Int64N(int64(historyLength/2)))
		}
	}
	return requests
}

// randomEntry returns the name of a random entry.
func randomEntry(random *rand.Rand) string {
	return fmt.Sprintf("entry-%d", random.IntN(entryCount))
}

// addFaults schedules up to two random faults and returns the label of the history.
func (c *cluster) addFaults(random *rand.Rand) string {
	count := random.IntN(8)
	if count < 6 {
		count = min(count, 1)
	} else {
		count = 2
	}
	label := "none"
	for range count {
		label = faultNames[1+random.IntN(len(faultNames)-2)]
		c.addFault(random, label)
	}
	if count == 2 {
		label = "two faults"
	}
	return label
}

// addFault injects a fault of the kind that the label names. A replacement or pause of
// an entry, a partition of two entries or an outage of the store begins at a random
// time and, except for the replacement, ends after a random time. The other faults
// affect random commits or requests throughout the history.
func (c *cluster) addFault(random *rand.Rand, label string) {
	random = rand.New(rand.NewPCG(random.Uint64(), 0))
	at := time.Duration(random.Int64N(int64(historyLength)))
	length := time.Duration(random.Int64N(int64(2 * deadline)))
	victim, other := randomEntry(random), randomEntry(random)
	during := func(begin, end func()) {
		c.faultTasks.Go(func() {
			time.Sleep(at)
			begin()
			time.Sleep(length)
			end()
		})
	}
	switch label {
	case "replace entry":
		during(func() { c.replace(victim) }, func() {})
	case "pause entry":
		process := c.processOf(victim)
		during(func() { c.network.pause(process) }, func() { c.network.resume(process) })
	case "cut entries":
		a, b := c.processOf(victim), c.processOf(other)
		during(func() { c.network.partition(a, b) }, func() { c.network.heal(a, b) })
	case "store down":
		during(func() { c.setStoreDown(true) }, func() { c.setStoreDown(false) })
	case "store loses":
		var mu sync.Mutex
		c.loseCommitAnswer = func() bool {
			mu.Lock()
			defer mu.Unlock()
			return random.IntN(3) == 0
		}
	case "server faults":
		var mu sync.Mutex
		for _, s := range c.servers {
			s.fault = func(*http.Request) string {
				mu.Lock()
				defer mu.Unlock()
				kinds := []string{"", "", "shed", "crash", "late", "slow", "crossed", "short", "unframed"}
				return kinds[random.IntN(len(kinds))]
			}
		}
	}
}

// setStoreDown makes the store unreachable or reachable again.
func (c *cluster) setStoreDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeDown = down
}

// checkRequests checks that each key ran at most once, that callers got responses to
// their own requests, and that the replies for each key match singleRunModel.
func (c *cluster) checkRequests(t *testing.T, seed uint64, requests []timedRequest) {
	t.Helper()
	operations := make(map[string][]porcupine.Operation)
	for i, timed := range requests {
		requestKey := timed.request.key
		observed := timed.reply
		// The outcome is unknown to a caller that gets a truncated response. Only a
		// response without a reason has the body of a run.
		if observed.outcome == "done" && (!observed.complete || observed.reason == "" && !strings.HasPrefix(observed.body, requestKey+" "+requestKey+" run")) {
			if observed.complete {
				t.Errorf("seed %d: key %s got the response %q", seed, requestKey, observed.body)
			}
			observed.outcome = "unknown"
		}
		// A request with an unknown outcome may still take effect after its reply.
		ended := int64(timed.ended)
		if observed.outcome == "unknown" {
			ended = int64(time.Hour)
		}
		operations[requestKey] = append(operations[requestKey], porcupine.Operation{
			ClientId: i,
			Call:     int64(timed.began),
			Output:   observed,
			Return:   ended,
		})
	}
	for requestKey, history := range operations {
		if runs := c.runsOfKey(requestKey); runs > 1 {
			t.Errorf("seed %d: key %s ran %d times", seed, requestKey, runs)
		}
		if !porcupine.CheckOperations(singleRunModel.ToModel(), history) {
			t.Errorf("seed %d: history of key %s is not linearizable: %+v", seed, requestKey, history)
		}
	}
}

// singleRunModel specifies the requests of one key: they have not run, or one of
// them has run once. The state is nil if none has run. Otherwise it is the body of
// the response, or "" while no caller has seen the body.
var singleRunModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{nil} },
	Step: func(state, _, output any) []any {
		observed := output.(reply)
		switch {
		case observed.outcome == "not-run":
			if state != nil {
				return nil
			}
			return []any{nil}
		case observed.outcome == "unknown":
			if state == nil {
				return []any{nil, ""}
			}
			return []any{state}
		case state == nil || state == "":
			return []any{observed.body}
		case observed.body != "" && observed.body != state:
			return nil
		}
		return []any{state}
	},
}
