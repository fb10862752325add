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

// uploadBytes is the size of the uploaded body, that of a large manuscript.
const uploadBytes = 64 << 20

// BenchmarkEntryVersusDirect alternates between requests through an entry and the
// same requests sent directly to a backend server, and reports the latency
// percentiles of both. The network has no delays, and the rate caps are removed,
// since they would add waiting time.
func BenchmarkEntryVersusDirect(b *testing.B) {
	d := startDeployment(b, "kasikirjoitus", removeRelay, removeRateCaps)
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
			direct := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			viaEntry := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			serverAddress := d.Configuration.Service(test.service).BackendServers[0].Address
			for b.Loop() {
				_ = direct.RecordValue(measureRequest(b, serverAddress, test.service, test.method, "", test.bodyBytes))
				key := ""
				if test.method != http.MethodGet {
					key = fetchTicket(b, entryAddress, test.service)
				}
				_ = viaEntry.RecordValue(measureRequest(b, entryAddress, test.service, test.method, key, test.bodyBytes))
			}
			for _, percentile := range []float64{50, 99} {
				b.ReportMetric(float64(direct.ValueAtPercentile(percentile)), fmt.Sprintf("direct-p%g-us", percentile))
				b.ReportMetric(float64(viaEntry.ValueAtPercentile(percentile)), fmt.Sprintf("entry-p%g-us", percentile))
			}
		})
	}
}

// measureRequest sends one request, with a body of bodyBytes bytes and the key if
// there is a body, and returns its latency in microseconds.
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

// endlessReader is an io.Reader that never ends and leaves the content of the buffer
// as it is.
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

// residentMemory returns the line VmRSS, the resident memory, from the file
// /proc/PID/status of a process, or "unknown" if there is none.
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
