// Package routing defines the routes, services and backend servers that an entry
// takes from the platform's store if it runs with --platform; package platform
// decodes them. It matches requests to routes and picks the service of a route.
// Without --platform, an entry uses the configuration that package intent defines.
package routing

import (
	"encoding/hex"
	"net"
	"slices"
	"strings"
	"time"
)

// RequestKind is a class of requests. It determines whether a request may be
// executed more than once.
type RequestKind uint8

// Kinds of requests. The zero value is NonIdempotent, so that a route without a
// kind never executes a request twice.
const (
	// NonIdempotent requests may be executed at most once.
	NonIdempotent RequestKind = iota
	// Upload requests have a large body and may be executed at most once.
	Upload
	// Idempotent requests may be executed more than once.
	Idempotent
)

// String returns the name of the kind in logs and metrics.
func (k RequestKind) String() string {
	switch k {
	case Upload:
		return "upload"
	case Idempotent:
		return "repeatable"
	}
	return "once"
}

// WeightedService is a service that gets a share of a route's requests.
type WeightedService struct {
	// Service is the name of the service.
	Service string
	// Weight is the share, relative to the weights of the route's other services.
	Weight int
}

// Route determines how requests to a host with a certain path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RequestKind
	// Services are the services that serve the route. There is at least one.
	Services []WeightedService
	// Timeout is the maximum time from the complete arrival of a request, including its
	// body, to the response; 0 means no limit.
	Timeout time.Duration
	// LatencyObjective is the response time up to which a response has its full value
	// to the caller; 0 if unknown.
	LatencyObjective time.Duration
	// MaxAttempts is the maximum number of times that a request is sent to a backend
	// server.
	MaxAttempts int
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// AllowedRegions are the regions that may serve the route; empty means all.
	AllowedRegions []string
	// Sticky means that requests for the same object should go to the same backend
	// server (session affinity).
	Sticky bool
}

// AllowsRegion reports whether backend servers in a region may serve the route.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.AllowedRegions) == 0 || slices.Contains(r.AllowedRegions, region)
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// HealthPath is the URL path of the health probe.
	HealthPath string
	// MaxConnections is the number of connections that a backend server accepts from
	// all its clients together.
	MaxConnections int
	// ColdStart is how long a backend server is cold, that is slower than usual,
	// after its start.
	ColdStart time.Duration
	// ColdRateLimit is the number of requests per second that a cold backend server
	// tolerates.
	ColdRateLimit float64
}

// Limits contains the limits for requests and connections of callers. A zero field
// means that the configuration sets no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the maximum time that a caller may take to send a request header.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum time that a connection stays open between requests.
	IdleTimeout time.Duration
}

// Configuration is a version of the routes, services and limits.
type Configuration struct {
	Version uint64
	// Services contains the services by name.
	Services map[string]*Service
	Limits   Limits
	// routesByHost contains the routes of each host, in order of decreasing prefix
	// length. The keys are the hosts' names in lower case.
	routesByHost map[string][]matchedRoute
	routeCount   int
}

// matchedRoute is a route with its prefix as MatchRoute compares it.
type matchedRoute struct {
	*Route
	prefix string
}

// NewConfiguration returns a configuration with an index of the routes by host.
func NewConfiguration(version uint64, services []*Service, limits Limits, routes []*Route) *Configuration {
	conf := &Configuration{
		Version:      version,
		Services:     make(map[string]*Service, len(services)),
		Limits:       limits,
		routesByHost: make(map[string][]matchedRoute),
		routeCount:   len(routes),
	}
	for _, service := range services {
		conf.Services[service.Name] = service
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		conf.routesByHost[host] = append(conf.routesByHost[host], matchedRoute{
			Route:  route,
			prefix: normalizePath(route.Prefix),
		})
	}
	for _, routes := range conf.routesByHost {
		slices.SortFunc(routes, func(a, b matchedRoute) int { return len(b.prefix) - len(a.prefix) })
	}
	return conf
}

// MatchRoute returns the route of a host whose prefix is the longest that matches
// the path, or nil if no route matches. A port in the host and the host's case are
// ignored. The path is escaped as in the request: an escaped slash, for example, is part of a
// segment and ends no prefix.
func (c *Configuration) MatchRoute(host, escapedPath string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	path := normalizePath(escapedPath)
	for _, route := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.prefix) {
			return route.Route
		}
	}
	return nil
}

// reservedCharacters are those that mean something else escaped than not, according to RFC 3986,
// section 2.2, and the percent sign.
const reservedCharacters = ":/?#[]@!$&'()*+,;=%"

// normalizePath returns a path in which only reservedCharacters are escaped, with upper-case
// digits. Paths that are equivalent according to RFC 3986, section 6.2.2, become the same.
func normalizePath(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	var normalized strings.Builder
	for i := 0; i < len(path); i++ {
		if path[i] != '%' || i+2 >= len(path) {
			normalized.WriteByte(path[i])
			continue
		}
		decoded, err := hex.DecodeString(path[i+1 : i+3])
		switch {
		case err != nil:
			normalized.WriteByte(path[i])
			continue
		case strings.IndexByte(reservedCharacters, decoded[0]) >= 0:
			normalized.WriteString(strings.ToUpper(path[i : i+3]))
		default:
			normalized.WriteByte(decoded[0])
		}
		i += 2
	}
	return normalized.String()
}

// RouteCount returns the number of routes of all hosts.
func (c *Configuration) RouteCount() int { return c.routeCount }

// PickService picks one of the route's services with a probability in proportion
// to its weight. The caller passes a random number draw that is uniformly
// distributed in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, weighted := range r.Services {
		total += weighted.Weight
	}
	rest := draw * float64(total)
	for _, weighted := range r.Services {
		rest -= float64(weighted.Weight)
		if rest < 0 {
			return weighted.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// Server is the registration of a backend server.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Region        string
	Slots         int
	// Draining means that the server is shutting down and must get no new request.
	Draining bool
	// ColdLeft is how much longer the server is cold, counted from when it wrote the
	// registration.
	ColdLeft time.Duration
	// StartUnixMS is the start time of the server, as a Unix time in milliseconds; 0
	// if unknown.
	StartUnixMS int64
	// Sequence is the number of times that the server has written its registration
	// since its start.
	Sequence int64
	// RowVersion is the version of the registration's row in the store.
	RowVersion uint64
}

// Incarnation identifies the run of a backend server from one start to the next. A
// server that restarts, or moves to another address, gets a new incarnation.
type Incarnation struct {
	ID          string
	Address     string
	StartUnixMS int64
}

// Incarnation returns the incarnation that wrote the registration.
func (s *Server) Incarnation() Incarnation {
	return Incarnation{
		ID:          s.ID,
		Address:     s.Address,
		StartUnixMS: s.StartUnixMS,
	}
}
