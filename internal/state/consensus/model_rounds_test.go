package consensus

import (
	"slices"

	"dunlinwell/internal/base/ids"
)

// quorums are the groups of machines that a round may reach at once, where rounds
// are one event; else each of their messages is an event of its own.
func (b modelBounds) quorums() [][]int {
	if !b.wholeRounds {
		return [][]int{nil}
	}
	return [][]int{{0, 1}, {0, 2}, {1, 2}}
}

// roundEvents gives the states that a round begun by store i leads to.
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

func (w *modelWorld) report(i int) {
	w.ownStore(i).reported = true
	w.submit(i, OpPromoteLearner, PromoteLearnerRequest{ID: w.stores[i].acceptor.storeID})
}

// runRound lets a round of store i through to some machines, to its end; what it
// asked of others is lost.
func (w *modelWorld) runRound(i int, some []int, key ids.RegisterKey) {
	if some == nil {
		return
	}
	ours := func(p modelRequest) bool {
		return p.from == i && p.store == w.stores[i].acceptor.storeID && keyOf(p.msg) == key && !p.beforeSearch
	}
	for {
		at := slices.IndexFunc(w.inTransit, func(p modelRequest) bool { return ours(p) && slices.Contains(some, p.to) })
		if at < 0 {
			break
		}
		w.deliver(at)
	}
	w.inTransit = slices.DeleteFunc(w.inTransit, ours)
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
