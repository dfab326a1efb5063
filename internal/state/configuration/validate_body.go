package configuration

import (
	"strconv"

	"github.com/tidwall/gjson"
)

// checkBody validates the body of one item.
func checkBody(kind string, body string, report ReportFunc) {
	doc := gjson.Parse(body)
	if !doc.IsObject() {
		report("", "must be an object")
		return
	}
	known := map[string]bool{}
	for _, rule := range fieldRules[kind] {
		known[rule.path] = true
		value := doc.Get(rule.path)
		switch {
		case value.Exists():
			rule.check(value, report)
		case rule.required:
			report(rule.path, "is missing")
		}
	}
	doc.ForEach(func(key, _ gjson.Result) bool {
		if !known[key.String()] {
			report(key.String(), "is not known")
		}
		return true
	})
	switch kind {
	case kindZone:
		checkZone(doc, report)
	case kindRoute:
		checkRoute(doc, report)
	}
}

// checkZone validates a zone's distances and the order of its load levels.
func checkZone(doc gjson.Result, report ReportFunc) {
	doc.Get("distances").ForEach(func(key, distance gjson.Result) bool {
		path := "distances." + key.String()
		if !namePattern.MatchString(key.String()) {
			report(path, "must be named by "+nameDescription)
		}
		if distance.Type != gjson.Number || distance.Num < 0 || distance.Num > 100000 {
			report(path, "must be from 0 to 100000")
		}
		return true
	})
	target, acceptable, maximum := doc.Get("target"), doc.Get("acceptable"), doc.Get("maximum")
	if acceptable.Exists() && target.Exists() && acceptable.Num >= target.Num {
		report("acceptable", "must be below target")
	}
	if maximum.Exists() && target.Exists() && maximum.Num <= target.Num {
		report("maximum", "must be above target")
	}
	if (acceptable.Exists() || maximum.Exists()) && !target.Exists() {
		report("target", "is missing beside acceptable or maximum")
	}
}

// checkRoute validates a route's service or weighted services, and its home regions.
func checkRoute(doc gjson.Result, report ReportFunc) {
	split, service := doc.Get("split"), doc.Get("service")
	if !service.Exists() && !split.Exists() {
		report("service", "is missing")
		return
	}
	checkWeights(split, report)
	for i, region := range doc.Get("homes").Array() {
		if region.Type != gjson.String || region.Str == "" {
			report("homes."+strconv.Itoa(i), "must be a region's name")
		}
	}
}

// checkWeights validates the weighted services of a route, if it has any.
func checkWeights(split gjson.Result, report ReportFunc) {
	sum := 0.0
	for i, weighted := range split.Array() {
		path := "split." + strconv.Itoa(i)
		if name := weighted.Get("service"); name.Type != gjson.String || name.Str == "" {
			report(path+".service", "must be a service's name")
		}
		weight := weighted.Get("weight")
		if weight.Type != gjson.Number || weight.Num < 0 || weight.Num > 1e9 {
			report(path+".weight", "must be a number from 0 to 1e9")
		}
		sum += weight.Num
		CheckKeys(weighted, path, report, "service", "weight")
	}
	if split.Exists() && sum <= 0 {
		report("split", "must have weights that add up to more than 0")
	}
}

// checkVersionedBody validates the body of an item in a Merge. The names of services and
// regions and the prefixes follow the caller's own rules, so these are checked less
// strictly than in a Change.
func checkVersionedBody(kind, body string, report ReportFunc) {
	checkBody(kind, body, func(path, reason string) {
		if !isExemptInMerge(kind, path, gjson.Parse(body)) {
			report(path, reason)
		}
	})
}

// isExemptInMerge reports whether a violation at a path is ignored for an item in a Merge.
func isExemptInMerge(kind, path string, doc gjson.Result) bool {
	value := doc.Get(path)
	switch {
	case kind == kindRoute && path == "prefix":
		return value.Type == gjson.String && len(value.Str) > 0 && value.Str[0] == '/'
	case kind == kindRoute && path == "service":
		return value.Type == gjson.String && value.Str != "" || doc.Get("split").Exists()
	}
	return kind == kindZone && path == "region"
}
