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

// Values of fields that an announcement leaves out.
const (
	defaultWarmth         = 1
	defaultIntervalMillis = 2000
)

// Limits of the numbers in an announcement.
const (
	// maxCounter keeps incarnations and sequence numbers far from an overflow.
	maxCounter   = 1 << 62
	maxOccupancy = 1e9
	maxCapacity  = 1e6
	// minIntervalMillis keeps the heartbeats of one target from loading the registries.
	minIntervalMillis = 100
	// maxIntervalMillis bounds how long a dead target stays in use: three intervals.
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

// numberRule says what the number at a path must be like. Limits are inclusive.
type numberRule struct {
	path            string
	low, high       float64
	required, whole bool
}

var numberRules = []numberRule{
	{path: "incarnation", low: 1, high: maxCounter, required: true, whole: true},
	{path: "sequence", low: 1, high: maxCounter, required: true, whole: true},
	{path: "warmth", low: 0, high: 1},
	{path: "occupancy", low: 0, high: maxOccupancy, whole: true},
	{path: "capacity", low: 0, high: maxCapacity, whole: true},
	{path: "interval_ms", low: minIntervalMillis, high: maxIntervalMillis, whole: true},
}

// CheckAddress returns what is wrong with an IP address and port, or "" if nothing is.
func CheckAddress(s string) string {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		return "must be an IP number and a port"
	}
	return ""
}

// ParseAnnouncement reads and checks an announcement: a heartbeat of a target, as JSON. The second result has
// the violations by JSON path, and is empty if the announcement is valid; only then
// is the target of use.
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
	// violations holds what is wrong, by JSON path.
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

// checkNumber requires a number as its rule describes it.
func (c *announcementChecker) checkNumber(rule numberRule) {
	v := c.doc.Get(rule.path)
	switch {
	case !v.Exists() && !rule.required:
	case v.Type != gjson.Number || v.Num < rule.low || v.Num > rule.high:
		c.violations[rule.path] = fmt.Sprintf("must be a number from %g to %g", rule.low, rule.high)
	case rule.whole && v.Raw != strconv.FormatUint(v.Uint(), 10):
		c.violations[rule.path] = "must be a whole number"
	}
}

// checkKeys rejects keys that aren't known or occur more than once.
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
