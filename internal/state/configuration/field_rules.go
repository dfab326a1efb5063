package configuration

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/tidwall/gjson"

	"dunlinwell/internal/base/ids"
)

// Violation is one thing wrong with a change: the item, the path in it, and why.
type Violation struct {
	Item   string `json:"item"`
	Path   string `json:"path"`
	Reason string `json:"problem"`
}

// fieldRule is what a path of an item must hold.
type fieldRule struct {
	path     string
	kind     gjson.Type
	required bool
	minimum  float64
	maximum  float64
	pattern  *regexp.Regexp
	expected string
}

var (
	namePattern     = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	prefixPattern   = regexp.MustCompile(`^/[A-Za-z0-9._~/-]{0,255}$`)
	hostPattern     = regexp.MustCompile(`^[A-Za-z0-9._:\[\]-]{1,255}$`)
	changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)
)

const nameDescription = "lower-case letters, digits and inner dashes, 63 at most"

// fieldRules lists, for each kind, every path an operator may write.
var fieldRules = map[string][]fieldRule{
	"service": {
		{path: "tier", kind: gjson.Number, minimum: 0, maximum: 9},
		{path: "capacity", kind: gjson.Number, minimum: 1, maximum: 100000},
		{path: "warm_ms", kind: gjson.Number, minimum: 0, maximum: 600000},
		{path: "allowance", kind: gjson.Number, minimum: 0, maximum: 1000},
		{path: "warm_rate", kind: gjson.Number, minimum: 0, maximum: 1e6},
		{path: "circuits", kind: gjson.Number, minimum: 0, maximum: 1e6},
	},
	"route": {
		{path: "prefix", kind: gjson.String, required: true, pattern: prefixPattern, expected: "a path that starts with /"},
		{path: "service", kind: gjson.String, pattern: namePattern, expected: nameDescription},
		{path: "host", kind: gjson.String, pattern: hostPattern, expected: "a host's name or IP number"},
		{path: "split", kind: gjson.JSON},
		{path: "single", kind: gjson.True},
		{path: "goal_ms", kind: gjson.Number, minimum: 0, maximum: 660000},
		{path: "attempts", kind: gjson.Number, minimum: 1, maximum: 100},
		{path: "homes", kind: gjson.JSON},
		{path: "tier", kind: gjson.Number, minimum: 0, maximum: 9},
		{path: "repeatable", kind: gjson.True, required: true},
		{path: "limit_ms", kind: gjson.Number, minimum: 10, maximum: 600000},
		{path: "max_body", kind: gjson.Number, minimum: 0, maximum: 4 << 20},
	},
	"cell": {
		{path: "region", kind: gjson.String, pattern: namePattern, expected: nameDescription},
		{path: "target", kind: gjson.Number, minimum: 1, maximum: 1e9},
		{path: "acceptable", kind: gjson.Number, minimum: 1, maximum: 1e9},
		{path: "maximum", kind: gjson.Number, minimum: 1, maximum: 1e9},
		{path: "emptied", kind: gjson.True},
		{path: "shut", kind: gjson.True},
		{path: "distances", kind: gjson.JSON},
	},
	"limits": {
		{path: "max_header", kind: gjson.Number, minimum: 1024, maximum: 1 << 24},
		{path: "max_body", kind: gjson.Number, minimum: 0, maximum: 1 << 31},
		{path: "header_ms", kind: gjson.Number, minimum: 100, maximum: 600000},
		{path: "idle_ms", kind: gjson.Number, minimum: 100, maximum: 3600000},
	},
}

// integerFields are the fields that count things, so no fraction will do.
var integerFields = map[string]bool{"tier": true, "capacity": true, "warm_ms": true, "allowance": true, "limit_ms": true, "max_body": true, "circuits": true, "goal_ms": true, "attempts": true, "max_header": true, "header_ms": true, "idle_ms": true}

func joinPath(a, b string) string {
	if a == "" {
		return b
	}
	return a + "." + b
}

// checkBody checks one item's body, path by path.
func checkBody(kind string, body string, bad func(path, why string)) {
	doc := gjson.Parse(body)
	if !doc.IsObject() {
		bad("", "must be an object")
		return
	}
	known := map[string]bool{}
	for _, f := range fieldRules[kind] {
		known[f.path] = true
		v := doc.Get(f.path)
		if !v.Exists() {
			if f.required {
				bad(f.path, "is missing")
			}
			continue
		}
		f.check(v, bad)
	}
	doc.ForEach(func(k, _ gjson.Result) bool {
		if !known[k.String()] {
			bad(k.String(), "is not known")
		}
		return true
	})
	switch kind {
	case "cell":
		checkZone(doc, bad)
	case "route":
		checkSplit(doc, bad)
	}
}

func (f fieldRule) check(v gjson.Result, bad func(path, why string)) {
	switch f.kind {
	case gjson.True:
		if v.Type != gjson.True && v.Type != gjson.False {
			bad(f.path, "must be true or false")
		}
	case gjson.Number:
		switch {
		case v.Type != gjson.Number:
			bad(f.path, "must be a number")
		case v.Num < f.minimum || v.Num > f.maximum:
			bad(f.path, fmt.Sprintf("must be from %g to %g", f.minimum, f.maximum))
		case integerFields[f.path] && v.Num != float64(int64(v.Num)):
			bad(f.path, "must be a whole number")
		// Such as 1e2: one number, but not every reader takes it for a whole one.
		case integerFields[f.path] && strings.ContainsAny(v.Raw, ".eE"):
			bad(f.path, "must be written as a whole number")
		}
	case gjson.String:
		switch {
		case v.Type != gjson.String:
			bad(f.path, "must be a string")
		case !f.pattern.MatchString(v.Str):
			bad(f.path, "must be "+f.expected)
		case f.path == "prefix" && isReservedPath(v.Str):
			bad(f.path, "is kept for the daemons' own pages")
		}
	case gjson.JSON:
		switch {
		case f.path == "split" || f.path == "homes":
			if !v.IsArray() {
				bad(f.path, "must be a list")
			}
		case !v.IsObject():
			bad(f.path, "must be an object")
		}
	}
}

// isReservedPath paths belong to the daemons on every proxy.
func isReservedPath(p string) bool {
	for _, r := range []string{"/v1", "/healthz", "/readyz", "/metrics", "/.well-known"} {
		if p == r || strings.HasPrefix(p, r+"/") {
			return true
		}
	}
	return false
}

func checkZone(doc gjson.Result, bad func(path, why string)) {
	doc.Get("distances").ForEach(func(k, v gjson.Result) bool {
		at := "distances." + k.String()
		if !namePattern.MatchString(k.String()) {
			bad(at, "must be named by "+nameDescription)
		}
		if v.Type != gjson.Number || v.Num < 0 || v.Num > 100000 {
			bad(at, "must be from 0 to 100000")
		}
		return true
	})
	t, a, m := doc.Get("target"), doc.Get("acceptable"), doc.Get("maximum")
	if a.Exists() && t.Exists() && a.Num >= t.Num {
		bad("acceptable", "must be below target")
	}
	if m.Exists() && t.Exists() && m.Num <= t.Num {
		bad("maximum", "must be above target")
	}
	if (a.Exists() || m.Exists()) && !t.Exists() {
		bad("target", "is missing beside acceptable or maximum")
	}
}

// checkReferences checks what no single item shows: routes to their services, and
// prefixes that two routes would fight over. Routes that the change leaves alone
// had their services before it, and have them still unless it removes one.
func (d *Document) checkReferences(c Change) []Violation {
	orphaned, touched := false, map[ids.Name]bool{}
	for _, part := range c.Items {
		orphaned = orphaned || part.Kind == "service" && part.Remove
		touched[part.Name] = touched[part.Name] || part.Kind == "route"
	}
	var faults []Violation
	prefix := map[string]ids.Name{}
	for _, n := range sortedNames(d.Routes) {
		if orphaned || touched[n] {
			faults = append(faults, d.unknownServices(n, d.Routes[n].Body)...)
		}
		// Those merged from outside are their caller's own business; of two with
		// one place the first by name holds.
		if d.Routes[n].isMerged() {
			continue
		}
		doc := gjson.ParseBytes(d.Routes[n].Body)
		at := doc.Get("host").Str + strings.TrimRight(doc.Get("prefix").Str, "/")
		if other, used := prefix[at]; used {
			faults = append(faults, Violation{"route/" + string(n), "prefix", fmt.Sprintf("is that of route %q too", other)})
		}
		prefix[at] = n
	}
	return faults
}
