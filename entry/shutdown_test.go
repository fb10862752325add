package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/settings"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/logline"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/platform/memory"
	"github.com/teaselstack/teaselstack/timeline"
)

// TestStoppingEntryNamesServingEntry checks that an entry that shuts down closes
// connections and, once it refuses requests, names the nearest entry that serves and is
// not stopping.
func TestStoppingEntryNamesServingEntry(t *testing.T) {
	loaded := settings.Default()
	loaded.Name = "entry-1"
	loaded.Region = "north"
	loaded.FailureDomain = "north-1"
	var store memory.Store
	n := newNodeOnPlatform(loaded, logline.New(io.Discard, "entry", loaded.Name),
		func(http.RoundTripper) platform.Platform { return store.Platform() })
	for _, peer := range []*teaselv1.Member{
		{
			Name:          "entry-2",
			Region:        "south",
			FailureDomain: "south-1",
			CallerAddress: "10.0.0.2:1",
			Serving:       true,
		},
		{
			Name:          "entry-3",
			Region:        "north",
			FailureDomain: "north-2",
			CallerAddress: "10.0.0.3:1",
			Serving:       true,
		},
		{
			Name:          "entry-4",
			Region:        "north",
			FailureDomain: "north-1",
			CallerAddress: "10.0.0.4:1",
		},
		{
			Name:          "entry-5",
			Region:        "north",
			FailureDomain: "north-1",
			CallerAddress: "10.0.0.5:1",
			Serving:       true,
			Stopping:      true,
		},
	} {
		n.roster.HandleHeartbeat(&teaselv1.HeartbeatRequest{
			Sender: peer,
		})
	}
	responseHeader := func() http.Header {
		recorder := httptest.NewRecorder()
		n.pipeline.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
		got := recorder.Header()
		// The other headers are those of the refusal, as the entry has no configuration.
		assert.Equal(t, got.Get(header.Reason), "no-configuration")
		for _, name := range []string{header.Outcome, header.Reason, "Content-Type"} {
			got.Del(name)
		}
		return got
	}
	assert.DeepEqual(t, responseHeader(), http.Header{})
	n.shuttingDown.Store(true)
	n.roster.UpdateSelf(func(self *teaselv1.Member) { self.Stopping = true })
	assert.DeepEqual(t, responseHeader(), http.Header{
		"Connection": []string{"close"},
	})
	n.refusingRequests.Store(true)
	assert.DeepEqual(t, responseHeader(), http.Header{
		"Connection":   []string{"close"},
		header.RetryAt: []string{"10.0.0.3:1"},
	})
}

// startStopping starts the entries of a site and lets the first one begin to shut down once
// before has returned. It returns when the time line of that entry has an event of a kind.
func (s *site) startStopping(t *testing.T, kind string, before func()) {
	t.Helper()
	for i := range siteEntries {
		s.start(t, i)
	}
	for i := range siteEntries {
		s.awaitServing(t, i)
		if i > 0 {
			t.Cleanup(func() { s.stop(t, i) })
		}
	}
	before()
	s.cancels[0]()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		events, _ := s.nodes[0].events.Select(timeline.Filter{})
		if slices.ContainsFunc(events, func(event timeline.Event) bool { return event.Kind == kind }) {
			return poll.Success()
		}
		return poll.Continue("no event %s yet", kind)
	}, poll.WithTimeout(time.Minute), poll.WithDelay(5*time.Millisecond))
}

// dialFirst connects to the first entry of a site, as a caller with a receive buffer of the given
// size, or the default if it is 0.
func (s *site) dialFirst(t *testing.T, receiveBytes int) net.Conn {
	t.Helper()
	dialer := net.Dialer{
		Control: func(_, _ string, conn syscall.RawConn) error {
			if receiveBytes == 0 {
				return nil
			}
			return conn.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
			})
		},
	}
	conn, err := dialer.DialContext(t.Context(), "tcp4", s.settings[0].CallersAddress)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// rawRequest returns a GET request to the service of a site.
func rawRequest(payload string) string {
	return fmt.Sprintf("GET / HTTP/1.1\r\nHost: desk\r\nContent-Length: %d\r\n\r\n%s", len(payload), payload)
}

// receive reads a response and returns it with its body.
func receive(t *testing.T, reader *bufio.Reader) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(body)
}

// TestStopDeliversAnswerBeforeNextRequest guards against an answer during a planned stop that the
// system drops, because the caller sends its next request before it has read all of the answer.
func TestStopDeliversAnswerBeforeNextRequest(t *testing.T) {
	s := newSite(t)
	s.startStopping(t, "entry-stopping", func() {})
	payload := strings.Repeat("x", 200<<10)
	conn := s.dialFirst(t, 4<<10)
	_, err := io.WriteString(conn, rawRequest(payload))
	assert.NilError(t, err)
	// Meanwhile, the entry writes all of the answer and closes the connection behind it.
	<-time.After(300 * time.Millisecond)
	_, err = io.WriteString(conn, rawRequest("b"))
	assert.NilError(t, err)
	_, body := receive(t, bufio.NewReader(conn))
	assert.Equal(t, len(body), len("answer to ")+len(payload))
	assert.NilError(t, <-s.exits[0])
}

// TestStopAnswersRequestBehindAnother guards against a request during a planned stop whose
// connection is closed without an answer, because it was received behind another one.
func TestStopAnswersRequestBehindAnother(t *testing.T) {
	s := newSite(t)
	s.startStopping(t, "entry-stopping", func() {})
	conn := s.dialFirst(t, 0)
	_, err := io.WriteString(conn, rawRequest("a")+rawRequest("b"))
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	for _, payload := range []string{"a", "b"} {
		response, body := receive(t, reader)
		assert.Equal(t, body, "answer to "+payload)
		assert.Equal(t, response.Close, payload == "b")
	}
	assert.NilError(t, <-s.exits[0])
}

// TestStopRefusesLateRequests guards against a request at the end of a planned stop whose
// connection is closed without an answer, so that its caller doesn't know whether it ran. It also
// guards against a stop that waits for a connection that stays idle.
func TestStopRefusesLateRequests(t *testing.T) {
	s := newSite(t)
	var idle, reading net.Conn
	s.startStopping(t, "entry-stopped", func() {
		idle, reading = s.dialFirst(t, 0), s.dialFirst(t, 0)
		for _, conn := range []net.Conn{idle, s.dialFirst(t, 0)} {
			_, err := io.WriteString(conn, rawRequest("early"))
			assert.NilError(t, err)
			receive(t, bufio.NewReader(conn))
		}
		_, err := io.WriteString(reading, rawRequest("late")[:10])
		assert.NilError(t, err)
	})
	for _, late := range []struct {
		conn net.Conn
		rest string
	}{
		{
			conn: idle,
			rest: rawRequest("late"),
		},
		{
			conn: reading,
			rest: rawRequest("late")[10:],
		},
	} {
		_, err := io.WriteString(late.conn, late.rest)
		assert.NilError(t, err)
		response, _ := receive(t, bufio.NewReader(late.conn))
		assert.Equal(t, response.Header.Get(header.Outcome), "not-run")
		assert.Equal(t, response.Header.Get(header.Reason), "stopping")
		assert.Assert(t, response.Header.Get(header.RetryAt) != "")
		assert.Assert(t, response.Close)
	}
	began := time.Now()
	assert.NilError(t, <-s.exits[0])
	// The idle timeout of the connection would end the wait as well, but began earlier.
	waited := time.Since(began)
	assert.Assert(t, waited < time.Duration(s.settings[0].Limits.IdleTimeout)/2, "waited %s", waited)
	_, ran := s.executed.Load("late")
	assert.Assert(t, !ran)
}
