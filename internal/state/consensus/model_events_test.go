package consensus

import (
	"maps"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/memorydisk"
	"dunlinwell/internal/transport/wire"
)

// modelBounds bound a search: the number of events in all (depth), and of some kinds.
type modelBounds struct {
	depth, wipes, crashes, restores, ticks int
	// atomicRounds: the rounds of learners and of the second writer are one event each,
	// and reach some machines only. Else each of their messages is an event.
	atomicRounds bool
	fault        modelFault
}

// initialModelState is three stores that agree on a value, two of which are about to append
// to it: one with a promised ballot, one that must prepare.
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

// submitAppend has machine i append a letter for a client.
func (st *modelState) submitAppend(i int, client ids.Address, letter string) {
	s := st.mutableStore(i)
	s.proposer.IsReachable = func(uint64) bool { return false }
	s.proposer.Submit(s.now, client, Request{ID: 1, Key: "x", Op: opAppend, Arg: []byte(letter), TimeoutMillis: 1 << 31})
	st.run(i)
}

// submit has machine i change the voter set.
func (st *modelState) submit(i int, op Op, arg any) {
	raw, _ := wire.Encode(arg)
	s := st.mutableStore(i)
	s.proposer.Submit(s.now, addresses[i], Request{ID: 2, Key: VoterSetKey, Op: op, Arg: raw, TimeoutMillis: 1 << 31})
	st.run(i)
}

// successors returns every state that one event leads to.
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

// wipe loses a disk. With learnsVoterSet, the blank store learns of a voter set at once.
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

// restart begins a run of a store on a disk.
func (st *modelState) restart(i int, id uint64, d memorydisk.Disk, run uint64) {
	s := newModelStore(id, d, run)
	s.proposer.IsReachable = func(uint64) bool { return false }
	if st.fault.replacedVotes {
		s.acceptor.diskState = diskStateRecord{uint8(Complete)}
	}
	st.stores[i] = s
}

// tick lets enough time pass at a store for all its timers.
func (st *modelState) tick(i int) {
	s := st.mutableStore(i)
	s.ticks++
	s.now = s.now.Add(time.Second)
	s.proposer.Tick(s.now)
	st.run(i)
}

// replaceableVoter is the voter whose place a blank store may ask for.
func (st *modelState) replaceableVoter(i int) (uint64, bool) {
	a := st.stores[i].acceptor
	if a.DiskState() != Blank || a.voterSet.Number == 0 || a.voterSet.HasVoter(a.storeID) {
		return 0, false
	}
	for _, v := range a.voterSet.Voters {
		if v.Address == addresses[i] {
			return v.ID, true
		}
	}
	return 0, false
}

// requestReplacement asks for the place of a lost voter.
func (st *modelState) requestReplacement(i int, lost uint64) {
	st.mutableStore(i).replacementRequested = true
	a := st.stores[i].acceptor
	st.submit(i, OpReplace, ReplaceRequest{New: Voter{a.storeID, addresses[i]}, LostID: lost, Replicas: 3})
}

// mayComplete reports whether a learner's copy counts as complete.
func (st *modelState) mayComplete(s *modelStore, set VoterSet) bool {
	if st.fault.completesEarly {
		// A copy from before the replacement is taken for complete.
		set.Number--
	}
	return st.fault.votesWhileBlank || s.copier.IsCompleteFor(set)
}

// mayCopy reports whether store i would ask j for a page and be sent one.
func (st *modelState) mayCopy(i, j int) bool {
	to, from := st.stores[i], st.stores[j].acceptor
	set := to.acceptor.voterSet
	return i != j && to.acceptor.DiskState() == Blank && set.Number > 0 && from.voterSet.Number == set.Number &&
		from.MayVote() && to.copier.LastPassVoterSet(from.storeID) < set.Number
}

// copyFrom is one pass of a learner's copy; these disks fit into one page.
func (st *modelState) copyFrom(i, j int) {
	to, from := st.mutableStore(i), st.mutableStore(j)
	set := to.acceptor.voterSet
	to.copier.BeginPass(from.acceptor.storeID)
	from.acceptor.HandlePageRequest(addresses[i], to.copier.NextRequest(from.acceptor.storeID, set.Number))
	for _, c := range from.Drain() {
		page := c.(event.Sync).After[0].(event.Send).Message.(PageResponse)
		if !to.copier.HandlePage(page) {
			st.violation = "a page was not awaited"
		}
		for _, record := range page.Records {
			to.acceptor.MergeRecord(record)
		}
	}
	st.run(i)
	st.completeIfDue(i)
}

// completeIfDue lets a learner vote once its copy is complete, as its store does after
// each page; with some planted faults sooner.
func (st *modelState) completeIfDue(i int) {
	to := st.stores[i]
	set := to.acceptor.voterSet
	if set.HasVoter(to.acceptor.storeID) && st.mayComplete(to, set) {
		to.acceptor.MarkComplete()
		st.run(i)
	}
}
