package configuration

import (
	"encoding/json"
	"fmt"
	"testing"
)

// BenchmarkMerge_OneRouteOfThousands is one route's change of a configuration of three thousand.
func BenchmarkMerge_OneRouteOfThousands(b *testing.B) {
	list := []VersionedItem{versionedService("wader", 1)}
	for i := range 3000 {
		list = append(list, versionedRoute(fmt.Sprint("r", i), "wader", 1))
	}
	raw, _ := json.Marshal(mergeOf(list...))
	old, _ := mergeOp(Key, nil, raw)
	one, _ := json.Marshal(mergeOf(versionedRoute("r7", "wader", 2)))
	b.ReportAllocs()
	for b.Loop() {
		mergeOp(Key, old, one)
	}
}
