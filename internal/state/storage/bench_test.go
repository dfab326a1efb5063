package storage

import (
	"fmt"
	"testing"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// BenchmarkWrite syncs one record, or many that waited together.
func BenchmarkWrite(b *testing.B) {
	for _, n := range []int{1, 16} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, err := Open(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			value := make([]byte, 300)
			for i := range b.N {
				var list []event.Record
				for k := range n {
					list = append(list, event.Record{Key: ids.RegisterKey(fmt.Sprintf("item/mark/r/%d-%d", i, k)), Value: value})
				}
				if err := s.Write(list); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
