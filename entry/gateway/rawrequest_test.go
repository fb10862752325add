package gateway_test

import (
	"bytes"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// pipeListener is a net.Listener whose Accept returns the connections sent to conns.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// parsedRequest is a request as the http.Server in front of the gateway parsed it.
type parsedRequest struct {
	method string
	target string
	body   bytes.Buffer
}

// recordingBody is a request's body that records what is read from it.
type recordingBody struct {
	io.ReadCloser
	recorded *bytes.Buffer
}

func (b *recordingBody) Read(content []byte) (int, error) {
	count, err := b.ReadCloser.Read(content)
	b.recorded.Write(content[:count])
	return count, err
}

// restOfHeader completes a request line after the request target and adds the header of
// a valid request, without the empty line at its end.
const restOfHeader = " HTTP/1.1\r\nHost: desk.example\r\nX-Id: r1\r\nX-Deadline: 500\r\n"

// TestRawRequestsReachServers checks that valid requests reach servers, also when
// several are pipelined on one connection.
func TestRawRequestsReachServers(t *testing.T) {
	rawRequest := "POST /book/1" + restOfHeader + "Content-Length: 5\r\n\r\noffer"
	for count := range 4 {
		synctest.Test(t, func(t *testing.T) {
			assert.Equal(t, sendRaw(t, []byte(strings.Repeat(rawRequest, count))), count)
		})
	}
}

// FuzzRawRequests sends arbitrary bytes on a caller's connection. Servers must receive
// only requests that the entry parsed, none split or merged (request smuggling), and no
// more requests than it parsed.
func FuzzRawRequests(f *testing.F) {
	for _, request := range []string{
		"GET /browse/1" + restOfHeader + "\r\n",
		"GET /browse/1" + restOfHeader + "\r\nGET /browse/2" + restOfHeader + "\r\n",
		"POST /book/1" + restOfHeader + "Content-Length: 5\r\n\r\noffer",
		"POST /book/1" + restOfHeader + "Content-Length: 3\r\n\r\nofferGET /browse/1" + restOfHeader + "\r\n",
		"POST /book/1" + restOfHeader + "Transfer-Encoding: chunked\r\n\r\n5\r\noffer\r\n0\r\n\r\n",
		"POST /book/1" + restOfHeader + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n5\r\noffer\r\n0\r\n\r\n",
		"POST /book/1" + restOfHeader + "Transfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\nGET /browse/9" + restOfHeader + "\r\n",
		"POST /book/1" + restOfHeader + "Transfer-Encoding: chunked\r\n\r\n5;a=\"\r\n\"\r\noffer\r\n0\r\nX-Trailer: 1\r\n\r\n",
		"POST http://desk.example/book/1" + restOfHeader + "Content-Length: 0\r\nConnection: X-Id, Content-Length\r\n\r\n",
		"POST //book/1" + restOfHeader + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\noffer",
		"GET /browse/1?a=%0d%0aX: 1" + restOfHeader + "X-Target:\r\n\tother\r\n\r\n",
		"POST /book/1" + restOfHeader + "Content-Length: 65\r\n\r\nGET /browse/1" + restOfHeader,
	} {
		f.Add([]byte(request))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		synctest.Test(t, func(t *testing.T) { sendRaw(t, content) })
	})
}

// sendRaw writes bytes to a connection of a gateway, checks that the servers receive
// only requests that were parsed, and returns how many they receive.
func sendRaw(t *testing.T, content []byte) (receivedCount int) {
	h := newHarness(t, respondOK, "a", "b")
	var parsedRequests []*parsedRequest
	server := &http.Server{
		ErrorLog: log.New(io.Discard, "", 0),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, incoming *http.Request) {
			parsed := &parsedRequest{
				method: incoming.Method,
				target: incoming.RequestURI,
			}
			incoming.Body = &recordingBody{
				ReadCloser: incoming.Body,
				recorded:   &parsed.body,
			}
			parsedRequests = append(parsedRequests, parsed)
			h.gateway.ServeHTTP(w, incoming)
		}),
	}
	listener := &pipeListener{
		conns: make(chan net.Conn, 1),
		done:  make(chan struct{}),
	}
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	near, far := net.Pipe()
	listener.conns <- far
	group.Go(func() { _, _ = io.Copy(io.Discard, near) })
	_ = near.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = near.Write(content)
	time.Sleep(5 * time.Second)
	near.Close()
	synctest.Wait()
	assert.NilError(t, server.Close())
	group.Wait()
	h.close()
	for _, requests := range h.receivedRequests() {
		for _, request := range requests {
			receivedCount++
			body, err := io.ReadAll(request.Body)
			assert.NilError(t, err)
			assert.Assert(t, wasParsed(parsedRequests, request, body), "a server got %s %s %q, which the gateway did not parse", request.Method, request.RequestURI, body)
		}
	}
	assert.Assert(t, receivedCount <= len(parsedRequests), "%d requests were parsed, servers got %d", len(parsedRequests), receivedCount)
	return receivedCount
}

// wasParsed reports whether a request that a server received is among those parsed.
func wasParsed(parsedRequests []*parsedRequest, request *http.Request, body []byte) bool {
	for _, each := range parsedRequests {
		if each.method == request.Method && bytes.Equal(each.body.Bytes(), body) &&
			(each.target == request.RequestURI || each.target == "http://"+request.Host+request.RequestURI) {
			return true
		}
	}
	return false
}
