package timeline

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestEffectsFollowCauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The second process has a clock that is behind by a second: its readings
		// are those of a clock that starts earlier.
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
		_, followed := clock.TryObserve(Timestamp{
			Wall: own.Wall + int64(MaxClockSkew),
		})
		assert.Assert(t, followed)
		reading, followed := clock.TryObserve(Timestamp{
			Wall: own.Wall + int64(time.Hour),
		})
		assert.Assert(t, !followed)
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

func TestMergeOrdersEventsAcrossProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var first, second Clock
		one := NewRing("entry-1", 10, &first)
		two := NewRing("entry-2", 10, &second)
		one.Record(Event{
			Kind: "publish",
		})
		second.Observe(first.Now())
		two.Record(Event{
			Kind: "in-force",
		})
		first.Observe(second.Now())
		one.Record(Event{
			Kind: "seen",
		})
		ones, _ := one.Select(Filter{})
		twos, _ := two.Select(Filter{})
		assert.Equal(t, kinds(Merge(twos, ones)), "publish in-force seen")
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
		time.Sleep(onceInterval)
		ring.RecordThrottled("clock-ahead entry-2", Event{
			Kind: "clock-ahead",
		})
		events, _ := ring.Select(Filter{})
		assert.Equal(t, len(events), 2)
	})
}

func kinds(events []Event) string {
	var names []string
	for _, event := range events {
		names = append(names, event.Kind)
	}
	return strings.Join(names, " ")
}
