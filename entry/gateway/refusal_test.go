package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRetryAfter: a caller that was turned away by a server with room, or by its
// second server, may come again at once; where there is no room, it comes when a
// request will have ended.
func TestRetryAfter(t *testing.T) {
	shed := func(load string) serverFunc {
		return func(_ *site, _ string, conn net.Conn, request *http.Request) bool {
			_, err := io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\n"+names.NotExecuted+": 1\r\n"+names.Load+": "+load+"\r\n"+
				names.RequestID+": "+request.Header.Get(names.RequestID)+"\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}
	}
	replaced := func(_ *site, _ string, conn net.Conn, request *http.Request) bool {
		_, err := io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\n"+
			names.RequestID+": "+request.Header.Get(names.RequestID)+"\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	for name, test := range map[string]struct {
		servers []string
		answer  serverFunc
		soon    bool
	}{
		"servers with room": {
			servers: []string{"a", "b", "c"},
			answer:  shed("0, 0, 3"),
			soon:    true,
		},
		"full servers": {
			servers: []string{"a", "b", "c"},
			answer:  shed("3, 4, 3"),
		},
		"replaced servers": {
			servers: []string{"a", "b", "c"},
			answer:  replaced,
			soon:    true,
		},
		"no other server": {
			servers: []string{"a"},
			answer:  replaced,
		},
		"no server": {
			answer: answerGood,
		},
	} {
		t.Run(name, func(t *testing.T) {
			serve(t, test.answer, test.servers, func(t *testing.T, s *site) {
				answer, cut := s.ask(newRequest(http.MethodPost, "/book/1", "r1", "x"))
				assert.Assert(t, !cut)
				assert.Equal(t, answer.Code, http.StatusServiceUnavailable)
				wait, err := strconv.ParseFloat(answer.Header().Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Equal(t, wait < 0.1, test.soon, "%g s", wait)
			})
		})
	}
}
