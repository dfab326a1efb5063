package consensus

import (
	"strings"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Storage is the disk as an acceptor reads it. Writes go out as event.Sync commands.
type Storage interface {
	// Get returns the record of a key and whether there is one.
	Get(key ids.RegisterKey) ([]byte, bool)
	// Scan returns up to n records with keys above the given one, in order of keys: changes
	// to registers ("diff/...") and registers ("item/..."). Records behind these, which
	// are the "meta/..." ones, are never among them.
	Scan(key ids.RegisterKey, n int) []event.Record
}

// RegisterState is what an acceptor holds of a register.
type RegisterState struct {
	// Promised is the highest ballot that was promised.
	Promised ids.Ballot
	// Accepted is the ballot under which Value was accepted, zero if nothing was.
	Accepted ids.Ballot
	Value    []byte
}

var _ = wire.Register(40, RegisterState{})

// Keys of the records on disk. They are stored data and must keep their form.
const (
	registerPrefix    = "item/"
	voterSetRecordKey = "meta/roster"
)

// unsyncedRecord is a record that is on its way to the disk in a batch.
type unsyncedRecord struct {
	raw   []byte
	batch uint64
}

// isIdempotencyKey reports whether a register holds the record of an idempotency key.
// There are many of them, all small and short-lived.
func isIdempotencyKey(key ids.RegisterKey) bool {
	const prefix = "mark/"
	return len(key) > len(prefix) && strings.HasPrefix(string(key), prefix)
}

// decodeMessage decodes a message and reports whether it is a whole one of that type.
func decodeMessage[T any](raw []byte) (T, bool) {
	_, msg, err := wire.ReadBytes(raw)
	t, ok := msg.(T)
	return t, ok && err == nil
}

// Persist writes a record that is no register, such as a BootstrapRecord.
func (a *Acceptor) Persist(key ids.RegisterKey, msg any) { a.persist(key, msg) }

// persist syncs a record to disk and only then carries out the commands.
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

// AfterSync carries out a command once all that was written so far is on disk, as the
// command may reveal it.
func (a *Acceptor) AfterSync(c event.Command) {
	a.lastBatch++
	a.out.Emit(event.Sync{Batch: a.lastBatch, After: []event.Command{c}})
}

// Synced notes that all batches up to the given one are on disk.
func (a *Acceptor) Synced(batch uint64) {
	for key, record := range a.unsynced {
		if record.batch <= batch {
			delete(a.unsynced, key)
		}
	}
}

// rawRecord returns a record as last written, whether or not it is on disk yet.
func (a *Acceptor) rawRecord(key ids.RegisterKey) []byte {
	if record, ok := a.unsynced[key]; ok {
		return record.raw
	}
	raw, _ := a.storage.Get(key)
	return raw
}

// registerState returns the state of any register, zero for one that isn't used yet.
func (a *Acceptor) registerState(key ids.RegisterKey) RegisterState {
	if !isIdempotencyKey(key) {
		return a.cachedRegister(key).RegisterState
	}
	state, _ := decodeMessage[RegisterState](a.rawRecord(registerPrefix + key))
	return state
}

// cachedRegister returns a register other than an idempotency key, and reads it from
// disk the first time.
func (a *Acceptor) cachedRegister(key ids.RegisterKey) *storedRegister {
	if r := a.registers[key]; r != nil {
		return r
	}
	r, err := loadRegister(a.storage, key)
	if err != nil {
		// CheckDisk finds damage at the start; damage that arises later must stop the
		// votes as well.
		a.damaged = true
		a.out.Log(event.LevelError, EventRegisterUnreadable, "error", err.Error())
	}
	a.registers[key] = &r
	return &r
}

// saveRegister syncs a register's new state and only then carries out the commands.
func (a *Acceptor) saveRegister(key ids.RegisterKey, next RegisterState, after ...event.Command) {
	if isIdempotencyKey(key) {
		a.persist(registerPrefix+key, next, after...)
		return
	}
	records, err := a.cachedRegister(key).recordsFor(key, next)
	if err != nil {
		// The cached register may be ahead of the disk now.
		a.damaged = true
		a.out.Log(event.LevelError, EventRecordNotPersisted, "key", string(key), "error", err.Error())
		return
	}
	a.lastBatch++
	a.changedKeys.add(registerPrefix + key)
	a.out.Emit(event.Sync{Batch: a.lastBatch, Records: records, After: after})
}
