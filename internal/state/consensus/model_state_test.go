package consensus

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// The model: the real acceptors, proposers, copiers and voter set functions of
// three machines. What a test chooses is the order of all that happens.
//
// A reply is handled as soon as it is given: a proposer answers only with
// messages, which may be late by any time. Disks sync at once: an acceptor says
// nothing before, so a loss before a sync is a message that never came.

// constantRandom always falls the same way, so that a proposer has no hidden state.
type constantRandom struct{}

func (constantRandom) Uint64() uint64 { return 0x9e3779b97f4a7c15 }

// modelStore is one store.
type modelStore struct {
	event.Outbox
	disk      memoryDisk
	acceptor  *Acceptor
	proposer  *Proposer
	copier    Copier
	run       uint64
	now       ids.Time
	ticks     int
	joined    bool
	reported  bool
	hashCache uint64
}

func newModelStore(id uint64, d memoryDisk, run uint64) *modelStore {
	s := &modelStore{disk: d, run: run, now: 1}
	s.acceptor = NewAcceptor(id, d, &s.Outbox)
	s.acceptor.SetRunID(run)
	s.proposer = NewProposer(id<<24|run, s.acceptor.VoterSet, modelOps(), rand.New(constantRandom{}), &s.Outbox)
	return s
}

func modelOps() map[Op]ChangeFunc {
	ops := VoterSetOps()
	ops[opAppend] = appendArgOnce
	return ops
}

// clone copies a store; values are never changed in place and are shared.
func (s *modelStore) clone() *modelStore {
	c := &modelStore{disk: maps.Clone(s.disk), run: s.run, now: s.now, ticks: s.ticks, joined: s.joined, reported: s.reported}
	a := *s.acceptor
	a.out, a.storage, a.unsynced = &c.Outbox, c.disk, map[ids.RegisterKey]unsyncedRecord{}
	a.changes.keys = slices.Clone(a.changes.keys)
	a.registers = map[ids.RegisterKey]*register{}
	for k, r := range s.acceptor.registers {
		one := *r
		a.registers[k] = &one
	}
	c.acceptor = &a
	p := *s.proposer
	p.out, p.voterSet = &c.Outbox, a.VoterSet
	p.voterSet = c.acceptor.VoterSet
	p.promisedBallots, p.cachedValues = maps.Clone(p.promisedBallots), maps.Clone(p.cachedValues)
	p.promisedOrder = slices.Clone(p.promisedOrder)
	p.rounds = map[ids.RegisterKey]*round{}
	for k, r := range s.proposer.rounds {
		p.rounds[k] = cloneRound(r)
	}
	p.replicaTracker = clonePeers(s.proposer.replicaTracker)
	c.proposer = &p
	for id, from := range s.copier.sources {
		to := *from
		*c.copier.source(id) = to
	}
	return c
}

func clonePeers(from replicaTracker) replicaTracker {
	to := newReplicaTracker()
	for id, x := range from.peers {
		one := *x
		to.peers[id] = &one
	}
	to.chosen, to.mustRewrite = maps.Clone(from.chosen), maps.Clone(from.mustRewrite)
	for k, sent := range from.catchUpSentAt {
		to.catchUpSentAt[k] = maps.Clone(sent)
	}
	return to
}

func cloneRound(r *round) *round {
	c := *r
	c.promises, c.votes = maps.Clone(r.promises), maps.Clone(r.votes)
	list := func(in []*pendingRequest) (out []*pendingRequest) {
		for _, a := range in {
			b := *a
			out = append(out, &b)
		}
		return out
	}
	c.queued, c.batch = list(r.queued), list(r.batch)
	return &c
}

// hash sums up all of a store that may matter to what it does later.
func (s *modelStore) hash() uint64 {
	if s.hashCache != 0 {
		return s.hashCache
	}
	var b []byte
	number := func(list ...uint64) {
		for _, n := range list {
			b = binary.BigEndian.AppendUint64(b, n)
		}
	}
	text := func(t []byte) { number(uint64(len(t))); b = append(b, t...) }
	truth := func(list ...bool) {
		for _, t := range list {
			number(map[bool]uint64{true: 1}[t])
		}
	}
	ballot := func(x ids.Ballot) { number(x.Counter, x.Proposer) }
	for _, k := range slices.Sorted(maps.Keys(s.disk)) {
		text([]byte(k))
		text(s.disk[k])
	}
	a, p := s.acceptor, s.proposer
	number(a.storeID, a.voterSet.Number, uint64(a.diskState.State), a.changes.total(), s.run, uint64(s.ticks), p.highestCounter, p.lastRoundID)
	truth(s.joined, s.reported)
	for _, k := range slices.Sorted(maps.Keys(p.promisedBallots)) {
		text([]byte(k))
		ballot(p.promisedBallots[k].ballot)
	}
	for _, k := range slices.Sorted(maps.Keys(p.cachedValues)) {
		text([]byte(k))
		ballot(p.cachedValues[k].ballot)
	}
	for _, k := range slices.Sorted(maps.Keys(p.chosen)) {
		text([]byte(k))
		ballot(p.chosen[k].ballot)
		truth(p.mustRewrite[k])
		number(uint64(len(p.catchUpSentAt[k])))
	}
	for _, k := range slices.Sorted(maps.Keys(p.rounds)) {
		r := p.rounds[k]
		text([]byte(k))
		number(uint64(r.phase), r.id, r.minCounter, uint64(len(r.queued)), uint64(len(r.batch)))
		ballot(r.ballot)
		ballot(r.nextBallot)
		text(r.value)
		for _, id := range slices.Sorted(maps.Keys(r.promises)) {
			number(id)
			ballot(r.promises[id].Accepted)
		}
		for _, id := range slices.Sorted(maps.Keys(r.votes)) {
			number(id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.copier.sources)) {
		c := s.copier.sources[id]
		number(id, c.passVoterSet, c.runID, c.changeCount, c.lastPassVoterSet)
		truth(c.passRunning, c.fullPassDone)
	}
	h := fnv.New64a()
	h.Write(b)
	s.hashCache = h.Sum64() | 1
	return s.hashCache
}
