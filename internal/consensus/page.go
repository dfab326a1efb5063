package consensus

import (
	"maps"
	"slices"
	"strings"

	"dunlinwell/internal/event"
	"dunlinwell/internal/ids"
)

// Page serves a newcomer; only members that know of its voter set may.
func (a *Acceptor) Page(from ids.Address, m PageRequest) {
	if m.VoterSet != a.voterSet.Number {
		if m.VoterSet < a.voterSet.Number {
			a.AfterSync(event.Send{To: from, Msg: VoterSetUpdate{a.voterSet}})
		}
		return
	}
	if !a.mayServe() {
		return
	}
	if a.changes.covers(m.Epoch, m.Since) {
		a.sendChanges(from, m)
		return
	}
	list := a.storage.Scan(slotPrefix+m.After, recordsInPage)
	l := PageResponse{Store: a.store, VoterSet: m.VoterSet, Number: m.Number, Last: len(list) < recordsInPage,
		Epoch: a.changes.epoch, Changes: a.changes.count()}
	// What is still on its way to the disk belongs in the page as well.
	rows := map[ids.Key][]byte{}
	for _, r := range list {
		rows[r.Key] = r.Value
	}
	for k, w := range a.unsynced {
		if strings.HasPrefix(string(k), slotPrefix) && k > slotPrefix+m.After && (l.Last || k <= list[len(list)-1].Key) {
			rows[k] = w.raw
		}
	}
	for _, k := range slices.Sorted(maps.Keys(rows)) {
		if s, ok := unpack[RegisterState](rows[k]); ok {
			l.Records = append(l.Records, PageRecord{k[len(slotPrefix):], s.Accepted, s.Value})
		}
	}
	a.AfterSync(event.Send{To: from, Msg: l})
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
	a.persist(slotPrefix+l.Key, s)
}
