package targets

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"

	"github.com/tidwall/gjson"

	"dunlinwell/internal/base/jsoncheck"
)

var (
	instancePattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)
	namePattern     = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
)

// CheckAddress tells what is wrong with an IP number and port, if anything.
func CheckAddress(s string) string {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		return "must be an IP number and a port"
	}
	return ""
}

// ParseAnnouncement reads and checks what a target sent; faults name paths.
func ParseAnnouncement(raw []byte) (Target, map[string]string) {
	var t Target
	violations := map[string]string{}
	doc := gjson.ParseBytes(raw)
	if !jsoncheck.Valid(raw) || !doc.IsObject() {
		violations["(body)"] = "must be a JSON object"
		return t, violations
	}
	text := func(path string, rule *regexp.Regexp) {
		if v := doc.Get(path); v.Type != gjson.String || !rule.MatchString(v.Str) {
			violations[path] = "is missing or not a proper name"
		}
	}
	number := func(path string, low, high float64, required, whole bool) {
		v := doc.Get(path)
		switch {
		case !v.Exists() && !required:
		case v.Type != gjson.Number || v.Num < low || v.Num > high:
			violations[path] = fmt.Sprintf("must be a number from %g to %g", low, high)
		case whole && v.Raw != fmt.Sprint(v.Uint()):
			violations[path] = "must be a whole number"
		}
	}
	text("instance", instancePattern)
	text("service", namePattern)
	text("cell", namePattern)
	if v := doc.Get("address"); v.Type != gjson.String || CheckAddress(v.Str) != "" {
		violations["address"] = "must be an IP number and a port"
	}
	number("incarnation", 1, 1<<62, true, true)
	number("sequence", 1, 1<<62, true, true)
	number("warmth", 0, 1, false, false)
	number("occupancy", 0, 1e9, false, true)
	number("capacity", 0, 1e6, false, true)
	number("interval_ms", 100, 60000, false, true)
	if v := doc.Get("leaving"); v.Exists() && !v.IsBool() {
		violations["leaving"] = "must be true or false"
	}
	seen := map[string]bool{}
	known := map[string]bool{
		"instance": true, "service": true, "cell": true, "address": true, "incarnation": true, "sequence": true,
		"warmth": true, "occupancy": true, "capacity": true, "interval_ms": true, "leaving": true,
	}
	doc.ForEach(func(k, _ gjson.Result) bool {
		if !known[k.String()] {
			violations[k.String()] = "is not known"
		}
		if seen[k.String()] {
			violations[k.String()] = "stands twice"
		}
		seen[k.String()] = true
		return true
	})
	if len(violations) > 0 {
		return t, violations
	}
	t.Warmth, t.IntervalMillis = 1, 2000
	if err := json.Unmarshal(raw, &t); err != nil {
		violations["(body)"] = err.Error()
	}
	return t, violations
}
