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

// direction names one way of the link between two regions.
type direction struct {
	from string
	to   string
}

// link keeps the rate of one way between two regions, over all connections.
type link struct {
	limiter *rate.Limiter

	mu     sync.Mutex
	second int64
	bytes  int64
	load   LinkLoad
}

// LinkLoad is what one way of a link has carried.
type LinkLoad struct {
	From string `json:"from"`
	To   string `json:"to"`
	// BytesPerSecond is in bytes a second.
	BytesPerSecond float64 `json:"rate"`
	// Bytes counts all that was sent, PeakBytes that of the fullest second.
	Bytes     int64 `json:"bytes"`
	PeakBytes int64 `json:"peak-bytes"`
	// LongestWait is the longest that anything waited because more was sent than
	// the link carries.
	LongestWait time.Duration `json:"longest-wait"`
}

// burstBytes is what passes a link at once, about the buffer of a router's port.
const burstBytes = 128 << 10

func newLinks(configuration *intent.Configuration) map[direction]*link {
	links := make(map[direction]*link)
	for _, each := range configuration.Deployment.Links {
		for _, way := range []direction{
			{
				from: each.Between[0],
				to:   each.Between[1],
			},
			{
				from: each.Between[1],
				to:   each.Between[0],
			},
		} {
			links[way] = &link{
				limiter: rate.NewLimiter(rate.Limit(each.Rate.BytesPerSecond()), burstBytes),
				load: LinkLoad{
					From:           way.from,
					To:             way.to,
					BytesPerSecond: each.Rate.BytesPerSecond(),
				},
			}
		}
	}
	return links
}

// take waits until the link has carried count bytes.
func (l *link) take(ctx context.Context, count int) error {
	now := time.Now()
	wait := l.limiter.ReserveN(now, count).DelayFrom(now)
	l.count(now, count, wait)
	return sleep(ctx, wait)
}

func (l *link) count(now time.Time, count int, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Add(wait).Unix(); second != l.second {
		l.second = second
		l.bytes = 0
	}
	l.bytes += int64(count)
	l.load.Bytes += int64(count)
	l.load.PeakBytes = max(l.load.PeakBytes, l.bytes)
	l.load.LongestWait = max(l.load.LongestWait, wait)
}

// LinkLoads returns what each way of each link has carried.
func (s *Server) LinkLoads() []LinkLoad {
	var loads []LinkLoad
	for _, each := range s.links {
		each.mu.Lock()
		loads = append(loads, each.load)
		each.mu.Unlock()
	}
	slices.SortFunc(loads, func(a, b LinkLoad) int {
		return strings.Compare(a.From+" "+a.To, b.From+" "+b.To)
	})
	return loads
}
