package gate_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/standin/server"
)

const (
	// slowWorkFactor makes a request run for 1.2 s, longer than the end of a shutdown leaves
	// for requests that arrive in its second half.
	slowWorkFactor = 40
	// lateTime is how long after SIGTERM a request counts as late. The end of the shutdown
	// may cut off requests that are sent earlier.
	lateTime = gracePeriod / 2
)

// rawRequest returns a request to the unsafe route book, as it is sent.
func rawRequest(id string, chunked bool) string {
	body := "Content-Length: 5\r\n\r\noffer"
	if chunked {
		body = "Transfer-Encoding: chunked\r\n\r\n5\r\noffer\r\n0\r\n\r\n"
	}
	return fmt.Sprintf("POST /book/ HTTP/1.1\r\nHost: desk.example\r\n%s: %s\r\n%s: 4000\r\n%s",
		platform.HeaderNames.RequestID, id, platform.HeaderNames.DeadlineMS, body)
}

// exchange sends a request on a connection and returns the status of its response, or 0 if
// the connection ends without a whole response.
func exchange(conn net.Conn, request string) (int, error) {
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}

// lateRequest is a request that is sent to an entry after its SIGTERM.
type lateRequest struct {
	id    string
	entry string
	// connect is when the connection is opened, and send when the request is sent, both since
	// SIGTERM. A negative value of connect is before SIGTERM.
	connect time.Duration
	send    time.Duration
	// warmUp is set if a request was served on the connection before SIGTERM.
	warmUp  bool
	chunked bool
}

// sendLate sends a request and records a violation if a server got it and its connection ended
// without a whole response.
func (d *deployment) sendLate(request lateRequest, stoppedAt time.Time) {
	sleep(d.t.Context(), time.Until(stoppedAt.Add(request.connect)))
	conn, err := net.DialTimeout("tcp4", request.entry+":8161", time.Second)
	if err != nil {
		// The entry accepts no connections any more.
		return
	}
	defer conn.Close()
	if request.warmUp {
		if status, err := exchange(conn, rawRequest(request.id+"-before", request.chunked)); status != http.StatusOK {
			d.recordViolation("request %s-before got status %d before the stop: %v", request.id, status, err)
		}
	}
	sleep(d.t.Context(), time.Until(stoppedAt.Add(request.send)))
	sentAt := time.Now()
	status, err := exchange(conn, rawRequest(request.id, request.chunked))
	runs := d.recorder.Runs(request.id)
	switch refused := status == http.StatusServiceUnavailable; {
	case status == 0 && runs > 0:
		d.recordViolation("request %s, sent %s after SIGTERM, ran and its connection ended %s later: %v",
			request.id, sentAt.Sub(stoppedAt).Round(time.Millisecond), time.Since(sentAt).Round(time.Millisecond), err)
	case refused && runs > 0:
		d.recordViolation("request %s was refused as not run, but ran", request.id)
	}
	d.t.Logf("%s: sent %s after SIGTERM, status %d after %s, %d runs", request.id, sentAt.Sub(stoppedAt).Round(time.Millisecond),
		status, time.Since(sentAt).Round(time.Millisecond), runs)
}

// TestLateRequestsOfStopAreNotCutOff stops entries while callers that keep using their
// connections, or have just opened them, send requests that can't be answered before the end
// of the stop. An entry must not pass such a request on and then cut it off.
func TestLateRequestsOfStopAreNotCutOff(t *testing.T) {
	for _, test := range []struct {
		name    string
		connect time.Duration
		chunked bool
	}{
		{
			name:    "new connections",
			connect: lateTime - 60*time.Millisecond,
		},
		{
			name:    "kept connections",
			connect: -2 * time.Second,
		},
		{
			name:    "kept connections with bodies in chunks",
			connect: -2 * time.Second,
			chunked: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := startDeployment(t, 9)
			stoppedAt := time.Now().Add(2200 * time.Millisecond)
			var group sync.WaitGroup
			for i := range 2 {
				for j := range 10 {
					group.Go(func() {
						d.sendLate(lateRequest{
							id:      fmt.Sprintf("late-%d-%d", i, j),
							entry:   d.entries[i].ip,
							connect: test.connect,
							send:    lateTime + time.Duration(30+50*j)*time.Millisecond,
							warmUp:  test.connect < 0,
							chunked: test.chunked,
						}, stoppedAt)
					})
				}
			}
			sleep(t.Context(), time.Until(stoppedAt))
			for _, each := range d.servers {
				each.SetFault(server.Fault{
					Slowdown: slowWorkFactor,
				})
			}
			for i := range 2 {
				d.signalEntry(i, syscall.SIGTERM)
			}
			for i := range 2 {
				assert.NilError(t, d.waitEntry(i))
			}
			group.Wait()
			for _, violation := range d.violations {
				t.Error(violation)
			}
		})
	}
}
