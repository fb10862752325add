package backend

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/intent"
)

// startServer starts a backend server with one slot and returns it with its URL. An
// httptest.Server serves it in place of Server.Serve. A crash closes the connections,
// but not the listener.
func startServer(t *testing.T) (*Server, string) {
	t.Helper()
	fleet := NewFleet(&intent.Configuration{
		Services: []*intent.Service{{
			BackendServers: []intent.BackendServer{{
				Name:  "desk-1",
				Slots: 1,
			}},
		}},
	})
	server := fleet.Servers()[0]
	httpServer := httptest.NewServer(server)
	t.Cleanup(httpServer.Close)
	crash := httpServer.CloseClientConnections
	server.crash.Store(&crash)
	return server, httpServer.URL
}

// send sends a request with an idempotency key, and returns the HTTP response, whose
// body is closed, and the decoded body. If the request fails, the response is nil.
//
// The request has no GetBody. With it, the transport would send a request with an
// Idempotency-Key header again after its connection broke, and the server would run
// it twice.
func send(t *testing.T, url, query, key string) (*http.Response, Response, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url+"/work?"+query, strings.NewReader("offer"))
	assert.NilError(t, err)
	request.Body = io.NopCloser(request.Body)
	request.GetBody = nil
	request.Header.Set(header.IdempotencyKey, key)
	request.Header.Set(header.RequestID, "id-"+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, Response{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var decoded Response
	err = json.NewDecoder(response.Body).Decode(&decoded)
	return response, decoded, err
}

func TestServerRunsAndCountsRequest(t *testing.T) {
	server, url := startServer(t)
	// The query sets QueryEcho and QueryPaddingBytes.
	response, decoded, err := send(t, url, "echo=a&answer=7", "a")
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(header.RequestID), "id-a")
	assert.DeepEqual(t, decoded, Response{
		Server:    "desk-1",
		Echo:      "a",
		BodyBytes: int64(len("offer")),
		Padding:   string(make([]byte, 7)),
	})
	report := server.fleet.Report()
	assert.Equal(t, report.RunsByKey["a"], 1)
	assert.Equal(t, report.RunsByTag["a"], 1)
}

func TestFaultsAndPoisonTakeEffect(t *testing.T) {
	t.Run("one request shed before running", func(t *testing.T) {
		server, url := startServer(t)
		server.SetFault(Fault{
			AffectedRequests: 1,
			Shed:             true,
		})
		response, _, _ := send(t, url, "", "a")
		assert.Equal(t, response.Header.Get(header.Shed), "1")
		assert.Equal(t, server.fleet.Report().RunsByKey["a"], 0)
		// The response to a shed request has no body, so decoding it would fail.
		_, _, err := send(t, url, "", "a")
		assert.NilError(t, err, "the fault affected more than one request")
	})
	t.Run("response to another request", func(t *testing.T) {
		server, url := startServer(t)
		server.SetFault(Fault{
			ResponseMismatch: true,
		})
		response, decoded, err := send(t, url, "echo=a", "a")
		assert.NilError(t, err)
		assert.Assert(t, response.Header.Get(header.RequestID) != "id-a")
		assert.Assert(t, decoded.Echo != "a")
	})
	t.Run("truncated response", func(t *testing.T) {
		server, url := startServer(t)
		server.SetFault(Fault{
			Truncated: true,
		})
		_, _, err := send(t, url, "echo=a", "a")
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
	t.Run("unhealthy with a false load", func(t *testing.T) {
		server, url := startServer(t)
		load := int64(9)
		server.SetFault(Fault{
			Unhealthy:    true,
			ReportedLoad: &load,
		})
		response, err := http.Get(url + healthPath)
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, response.Header.Get(header.Load), "9")
	})
	t.Run("poisoned request", func(t *testing.T) {
		server, url := startServer(t)
		_, _, err := send(t, url, QueryPoison, "a")
		assert.Assert(t, err != nil)
		report := server.fleet.Report()
		assert.Equal(t, report.Crashes, 1)
		assert.Equal(t, report.RunsByKey["a"], 1)
	})
}

func TestRequestBeyondSlotsIsShedAndCounted(t *testing.T) {
	server, url := startServer(t)
	server.inFlight.Add(1)
	response, _, _ := send(t, url, "", "a")
	assert.Equal(t, response.Header.Get(header.Shed), "1")
	assert.Equal(t, server.fleet.Report().OverSlots, 1)
}
