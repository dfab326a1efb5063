package consensus

import (
	"fmt"
	"hash/fnv"
	"slices"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/memorydisk"
)

// modelRequest is a request in transit between machines. It may be delayed or lost.
type modelRequest struct {
	from, to int
	// store and run identify the sender. Responses to an earlier run are lost.
	store, run uint64
	msg        any
	hash       uint64
	// beforeSearch marks a request of the initial state, which runRound doesn't deliver or drop.
	beforeSearch bool
}

// modelVote holds the value of a ballot and the stores that accepted it under one voter set.
type modelVote struct {
	key            ids.RegisterKey
	ballot         ids.Ballot
	voterSetNumber uint64
	voters         []Voter
	value          string
	stores         []uint64
	chosen         bool
}

// modelState is one state of the model: three machines, the requests between them, and the values
// chosen so far. A state shares unmodified stores with its predecessor.
type modelState struct {
	stores    [3]*modelStore
	inTransit []modelRequest
	votes     []modelVote
	// sets lists the chosen voter sets, ordered by number.
	sets []VoterSet
	// acknowledged lists the letters whose append was acknowledged.
	acknowledged string
	// lastID is the last disk ID that was assigned.
	lastID uint64
	// lostDisk is the first disk that was lost, nil for none or after it was restored.
	lostDisk    memorydisk.Disk
	lostID      uint64
	lostMachine int
	lostRun     uint64
	wipes       int
	crashes     int
	restores    int
	// violation describes the violated invariant, empty for none.
	violation string
	fault     modelFault
	// lastWasLoss is set if the last event was a wipe or a crash.
	lastWasLoss     bool
	secondWriteSent bool
}

// modelFault selects a fault to inject.
type modelFault struct {
	// completesEarly lets a learner consider its copy complete after a pass under the previous
	// voter set.
	completesEarly bool
	// votesWhileIncomplete lets a voter vote before its copy is complete.
	votesWhileIncomplete bool
	// reusesLostID gives an empty disk the ID of the lost one.
	reusesLostID bool
	// votesUnderLowerSets lets acceptors vote under lower voter sets than their own.
	votesUnderLowerSets bool
	// replacedVotes marks any disk as complete after a restart, even one that was replaced.
	replacedVotes bool
}

// mutableStore replaces machine i's store with a clone that isn't shared with other states, and
// returns the clone.
func (st *modelState) mutableStore(i int) *modelStore {
	c := st.stores[i].clone()
	st.stores[i] = c
	return c
}

// copy returns a copy of the state that shares the stores.
func (st modelState) copy() *modelState {
	st.inTransit, st.votes, st.sets = slices.Clone(st.inTransit), slices.Clone(st.votes), slices.Clone(st.sets)
	return &st
}

// hash returns a hash of the state that doesn't depend on the order of requests and votes.
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

// run executes the commands of machine i's store until none is left.
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

// handleSend puts a request to an acceptor in transit, and handles a response to a client.
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

// adopt passes a voter set to machine i, which handles it as package store does.
func (st *modelState) adopt(i int, set VoterSet) {
	s := st.stores[i]
	if set.Number == uint64(len(st.sets))+1 {
		st.sets = append(st.sets, set)
	}
	if s.acceptor.AdoptVoterSet(set) {
		s.proposer.RestartRounds(s.now)
		st.run(i)
		if s.acceptor.DiskState() == Incomplete {
			st.completeIfDue(i)
		}
	}
}

// deliver delivers the n-th request in transit, and the response to its sender.
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

// deliverResponse delivers a response to the proposer that sent the request, unless its run has
// ended.
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
		return // a VoterSetUpdate; the adoption of a voter set is a separate event
	}
	st.run(request.from)
}
