package consensus

import (
	"maps"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/memorydisk"
	"dunlinwell/internal/transport/wire"
)

// modelBounds limits a search: depth is the maximum number of events of all kinds.
type modelBounds struct {
	depth, wipes, crashes, restores, ticks int
	// atomicRounds makes each round of a learner or of the second writer a single event that
	// reaches a quorum only. Otherwise, each of their messages is an event.
	atomicRounds bool
	fault        modelFault
}

// initialModelState returns a state in which three stores hold the same value and store 1, which
// has a promised ballot, has begun an append. Without atomicRounds, store 2 has also begun one,
// which needs a prepare phase.
func initialModelState(b modelBounds) *modelState {
	st := &modelState{lastID: 3, fault: b.fault}
	st.sets = []VoterSet{threeVoters}
	raw, _ := wire.Encode(threeVoters)
	for i := range addresses {
		s := newModelStore(uint64(i+1), memorydisk.Disk{}, 1)
		st.stores[i] = s
		s.acceptor.Seed(VoterSetKey, raw)
		s.acceptor.MarkComplete()
		s.acceptor.AdoptVoterSet(threeVoters)
		st.run(i)
	}
	st.submitAppend(0, "", "0")
	for len(st.inTransit) > 0 {
		st.deliver(0)
	}
	st.acknowledged, st.votes = "", nil
	st.submitAppend(0, "p", "p")
	if !b.atomicRounds {
		st.submitAppend(1, "q", "q")
	}
	for i := range st.inTransit {
		st.inTransit[i].beforeSearch = true
	}
	return st
}

// submitAppend submits the append of a letter to machine i for a client.
func (st *modelState) submitAppend(i int, client ids.Address, letter string) {
	s := st.mutableStore(i)
	s.proposer.IsReachable = func(uint64) bool { return false }
	s.proposer.Submit(s.now, client, Request{ID: 1, Key: "x", Op: opAppend, Arg: []byte(letter), TimeoutMillis: 1 << 31})
	st.run(i)
}

// submit submits a change of the voter set to machine i.
func (st *modelState) submit(i int, op Op, arg any) {
	raw, _ := wire.Encode(arg)
	s := st.mutableStore(i)
	s.proposer.Submit(s.now, addresses[i], Request{ID: 2, Key: VoterSetKey, Op: op, Arg: raw, TimeoutMillis: 1 << 31})
	st.run(i)
}

// successors returns all states that one event leads to.
func (st *modelState) successors(b modelBounds) (out []*modelState) {
	addSuccessor := func(f func(st *modelState)) {
		n := st.copy()
		n.lastWasLoss = false
		f(n)
		out = append(out, n)
	}
	for i := range st.inTransit {
		addSuccessor(func(n *modelState) { n.deliver(i) })
	}
	for i := range st.stores {
		if st.wipes < b.wipes {
			addSuccessor(func(n *modelState) { n.wipe(i, b.atomicRounds) })
		}
		if st.crashes < b.crashes {
			addSuccessor(func(n *modelState) { n.crash(i) })
		}
		s := st.stores[i]
		for _, set := range st.sets {
			if set.Number > s.acceptor.voterSet.Number {
				addSuccessor(func(n *modelState) { n.mutableStore(i); n.adopt(i, set) })
			}
		}
		if len(s.proposer.rounds) > 0 && s.ticks < b.ticks {
			addSuccessor(func(n *modelState) { n.tick(i) })
		}
		for _, quorum := range b.quorums() {
			st.roundEvents(b, i, quorum, addSuccessor)
		}
		for j := range st.stores {
			if st.mayCopy(i, j) {
				addSuccessor(func(n *modelState) { n.copyFrom(i, j) })
			}
		}
	}
	if st.lostDisk != nil && st.restores < b.restores {
		addSuccessor(func(n *modelState) { n.restoreLostDisk() })
	}
	return out
}

// wipe replaces the disk of machine i with an empty one. With learnsVoterSet, the store adopts the
// newest voter set immediately.
func (st *modelState) wipe(i int, learnsVoterSet bool) {
	s := st.stores[i]
	if st.lostDisk == nil {
		st.lostDisk, st.lostID, st.lostMachine, st.lostRun = s.disk, s.acceptor.storeID, i, s.run
	}
	st.wipes++
	st.lastWasLoss = true
	st.lastID++
	id := st.lastID
	if st.fault.reusesLostID {
		id = s.acceptor.storeID
	}
	st.stores[i] = newModelStore(id, memorydisk.Disk{}, 1)
	st.stores[i].proposer.IsReachable = func(uint64) bool { return false }
	if !learnsVoterSet {
		return
	}
	newest := VoterSet{}
	for _, s := range st.stores {
		if set := s.acceptor.VoterSet(); set.Number > newest.Number {
			newest = set
		}
	}
	st.adopt(i, newest)
}

// crash restarts a store on its disk.
func (st *modelState) crash(i int) {
	st.crashes++
	st.lastWasLoss = true
	s := st.mutableStore(i)
	st.restart(i, s.acceptor.storeID, s.disk, s.run+1)
}

// restoreLostDisk puts the disk that was lost first back into its machine.
func (st *modelState) restoreLostDisk() {
	st.restores++
	st.restart(st.lostMachine, st.lostID, maps.Clone(st.lostDisk), st.lostRun+1)
	st.lostDisk = nil
}

// restart starts a run of a store on a disk.
func (st *modelState) restart(i int, id uint64, d memorydisk.Disk, run uint64) {
	s := newModelStore(id, d, run)
	s.proposer.IsReachable = func(uint64) bool { return false }
	if st.fault.replacedVotes {
		s.acceptor.diskState = diskStateRecord{uint8(Complete)}
	}
	st.stores[i] = s
}

// tick advances the time of machine i enough for all timers of its store to expire.
func (st *modelState) tick(i int) {
	s := st.mutableStore(i)
	s.ticks++
	s.now = s.now.Add(time.Second)
	s.proposer.Tick(s.now)
	st.run(i)
}

// replaceableVoter returns the voter that the store of machine i may replace, if its disk is
// incomplete.
func (st *modelState) replaceableVoter(i int) (uint64, bool) {
	a := st.stores[i].acceptor
	if a.DiskState() != Incomplete || a.voterSet.Number == 0 || a.voterSet.HasVoter(a.storeID) {
		return 0, false
	}
	for _, v := range a.voterSet.Voters {
		if v.Address == addresses[i] {
			return v.ID, true
		}
	}
	return 0, false
}

// requestReplacement requests the replacement of a lost voter by the store of machine i.
func (st *modelState) requestReplacement(i int, lost uint64) {
	st.mutableStore(i).replacementRequested = true
	a := st.stores[i].acceptor
	st.submit(i, OpReplace, ReplaceRequest{New: Voter{a.storeID, addresses[i]}, LostID: lost, Replicas: 3})
}

// mayComplete reports whether a learner may consider its copy complete.
func (st *modelState) mayComplete(s *modelStore, set VoterSet) bool {
	if st.fault.completesEarly {
		// Accepts a pass under the voter set before the replacement.
		set.Number--
	}
	return st.fault.votesWhileIncomplete || s.copier.IsCompleteFor(set)
}

// mayCopy reports whether store i would request a page from store j and receive it.
func (st *modelState) mayCopy(i, j int) bool {
	to, from := st.stores[i], st.stores[j].acceptor
	set := to.acceptor.voterSet
	return i != j && to.acceptor.DiskState() == Incomplete && set.Number > 0 && from.voterSet.Number == set.Number &&
		from.MayVote() && to.copier.LastPassVoterSet(from.storeID) < set.Number
}

// copyFrom runs one pass of store i's copy from store j. The disks of the model fit in one page.
func (st *modelState) copyFrom(i, j int) {
	to, from := st.mutableStore(i), st.mutableStore(j)
	set := to.acceptor.voterSet
	to.copier.BeginPass(from.acceptor.storeID)
	from.acceptor.HandlePageRequest(addresses[i], to.copier.NextRequest(from.acceptor.storeID, set.Number))
	for _, c := range from.Drain() {
		page := c.(event.Sync).After[0].(event.Send).Message.(PageResponse)
		if !to.copier.HandlePage(page) {
			st.violation = "the copier rejected a page that it requested"
		}
		for _, record := range page.Records {
			to.acceptor.MergeRecord(record)
		}
	}
	st.run(i)
	st.completeIfDue(i)
}

// completeIfDue marks the disk of a voter as complete once its copy is, as package store does
// after each page. Some injected faults make it do so too early.
func (st *modelState) completeIfDue(i int) {
	to := st.stores[i]
	set := to.acceptor.voterSet
	if set.HasVoter(to.acceptor.storeID) && st.mayComplete(to, set) {
		to.acceptor.MarkComplete()
		st.run(i)
	}
}
