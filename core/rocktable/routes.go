package rocktable

import (
	"slices"
	"strings"
)

// RouteIndex finds the route of a request. Each Snapshot has its own.
type RouteIndex map[string][]RouteConfig // by host name in lower case, longest prefix first

// NewRouteIndex returns the index of a configuration's routes.
func NewRouteIndex(routes []RouteConfig) RouteIndex {
	index := make(RouteIndex)
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		index[host] = append(index[host], r)
	}
	for _, list := range index {
		slices.SortStableFunc(list, func(a, b RouteConfig) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return index
}

// Find returns the route with the longest prefix that matches the path, and whether there is one.
func (x RouteIndex) Find(host, path string) (RouteConfig, bool) {
	for _, r := range x[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return RouteConfig{}, false
}
