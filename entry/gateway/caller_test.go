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

// pipeListener accepts the far ends of pipes.
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

// seen is a request as the entry understood it.
type seen struct {
	method string
	target string
	body   bytes.Buffer
}

// watchBody remembers what is read of a request's body.
type watchBody struct {
	io.ReadCloser
	into *bytes.Buffer
}

func (w *watchBody) Read(content []byte) (int, error) {
	count, err := w.ReadCloser.Read(content)
	w.into.Write(content[:count])
	return count, err
}

// head is that of a proper request behind its target.
const head = " HTTP/1.1\r\nHost: desk.example\r\nX-Id: r1\r\nX-Deadline: 500\r\n"

// TestRawRequestsReachServers: proper requests arrive, one by one on a connection too.
func TestRawRequestsReachServers(t *testing.T) {
	one := "POST /book/1" + head + "Content-Length: 5\r\n\r\noffer"
	for count := range 4 {
		synctest.Test(t, func(t *testing.T) {
			assert.Equal(t, sendRaw(t, []byte(strings.Repeat(one, count))), count)
		})
	}
}

// FuzzRawRequests sends any bytes on a caller's connection. What reaches a server is
// what the entry understood as a request, never a part of one or two at once, and
// what may run once arrives once.
func FuzzRawRequests(f *testing.F) {
	for _, request := range []string{
		"GET /browse/1" + head + "\r\n",
		"GET /browse/1" + head + "\r\nGET /browse/2" + head + "\r\n",
		"POST /book/1" + head + "Content-Length: 5\r\n\r\noffer",
		"POST /book/1" + head + "Content-Length: 3\r\n\r\nofferGET /browse/1" + head + "\r\n",
		"POST /book/1" + head + "Transfer-Encoding: chunked\r\n\r\n5\r\noffer\r\n0\r\n\r\n",
		"POST /book/1" + head + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n5\r\noffer\r\n0\r\n\r\n",
		"POST /book/1" + head + "Transfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\nGET /browse/9" + head + "\r\n",
		"POST /book/1" + head + "Transfer-Encoding: chunked\r\n\r\n5;a=\"\r\n\"\r\noffer\r\n0\r\nX-Trailer: 1\r\n\r\n",
		"POST http://desk.example/book/1" + head + "Content-Length: 0\r\nConnection: X-Id, Content-Length\r\n\r\n",
		"POST //book/1" + head + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\noffer",
		"GET /browse/1?a=%0d%0aX: 1" + head + "X-Target:\r\n\tother\r\n\r\n",
		"POST /book/1" + head + "Content-Length: 65\r\n\r\nGET /browse/1" + head,
	} {
		f.Add([]byte(request))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		synctest.Test(t, func(t *testing.T) { sendRaw(t, content) })
	})
}

// sendRaw writes bytes on a connection to a gateway and compares what it
// understood with what arrived at its servers.
func sendRaw(t *testing.T, content []byte) (arrived int) {
	s := newSite(t, answerGood, "a", "b")
	var understood []*seen
	server := &http.Server{
		ErrorLog: log.New(io.Discard, "", 0),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, incoming *http.Request) {
			each := &seen{
				method: incoming.Method,
				target: incoming.RequestURI,
			}
			incoming.Body = &watchBody{
				ReadCloser: incoming.Body,
				into:       &each.body,
			}
			understood = append(understood, each)
			s.gateway.ServeHTTP(w, incoming)
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
	s.close()
	for _, got := range s.requests() {
		for _, request := range got {
			arrived++
			body, err := io.ReadAll(request.Body)
			assert.NilError(t, err)
			assert.Assert(t, contains(understood, request, body), "%s %s %q arrived and was not asked for", request.Method, request.RequestURI, body)
		}
	}
	assert.Assert(t, arrived <= len(understood), "%d requests became %d", len(understood), arrived)
	return arrived
}

func contains(understood []*seen, request *http.Request, body []byte) bool {
	for _, each := range understood {
		if each.method == request.Method && bytes.Equal(each.body.Bytes(), body) &&
			(each.target == request.RequestURI || each.target == "http://"+request.Host+request.RequestURI) {
			return true
		}
	}
	return false
}
