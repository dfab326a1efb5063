package configuration

import (
	"strconv"

	"github.com/tidwall/gjson"
)

// checkSplit checks a route's services: one, or a list of them by weight.
func checkSplit(doc gjson.Result, bad func(path, why string)) {
	split, service := doc.Get("split"), doc.Get("service")
	if !service.Exists() && !split.Exists() {
		bad("service", "is missing")
		return
	}
	sum := 0.0
	for i, s := range split.Array() {
		at := "split." + strconv.Itoa(i)
		if n := s.Get("service"); n.Type != gjson.String || n.Str == "" {
			bad(at+".service", "must be a service's name")
		}
		w := s.Get("weight")
		if w.Type != gjson.Number || w.Num < 0 || w.Num > 1e9 {
			bad(at+".weight", "must be a number from 0 to 1e9")
		}
		sum += w.Num
		CheckKeys(s, at, bad, "service", "weight")
	}
	if split.Exists() && sum <= 0 {
		bad("split", "must have weights that add up to more than 0")
	}
	for i, h := range doc.Get("homes").Array() {
		if h.Type != gjson.String || h.Str == "" {
			bad("homes."+strconv.Itoa(i), "must be a region's name")
		}
	}
}

// checkVersionedBody checks an item whose caller has its own rule for names and paths;
// numbers and types are ours.
func checkVersionedBody(kind, body string, bad func(path, why string)) {
	checkBody(kind, body, func(path, why string) {
		switch {
		case kind == "route" && (path == "prefix" || path == "service"):
			doc := gjson.Parse(body)
			if v := doc.Get(path); path == "prefix" && v.Type == gjson.String && len(v.Str) > 0 && v.Str[0] == '/' {
				return
			} else if path == "service" && (v.Type == gjson.String && v.Str != "" || doc.Get("split").Exists()) {
				return
			}
		case kind == "cell" && path == "region":
			return
		}
		bad(path, why)
	})
}
