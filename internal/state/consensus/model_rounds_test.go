package consensus

import (
	"slices"

	"dunlinwell/internal/base/ids"
)

// quorums returns the groups of machines that a whole round may reach. Where each message
// is an event of its own, it is one group that stands for none.
func (b modelBounds) quorums() [][]int {
	if !b.wholeRounds {
		return [][]int{nil}
	}
	return [][]int{{0, 1}, {0, 2}, {1, 2}}
}

// roundEvents adds the events that begin a round at machine i.
func (w *modelWorld) roundEvents(b modelBounds, i int, reached []int, do func(func(*modelWorld))) {
	s := w.stores[i]
	a := s.acceptor
	if lost, ok := w.replaceableVoter(i); ok && !s.joined {
		do(func(n *modelWorld) { n.join(i, lost); n.runRound(i, reached, VoterSetKey) })
	}
	if !s.reported && a.DiskState() == Complete && slices.Contains(a.voterSet.Learners, a.storeID) {
		do(func(n *modelWorld) { n.report(i); n.runRound(i, reached, VoterSetKey) })
	}
	if b.wholeRounds && !w.secondWriteSent && a.MayVote() {
		do(func(n *modelWorld) {
			n.secondWriteSent = true
			n.submitAppend(i, "q", "q")
			n.runRound(i, reached, "x")
		})
	}
}

// report asks for the promotion of machine i's learner.
func (w *modelWorld) report(i int) {
	w.ownStore(i).reported = true
	w.submit(i, OpPromoteLearner, PromoteLearnerRequest{ID: w.stores[i].acceptor.storeID})
}

// runRound delivers the requests of machine i's round to some machines until it ends; its
// requests to the others are lost.
func (w *modelWorld) runRound(i int, reached []int, key ids.RegisterKey) {
	if reached == nil {
		return
	}
	ofRound := func(r modelRequest) bool {
		return r.from == i && r.store == w.stores[i].acceptor.storeID && keyOf(r.msg) == key && !r.beforeSearch
	}
	for {
		at := slices.IndexFunc(w.inTransit, func(r modelRequest) bool { return ofRound(r) && slices.Contains(reached, r.to) })
		if at < 0 {
			break
		}
		w.deliver(at)
	}
	w.inTransit = slices.DeleteFunc(w.inTransit, ofRound)
}

func keyOf(msg any) ids.RegisterKey {
	switch m := msg.(type) {
	case Prepare:
		return m.Key
	case Accept:
		return m.Key
	}
	return ""
}
