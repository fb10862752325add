package main

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/teaselstack/teaselstack/entry/presence"
	"github.com/teaselstack/teaselstack/platform"
)

const (
	// maxLookupTTL bounds the time to live of a look-up's answer. Some callers use an
	// answer for three times its time to live. An entry that shuts down must accept
	// requests for at least that long; see lameDuckTime.
	maxLookupTTL = time.Second
	// maxLookupAddresses bounds the number of addresses in a look-up's answer.
	maxLookupAddresses = 64
)

// serveLookup answers a caller's look-up with the addresses of the serving entries
// nearest to the caller.
func (n *platformNode) serveLookup(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.LookupPath || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	query := r.URL.Query()
	serving := nearestEntries(n.tracker.ServingEntries(), query.Get(platform.LookupRegionParam), query.Get(platform.LookupDomainParam))
	if len(serving) == 0 {
		http.Error(w, "no entry serves", http.StatusServiceUnavailable)
		return
	}
	answer := platform.LookupResponse{
		TTL: min(maxLookupTTL, n.settings.Load().Bounds.MaxLookupTTL).String(),
	}
	for _, entry := range serving {
		answer.Addresses = append(answer.Addresses, entry.CallerAddress)
	}
	content, err := json.Marshal(answer)
	if err != nil {
		n.logger.Error().Str("event", "look-up-failed").Err(err).Msg("")
		http.Error(w, "look-up failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the caller has disconnected.
	_, _ = w.Write(content)
}

// nearestEntries returns the serving entries of the failure domain; if there are none,
// those of the region; if there are none either, all. It returns at most
// maxLookupAddresses entries.
func nearestEntries(serving []presence.Entry, region, domain string) []presence.Entry {
	var inDomain, inRegion []presence.Entry
	for _, entry := range serving {
		if entry.FailureDomain == domain {
			inDomain = append(inDomain, entry)
		}
		if entry.Region == region {
			inRegion = append(inRegion, entry)
		}
	}
	chosen := inDomain
	if len(chosen) == 0 {
		chosen = inRegion
	}
	if len(chosen) == 0 {
		chosen = serving
	}
	return chosen[:min(len(chosen), maxLookupAddresses)]
}
