package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/entry/quarantine"
)

var innocent = quarantine.Digest{1}

// exchange lets lists tell each other what they know, with a delay.
func exchange(delay time.Duration, lists ...*quarantine.List) {
	for _, from := range lists {
		news := from.Suspects()
		time.Sleep(delay)
		for _, to := range lists {
			to.Merge(news)
		}
	}
}

func TestQuarantinedEverywhereAfterTwoFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a, b, c quarantine.List
		a.RecordFailure(innocent, "offers", "server-1")
		a.RecordFailure(innocent, "offers", "server-1")
		exchange(time.Second, &a, &b, &c)
		assert.Assert(t, !a.Quarantined(innocent), "one server twice")
		b.RecordFailure(innocent, "offers", "server-2")
		exchange(time.Second, &a, &b, &c)
		assert.Assert(t, a.Quarantined(innocent) && b.Quarantined(innocent) && c.Quarantined(innocent))
		assert.Assert(t, !c.Quarantined(quarantine.Digest{2}))
	})
}

// TestSuccessClearsSuspect lets a bystander of two crashes end well in between, at
// another entry.
func TestSuccessClearsSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a, b quarantine.List
		a.RecordFailure(innocent, "offers", "server-1")
		exchange(time.Second, &a, &b)
		b.RecordSuccess(innocent)
		exchange(time.Second, &a, &b)
		time.Sleep(time.Minute)
		a.RecordFailure(innocent, "offers", "server-2")
		exchange(time.Second, &a, &b)
		assert.Assert(t, !a.Quarantined(innocent) && !b.Quarantined(innocent))
	})
}

// TestQuarantineExpiresDespiteExchange exchanges a suspect all the time: hearing of a break again
// must not make it younger.
func TestQuarantineExpiresDespiteExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a, b quarantine.List
		a.RecordFailure(innocent, "offers", "server-1")
		a.RecordFailure(innocent, "offers", "server-2")
		assert.Assert(t, a.Quarantined(innocent))
		for range int(quarantine.FailureLifetime / time.Second) {
			exchange(500*time.Millisecond, &a, &b)
		}
		time.Sleep(10 * time.Second)
		assert.Assert(t, !a.Quarantined(innocent) && !b.Quarantined(innocent))
		assert.Equal(t, len(a.Suspects())+len(b.Suspects()), 0)
	})
}

func TestSuspectsPerMessageAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var list quarantine.List
		for i := range 5000 {
			list.RecordFailure(quarantine.Digest([]byte(fmt.Sprintf("request %08d", i))), "offers", "server-1")
		}
		assert.Equal(t, len(list.Suspects()), 32)
	})
}
