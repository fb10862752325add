package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/entry/registry"
)

const (
	// introductionPath gives what an entry has read from the store.
	introductionPath = "/snapshot"
	// introductionTimeout bounds one call to another entry.
	introductionTimeout = time.Second
	// maxIntroduction bounds an answer, in bytes: some thousand registrations.
	maxIntroduction = 16 << 20
)

// serveIntroduction gives an entry that starts what this one has read.
func (g *gate) serveIntroduction(w http.ResponseWriter, incoming *http.Request) {
	if incoming.URL.Path != introductionPath {
		http.NotFound(w, incoming)
		return
	}
	snapshot, known := g.registry.Snapshot()
	if !known {
		http.Error(w, "nothing is known yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(snapshot); err != nil {
		g.logger.Warn().Str("event", "introduction-unsent").Err(err).Msg("")
	}
}

// introducers returns calls to the entries that the settings name.
func (g *gate) introducers() []func(context.Context) (registry.Snapshot, error) {
	settings := g.settings.Load()
	dial := newDialer(connectTimeout)
	client := &http.Client{
		Timeout: introductionTimeout,
		Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return dial.dial(ctx, address)
			},
		},
	}
	var all []func(context.Context) (registry.Snapshot, error)
	for _, address := range settings.SnapshotSources {
		if address == settings.SnapshotAddress {
			continue
		}
		all = append(all, func(ctx context.Context) (registry.Snapshot, error) {
			return askSnapshot(ctx, client, address)
		})
	}
	return all
}

func askSnapshot(ctx context.Context, client *http.Client, address string) (snapshot registry.Snapshot, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+introductionPath, nil)
	if err != nil {
		return snapshot, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return snapshot, err
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxIntroduction))
	if closeErr := resp.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return snapshot, err
	}
	if resp.StatusCode != http.StatusOK {
		return snapshot, errors.Errorf("entry %s knows nothing: status %d", address, resp.StatusCode)
	}
	return snapshot, json.Unmarshal(content, &snapshot)
}
