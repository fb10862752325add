package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/entry/quarantine"
)

// poisonPath is the path of a request that crashes each server that runs it.
const poisonPath = "/browse/poison"

// sendPoison sends the request that crashes servers and another request once a second, and
// checks that the other one is served. It returns how often the first one reached a server.
func (h *harness) sendPoison(t *testing.T, times int) int {
	t.Helper()
	for i := range times {
		h.send(newRequest(http.MethodGet, poisonPath, fmt.Sprintf("p%d", i), ""))
		response, _ := h.send(newRequest(http.MethodGet, fmt.Sprintf("/browse/%d", i), fmt.Sprintf("r%d", i), ""))
		assert.Equal(t, response.Code, http.StatusOK)
		time.Sleep(time.Second)
		synctest.Wait()
	}
	crashes := 0
	for _, requests := range h.receivedRequests() {
		for _, request := range requests {
			if request.URL.Path == poisonPath {
				crashes++
			}
		}
	}
	return crashes
}

// TestCrashingRequestIsQuarantined checks that a request that crashes each server that
// runs it is refused after a few crashes, also under other request IDs, and that other
// requests are still served. The quarantine's limit is three failures.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	crashOnPoison := func(h *harness, server string, conn net.Conn, request *http.Request) bool {
		if request.URL.Path == poisonPath {
			h.restart(server)
			return false
		}
		return respondOK(h, server, conn, request)
	}
	servers := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	withHarness(t, crashOnPoison, servers, func(t *testing.T, h *harness) {
		crashes := h.sendPoison(t, 12)
		assert.Assert(t, crashes <= 6, "%d crashes", crashes)
	})
}

// TestSilentCrashesAreCounted guards against retries of a request that crashes servers in
// silence: no connection breaks, the request ends by its deadline, and the server is
// registered as a new incarnation some seconds later.
func TestSilentCrashesAreCounted(t *testing.T) {
	silentOnPoison := func(h *harness, server string, conn net.Conn, request *http.Request) bool {
		if request.URL.Path == poisonPath {
			time.Sleep(5 * time.Second)
			h.restart(server)
			return false
		}
		return respondOK(h, server, conn, request)
	}
	servers := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	withHarness(t, silentOnPoison, servers, func(t *testing.T, h *harness) {
		crashes := h.sendPoison(t, 12)
		assert.Assert(t, crashes <= 6, "%d crashes", crashes)
	})
}

// TestUnansweredRequestsOfRunningServersAreNotQuarantined checks that requests that end by
// their deadline are not refused later as long as the servers live.
func TestUnansweredRequestsOfRunningServersAreNotQuarantined(t *testing.T) {
	silentOnPoison := func(h *harness, server string, conn net.Conn, request *http.Request) bool {
		if request.URL.Path == poisonPath {
			time.Sleep(5 * time.Second)
			return false
		}
		return respondOK(h, server, conn, request)
	}
	withHarness(t, silentOnPoison, []string{"a", "b", "c", "d", "e", "f", "g", "h"}, func(t *testing.T, h *harness) {
		assert.Equal(t, h.sendPoison(t, 8), 8)
	})
}

// TestCrashBehindStrayResponseIsCounted guards against retries of a request that crashes
// servers on connections on which the response to another request arrives first.
func TestCrashBehindStrayResponseIsCounted(t *testing.T) {
	strayOnPoison := func(h *harness, server string, conn net.Conn, request *http.Request) bool {
		if request.URL.Path == poisonPath {
			if _, err := io.WriteString(conn, okResponse(newRequest(http.MethodGet, "/", "other", ""), "late")); err != nil {
				return false
			}
			h.restart(server)
			return false
		}
		return respondOK(h, server, conn, request)
	}
	servers := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	withHarness(t, strayOnPoison, servers, func(t *testing.T, h *harness) {
		crashes := h.sendPoison(t, 12)
		assert.Assert(t, crashes <= 6, "%d crashes", crashes)
	})
}

// TestCrashDuringLongResponseIsCounted guards against retries of a request that crashes
// servers after the beginning of a long response, which the caller has already got.
func TestCrashDuringLongResponseIsCounted(t *testing.T) {
	breakOffOnPoison := func(h *harness, server string, conn net.Conn, request *http.Request) bool {
		if request.URL.Path == poisonPath {
			response := okResponse(request, strings.Repeat("x", 300<<10))
			if _, err := io.WriteString(conn, response[:280<<10]); err != nil {
				return false
			}
			h.restart(server)
			return false
		}
		return respondOK(h, server, conn, request)
	}
	servers := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	withHarness(t, breakOffOnPoison, servers, func(t *testing.T, h *harness) {
		crashes := h.sendPoison(t, 12)
		assert.Assert(t, crashes <= 6, "%d crashes", crashes)
	})
}

// TestTrialWaitsUntilDeadline guards against a refusal that comes after the request's deadline, as
// the store of the trials doesn't answer.
func TestTrialWaitsUntilDeadline(t *testing.T) {
	withHarness(t, respondOK, []string{"a"}, func(t *testing.T, h *harness) {
		h.gateway.BeginTrial = func(ctx context.Context, _ quarantine.Request) *quarantine.Trial {
			<-ctx.Done()
			return nil
		}
		request := newRequest(http.MethodGet, "/browse/1", "r1", "")
		request.Header.Set(headerNames.DeadlineMS, "300")
		began := time.Now()
		h.send(request)
		assert.Equal(t, time.Since(began), 300*time.Millisecond)
	})
}
