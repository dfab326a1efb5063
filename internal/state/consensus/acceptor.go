package consensus

import (
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// VoterSetKey is the register that holds the voter set itself.
const VoterSetKey ids.RegisterKey = "roster"

// Slot is what an acceptor keeps for each register.
type RegisterState struct {
	Promised ids.Ballot
	Accepted ids.Ballot
	Value    []byte
}

// Storage is the disk as the machine reads it; writes go out as commands.
type Storage interface {
	// Fetch finds a record.
	Get(key ids.RegisterKey) ([]byte, bool)
	// After lists up to n records behind a key, in order.
	Scan(key ids.RegisterKey, n int) []event.Record
}

var _ = wire.Register(40, RegisterState{}) && wire.Register(41, VoterSet{})

// Acceptor votes. All that it says waits for the disk.
type Acceptor struct {
	out      *event.Outbox
	storage  Storage
	storeID  uint64
	voterSet VoterSet
	// ahead holds what is on its way to the disk, by the turn that syncs it.
	unsynced  map[ids.RegisterKey]unsyncedRecord
	lastBatch uint64
	// registers are those at hand, damaged tells of one that can't be read.
	registers map[ids.RegisterKey]*register
	damaged   bool
	diskState diskStateRecord
	changes   changeLog
}

type unsyncedRecord struct {
	raw   []byte
	batch uint64
}

const registerPrefix = "item/"

// NewAcceptor takes up where the disk left off.
func NewAcceptor(store uint64, storage Storage, out *event.Outbox) *Acceptor {
	a := &Acceptor{out: out, storage: storage, storeID: store, unsynced: map[ids.RegisterKey]unsyncedRecord{}, registers: map[ids.RegisterKey]*register{}}
	if raw, ok := storage.Get("meta/roster"); ok {
		a.voterSet, _ = decodeMessage[VoterSet](raw)
	}
	if err := CheckDisk(storage); err != nil {
		a.damaged = true
		out.Log(event.LevelError, "registers unreadable, taking no part", "error", err.Error())
	}
	a.loadDiskState()
	return a
}

func decodeMessage[T any](raw []byte) (T, bool) {
	_, msg, err := wire.ReadBytes(raw)
	t, ok := msg.(T)
	return t, ok && err == nil
}

func (a *Acceptor) rawRecord(key ids.RegisterKey) []byte {
	if w, ok := a.unsynced[key]; ok {
		return w.raw
	}
	raw, _ := a.storage.Get(key)
	return raw
}

func (a *Acceptor) registerState(key ids.RegisterKey) RegisterState {
	if !isIdempotencyKey(key) {
		return a.cachedRegister(key).RegisterState
	}
	s, _ := decodeMessage[RegisterState](a.rawRecord(registerPrefix + key))
	return s
}

// keep syncs a record, and only then lets the commands out.
func (a *Acceptor) persist(key ids.RegisterKey, msg any, then ...event.Command) {
	raw, err := wire.Encode(msg)
	if err != nil {
		a.out.Log(event.LevelError, "record not kept", "key", string(key), "error", err.Error())
		return
	}
	a.lastBatch++
	a.unsynced[key] = unsyncedRecord{raw, a.lastBatch}
	a.changes.add(key)
	a.out.Emit(event.Sync{Batch: a.lastBatch, Records: []event.Record{{Key: key, Value: raw}}, After: then})
}

// Behind lets a command out only after all that was asked of the disk so far,
// since it may speak of values not yet synced.
func (a *Acceptor) AfterSync(c event.Command) {
	a.lastBatch++
	a.out.Emit(event.Sync{Batch: a.lastBatch, After: []event.Command{c}})
}

// Settled forgets what the disk now has.
func (a *Acceptor) Synced(turn uint64) {
	for k, w := range a.unsynced {
		if w.batch <= turn {
			delete(a.unsynced, k)
		}
	}
}

// Adopt takes a higher voter set; lower ones are rejected from then on.
func (a *Acceptor) AdoptVoterSet(r VoterSet) bool {
	if r.Number <= a.voterSet.Number {
		return false
	}
	a.updateDiskState(r)
	a.voterSet = r
	a.persist("meta/roster", r)
	return true
}

// abstains answers one who goes by a lower voter set, and takes no part.
func (a *Acceptor) abstains(from ids.Address, number uint64) bool {
	if number < a.voterSet.Number {
		a.AfterSync(event.Send{To: from, Msg: VoterSetUpdate{a.voterSet}})
		return true
	}
	// One that hasn't heard of the voter set yet, isn't in it or has not copied
	// what was agreed before it came can't vote, nor can one that can't read what
	// it voted for.
	return a.damaged || number > a.voterSet.Number || !a.MayVote()
}

// HandlePrepare promises, or tells of a higher promise.
func (a *Acceptor) HandlePrepare(from ids.Address, m Prepare) {
	if a.abstains(from, m.VoterSetNumber) {
		return
	}
	s := a.registerState(m.Key)
	p := Promise{
		Key: m.Key, Store: a.storeID, Round: m.Round, VoterSetNumber: m.VoterSetNumber,
		Promised: s.Promised, Accepted: s.Accepted, Value: s.Value, ReadsDeltas: len(s.Value) >= minDeltaValueSize,
	}
	if !m.KnownBallot.IsZero() && m.KnownBallot == s.Accepted {
		p.Value, p.MatchesKnown = nil, true
	}
	if m.ReadOnly || !s.Promised.Less(m.Ballot) {
		a.AfterSync(event.Send{To: from, Msg: p})
		return
	}
	s.Promised, p.Promised = m.Ballot, m.Ballot
	a.saveRegister(m.Key, s, event.Send{To: from, Msg: p})
}

// HandleAccept keeps a value unless a higher ballot was promised.
func (a *Acceptor) HandleAccept(from ids.Address, m Accept) {
	if a.abstains(from, m.VoterSetNumber) {
		return
	}
	s := a.registerState(m.Key)
	// One that was taken before may come again, after the promise to Next.
	ok := !m.Ballot.Less(s.Promised) || s.Accepted == m.Ballot
	if m.FirstValue {
		ok = (s.Promised.IsZero() && s.Accepted.IsZero()) || s.Accepted == m.Ballot
	}
	w := Accepted{Key: m.Key, Store: a.storeID, Round: m.Round, VoterSetNumber: m.VoterSetNumber, OK: ok, Promised: s.Promised, ReadsDeltas: len(m.Value) >= minDeltaValueSize}
	if !ok {
		a.AfterSync(event.Send{To: from, Msg: w})
		return
	}
	if s.Accepted == m.Ballot {
		a.AfterSync(event.Send{To: from, Msg: w})
		return
	}
	s.Promised, s.Accepted, s.Value = maxBallot(m.Ballot, m.NextBallot), m.Ballot, m.Value
	w.Promised = s.Promised
	a.saveRegister(m.Key, s, event.Send{To: from, Msg: w})
}

// VoterSet gives the voter set in force here.
func (a *Acceptor) VoterSet() VoterSet { return a.voterSet }

// Store gives this acceptor's store id.
func (a *Acceptor) StoreID() uint64 { return a.storeID }

// AcceptedValue gives what this copy holds, chosen or not; for --local reads alone.
func (a *Acceptor) AcceptedValue(key ids.RegisterKey) (ids.Ballot, []byte) {
	s := a.registerState(key)
	return s.Accepted, s.Value
}

// Plant gives a founding member the value that its founder begins with.
func (a *Acceptor) Seed(key ids.RegisterKey, value []byte) {
	if s := a.registerState(key); s.Accepted.IsZero() {
		b := ids.Ballot{Counter: 1}
		a.saveRegister(key, RegisterState{Promised: maxBallot(b, s.Promised), Accepted: b, Value: value})
	}
}

// Note keeps something beside the registers.
func (a *Acceptor) Persist(key ids.RegisterKey, msg any) { a.persist(key, msg) }

// Raise puts a value above all that this copy holds. Only a refounding may,
// where this store alone is a majority.
func (a *Acceptor) ForceValue(key ids.RegisterKey, value []byte) {
	s := a.registerState(key)
	b := ids.Ballot{Counter: max(s.Promised.Counter, s.Accepted.Counter) + 1, Proposer: a.storeID << 24}
	a.saveRegister(key, RegisterState{Promised: b, Accepted: b, Value: value})
}

func maxBallot(a, b ids.Ballot) ids.Ballot {
	if a.Less(b) {
		return b
	}
	return a
}
