package health

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/intent"
)

// healthPath is the path on which backend servers answer probes.
const healthPath = "/health"

// HTTPProbe returns a function for Monitor.Probe that sends GET /health. A response
// with any status counts as success, even an error: the status is the server's own
// view of its health, whereas any response shows that the server is reachable.
func HTTPProbe(transport http.RoundTripper) func(context.Context, *intent.BackendServer) error {
	return func(ctx context.Context, server *intent.BackendServer) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address+healthPath, nil)
		if err != nil {
			return errors.Wrap(err, "probe "+server.Name)
		}
		response, err := transport.RoundTrip(request)
		if err != nil {
			return errors.Wrap(err, "probe "+server.Name)
		}
		return response.Body.Close()
	}
}
