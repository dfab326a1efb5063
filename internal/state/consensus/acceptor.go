package consensus

import (
	"dunlinwell/internal/base/delta"
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// Acceptor is the acceptor of one store. It answers a request only after the state that
// the answer reports is on disk.
type Acceptor struct {
	out     *event.Outbox
	storage Storage
	// storeID is made together with the store's disk, so that a blank disk can't vote
	// as the one that it replaces.
	storeID  uint64
	voterSet VoterSet
	// unsynced holds the records of idempotency keys and of the acceptor itself that
	// are on their way to the disk.
	unsynced map[ids.RegisterKey]unsyncedRecord
	// lastBatch is the number of the last event.Sync that was emitted.
	lastBatch uint64
	// registers caches every register but idempotency keys that was used in this run,
	// including what is on its way to the disk.
	registers map[ids.RegisterKey]*storedRegister
	// damaged is set where a register can't be read. The acceptor then takes no part,
	// as it can't know what it promised.
	damaged   bool
	diskState diskStateRecord
	// changedKeys is what a learner needs to copy changes alone.
	changedKeys changedKeys
}

// NewAcceptor returns the acceptor of a store with the state that its disk holds.
func NewAcceptor(store uint64, storage Storage, out *event.Outbox) *Acceptor {
	a := &Acceptor{
		out: out, storage: storage, storeID: store,
		unsynced:  map[ids.RegisterKey]unsyncedRecord{},
		registers: map[ids.RegisterKey]*storedRegister{},
	}
	if raw, ok := storage.Get(voterSetRecordKey); ok {
		a.voterSet, _ = decodeMessage[VoterSet](raw)
	}
	if err := CheckDisk(storage); err != nil {
		a.damaged = true
		out.Log(event.LevelError, EventRegisterUnreadable, "error", err.Error())
	}
	a.loadDiskState()
	return a
}

// VoterSet returns the highest voter set that this acceptor knows.
func (a *Acceptor) VoterSet() VoterSet { return a.voterSet }

// StoreID returns the id of the acceptor's store.
func (a *Acceptor) StoreID() uint64 { return a.storeID }

// AcceptedValue returns what this acceptor alone holds, chosen or not, and the ballot
// that it was accepted under. Only reads that ask for the local copy may use it.
func (a *Acceptor) AcceptedValue(key ids.RegisterKey) (ids.Ballot, []byte) {
	state := a.registerState(key)
	return state.Accepted, state.Value
}

// AdoptVoterSet takes up a voter set if its number is higher than that of the one in
// force, and reports whether it was. Requests under lower ones are rejected from then on.
func (a *Acceptor) AdoptVoterSet(set VoterSet) bool {
	if set.Number <= a.voterSet.Number {
		return false
	}
	a.updateDiskState(set)
	a.voterSet = set
	a.persist(voterSetRecordKey, set)
	return true
}

// abstains reports whether this acceptor takes no part in a request under a voter set.
// The sender of a request under a lower one is sent the voter set in force.
func (a *Acceptor) abstains(from ids.Address, voterSetNumber uint64) bool {
	if voterSetNumber < a.voterSet.Number {
		a.AfterSync(event.Send{To: from, Message: VoterSetUpdate{a.voterSet}})
		return true
	}
	// An acceptor doesn't vote under a voter set that it doesn't know yet, nor before
	// its disk holds what was agreed earlier, nor if it can't read what it promised.
	return a.damaged || voterSetNumber > a.voterSet.Number || !a.MayVote()
}

// HandlePrepare promises the ballot, or answers with the higher one that was promised.
func (a *Acceptor) HandlePrepare(from ids.Address, m Prepare) {
	if a.abstains(from, m.VoterSetNumber) {
		return
	}
	state := a.registerState(m.Key)
	promise := Promise{
		Key: m.Key, Store: a.storeID, Round: m.Round, VoterSetNumber: m.VoterSetNumber,
		Promised: state.Promised, Accepted: state.Accepted, Value: state.Value,
		ReadsDeltas: len(state.Value) >= minDeltaValueSize,
	}
	if !m.KnownBallot.IsZero() && m.KnownBallot == state.Accepted {
		promise.Value, promise.MatchesKnown = nil, true
	}
	if m.ReadOnly || !state.Promised.Less(m.Ballot) {
		a.AfterSync(event.Send{To: from, Message: promise})
		return
	}
	state.Promised, promise.Promised = m.Ballot, m.Ballot
	a.saveRegister(m.Key, state, event.Send{To: from, Message: promise})
}

// HandleAccept accepts the value unless a higher ballot was promised.
func (a *Acceptor) HandleAccept(from ids.Address, m Accept) {
	if a.abstains(from, m.VoterSetNumber) {
		return
	}
	state := a.registerState(m.Key)
	// A duplicate may arrive after the promise to NextBallot, and is a vote still.
	duplicate := state.Accepted == m.Ballot
	ok := !m.Ballot.Less(state.Promised) || duplicate
	if m.FirstValue {
		ok = (state.Promised.IsZero() && state.Accepted.IsZero()) || duplicate
	}
	vote := Accepted{
		Key: m.Key, Store: a.storeID, Round: m.Round, VoterSetNumber: m.VoterSetNumber,
		OK: ok, Promised: state.Promised, ReadsDeltas: len(m.Value) >= minDeltaValueSize,
	}
	if !ok || duplicate {
		a.AfterSync(event.Send{To: from, Message: vote})
		return
	}
	state.Promised, state.Accepted, state.Value = m.Ballot.Max(m.NextBallot), m.Ballot, m.Value
	vote.Promised = state.Promised
	a.saveRegister(m.Key, state, event.Send{To: from, Message: vote})
}

// HandleAcceptDelta does as HandleAccept for the value that the delta leads to. An
// acceptor without the delta's base changes nothing and asks for the whole value.
func (a *Acceptor) HandleAcceptDelta(from ids.Address, m AcceptDelta) {
	if a.abstains(from, m.VoterSetNumber) {
		return
	}
	state := a.registerState(m.Key)
	accept := Accept{Key: m.Key, Ballot: m.Ballot, NextBallot: m.NextBallot, VoterSetNumber: m.VoterSetNumber, Round: m.Round}
	if state.Accepted == m.Ballot || m.Ballot.Less(state.Promised) {
		// A duplicate or a rejection: HandleAccept doesn't look at the value.
		a.HandleAccept(from, accept)
		return
	}
	var err error
	if state.Accepted == m.BaseBallot {
		accept.Value, err = delta.Apply(state.Value, m.Delta)
	}
	if state.Accepted != m.BaseBallot || err != nil {
		a.AfterSync(event.Send{To: from, Message: Accepted{
			Key: m.Key, Store: a.storeID, Round: m.Round, VoterSetNumber: m.VoterSetNumber,
			Promised: state.Promised, ReadsDeltas: true, NeedsWholeValue: true,
		}})
		return
	}
	a.HandleAccept(from, accept)
}

// Seed gives a register that has accepted nothing the value that a new cluster begins
// with. Every member of the first voter set does so for itself.
func (a *Acceptor) Seed(key ids.RegisterKey, value []byte) {
	state := a.registerState(key)
	if !state.Accepted.IsZero() {
		return
	}
	ballot := ids.Ballot{Counter: 1}
	a.saveRegister(key, RegisterState{Promised: ballot.Max(state.Promised), Accepted: ballot, Value: value})
}

// ForceValue accepts a value under a ballot above all that this acceptor has seen. It is
// safe only in the recovery of a cluster whose quorum is lost, where this store alone is
// a quorum.
func (a *Acceptor) ForceValue(key ids.RegisterKey, value []byte) {
	state := a.registerState(key)
	// The proposer id is that of this store's run 0 (package store makes them). Runs are
	// counted from 1, so no proposer uses it.
	ballot := ids.Ballot{
		Counter:  max(state.Promised.Counter, state.Accepted.Counter) + 1,
		Proposer: a.storeID << runNumberBits,
	}
	a.saveRegister(key, RegisterState{Promised: ballot, Accepted: ballot, Value: value})
}

// runNumberBits are the low bits of a proposer id that hold the number of the store's run.
const runNumberBits = 24
