package routing_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/routing"
)

// TestMatchRoute checks that the longest prefix wins, and that the case and port of
// the host are ignored. An escaped slash guards against a request that may run once and is taken
// for one of the safe route below its own.
func TestMatchRoute(t *testing.T) {
	var routes []*routing.Route
	for _, each := range []struct{ host, prefix string }{
		{"a.example", "/"},
		{"a.example", "/long/"},
		{"a.example", "/long/er/"},
		{"b.example", "/only/"},
		{"d.example", "/book/"},
		{"d.example", "/book/state/"},
		{"d.example", "/caf%C3%A9/"},
		{"d.example", "/caf\u00e9s/"},
		{"d.example", "/a%2fb/"},
	} {
		routes = append(routes, &routing.Route{
			Name:   each.host + each.prefix,
			Host:   each.host,
			Prefix: each.prefix,
		})
	}
	conf := routing.NewConfiguration(1, nil, routing.Limits{}, routes)
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/long/er/x", "a.example/long/er/"},
		{"A.example:8080", "/long/e", "a.example/long/"},
		{"a.example", "/longer", "a.example/"},
		{"b.example", "/only/", "b.example/only/"},
		{"b.example", "/only", ""},
		{"c.example", "/", ""},
		{"d.example", "/book/state/2f", "d.example/book/state/"},
		{"d.example", "/book/state%2F2f", "d.example/book/"},
		{"d.example", "/book/state%2f2f", "d.example/book/"},
		{"d.example", "/book%2Fstate/2f", ""},
		{"d.example", "/book/state%252F2f", "d.example/book/"},
		{"d.example", "/book/state%", "d.example/book/"},
		{"d.example", "/book/%zz/", "d.example/book/"},
		{"d.example", "/%62ook/st%61te/2f", "d.example/book/state/"},
		{"d.example", "/caf%c3%a9/x", "d.example/caf%C3%A9/"},
		{"d.example", "/caf%C3%A9s/x", "d.example/caf\u00e9s/"},
		{"d.example", "/a%2Fb/x", "d.example/a%2fb/"},
		{"d.example", "/a/b/x", ""},
	} {
		got := ""
		if route := conf.MatchRoute(test.host, test.path); route != nil {
			got = route.Name
		}
		assert.Equal(t, got, test.want, "%s %s", test.host, test.path)
	}
}

// TestPickServiceFollowsWeights checks that services get requests in proportion to
// their weights, and that a weight of 0 gets none.
func TestPickServiceFollowsWeights(t *testing.T) {
	route := routing.Route{
		Services: []routing.WeightedService{
			{
				Service: "old",
				Weight:  90,
			},
			{
				Service: "new",
				Weight:  10,
			},
			{
				Service: "none",
			},
		},
	}
	count := make(map[string]int)
	const draws = 1000
	for i := range draws {
		count[route.PickService(float64(i)/draws)]++
	}
	assert.DeepEqual(t, count, map[string]int{
		"old": 900,
		"new": 100,
	})
}
