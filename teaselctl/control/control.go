// Package control holds the client through which teaselctl publishes to the platform
// and queries the entries, and the functions that print what the client returns.
package control

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/user"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/api/teasel/v1/teaselv1connect"
	"github.com/teaselstack/teaselstack/document"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/publication"
	"github.com/teaselstack/teaselstack/timeline"
)

// Settings holds the contents of teaselctl's settings file.
type Settings struct {
	// PlatformURL is the base URL of the platform.
	PlatformURL string `toml:"platform"`
	// OperatorKey is the bearer token that authenticates calls to the entries.
	OperatorKey string `toml:"operator-key"`
	// EntryAddresses lists the entries' addresses for operators, as IP:port.
	EntryAddresses []string `toml:"entries"`
}

// LoadSettings reads and validates a settings file.
func LoadSettings(file string) (Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	var settings Settings
	if err := document.Decode(file, content, &settings); err != nil {
		return Settings{}, err
	}
	var faults document.Errors
	if settings.PlatformURL == "" {
		faults = append(faults, &document.Error{
			File:    file,
			Key:     "platform",
			Problem: "is missing",
		})
	}
	for _, entry := range settings.EntryAddresses {
		if _, err := netip.ParseAddrPort(entry); err != nil {
			faults = append(faults, &document.Error{
				File:    file,
				Line:    document.KeyLine(content, "entries"),
				Key:     "entries",
				Problem: fmt.Sprintf("%q is no IP address with a port", entry),
			})
		}
	}
	return settings, faults.Err()
}

// Client makes an operator's calls to the platform and the entries.
type Client struct {
	settings   Settings
	publisher  *publication.Publisher
	httpClient *http.Client
}

// callTimeout limits one HTTP call to an entry or the platform.
const callTimeout = 10 * time.Second

// NewClient returns a client that publishes with the name of the operating system's
// user as the author.
func NewClient(settings Settings) *Client {
	httpClient := &http.Client{
		Timeout: callTimeout,
	}
	client := &Client{
		settings:   settings,
		httpClient: httpClient,
	}
	client.publisher = &publication.Publisher{
		Platform:    platform.NewClient(settings.PlatformURL, httpClient).Platform(),
		Author:      currentUsername(),
		OnPublished: client.offerDelta,
	}
	return client
}

// currentUsername returns the name of the operating system's user, or "unknown" if it
// cannot be determined.
func currentUsername() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}

// EntryStatus holds the status that one entry returned. If the call failed,
// Status is nil and Problem holds the error.
type EntryStatus struct {
	Address string                   `json:"address"`
	Status  *teaselv1.StatusResponse `json:"status,omitempty"`
	Problem string                   `json:"problem,omitempty"`
}

// Status queries all entries concurrently and returns one result for each, in
// the order of the settings.
func (c *Client) Status(ctx context.Context) []EntryStatus {
	statuses := make([]EntryStatus, len(c.settings.EntryAddresses))
	var group sync.WaitGroup
	for i, address := range c.settings.EntryAddresses {
		group.Go(func() {
			statuses[i].Address = address
			response, err := c.entryClient(address).Status(ctx, newRequest(c, &teaselv1.StatusRequest{}))
			if err != nil {
				statuses[i].Problem = err.Error()
				return
			}
			statuses[i].Status = response.Msg
		})
	}
	group.Wait()
	return statuses
}

// entryClient returns a client of the operator service of the entry at address.
func (c *Client) entryClient(address string) teaselv1connect.OperatorServiceClient {
	return teaselv1connect.NewOperatorServiceClient(c.httpClient, "http://"+address)
}

// newRequest returns a request that carries the operator key as its bearer token.
func newRequest[T any](c *Client, message *T) *connect.Request[T] {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+c.settings.OperatorKey)
	return request
}

// Explain queries the entries one after the other, in the order of the settings, and
// returns the first successful response. If all calls fail, it returns the last
// error.
func (c *Client) Explain(ctx context.Context, service, caller string) (*teaselv1.ExplainResponse, error) {
	lastErr := errors.New("explain: the settings list no entries")
	for _, address := range c.settings.EntryAddresses {
		response, err := c.entryClient(address).Explain(ctx, newRequest(c, &teaselv1.ExplainRequest{
			Service:       service,
			CallerAddress: caller,
		}))
		if err == nil {
			return response.Msg, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// Timeline queries all entries concurrently. It returns their events merged in
// causal order, and the addresses of the entries to which the call failed.
func (c *Client) Timeline(ctx context.Context, request *teaselv1.TimelineRequest) (events []timeline.Event, unanswered []string) {
	lists := make([][]timeline.Event, len(c.settings.EntryAddresses))
	failed := make([]bool, len(c.settings.EntryAddresses))
	var group sync.WaitGroup
	for i, address := range c.settings.EntryAddresses {
		group.Go(func() {
			response, err := c.entryClient(address).Timeline(ctx, newRequest(c, request))
			if err != nil {
				failed[i] = true
				return
			}
			lists[i] = timelineEvents(response.Msg)
		})
	}
	group.Wait()
	for i, address := range c.settings.EntryAddresses {
		if failed[i] {
			unanswered = append(unanswered, address)
		}
	}
	return timeline.Merge(lists...), unanswered
}

// timelineEvents converts the events of a response.
func timelineEvents(response *teaselv1.TimelineResponse) []timeline.Event {
	var events []timeline.Event
	for _, event := range response.GetEvents() {
		events = append(events, timeline.Event{
			Time: timeline.Timestamp{
				Wall:    event.GetWallNs(),
				Logical: event.GetLogical(),
			},
			Entry:    event.GetEntry(),
			Sequence: event.GetSequence(),
			Kind:     event.GetKind(),
			Service:  event.GetService(),
			Server:   event.GetServer(),
			Key:      event.GetKey(),
			Version:  event.GetVersion(),
			Detail:   event.GetDetail(),
		})
	}
	return events
}
