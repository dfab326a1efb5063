package consensus

import (
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/transport/wire"
)

// DiskState is the persistent state that determines whether a store may vote (MayVote). Every
// disk starts as Incomplete; even a store in the voter set withholds its vote until it is Complete.
type DiskState uint8

const (
	// Incomplete means that the registers haven't been fully copied to this disk. A
	// store with such a disk isn't blank (Hello.Blank) if it knows a voter set.
	Incomplete DiskState = iota
	// Complete means that this disk holds all values chosen before its first vote.
	Complete
	// Replaced means that another store replaced this one. The disk never votes again, and
	// only serves pages while the other store's copy may be incomplete.
	Replaced
)

// diskStateRecord is the on-disk record of a DiskState.
type diskStateRecord struct{ State uint8 }

// diskStateKey is the key of the diskStateRecord. Changing it makes existing data unreadable.
const diskStateKey = "meta/standing"

var _ = wire.RegisterNamed(44, "consensus.standing", diskStateRecord{})

// loadDiskState reads the state from disk. A disk written by a version without this record is
// complete if its store is a voter, since that version copied all registers before joining.
func (a *Acceptor) loadDiskState() {
	if raw, ok := a.storage.Get(diskStateKey); ok {
		a.diskState, _ = decodeMessage[diskStateRecord](raw)
		return
	}
	if a.isVoterIn(a.voterSet) {
		a.diskState = diskStateRecord{uint8(Complete)}
	}
}

// ReadDiskState reads the state from a store's disk, and reports whether it has a valid one.
func ReadDiskState(disk Storage) (DiskState, bool) {
	raw, ok := disk.Get(diskStateKey)
	if !ok {
		return Incomplete, false
	}
	record, ok := decodeMessage[diskStateRecord](raw)
	return DiskState(record.State), ok
}

// isVoterIn reports whether this store is in set.Voters. Incoming voters of a joint set don't
// count.
func (a *Acceptor) isVoterIn(set VoterSet) bool {
	return VoterSet{Voters: set.Voters}.HasVoter(a.storeID)
}

// updateDiskState updates the state for a voter set that is about to be adopted.
func (a *Acceptor) updateDiskState(next VoterSet) {
	switch {
	case a.voterSet.Number == 0 && a.DiskState() == Incomplete:
		// Write the state before the voter set, since a disk that has only a voter set
		// counts as complete (loadDiskState).
		a.setDiskState(Incomplete)
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

// MarkComplete allows a store with an incomplete disk to vote. The copied records were emitted for
// writing earlier, and every vote waits until all earlier writes are on disk.
func (a *Acceptor) MarkComplete() {
	if a.DiskState() == Incomplete {
		a.setDiskState(Complete)
	}
}

// MayVote reports whether this store may vote and serve pages. An incoming voter of a joint
// voter set may vote at once, since a quorum also needs a majority of the old voters.
func (a *Acceptor) MayVote() bool {
	switch a.DiskState() {
	case Complete:
		return a.voterSet.HasVoter(a.storeID)
	case Incomplete:
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
