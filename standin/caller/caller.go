// Package caller sends a mixed load as callers do: each asks an entry which
// one to use, sends its request there, and checks the answer against what it
// asked.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/api/teasel/v1/teaselv1connect"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/standin/backend"
)

// Load is a mixed load at a fixed rate.
type Load struct {
	configuration *intent.Configuration
	entries       []string
	rate          float64
	seed          uint64
	client        *http.Client

	mu     sync.Mutex
	report Report
}

// Report counts what callers were told.
type Report struct {
	Outcomes map[string]int
	// Wrong counts answers that did not match their request.
	Wrong int
	// Failed counts requests without any outcome.
	Failed  int
	Latency *hdrhistogram.Histogram
}

// maxLatency is the longest latency recorded.
const maxLatency = time.Minute

// NewLoad returns a load on the services that documents name.
func NewLoad(documents []intent.Document, entries []string, rate float64, seed uint64) (*Load, error) {
	configuration, err := intent.Compile(1, documents)
	if err != nil {
		return nil, err
	}
	return &Load{
		configuration: configuration,
		entries:       entries,
		rate:          rate,
		seed:          seed,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 64,
			},
			Timeout: maxLatency,
		},
		report: Report{
			Outcomes: make(map[string]int),
			Latency:  hdrhistogram.New(1, maxLatency.Microseconds(), 3),
		},
	}, nil
}

// Run sends requests for a while, then waits for their answers.
func (l *Load) Run(ctx context.Context, duration time.Duration) *Report {
	random := rand.New(rand.NewPCG(l.seed, 0))
	ticker := time.NewTicker(time.Duration(float64(time.Second) / l.rate))
	defer ticker.Stop()
	end := time.After(duration)
	var group sync.WaitGroup
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
		case <-end:
		case <-ticker.C:
			job := l.choose(random, number)
			group.Go(func() { l.send(ctx, job) })
			continue
		}
		group.Wait()
		return &l.report
	}
}

// job is one request of the mix.
type job struct {
	service string
	entry   string
	method  string
	mark    string
	work    time.Duration
	body    []byte
}

const (
	uploadBytes  = 256 << 10
	bookingShare = 0.2
)

func (l *Load) choose(random *rand.Rand, number int) job {
	service := l.configuration.Services[random.IntN(len(l.configuration.Services))]
	next := job{
		service: service.Name,
		entry:   l.entries[random.IntN(len(l.entries))],
		method:  http.MethodGet,
		mark:    fmt.Sprintf("%d-%d", l.seed, number),
		work:    time.Duration(1+random.IntN(20)) * time.Millisecond,
	}
	switch {
	case service.Class == intent.Bulk:
		next.method = http.MethodPut
		next.body = make([]byte, uploadBytes)
	case random.Float64() < bookingShare:
		next.method = http.MethodPost
		next.body = []byte("offer " + next.mark)
	}
	return next
}

func (l *Load) send(ctx context.Context, job job) {
	began := time.Now()
	result, wrong, err := l.exchange(ctx, job)
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.report.Latency.RecordValue(time.Since(began).Microseconds())
	switch {
	case err != nil:
		l.report.Failed++
	case wrong:
		l.report.Wrong++
	default:
		l.report.Outcomes[result]++
	}
}

func (l *Load) exchange(ctx context.Context, job job) (result string, wrong bool, err error) {
	lookups := teaselv1connect.NewLookupServiceClient(l.client, "http://"+job.entry)
	found, err := lookups.Lookup(ctx, connect.NewRequest(&teaselv1.LookupRequest{
		Service: job.service,
		Tickets: 1,
	}))
	if err != nil {
		return "", false, err
	}
	query := url.Values{
		"echo": {job.mark},
		"work": {job.work.String()},
	}
	// A ticket is run by the entry that issued it.
	address := job.entry
	if job.method == http.MethodGet && len(found.Msg.GetEntries()) > 0 {
		address = found.Msg.GetEntries()[0].GetAddress()
	}
	request, err := http.NewRequestWithContext(ctx, job.method, "http://"+address+"/work?"+query.Encode(), bytes.NewReader(job.body))
	if err != nil {
		return "", false, err
	}
	request.Header.Set(header.Service, job.service)
	if job.method != http.MethodGet {
		request.Header.Set(header.IdempotencyKey, found.Msg.GetTickets()[0])
	}
	response, err := l.client.Do(request)
	if err != nil {
		return "", false, err
	}
	content, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return "", false, err
	}
	result = response.Header.Get(header.Outcome)
	if result != outcome.Done.String() {
		return result + " " + response.Header.Get(header.Reason), false, nil
	}
	var answer backend.Answer
	if err := json.Unmarshal(content, &answer); err != nil {
		return "", false, err
	}
	return result, answer.Echo != job.mark || answer.Received != int64(len(job.body)), nil
}

// String returns the report as a table.
func (r *Report) String() string {
	var text strings.Builder
	for result, count := range r.Outcomes {
		fmt.Fprintf(&text, "%-40s %8d\n", result, count)
	}
	fmt.Fprintf(&text, "%-40s %8d\n", "wrong answers", r.Wrong)
	fmt.Fprintf(&text, "%-40s %8d\n", "failed", r.Failed)
	for _, quantile := range []float64{50, 99} {
		latency := time.Duration(r.Latency.ValueAtQuantile(quantile)) * time.Microsecond
		fmt.Fprintf(&text, "latency p%-29g %14s\n", quantile, latency)
	}
	return text.String()
}

// Err returns an error when a promise was broken.
func (r *Report) Err() error {
	if r.Wrong > 0 || r.Failed > 0 {
		return errors.Errorf("%d wrong answers, %d requests without an outcome", r.Wrong, r.Failed)
	}
	return nil
}
