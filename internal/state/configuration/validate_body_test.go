package configuration

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// Names and prefixes in a Merge are checked only loosely; numbers and types are checked as in
// a Change.
func TestMergeCheck_ItemBodies(t *testing.T) {
	is := is.New(t)
	for body, want := range map[string]string{
		`{"prefix":"/","service":"S_1","repeatable":true}`:                                                         "",
		`{"prefix":"/v1/own/","service":"s","repeatable":true}`:                                                    "", // reserved paths are allowed
		`{"prefix":"/a b/%41/","service":"s","repeatable":true}`:                                                   "",
		`{"prefix":"","service":"s","repeatable":true}`:                                                            "prefix",
		`{"prefix":7,"service":"s","repeatable":true}`:                                                             "prefix",
		`{"prefix":"/a/","service":7,"repeatable":true}`:                                                           "service",
		`{"prefix":"/a/","service":"s"}`:                                                                           "repeatable",
		`{"prefix":"/a/","service":"s","repeatable":"yes"}`:                                                        "repeatable",
		`{"prefix":"/a/","service":"s","repeatable":true,"single":1}`:                                              "single",
		`{"prefix":"/a/","service":"s","repeatable":true,"host":"a b"}`:                                            "host",
		`{"prefix":"/a/","service":"s","repeatable":true,"attempts":0}`:                                            "attempts",
		`{"prefix":"/a/","service":"s","repeatable":true,"attempts":1.5}`:                                          "attempts",
		`{"prefix":"/a/","service":"s","repeatable":true,"limit_ms":9}`:                                            "limit_ms",
		`{"prefix":"/a/","service":"s","repeatable":true,"goal_ms":660001}`:                                        "goal_ms",
		`{"prefix":"/a/","service":"s","repeatable":true,"homes":"north"}`:                                         "homes",
		`{"prefix":"/a/","service":"s","repeatable":true,"homes":[7]}`:                                             "homes.0",
		`{"prefix":"/a/","repeatable":true,"split":[]}`:                                                            "split",
		`{"prefix":"/a/","repeatable":true,"split":{}}`:                                                            "split",
		`{"prefix":"/a/","repeatable":true,"split":[{"service":"s","weight":-1},{"service":"t","weight":2}]}`:      "split.0.weight",
		`{"prefix":"/a/","repeatable":true,"split":[{"service":"s","weight":"1"}]}`:                                "split.0.weight",
		`{"prefix":"/a/","repeatable":true,"split":[{"service":"","weight":1}]}`:                                   "split.0.service",
		`{"prefix":"/a/","repeatable":true,"split":[{"service":"s","weight":1,"more":1}]}`:                         "split.0.more",
		`{"prefix":"/a/","repeatable":true,"split":[{"service":"s","weight":0.5},{"service":"t","weight":0.001}]}`: "",
	} {
		t.Run(body, func(t *testing.T) {
			violations := mergeOf(VersionedItem{Kind: "route", Name: "r", Version: 1, Body: json.RawMessage(body)}).Check()
			if want == "" && len(violations) > 0 || want != "" && (len(violations) == 0 || violations[0].Path != want) {
				t.Errorf("%s: got violations %v, want path %q", body, violations, want)
			}
		})
	}
	zone := VersionedItem{Kind: "cell", Name: "c", Version: 1, Body: json.RawMessage(`{"region":"North_1"}`)}
	is.Equal(len(mergeOf(zone).Check()), 0)
	zone.Body = json.RawMessage(`{"shut":"yes"}`)
	is.Equal(mergeOf(zone).Check(), []Violation{{"cell/c", "shut", "must be true or false"}})
}

// A route's timeout is at most ten minutes.
func TestMergeCheck_LongestRouteTimeout(t *testing.T) {
	is := is.New(t)
	violationsOf := func(timeoutMillis string) int {
		body := json.RawMessage(`{"prefix":"/a/","service":"s","repeatable":true,"limit_ms":` + timeoutMillis + `}`)
		return len(mergeOf(VersionedItem{Kind: "route", Name: "r", Version: 1, Body: body}).Check())
	}
	is.Equal(violationsOf("600000"), 0)
	is.Equal(violationsOf("600001"), 1)
}
