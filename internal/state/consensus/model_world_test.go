package consensus

import (
	"fmt"
	"hash/fnv"
	"slices"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/memorydisk"
)

// modelRequest is a request in transit between machines; it may arrive late, or never.
type modelRequest struct {
	from, to int
	// store and run are those that sent it: an answer to an earlier run is lost.
	store, run uint64
	msg        any
	hash       uint64
	// beforeSearch: it was sent before the search began, and stays in transit.
	beforeSearch bool
}

// modelVote is the value of a ballot, and who accepted it under which voter set.
type modelVote struct {
	key            ids.RegisterKey
	ballot         ids.Ballot
	voterSetNumber uint64
	voters         []Voter
	value          string
	stores         []uint64
	chosen         bool
}

// modelState is one state of the model: three machines, the requests between them, and
// what was chosen so far. States share the stores that didn't change.
type modelState struct {
	stores    [3]*modelStore
	inTransit []modelRequest
	votes     []modelVote
	// sets are the voter sets chosen so far, in order of their numbers.
	sets []VoterSet
	// acknowledged are the letters whose append was acknowledged.
	acknowledged string
	// lastID is the id that was last given to a disk.
	lastID uint64
	// lostDisk is the disk that was lost first, nil for none or once it is restored.
	lostDisk    memorydisk.Disk
	lostID      uint64
	lostMachine int
	lostRun     uint64
	wipes       int
	crashes     int
	restores    int
	// violation says which invariant is violated, empty for none.
	violation string
	fault     modelFault
	// lastWasLoss says that the last event lost something.
	lastWasLoss     bool
	secondWriteSent bool
}

// modelFault is a fault that is planted on purpose.
type modelFault struct {
	// completesEarly: a learner's copy counts as complete after a pass that began under
	// the voter set before.
	completesEarly bool
	// votesWhileBlank: a voter votes whether or not its copy is complete.
	votesWhileBlank bool
	// reusesLostID: a wiped store keeps the id of its lost disk.
	reusesLostID bool
	// votesUnderLowerSets: acceptors go on voting under lower voter sets.
	votesUnderLowerSets bool
	// replacedVotes: a disk that was replaced counts as complete after a restart.
	replacedVotes bool
}

// mutableStore replaces machine i's store by a copy that this state may change.
func (st *modelState) mutableStore(i int) *modelStore {
	c := st.stores[i].clone()
	st.stores[i] = c
	return c
}

// copy returns a state that shares the stores.
func (st modelState) copy() *modelState {
	st.inTransit, st.votes, st.sets = slices.Clone(st.inTransit), slices.Clone(st.votes), slices.Clone(st.sets)
	return &st
}

// hash identifies a state; requests and votes count in any order.
func (st *modelState) hash() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, st.stores[0].hash(), " ", st.stores[1].hash(), " ", st.stores[2].hash(), st.wipes, st.crashes, st.restores, st.acknowledged, st.lastID, st.secondWriteSent)
	sum := h.Sum64()
	for _, request := range st.inTransit {
		sum += request.hash
	}
	for _, v := range st.votes {
		vote := fnv.New64a()
		fmt.Fprint(vote, v.key, v.ballot, v.voterSetNumber, v.stores)
		sum += vote.Sum64() * 31
	}
	return sum
}

// run carries out the commands of machine i's store until none is left.
func (st *modelState) run(i int) {
	s := st.stores[i]
	commands := s.Drain()
	for len(commands) > 0 {
		command := commands[0]
		commands = commands[1:]
		switch c := command.(type) {
		case event.Sync:
			s.disk.Write(c.Records)
			s.acceptor.Synced(c.Batch)
			commands = slices.Concat(c.After, commands)
		case event.Send:
			st.handleSend(i, c)
			commands = append(commands, s.Drain()...)
		}
	}
}

// handleSend puts a request in transit, and takes a response to the store's own request.
func (st *modelState) handleSend(i int, c event.Send) {
	s := st.stores[i]
	switch m := c.Message.(type) {
	case Prepare, Accept:
		to := slices.Index(addresses, c.To)
		request := modelRequest{from: i, to: to, store: s.acceptor.storeID, run: s.run, msg: m}
		h := fnv.New64a()
		fmt.Fprint(h, request.from, request.to, request.store, request.run, request.msg)
		request.hash = h.Sum64()
		if !slices.ContainsFunc(st.inTransit, func(r modelRequest) bool { return r.hash == request.hash }) {
			st.inTransit = append(st.inTransit, request)
		}
	case Response:
		if m.Outcome != Succeeded {
			return
		}
		if set, ok := DecodeVoterSet(m.Result); ok {
			st.adopt(i, set)
			return
		}
		if c.To != "reader" {
			st.acknowledged += string(c.To)
		}
	}
}

// adopt does as a store does with a voter set that it learns of.
func (st *modelState) adopt(i int, set VoterSet) {
	s := st.stores[i]
	if set.Number == uint64(len(st.sets))+1 {
		st.sets = append(st.sets, set)
	}
	if s.acceptor.AdoptVoterSet(set) {
		s.proposer.RestartRounds(s.now)
		st.run(i)
		if s.acceptor.DiskState() == Blank {
			st.completeIfDue(i)
		}
	}
}

// deliver hands over the n-th request in transit, and its answer to the sender.
func (st *modelState) deliver(n int) {
	request := st.inTransit[n]
	st.inTransit = slices.Delete(st.inTransit, n, n+1)
	s := st.mutableStore(request.to)
	if st.fault.votesUnderLowerSets {
		defer func(set VoterSet) { s.acceptor.voterSet = set }(s.acceptor.voterSet)
		if number := voterSetNumberOf(request.msg); number < s.acceptor.voterSet.Number && number > 0 {
			s.acceptor.voterSet = st.sets[number-1]
		}
	}
	switch m := request.msg.(type) {
	case Prepare:
		s.acceptor.HandlePrepare(addresses[request.from], m)
	case Accept:
		s.acceptor.HandleAccept(addresses[request.from], m)
	}
	for _, c := range s.Drain() {
		sync := c.(event.Sync)
		s.disk.Write(sync.Records)
		s.acceptor.Synced(sync.Batch)
		for _, after := range sync.After {
			st.deliverResponse(request, s, after.(event.Send).Message)
		}
	}
}

func voterSetNumberOf(msg any) uint64 {
	switch m := msg.(type) {
	case Prepare:
		return m.VoterSetNumber
	case Accept:
		return m.VoterSetNumber
	}
	return 0
}

// deliverResponse hands an answer to the proposer that sent the request, unless its run has ended.
func (st *modelState) deliverResponse(request modelRequest, responder *modelStore, msg any) {
	if m, ok := msg.(Accepted); ok && m.OK {
		st.recordVote(responder, request.msg.(Accept))
	}
	sender := st.stores[request.from]
	if sender.acceptor.storeID != request.store || sender.run != request.run {
		return
	}
	if responder != sender {
		sender = st.mutableStore(request.from)
	}
	switch m := msg.(type) {
	case Promise:
		sender.proposer.HandlePromise(sender.now, m)
	case Accepted:
		sender.proposer.HandleAccepted(sender.now, m)
	default:
		return // a VoterSetUpdate; adoptions are events of their own
	}
	st.run(request.from)
}
