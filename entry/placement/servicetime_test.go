package placement_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/entry/placement"
	"github.com/teaselstack/teaselstack/routing"
)

// requestOnRoute returns a request on the named route, whose objective is one second.
func requestOnRoute(name string, timeLeft time.Duration) *placement.Request {
	request := newRequest(1)
	request.Route = &routing.Route{
		Name:             name,
		LatencyObjective: time.Second,
		MaxAttempts:      2,
	}
	request.TimeLeft = timeLeft
	return request
}

// completeRequest places a request and completes it after the given time.
func completeRequest(t *testing.T, fleet *placement.Fleet, request *placement.Request, took time.Duration) {
	t.Helper()
	choice, refusal := fleet.Choose(request)
	assert.Equal(t, refusal, placement.RefusalNone)
	time.Sleep(took)
	fleet.Done(&choice, placement.SignalAnswered, nil, took)
}

// TestNewRouteGetsTrialRequests checks that a request on a route whose service time
// is unknown is sent to a server with a free slot, although the assumed service time
// exceeds the time left. Otherwise the true service time would never be observed.
func TestNewRouteGetsTrialRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(newTestServer("a"))
		for range 20 {
			completeRequest(t, fleet, requestOnRoute("new", 400*time.Millisecond), 50*time.Millisecond)
			time.Sleep(3 * time.Second)
		}
		for range 3 {
			_, refusal := fleet.Choose(requestOnRoute("new", 400*time.Millisecond))
			assert.Equal(t, refusal, placement.RefusalNone)
		}
	})
}

// TestRefusedRouteGetsTrialRequests checks that requests on a route whose service
// time exceeds the time left are refused, except for periodic trials, which show
// whether the route has become faster.
func TestRefusedRouteGetsTrialRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(newTestServer("a"))
		for range 100 {
			completeRequest(t, fleet, requestOnRoute("slow", 0), 800*time.Millisecond)
		}
		_, refusal := fleet.Choose(requestOnRoute("slow", 400*time.Millisecond))
		assert.Equal(t, refusal, placement.RefusalNoRoom)
		trials := 0
		for range 100 {
			choice, refusal := fleet.Choose(requestOnRoute("slow", 400*time.Millisecond))
			if refusal == placement.RefusalNone {
				trials++
				fleet.Done(&choice, placement.SignalNone, nil, 0)
			}
			time.Sleep(100 * time.Millisecond)
		}
		// There is at most one trial per trialInterval, which is 2 s.
		assert.Assert(t, trials >= 3 && trials <= 5, "%d trials in 10 s", trials)
	})
}

// TestNewRouteUsesServiceEstimate checks that the service time of a new route is taken
// from the other routes of its service. Otherwise the assumed service time of half the
// objective would exceed the time left, and only trial requests would be admitted.
func TestNewRouteUsesServiceEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(newTestServer("a"))
		for range 200 {
			completeRequest(t, fleet, requestOnRoute("old", 0), 50*time.Millisecond)
		}
		for range 3 {
			_, refusal := fleet.Choose(requestOnRoute("new", 400*time.Millisecond))
			assert.Equal(t, refusal, placement.RefusalNone)
		}
	})
}
