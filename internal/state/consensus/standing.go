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

// standing is the record of it.
type standing struct{ Standing uint8 }

const standingKey = "meta/standing"

var _ = wire.Register(44, standing{})

// loadStanding reads it. A disk of before this record existed is complete
// where its voter set counts it as a voter.
func (a *Acceptor) loadStanding() {
	if raw, ok := a.storage.Get(standingKey); ok {
		a.standing, _ = unpack[standing](raw)
		return
	}
	if a.inVoters(a.voterSet) {
		a.standing = standing{uint8(Complete)}
	}
}

// ReadDiskState reads a disk's record of its standing; false where there is none.
func ReadDiskState(disk Storage) (DiskState, bool) {
	raw, ok := disk.Get(standingKey)
	if !ok {
		return Blank, false
	}
	s, ok := unpack[standing](raw)
	return DiskState(s.Standing), ok
}

func (a *Acceptor) inVoters(r VoterSet) bool {
	return VoterSet{Voters: r.Voters}.Has(a.store)
}

// changeStanding goes before a higher voter set is adopted.
func (a *Acceptor) changeStanding(next VoterSet) {
	switch {
	case a.voterSet.Number == 0 && a.DiskState() == Blank:
		// Written before the voter set, so that no disk holds the one without the other.
		a.setStanding(Blank)
	case a.DiskState() == Complete && !next.Has(a.store):
		a.out.Log(event.LevelError, "this store was replaced and takes no further part")
		a.setStanding(Replaced)
	}
}

func (a *Acceptor) setStanding(to DiskState) {
	a.standing = standing{uint8(to)}
	a.persist(standingKey, a.standing)
}

// DiskState gives this disk's right to vote.
func (a *Acceptor) DiskState() DiskState { return DiskState(a.standing.Standing) }

// MarkComplete lets this store vote. What it copied was asked of the disk
// before, and every vote waits for the disk in turn.
func (a *Acceptor) MarkComplete() {
	if a.DiskState() == Blank {
		a.setStanding(Complete)
	}
}

// MayVote tells whether this store may vote and be copied from. In a joint voter
// set a newcomer votes at once, since the majority of the old decides as well.
func (a *Acceptor) MayVote() bool {
	switch a.DiskState() {
	case Complete:
		return a.voterSet.Has(a.store)
	case Blank:
		return a.voterSet.Has(a.store) && !a.inVoters(a.voterSet)
	}
	return false
}

// mayServe tells whether a newcomer may copy from this store.
func (a *Acceptor) mayServe() bool {
	replaced := a.DiskState() == Replaced && VoterSet{Voters: a.voterSet.Previous}.Has(a.store)
	return a.MayVote() || replaced
}
