// Package routing holds what operators and backend servers declare on a
// platform that keeps routes and registrations in its store: which route a
// request takes, which service serves it, and which backend servers there are.
package routing

import (
	"net"
	"slices"
	"strings"
	"time"
)

// RequestKind says how often a request may run.
type RequestKind uint8

// Kinds of requests. The zero value is the most careful one.
const (
	// NonIdempotent is a request that may run at most once.
	NonIdempotent RequestKind = iota
	// Upload is a request with a large body that may run at most once.
	Upload
	// Idempotent is a request that may run more than once.
	Idempotent
)

// String returns the kind's name for logs and metrics.
func (k RequestKind) String() string {
	switch k {
	case Upload:
		return "upload"
	case Idempotent:
		return "repeatable"
	}
	return "once"
}

// WeightedService is one service of a route with its share of the route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Route is one host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RequestKind
	// Services has at least one element.
	Services []WeightedService
	// Timeout is the longest time a request is kept waiting; 0 sets no bound.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer is worth most; 0 if unknown.
	LatencyObjective time.Duration
	// MaxAttempts is the most backend servers that one request may be sent to.
	MaxAttempts int
	// Priority is the route's rank, 0 the highest.
	Priority int
	// AllowedRegions are the only regions that may serve the route; empty means all.
	AllowedRegions []string
	// Sticky says that requests for one object are best served by one backend
	// server.
	Sticky bool
}

// AllowsRegion reports whether backend servers of a region may serve the route.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.AllowedRegions) == 0 || slices.Contains(r.AllowedRegions, region)
}

// Service is a set of backend servers that do the same work.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the most connections a backend server accepts from all
	// callers together.
	MaxConnections int
	// ColdStart is how long a backend server is cold after its start.
	ColdStart time.Duration
	// ColdRateLimit is the requests a second that a cold backend server tolerates.
	ColdRateLimit float64
}

// Limits bounds what callers may send. A zero field sets no bound.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one version of what operators declare.
type Configuration struct {
	Version  uint64
	Services map[string]*Service
	Limits   Limits
	hosts    map[string][]*Route
	count    int
}

// NewConfiguration indexes routes by host.
func NewConfiguration(version uint64, services []*Service, limits Limits, routes []*Route) *Configuration {
	conf := &Configuration{
		Version:  version,
		Services: make(map[string]*Service, len(services)),
		Limits:   limits,
		hosts:    make(map[string][]*Route),
		count:    len(routes),
	}
	for _, service := range services {
		conf.Services[service.Name] = service
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		conf.hosts[host] = append(conf.hosts[host], route)
	}
	for _, routes := range conf.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return conf
}

// MatchRoute returns the route with the longest prefix of a path among those of a
// host, or nil.
func (c *Configuration) MatchRoute(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// RouteCount returns the number of routes.
func (c *Configuration) RouteCount() int { return c.count }

// PickService returns the service that a draw from [0, 1) falls on.
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, part := range r.Services {
		total += part.Weight
	}
	at := draw * float64(total)
	for _, part := range r.Services {
		at -= float64(part.Weight)
		if at < 0 {
			return part.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// Server is one backend server as it registered itself.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Region        string
	Slots         int
	// Draining says that the server leaves and wants no new work.
	Draining bool
	// ColdLeft is how much longer the server is slow, as of the registration.
	ColdLeft time.Duration
	// BornUnixMS is the Unix millisecond of the server's start, 0 if unknown.
	BornUnixMS int64
	// Sequence counts the server's own registrations since its start.
	Sequence int64
	// RowVersion is the store's version of the registration.
	RowVersion uint64
}

// Incarnation identifies one start of a backend server at one address.
type Incarnation struct {
	ID         string
	Address    string
	BornUnixMS int64
}

// Incarnation returns the identity of this start of the server.
func (s *Server) Incarnation() Incarnation {
	return Incarnation{
		ID:         s.ID,
		Address:    s.Address,
		BornUnixMS: s.BornUnixMS,
	}
}
