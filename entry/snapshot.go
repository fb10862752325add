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
	// snapshotPath is the URL path at which an entry serves its snapshot: the rows that
	// it has read from the platform's store.
	snapshotPath = "/snapshot"
	// snapshotTimeout bounds one fetch of a snapshot from another entry.
	snapshotTimeout = time.Second
	// maxSnapshotBytes bounds the size of a fetched snapshot. It is enough for several
	// thousand registrations.
	maxSnapshotBytes = 16 << 20
)

// serveSnapshot sends this entry's snapshot of the store. Entries that start while the
// store does not answer request it.
func (n *platformNode) serveSnapshot(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != snapshotPath {
		http.NotFound(w, r)
		return
	}
	snapshot, known := n.registry.Snapshot()
	if !known {
		http.Error(w, "nothing is known yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(snapshot); err != nil {
		n.logger.Warn().Str("event", "introduction-unsent").Err(err).Msg("")
	}
}

// snapshotSources returns one function for each other entry in the settings'
// SnapshotSources, which fetches a snapshot from that entry.
func (n *platformNode) snapshotSources() []func(context.Context) (registry.Snapshot, error) {
	settings := n.settings.Load()
	dialer := newKeepAliveDialer(keepAliveDialTimeout)
	client := &http.Client{
		Timeout: snapshotTimeout,
		Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return dialer.dial(ctx, address)
			},
		},
	}
	var sources []func(context.Context) (registry.Snapshot, error)
	for _, address := range settings.SnapshotSources {
		if address == settings.SnapshotAddress {
			continue
		}
		sources = append(sources, func(ctx context.Context) (registry.Snapshot, error) {
			return fetchSnapshot(ctx, client, address)
		})
	}
	return sources
}

// fetchSnapshot fetches a snapshot from the entry at an address.
func fetchSnapshot(ctx context.Context, client *http.Client, address string) (snapshot registry.Snapshot, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+snapshotPath, nil)
	if err != nil {
		return snapshot, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return snapshot, err
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxSnapshotBytes))
	if closeErr := resp.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return snapshot, err
	}
	if resp.StatusCode != http.StatusOK {
		return snapshot, errors.Errorf("fetch snapshot from entry %s: status %d", address, resp.StatusCode)
	}
	return snapshot, json.Unmarshal(content, &snapshot)
}
