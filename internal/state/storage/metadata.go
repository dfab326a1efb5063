package storage

import (
	"crypto/rand"
	"encoding/binary"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// The records of the database itself; each is a number of 8 bytes, big endian.
const (
	storeIDKey   = ids.RegisterKey("meta/store")
	runNumberKey = ids.RegisterKey("meta/run")
	uptimeKey    = ids.RegisterKey("meta/ran") // in milliseconds
)

// recordOpening reads the database's own numbers, makes the id of a new one, and
// counts this run.
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

// newStoreID makes a random id of 40 bits; ballots have 24 more for the run's number.
func newStoreID() (uint64, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[3:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(raw[:]), nil
}

// readNumber reads a number; 0 if there is none.
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
