package consensus

import (
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// register gives a register from memory, or from the disk the first time.
func (a *Acceptor) register(key ids.Key) *register {
	if r := a.registers[key]; r != nil {
		return r
	}
	r, err := loadRegister(a.storage, key)
	if err != nil {
		// CheckDisk finds this at the start. Whatever comes after must not vote.
		a.damaged = true
		a.out.Log("error", "register unreadable, taking no part", "problem", err.Error())
	}
	a.registers[key] = &r
	return &r
}

// save syncs a register's new state, and only then lets the commands out.
func (a *Acceptor) save(key ids.Key, next RegisterState, then ...event.Command) {
	if isIdempotencyKey(key) {
		a.persist(slotPrefix+key, next, then...)
		return
	}
	list, err := a.register(key).records(key, next)
	if err != nil {
		a.damaged = true
		a.out.Log("error", "record not kept", "key", string(key), "problem", err.Error())
		return
	}
	a.turn++
	a.changes.note(slotPrefix + key)
	a.out.Emit(event.Sync{Turn: a.turn, Records: list, Then: then})
}
