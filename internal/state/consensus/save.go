package consensus

import (
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// cachedRegister gives a register from memory, or from the disk the first time.
func (a *Acceptor) cachedRegister(key ids.RegisterKey) *register {
	if r := a.registers[key]; r != nil {
		return r
	}
	r, err := loadRegister(a.storage, key)
	if err != nil {
		// CheckDisk finds this at the start. Whatever comes after must not vote.
		a.damaged = true
		a.out.Log(event.LevelError, "register unreadable, taking no part", "error", err.Error())
	}
	a.registers[key] = &r
	return &r
}

// saveRegister syncs a register's new state, and only then lets the commands out.
func (a *Acceptor) saveRegister(key ids.RegisterKey, next RegisterState, then ...event.Command) {
	if isIdempotencyKey(key) {
		a.persist(registerPrefix+key, next, then...)
		return
	}
	list, err := a.cachedRegister(key).recordsFor(key, next)
	if err != nil {
		a.damaged = true
		a.out.Log(event.LevelError, "record not kept", "key", string(key), "error", err.Error())
		return
	}
	a.lastBatch++
	a.changes.add(registerPrefix + key)
	a.out.Emit(event.Sync{Batch: a.lastBatch, Records: list, After: then})
}
