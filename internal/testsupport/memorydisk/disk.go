package memorydisk

import (
	"maps"
	"slices"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// registersEnd sorts after all keys that Scan returns: registers ("item/...") and their deltas
// ("diff/...").
const registersEnd ids.RegisterKey = "item0"

// Disk maps the key of each record to its value.
type Disk map[ids.RegisterKey][]byte

// Get returns a record's value, and whether the record exists.
func (d Disk) Get(key ids.RegisterKey) ([]byte, bool) {
	value, ok := d[key]
	return value, ok
}

// Scan returns the records of registers and of their deltas after a key, in key order, up to a
// limit.
func (d Disk) Scan(after ids.RegisterKey, limit int) []event.Record {
	var records []event.Record
	for _, key := range slices.Sorted(maps.Keys(d)) {
		if key > after && key < registersEnd && len(records) < limit {
			records = append(records, event.Record{Key: key, Value: d[key]})
		}
	}
	return records
}

// Write writes records, and removes those with Delete set.
func (d Disk) Write(records []event.Record) {
	for _, record := range records {
		if record.Delete {
			delete(d, record.Key)
		} else {
			d[record.Key] = record.Value
		}
	}
}
