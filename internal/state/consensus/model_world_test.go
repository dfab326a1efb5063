package consensus

import (
	"fmt"
	"hash/fnv"
	"slices"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// modelRequest is a question on its way; it may come late, or never.
type modelRequest struct {
	from, to int
	// run is the store and run that asked: an answer to an earlier one is lost.
	store, run uint64
	msg        any
	hash       uint64
	// old: it was sent before the search began, and stays on its way.
	beforeSearch bool
}

// modelVote records who took a value, and under which voter set.
type modelVote struct {
	key    ids.RegisterKey
	ballot ids.Ballot
	number uint64
	voters []Voter
	value  string
	stores []uint64
	chosen bool
}

// modelWorld is everything at one moment. States share what didn't change.
type modelWorld struct {
	stores    [3]*modelStore
	inTransit []modelRequest
	votes     []modelVote
	// sets are the voter sets agreed on so far, in order of their numbers.
	sets         []VoterSet
	acknowledged string
	lastID       uint64
	// lostDisk is the disk that a machine lost first, for one that is put back.
	lostDisk    memoryDisk
	lostID      uint64
	lostMachine int
	lostRun     uint64
	wipes       int
	crashes     int
	restores    int
	violation   string
	fault       modelFault
	// lastWasLoss tells that the last event was a loss.
	lastWasLoss     bool
	secondWriteSent bool
}

// modelFault is a mistake planted on purpose.
type modelFault struct {
	// votesEarly: a newcomer counts as complete after its first pass, whatever
	// voter set its source went by.
	completesEarly bool
	// votesBlank: a store that is in the voter set votes, copied or not.
	votesBlank bool
	// keepsID: a wiped store goes by the id of the one that was lost.
	keepsID bool
	// noSeal: acceptors go on voting under lower voter sets.
	votesUnderLowerSets bool
	// replacedVotes: a disk that was replaced counts as complete again.
	replacedVotes bool
}

func (w *modelWorld) ownStore(i int) *modelStore {
	c := w.stores[i].clone()
	w.stores[i] = c
	return c
}

func (w modelWorld) copy() *modelWorld {
	w.inTransit, w.votes, w.sets = slices.Clone(w.inTransit), slices.Clone(w.votes), slices.Clone(w.sets)
	return &w
}

func (w *modelWorld) hash() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, w.stores[0].hash(), " ", w.stores[1].hash(), " ", w.stores[2].hash(), w.wipes, w.crashes, w.restores, w.acknowledged, w.lastID, w.secondWriteSent)
	sum := h.Sum64()
	for _, p := range w.inTransit {
		sum += p.hash
	}
	for _, v := range w.votes {
		x := fnv.New64a()
		fmt.Fprint(x, v.key, v.ballot, v.number, v.stores)
		sum += x.Sum64() * 31
	}
	return sum
}

// run carries out what store i wants, to the end.
func (w *modelWorld) run(i int) {
	s := w.stores[i]
	list := s.Drain()
	for len(list) > 0 {
		c := list[0]
		list = list[1:]
		switch c := c.(type) {
		case event.Sync:
			s.disk.write(c.Records)
			s.acceptor.Synced(c.Batch)
			list = append(slices.Clone(c.After), list...)
		case event.Send:
			w.handleSend(i, c)
			list = append(list, s.Drain()...)
		}
	}
}

func (w *modelWorld) handleSend(i int, c event.Send) {
	s := w.stores[i]
	switch m := c.Msg.(type) {
	case Prepare, Accept:
		to := slices.Index(addresses, c.To)
		p := modelRequest{from: i, to: to, store: s.acceptor.storeID, run: s.run, msg: m}
		h := fnv.New64a()
		fmt.Fprint(h, p.from, p.to, p.store, p.run, p.msg)
		p.hash = h.Sum64()
		if !slices.ContainsFunc(w.inTransit, func(q modelRequest) bool { return q.hash == p.hash }) {
			w.inTransit = append(w.inTransit, p)
		}
	case Response:
		if m.Outcome != Succeeded {
			return
		}
		if set, ok := DecodeVoterSet(m.Result); ok {
			w.adopt(i, set)
			return
		}
		if c.To != "reader" {
			w.acknowledged += string(c.To)
		}
	}
}

// adopt is what a store does with a higher voter set.
func (w *modelWorld) adopt(i int, set VoterSet) {
	s := w.stores[i]
	if set.Number == uint64(len(w.sets))+1 {
		w.sets = append(w.sets, set)
	}
	if s.acceptor.AdoptVoterSet(set) {
		s.proposer.RestartRounds(s.now)
		w.run(i)
		if s.acceptor.DiskState() == Blank {
			w.completeIfDue(i)
		}
	}
}

// deliver hands a packet over, and the answer back to whoever asked.
func (w *modelWorld) deliver(n int) {
	p := w.inTransit[n]
	w.inTransit = slices.Delete(w.inTransit, n, n+1)
	s := w.ownStore(p.to)
	if w.fault.votesUnderLowerSets {
		defer func(set VoterSet) { s.acceptor.voterSet = set }(s.acceptor.voterSet)
		if number := askedUnder(p.msg); number < s.acceptor.voterSet.Number && number > 0 {
			s.acceptor.voterSet = w.sets[number-1]
		}
	}
	switch m := p.msg.(type) {
	case Prepare:
		s.acceptor.HandlePrepare(addresses[p.from], m)
	case Accept:
		s.acceptor.HandleAccept(addresses[p.from], m)
	}
	for _, c := range s.Drain() {
		y := c.(event.Sync)
		s.disk.write(y.Records)
		s.acceptor.Synced(y.Batch)
		for _, then := range y.After {
			w.answer(p, s, then.(event.Send).Msg)
		}
	}
}

func askedUnder(msg any) uint64 {
	switch m := msg.(type) {
	case Prepare:
		return m.VoterSetNumber
	case Accept:
		return m.VoterSetNumber
	}
	return 0
}

func (w *modelWorld) answer(p modelRequest, by *modelStore, msg any) {
	if m, ok := msg.(Accepted); ok && m.OK {
		w.recordVote(by, p.msg.(Accept))
	}
	q := w.stores[p.from]
	if q.acceptor.storeID != p.store || q.run != p.run {
		return
	}
	if by != q {
		q = w.ownStore(p.from)
	}
	switch m := msg.(type) {
	case Promise:
		q.proposer.HandlePromise(q.now, m)
	case Accepted:
		q.proposer.HandleAccepted(q.now, m)
	default:
		return // news of a voter set; adoptions are chosen by themselves
	}
	w.run(p.from)
}
