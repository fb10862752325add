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
	histories = flag.Int("histories", 3000, "how many seeded histories to run")
	firstSeed = flag.Uint64("seed", 1, "the first history's seed")
)

// historyGroups is how many histories run at the same time.
const historyGroups = 8

// step is one sending in a history, as its caller saw it.
type step struct {
	sending sending
	reply   reply
	began   time.Duration
	ended   time.Duration
}

// TestHistoriesMatchSingleRunModel runs seeded histories of concurrent repeats under up to two
// faults, and checks each against the model of one run for each key.
func TestHistoriesMatchSingleRunModel(t *testing.T) {
	configuration := compile(t)
	var mu sync.Mutex
	counts := make(map[string]int)
	for group := range historyGroups {
		t.Run(fmt.Sprintf("group-%d", group), func(t *testing.T) {
			t.Parallel()
			for i := group; i < *histories; i += historyGroups {
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
			t.Logf("%-14s %5d sendings: done %4.1f%%, not run %4.1f%%, unknown %4.1f%%", fault, total,
				100*float64(counts[fault+" done"])/float64(total),
				100*float64(counts[fault+" not-run"])/float64(total),
				100*float64(counts[fault+" unknown"])/float64(total))
		}
	})
}

var faultNames = []string{"none", "replace entry", "pause entry", "cut entries", "store down", "store loses", "server faults", "two faults"}

// span is how long a history sends new requests and makes faults.
const span = 300 * time.Millisecond

func runHistory(t *testing.T, configuration *intent.Configuration, seed uint64) map[string]int {
	random := rand.New(rand.NewPCG(seed, 0))
	f := newFleet(t, configuration)
	defer f.close()
	f.storeDelay = time.Duration(random.IntN(4)) * 10 * time.Millisecond
	label := f.addFaults(random)
	steps := f.plan(random)
	start := time.Now()
	var group sync.WaitGroup
	for i := range steps {
		group.Go(func() {
			each := &steps[i]
			time.Sleep(each.began)
			each.began = time.Since(start)
			each.reply = f.send(each.sending)
			each.ended = time.Since(start)
		})
	}
	group.Wait()
	f.faults.Wait()
	counts := make(map[string]int)
	for _, each := range steps {
		counts[label+" "+each.reply.outcome]++
	}
	f.judge(t, seed, steps)
	return counts
}

// plan draws the sendings: each key several times, at any entries.
func (f *fleet) plan(random *rand.Rand) []step {
	keys := []string{"own-a", "own-b", f.node(anyEntry(random)).register.IssueTicket()}
	var steps []step
	for _, name := range keys {
		body := strings.Repeat("x", random.IntN(3)*3000)
		began := time.Duration(random.Int64N(int64(span)))
		for sent := range 2 + random.IntN(3) {
			steps = append(steps, step{
				began: began,
				sending: sending{
					entry: anyEntry(random),
					key:   name,
					query: "echo=" + name,
					body:  strings.NewReader(body),
					first: sent == 0 && random.IntN(2) == 0,
				},
			})
			began += time.Duration(1 + random.Int64N(int64(span/2)))
		}
	}
	return steps
}

func anyEntry(random *rand.Rand) string {
	return fmt.Sprintf("entry-%d", random.IntN(entries))
}

// addFaults draws none, one or two faults and returns their label.
func (f *fleet) addFaults(random *rand.Rand) string {
	count := random.IntN(8)
	if count < 6 {
		count = min(count, 1)
	} else {
		count = 2
	}
	label := "none"
	for range count {
		label = faultNames[1+random.IntN(len(faultNames)-2)]
		f.addFault(random, label)
	}
	if count == 2 {
		label = "two faults"
	}
	return label
}

func (f *fleet) addFault(random *rand.Rand, label string) {
	random = rand.New(rand.NewPCG(random.Uint64(), 0))
	at := time.Duration(random.Int64N(int64(span)))
	length := time.Duration(random.Int64N(int64(2 * deadline)))
	victim, other := anyEntry(random), anyEntry(random)
	during := func(begin, end func()) {
		f.faults.Go(func() {
			time.Sleep(at)
			begin()
			time.Sleep(length)
			end()
		})
	}
	switch label {
	case "replace entry":
		during(func() { f.replace(victim) }, func() {})
	case "pause entry":
		process := f.process(victim)
		during(func() { f.net.pause(process) }, func() { f.net.resume(process) })
	case "cut entries":
		a, b := f.process(victim), f.process(other)
		during(func() { f.net.cut(a, b) }, func() { f.net.heal(a, b) })
	case "store down":
		during(func() { f.setStoreDown(true) }, func() { f.setStoreDown(false) })
	case "store loses":
		var mu sync.Mutex
		f.loseAnswer = func() bool {
			mu.Lock()
			defer mu.Unlock()
			return random.IntN(3) == 0
		}
	case "server faults":
		var mu sync.Mutex
		for _, s := range f.servers {
			s.fault = func(*http.Request) string {
				mu.Lock()
				defer mu.Unlock()
				kinds := []string{"", "", "shed", "crash", "late", "slow", "crossed", "short", "unframed"}
				return kinds[random.IntN(len(kinds))]
			}
		}
	}
}

func (f *fleet) setStoreDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeDown = down
}

// judge checks run counts, answers and the order of what callers were told.
func (f *fleet) judge(t *testing.T, seed uint64, steps []step) {
	t.Helper()
	operations := make(map[string][]porcupine.Operation)
	for i, each := range steps {
		name := each.sending.key
		told := each.reply
		if told.outcome == "done" && (!told.whole || told.reason == "" && !strings.HasPrefix(told.body, name+" "+name+" run")) {
			if told.whole {
				t.Errorf("seed %d: key %s got the answer %q", seed, name, told.body)
			}
			told.outcome = "unknown"
		}
		ended := int64(each.ended)
		if told.outcome == "unknown" {
			ended = int64(time.Hour)
		}
		operations[name] = append(operations[name], porcupine.Operation{
			ClientId: i,
			Call:     int64(each.began),
			Output:   told,
			Return:   ended,
		})
	}
	for name, history := range operations {
		if runs := f.totalRuns(name); runs > 1 {
			t.Errorf("seed %d: key %s ran %d times", seed, name, runs)
		}
		if !porcupine.CheckOperations(oneRun.ToModel(), history) {
			t.Errorf("seed %d: no order of one run explains key %s: %+v", seed, name, history)
		}
	}
}

// oneRun is the model: a key has not run, or it has run once with one answer.
// The state is nil, or the answer's text, which is "" while no caller saw it.
var oneRun = porcupine.NondeterministicModel{
	Init: func() []any { return []any{nil} },
	Step: func(state, _, output any) []any {
		told := output.(reply)
		switch {
		case told.outcome == "not-run":
			if state != nil {
				return nil
			}
			return []any{nil}
		case told.outcome == "unknown":
			if state == nil {
				return []any{nil, ""}
			}
			return []any{state}
		case state == nil || state == "":
			return []any{told.body}
		case told.body != "" && told.body != state:
			return nil
		}
		return []any{state}
	},
}
