package consensus

import (
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/transport/wire"
)

// DiskState is what a store's disk says of the store's right to vote. Every disk begins
// Blank and gives no vote, whatever the voter set says, until it is Complete.
type DiskState uint8

const (
	// Blank means that not all registers, or none, were copied to this disk. (A Hello's
	// Blank says less: that the store knows no voter set.)
	Blank DiskState = iota
	// Complete means that this disk holds all that was agreed before its first vote.
	Complete
	// Replaced means that another store took this one's place. The disk never votes
	// again, and only serves pages while the other's copy may be incomplete.
	Replaced
)

// diskStateRecord is the record of a DiskState on disk.
type diskStateRecord struct{ State uint8 }

// diskStateKey is the key of that record, which is stored data and must keep its form.
const diskStateKey = "meta/standing"

var _ = wire.RegisterNamed(44, "consensus.standing", diskStateRecord{})

// loadDiskState reads the state from disk. A disk of a version without this record is
// complete if it is a voter, since voters of that version copied before they joined.
func (a *Acceptor) loadDiskState() {
	if raw, ok := a.storage.Get(diskStateKey); ok {
		a.diskState, _ = decodeMessage[diskStateRecord](raw)
		return
	}
	if a.isVoterIn(a.voterSet) {
		a.diskState = diskStateRecord{uint8(Complete)}
	}
}

// ReadDiskState reads the state from a store's disk; false where it has no such record.
func ReadDiskState(disk Storage) (DiskState, bool) {
	raw, ok := disk.Get(diskStateKey)
	if !ok {
		return Blank, false
	}
	record, ok := decodeMessage[diskStateRecord](raw)
	return DiskState(record.State), ok
}

// isVoterIn reports whether this store is a voter of a voter set, or was one before the
// set became joint.
func (a *Acceptor) isVoterIn(set VoterSet) bool {
	return VoterSet{Voters: set.Voters}.HasVoter(a.storeID)
}

// updateDiskState adapts the state to a voter set that is about to be adopted.
func (a *Acceptor) updateDiskState(next VoterSet) {
	switch {
	case a.voterSet.Number == 0 && a.DiskState() == Blank:
		// Written before the voter set, since a disk with a voter set but no state
		// counts as complete (loadDiskState).
		a.setDiskState(Blank)
	case a.DiskState() == Complete && !next.HasVoter(a.storeID):
		a.out.Log(event.LevelError, EventStoreReplaced)
		a.setDiskState(Replaced)
	}
}

func (a *Acceptor) setDiskState(state DiskState) {
	a.diskState = diskStateRecord{uint8(state)}
	a.persist(diskStateKey, a.diskState)
}

// DiskState returns the state of this store's disk.
func (a *Acceptor) DiskState() DiskState { return DiskState(a.diskState.State) }

// MarkComplete lets a store with a blank disk vote. The copied records were handed to
// the disk before, and every vote waits for the disk in turn.
func (a *Acceptor) MarkComplete() {
	if a.DiskState() == Blank {
		a.setDiskState(Complete)
	}
}

// MayVote reports whether this store may vote and serve pages. A new voter of a joint
// voter set votes at once, since a majority of the old voters must agree as well.
func (a *Acceptor) MayVote() bool {
	switch a.DiskState() {
	case Complete:
		return a.voterSet.HasVoter(a.storeID)
	case Blank:
		return a.voterSet.HasVoter(a.storeID) && !a.isVoterIn(a.voterSet)
	default:
		return false
	}
}

// mayServePages reports whether a learner may copy from this store.
func (a *Acceptor) mayServePages() bool {
	replaced := a.DiskState() == Replaced && VoterSet{Voters: a.voterSet.Previous}.HasVoter(a.storeID)
	return a.MayVote() || replaced
}
