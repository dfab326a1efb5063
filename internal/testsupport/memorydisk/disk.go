package memorydisk

import (
	"maps"
	"slices"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// afterRegisters sorts behind all keys that Scan gives: registers ("item/...") and changes to
// them ("diff/...").
const afterRegisters ids.RegisterKey = "item0"

// Disk holds the value of each record by its key.
type Disk map[ids.RegisterKey][]byte

// Get returns a record's value, and whether there is such a record.
func (d Disk) Get(key ids.RegisterKey) ([]byte, bool) {
	value, ok := d[key]
	return value, ok
}

// Scan returns the records of registers and of changes to them after a key, in order of their
// keys, up to a limit.
func (d Disk) Scan(after ids.RegisterKey, limit int) []event.Record {
	var records []event.Record
	for _, key := range slices.Sorted(maps.Keys(d)) {
		if key > after && key < afterRegisters && len(records) < limit {
			records = append(records, event.Record{Key: key, Value: d[key]})
		}
	}
	return records
}

// Write writes records, and removes those that are to be deleted.
func (d Disk) Write(records []event.Record) {
	for _, record := range records {
		if record.Delete {
			delete(d, record.Key)
		} else {
			d[record.Key] = record.Value
		}
	}
}
