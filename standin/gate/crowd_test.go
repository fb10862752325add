package gate_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/standin/crowd"
	"github.com/teaselstack/teaselstack/standin/server"
)

const (
	// crowdMemoryMB and crowdDescriptors are the limits in the settings of the entry that a crowd
	// connects to, and the bounds that it must keep to.
	crowdMemoryMB    = 96
	crowdDescriptors = 1100
)

// requestHead returns the beginning of a request with an ID, without the empty line at the end.
func requestHead(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\n" + platform.HeaderNames.RequestID + ": crowd\r\n" +
		platform.HeaderNames.DeadlineMS + ": 60000\r\n"
}

// bodyKinds returns the crowds that send bodies, or don't read responses.
func bodyKinds() []crowd.Kind {
	upload, book := requestHead(http.MethodPost, "/upload/"), requestHead(http.MethodPost, "/book/")
	return []crowd.Kind{
		crowd.Body("uploads that stop short", upload, 524000),
		crowd.Body("bookings that stop short", book, 524000),
		crowd.Body("long uploads that stop short", upload, 1000000),
		crowd.Chunks(upload),
		crowd.Pipelined(requestHead(http.MethodGet, "/browse/")),
		crowd.LongResponses(requestHead(http.MethodGet, "/browse"+server.LongPath)),
	}
}

// meetCrowd lets a crowd connect to a port of the first entry, which runs as a new process, and
// checks that it keeps to its limits and then answers an ordinary request.
func meetCrowd(t *testing.T, d *deployment, kind crowd.Kind, port int) {
	entry := d.entries[0]
	d.signalEntry(0, syscall.SIGKILL)
	// The error says that the process was killed.
	_ = d.waitEntry(0)
	d.startEntry(0)
	d.eventually("the entry is ready", func() bool { return d.ready(entry) })
	meeting := &crowd.Meeting{
		PID:            entry.command.Process.Pid,
		Address:        fmt.Sprintf("%s:%d", entry.ip, port),
		MemoryMB:       crowdMemoryMB,
		MaxDescriptors: crowdDescriptors,
		Watch:          func(over func() bool) { d.eventually("the crowd has been watched", over) },
		Answers:        func() bool { return d.answers(entry) },
	}
	cost, err := meeting.Run(kind)
	t.Log(cost)
	assert.NilError(t, err)
}

// answers reports whether one of several ordinary requests to an entry succeeds.
func (d *deployment) answers(entry *process) bool {
	client := &http.Client{
		Timeout: 5 * time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	for number := range 20 {
		sleep(context.Background(), time.Duration(number)*20*time.Millisecond)
		request, err := http.NewRequest(http.MethodGet, "http://"+entry.ip+":8161/browse/", http.NoBody)
		if err != nil {
			return false
		}
		request.Host = "desk.example"
		request.Header.Set(platform.HeaderNames.RequestID, fmt.Sprintf("ordinary-%d", number))
		request.Header.Set(platform.HeaderNames.DeadlineMS, "4000")
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// TestCrowds guards against a process that ends because clients that don't behave make it use more
// memory than its VM has, or all descriptors: heads of very short lines or without end, bodies that
// stop short of their end, responses that nobody reads, on each listener.
func TestCrowds(t *testing.T) {
	d := startDeployment(t, 6, func(d *deployment) {
		d.extraSettings = []string{
			fmt.Sprintf("limits.memory_mb=%d", crowdMemoryMB),
			fmt.Sprintf("limits.max_fds=%d", crowdDescriptors),
		}
	})
	d.publishConfiguration(`,{"name":"upload","prefix":"/upload/","kind":"upload","timeout":"1500ms","service":"desk"}`)
	for _, listener := range []struct {
		name  string
		port  int
		kinds []crowd.Kind
	}{
		{
			name:  "callers",
			port:  8161,
			kinds: append(crowd.Headers(requestHead(http.MethodPost, "/book/")), bodyKinds()...),
		},
		{
			name:  "ready",
			port:  8167,
			kinds: crowd.Headers(requestHead(http.MethodPost, "/v1/readyz")),
		},
		{
			name:  "look-ups",
			port:  8164,
			kinds: crowd.Headers(requestHead(http.MethodPost, "/v1/resolve")),
		},
		{
			name:  "control",
			port:  8166,
			kinds: crowd.Headers(requestHead(http.MethodPost, "/")),
		},
		{
			name:  "metrics",
			port:  9464,
			kinds: crowd.Headers(requestHead(http.MethodPost, "/metrics")),
		},
	} {
		for _, kind := range listener.kinds {
			t.Run(listener.name+"/"+kind.Name, func(t *testing.T) { meetCrowd(t, d, kind, listener.port) })
		}
	}
}
