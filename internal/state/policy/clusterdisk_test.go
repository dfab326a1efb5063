package policy_test

import (
	"maps"
	"slices"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// diskMemory is a disk: what was synced outlives its process.
type diskMemory map[ids.Key][]byte

func (m diskMemory) Get(k ids.Key) ([]byte, bool) { v, ok := m[k]; return v, ok }

func (m diskMemory) Scan(after ids.Key, n int) []event.Record {
	var list []event.Record
	for _, k := range slices.Sorted(maps.Keys(m)) {
		if k > after && k < "item0" && len(list) < n {
			list = append(list, event.Record{Key: k, Value: m[k]})
		}
	}
	return list
}

func (m diskMemory) write(list []event.Record) {
	for _, r := range list {
		if r.Delete {
			delete(m, r.Key)
		} else {
			m[r.Key] = r.Value
		}
	}
}
