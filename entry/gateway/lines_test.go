package gateway_test

import (
	"io"
	"net"
	"net/http"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// drawn matches the fields of a line that are drawn at random.
var drawn = regexp.MustCompile(`"retry-after-ms":\d+`)

// TestLogLines: a request that is not served leaves lines that say what was decided
// and by what; so does each send before its outcome is known.
func TestLogLines(t *testing.T) {
	for name, test := range map[string]struct {
		method  string
		path    string
		servers []string
		answer  serverFunc
	}{
		"answered": {
			method:  http.MethodGet,
			path:    "/browse/1",
			servers: []string{"a", "b"},
			answer:  answerGood,
		},
		"repeated": {
			method:  http.MethodGet,
			path:    "/browse/1",
			servers: []string{"a", "b"},
			answer:  breakFirst,
		},
		"lost-answer": {
			method:  http.MethodPost,
			path:    "/book/1",
			servers: []string{"a", "b"},
			answer:  breakFirst,
		},
		"shed": {
			method:  http.MethodPost,
			path:    "/book/1",
			servers: []string{"a", "b"},
			answer: func(_ *site, _ string, conn net.Conn, request *http.Request) bool {
				_, err := io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\n"+names.NotExecuted+": 1\r\n"+names.Load+": 0, 0, 3\r\n"+
					names.RequestID+": "+request.Header.Get(names.RequestID)+"\r\nContent-Length: 0\r\n\r\n")
				return err == nil
			},
		},
		"unconnected": {
			method:  http.MethodPost,
			path:    "/book/1",
			servers: []string{"dead-a", "dead-b"},
			answer:  answerGood,
		},
		"no-server": {
			method: http.MethodPost,
			path:   "/book/1",
			answer: answerGood,
		},
		"no-route": {
			method: http.MethodPost,
			path:   "/elsewhere/1",
			answer: answerGood,
		},
	} {
		t.Run(name, func(t *testing.T) {
			serve(t, test.answer, test.servers, func(t *testing.T, s *site) {
				_, cut := s.ask(newRequest(test.method, test.path, "r1", "x"))
				assert.Assert(t, !cut)
				golden.Assert(t, drawn.ReplaceAllString(s.lines.String(), `"retry-after-ms":0`), "lines-"+name+".golden")
			})
		})
	}
}

// TestSendIsLoggedBeforeOutcome: the line on a send is written before its outcome, so
// that an entry that is killed meanwhile has told of it.
func TestSendIsLoggedBeforeOutcome(t *testing.T) {
	told := ""
	look := func(s *site, server string, conn net.Conn, request *http.Request) bool {
		told = s.lines.String()
		return answerGood(s, server, conn, request)
	}
	serve(t, look, []string{"a"}, func(t *testing.T, s *site) {
		s.ask(newRequest(http.MethodPost, "/book/1", "r1", "x"))
		assert.Assert(t, regexp.MustCompile(`"event":"sent","id":"r1".*"server":"a"`).MatchString(told), "%s", told)
	})
}
