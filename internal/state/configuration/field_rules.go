package configuration

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/tidwall/gjson"
)

// fieldType is the JSON type of a field in an item's body.
type fieldType int

const (
	integerField fieldType = iota
	numberField
	booleanField
	stringField
	listField
	objectField
)

// fieldRule describes the allowed values of one field in an item's body.
type fieldRule struct {
	path      string
	fieldType fieldType
	required  bool
	// minimum and maximum are inclusive bounds of a number.
	minimum, maximum float64
	// pattern must match a string; expected describes it in violations.
	pattern  *regexp.Regexp
	expected string
}

func integerRule(path string, minimum, maximum float64) fieldRule {
	return fieldRule{path: path, fieldType: integerField, minimum: minimum, maximum: maximum}
}

func numberRule(path string, minimum, maximum float64) fieldRule {
	return fieldRule{path: path, fieldType: numberField, minimum: minimum, maximum: maximum}
}

func booleanRule(path string) fieldRule { return fieldRule{path: path, fieldType: booleanField} }

func stringRule(path string, pattern *regexp.Regexp, expected string) fieldRule {
	return fieldRule{path: path, fieldType: stringField, pattern: pattern, expected: expected}
}

func listRule(path string) fieldRule { return fieldRule{path: path, fieldType: listField} }

func objectRule(path string) fieldRule { return fieldRule{path: path, fieldType: objectField} }

func required(rule fieldRule) fieldRule {
	rule.required = true
	return rule
}

var (
	namePattern     = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	prefixPattern   = regexp.MustCompile(`^/[A-Za-z0-9._~/-]{0,255}$`)
	hostPattern     = regexp.MustCompile(`^[A-Za-z0-9._:\[\]-]{1,255}$`)
	changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)
)

const nameDescription = "lower-case letters, digits and inner dashes, 63 at most"

// fieldRules lists the fields that operators may set, by kind of item. The fields are
// documented at Service, Route, Zone and Limits.
var fieldRules = map[string][]fieldRule{
	kindService: {
		integerRule("tier", 0, 9),
		integerRule("capacity", 1, 100000),
		integerRule("warm_ms", 0, 600000),
		integerRule("allowance", 0, 1000),
		numberRule("warm_rate", 0, 1e6),
		integerRule("circuits", 0, 1e6),
	},
	kindRoute: {
		required(stringRule("prefix", prefixPattern, "a path that starts with /")),
		stringRule("service", namePattern, nameDescription),
		stringRule("host", hostPattern, "a host's name or IP number"),
		listRule("split"),
		booleanRule("single"),
		integerRule("goal_ms", 0, 660000),
		integerRule("attempts", 1, 100),
		listRule("homes"),
		integerRule("tier", 0, 9),
		required(booleanRule("repeatable")),
		integerRule("limit_ms", 10, 600000),
		integerRule("max_body", 0, 4<<20),
	},
	kindZone: {
		stringRule("region", namePattern, nameDescription),
		numberRule("target", 1, 1e9),
		numberRule("acceptable", 1, 1e9),
		numberRule("maximum", 1, 1e9),
		booleanRule("emptied"),
		booleanRule("shut"),
		objectRule("distances"),
	},
	kindLimits: {
		integerRule("max_header", 1024, 1<<24),
		integerRule("max_body", 0, 1<<31),
		integerRule("header_ms", 100, 600000),
		integerRule("idle_ms", 100, 3600000),
	},
}

// check reports the violations of a field's value.
func (f fieldRule) check(v gjson.Result, report ReportFunc) {
	switch f.fieldType {
	case integerField, numberField:
		f.checkNumber(v, report)
	case booleanField:
		if v.Type != gjson.True && v.Type != gjson.False {
			report(f.path, "must be true or false")
		}
	case stringField:
		f.checkString(v, report)
	case listField:
		if !v.IsArray() {
			report(f.path, "must be a list")
		}
	case objectField:
		if !v.IsObject() {
			report(f.path, "must be an object")
		}
	}
}

func (f fieldRule) checkNumber(v gjson.Result, report ReportFunc) {
	isInteger := f.fieldType == integerField
	switch {
	case v.Type != gjson.Number:
		report(f.path, "must be a number")
	case v.Num < f.minimum || v.Num > f.maximum:
		report(f.path, fmt.Sprintf("must be from %g to %g", f.minimum, f.maximum))
	case isInteger && v.Num != float64(int64(v.Num)):
		report(f.path, "must be a whole number")
	// encoding/json doesn't decode numbers such as 1e2 into an integer.
	case isInteger && strings.ContainsAny(v.Raw, ".eE"):
		report(f.path, "must be written as a whole number")
	}
}

func (f fieldRule) checkString(v gjson.Result, report ReportFunc) {
	switch {
	case v.Type != gjson.String:
		report(f.path, "must be a string")
	case !f.pattern.MatchString(v.Str):
		report(f.path, "must be "+f.expected)
	case f.path == "prefix" && isReservedPath(v.Str):
		report(f.path, "is kept for the daemons' own pages")
	}
}

// isReservedPath reports whether a path is one of the daemons' own endpoints, which every
// proxy serves.
func isReservedPath(path string) bool {
	for _, reserved := range []string{"/v1", "/healthz", "/readyz", "/metrics", "/.well-known"} {
		if path == reserved || strings.HasPrefix(path, reserved+"/") {
			return true
		}
	}
	return false
}
