package configuration_test

import (
	"maps"
	"slices"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// memoryDisk is a disk: what was synced outlives its process.
type memoryDisk map[ids.RegisterKey][]byte

func (m memoryDisk) Get(k ids.RegisterKey) ([]byte, bool) { v, ok := m[k]; return v, ok }

func (m memoryDisk) Scan(after ids.RegisterKey, n int) []event.Record {
	var list []event.Record
	for _, k := range slices.Sorted(maps.Keys(m)) {
		if k > after && k < "item0" && len(list) < n {
			list = append(list, event.Record{Key: k, Value: m[k]})
		}
	}
	return list
}

func (m memoryDisk) write(list []event.Record) {
	for _, r := range list {
		if r.Delete {
			delete(m, r.Key)
		} else {
			m[r.Key] = r.Value
		}
	}
}
