package health

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/intent"
)

// path is where backend servers answer probes.
const path = "/health"

// HTTPProbe returns a Probe that sends GET /health. Any answer is a sign of life,
// also a refusal: its status says what the server thinks of itself.
func HTTPProbe(transport http.RoundTripper) func(context.Context, *intent.BackendServer) error {
	return func(ctx context.Context, server *intent.BackendServer) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address+path, nil)
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
