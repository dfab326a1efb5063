package proxy

import (
	"maps"
	"net"
	"slices"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/configuration"
)

// router finds the route of a request by the longest path prefix of whole segments. It is
// immutable; a new configuration has a new router.
type router struct {
	// byHost holds a radix tree of path prefixes per lowercase host; "" matches any host.
	byHost map[string]*iradix.Tree[configuration.Route]
	view   *configuration.View
}

func newRouter(view *configuration.View) *router {
	byHost := map[string]*iradix.Tree[configuration.Route]{}
	// Of the routes with the same host and prefix, the first one by name takes effect.
	for _, name := range slices.Sorted(maps.Keys(view.Routes)) {
		route := view.Routes[name]
		host := strings.ToLower(route.Host)
		tree := byHost[host]
		if tree == nil {
			tree = iradix.New[configuration.Route]()
		}
		key := []byte(strings.TrimRight(route.Prefix, "/"))
		if _, taken := tree.Get(key); !taken {
			tree, _, _ = tree.Insert(key, route)
		}
		byHost[host] = tree
	}
	return &router{byHost, view}
}

// find returns the route of a host and path. Routes of the host take precedence over those of any
// host. The path is neither decoded nor cleaned.
func (r *router) find(host, path string) (configuration.Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	host = strings.ToLower(host)
	if tree := r.byHost[host]; tree != nil && host != "" {
		if route, ok := longestPrefix(tree, path); ok {
			return route, true
		}
	}
	if tree := r.byHost[""]; tree != nil {
		return longestPrefix(tree, path)
	}
	return configuration.Route{}, false
}

func longestPrefix(tree *iradix.Tree[configuration.Route], path string) (configuration.Route, bool) {
	var longest configuration.Route
	found := false
	tree.Root().WalkPath([]byte(path), func(prefix []byte, route configuration.Route) bool {
		// Only whole segments match: /stock is not a prefix of /stocking.
		if len(prefix) == len(path) || path[len(prefix)] == '/' {
			longest, found = route, true
		}
		return false
	})
	return longest, found
}

// RouteRules returns the rules of a route. A request isn't forwarded if they have changed since
// its arrival.
func RouteRules(route configuration.Route) dispatch.RouteRules {
	return dispatch.RouteRules{
		Host: route.Host, Prefix: route.Prefix, Service: route.Service,
		Repeatable: route.Repeatable, TimeLimit: route.Timeout(),
	}
}
