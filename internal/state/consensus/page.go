package consensus

import (
	"maps"
	"slices"
	"strings"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// Page serves a newcomer; only members that know of its voter set may.
func (a *Acceptor) Page(from ids.Address, m PageRequest) {
	if m.VoterSet != a.voterSet.Number {
		if m.VoterSet < a.voterSet.Number {
			a.AfterSync(event.Send{To: from, Msg: VoterSetUpdate{a.voterSet}})
		}
		return
	}
	if a.damaged || !a.mayServe() {
		return
	}
	if a.changes.covers(m.Epoch, m.Since) {
		a.sendChanges(from, m)
		return
	}
	list := a.storage.Scan(slotPrefix+m.After, recordsInPage)
	l := PageResponse{
		Store: a.store, VoterSet: m.VoterSet, Number: m.Number, Last: len(list) < recordsInPage,
		Epoch: a.changes.epoch, Changes: a.changes.count(),
	}
	// What is still on its way to the disk belongs in the page as well.
	rows := map[ids.RegisterKey][]byte{}
	for _, r := range list {
		rows[r.Key] = r.Value
	}
	for k, w := range a.unsynced {
		if strings.HasPrefix(string(k), slotPrefix) && k > slotPrefix+m.After && (l.Last || k <= list[len(list)-1].Key) {
			rows[k] = w.raw
		}
	}
	for key, r := range a.registers {
		if k := slotPrefix + key; r.onDisk && k > slotPrefix+m.After && (l.Last || k <= list[len(list)-1].Key) {
			rows[k] = nil
		}
	}
	for _, k := range slices.Sorted(maps.Keys(rows)) {
		if s, ok := a.pageState(k, rows[k]); ok {
			l.Records = append(l.Records, PageRecord{k[len(slotPrefix):], s.Accepted, s.Value})
		}
	}
	a.AfterSync(event.Send{To: from, Msg: l})
}

// pageState gives a register as it stands, with the changes behind its base.
func (a *Acceptor) pageState(k ids.RegisterKey, raw []byte) (RegisterState, bool) {
	if key := k[len(slotPrefix):]; !isIdempotencyKey(key) {
		return a.slot(key), true
	}
	return unpack[RegisterState](raw)
}

// Merge takes a record that a newcomer copied, if its ballot is higher.
func (a *Acceptor) Merge(l PageRecord) {
	s := a.slot(l.Key)
	if !s.Accepted.Less(l.Accepted) {
		return
	}
	s.Accepted, s.Value = l.Accepted, l.Value
	if s.Promised.Less(l.Accepted) {
		s.Promised = l.Accepted
	}
	a.save(l.Key, s)
}
