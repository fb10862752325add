// Package control carries operators' commands to the platform and the entries.
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

// Settings is the settings file of teaselctl.
type Settings struct {
	PlatformURL string `toml:"platform"`
	OperatorKey string `toml:"operator-key"`
	// EntryAddresses are the entries' addresses for operators.
	EntryAddresses []string `toml:"entries"`
}

// LoadSettings reads and checks a settings file.
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
				Line:    document.Line(content, "entries"),
				Key:     "entries",
				Problem: fmt.Sprintf("%q is no IP address with a port", entry),
			})
		}
	}
	return settings, faults.Err()
}

// Client talks to the platform and the entries for one operator.
type Client struct {
	settings  Settings
	publisher *publication.Publisher
	client    *http.Client
}

// callTimeout bounds one call to an entry or the platform.
const callTimeout = 10 * time.Second

// NewClient returns an operator with the name of the current user.
func NewClient(settings Settings) *Client {
	client := &http.Client{
		Timeout: callTimeout,
	}
	operator := &Client{
		settings: settings,
		client:   client,
	}
	operator.publisher = &publication.Publisher{
		Platform: platform.NewClient(settings.PlatformURL, client).Platform(),
		Author:   author(),
		Accepted: operator.offer,
	}
	return operator
}

func author() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}

// EntryStatus is one entry's answer, or why there is none.
type EntryStatus struct {
	Address string                   `json:"address"`
	Status  *teaselv1.StatusResponse `json:"status,omitempty"`
	Problem string                   `json:"problem,omitempty"`
}

// Status asks all entries at once.
func (o *Client) Status(ctx context.Context) []EntryStatus {
	statuses := make([]EntryStatus, len(o.settings.EntryAddresses))
	var group sync.WaitGroup
	for i, address := range o.settings.EntryAddresses {
		group.Go(func() {
			statuses[i].Address = address
			response, err := o.entry(address).Status(ctx, authorized(o, &teaselv1.StatusRequest{}))
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

func (o *Client) entry(address string) teaselv1connect.OperatorServiceClient {
	return teaselv1connect.NewOperatorServiceClient(o.client, "http://"+address)
}

func authorized[T any](o *Client, message *T) *connect.Request[T] {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+o.settings.OperatorKey)
	return request
}

// Explain asks the first entry that answers.
func (o *Client) Explain(ctx context.Context, service, caller string) (*teaselv1.ExplainResponse, error) {
	failure := errors.New("no entries in the settings")
	for _, address := range o.settings.EntryAddresses {
		response, err := o.entry(address).Explain(ctx, authorized(o, &teaselv1.ExplainRequest{
			Service:       service,
			CallerAddress: caller,
		}))
		if err == nil {
			return response.Msg, nil
		}
		failure = err
	}
	return nil, failure
}

// Timeline merges the events of all entries, and names the entries that did
// not answer.
func (o *Client) Timeline(ctx context.Context, request *teaselv1.TimelineRequest) (events []timeline.Event, missing []string) {
	lists := make([][]timeline.Event, len(o.settings.EntryAddresses))
	silent := make([]bool, len(o.settings.EntryAddresses))
	var group sync.WaitGroup
	for i, address := range o.settings.EntryAddresses {
		group.Go(func() {
			response, err := o.entry(address).Timeline(ctx, authorized(o, request))
			if err != nil {
				silent[i] = true
				return
			}
			lists[i] = eventsOf(response.Msg)
		})
	}
	group.Wait()
	for i, address := range o.settings.EntryAddresses {
		if silent[i] {
			missing = append(missing, address)
		}
	}
	return timeline.Merge(lists...), missing
}

func eventsOf(response *teaselv1.TimelineResponse) []timeline.Event {
	var events []timeline.Event
	for _, event := range response.GetEvents() {
		events = append(events, timeline.Event{
			Time: timeline.Time{
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
