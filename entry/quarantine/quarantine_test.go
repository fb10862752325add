package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/entry/quarantine"
)

// requestDigest is the digest of the request under test.
var requestDigest = quarantine.Digest{1}

// exchange sends the suspects and quarantined requests of each list in turn to all lists,
// itself included. Each message arrives after delay.
func exchange(delay time.Duration, lists ...*quarantine.List) {
	for _, from := range lists {
		suspects, quarantines := from.Suspects(), from.Quarantines()
		time.Sleep(delay)
		for _, to := range lists {
			to.Merge(suspects)
			to.MergeQuarantines(quarantines)
		}
	}
}

// TestQuarantinedEverywhereAfterTwoFailures records failures of two backend
// servers, each at another entry. All entries must quarantine the request. Repeated
// failures of one server count once.
func TestQuarantinedEverywhereAfterTwoFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a, b, c quarantine.List
		a.RecordFailure(requestDigest, "offers", "server-1")
		a.RecordFailure(requestDigest, "offers", "server-1")
		exchange(time.Second, &a, &b, &c)
		assert.Assert(t, !a.Quarantined(requestDigest), "quarantined after two failures of the same server")
		b.RecordFailure(requestDigest, "offers", "server-2")
		exchange(time.Second, &a, &b, &c)
		assert.Assert(t, a.Quarantined(requestDigest) && b.Quarantined(requestDigest) && c.Quarantined(requestDigest))
		assert.Assert(t, !c.Quarantined(quarantine.Digest{2}))
	})
}

// TestSuccessClearsSuspect records a failure, then a success at another entry, then a
// failure of a second server, all for one request. The request must not be
// quarantined.
func TestSuccessClearsSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a, b quarantine.List
		a.RecordFailure(requestDigest, "offers", "server-1")
		exchange(time.Second, &a, &b)
		b.RecordSuccess(requestDigest)
		exchange(time.Second, &a, &b)
		// The delay of the messages makes the success appear later than it was. The
		// second failure must come after that time, since the success would otherwise
		// clear it as well.
		time.Sleep(time.Minute)
		a.RecordFailure(requestDigest, "offers", "server-2")
		exchange(time.Second, &a, &b)
		assert.Assert(t, !a.Quarantined(requestDigest) && !b.Quarantined(requestDigest))
	})
}

// TestQuarantineExpiresDespiteExchange exchanges a quarantined suspect once a second for
// FailureLifetime. Receiving the same failure again must not extend the quarantine.
func TestQuarantineExpiresDespiteExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a, b quarantine.List
		a.RecordFailure(requestDigest, "offers", "server-1")
		a.RecordFailure(requestDigest, "offers", "server-2")
		assert.Assert(t, a.Quarantined(requestDigest))
		for range int(quarantine.FailureLifetime / time.Second) {
			// The messages of the two lists take one second together.
			exchange(500*time.Millisecond, &a, &b)
		}
		time.Sleep(10 * time.Second)
		assert.Assert(t, !a.Quarantined(requestDigest) && !b.Quarantined(requestDigest))
		assert.Equal(t, len(a.Suspects())+len(b.Suspects()), 0)
	})
}

// TestSuspectsPerMessageAreBounded checks that a message carries at most
// maxSuspectsPerMessage suspects, however many failures were recorded.
func TestSuspectsPerMessageAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var list quarantine.List
		for i := range 5000 {
			// The text has 16 bytes, the length of a Digest.
			list.RecordFailure(quarantine.Digest([]byte(fmt.Sprintf("request %08d", i))), "offers", "server-1")
		}
		// 32 is maxSuspectsPerMessage.
		assert.Equal(t, len(list.Suspects()), 32)
	})
}

// TestFailuresOfOtherRequestsKeepQuarantine guards against the eviction of a request that
// has crashed servers, and is refused since, by the many that broken connections make
// suspect.
func TestFailuresOfOtherRequestsKeepQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var list quarantine.List
		list.RecordFailure(requestDigest, "offers", "server-1")
		list.RecordFailure(requestDigest, "offers", "server-2")
		for i := range 1000 {
			time.Sleep(10 * time.Millisecond)
			// The text has 16 bytes, the length of a Digest.
			list.RecordFailure(quarantine.Digest([]byte(fmt.Sprintf("request %08d", i))), "offers", "server-1")
		}
		assert.Assert(t, list.Quarantined(requestDigest))
	})
}

// unansweredRun is a run of the request with a digest.
func unansweredRun(digest quarantine.Digest) quarantine.Run {
	return quarantine.Run{
		Request: quarantine.Request{
			Content: digest,
		},
		Service: "offers",
		Server:  "server-1",
	}
}

// TestUnansweredRequestsAreBounded guards against a list that grows while requests get no answer
// and servers come and go.
func TestUnansweredRequestsAreBounded(t *testing.T) {
	var list quarantine.List
	asked := 0
	for i := range 4000 {
		list.RecordUnanswered(unansweredRun(quarantine.Digest([]byte(fmt.Sprintf("request %08d", i)))), func() bool {
			asked++
			if asked%7 == 0 {
				// The list may be changed while servers are asked about.
				list.RecordUnanswered(unansweredRun(requestDigest), func() bool { return true })
			}
			return true
		})
		if i%600 == 599 {
			list.CheckUnanswered()
		}
	}
	asked = 0
	list.CheckUnanswered()
	// 512 is maxUnanswered.
	assert.Assert(t, asked <= 512, "%d requests", asked)
}

// TestQuarantinesOutnumberBounds guards against requests that are sent on because more are
// quarantined than a list of suspects, a message or a stored row used to hold.
func TestQuarantinesOutnumberBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const quarantined = 600
		// The text has 16 bytes, the length of a Digest.
		digest := func(number int) quarantine.Digest {
			return quarantine.Digest([]byte(fmt.Sprintf("request %08d", number)))
		}
		var list, peer, successor quarantine.List
		for number := range quarantined {
			list.RecordFailure(digest(number), "offers", "server-1")
			list.RecordFailure(digest(number), "offers", "server-2")
		}
		for number := range 5000 {
			list.RecordFailure(digest(quarantined+number), "offers", "server-1")
		}
		for range 100 {
			exchange(200*time.Millisecond, &list, &peer)
		}
		successor.MergeStored(list.StoredSuspects(), list.StoredQuarantines(), time.Second, true)
		for number := range quarantined {
			assert.Assert(t, list.Quarantined(digest(number)), "request %d", number)
			assert.Assert(t, peer.Quarantined(digest(number)), "request %d at a peer", number)
			assert.Assert(t, successor.Quarantined(digest(number)), "request %d after a restart", number)
		}
	})
}
