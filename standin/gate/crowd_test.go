package gate_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/standin/server"
)

const (
	// crowdSize is the number of connections of a crowd.
	crowdSize = 500
	// crowdMemoryMB and crowdDescriptors are the limits in the settings of the entry that a crowd
	// connects to, and the bounds that it must keep to.
	crowdMemoryMB    = 96
	crowdDescriptors = 1100
	// endless is how much a connection of a crowd sends at most of what has no end, in bytes.
	endless = 2 << 20
	// crowdTime is how long a crowd stays connected.
	crowdTime = 4 * time.Second
)

// shortLines returns header lines of a few bytes each, with a size of at most limit.
func shortLines(limit int) string {
	var lines strings.Builder
	for number := 0; lines.Len()+10 < limit; number++ {
		fmt.Fprintf(&lines, "%x:\r\n", number)
	}
	return lines.String()
}

// requestHead returns the beginning of a request with an ID, without the empty line at the end.
func requestHead(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\n" + platform.HeaderNames.RequestID + ": crowd\r\n" +
		platform.HeaderNames.DeadlineMS + ": 60000\r\n"
}

// longBody returns a request with a body of which the last byte is missing.
func longBody(path string, size int) []byte {
	head := requestHead(http.MethodPost, path) + "Content-Length: " + strconv.Itoa(size) + "\r\n\r\n"
	return append([]byte(head), bytes.Repeat([]byte("x"), size-1)...)
}

// crowdKind is what each connection of a crowd sends.
type crowdKind struct {
	name string
	// begin is sent once, and then repeat again and again until endless bytes have been sent.
	begin, repeat []byte
	// reads is set if the responses are read.
	reads bool
}

// headKinds returns the crowds that send heads to a path.
func headKinds(path string) []crowdKind {
	head := requestHead(http.MethodPost, path)
	return []crowdKind{
		{
			name:  "short lines, body held back",
			begin: []byte(head + "Content-Length: 10\r\n" + shortLines(15800-len(head)) + "\r\n"),
			reads: true,
		},
		{
			name:  "short lines, never complete",
			begin: []byte(head + shortLines(15800-len(head))),
			reads: true,
		},
		{
			name:   "short lines without end",
			begin:  []byte(head),
			repeat: []byte(shortLines(60000)),
			reads:  true,
		},
		{
			name:   "ordinary lines without end",
			begin:  []byte(head),
			repeat: []byte(strings.Repeat("X-Ordinary: "+strings.Repeat("v", 90)+"\r\n", 100)),
			reads:  true,
		},
		{
			name:   "one line without end",
			begin:  []byte(head + "X-Long: "),
			repeat: bytes.Repeat([]byte("v"), 10000),
			reads:  true,
		},
		{
			name:   "empty lines without end",
			repeat: bytes.Repeat([]byte("\r\n"), 5000),
			reads:  true,
		},
	}
}

// bodyKinds returns the crowds that send bodies, or don't read responses.
func bodyKinds() []crowdKind {
	chunks := []byte(requestHead(http.MethodPost, "/upload/") + "Transfer-Encoding: chunked\r\n\r\n")
	for range 90000 {
		chunks = append(chunks, "1\r\nx\r\n"...)
	}
	get := requestHead(http.MethodGet, "/browse/")
	pipelined := strings.Repeat(get+shortLines(15000-len(get))+"\r\n", 200)
	return []crowdKind{
		{
			name:  "uploads that stop short",
			begin: longBody("/upload/", 524000),
			reads: true,
		},
		{
			name:  "bookings that stop short",
			begin: longBody("/book/", 524000),
			reads: true,
		},
		{
			name:  "long uploads that stop short",
			begin: longBody("/upload/", 1000000),
			reads: true,
		},
		{
			name:  "small chunks",
			begin: chunks,
			reads: true,
		},
		{
			name:  "pipelined, responses never read",
			begin: []byte(pipelined),
		},
		{
			name:  "long responses, never read",
			begin: []byte(strings.Repeat(strings.ReplaceAll(get, "/browse/", "/browse"+server.LongPath)+"\r\n", 20)),
		},
	}
}

// join opens a connection of a crowd and sends what its kind says until the connection is closed or
// the crowd ends.
func (k *crowdKind) join(address string, ended <-chan struct{}) {
	conn, err := net.DialTimeout("tcp4", address, 5*time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	var group sync.WaitGroup
	group.Go(func() {
		<-ended
		conn.Close()
	})
	defer group.Wait()
	if k.reads {
		// An error says that the connection is closed, as it may be.
		group.Go(func() { _, _ = io.Copy(io.Discard, conn) })
	}
	if _, err := conn.Write(k.begin); err != nil {
		return
	}
	for sent := 0; len(k.repeat) > 0 && sent < endless; sent += len(k.repeat) {
		if _, err := conn.Write(k.repeat); err != nil {
			return
		}
	}
}

// processStatus returns a figure of /proc/PID/status in megabytes.
func processStatus(t *testing.T, pid int, name string) int {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	assert.NilError(t, err, "the process has ended")
	for line := range strings.Lines(string(content)) {
		if rest, found := strings.CutPrefix(line, name+":"); found {
			kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
			assert.NilError(t, err)
			return kilobytes >> 10
		}
	}
	t.Fatalf("the process has no %s: it has ended", name)
	return 0
}

// openDescriptors returns the number of open file descriptors of a process.
func openDescriptors(t *testing.T, pid int) int {
	t.Helper()
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	assert.NilError(t, err)
	return len(entries)
}

// meetCrowd lets a crowd connect to a port of the first entry, which runs as a new process, and
// checks that it keeps to its limits and then answers an ordinary request.
func meetCrowd(t *testing.T, d *deployment, kind crowdKind, port int) {
	entry := d.entries[0]
	d.signalEntry(0, 9)
	// The error says that the process was killed.
	_ = d.waitEntry(0)
	d.startEntry(0)
	d.eventually("the entry is ready", func() bool { return d.ready(entry) })
	ended := make(chan struct{})
	var crowd sync.WaitGroup
	for range crowdSize {
		crowd.Go(func() { kind.join(fmt.Sprintf("%s:%d", entry.ip, port), ended) })
	}
	pid, began := entry.command.Process.Pid, time.Now()
	descriptors := 0
	d.eventually("the crowd has been watched", func() bool {
		descriptors = max(descriptors, openDescriptors(t, pid))
		// What is far beyond the bound need not be endured for the rest of the time.
		return time.Since(began) > crowdTime || processStatus(t, pid, "VmHWM") > 4*crowdMemoryMB
	})
	peak := processStatus(t, pid, "VmHWM")
	answered := peak > crowdMemoryMB || d.answers(entry)
	close(ended)
	crowd.Wait()
	t.Logf("peak %d MB, %d descriptors", peak, descriptors)
	assert.Assert(t, peak <= crowdMemoryMB, "%d MB", peak)
	assert.Assert(t, descriptors <= crowdDescriptors, "%d descriptors", descriptors)
	assert.Assert(t, answered, "no ordinary request is answered beside the crowd")
	assert.Assert(t, d.answers(entry), "no ordinary request is answered afterwards")
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
		kinds []crowdKind
	}{
		{
			name:  "callers",
			port:  8161,
			kinds: append(headKinds("/book/"), bodyKinds()...),
		},
		{
			name:  "ready",
			port:  8167,
			kinds: headKinds("/v1/readyz"),
		},
		{
			name:  "look-ups",
			port:  8164,
			kinds: headKinds("/v1/resolve"),
		},
		{
			name:  "control",
			port:  8166,
			kinds: headKinds("/"),
		},
		{
			name:  "metrics",
			port:  9464,
			kinds: headKinds("/metrics"),
		},
	} {
		for _, kind := range listener.kinds {
			t.Run(listener.name+"/"+kind.name, func(t *testing.T) { meetCrowd(t, d, kind, listener.port) })
		}
	}
}
