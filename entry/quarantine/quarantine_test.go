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
		news := from.News()
		time.Sleep(delay)
		for _, to := range lists {
			to.Learn(news)
		}
	}
}

func TestTwoServersQuarantineEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a, b, c quarantine.List
		a.Broke(innocent, "offers", "server-1")
		a.Broke(innocent, "offers", "server-1")
		exchange(time.Second, &a, &b, &c)
		assert.Assert(t, !a.Quarantined(innocent), "one server twice")
		b.Broke(innocent, "offers", "server-2")
		exchange(time.Second, &a, &b, &c)
		assert.Assert(t, a.Quarantined(innocent) && b.Quarantined(innocent) && c.Quarantined(innocent))
		assert.Assert(t, !c.Quarantined(quarantine.Digest{2}))
	})
}

// TestFinishingClears lets a bystander of two crashes end well in between, at
// another entry.
func TestFinishingClears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a, b quarantine.List
		a.Broke(innocent, "offers", "server-1")
		exchange(time.Second, &a, &b)
		b.Finished(innocent)
		exchange(time.Second, &a, &b)
		time.Sleep(time.Minute)
		a.Broke(innocent, "offers", "server-2")
		exchange(time.Second, &a, &b)
		assert.Assert(t, !a.Quarantined(innocent) && !b.Quarantined(innocent))
	})
}

// TestSuspicionEnds exchanges a suspect all the time: hearing of a break again
// must not make it younger.
func TestSuspicionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a, b quarantine.List
		a.Broke(innocent, "offers", "server-1")
		a.Broke(innocent, "offers", "server-2")
		assert.Assert(t, a.Quarantined(innocent))
		for range int(quarantine.Lifetime / time.Second) {
			exchange(500*time.Millisecond, &a, &b)
		}
		time.Sleep(10 * time.Second)
		assert.Assert(t, !a.Quarantined(innocent) && !b.Quarantined(innocent))
		assert.Equal(t, len(a.News())+len(b.News()), 0)
	})
}

func TestBoundedNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var list quarantine.List
		for i := range 5000 {
			list.Broke(quarantine.Digest([]byte(fmt.Sprintf("request %08d", i))), "offers", "server-1")
		}
		assert.Equal(t, len(list.News()), 32)
	})
}
