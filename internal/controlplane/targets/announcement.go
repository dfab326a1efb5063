package targets

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
	"strconv"

	"github.com/tidwall/gjson"

	"dunlinwell/internal/base/jsoncheck"
)

// Default values of optional fields of an announcement.
const (
	defaultWarmth         = 1
	defaultIntervalMillis = 2000
)

// Limits of the numbers in an announcement.
const (
	// maxCounter prevents overflows of incarnations and sequence numbers.
	maxCounter   = 1 << 62
	maxOccupancy = 1e9
	maxCapacity  = 1e6
	// minIntervalMillis limits the load on the registries from the heartbeats of one target.
	minIntervalMillis = 100
	// maxIntervalMillis bounds how long a dead target remains in use (MaxMissedHeartbeats
	// intervals).
	maxIntervalMillis = 60000
)

// bodyPath is the path of a violation that concerns the announcement as a whole.
const bodyPath = "(body)"

var (
	instancePattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)
	namePattern     = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
)

// announcementKeys are the keys that an announcement may have.
var announcementKeys = map[string]bool{
	"instance": true, "service": true, "cell": true, "address": true, "incarnation": true, "sequence": true,
	"warmth": true, "occupancy": true, "capacity": true, "interval_ms": true, "leaving": true,
}

// numberRule specifies the valid values of the number at a path. Limits are inclusive.
type numberRule struct {
	path              string
	low, high         float64
	required, integer bool
}

var numberRules = []numberRule{
	{path: "incarnation", low: 1, high: maxCounter, required: true, integer: true},
	{path: "sequence", low: 1, high: maxCounter, required: true, integer: true},
	{path: "warmth", low: 0, high: 1},
	{path: "occupancy", low: 0, high: maxOccupancy, integer: true},
	{path: "capacity", low: 0, high: maxCapacity, integer: true},
	{path: "interval_ms", low: minIntervalMillis, high: maxIntervalMillis, integer: true},
}

// CheckAddress returns a description of what is wrong with an address, or "" if it is a valid IP
// address and port.
func CheckAddress(s string) string {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		return "must be an IP number and a port"
	}
	return ""
}

// ParseAnnouncement parses and validates an announcement, the heartbeat of a target in JSON. The
// second result holds the violations by JSON path; the target is only valid if it is empty.
func ParseAnnouncement(raw []byte) (Target, map[string]string) {
	var t Target
	c := announcementChecker{doc: gjson.ParseBytes(raw), violations: map[string]string{}}
	if !jsoncheck.Valid(raw) || !c.doc.IsObject() {
		c.violations[bodyPath] = "must be a JSON object"
		return t, c.violations
	}
	c.checkFields()
	c.checkKeys()
	if len(c.violations) > 0 {
		return t, c.violations
	}
	t.Warmth, t.IntervalMillis = defaultWarmth, defaultIntervalMillis
	if err := json.Unmarshal(raw, &t); err != nil {
		c.violations[bodyPath] = err.Error()
	}
	return t, c.violations
}

// announcementChecker collects the violations of one announcement.
type announcementChecker struct {
	doc gjson.Result
	// violations holds descriptions of the violations by JSON path.
	violations map[string]string
}

// checkFields checks the value of each known key.
func (c *announcementChecker) checkFields() {
	c.checkText("instance", instancePattern)
	c.checkText("service", namePattern)
	c.checkText("cell", namePattern)
	if v := c.doc.Get("address"); v.Type != gjson.String || CheckAddress(v.Str) != "" {
		c.violations["address"] = "must be an IP number and a port"
	}
	for _, rule := range numberRules {
		c.checkNumber(rule)
	}
	if v := c.doc.Get("leaving"); v.Exists() && !v.IsBool() {
		c.violations["leaving"] = "must be true or false"
	}
}

// checkText requires a string that matches a pattern.
func (c *announcementChecker) checkText(path string, pattern *regexp.Regexp) {
	if v := c.doc.Get(path); v.Type != gjson.String || !pattern.MatchString(v.Str) {
		c.violations[path] = "is missing or not a proper name"
	}
}

// checkNumber requires a number that satisfies a rule.
func (c *announcementChecker) checkNumber(rule numberRule) {
	v := c.doc.Get(rule.path)
	switch {
	case !v.Exists() && !rule.required:
	case v.Type != gjson.Number || v.Num < rule.low || v.Num > rule.high:
		c.violations[rule.path] = fmt.Sprintf("must be a number from %g to %g", rule.low, rule.high)
	case rule.integer && v.Raw != strconv.FormatUint(v.Uint(), 10):
		c.violations[rule.path] = "must be a whole number"
	}
}

// checkKeys rejects unknown and duplicate keys.
func (c *announcementChecker) checkKeys() {
	seen := map[string]bool{}
	c.doc.ForEach(func(k, _ gjson.Result) bool {
		key := k.String()
		if !announcementKeys[key] {
			c.violations[key] = "is not known"
		}
		if seen[key] {
			c.violations[key] = "stands twice"
		}
		seen[key] = true
		return true
	})
}
