package main

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/teaselstack/teaselstack/entry/presence"
	"github.com/teaselstack/teaselstack/platform"
)

const (
	// lookupTTL is how long callers keep a look-up's answer. Some keep it three
	// times as long; that must be over before an entry that leaves stops to serve.
	lookupTTL = time.Second
	// maxAddresses bounds the addresses in an answer.
	maxAddresses = 64
)

// serveLookup tells a caller which entries to use: those of its failure domain,
// else those of its region, else all.
func (g *gate) serveLookup(w http.ResponseWriter, incoming *http.Request) {
	if incoming.URL.Path != platform.ResolvePath || incoming.Method != http.MethodGet {
		http.NotFound(w, incoming)
		return
	}
	query := incoming.URL.Query()
	serving := nearest(g.roster.ServingEntries(), query.Get(platform.ResolveRegionParam), query.Get(platform.ResolveDomainParam))
	if len(serving) == 0 {
		http.Error(w, "no entry serves", http.StatusServiceUnavailable)
		return
	}
	answer := platform.Resolution{
		TTL: min(lookupTTL, g.settings.Load().Bounds.MaxLookupTTL).String(),
	}
	for _, each := range serving {
		answer.Addresses = append(answer.Addresses, each.CallerAddress)
	}
	content, err := json.Marshal(answer)
	if err != nil {
		g.logger.Error().Str("event", "look-up-failed").Err(err).Msg("")
		http.Error(w, "look-up failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A caller that has left needs no answer.
	_, _ = w.Write(content)
}

// nearest returns the entries of a failure domain, of a region if the domain
// has fewer than two, or all.
func nearest(serving []presence.Entry, region, domain string) []presence.Entry {
	var inDomain, inRegion []presence.Entry
	for _, each := range serving {
		if each.FailureDomain == domain {
			inDomain = append(inDomain, each)
		}
		if each.Region == region {
			inRegion = append(inRegion, each)
		}
	}
	nearest := inDomain
	if len(nearest) == 0 {
		nearest = inRegion
	}
	if len(nearest) == 0 {
		nearest = serving
	}
	return nearest[:min(len(nearest), maxAddresses)]
}
