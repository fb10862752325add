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

// caller is one emulated caller of the services.
type caller struct {
	// address is the IP address that the caller states in its look-ups.
	address string
	client  *http.Client
	// entryAddresses are the addresses of all entries, any of which answers look-ups.
	entryAddresses []string

	mu sync.Mutex
	// nextEntry modulo len(entryAddresses) is the index of the entry that gets the next
	// look-up. It increases after each failure.
	nextEntry int
	// lookups holds the last look-up for each service, by the service's name.
	lookups map[string]cachedLookup
}

// cachedLookup is the result of a look-up, kept for its lifetime.
type cachedLookup struct {
	// addresses are the addresses of the entries for the service, as the response
	// ordered them.
	addresses []string
	expires   time.Time
}

// Result is the final result of one request, after all attempts.
type Result struct {
	Kind RequestKind
	// Tag identifies the request in backend.Report.RunsByTag.
	Tag string
	// Keys are the idempotency keys that the request was sent with.
	Keys    []string
	Outcome outcome.Kind
	// Reason is the entry's reason for the outcome, or ReasonNoAnswer. Detail is the
	// text of a response whose outcome is not done, or the error if the last attempt
	// failed after it had an entry and a key.
	Reason outcome.Reason
	Detail string
	// ResponseMismatch is set if the response did not match the request.
	ResponseMismatch bool
	// Attempts counts the attempts for which the caller knew an entry.
	Attempts int
	// Latency is the time of all attempts together with the back-off between them.
	Latency time.Duration
}

// ReasonNoAnswer is the reason if the last attempt got no complete response from an
// entry.
const ReasonNoAnswer outcome.Reason = "no-answer"

const (
	// minBackoff is the back-off before the second attempt. It doubles with each
	// further attempt, up to maxBackoff.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// deadlineGrace is how long past the request's deadline a caller waits for a
	// response.
	deadlineGrace = 2 * time.Second
	// maxDetailBytes limits the part of a response's body that goes into
	// Result.Detail.
	maxDetailBytes = 300
	// lookupTimeout limits one look-up.
	lookupTimeout = 3 * time.Second
)

// attemptResult is the result of one attempt of a request.
type attemptResult struct {
	outcome  outcome.Kind
	reason   outcome.Reason
	detail   string
	mismatch bool
	// retryAt is the address of the entry that a refusal names for the retry, or
	// empty.
	retryAt string
}

// send sends one request and retries it until its timeout: after a refusal with
// outcome not run and, if the request is idempotent, after any failure.
func (c *caller) send(req request) Result {
	ctx, cancel := context.WithTimeout(context.Background(), req.timeout)
	defer cancel()
	start := time.Now()
	result := Result{
		Kind:    req.kind,
		Tag:     req.tag,
		Outcome: outcome.NotRun,
		Reason:  ReasonNoAnswer,
	}
	backoff := minBackoff
	address := ""
	for ctx.Err() == nil {
		last := c.sendOnce(ctx, req, address, &result)
		result.Outcome, result.Reason = last.outcome, last.reason
		result.Detail, result.ResponseMismatch = last.detail, last.mismatch
		if last.outcome == outcome.Done || last.outcome == outcome.Unknown && req.method != http.MethodGet {
			break
		}
		address = last.retryAt
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
		}
		backoff = min(2*backoff, maxBackoff)
	}
	result.Latency = time.Since(start)
	return result
}

// sendOnce makes one attempt of the request, at an address or, if that is empty, at
// an entry that the look-up names. If the look-up fails, it sends nothing, even to a
// given address. A request that needs a key and has none first gets a ticket from the
// same entry. sendOnce adds the attempt and its key to the result.
func (c *caller) sendOnce(ctx context.Context, req request, address string, result *Result) attemptResult {
	notSent := attemptResult{
		outcome: outcome.NotRun,
		reason:  ReasonNoAnswer,
	}
	entries, err := c.resolveEntries(ctx, req.service)
	if err != nil {
		return notSent
	}
	if address == "" {
		address = entries[result.Attempts%len(entries)]
	}
	result.Attempts++
	key := req.key
	if key == "" && req.method != http.MethodGet {
		if key, err = c.requestTicket(ctx, address, req.service); err != nil {
			c.dropLookup(req.service)
			return notSent
		}
	}
	firstSend := key != "" && !slices.Contains(result.Keys, key)
	if firstSend {
		result.Keys = append(result.Keys, key)
	}
	sent, err := c.roundTrip(ctx, req, address, key, firstSend)
	if err != nil {
		c.dropLookup(req.service)
	}
	return sent
}

// resolveEntries returns the addresses of the entries for a service: those of the
// cached look-up until it expires, and then those of a new one.
func (c *caller) resolveEntries(ctx context.Context, service string) ([]string, error) {
	c.mu.Lock()
	current := c.lookups[service]
	address := c.entryAddresses[c.nextEntry%len(c.entryAddresses)]
	c.mu.Unlock()
	if time.Now().Before(current.expires) {
		return current.addresses, nil
	}
	response, err := c.lookup(ctx, address, service, 0)
	if err == nil && len(response.GetEntries()) == 0 {
		err = errors.New("look-up response contains no entry")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.nextEntry++
		return nil, err
	}
	fresh := cachedLookup{
		expires: time.Now().Add(response.GetLifetime().AsDuration()),
	}
	for _, entry := range response.GetEntries() {
		fresh.addresses = append(fresh.addresses, entry.GetAddress())
	}
	c.lookups[service] = fresh
	return fresh.addresses, nil
}

// dropLookup removes the cached look-up for a service after one of its entries
// failed to respond. The caller's next look-up goes to the next entry.
func (c *caller) dropLookup(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.lookups, service)
	c.nextEntry++
}

// lookup asks one entry for the entries of a service and a number of tickets.
func (c *caller) lookup(ctx context.Context, address, service string, tickets uint32) (*teaselv1.LookupResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	response, err := teaselv1connect.NewLookupServiceClient(c.client, "http://"+address).Lookup(ctx, connect.NewRequest(&teaselv1.LookupRequest{
		Service:       service,
		CallerAddress: c.address,
		Tickets:       tickets,
	}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// requestTicket asks an entry for a ticket, an idempotency key that the entry
// itself issues.
func (c *caller) requestTicket(ctx context.Context, address, service string) (string, error) {
	response, err := c.lookup(ctx, address, service, 1)
	if err != nil {
		return "", err
	}
	if len(response.GetTickets()) == 0 {
		return "", errors.New("look-up response contains no ticket")
	}
	return response.GetTickets()[0], nil
}

// roundTrip sends the request to one entry. If it gets no complete response, it
// returns an error and a result whose outcome is not run if no connection was made,
// and unknown otherwise. firstSend is true if the request has a key that was not
// sent before; roundTrip then sets the header header.FirstSend.
func (c *caller) roundTrip(ctx context.Context, req request, address, key string, firstSend bool) (attemptResult, error) {
	var connected bool
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	tracedCtx, cancel := context.WithTimeout(context.WithoutCancel(tracedCtx), time.Until(deadline(ctx))+deadlineGrace)
	defer cancel()
	failed := attemptResult{
		outcome: outcome.Unknown,
		reason:  ReasonNoAnswer,
	}
	outgoing := req.build(tracedCtx, address, key)
	outgoing.Header.Set(header.TimeoutMS, strconv.FormatInt(max(1, time.Until(deadline(ctx)).Milliseconds()), 10))
	if firstSend {
		outgoing.Header.Set(header.FirstSend, "true")
	}
	response, err := c.client.Do(outgoing)
	if err != nil {
		if !connected {
			failed.outcome = outcome.NotRun
		}
		failed.detail = err.Error()
		return failed, err
	}
	content, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	kind := outcome.ParseKind(response.Header.Get(header.Outcome))
	if err != nil {
		failed.detail = err.Error()
		return failed, err
	}
	completed := attemptResult{
		outcome: kind,
		reason:  outcome.Reason(response.Header.Get(header.Reason)),
		retryAt: response.Header.Get(header.RetryAt),
	}
	if kind == outcome.Done {
		completed.mismatch = !req.matchesResponse(content)
	} else {
		completed.detail = strings.TrimSpace(string(content[:min(len(content), maxDetailBytes)]))
	}
	return completed, nil
}

// deadline returns the deadline of ctx, which must have a deadline.
func deadline(ctx context.Context) time.Time {
	limit, _ := ctx.Deadline()
	return limit
}

// build returns the HTTP request to an address. A request with a body has no GetBody:
// if it had, the transport itself would resend a request with an idempotency key after
// the connection broke.
func (r request) build(ctx context.Context, address, key string) *http.Request {
	query := url.Values{
		backend.QueryEcho:         {r.tag},
		backend.QueryWorkTime:     {r.workTime.String()},
		backend.QueryPaddingBytes: {strconv.Itoa(r.paddingBytes)},
	}
	outgoing, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+"/work?"+query.Encode(), nil)
	if err != nil {
		panic("build request: " + err.Error())
	}
	if r.bodyBytes > 0 {
		outgoing.Body = io.NopCloser(io.LimitReader(zeroReader{}, int64(r.bodyBytes)))
		outgoing.ContentLength = int64(r.bodyBytes)
	}
	outgoing.Header.Set(header.Service, r.service)
	if key != "" {
		outgoing.Header.Set(header.IdempotencyKey, key)
	}
	return outgoing
}

// zeroReader is an io.Reader that returns zero bytes without end.
type zeroReader struct{}

func (zeroReader) Read(buffer []byte) (int, error) {
	clear(buffer)
	return len(buffer), nil
}

// matchesResponse reports whether content is the complete response to this request.
func (r request) matchesResponse(content []byte) bool {
	var response backend.Response
	if err := json.NewDecoder(bytes.NewReader(content)).Decode(&response); err != nil {
		return false
	}
	return response.Echo == r.tag && response.BodyBytes == int64(r.bodyBytes) && len(response.Padding) == r.paddingBytes
}
