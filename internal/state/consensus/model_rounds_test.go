package consensus

import (
	"slices"

	"dunlinwell/internal/base/ids"
)

// quorums are the groups of machines that a round may reach at once, where rounds
// are one event; else each of their messages is an event of its own.
func (b modelBounds) quorums() [][]int {
	if !b.coarse {
		return [][]int{nil}
	}
	return [][]int{{0, 1}, {0, 2}, {1, 2}}
}

// nextRounds gives the states that a round begun by store i leads to.
func (w *modelState) nextRounds(b modelBounds, i int, reached []int, do func(func(*modelState))) {
	s := w.stores[i]
	a := s.acceptor
	if lost, ok := w.place(i); ok && !s.joined {
		do(func(n *modelState) { n.join(i, lost); n.reach(i, reached, VoterSetKey) })
	}
	if !s.reported && a.DiskState() == Complete && slices.Contains(a.voterSet.Learners, a.storeID) {
		do(func(n *modelState) { n.report(i); n.reach(i, reached, VoterSetKey) })
	}
	if b.coarse && !w.wroteQ && a.MayVote() {
		do(func(n *modelState) { n.wroteQ = true; n.ask(i, "q", "q"); n.reach(i, reached, "x") })
	}
}

func (w *modelState) report(i int) {
	w.touch(i).reported = true
	w.submit(i, OpPromoteLearner, PromoteLearnerRequest{ID: w.stores[i].acceptor.storeID})
}

// reach lets a round of store i through to some machines, to its end; what it
// asked of others is lost.
func (w *modelState) reach(i int, some []int, key ids.RegisterKey) {
	if some == nil {
		return
	}
	ours := func(p modelPacket) bool {
		return p.from == i && p.store == w.stores[i].acceptor.storeID && keyOf(p.msg) == key && !p.old
	}
	for {
		at := slices.IndexFunc(w.net, func(p modelPacket) bool { return ours(p) && slices.Contains(some, p.to) })
		if at < 0 {
			break
		}
		w.deliver(at)
	}
	w.net = slices.DeleteFunc(w.net, ours)
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
