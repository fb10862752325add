package main

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/entry/presence"
	"github.com/teaselstack/teaselstack/entry/registry"
	"github.com/teaselstack/teaselstack/platform"
)

const (
	// changesPath is the URL path at which an entry serves the changes of a table of the
	// platform's store. The parameters are the table, the era and version after which changes
	// are wanted, and how long to wait for them.
	changesPath  = "/changes"
	tableParam   = "table"
	eraParam     = "era"
	versionParam = "after"
	waitParam    = "wait"
	// minRelayEntries is the number of serving entries of a region from which on one of them
	// reads the store for the others. A reader asks the store more often than an entry that
	// reads for itself alone, so it pays only for several.
	minRelayEntries = 4
	// maxChangesWait bounds how long a call for changes is held.
	maxChangesWait = 30 * time.Second
)

// newReaderClient returns the client for calls of changesPath.
func newReaderClient() *http.Client {
	dialer := newKeepAliveDialer(keepAliveDialTimeout)
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return dialer.dial(ctx, address)
			},
			// One connection for each table.
			MaxIdleConnsPerHost:    2,
			MaxResponseHeaderBytes: maxInternalHeaderBytes,
			DisableCompression:     true,
		},
	}
}

// findReader returns the reader of this entry, or nil and whether this entry is the reader of
// others. The reader of a region is the serving entry whose name comes first. Entries that
// disagree on it for a while ask each other or the store; an answer that the store has not
// confirmed lately does not count.
func (n *platformNode) findReader() (reader registry.Reader, forOthers bool) {
	settings := n.settings.Load()
	_, port, err := net.SplitHostPort(settings.SnapshotAddress)
	if err != nil {
		// The entry serves no changes, so the others do not either.
		return nil, false
	}
	first, found := regionReader(n.tracker.ServingEntries(), settings.Region)
	switch {
	case !found:
		return nil, false
	case first.Name == settings.Name:
		return nil, true
	}
	host, _, err := net.SplitHostPort(first.PeerAddress)
	if err != nil {
		return nil, false
	}
	return n.changesFrom(net.JoinHostPort(host, port)), false
}

// regionReader returns the entry that reads the store for a region, if there is one.
func regionReader(serving []presence.Entry, region string) (first presence.Entry, found bool) {
	count := 0
	for _, entry := range serving {
		if entry.Region != region {
			continue
		}
		if count == 0 || entry.Name < first.Name {
			first = entry
		}
		count++
	}
	return first, count >= minRelayEntries
}

// changesFrom returns a registry.Reader that asks the entry at an address.
func (n *platformNode) changesFrom(address string) registry.Reader {
	return func(ctx context.Context, table string, after platform.Position, wait time.Duration) (changes registry.Changes, err error) {
		query := url.Values{}
		query.Set(tableParam, table)
		query.Set(eraParam, strconv.FormatUint(uint64(after.Era), 10))
		query.Set(versionParam, strconv.FormatUint(after.Version, 10))
		query.Set(waitParam, wait.String())
		err = fetchFromEntry(ctx, n.readerClient, "http://"+address+changesPath+"?"+query.Encode(), &changes)
		return changes, err
	}
}

// serveChanges sends the changes of a table of the store to another entry.
func (n *platformNode) serveChanges(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	version, err := strconv.ParseUint(query.Get(versionParam), 10, 64)
	// A call without an era is of an entry that does not know eras.
	era, eraErr := strconv.ParseUint(cmp.Or(query.Get(eraParam), "0"), 10, 64)
	wait, waitErr := time.ParseDuration(query.Get(waitParam))
	if err != nil || eraErr != nil || waitErr != nil || wait < 0 || wait > maxChangesWait || n.shuttingDown.Load() {
		http.Error(w, "bad call for changes, or shutting down", http.StatusServiceUnavailable)
		return
	}
	after := platform.Position{
		Era:     platform.Era(era),
		Version: version,
	}
	changes, err := n.registry.Changes(r.Context(), query.Get(tableParam), after, wait)
	switch {
	case errors.Is(err, platform.ErrHistoryGone):
		http.Error(w, err.Error(), http.StatusGone)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(changes); err != nil {
		n.logger.Warn().Str("event", "changes-unsent").Str("table", query.Get(tableParam)).Err(err).Msg("")
	}
}
