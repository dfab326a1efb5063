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
	// wholeRounds: the rounds of learners and of the second writer are one event each,
	// and reach some machines only. Else each of their messages is an event.
	wholeRounds bool
	fault       modelFault
}

// initialModelState is three stores that agree on a value, two of which are about to append
// to it: one with a promised ballot, one that must prepare.
func initialModelState(b modelBounds) *modelWorld {
	w := &modelWorld{lastID: 3, fault: b.fault}
	w.sets = []VoterSet{threeVoters}
	raw, _ := wire.Encode(threeVoters)
	for i := range addresses {
		s := newModelStore(uint64(i+1), memorydisk.Disk{}, 1)
		w.stores[i] = s
		s.acceptor.Seed(VoterSetKey, raw)
		s.acceptor.MarkComplete()
		s.acceptor.AdoptVoterSet(threeVoters)
		w.run(i)
	}
	w.submitAppend(0, "", "0")
	for len(w.inTransit) > 0 {
		w.deliver(0)
	}
	w.acknowledged, w.votes = "", nil
	w.submitAppend(0, "p", "p")
	if !b.wholeRounds {
		w.submitAppend(1, "q", "q")
	}
	for i := range w.inTransit {
		w.inTransit[i].beforeSearch = true
	}
	return w
}

// submitAppend has machine i append a letter for a client.
func (w *modelWorld) submitAppend(i int, client ids.Address, letter string) {
	s := w.ownStore(i)
	s.proposer.IsReachable = func(uint64) bool { return false }
	s.proposer.Submit(s.now, client, Request{ID: 1, Key: "x", Op: opAppend, Arg: []byte(letter), TimeoutMillis: 1 << 31})
	w.run(i)
}

// submit has machine i change the voter set.
func (w *modelWorld) submit(i int, op Op, arg any) {
	raw, _ := wire.Encode(arg)
	s := w.ownStore(i)
	s.proposer.Submit(s.now, addresses[i], Request{ID: 2, Key: VoterSetKey, Op: op, Arg: raw, TimeoutMillis: 1 << 31})
	w.run(i)
}

// next returns every state that one event leads to.
func (w *modelWorld) next(b modelBounds) (out []*modelWorld) {
	do := func(f func(w *modelWorld)) {
		n := w.copy()
		n.lastWasLoss = false
		f(n)
		out = append(out, n)
	}
	for i := range w.inTransit {
		do(func(n *modelWorld) { n.deliver(i) })
	}
	for i := range w.stores {
		if w.wipes < b.wipes {
			do(func(n *modelWorld) { n.wipe(i, b.wholeRounds) })
		}
		if w.crashes < b.crashes {
			do(func(n *modelWorld) { n.crash(i) })
		}
		s := w.stores[i]
		for _, set := range w.sets {
			if set.Number > s.acceptor.voterSet.Number {
				do(func(n *modelWorld) { n.ownStore(i); n.adopt(i, set) })
			}
		}
		if len(s.proposer.rounds) > 0 && s.ticks < b.ticks {
			do(func(n *modelWorld) { n.tick(i) })
		}
		for _, reached := range b.quorums() {
			w.roundEvents(b, i, reached, do)
		}
		for j := range w.stores {
			if w.mayCopy(i, j) {
				do(func(n *modelWorld) { n.copyFrom(i, j) })
			}
		}
	}
	if w.lostDisk != nil && w.restores < b.restores {
		do(func(n *modelWorld) { n.restoreLostDisk() })
	}
	return out
}

// wipe loses a disk. With learnsVoterSet, the blank store learns of a voter set at once.
func (w *modelWorld) wipe(i int, learnsVoterSet bool) {
	s := w.stores[i]
	if w.lostDisk == nil {
		w.lostDisk, w.lostID, w.lostMachine, w.lostRun = s.disk, s.acceptor.storeID, i, s.run
	}
	w.wipes++
	w.lastWasLoss = true
	w.lastID++
	id := w.lastID
	if w.fault.keepsID {
		id = s.acceptor.storeID
	}
	w.stores[i] = newModelStore(id, memorydisk.Disk{}, 1)
	w.stores[i].proposer.IsReachable = func(uint64) bool { return false }
	if !learnsVoterSet {
		return
	}
	newest := VoterSet{}
	for _, s := range w.stores {
		if set := s.acceptor.VoterSet(); set.Number > newest.Number {
			newest = set
		}
	}
	w.adopt(i, newest)
}

// crash restarts a store on its disk.
func (w *modelWorld) crash(i int) {
	w.crashes++
	w.lastWasLoss = true
	s := w.ownStore(i)
	w.restart(i, s.acceptor.storeID, s.disk, s.run+1)
}

// restoreLostDisk puts the disk that was lost first back into its machine.
func (w *modelWorld) restoreLostDisk() {
	w.restores++
	w.restart(w.lostMachine, w.lostID, maps.Clone(w.lostDisk), w.lostRun+1)
	w.lostDisk = nil
}

// restart begins a run of a store on a disk.
func (w *modelWorld) restart(i int, id uint64, d memorydisk.Disk, run uint64) {
	s := newModelStore(id, d, run)
	s.proposer.IsReachable = func(uint64) bool { return false }
	if w.fault.replacedVotes {
		s.acceptor.diskState = diskStateRecord{uint8(Complete)}
	}
	w.stores[i] = s
}

// tick lets enough time pass at a store for all its timers.
func (w *modelWorld) tick(i int) {
	s := w.ownStore(i)
	s.ticks++
	s.now = s.now.Add(time.Second)
	s.proposer.Tick(s.now)
	w.run(i)
}

// replaceableVoter is the voter whose place a blank store may ask for.
func (w *modelWorld) replaceableVoter(i int) (uint64, bool) {
	a := w.stores[i].acceptor
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

// join asks for the place of a lost voter.
func (w *modelWorld) join(i int, lost uint64) {
	w.ownStore(i).joined = true
	a := w.stores[i].acceptor
	w.submit(i, OpReplace, ReplaceRequest{New: Voter{a.storeID, addresses[i]}, LostID: lost, Replicas: 3})
}

// mayComplete reports whether a learner's copy counts as complete.
func (w *modelWorld) mayComplete(s *modelStore, set VoterSet) bool {
	if w.fault.completesEarly {
		// A copy from before the replacement is taken for complete.
		set.Number--
	}
	return w.fault.votesBlank || s.copier.IsCompleteFor(set)
}

// mayCopy reports whether store i would ask j for a page and be sent one.
func (w *modelWorld) mayCopy(i, j int) bool {
	to, from := w.stores[i], w.stores[j].acceptor
	set := to.acceptor.voterSet
	return i != j && to.acceptor.DiskState() == Blank && set.Number > 0 && from.voterSet.Number == set.Number &&
		from.MayVote() && to.copier.LastPassVoterSet(from.storeID) < set.Number
}

// copyFrom is one pass of a learner's copy; these disks fit into one page.
func (w *modelWorld) copyFrom(i, j int) {
	to, from := w.ownStore(i), w.ownStore(j)
	set := to.acceptor.voterSet
	to.copier.BeginPass(from.acceptor.storeID)
	from.acceptor.HandlePageRequest(addresses[i], to.copier.NextRequest(from.acceptor.storeID, set.Number))
	for _, c := range from.Drain() {
		page := c.(event.Sync).After[0].(event.Send).Message.(PageResponse)
		if !to.copier.HandlePage(page) {
			w.violation = "a page was not awaited"
		}
		for _, record := range page.Records {
			to.acceptor.MergeRecord(record)
		}
	}
	w.run(i)
	w.completeIfDue(i)
}

// completeIfDue lets a learner vote once its copy is complete, as its store does after
// each page; with some planted faults sooner.
func (w *modelWorld) completeIfDue(i int) {
	to := w.stores[i]
	set := to.acceptor.voterSet
	if set.HasVoter(to.acceptor.storeID) && w.mayComplete(to, set) {
		to.acceptor.MarkComplete()
		w.run(i)
	}
}
