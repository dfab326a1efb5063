package consensus

import (
	"strings"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Storage is an acceptor's read access to the disk. Writes are emitted as event.Sync.
type Storage interface {
	// Get returns the record of a key and whether it exists.
	Get(key ids.RegisterKey) ([]byte, bool)
	// Scan returns up to n records with keys above the given one, in key order. It covers
	// register changes ("diff/...") and registers ("item/..."), but not the metadata
	// records ("meta/...") that sort after them.
	Scan(key ids.RegisterKey, n int) []event.Record
}

// RegisterState is an acceptor's state for one register.
type RegisterState struct {
	// Promised is the highest promised ballot.
	Promised ids.Ballot
	// Accepted is the ballot under which Value was accepted, zero for none.
	Accepted ids.Ballot
	Value    []byte
}

var _ = wire.Register(40, RegisterState{})

// Keys of records on disk. Changing them makes existing data unreadable.
const (
	registerPrefix    = "item/"
	voterSetRecordKey = "meta/roster"
)

// unsyncedRecord is a record whose batch isn't on disk yet.
type unsyncedRecord struct {
	raw   []byte
	batch uint64
}

// isIdempotencyKey reports whether a register holds the record of an idempotency key.
// These registers are numerous and short-lived.
func isIdempotencyKey(key ids.RegisterKey) bool {
	const prefix = "mark/"
	return len(key) > len(prefix) && strings.HasPrefix(string(key), prefix)
}

// decodeMessage decodes a message and reports whether it is valid and of type T.
func decodeMessage[T any](raw []byte) (T, bool) {
	_, msg, err := wire.ReadBytes(raw)
	t, ok := msg.(T)
	return t, ok && err == nil
}

// Persist writes a record that isn't a register, such as a BootstrapRecord.
func (a *Acceptor) Persist(key ids.RegisterKey, msg any) { a.persist(key, msg) }

// persist syncs a record to disk, and runs the given commands afterwards.
func (a *Acceptor) persist(key ids.RegisterKey, msg any, after ...event.Command) {
	raw, err := wire.Encode(msg)
	if err != nil {
		a.out.Log(event.LevelError, EventRecordNotPersisted, "key", string(key), "error", err.Error())
		return
	}
	a.lastBatch++
	a.unsynced[key] = unsyncedRecord{raw, a.lastBatch}
	a.changedKeys.add(key)
	a.out.Emit(event.Sync{Batch: a.lastBatch, Records: []event.Record{{Key: key, Value: raw}}, After: after})
}

// AfterSync runs a command once all earlier writes are on disk, since the command may
// expose their state to other stores.
func (a *Acceptor) AfterSync(c event.Command) {
	a.lastBatch++
	a.out.Emit(event.Sync{Batch: a.lastBatch, After: []event.Command{c}})
}

// Synced records that all batches up to the given one are on disk.
func (a *Acceptor) Synced(batch uint64) {
	for key, record := range a.unsynced {
		if record.batch <= batch {
			delete(a.unsynced, key)
		}
	}
}

// rawRecord returns the latest version of a record, whether or not it is on disk yet.
func (a *Acceptor) rawRecord(key ids.RegisterKey) []byte {
	if record, ok := a.unsynced[key]; ok {
		return record.raw
	}
	raw, _ := a.storage.Get(key)
	return raw
}

// registerState returns the state of a register, zero if it was never written.
func (a *Acceptor) registerState(key ids.RegisterKey) RegisterState {
	if !isIdempotencyKey(key) {
		return a.cachedRegister(key).RegisterState
	}
	state, _ := decodeMessage[RegisterState](a.rawRecord(registerPrefix + key))
	return state
}

// cachedRegister returns a register that isn't an idempotency key, reading it from disk
// on first use.
func (a *Acceptor) cachedRegister(key ids.RegisterKey) *storedRegister {
	if r := a.registers[key]; r != nil {
		return r
	}
	r, err := loadRegister(a.storage, key)
	if err != nil {
		// NewAcceptor checks the disk at startup, but records can be damaged later too.
		a.damaged = true
		a.out.Log(event.LevelError, EventRegisterUnreadable, "error", err.Error())
	}
	a.registers[key] = &r
	return &r
}

// saveRegister syncs a register's new state to disk, and runs the given commands afterwards.
func (a *Acceptor) saveRegister(key ids.RegisterKey, next RegisterState, after ...event.Command) {
	if isIdempotencyKey(key) {
		a.persist(registerPrefix+key, next, after...)
		return
	}
	records, err := a.cachedRegister(key).advanceTo(key, next)
	if err != nil {
		// The cached register may now be ahead of the disk.
		a.damaged = true
		a.out.Log(event.LevelError, EventRecordNotPersisted, "key", string(key), "error", err.Error())
		return
	}
	a.lastBatch++
	a.changedKeys.add(registerPrefix + key)
	a.out.Emit(event.Sync{Batch: a.lastBatch, Records: records, After: after})
}
