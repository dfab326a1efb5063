package store

import (
	"maps"
	"slices"
	"strings"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// memoryStorage is a disk that keeps records in memory. The tests write to it as soon
// as a sync is asked for.
type memoryStorage map[ids.RegisterKey][]byte

func (m memoryStorage) Get(key ids.RegisterKey) ([]byte, bool) {
	raw, ok := m[key]
	return raw, ok
}

func (m memoryStorage) Scan(after ids.RegisterKey, limit int) []event.Record {
	var records []event.Record
	for _, key := range slices.Sorted(maps.Keys(m)) {
		if key > after && strings.HasPrefix(string(key), "item/") && len(records) < limit {
			records = append(records, event.Record{Key: key, Value: m[key]})
		}
	}
	return records
}

// write carries out the records of a sync, removals too, as the real disk does.
func (m memoryStorage) write(records []event.Record) {
	for _, r := range records {
		if r.Delete {
			delete(m, r.Key)
			continue
		}
		m[r.Key] = r.Value
	}
}
