package routing_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/routing"
)

func TestMatchRoute(t *testing.T) {
	var routes []*routing.Route
	for _, each := range []struct{ host, prefix string }{
		{"a.example", "/"},
		{"a.example", "/long/"},
		{"a.example", "/long/er/"},
		{"b.example", "/only/"},
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
	} {
		got := ""
		if route := conf.MatchRoute(test.host, test.path); route != nil {
			got = route.Name
		}
		assert.Equal(t, got, test.want, "%s %s", test.host, test.path)
	}
}

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
