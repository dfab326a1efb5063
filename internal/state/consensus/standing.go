package consensus

import (
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/transport/wire"
)

// DiskState is what a store's disk says of its right to vote. A store begins
// blank and may not vote, whatever a voter set says, until it is complete.
type DiskState uint8

const (
	// Blank: nothing was copied, or not everything.
	Blank DiskState = iota
	// Complete: this disk holds all that was agreed before it began to vote.
	Complete
	// Replaced: another took this disk's place. It never votes again, and only
	// hands over what it holds while the other's copy may be incomplete.
	Replaced
)

// diskStateRecord is the record of it.
type diskStateRecord struct{ State uint8 }

const diskStateKey = "meta/standing"

var _ = wire.Register(44, diskStateRecord{})

// loadDiskState reads it. A disk of before this record existed is complete
// where its voter set counts it as a voter.
func (a *Acceptor) loadDiskState() {
	if raw, ok := a.storage.Get(diskStateKey); ok {
		a.diskState, _ = decodeMessage[diskStateRecord](raw)
		return
	}
	if a.isVoterIn(a.voterSet) {
		a.diskState = diskStateRecord{uint8(Complete)}
	}
}

// ReadDiskState reads a disk's record of its standing; false where there is none.
func ReadDiskState(disk Storage) (DiskState, bool) {
	raw, ok := disk.Get(diskStateKey)
	if !ok {
		return Blank, false
	}
	s, ok := decodeMessage[diskStateRecord](raw)
	return DiskState(s.State), ok
}

func (a *Acceptor) isVoterIn(r VoterSet) bool {
	return VoterSet{Voters: r.Voters}.HasVoter(a.storeID)
}

// updateDiskState goes before a higher voter set is adopted.
func (a *Acceptor) updateDiskState(next VoterSet) {
	switch {
	case a.voterSet.Number == 0 && a.DiskState() == Blank:
		// Written before the voter set, so that no disk holds the one without the other.
		a.setDiskState(Blank)
	case a.DiskState() == Complete && !next.HasVoter(a.storeID):
		a.out.Log(event.LevelError, "this store was replaced and takes no further part")
		a.setDiskState(Replaced)
	}
}

func (a *Acceptor) setDiskState(to DiskState) {
	a.diskState = diskStateRecord{uint8(to)}
	a.persist(diskStateKey, a.diskState)
}

// DiskState gives this disk's right to vote.
func (a *Acceptor) DiskState() DiskState { return DiskState(a.diskState.State) }

// MarkComplete lets this store vote. What it copied was asked of the disk
// before, and every vote waits for the disk in turn.
func (a *Acceptor) MarkComplete() {
	if a.DiskState() == Blank {
		a.setDiskState(Complete)
	}
}

// MayVote tells whether this store may vote and be copied from. In a joint voter
// set a newcomer votes at once, since the majority of the old decides as well.
func (a *Acceptor) MayVote() bool {
	switch a.DiskState() {
	case Complete:
		return a.voterSet.HasVoter(a.storeID)
	case Blank:
		return a.voterSet.HasVoter(a.storeID) && !a.isVoterIn(a.voterSet)
	}
	return false
}

// mayServePages tells whether a newcomer may copy from this store.
func (a *Acceptor) mayServePages() bool {
	replaced := a.DiskState() == Replaced && VoterSet{Voters: a.voterSet.Previous}.HasVoter(a.storeID)
	return a.MayVote() || replaced
}
