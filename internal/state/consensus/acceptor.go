package consensus

import (
	"dunlinwell/internal/base/delta"
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// Acceptor is the Paxos acceptor of one store. It responds to a request only after the
// state that the response reports is on disk.
type Acceptor struct {
	out     *event.Outbox
	storage Storage
	// storeID is generated when the store's disk is created, so that an empty disk can't
	// vote under the ID of the disk that it replaces.
	storeID  uint64
	voterSet VoterSet
	// unsynced holds the records of idempotency keys and the acceptor's metadata
	// whose writes aren't on disk yet.
	unsynced map[ids.RegisterKey]unsyncedRecord
	// lastBatch is the batch number of the last emitted event.Sync.
	lastBatch uint64
	// registers caches every register used in this run, except idempotency keys. It
	// includes writes that aren't on disk yet.
	registers map[ids.RegisterKey]*storedRegister
	// damaged is set if a register can't be read. The acceptor then abstains, since it
	// doesn't know what it promised.
	damaged   bool
	diskState diskStateRecord
	// changedKeys lets a learner copy only the registers that changed.
	changedKeys changedKeys
}

// NewAcceptor returns the acceptor of a store, with its state loaded from disk.
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

// StoreID returns the ID of the acceptor's store.
func (a *Acceptor) StoreID() uint64 { return a.storeID }

// AcceptedValue returns the value that this acceptor accepted last and its ballot. The
// value may not be chosen, so only reads that ask for the local copy may use it.
func (a *Acceptor) AcceptedValue(key ids.RegisterKey) (ids.Ballot, []byte) {
	state := a.registerState(key)
	return state.Accepted, state.Value
}

// AdoptVoterSet adopts a voter set if its number is higher than the current one's, and
// reports whether it did. Requests under lower numbers are rejected from then on.
func (a *Acceptor) AdoptVoterSet(set VoterSet) bool {
	if set.Number <= a.voterSet.Number {
		return false
	}
	a.updateDiskState(set)
	a.voterSet = set
	a.persist(voterSetRecordKey, set)
	return true
}

// abstains reports whether this acceptor must not vote on a request under the given voter
// set. If that is outdated, it sends the current voter set to the requester.
func (a *Acceptor) abstains(from ids.Address, voterSetNumber uint64) bool {
	if voterSetNumber < a.voterSet.Number {
		a.AfterSync(event.Send{To: from, Message: VoterSetUpdate{a.voterSet}})
		return true
	}
	// An acceptor doesn't vote under a voter set that it doesn't know yet, before its
	// disk holds all earlier chosen values, or if it can't read its promises.
	return a.damaged || voterSetNumber > a.voterSet.Number || !a.MayVote()
}

// HandlePrepare promises the ballot, or responds with the higher ballot already promised.
func (a *Acceptor) HandlePrepare(from ids.Address, m Prepare) {
	if a.abstains(from, m.VoterSetNumber) {
		return
	}
	state := a.registerState(m.Key)
	promise := Promise{
		Key: m.Key, Store: a.storeID, Round: m.Round, VoterSetNumber: m.VoterSetNumber,
		Promised: state.Promised, Accepted: state.Accepted, Value: state.Value,
		SupportsDeltas: len(state.Value) >= minDeltaValueSize,
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
	// A duplicate may arrive after NextBallot was promised and still counts as a vote.
	duplicate := state.Accepted == m.Ballot
	ok := !m.Ballot.Less(state.Promised) || duplicate
	if m.FirstValue {
		ok = (state.Promised.IsZero() && state.Accepted.IsZero()) || duplicate
	}
	vote := Accepted{
		Key: m.Key, Store: a.storeID, Round: m.Round, VoterSetNumber: m.VoterSetNumber,
		OK: ok, Promised: state.Promised, SupportsDeltas: len(m.Value) >= minDeltaValueSize,
	}
	if !ok || duplicate {
		a.AfterSync(event.Send{To: from, Message: vote})
		return
	}
	state.Promised, state.Accepted, state.Value = m.Ballot.Max(m.NextBallot), m.Ballot, m.Value
	vote.Promised = state.Promised
	a.saveRegister(m.Key, state, event.Send{To: from, Message: vote})
}

// HandleAcceptDelta handles an Accept whose value is encoded as a delta. If the acceptor
// doesn't hold the delta's base, it changes nothing and requests the full value.
func (a *Acceptor) HandleAcceptDelta(from ids.Address, m AcceptDelta) {
	if a.abstains(from, m.VoterSetNumber) {
		return
	}
	state := a.registerState(m.Key)
	accept := Accept{Key: m.Key, Ballot: m.Ballot, NextBallot: m.NextBallot, VoterSetNumber: m.VoterSetNumber, Round: m.Round}
	if state.Accepted == m.Ballot || m.Ballot.Less(state.Promised) {
		// HandleAccept ignores the value of a duplicate or a rejected ballot.
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
			Promised: state.Promised, SupportsDeltas: true, NeedsFullValue: true,
		}})
		return
	}
	a.HandleAccept(from, accept)
}

// Seed sets a register that has accepted nothing to the initial value of a new cluster.
// Every member of the initial voter set calls it locally.
func (a *Acceptor) Seed(key ids.RegisterKey, value []byte) {
	state := a.registerState(key)
	if !state.Accepted.IsZero() {
		return
	}
	ballot := ids.Ballot{Counter: 1}
	a.saveRegister(key, RegisterState{Promised: ballot.Max(state.Promised), Accepted: ballot, Value: value})
}

// ForceValue accepts a value under a ballot above any that this acceptor has promised or
// accepted. It is safe only when recovering a cluster that lost its quorum, where this
// store alone forms the new quorum.
func (a *Acceptor) ForceValue(key ids.RegisterKey, value []byte) {
	state := a.registerState(key)
	// The proposer ID is that of run 0 of this store. Package store numbers runs from 1,
	// so no proposer uses it.
	ballot := ids.Ballot{
		Counter:  max(state.Promised.Counter, state.Accepted.Counter) + 1,
		Proposer: a.storeID << runNumberBits,
	}
	a.saveRegister(key, RegisterState{Promised: ballot, Accepted: ballot, Value: value})
}

// runNumberBits is the number of low bits of a proposer ID that hold the store's run number.
const runNumberBits = 24
