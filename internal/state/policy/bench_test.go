package policy

import (
	"encoding/json"
	"fmt"
	"testing"
)

// BenchmarkMergeOne is one route's change of a policy of three thousand.
func BenchmarkMergeOne(b *testing.B) {
	list := []Given{givenService("wader", 1)}
	for i := range 3000 {
		list = append(list, givenRoute(fmt.Sprint("r", i), "wader", 1))
	}
	raw, _ := json.Marshal(merging(list...))
	old, _ := mergeOp(Key, nil, raw)
	one, _ := json.Marshal(merging(givenRoute("r7", "wader", 2)))
	b.ReportAllocs()
	for b.Loop() {
		mergeOp(Key, old, one)
	}
}
