// Package crowd simulates clients that don't behave, and watches what that costs a process: each
// connection of a crowd sends headers of very short lines or without end, bodies that stop short of
// their end, or requests whose responses it never reads, and stays open.
package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Size is the number of connections of a crowd.
const Size = 500

const (
	// headerBytes is the size of the headers of legal size.
	headerBytes = 15800
	// pipelinedRequests is the number of requests that are sent at once, each of
	// pipelinedHeaderBytes.
	pipelinedRequests    = 200
	pipelinedHeaderBytes = 15000
	// longResponses is the number of requests for long responses that are sent at once.
	longResponses = 20
	// endlessBytes is how much a connection sends at most of what has no end.
	endlessBytes = 2 << 20
	// chunks is the number of chunks of one byte of a body.
	chunks = 90000
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 5 * time.Second
)

// Kind is what each connection of a crowd sends.
type Kind struct {
	Name string
	// begin is sent once, and then repeat again and again until endlessBytes have been sent.
	begin, repeat []byte
	// silent is set if the responses are not read.
	silent bool
}

// shortLines returns header lines of a few bytes each, with a size of at most limit.
func shortLines(limit int) string {
	var lines strings.Builder
	for number := 0; lines.Len()+10 < limit; number++ {
		fmt.Fprintf(&lines, "%x:\r\n", number)
	}
	return lines.String()
}

// Headers returns the kinds that send headers. request is the beginning of the header of a request
// with a body: some lines, each with its end.
func Headers(request string) []Kind {
	return []Kind{
		{
			Name:  "short lines, body held back",
			begin: []byte(request + "Content-Length: 10\r\n" + shortLines(headerBytes-len(request)) + "\r\n"),
		},
		{
			Name:  "short lines, never complete",
			begin: []byte(request + shortLines(headerBytes-len(request))),
		},
		{
			Name:   "short lines without end",
			begin:  []byte(request),
			repeat: []byte(shortLines(60000)),
		},
		{
			Name:   "ordinary lines without end",
			begin:  []byte(request),
			repeat: []byte(strings.Repeat("X-Ordinary: "+strings.Repeat("v", 90)+"\r\n", 100)),
		},
		{
			Name:   "one line without end",
			begin:  []byte(request + "X-Long: "),
			repeat: bytes.Repeat([]byte("v"), 10000),
		},
		{
			Name:   "empty lines without end",
			repeat: bytes.Repeat([]byte("\r\n"), 5000),
		},
	}
}

// Body returns a kind that sends a body of a size without its last byte.
func Body(name, request string, size int) Kind {
	header := request + "Content-Length: " + strconv.Itoa(size) + "\r\n\r\n"
	return Kind{
		Name:  name,
		begin: append([]byte(header), bytes.Repeat([]byte("x"), size-1)...),
	}
}

// Chunks returns a kind that sends a body in chunks of one byte, without the last one.
func Chunks(request string) Kind {
	return Kind{
		Name:  "small chunks",
		begin: []byte(request + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", chunks)),
	}
}

// Pipelined returns a kind that sends many requests without a body at once and reads no response.
func Pipelined(request string) Kind {
	return Kind{
		Name:   "pipelined, responses never read",
		begin:  []byte(strings.Repeat(request+shortLines(pipelinedHeaderBytes-len(request))+"\r\n", pipelinedRequests)),
		silent: true,
	}
}

// LongResponses returns a kind that asks for long responses and reads none.
func LongResponses(request string) Kind {
	return Kind{
		Name:   "long responses, never read",
		begin:  []byte(strings.Repeat(request+"\r\n", longResponses)),
		silent: true,
	}
}

// Join opens a connection of a crowd and sends what its kind says until the connection is closed or
// the crowd ends.
func (k *Kind) Join(address string, ended <-chan struct{}) {
	conn, err := net.DialTimeout("tcp4", address, dialTimeout)
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
	if !k.silent {
		// An error says that the connection is closed, as it may be.
		group.Go(func() { _, _ = io.Copy(io.Discard, conn) })
	}
	if _, err := conn.Write(k.begin); err != nil {
		return
	}
	for sent := 0; len(k.repeat) > 0 && sent < endlessBytes; sent += len(k.repeat) {
		if _, err := conn.Write(k.repeat); err != nil {
			return
		}
	}
}

// PeakMemoryMB returns the largest resident memory that a process has had, in megabytes. It fails
// if the process has ended.
func PeakMemoryMB(pid int) (int, error) {
	content, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(content)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes >> 10, err
		}
	}
	return 0, errors.Errorf("process %d has ended", pid)
}

// Descriptors returns the number of open file descriptors of a process.
func Descriptors(pid int) (int, error) {
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	return len(entries), err
}

// Meeting is a crowd that meets a process.
type Meeting struct {
	// PID is the process, and Address the one of its listener.
	PID     int
	Address string
	// MemoryMB and MaxDescriptors are the bounds that the process must keep to.
	MemoryMB       int
	MaxDescriptors int
	// Watch waits until Duration is over, calling its argument again and again, and returns earlier
	// if that returns true.
	Watch func(over func() bool)
	// Answers reports whether the process answers an ordinary request.
	Answers func() bool
}

// duration is how long a crowd stays connected.
const duration = 4 * time.Second

// Run lets a crowd of a kind connect, and returns what it cost, and an error if the process did not
// keep to its bounds, or answers no ordinary request during the crowd or after it.
func (m *Meeting) Run(kind Kind) (cost string, err error) {
	ended := make(chan struct{})
	var group sync.WaitGroup
	for range Size {
		group.Go(func() { kind.Join(m.Address, ended) })
	}
	began, descriptors := time.Now(), 0
	m.Watch(func() bool {
		open, err := Descriptors(m.PID)
		descriptors = max(descriptors, open)
		peak, peakErr := PeakMemoryMB(m.PID)
		// What is far beyond the bound need not be endured for the rest of the time.
		return err != nil || peakErr != nil || time.Since(began) > duration || peak > 4*m.MemoryMB
	})
	peak, err := PeakMemoryMB(m.PID)
	answered := err == nil && (peak > m.MemoryMB || m.Answers())
	close(ended)
	group.Wait()
	switch cost = fmt.Sprintf("peak %d MB, %d descriptors", peak, descriptors); {
	case err != nil:
	case peak > m.MemoryMB || descriptors > m.MaxDescriptors:
		err = errors.Errorf("%s, %d MB and %d descriptors allowed", cost, m.MemoryMB, m.MaxDescriptors)
	case !answered:
		err = errors.New("no ordinary request is answered beside the crowd")
	case !m.Answers():
		err = errors.New("no ordinary request is answered afterwards")
	}
	return cost, err
}
