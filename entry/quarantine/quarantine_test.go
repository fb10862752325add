package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/entry/quarantine"
)

var request = quarantine.Digest{1}

// exchange sends the suspects of each list to all lists, with a delay.
func exchange(delay time.Duration, lists ...*quarantine.List) {
	for _, from := range lists {
		suspects := from.Suspects()
		time.Sleep(delay)
		for _, to := range lists {
			to.Merge(suspects)
		}
	}
}

// TestQuarantinedEverywhereAfterTwoFailures fails two backend servers at
// different entries. Repeated failures of one server count once.
func TestQuarantinedEverywhereAfterTwoFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a, b, c quarantine.List
		a.RecordFailure(request, "offers", "server-1")
		a.RecordFailure(request, "offers", "server-1")
		exchange(time.Second, &a, &b, &c)
		assert.Assert(t, !a.Quarantined(request), "two failures of the same server")
		b.RecordFailure(request, "offers", "server-2")
		exchange(time.Second, &a, &b, &c)
		assert.Assert(t, a.Quarantined(request) && b.Quarantined(request) && c.Quarantined(request))
		assert.Assert(t, !c.Quarantined(quarantine.Digest{2}))
	})
}

// TestSuccessClearsSuspect lets a request that is in flight during two failures
// succeed between them, at another entry. It must not be quarantined.
func TestSuccessClearsSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a, b quarantine.List
		a.RecordFailure(request, "offers", "server-1")
		exchange(time.Second, &a, &b)
		b.RecordSuccess(request)
		exchange(time.Second, &a, &b)
		time.Sleep(time.Minute)
		a.RecordFailure(request, "offers", "server-2")
		exchange(time.Second, &a, &b)
		assert.Assert(t, !a.Quarantined(request) && !b.Quarantined(request))
	})
}

// TestQuarantineExpiresDespiteExchange exchanges a suspect all the time. Hearing
// of a failure again must not extend the suspicion.
func TestQuarantineExpiresDespiteExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a, b quarantine.List
		a.RecordFailure(request, "offers", "server-1")
		a.RecordFailure(request, "offers", "server-2")
		assert.Assert(t, a.Quarantined(request))
		for range int(quarantine.FailureLifetime / time.Second) {
			exchange(500*time.Millisecond, &a, &b)
		}
		time.Sleep(10 * time.Second)
		assert.Assert(t, !a.Quarantined(request) && !b.Quarantined(request))
		assert.Equal(t, len(a.Suspects())+len(b.Suspects()), 0)
	})
}

// TestSuspectsPerMessageAreBounded checks that a message carries a bounded
// number of suspects, no matter how many the list has seen.
func TestSuspectsPerMessageAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var list quarantine.List
		for i := range 5000 {
			list.RecordFailure(quarantine.Digest([]byte(fmt.Sprintf("request %08d", i))), "offers", "server-1")
		}
		assert.Equal(t, len(list.Suspects()), 32)
	})
}
