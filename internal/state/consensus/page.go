package consensus

import (
	"maps"
	"slices"
	"strings"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// HandlePageRequest serves a newcomer; only members that know of its voter set may.
func (a *Acceptor) HandlePageRequest(from ids.Address, m PageRequest) {
	if m.VoterSetNumber != a.voterSet.Number {
		if m.VoterSetNumber < a.voterSet.Number {
			a.AfterSync(event.Send{To: from, Msg: VoterSetUpdate{a.voterSet}})
		}
		return
	}
	if a.damaged || !a.mayServePages() {
		return
	}
	if a.changes.covers(m.RunID, m.SinceChange) {
		a.sendChangedRecords(from, m)
		return
	}
	list := a.storage.Scan(registerPrefix+m.AfterKey, maxPageRecords)
	l := PageResponse{
		Store: a.storeID, VoterSetNumber: m.VoterSetNumber, PageNumber: m.PageNumber, Last: len(list) < maxPageRecords,
		RunID: a.changes.runID, ChangeCount: a.changes.total(),
	}
	// What is still on its way to the disk belongs in the page as well.
	rows := map[ids.RegisterKey][]byte{}
	for _, r := range list {
		rows[r.Key] = r.Value
	}
	for k, w := range a.unsynced {
		if strings.HasPrefix(string(k), registerPrefix) && k > registerPrefix+m.AfterKey && (l.Last || k <= list[len(list)-1].Key) {
			rows[k] = w.raw
		}
	}
	for key, r := range a.registers {
		if k := registerPrefix + key; r.hasBase && k > registerPrefix+m.AfterKey && (l.Last || k <= list[len(list)-1].Key) {
			rows[k] = nil
		}
	}
	for _, k := range slices.Sorted(maps.Keys(rows)) {
		if s, ok := a.pageRegisterState(k, rows[k]); ok {
			l.Records = append(l.Records, PageRecord{k[len(registerPrefix):], s.Accepted, s.Value})
		}
	}
	a.AfterSync(event.Send{To: from, Msg: l})
}

// pageRegisterState gives a register as it stands, with the changes behind its base.
func (a *Acceptor) pageRegisterState(k ids.RegisterKey, raw []byte) (RegisterState, bool) {
	if key := k[len(registerPrefix):]; !isIdempotencyKey(key) {
		return a.registerState(key), true
	}
	return decodeMessage[RegisterState](raw)
}

// MergeRecord takes a record that a newcomer copied, if its ballot is higher.
func (a *Acceptor) MergeRecord(l PageRecord) {
	s := a.registerState(l.Key)
	if !s.Accepted.Less(l.Accepted) {
		return
	}
	s.Accepted, s.Value = l.Accepted, l.Value
	if s.Promised.Less(l.Accepted) {
		s.Promised = l.Accepted
	}
	a.saveRegister(l.Key, s)
}
