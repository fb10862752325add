package relay

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/teaselstack/teaselstack/intent"
)

// regionPair is an ordered pair of regions. It identifies one direction of the link
// between them.
type regionPair struct {
	from string
	to   string
}

// link is one direction of the network link between two regions. It limits the total
// rate of all connections in that direction.
type link struct {
	limiter *rate.Limiter

	mu sync.Mutex
	// currentSecond is the Unix time, in seconds, at which the transmission that was
	// recorded last ends, and secondBytes the number of bytes transmitted in that
	// second.
	currentSecond int64
	secondBytes   int64
	load          LinkLoad
}

// LinkLoad is the traffic that one direction of a link has carried.
type LinkLoad struct {
	From string `json:"from"`
	To   string `json:"to"`
	// BytesPerSecond is the configured rate of each direction of the link.
	BytesPerSecond float64 `json:"rate"`
	// Bytes is the total number of bytes sent, and PeakBytes the number sent in the
	// busiest second.
	Bytes     int64 `json:"bytes"`
	PeakBytes int64 `json:"peak-bytes"`
	// LongestWait is the longest time that bytes waited because the connections
	// together sent more than the rate of the link.
	LongestWait time.Duration `json:"longest-wait"`
}

// burstBytes is the number of bytes that a link transmits without delay in a
// burst, about the size of the buffer of a router's port.
const burstBytes = 128 << 10

// newLinks returns both directions of each link of a configuration.
func newLinks(configuration *intent.Configuration) map[regionPair]*link {
	links := make(map[regionPair]*link)
	for _, configured := range configuration.Deployment.Links {
		for _, pair := range []regionPair{
			{
				from: configured.Between[0],
				to:   configured.Between[1],
			},
			{
				from: configured.Between[1],
				to:   configured.Between[0],
			},
		} {
			links[pair] = &link{
				limiter: rate.NewLimiter(rate.Limit(configured.Rate.BytesPerSecond()), burstBytes),
				load: LinkLoad{
					From:           pair.from,
					To:             pair.to,
					BytesPerSecond: configured.Rate.BytesPerSecond(),
				},
			}
		}
	}
	return links
}

// transmit waits until the link has transmitted count bytes at its rate.
func (l *link) transmit(ctx context.Context, count int) error {
	now := time.Now()
	wait := l.limiter.ReserveN(now, count).DelayFrom(now)
	l.record(now, count, wait)
	return sleep(ctx, wait)
}

// record adds count bytes to the load. Their transmission ends at now plus wait.
func (l *link) record(now time.Time, count int, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Add(wait).Unix(); second != l.currentSecond {
		l.currentSecond = second
		l.secondBytes = 0
	}
	l.secondBytes += int64(count)
	l.load.Bytes += int64(count)
	l.load.PeakBytes = max(l.load.PeakBytes, l.secondBytes)
	l.load.LongestWait = max(l.load.LongestWait, wait)
}

// LinkLoads returns the load of each direction of each link, ordered by regions.
func (s *Server) LinkLoads() []LinkLoad {
	var loads []LinkLoad
	for _, link := range s.links {
		link.mu.Lock()
		loads = append(loads, link.load)
		link.mu.Unlock()
	}
	slices.SortFunc(loads, func(a, b LinkLoad) int {
		return strings.Compare(a.From+" "+a.To, b.From+" "+b.To)
	})
	return loads
}
