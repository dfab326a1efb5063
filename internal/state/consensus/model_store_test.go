package consensus

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/memorydisk"
)

// The model runs the production acceptors, proposers, copiers and change functions of the voter
// set on three machines. The search chooses the order of all events.
//
// Responses are handled immediately: a proposer reacts to them only with messages, which may be
// delayed arbitrarily. Disks sync immediately: an acceptor sends nothing before the sync, so a
// loss before it is equivalent to a request that never arrived.

// constantRandom is a random source without state, so that it needn't be part of a state's hash.
type constantRandom struct{}

func (constantRandom) Uint64() uint64 { return 0x9e3779b97f4a7c15 }

// modelStore is a store and the part of the search state that belongs to its machine.
type modelStore struct {
	event.Outbox
	disk                 memorydisk.Disk
	acceptor             *Acceptor
	proposer             *Proposer
	copier               Copier
	run                  uint64
	now                  ids.Time
	ticks                int
	replacementRequested bool
	promotionRequested   bool
	hashCache            uint64
}

func newModelStore(id uint64, d memorydisk.Disk, run uint64) *modelStore {
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

// clone returns a copy of the store. The copies share values, which are never modified in place.
func (s *modelStore) clone() *modelStore {
	c := &modelStore{disk: maps.Clone(s.disk), run: s.run, now: s.now, ticks: s.ticks, replacementRequested: s.replacementRequested, promotionRequested: s.promotionRequested}
	a := *s.acceptor
	a.out, a.storage, a.unsynced = &c.Outbox, c.disk, map[ids.RegisterKey]unsyncedRecord{}
	a.changedKeys.keys = slices.Clone(a.changedKeys.keys)
	a.registers = map[ids.RegisterKey]*storedRegister{}
	for k, r := range s.acceptor.registers {
		copied := *r
		a.registers[k] = &copied
	}
	c.acceptor = &a
	p := *s.proposer
	p.out, p.voterSet = &c.Outbox, c.acceptor.VoterSet
	p.promisedBallots, p.cachedValues = maps.Clone(p.promisedBallots), maps.Clone(p.cachedValues)
	p.promisedOrder = slices.Clone(p.promisedOrder)
	p.rounds = map[ids.RegisterKey]*round{}
	for k, r := range s.proposer.rounds {
		p.rounds[k] = cloneRound(r)
	}
	p.replicaTracker = cloneReplicaTracker(s.proposer.replicaTracker)
	c.proposer = &p
	for id, from := range s.copier.sources {
		to := *from
		*c.copier.source(id) = to
	}
	return c
}

func cloneReplicaTracker(from replicaTracker) replicaTracker {
	to := newReplicaTracker()
	for id, x := range from.peers {
		copied := *x
		to.peers[id] = &copied
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
		for _, request := range in {
			copied := *request
			out = append(out, &copied)
		}
		return out
	}
	c.queued, c.batch = list(r.queued), list(r.batch)
	return &c
}

// stateEncoder encodes the state that a store's later behaviour may depend on.
type stateEncoder struct{ out []byte }

func (e *stateEncoder) numbers(list ...uint64) {
	for _, n := range list {
		e.out = binary.BigEndian.AppendUint64(e.out, n)
	}
}

func (e *stateEncoder) text(t []byte) {
	e.numbers(uint64(len(t)))
	e.out = append(e.out, t...)
}

func (e *stateEncoder) bools(list ...bool) {
	for _, flag := range list {
		e.numbers(map[bool]uint64{true: 1}[flag])
	}
}

func (e *stateEncoder) ballot(b ids.Ballot) { e.numbers(b.Counter, b.Proposer) }

// hash returns a hash of the state of the store and caches it.
func (s *modelStore) hash() uint64 {
	if s.hashCache != 0 {
		return s.hashCache
	}
	e := &stateEncoder{}
	for _, key := range slices.Sorted(maps.Keys(s.disk)) {
		e.text([]byte(key))
		e.text(s.disk[key])
	}
	a, p := s.acceptor, s.proposer
	e.numbers(a.storeID, a.voterSet.Number, uint64(a.diskState.State), a.changedKeys.total(), s.run, uint64(s.ticks), p.highestCounter, p.lastRoundID)
	e.bools(s.replacementRequested, s.promotionRequested)
	e.proposer(p)
	for _, id := range slices.Sorted(maps.Keys(s.copier.sources)) {
		source := s.copier.sources[id]
		e.numbers(id, source.passVoterSet, source.runID, source.changeCount, source.lastPassVoterSet)
		e.bools(source.passRunning, source.fullPassDone)
	}
	h := fnv.New64a()
	_, _ = h.Write(e.out) // a hash never fails
	s.hashCache = h.Sum64() | 1
	return s.hashCache
}

// proposer encodes the caches and rounds of a proposer.
func (e *stateEncoder) proposer(p *Proposer) {
	for _, key := range slices.Sorted(maps.Keys(p.promisedBallots)) {
		e.text([]byte(key))
		e.ballot(p.promisedBallots[key].ballot)
	}
	for _, key := range slices.Sorted(maps.Keys(p.cachedValues)) {
		e.text([]byte(key))
		e.ballot(p.cachedValues[key].ballot)
	}
	for _, key := range slices.Sorted(maps.Keys(p.chosen)) {
		e.text([]byte(key))
		e.ballot(p.chosen[key].ballot)
		e.bools(p.mustRewrite[key])
		e.numbers(uint64(len(p.catchUpSentAt[key])))
	}
	for _, key := range slices.Sorted(maps.Keys(p.rounds)) {
		r := p.rounds[key]
		e.text([]byte(key))
		e.numbers(uint64(r.phase), r.id, r.minCounter, uint64(len(r.queued)), uint64(len(r.batch)))
		e.ballot(r.ballot)
		e.ballot(r.nextBallot)
		e.text(r.value)
		for _, id := range slices.Sorted(maps.Keys(r.promises)) {
			e.numbers(id)
			e.ballot(r.promises[id].Accepted)
		}
		for _, id := range slices.Sorted(maps.Keys(r.votes)) {
			e.numbers(id)
		}
	}
}
