package placement_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/entry/placement"
	"github.com/teaselstack/teaselstack/routing"
)

func askOn(name string, left time.Duration) *placement.Request {
	request := askFor(1)
	request.Route = &routing.Route{
		Name:             name,
		LatencyObjective: time.Second,
		MaxAttempts:      2,
	}
	request.TimeLeft = left
	return request
}

// answerIn places a request whose answer takes a time.
func answerIn(t *testing.T, fleet *placement.Fleet, request *placement.Request, took time.Duration) {
	t.Helper()
	choice, refusal := fleet.Choose(request)
	assert.Equal(t, refusal, placement.RefusalNone)
	time.Sleep(took)
	fleet.Done(&choice, placement.SignalAnswered, nil, took)
}

// TestNewRouteGetsTrialRequests: what a new route's requests take is not known. A server
// with a free slot gets one although the work that is assumed does not fit the
// time that is left.
func TestNewRouteGetsTrialRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(newServer("a"))
		for range 20 {
			answerIn(t, fleet, askOn("new", 400*time.Millisecond), 50*time.Millisecond)
			time.Sleep(3 * time.Second)
		}
		for range 3 {
			_, refusal := fleet.Choose(askOn("new", 400*time.Millisecond))
			assert.Equal(t, refusal, placement.RefusalNone)
		}
	})
}

// TestRefusedRouteGetsTrialRequests: a route whose requests took longer than
// they may is refused, and tried from time to time.
func TestRefusedRouteGetsTrialRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(newServer("a"))
		for range 100 {
			answerIn(t, fleet, askOn("slow", 0), 800*time.Millisecond)
		}
		_, refusal := fleet.Choose(askOn("slow", 400*time.Millisecond))
		assert.Equal(t, refusal, placement.RefusalNoRoom)
		tried := 0
		for range 100 {
			choice, refusal := fleet.Choose(askOn("slow", 400*time.Millisecond))
			if refusal == placement.RefusalNone {
				tried++
				fleet.Done(&choice, placement.SignalNone, nil, 0)
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, tried >= 3 && tried <= 5, "%d in 10 s", tried)
	})
}

// TestNewRouteUsesServiceEstimate: the work of a service's other routes is the best
// guess of a new route's.
func TestNewRouteUsesServiceEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(newServer("a"))
		for range 200 {
			answerIn(t, fleet, askOn("old", 0), 50*time.Millisecond)
		}
		for range 3 {
			_, refusal := fleet.Choose(askOn("new", 400*time.Millisecond))
			assert.Equal(t, refusal, placement.RefusalNone)
		}
	})
}
