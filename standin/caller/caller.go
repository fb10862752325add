package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/api/teasel/v1/teaselv1connect"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/standin/backend"
)

// caller is one user of the services.
type caller struct {
	address string
	http    *http.Client
	seeds   []string

	mu sync.Mutex
	// next is the seed that is asked next.
	next    int
	answers map[string]cached
}

// cached is the answer to a look-up, kept for its lifetime.
type cached struct {
	entries []string
	expires time.Time
}

// Result is how one request ended.
type Result struct {
	Kind    RequestKind
	Tag     string
	Keys    []string
	Outcome outcome.Kind
	// Reason is the entry's, or NoAnswer. Detail is what it says to a person.
	Reason outcome.Reason
	Detail string
	// ResponseMismatch is set when the answer did not match the request.
	ResponseMismatch bool
	Attempts         int
	Latency          time.Duration
}

// ReasonNoAnswer is the reason of a request that no entry gave an outcome for.
const ReasonNoAnswer outcome.Reason = "no-answer"

const (
	// firstPause is the wait before a second attempt; it doubles up to maxPause.
	firstPause = 20 * time.Millisecond
	maxPause   = 500 * time.Millisecond
	// grace is how long a caller waits past its own deadline.
	grace = 2 * time.Second
	// maxDetail is how much of a refusal's text is kept, in bytes.
	maxDetail = 300
	// lookupTimeout bounds one look-up.
	lookupTimeout = 3 * time.Second
)

// attempt is what one try of a request brought.
type attempt struct {
	outcome outcome.Kind
	reason  outcome.Reason
	detail  string
	wrong   bool
	// retryAt is the entry that the refusal names, or "".
	retryAt string
}

// send brings one request to its end: it tries again after a refusal that says
// not run, and, when the request is idempotent, after any failure.
func (c *caller) send(asked request) Result {
	ctx, cancel := context.WithTimeout(context.Background(), asked.timeout)
	defer cancel()
	began := time.Now()
	result := Result{
		Kind:    asked.kind,
		Tag:     asked.mark,
		Outcome: outcome.NotRun,
		Reason:  ReasonNoAnswer,
	}
	pause := firstPause
	address := ""
	for ctx.Err() == nil {
		tried := c.try(ctx, asked, address, &result)
		result.Outcome, result.Reason = tried.outcome, tried.reason
		result.Detail, result.ResponseMismatch = tried.detail, tried.wrong
		if tried.outcome == outcome.Done || tried.outcome == outcome.Unknown && asked.method != http.MethodGet {
			break
		}
		address = tried.retryAt
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		pause = min(2*pause, maxPause)
	}
	result.Latency = time.Since(began)
	return result
}

// try sends the request once, to an address or else where the look-up says.
func (c *caller) try(ctx context.Context, asked request, address string, result *Result) attempt {
	notSent := attempt{
		outcome: outcome.NotRun,
		reason:  ReasonNoAnswer,
	}
	entries, err := c.entries(ctx, asked.service)
	if err != nil {
		return notSent
	}
	if address == "" {
		address = entries[result.Attempts%len(entries)]
	}
	result.Attempts++
	key := asked.key
	if key == "" && asked.method != http.MethodGet {
		if key, err = c.ticket(ctx, address, asked.service); err != nil {
			c.forget(asked.service)
			return notSent
		}
	}
	first := key != "" && !slices.Contains(result.Keys, key)
	if first {
		result.Keys = append(result.Keys, key)
	}
	tried, err := c.exchange(ctx, asked, address, key, first)
	if err != nil {
		c.forget(asked.service)
	}
	return tried
}

// entries returns the entries for a service, from memory while the last answer
// lives.
func (c *caller) entries(ctx context.Context, service string) ([]string, error) {
	c.mu.Lock()
	known := c.answers[service]
	seed := c.seeds[c.next%len(c.seeds)]
	c.mu.Unlock()
	if time.Now().Before(known.expires) {
		return known.entries, nil
	}
	found, err := c.lookup(ctx, seed, service, 0)
	if err == nil && len(found.GetEntries()) == 0 {
		err = errors.New("the answer names no entry")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.next++
		return nil, err
	}
	fresh := cached{
		expires: time.Now().Add(found.GetLifetime().AsDuration()),
	}
	for _, entry := range found.GetEntries() {
		fresh.entries = append(fresh.entries, entry.GetAddress())
	}
	c.answers[service] = fresh
	return fresh.entries, nil
}

// forget drops the answer for a service, whose entry did not serve.
func (c *caller) forget(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.answers, service)
	c.next++
}

func (c *caller) lookup(ctx context.Context, address, service string, tickets uint32) (*teaselv1.LookupResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	found, err := teaselv1connect.NewLookupServiceClient(c.http, "http://"+address).Lookup(ctx, connect.NewRequest(&teaselv1.LookupRequest{
		Service:       service,
		CallerAddress: c.address,
		Tickets:       tickets,
	}))
	if err != nil {
		return nil, err
	}
	return found.Msg, nil
}

// ticket asks an entry for a key that it runs itself.
func (c *caller) ticket(ctx context.Context, address, service string) (string, error) {
	found, err := c.lookup(ctx, address, service, 1)
	if err != nil {
		return "", err
	}
	if len(found.GetTickets()) == 0 {
		return "", errors.New("the answer holds no ticket")
	}
	return found.GetTickets()[0], nil
}

// exchange sends the request to one entry. An error says that the entry gave no
// outcome.
func (c *caller) exchange(ctx context.Context, asked request, address, key string, first bool) (attempt, error) {
	var connected bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	traced, cancel := context.WithTimeout(context.WithoutCancel(traced), time.Until(deadline(ctx))+grace)
	defer cancel()
	lost := attempt{
		outcome: outcome.Unknown,
		reason:  ReasonNoAnswer,
	}
	out := asked.build(traced, address, key)
	out.Header.Set(header.TimeoutMS, strconv.FormatInt(max(1, time.Until(deadline(ctx)).Milliseconds()), 10))
	if first {
		out.Header.Set(header.FirstSend, "true")
	}
	response, err := c.http.Do(out)
	if err != nil {
		if !connected {
			lost.outcome = outcome.NotRun
		}
		lost.detail = err.Error()
		return lost, err
	}
	content, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	kind := outcome.ParseKind(response.Header.Get(header.Outcome))
	if err != nil {
		lost.detail = err.Error()
		return lost, err
	}
	tried := attempt{
		outcome: kind,
		reason:  outcome.Reason(response.Header.Get(header.Reason)),
		retryAt: response.Header.Get(header.RetryAt),
	}
	if kind == outcome.Done {
		tried.wrong = !asked.matches(content)
	} else {
		tried.detail = strings.TrimSpace(string(content[:min(len(content), maxDetail)]))
	}
	return tried, nil
}

func deadline(ctx context.Context) time.Time {
	until, _ := ctx.Deadline()
	return until
}

// build returns the HTTP request. Its body can't be rewound, so that the
// transport never sends it a second time on its own.
func (r request) build(ctx context.Context, address, key string) *http.Request {
	query := url.Values{
		backend.QueryEcho:         {r.mark},
		backend.QueryWorkTime:     {r.work.String()},
		backend.QueryPaddingBytes: {strconv.Itoa(r.answerBytes)},
	}
	out, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+"/work?"+query.Encode(), nil)
	if err != nil {
		panic("build request: " + err.Error())
	}
	if r.bodyBytes > 0 {
		out.Body = io.NopCloser(io.LimitReader(zeros{}, int64(r.bodyBytes)))
		out.ContentLength = int64(r.bodyBytes)
	}
	out.Header.Set(header.Service, r.service)
	if key != "" {
		out.Header.Set(header.IdempotencyKey, key)
	}
	return out
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(buffer []byte) (int, error) {
	clear(buffer)
	return len(buffer), nil
}

// matches reports whether an answer is the whole one to this request.
func (r request) matches(content []byte) bool {
	var answer backend.Response
	if err := json.NewDecoder(bytes.NewReader(content)).Decode(&answer); err != nil {
		return false
	}
	return answer.Echo == r.mark && answer.BodyBytes == int64(r.bodyBytes) && len(answer.Padding) == r.answerBytes
}
