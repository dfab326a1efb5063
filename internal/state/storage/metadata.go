package storage

import (
	"crypto/rand"
	"encoding/binary"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// The keys of the database's metadata. Each value is an 8-byte big-endian number.
const (
	storeIDKey   = ids.RegisterKey("meta/store")
	runNumberKey = ids.RegisterKey("meta/run")
	uptimeKey    = ids.RegisterKey("meta/ran") // in milliseconds
)

// recordOpening loads the metadata, creates the store ID of a new database, and increments the
// run number.
func (d *Database) recordOpening() error {
	d.StoreID = d.readNumber(storeIDKey)
	d.RunNumber = d.readNumber(runNumberKey) + 1
	d.earlierUptimeMillis = int64(d.readNumber(uptimeKey))
	for d.StoreID == 0 {
		id, err := newStoreID()
		if err != nil {
			return err
		}
		d.StoreID = id
	}
	return d.Write([]event.Record{numberRecord(storeIDKey, d.StoreID), numberRecord(runNumberKey, d.RunNumber)})
}

// newStoreID returns a random 40-bit ID. A ballot has 24 more bits for the run number.
func newStoreID() (uint64, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[3:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(raw[:]), nil
}

// readNumber returns a number from the metadata, or 0 if it is missing.
func (d *Database) readNumber(key ids.RegisterKey) uint64 {
	raw, ok := d.Get(key)
	if !ok || len(raw) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(raw)
}

func numberRecord(key ids.RegisterKey, number uint64) event.Record {
	return event.Record{Key: key, Value: binary.BigEndian.AppendUint64(nil, number)}
}
