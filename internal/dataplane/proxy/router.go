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

// router finds a request's route by the longest prefix of whole path segments. It is
// immutable: a new configuration gets a new router.
type router struct {
	// byHost holds a tree of path prefixes for each host in lower case; "" is for routes
	// of any host.
	byHost map[string]*iradix.Tree[configuration.Route]
	view   *configuration.View
}

func newRouter(view *configuration.View) *router {
	byHost := map[string]*iradix.Tree[configuration.Route]{}
	// In order of name: of two routes with the same host and prefix the first one holds.
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

// find returns the route of a host and path. The host's own routes go before those of
// any host. Bytes of the path are compared as they came: nothing is decoded or cleaned.
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
		// Whole segments only: /stock is no prefix of /stocking.
		if len(prefix) == len(path) || path[len(prefix)] == '/' {
			longest, found = route, true
		}
		return false
	})
	return longest, found
}

// RouteTerms returns the rules of a route that a request is accepted under. If they
// change while the request waits, it isn't sent.
func RouteTerms(route configuration.Route) dispatch.RouteTerms {
	return dispatch.RouteTerms{
		Host: route.Host, Prefix: route.Prefix, Service: route.Service,
		Repeatable: route.Repeatable, TimeLimit: route.Timeout(),
	}
}
