package site_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/standin/crowd"
)

// crowdMemoryMB and crowdConnections are the limits in the settings of the entries that a crowd
// connects to. maxCrowdDescriptors also counts those for other purposes.
const (
	crowdMemoryMB       = 96
	crowdConnections    = 550
	maxCrowdDescriptors = 1100
)

// limitEntry adds the limits of the crowd to the settings of an entry.
func limitEntry(content []byte) []byte {
	if !bytes.Contains(content, []byte("callers-address")) {
		return content
	}
	return append(content, fmt.Sprintf("\n[limits]\nmemory-mb = %d\nconnections = %d\n", crowdMemoryMB, crowdConnections)...)
}

// TestCrowds guards against a process that ends because clients that don't behave make it use more
// memory than its VM has, or all descriptors, on each listener of the own interface.
func TestCrowds(t *testing.T) {
	// As it is no *testing.T, the deployment runs apart from others.
	d := startDeployment(struct{ testing.TB }{t}, "kasikirjoitus", limitEntry)
	entry := d.Entries[0]
	request := func(method string) string {
		return method + " / HTTP/1.1\r\nHost: entry\r\nTeasel-Service: agent-desk\r\nIdempotency-Key: crowd\r\nTeasel-First-Send: true\r\n"
	}
	for _, listener := range []struct {
		name    string
		address string
		kinds   []crowd.Kind
	}{
		{
			name:    "callers",
			address: entry.CallersAddress,
			kinds: append(crowd.Headers(request("POST")),
				crowd.Body("bodies that stop short", request("POST"), 524000),
				crowd.Chunks(request("POST")),
				crowd.Pipelined(request("GET"))),
		},
		{
			name:    "peers",
			address: entry.PeersAddress,
			kinds:   crowd.Headers(request("POST")),
		},
		{
			name:    "operators",
			address: entry.OperatorsAddress,
			kinds:   crowd.Headers(request("POST")),
		},
	} {
		for _, kind := range listener.kinds {
			t.Run(listener.name+"/"+kind.Name, func(t *testing.T) {
				d.signal(entry.Name, syscall.SIGKILL)
				// The error says that the process was killed.
				_ = d.processes[entry.Name].command.Wait()
				d.startEntry(entry.Name)
				answers := func() bool { return answers(entry.CallersAddress) }
				d.eventually("the entry serves", answers)
				meeting := &crowd.Meeting{
					PID:            d.processes[entry.Name].command.Process.Pid,
					Address:        listener.address,
					MemoryMB:       crowdMemoryMB,
					MaxDescriptors: maxCrowdDescriptors,
					Watch:          func(over func() bool) { d.eventually("the crowd has been watched", over) },
					Answers:        answers,
				}
				cost, err := meeting.Run(kind)
				t.Log(cost)
				assert.NilError(t, err)
			})
		}
	}
}

// answers reports whether one of several ordinary requests to an address succeeds.
func answers(address string) bool {
	for range 20 {
		conn, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			continue
		}
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: entry\r\nConnection: close\r\nTeasel-Service: agent-desk\r\n\r\n")
		if err == nil {
			err = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		}
		var answer []byte
		if err == nil {
			answer, err = io.ReadAll(conn)
		}
		conn.Close()
		if err == nil && strings.Contains(string(answer), header.Outcome+": done") {
			return true
		}
	}
	return false
}
