package timeline

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestObserveAdvancesLaggingClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Both clocks read the same time here, so a second is added to the cause to
		// make the second clock lag behind.
		var ahead, behind Clock
		cause := ahead.Now()
		cause.Wall += int64(time.Second)
		effect := behind.Observe(cause)
		assert.Assert(t, effect.Compare(cause) > 0)
		assert.Assert(t, behind.Now().Compare(effect) > 0)
	})
}

func TestReadingFarAheadIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var clock Clock
		own := clock.Now()
		_, accepted := clock.TryObserve(Timestamp{
			Wall: own.Wall + int64(MaxClockSkew),
		})
		assert.Assert(t, accepted)
		reading, accepted := clock.TryObserve(Timestamp{
			Wall: own.Wall + int64(time.Hour),
		})
		assert.Assert(t, !accepted)
		assert.Assert(t, reading.Wall <= own.Wall+int64(MaxClockSkew))
	})
}

func TestRingKeepsNewestAndCountsDropped(t *testing.T) {
	ring := NewRing("entry-1", 3, &Clock{})
	for _, kind := range []string{"a", "b", "c", "d", "e"} {
		ring.Record(Event{
			Kind: kind,
		})
	}
	events, dropped := ring.Select(Filter{})
	assert.Equal(t, kinds(events), "c d e")
	assert.Equal(t, dropped, uint64(2))
	events, _ = ring.Select(Filter{
		Limit: 2,
	})
	assert.Equal(t, kinds(events), "d e")
}

func TestSelectByEachField(t *testing.T) {
	ring := NewRing("entry-1", 10, &Clock{})
	ring.Record(Event{
		Kind: "key",
		Key:  "k",
	})
	ring.Record(Event{
		Kind:    "service",
		Service: "s",
	})
	ring.Record(Event{
		Kind:   "server",
		Server: "b",
	})
	ring.Record(Event{
		Kind:    "version",
		Version: 7,
	})
	for want, filter := range map[string]Filter{
		"key": {
			Key: "k",
		},
		"service": {
			Service: "s",
		},
		"server": {
			Server: "b",
		},
		"version": {
			Version: 7,
		},
	} {
		events, _ := ring.Select(filter)
		assert.Equal(t, kinds(events), want)
	}
}

// TestMergeOrdersEventsAcrossProcesses records three events of two processes, each of
// which observes the other's clock before its next event.
func TestMergeOrdersEventsAcrossProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var firstClock, secondClock Clock
		firstRing := NewRing("entry-1", 10, &firstClock)
		secondRing := NewRing("entry-2", 10, &secondClock)
		firstRing.Record(Event{
			Kind: "publish",
		})
		secondClock.Observe(firstClock.Now())
		secondRing.Record(Event{
			Kind: "in-force",
		})
		firstClock.Observe(secondClock.Now())
		firstRing.Record(Event{
			Kind: "seen",
		})
		firstEvents, _ := firstRing.Select(Filter{})
		secondEvents, _ := secondRing.Select(Filter{})
		assert.Equal(t, kinds(Merge(secondEvents, firstEvents)), "publish in-force seen")
	})
}

func TestRecordThrottledKeepsOnePerMinute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ring := NewRing("entry-1", 10, &Clock{})
		for range 3 {
			ring.RecordThrottled("clock-ahead entry-2", Event{
				Kind: "clock-ahead",
			})
		}
		time.Sleep(throttleInterval)
		ring.RecordThrottled("clock-ahead entry-2", Event{
			Kind: "clock-ahead",
		})
		events, _ := ring.Select(Filter{})
		assert.Equal(t, len(events), 2)
	})
}

// kinds returns the kinds of events, separated by spaces.
func kinds(events []Event) string {
	var names []string
	for _, event := range events {
		names = append(names, event.Kind)
	}
	return strings.Join(names, " ")
}
