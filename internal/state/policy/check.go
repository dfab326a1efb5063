package policy

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/tidwall/gjson"

	"dunlinwell/internal/base/ids"
)

// Fault is one thing wrong with a change: the item, the path in it, and why.
type Fault struct {
	Item    string `json:"item"`
	Path    string `json:"path"`
	Problem string `json:"problem"`
}

// field is what a path of an item must hold.
type field struct {
	path     string
	kind     gjson.Type
	required bool
	low      float64
	high     float64
	rule     *regexp.Regexp
	hint     string
}

var (
	nameRule   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	prefixRule = regexp.MustCompile(`^/[A-Za-z0-9._~/-]{0,255}$`)
	hostRule   = regexp.MustCompile(`^[A-Za-z0-9._:\[\]-]{1,255}$`)
	changeRule = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)
)

const nameHint = "lower-case letters, digits and inner dashes, 63 at most"

// fields lists, for each kind, every path an operator may write.
var fields = map[string][]field{
	"service": {
		{path: "tier", kind: gjson.Number, low: 0, high: 9},
		{path: "capacity", kind: gjson.Number, low: 1, high: 100000},
		{path: "warm_ms", kind: gjson.Number, low: 0, high: 600000},
		{path: "allowance", kind: gjson.Number, low: 0, high: 1000},
		{path: "warm_rate", kind: gjson.Number, low: 0, high: 1e6},
		{path: "circuits", kind: gjson.Number, low: 0, high: 1e6},
	},
	"route": {
		{path: "prefix", kind: gjson.String, required: true, rule: prefixRule, hint: "a path that starts with /"},
		{path: "service", kind: gjson.String, rule: nameRule, hint: nameHint},
		{path: "host", kind: gjson.String, rule: hostRule, hint: "a host's name or IP number"},
		{path: "split", kind: gjson.JSON},
		{path: "single", kind: gjson.True},
		{path: "goal_ms", kind: gjson.Number, low: 0, high: 660000},
		{path: "attempts", kind: gjson.Number, low: 1, high: 100},
		{path: "homes", kind: gjson.JSON},
		{path: "tier", kind: gjson.Number, low: 0, high: 9},
		{path: "repeatable", kind: gjson.True, required: true},
		{path: "limit_ms", kind: gjson.Number, low: 10, high: 600000},
		{path: "max_body", kind: gjson.Number, low: 0, high: 4 << 20},
	},
	"cell": {
		{path: "region", kind: gjson.String, rule: nameRule, hint: nameHint},
		{path: "target", kind: gjson.Number, low: 1, high: 1e9},
		{path: "acceptable", kind: gjson.Number, low: 1, high: 1e9},
		{path: "maximum", kind: gjson.Number, low: 1, high: 1e9},
		{path: "emptied", kind: gjson.True},
		{path: "shut", kind: gjson.True},
		{path: "distances", kind: gjson.JSON},
	},
	"limits": {
		{path: "max_header", kind: gjson.Number, low: 1024, high: 1 << 24},
		{path: "max_body", kind: gjson.Number, low: 0, high: 1 << 31},
		{path: "header_ms", kind: gjson.Number, low: 100, high: 600000},
		{path: "idle_ms", kind: gjson.Number, low: 100, high: 3600000},
	},
}

// whole are the fields that count things, so no fraction will do.
var whole = map[string]bool{"tier": true, "capacity": true, "warm_ms": true, "allowance": true, "limit_ms": true, "max_body": true, "circuits": true, "goal_ms": true, "attempts": true, "max_header": true, "header_ms": true, "idle_ms": true}

func join2(a, b string) string {
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
	for _, f := range fields[kind] {
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
		checkCell(doc, bad)
	case "route":
		checkSplit(doc, bad)
	}
}

func (f field) check(v gjson.Result, bad func(path, why string)) {
	switch f.kind {
	case gjson.True:
		if v.Type != gjson.True && v.Type != gjson.False {
			bad(f.path, "must be true or false")
		}
	case gjson.Number:
		switch {
		case v.Type != gjson.Number:
			bad(f.path, "must be a number")
		case v.Num < f.low || v.Num > f.high:
			bad(f.path, fmt.Sprintf("must be from %g to %g", f.low, f.high))
		case whole[f.path] && v.Num != float64(int64(v.Num)):
			bad(f.path, "must be a whole number")
		// Such as 1e2: one number, but not every reader takes it for a whole one.
		case whole[f.path] && strings.ContainsAny(v.Raw, ".eE"):
			bad(f.path, "must be written as a whole number")
		}
	case gjson.String:
		switch {
		case v.Type != gjson.String:
			bad(f.path, "must be a string")
		case !f.rule.MatchString(v.Str):
			bad(f.path, "must be "+f.hint)
		case f.path == "prefix" && reserved(v.Str):
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

// reserved paths belong to the daemons on every proxy.
func reserved(p string) bool {
	for _, r := range []string{"/v1", "/healthz", "/readyz", "/metrics", "/.well-known"} {
		if p == r || strings.HasPrefix(p, r+"/") {
			return true
		}
	}
	return false
}

func checkCell(doc gjson.Result, bad func(path, why string)) {
	doc.Get("distances").ForEach(func(k, v gjson.Result) bool {
		at := "distances." + k.String()
		if !nameRule.MatchString(k.String()) {
			bad(at, "must be named by "+nameHint)
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

// checkWhole checks what no single item shows: routes to their services, and
// prefixes that two routes would fight over. Routes that the change leaves alone
// had their services before it, and have them still unless it removes one.
func (p *Policy) checkWhole(c Change) []Fault {
	orphaned, touched := false, map[ids.Name]bool{}
	for _, part := range c.Parts {
		orphaned = orphaned || part.Kind == "service" && part.Remove
		touched[part.Name] = touched[part.Name] || part.Kind == "route"
	}
	var faults []Fault
	prefix := map[string]ids.Name{}
	for _, n := range sorted(p.Routes) {
		if orphaned || touched[n] {
			faults = append(faults, p.unknownServices(n, p.Routes[n].Body)...)
		}
		// Those merged from outside are their caller's own business; of two with
		// one place the first by name holds.
		if p.Routes[n].merged() {
			continue
		}
		doc := gjson.ParseBytes(p.Routes[n].Body)
		at := doc.Get("host").Str + strings.TrimRight(doc.Get("prefix").Str, "/")
		if other, used := prefix[at]; used {
			faults = append(faults, Fault{"route/" + string(n), "prefix", fmt.Sprintf("is that of route %q too", other)})
		}
		prefix[at] = n
	}
	return faults
}
