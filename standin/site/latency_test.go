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

// uploadBytes is the size of a large manuscript.
const uploadBytes = 64 << 20

// BenchmarkEntryVersusDirect compares requests through an entry with the same
// asked of a backend server directly, both without the network's delays, by
// turns in one run and below no cap, which would add its wait. It reports the percentiles of both and what an entry adds.
func BenchmarkEntryVersusDirect(b *testing.B) {
	d := start(b, "kasikirjoitus", withoutRelay, withoutCaps)
	b.Logf("entry-2 idle: %s", residentMemory(b, d.entries["entry-2"].command.Process.Pid))
	entry := d.Entries[0].CallersAddress
	for _, each := range []struct {
		name    string
		service string
		method  string
		bytes   int64
	}{
		{
			name:    "small",
			service: "agent-desk",
			method:  http.MethodGet,
		},
		{
			name:    "upload",
			service: "manuscript-intake",
			method:  http.MethodPut,
			bytes:   uploadBytes,
		},
	} {
		d.eventually(each.service+" is served", func() bool {
			request, err := http.NewRequest(http.MethodGet, "http://"+entry+"/work", nil)
			assert.NilError(b, err)
			request.Header.Set(header.Service, each.service)
			response, err := http.DefaultClient.Do(request)
			return err == nil && response.Body.Close() == nil && response.StatusCode == http.StatusOK
		})
		b.Run(each.name, func(b *testing.B) {
			direct := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			through := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			server := d.Configuration.Service(each.service).BackendServers[0].Address
			for b.Loop() {
				_ = direct.RecordValue(timed(b, server, each.service, each.method, "", each.bytes))
				key := ""
				if each.method != http.MethodGet {
					key = ticket(b, entry, each.service)
				}
				_ = through.RecordValue(timed(b, entry, each.service, each.method, key, each.bytes))
			}
			for _, percentile := range []float64{50, 99} {
				b.ReportMetric(float64(direct.ValueAtPercentile(percentile)), fmt.Sprintf("direct-p%g-us", percentile))
				b.ReportMetric(float64(through.ValueAtPercentile(percentile)), fmt.Sprintf("entry-p%g-us", percentile))
			}
		})
	}
}

// timed sends one request, and returns how long it took in microseconds.
func timed(b *testing.B, address, service, method, key string, size int64) int64 {
	b.Helper()
	request, err := http.NewRequest(method, "http://"+address+"/work", nil)
	assert.NilError(b, err)
	request.Header.Set(header.Service, service)
	if size > 0 {
		request.Body = io.NopCloser(io.LimitReader(endless{}, size))
		request.ContentLength = size
		request.Header.Set(header.IdempotencyKey, key)
	}
	began := time.Now()
	response, err := http.DefaultClient.Do(request)
	assert.NilError(b, err)
	content, err := io.ReadAll(response.Body)
	assert.NilError(b, err)
	taken := time.Since(began)
	assert.NilError(b, response.Body.Close())
	assert.Equal(b, response.StatusCode, http.StatusOK, string(content))
	return taken.Microseconds()
}

type endless struct{}

func (endless) Read(buffer []byte) (int, error) { return len(buffer), nil }

func ticket(b *testing.B, address, service string) string {
	b.Helper()
	found, err := teaselv1connect.NewLookupServiceClient(http.DefaultClient, "http://"+address).Lookup(context.Background(), connect.NewRequest(&teaselv1.LookupRequest{
		Service: service,
		Tickets: 1,
	}))
	assert.NilError(b, err)
	return found.Msg.GetTickets()[0]
}

// residentMemory returns the process's resident memory as the system gives it.
func residentMemory(b *testing.B, process int) string {
	b.Helper()
	content, err := os.ReadFile("/proc/" + strconv.Itoa(process) + "/status")
	assert.NilError(b, err)
	for line := range strings.Lines(string(content)) {
		if strings.HasPrefix(line, "VmRSS:") {
			return strings.TrimSpace(line)
		}
	}
	return "unknown"
}
