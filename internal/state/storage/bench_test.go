package storage

import (
	"fmt"
	"testing"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// BenchmarkWrite measures synced writes of one record and of a batch.
func BenchmarkWrite(b *testing.B) {
	for _, n := range []int{1, 16} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			database := openForTest(b, b.TempDir())
			value := make([]byte, 300)
			for i := range b.N {
				var records []event.Record
				for k := range n {
					records = append(records, event.Record{Key: ids.RegisterKey(fmt.Sprintf("item/mark/r/%d-%d", i, k)), Value: value})
				}
				if err := database.Write(records); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
