package site_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/api/teasel/v1/teaselv1connect"
	"github.com/teaselstack/teaselstack/header"
)

// uploadBytes is the size of the uploaded body, about as large as a large manuscript.
const uploadBytes = 64 << 20

// BenchmarkEntryVersusDirect alternates between requests through an entry and
// requests of the same method and size sent directly to a backend server, and reports
// the latency percentiles of both. Uploads through the entry have a ticket as their
// idempotency key; fetching it is not part of the latency. The network delays are
// removed and the rate caps raised, since either would add to the latency. The ns/op
// that the benchmark reports is the time of both requests and the ticket together.
func BenchmarkEntryVersusDirect(b *testing.B) {
	d := startDeployment(b, "kasikirjoitus", removeRelay, raiseRateCaps)
	// entry-2 has not served a request yet.
	b.Logf("entry-2 idle: %s", residentMemory(b, d.processes["entry-2"].command.Process.Pid))
	entryAddress := d.Entries[0].CallersAddress
	for _, test := range []struct {
		name      string
		service   string
		method    string
		bodyBytes int64
	}{
		{
			name:    "small",
			service: "agent-desk",
			method:  http.MethodGet,
		},
		{
			name:      "upload",
			service:   "manuscript-intake",
			method:    http.MethodPut,
			bodyBytes: uploadBytes,
		},
	} {
		d.eventually(test.service+" is served", func() bool {
			request, err := http.NewRequest(http.MethodGet, "http://"+entryAddress+"/work", nil)
			assert.NilError(b, err)
			request.Header.Set(header.Service, test.service)
			response, err := http.DefaultClient.Do(request)
			return err == nil && response.Body.Close() == nil && response.StatusCode == http.StatusOK
		})
		b.Run(test.name, func(b *testing.B) {
			directLatency := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			entryLatency := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			serverAddress := d.Configuration.Service(test.service).BackendServers[0].Address
			for b.Loop() {
				_ = directLatency.RecordValue(measureRequest(b, serverAddress, test.service, test.method, "", test.bodyBytes))
				// The entry refuses a non-idempotent request without an idempotency key; a
				// ticket of a look-up serves as one.
				ticket := ""
				if test.method != http.MethodGet {
					ticket = fetchTicket(b, entryAddress, test.service)
				}
				_ = entryLatency.RecordValue(measureRequest(b, entryAddress, test.service, test.method, ticket, test.bodyBytes))
			}
			for _, percentile := range []float64{50, 99} {
				b.ReportMetric(float64(directLatency.ValueAtPercentile(percentile)), fmt.Sprintf("direct-p%g-us", percentile))
				b.ReportMetric(float64(entryLatency.ValueAtPercentile(percentile)), fmt.Sprintf("entry-p%g-us", percentile))
			}
		})
	}
}

// measureRequest sends one request and returns the latency in microseconds until the
// end of the response. If bodyBytes is above 0, the request has a body of that size
// and the header with the idempotency key, even if key is empty.
func measureRequest(b *testing.B, address, service, method, key string, bodyBytes int64) int64 {
	b.Helper()
	request, err := http.NewRequest(method, "http://"+address+"/work", nil)
	assert.NilError(b, err)
	request.Header.Set(header.Service, service)
	if bodyBytes > 0 {
		request.Body = io.NopCloser(io.LimitReader(endlessReader{}, bodyBytes))
		request.ContentLength = bodyBytes
		request.Header.Set(header.IdempotencyKey, key)
	}
	startedAt := time.Now()
	response, err := http.DefaultClient.Do(request)
	assert.NilError(b, err)
	content, err := io.ReadAll(response.Body)
	assert.NilError(b, err)
	elapsed := time.Since(startedAt)
	assert.NilError(b, response.Body.Close())
	assert.Equal(b, response.StatusCode, http.StatusOK, string(content))
	return elapsed.Microseconds()
}

// endlessReader is an io.Reader of unlimited length. It returns whatever the buffer
// already contains, so that reading costs almost nothing.
type endlessReader struct{}

func (endlessReader) Read(buffer []byte) (int, error) { return len(buffer), nil }

// fetchTicket looks up a service at an entry and returns a ticket for one request.
func fetchTicket(b *testing.B, address, service string) string {
	b.Helper()
	lookup, err := teaselv1connect.NewLookupServiceClient(http.DefaultClient, "http://"+address).Lookup(context.Background(), connect.NewRequest(&teaselv1.LookupRequest{
		Service: service,
		Tickets: 1,
	}))
	assert.NilError(b, err)
	return lookup.Msg.GetTickets()[0]
}

// residentMemory returns the line VmRSS of the file /proc/PID/status, which states the
// resident memory of a process, or "unknown" if the file has no such line.
func residentMemory(b *testing.B, pid int) string {
	b.Helper()
	content, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	assert.NilError(b, err)
	for line := range strings.Lines(string(content)) {
		if strings.HasPrefix(line, "VmRSS:") {
			return strings.TrimSpace(line)
		}
	}
	return "unknown"
}
