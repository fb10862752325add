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
	"github.com/teaselstack/teaselstack/platform"
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

// serveSnapshot sends this entry's snapshot of the store, or at changesPath the changes of a
// table. Entries that start while the store does not answer request the snapshot.
func (n *platformNode) serveSnapshot(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case changesPath:
		n.serveChanges(w, r)
		return
	case snapshotPath:
	default:
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
			DisableKeepAlives:      true,
			MaxResponseHeaderBytes: maxInternalHeaderBytes,
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
	err = fetchFromEntry(ctx, client, "http://"+address+snapshotPath, &snapshot)
	return snapshot, err
}

// fetchFromEntry fetches a URL of another entry and decodes the JSON content.
func fetchFromEntry(ctx context.Context, client *http.Client, location string, target any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, location, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxSnapshotBytes))
	if closeErr := resp.Body.Close(); err == nil {
		err = closeErr
	}
	switch {
	case err != nil:
		return err
	case resp.StatusCode == http.StatusGone:
		return platform.ErrHistoryGone
	case resp.StatusCode != http.StatusOK:
		return errors.Errorf("fetch %s: status %d", location, resp.StatusCode)
	}
	return json.Unmarshal(content, target)
}
