package pipeline_test

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// FuzzPipeline sends arbitrary bytes on a connection, in pieces, to an http.Server with
// pipelining and to one without, which is the model. Callers must get the same responses
// from both. With pipelining, all requests must run that run without, and no others but
// idempotent ones, behind a response that closes the connection.
func FuzzPipeline(f *testing.F) {
	post := "POST /safe/20/p HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 5\r\n\r\noffer"
	chunked := "POST /safe/20/q HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n5\r\noffer\r\n0\r\n\r\n"
	effect := "POST /effect/20/r HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 5\r\n\r\noffer"
	for _, data := range []string{
		get("/safe/30/a") + get("/safe/10/b") + get("/safe/20/c"),
		get("/safe/30/a") + effect + get("/safe/20/c"),
		get("/safe/30/a") + post + chunked + get("/safe/20/c"),
		post + "\r\n" + get("/safe/10/b") + get("/safe/20/c"),
		"\n",
		"\r\n",
		post + "\r\n",
		get("/safe/30/a") + strings.Replace(get("/safe/10/b"), "HTTP/1.1", "HTTP/1.0", 1) + get("/safe/20/c"),
		get("/safe/30/a") + strings.Replace(post, "Content-Length: 5", "Content-Length: 3", 1) + get("/safe/20/c"),
		get("/safe/30/a") + strings.ReplaceAll(get("/safe/10/b"), "\r\n", "\n") + get("/safe/20/c"),
		get("/safe/30/a") + "HEAD /safe/10/h HTTP/1.1\r\nHost: desk.example\r\n\r\n" + get("/safe/20/c"),
		get("/safe/30/a") + "GET /safe/10/b HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n\r\n" + get("/safe/20/c"),
		get("/safe/30/a") + "GET /safe/10/b HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n" + get("/safe/20/c"),
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + get("/safe/20/c"),
		get("/safe/30/a") + "GET http://other.example/safe/10/b HTTP/1.1\r\nHost: desk.example\r\n\r\n" + get("/safe/20/c"),
		get("/safe/30/a") + "POST /safe/20/p HTTP/1.1\r\nHost: desk.example\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\noffer" + get("/safe/20/c"),
		get("/safe/30/a") + "POST /safe/20/p HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n5\r\noffer\r\n0\r\n\r\n" + get("/safe/20/c"),
		strings.Replace(chunked, "5\r\noffer", "1\r\no\r\n004\r\nffer", 1) + chunked + effect,
		strings.Replace(chunked, "5\r\n", "5;name=value\r\n", 1) + get("/safe/20/c"),
		strings.Replace(chunked, "0\r\n", "0\r\nX-Trailer: 1\r\n", 1) + get("/safe/20/c"),
		strings.Replace(chunked, "0\r\n", "0\r\nX-Trailer: 1\r\nX-Other: 2\r\n", 1) + effect + get("/safe/20/c"),
		strings.Replace(chunked, "0\r\n", "0;a\r\nX-Trailer: 1\n\r\n"+effect, 1) + get("/safe/20/c"),
		strings.Replace(chunked, "0\r\n", "0\r\nX-Trailer: 1\n\n"+effect, 1) + get("/safe/20/c"),
		strings.Replace(chunked, "0\r\n", "0\r\nno field\r\n", 1) + effect,
		strings.Replace(chunked, "0\r\n", "0\r\n folded: 1\r\n", 1) + effect,
		strings.Replace(chunked, "0\r\n", "0\r\nX-Trailer: "+strings.Repeat("x", 2<<10)+"\r\n", 1) + effect,
		strings.Replace(chunked, "0\r\n", "0\r\nX: 1\rY: 2\r\n", 1) + effect,
		strings.Replace(chunked, "5\r\n", "5;a=\"\r\n\"\r\n", 1) + effect,
		strings.Replace(chunked, "5\r\n", "5 ;a\r\n", 1) + effect,
		strings.Replace(chunked, "5\r\n", "5;a\rb\r\n", 1) + effect,
		strings.Replace(chunked, "5\r\n", "5\n", 1) + get("/safe/20/c"),
		strings.Replace(chunked, "offer\r\n", "offer0\r\n", 1) + get("/safe/20/c"),
		strings.Replace(chunked, "5\r\n", "-5\r\n", 1) + get("/safe/20/c"),
		get("/safe/30/abort") + get("/safe/10/b"),
	} {
		for _, piece := range []uint16{0, 1, 7, 64} {
			f.Add([]byte(data), piece)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, piece uint16) {
		if strings.Contains(string(data), "big") || len(data) > 8<<10 {
			t.Skip()
		}
		var responses [2]string
		var ran [2][]string
		for i, pipelined := range []bool{true, false} {
			synctest.Test(t, func(*testing.T) {
				responses[i], ran[i] = exchangeBytes(newHarness(pipelined), data, int(piece))
			})
		}
		assert.Equal(t, responses[0], responses[1])
		for _, uri := range ran[1] {
			assert.Assert(t, slices.Contains(ran[0], uri), "%s ran without pipelining only", uri)
		}
		for _, uri := range ran[0] {
			idempotent := strings.Contains(uri, "/safe/")
			assert.Assert(t, idempotent || slices.Contains(ran[1], uri), "%s ran with pipelining only", uri)
		}
	})
}

// FuzzChunkedBodies sends arbitrary bytes as a body in chunks, in pieces, with a request behind it, to
// an http.Server with pipelining and to one without. Both must find the same end of the body: the
// same requests run, and the first one gets the same response.
func FuzzChunkedBodies(f *testing.F) {
	for _, body := range []string{
		"5\r\noffer\r\n0\r\n\r\n",
		"5;a=b\r\noffer\r\n0;c\r\nX: 1\r\nY: 2\r\n\r\n",
		"0\r\nX: 1\n\r\n",
		"0\r\nX: 1\n\n" + get("/effect/20/smuggled"),
		"5;a=\"\r\n\"\r\noffer\r\n0\r\n\r\n",
	} {
		for _, piece := range []uint16{0, 1, 7} {
			f.Add([]byte(body), piece)
		}
	}
	f.Fuzz(func(t *testing.T, body []byte, piece uint16) {
		if len(body) > 6<<10 {
			t.Skip()
		}
		data := slices.Concat([]byte("POST /effect/20/q HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n"), body, []byte(get("/effect/20/s")))
		var first [2]string
		var ran [2][]string
		for i, pipelined := range []bool{true, false} {
			synctest.Test(t, func(*testing.T) {
				responses, targets := exchangeBytes(newHarness(pipelined), data, int(piece))
				first[i], _, _ = strings.Cut(responses, "\n")
				ran[i] = targets
			})
		}
		assert.Equal(t, first[0], first[1])
		assert.DeepEqual(t, ran[0], ran[1])
	})
}

// exchangeBytes sends data in pieces of a size, or at once if that is 0. It returns the
// responses without their headers, and the targets of the requests that ran.
func exchangeBytes(h *harness, data []byte, piece int) (responses string, ran []string) {
	h.group.Go(func() {
		if piece == 0 {
			piece = max(1, len(data))
		}
		for len(data) > 0 {
			size := min(piece, len(data))
			if _, err := h.caller.Write(data[:size]); err != nil {
				return
			}
			data = data[size:]
			time.Sleep(time.Millisecond)
		}
	})
	var text strings.Builder
	finished := make(chan struct{})
	h.group.Go(func() {
		defer close(finished)
		for {
			// The method of the request only matters for HEAD, whose response has no body.
			received, err := http.ReadResponse(h.reader, nil)
			if err != nil {
				return
			}
			body, err := io.ReadAll(io.LimitReader(received.Body, 1<<20))
			fmt.Fprintf(&text, "%d %q %v %v\n", received.StatusCode, body, received.Close, err)
		}
	})
	select {
	case <-finished:
	case <-time.After(10 * time.Minute):
	}
	h.mu.Lock()
	ran = slices.Sorted(maps.Keys(h.starts))
	h.mu.Unlock()
	h.close()
	<-finished
	return text.String(), ran
}
