package proxy

import (
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
)

func TestRouter_HostAndLongestPrefix(t *testing.T) {
	is := is.New(t)
	routes := map[ids.Name]configuration.Route{}
	for name, at := range map[ids.Name][2]string{
		"own": {"Tern.example", "/mud/"}, "deep": {"tern.example", "/mud/flat/"}, "root": {"gull.example", "/"},
		"any": {"", "/mud/flat/low/"}, "all": {"", "/"}, "a-first": {"tern.example", "/twice/"}, "b-second": {"tern.example", "/twice/"},
	} {
		routes[name] = configuration.Route{Name: name, Host: at[0], Prefix: at[1]}
	}
	r := newRouter(&configuration.View{Routes: routes})
	for _, c := range []struct {
		host, path string
		want       ids.Name
	}{
		{"tern.example", "/mud/1", "own"},
		{"TERN.example", "/mud/1", "own"},
		{"tern.example:8080", "/mud/1", "own"},
		{"tern.example", "/mud/flat/1", "deep"},
		{"tern.example", "/mud/flat/low/1", "deep"}, // the host's routes take precedence regardless of length
		{"tern.example", "/mud/flatter/1", "own"},
		{"tern.example", "/muddy/1", "all"},
		{"tern.example", "/MUD/1", "all"},
		{"tern.example", "//mud/1", "all"},
		{"tern.example", "/%6dud/1", "all"}, // the path isn't decoded or cleaned
		{"tern.example", "/mud/../x", "own"},
		{"tern.example", "/twice/1", "a-first"},
		{"gull.example", "/mud/1", "root"},
		{"gull.example", "/", "root"},
		{"other.example", "/mud/flat/low/", "any"},
		{"", "/mud/1", "all"},
	} {
		got, ok := r.find(c.host, c.path)
		is.True(ok)
		if got.Name != c.want {
			t.Errorf("%s%s: got route %s, want %s", c.host, c.path, got.Name, c.want)
		}
	}
	delete(routes, "all")
	r = newRouter(&configuration.View{Routes: routes})
	for _, c := range [][2]string{{"tern.example", "/"}, {"tern.example", "/muddy/"}, {"tern.example", ""}, {"tern.example", "*"}, {"", "/mud/1"}, {"other.example", "/mud/flat/"}} {
		_, ok := r.find(c[0], c[1])
		is.True(!ok)
	}
}

func TestRouter_LongestPrefixOfWholeSegments(t *testing.T) {
	is := is.New(t)
	r := newRouter(&configuration.View{Routes: map[ids.Name]configuration.Route{
		"all": {Name: "all", Prefix: "/"}, "stock": {Name: "stock", Prefix: "/stock"}, "tiles": {Name: "tiles", Prefix: "/stock/tiles/"},
	}})
	for path, want := range map[string]ids.Name{"/": "all", "/stock": "stock", "/stock/": "stock", "/stocking": "all", "/stock/tiles": "tiles", "/stock/tiles/9": "tiles", "/stock/tilesets": "stock"} {
		got, ok := r.find("", path)
		is.True(ok)
		is.Equal(got.Name, want)
	}
	_, ok := newRouter(&configuration.View{}).find("", "/x")
	is.True(!ok)
}
