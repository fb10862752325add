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

// newServer returns one backend server with a slot, outside of its own process
// loop.
func newServer(t *testing.T) (*Server, string) {
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
	served := httptest.NewServer(server)
	t.Cleanup(served.Close)
	crash := served.CloseClientConnections
	server.crash.Store(&crash)
	return server, served.URL
}

// ask sends a request of a key, and returns the answer and its status.
func ask(t *testing.T, url, query, key string) (*http.Response, Response, error) {
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
	var answer Response
	err = json.NewDecoder(response.Body).Decode(&answer)
	return response, answer, err
}

func TestServerWithoutFaultEchoesRequest(t *testing.T) {
	server, url := newServer(t)
	response, answer, err := ask(t, url, "echo=a&answer=7", "a")
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(header.RequestID), "id-a")
	assert.DeepEqual(t, answer, Response{
		Server:    "desk-1",
		Echo:      "a",
		BodyBytes: int64(len("offer")),
		Padding:   string(make([]byte, 7)),
	})
	report := server.fleet.Report()
	assert.Equal(t, report.RunsByKey["a"], 1)
	assert.Equal(t, report.RunsByTag["a"], 1)
}

func TestFaults(t *testing.T) {
	t.Run("shed before running", func(t *testing.T) {
		server, url := newServer(t)
		server.SetFault(Fault{
			AffectedRequests: 1,
			Shed:             true,
		})
		response, _, _ := ask(t, url, "", "a")
		assert.Equal(t, response.Header.Get(header.Shed), "1")
		assert.Equal(t, server.fleet.Report().RunsByKey["a"], 0)
		_, _, err := ask(t, url, "", "a")
		assert.NilError(t, err, "the fault struck more than one request")
	})
	t.Run("crossed", func(t *testing.T) {
		server, url := newServer(t)
		server.SetFault(Fault{
			ResponseMismatch: true,
		})
		response, answer, err := ask(t, url, "echo=a", "a")
		assert.NilError(t, err)
		assert.Assert(t, response.Header.Get(header.RequestID) != "id-a")
		assert.Assert(t, answer.Echo != "a")
	})
	t.Run("short", func(t *testing.T) {
		server, url := newServer(t)
		server.SetFault(Fault{
			Truncated: true,
		})
		_, _, err := ask(t, url, "echo=a", "a")
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
	t.Run("unhealthy", func(t *testing.T) {
		server, url := newServer(t)
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
		server, url := newServer(t)
		_, _, err := ask(t, url, QueryPoison, "a")
		assert.Assert(t, err != nil)
		report := server.fleet.Report()
		assert.Equal(t, report.Crashes, 1)
		assert.Equal(t, report.RunsByKey["a"], 1)
	})
}

func TestRequestBeyondSlotsIsShedAndCounted(t *testing.T) {
	server, url := newServer(t)
	server.inFlight.Add(1)
	response, _, _ := ask(t, url, "", "a")
	assert.Equal(t, response.Header.Get(header.Shed), "1")
	assert.Equal(t, server.fleet.Report().OverSlots, 1)
}
