package gateway_test

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/routing"
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

func (b *recordingBody) Read(p []byte) (int, error) {
	count, err := b.ReadCloser.Read(p)
	b.recorded.Write(p[:count])
	return count, err
}

// versionAndHeader is what follows the request target in a valid request, up to the
// empty line that ends the header.
const versionAndHeader = " HTTP/1.1\r\nHost: desk.example\r\nX-Id: r1\r\nX-Deadline: 500\r\n"

// TestRawRequestsReachServers checks that as many requests reach the servers as are
// pipelined on one connection, from none to three.
func TestRawRequestsReachServers(t *testing.T) {
	rawRequest := "POST /book/1" + versionAndHeader + "Content-Length: 5\r\n\r\noffer"
	for count := range 4 {
		synctest.Test(t, func(t *testing.T) {
			assert.Equal(t, sendRaw(t, []byte(strings.Repeat(rawRequest, count))), count)
		})
	}
}

// TestTargetsReachServersUnchanged guards against paths that reach servers escaped anew: those with
// characters that should be escaped, such as a bar, in any form of the target.
func TestTargetsReachServersUnchanged(t *testing.T) {
	for target, want := range map[string]string{
		"/browse/1?a=%7C|":                       "",
		"/browse/a|b%2Fc{d}":                     "",
		"//browse/a|b%2Fc":                       "",
		"//browse/a%2Fc?x=|":                     "",
		"///browse|%2f//":                        "",
		"http://desk.example/browse/a|b%2Fc?x=|": "/browse/a|b%2Fc?x=|",
		"http://desk.example//browse/a|b%2Fc":    "//browse/a|b%2Fc",
		"http://desk.example":                    "/",
		"http://desk.example?a|":                 "/?a|",
	} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, respondOK, "a")
			conf := *h.gateway.Configuration()
			next := routing.NewConfiguration(8, []*routing.Service{conf.Services["desk"]}, conf.Limits,
				[]*routing.Route{testRoute("all", "/", routing.NonIdempotent)})
			h.gateway.Configuration = func() *routing.Configuration { return next }
			request := newRequest(http.MethodPost, "/", "r1", "offer")
			request.RequestURI = target
			response, aborted := h.send(request)
			assert.Assert(t, !aborted && response.Code == http.StatusOK, "%s: %d", target, response.Code)
			assert.Equal(t, h.receivedRequests()["a"][0].RequestURI, cmp.Or(want, target))
			h.close()
		})
	}
}

// TestEscapedSlashBesideUnescapedCharacter guards against a request with an effect that is repeated,
// because its path is escaped anew before it is matched and an escaped slash then ends the prefix of a
// route of requests that may be repeated.
func TestEscapedSlashBesideUnescapedCharacter(t *testing.T) {
	withHarness(t, dropFirstResponse, []string{"a", "b"}, func(t *testing.T, h *harness) {
		request := newRequest(http.MethodPost, "/book/state/1", "r1", "x")
		request.RequestURI = "/book/state%2F|1"
		parsed, err := url.ParseRequestURI(request.RequestURI)
		assert.NilError(t, err)
		request.URL = parsed
		response, aborted := h.send(request)
		assert.Assert(t, !aborted)
		assert.Equal(t, response.Code, http.StatusBadGateway)
		assert.Equal(t, h.runCount("r1"), 1)
	})
}

// FuzzRawRequests checks that callers can't smuggle requests. It sends arbitrary bytes on
// a caller's connection. Each request that a server receives must be one that http.Server
// parsed and passed to the gateway, and the servers must receive no more requests than
// http.Server parsed.
func FuzzRawRequests(f *testing.F) {
	for _, request := range []string{
		// Valid request without a body.
		"GET /browse/1" + versionAndHeader + "\r\n",
		// Two pipelined requests.
		"GET /browse/1" + versionAndHeader + "\r\nGET /browse/2" + versionAndHeader + "\r\n",
		// Valid request with a body.
		"POST /book/1" + versionAndHeader + "Content-Length: 5\r\n\r\noffer",
		// Content-Length shorter than what is sent as the body.
		"POST /book/1" + versionAndHeader + "Content-Length: 3\r\n\r\nofferGET /browse/1" + versionAndHeader + "\r\n",
		// Chunked body.
		"POST /book/1" + versionAndHeader + "Transfer-Encoding: chunked\r\n\r\n5\r\noffer\r\n0\r\n\r\n",
		// Both Transfer-Encoding and Content-Length.
		"POST /book/1" + versionAndHeader + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n5\r\noffer\r\n0\r\n\r\n",
		// Unsupported list of transfer encodings.
		"POST /book/1" + versionAndHeader + "Transfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\nGET /browse/9" + versionAndHeader + "\r\n",
		// Line break in a quoted chunk extension, and a trailer.
		"POST /book/1" + versionAndHeader + "Transfer-Encoding: chunked\r\n\r\n5;a=\"\r\n\"\r\noffer\r\n0\r\nX-Trailer: 1\r\n\r\n",
		// Target in absolute form, and a Connection header that lists end-to-end headers.
		"POST http://desk.example/book/1" + versionAndHeader + "Content-Length: 0\r\nConnection: X-Id, Content-Length\r\n\r\n",
		// Target that begins with two slashes, and an Expect header.
		"POST //book/1" + versionAndHeader + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\noffer",
		// Encoded line break in the query, and a folded header line.
		"GET /browse/1?a=%0d%0aX: 1" + versionAndHeader + "X-Target:\r\n\tother\r\n\r\n",
		// Body that looks like a request, of which the last six bytes exceed the Content-Length.
		"POST /book/1" + versionAndHeader + "Content-Length: 65\r\n\r\nGET /browse/1" + versionAndHeader,
	} {
		f.Add([]byte(request))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		synctest.Test(t, func(t *testing.T) { sendRaw(t, data) })
	})
}

// sendRaw writes bytes to a caller's connection to an http.Server with a gateway as its
// handler. It checks that the servers receive only requests that were parsed, and
// returns how many they receive.
func sendRaw(t *testing.T, data []byte) (receivedCount int) {
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
	callerConn, entryConn := net.Pipe()
	listener.conns <- entryConn
	group.Go(func() { _, _ = io.Copy(io.Discard, callerConn) })
	_ = callerConn.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = callerConn.Write(data)
	// Five seconds on the fake clock are longer than the routes' timeout.
	time.Sleep(5 * time.Second)
	callerConn.Close()
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

// wasParsed reports whether a request that a server received has the method, target and
// body of one of the parsed requests. The gateway forwards a target in absolute form as a
// path and query.
func wasParsed(parsedRequests []*parsedRequest, request *http.Request, body []byte) bool {
	for _, parsed := range parsedRequests {
		if parsed.method == request.Method && bytes.Equal(parsed.body.Bytes(), body) &&
			(parsed.target == request.RequestURI || parsed.target == "http://"+request.Host+request.RequestURI) {
			return true
		}
	}
	return false
}

// TestEarlyResponseToUpload guards against a server that gets a body with a hole: it responds before
// it has read the whole body and reads on, while the http.Server drops a part of the body.
func TestEarlyResponseToUpload(t *testing.T) {
	body := make([]byte, 700_000)
	for i := range body {
		body[i] = byte(rand.IntN(256))
	}
	var chunked bytes.Buffer
	for part := range slices.Chunk(body, 10_000) {
		fmt.Fprintf(&chunked, "%x\r\n%s\r\n", len(part), part)
	}
	for name, content := range map[string]string{
		"with a length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"in chunks":     "Transfer-Encoding: chunked\r\n\r\n" + chunked.String() + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			// The http.Server and the sender of the body wait for each other with a mutex, which
			// stops the clock of a synctest bubble.
			h := newHarness(t, respondOK, "a")
			var group sync.WaitGroup
			received := make(chan []byte, 1)
			h.gateway.Pool.Dial = func(context.Context, string) (net.Conn, error) {
				entryConn, serverConn := net.Pipe()
				group.Go(func() { received <- readAfterEarlyResponse(serverConn) })
				return entryConn, nil
			}
			listener := &pipeListener{
				conns: make(chan net.Conn, 1),
				done:  make(chan struct{}),
			}
			server := &http.Server{
				Handler: h.gateway,
			}
			group.Go(func() { _ = server.Serve(listener) })
			callerConn, entryConn := net.Pipe()
			listener.conns <- entryConn
			group.Go(func() {
				for part := range slices.Chunk([]byte("POST /book/1"+versionAndHeader+content), 1000) {
					if _, err := callerConn.Write(part); err != nil {
						return
					}
				}
			})
			response, err := http.ReadResponse(bufio.NewReader(callerConn), nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusUnprocessableEntity)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			got := <-received
			assert.Assert(t, len(got) >= earlyResponseAt && bytes.HasPrefix(body, got), "%d bytes that are not the beginning of the body", len(got))
			assert.NilError(t, callerConn.Close())
			assert.NilError(t, server.Close())
			group.Wait()
			h.close()
		})
	}
}

// earlyResponseAt is how much readAfterEarlyResponse reads of a body before it responds.
const earlyResponseAt = 530_000

// readAfterEarlyResponse reads a request, responds once it has read a part of the body, and reads
// on. It returns what it got of the body.
func readAfterEarlyResponse(conn net.Conn) []byte {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return nil
	}
	var got bytes.Buffer
	if _, err := io.CopyN(&got, request.Body, earlyResponseAt); err != nil {
		return got.Bytes()
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 422 Unprocessable Entity\r\nX-Id: r1\r\nX-Stamp: s\r\nContent-Length: 5000\r\n\r\n"+strings.Repeat("x", 5000))
	// The error says that the connection was closed before the end of the body.
	_, _ = io.Copy(&got, request.Body)
	return got.Bytes()
}
