package main

import (
	"encoding/binary"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/standin/store"
)

// deadlySite is a platformSite whose servers crash, and start again, when they run a deadly
// request.
type deadlySite struct {
	*platformSite
	// deadly reports whether a request is one.
	deadly func(*http.Request) bool

	mu sync.Mutex
	// crashes holds when servers crashed.
	crashes []time.Time
	sends   int
}

// newDeadlySite starts entries and servers in three failure domains.
func newDeadlySite(t *testing.T, deadly func(*http.Request) bool) *deadlySite {
	t.Helper()
	s := &deadlySite{
		platformSite: newPlatformSite(t, &platformSite{
			regions: 3,
			slots:   3,
		}, 7, 18),
		deadly: deadly,
	}
	for index := range 18 {
		startUnixMS := int64(1)
		s.servers[fmt.Sprintf("10.9.0.%d:8080", index+1)].crash = func(request *http.Request) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !s.deadly(request) {
				return false
			}
			s.crashes = append(s.crashes, time.Now())
			startUnixMS++
			s.register(index, startUnixMS)
			return true
		}
	}
	return s
}

// lateCrashes returns the number of crashes later than the undisturbed window after the third.
func (s *deadlySite) lateCrashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := 0
	for _, at := range s.crashes {
		if at.Sub(s.crashes[min(2, len(s.crashes)-1)]) > undisturbedWindow {
			late++
		}
	}
	return late
}

// sendPage sends a request for a page from a caller's address to the next entry, and returns the
// status of the response and its reason.
func (s *deadlySite) sendPage(caller int, header http.Header) (status int, reason string) {
	s.mu.Lock()
	s.sends++
	number := s.sends
	s.mu.Unlock()
	request := httptest.NewRequest(http.MethodGet, "/browse/page", http.NoBody)
	request.RemoteAddr = fmt.Sprintf("10.7.%d.%d:4000", caller/200, caller%200+1)
	request.Host = "desk.example"
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("X-Teaselstack-Request-Id", fmt.Sprintf("page-%d", number))
	request.Header.Set("X-Teaselstack-Deadline-Ms", "4000")
	response := httptest.NewRecorder()
	s.nodes[number%len(s.nodes)].gateway.ServeHTTP(response, request)
	return response.Code, strings.TrimSpace(response.Body.String())
}

// TestDeadlyRequestIsOneWhoeverSendsIt guards against a request that crashes each server that runs
// it, and that is sent on for each of its callers until it has crashed three more.
func TestDeadlyRequestIsOneWhoeverSendsIt(t *testing.T) {
	for _, test := range []struct {
		name string
		// callers returns the callers that send the request at the same time, each half second.
		callers func(round int) []int
		restart bool
	}{
		{
			name:    "one",
			callers: func(int) []int { return []int{0} },
		},
		{
			name:    "two in turn",
			callers: func(round int) []int { return []int{round % 2} },
		},
		{
			name:    "another one each time",
			callers: func(round int) []int { return []int{round} },
		},
		{
			name:    "another one each time, entries are restarted",
			callers: func(round int) []int { return []int{round} },
			restart: true,
		},
		{
			name: "one, then others",
			callers: func(round int) []int {
				return []int{max(0, round-30)}
			},
		},
		{
			name: "one, then crowds",
			callers: func(round int) []int {
				if round < 30 {
					return []int{0}
				}
				return upTo(20 + round%2)
			},
		},
		{
			name:    "crowds",
			callers: func(int) []int { return upTo(20) },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newDeadlySite(t, func(*http.Request) bool { return true })
				for round := range 200 {
					var group sync.WaitGroup
					for _, caller := range test.callers(round) {
						group.Go(func() { s.sendPage(caller, nil) })
					}
					group.Wait()
					time.Sleep(500 * time.Millisecond)
					if test.restart && round%50 == 49 {
						s.restartAll()
					}
				}
				assert.Assert(t, s.lateCrashes() <= 3, "%d late, of %d crashes", s.lateCrashes(), len(s.crashes))
			})
		})
	}
}

// upTo returns the numbers below a limit.
func upTo(limit int) []int {
	numbers := make([]int, limit)
	for number := range numbers {
		numbers[number] = number
	}
	return numbers
}

// TestRequestDeadlyForOneCallerOnly guards against the refusal of a page to all callers because the
// requests of one caller crash the servers, and against endless crashes because the others'
// succeed.
func TestRequestDeadlyForOneCallerOnly(t *testing.T) {
	for _, test := range []struct {
		name string
		// address is that of the deadly caller; the others have 1 to 29.
		address int
		// changing is set if the header of the deadly caller is another one each time.
		changing bool
		// pause is the time between two requests of the others.
		pause time.Duration
	}{
		{
			name:  "busy page",
			pause: 100 * time.Millisecond,
		},
		{
			name:     "busy page, changing header",
			changing: true,
			pause:    100 * time.Millisecond,
		},
		{
			name:    "busy page, shared address",
			address: 1,
			pause:   100 * time.Millisecond,
		},
		{
			name:  "quiet page",
			pause: 7 * time.Second,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newDeadlySite(t, func(request *http.Request) bool { return request.Header.Get("Cookie") != "" })
				var group sync.WaitGroup
				end := time.Now().Add(100 * time.Second)
				lastReason := ""
				group.Go(func() {
					for number := 0; time.Now().Before(end); number++ {
						header := http.Header{
							"Cookie": {"deadly=1"},
						}
						if test.changing {
							header.Set("Cookie", fmt.Sprintf("deadly=%d", number))
						}
						_, lastReason = s.sendPage(test.address, header)
						time.Sleep(300 * time.Millisecond)
					}
				})
				refusals := make(map[string]int)
				for caller := 1; time.Now().Before(end); caller = caller%29 + 1 {
					group.Go(func() {
						if status, reason := s.sendPage(caller, nil); status != http.StatusOK {
							s.mu.Lock()
							defer s.mu.Unlock()
							refusals[reason]++
						}
					})
					time.Sleep(test.pause)
				}
				group.Wait()
				assert.Equal(t, lastReason, "quarantined")
				assert.Assert(t, s.lateCrashes() <= 3, "%d late, of %d crashes", s.lateCrashes(), len(s.crashes))
				assert.Equal(t, len(refusals), 0, "%v", refusals)
			})
		})
	}
}

// TestPageOfCrowdOutlivesFailureDomain guards against the refusal of a page to all callers, because
// three servers ran requests of several of them when their failure domain was lost.
func TestPageOfCrowdOutlivesFailureDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newDeadlySite(t, func(*http.Request) bool { return false })
		lost := make(chan struct{})
		inDomain := 0
		for index := 0; index < 18; index += 3 {
			server := s.servers[fmt.Sprintf("10.9.0.%d:8080", index+1)]
			server.crash = func(*http.Request) bool {
				s.mu.Lock()
				inDomain++
				s.mu.Unlock()
				<-lost
				return true
			}
		}
		round := func() map[int]int {
			statuses := make(map[int]int)
			var group sync.WaitGroup
			for caller := range 40 {
				group.Go(func() {
					status, _ := s.sendPage(caller, nil)
					s.mu.Lock()
					defer s.mu.Unlock()
					statuses[status]++
				})
			}
			group.Wait()
			return statuses
		}
		round()
		assert.Assert(t, inDomain >= 3, "%d requests in the failure domain", inDomain)
		time.Sleep(2 * time.Second)
		for index := 0; index < 18; index += 3 {
			s.store.RemoveRow(platform.ServerTable, fmt.Sprintf("i-%d", index))
		}
		time.Sleep(2 * time.Second)
		for range 5 {
			assert.DeepEqual(t, round(), map[int]int{
				http.StatusOK: 40,
			})
			time.Sleep(6 * time.Second)
		}
		close(lost)
	})
}

// TestEarlyTrialsWithoutStoreEnd guards against an early trial at each entry, while the store can't
// tell them of each other's, of a request whose early trial has crashed a server elsewhere.
func TestEarlyTrialsWithoutStoreEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newDeadlySite(t, func(*http.Request) bool { return true })
		for len(s.crashes) < 3 {
			s.sendPage(0, nil)
		}
		time.Sleep(time.Second)
		s.store.SetFault(store.Fault{
			Outage: store.OutageRefuse,
		})
		before := len(s.crashes)
		for caller := 1; caller <= 20; caller++ {
			s.sendPage(caller, nil)
			time.Sleep(time.Second)
		}
		assert.Equal(t, len(s.crashes)-before, 1)
	})
}

// TestManyDeadlyRequestsReachAllEntries guards against quarantines that are dropped because there
// are more than fit into a message or a list: each request has crashed three servers, as other
// callers sent it, while broken connections make many others suspect.
func TestManyDeadlyRequestsReachAllEntries(t *testing.T) {
	const requests = 40
	synctest.Test(t, func(t *testing.T) {
		s := newSuspectSite(t, 7, 400)
		identify := func(content, caller int) quarantine.Request {
			var request quarantine.Request
			binary.BigEndian.PutUint32(request.Content[:], uint32(content+1))
			binary.BigEndian.PutUint32(request.Caller[:], uint32(content*1000+caller+1))
			request.Exact = request.Caller
			request.Exact[8] = 1
			return request
		}
		for content := range requests {
			for index := range 3 {
				s.nodes[index].suspects.RecordRunFailure(quarantine.Run{
					Request:       identify(content, index),
					Service:       "desk",
					Server:        fmt.Sprintf("i-%010d@1764930000000", index),
					FailureDomain: fmt.Sprintf("region-%d-a", index),
				})
			}
		}
		for other := range 7 * 30 {
			s.nodes[other%7].suspects.RecordRunFailure(quarantine.Run{
				Request: identify(requests+other, 1),
				Service: "desk",
				Server:  "i-3@1",
			})
		}
		time.Sleep(undisturbedWindow)
		check := func(when string) {
			sentOn := 0
			for _, n := range s.nodes {
				for content := range requests {
					if !n.suspects.Refused(identify(content, 500)) {
						sentOn++
					}
				}
			}
			assert.Equal(t, sentOn, 0, "%s", when)
		}
		check("at first")
		time.Sleep(10 * time.Second)
		s.restartAll()
		check("after restarts")
	})
}
