package consensus

import (
	"fmt"
	"hash/fnv"
	"slices"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// modelPacket is a question on its way; it may come late, or never.
type modelPacket struct {
	from, to int
	// run is the store and run that asked: an answer to an earlier one is lost.
	store, run uint64
	msg        any
	hash       uint64
	// old: it was sent before the search began, and stays on its way.
	old bool
}

// modelVote records who took a value, and under which voter set.
type modelVote struct {
	key    ids.RegisterKey
	ballot ids.Ballot
	number uint64
	voters []Voter
	value  string
	by     []uint64
	chosen bool
}

// modelState is everything at one moment. States share what didn't change.
type modelState struct {
	stores [3]*modelStore
	net    []modelPacket
	votes  []modelVote
	// sets are the voter sets agreed on so far, in order of their numbers.
	sets   []VoterSet
	acked  string
	lastID uint64
	// old is the disk that a machine lost first, for one that is put back.
	old     modelDisk
	oldID   uint64
	oldAt   int
	oldRun  uint64
	wipes   int
	crashes int
	backs   int
	wrong   string
	fault   modelFault
	// lossCame tells that the last event was a loss.
	lossCame bool
	wroteQ   bool
}

// modelFault is a mistake planted on purpose.
type modelFault struct {
	// votesEarly: a newcomer counts as complete after its first pass, whatever
	// voter set its source went by.
	votesEarly bool
	// votesBlank: a store that is in the voter set votes, copied or not.
	votesBlank bool
	// keepsID: a wiped store goes by the id of the one that was lost.
	keepsID bool
	// noSeal: acceptors go on voting under lower voter sets.
	noSeal bool
	// replacedVotes: a disk that was replaced counts as complete again.
	replacedVotes bool
}

func (w *modelState) touch(i int) *modelStore {
	c := w.stores[i].clone()
	w.stores[i] = c
	return c
}

func (w modelState) copy() *modelState {
	w.net, w.votes, w.sets = slices.Clone(w.net), slices.Clone(w.votes), slices.Clone(w.sets)
	return &w
}

func (w *modelState) hash() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, w.stores[0].hash(), " ", w.stores[1].hash(), " ", w.stores[2].hash(), w.wipes, w.crashes, w.backs, w.acked, w.lastID, w.wroteQ)
	sum := h.Sum64()
	for _, p := range w.net {
		sum += p.hash
	}
	for _, v := range w.votes {
		x := fnv.New64a()
		fmt.Fprint(x, v.key, v.ballot, v.number, v.by)
		sum += x.Sum64() * 31
	}
	return sum
}

// run carries out what store i wants, to the end.
func (w *modelState) run(i int) {
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
			w.sent(i, c)
			list = append(list, s.Drain()...)
		}
	}
}

func (w *modelState) sent(i int, c event.Send) {
	s := w.stores[i]
	switch m := c.Msg.(type) {
	case Prepare, Accept:
		to := slices.Index(modelAddresses, c.To)
		p := modelPacket{from: i, to: to, store: s.acceptor.storeID, run: s.run, msg: m}
		h := fnv.New64a()
		fmt.Fprint(h, p.from, p.to, p.store, p.run, p.msg)
		p.hash = h.Sum64()
		if !slices.ContainsFunc(w.net, func(q modelPacket) bool { return q.hash == p.hash }) {
			w.net = append(w.net, p)
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
			w.acked += string(c.To)
		}
	}
}

// adopt is what a store does with a higher voter set.
func (w *modelState) adopt(i int, set VoterSet) {
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
func (w *modelState) deliver(n int) {
	p := w.net[n]
	w.net = slices.Delete(w.net, n, n+1)
	s := w.touch(p.to)
	if w.fault.noSeal {
		defer func(set VoterSet) { s.acceptor.voterSet = set }(s.acceptor.voterSet)
		if number := askedUnder(p.msg); number < s.acceptor.voterSet.Number && number > 0 {
			s.acceptor.voterSet = w.sets[number-1]
		}
	}
	switch m := p.msg.(type) {
	case Prepare:
		s.acceptor.HandlePrepare(modelAddresses[p.from], m)
	case Accept:
		s.acceptor.HandleAccept(modelAddresses[p.from], m)
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

func (w *modelState) answer(p modelPacket, by *modelStore, msg any) {
	if m, ok := msg.(Accepted); ok && m.OK {
		w.note(by, p.msg.(Accept))
	}
	q := w.stores[p.from]
	if q.acceptor.storeID != p.store || q.run != p.run {
		return
	}
	if by != q {
		q = w.touch(p.from)
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
