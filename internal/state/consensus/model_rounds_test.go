package consensus

import (
	"slices"

	"dunlinwell/internal/base/ids"
)

// quorums returns the quorums that an atomic round may reach. Without atomicRounds, it returns a
// single nil quorum.
func (b modelBounds) quorums() [][]int {
	if !b.atomicRounds {
		return [][]int{nil}
	}
	return [][]int{{0, 1}, {0, 2}, {1, 2}}
}

// roundEvents adds the states in which machine i has begun a round and, if quorum isn't nil,
// finished it with that quorum.
func (st *modelState) roundEvents(b modelBounds, i int, quorum []int, addSuccessor func(func(*modelState))) {
	s := st.stores[i]
	a := s.acceptor
	if lost, ok := st.replaceableVoter(i); ok && !s.replacementRequested {
		addSuccessor(func(n *modelState) { n.requestReplacement(i, lost); n.runRound(i, quorum, VoterSetKey) })
	}
	if !s.promotionRequested && a.DiskState() == Complete && slices.Contains(a.voterSet.Learners, a.storeID) {
		addSuccessor(func(n *modelState) { n.requestPromotion(i); n.runRound(i, quorum, VoterSetKey) })
	}
	if b.atomicRounds && !st.secondWriteSent && a.MayVote() {
		addSuccessor(func(n *modelState) {
			n.secondWriteSent = true
			n.submitAppend(i, "q", "q")
			n.runRound(i, quorum, "x")
		})
	}
}

// requestPromotion requests the promotion of the learner on machine i.
func (st *modelState) requestPromotion(i int) {
	st.mutableStore(i).promotionRequested = true
	st.submit(i, OpPromoteLearner, PromoteLearnerRequest{ID: st.stores[i].acceptor.storeID})
}

// runRound delivers the requests of machine i's round to a quorum until the round ends, and drops
// those to other machines. It does nothing if quorum is nil.
func (st *modelState) runRound(i int, quorum []int, key ids.RegisterKey) {
	if quorum == nil {
		return
	}
	ofRound := func(r modelRequest) bool {
		return r.from == i && r.store == st.stores[i].acceptor.storeID && keyOf(r.msg) == key && !r.beforeSearch
	}
	for {
		at := slices.IndexFunc(st.inTransit, func(r modelRequest) bool { return ofRound(r) && slices.Contains(quorum, r.to) })
		if at < 0 {
			break
		}
		st.deliver(at)
	}
	st.inTransit = slices.DeleteFunc(st.inTransit, ofRound)
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
