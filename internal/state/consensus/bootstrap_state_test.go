package consensus

import (
	"fmt"
	"slices"

	"dunlinwell/internal/base/ids"
)

// The model of a bootstrap: three seeds, of which the first proposes. Messages are never
// used up, so every order, loss, delay and duplication of them is among the paths. A disk
// may be wiped and the proposer restarted between any two steps. The decisions are those of
// the real BootstrapRecord.

// bootstrapVoters are the disk ids of a proposed voter set, by address.
type bootstrapVoters [3]uint64

func (v bootstrapVoters) voterSet() VoterSet {
	set := VoterSet{Number: 1}
	for i, id := range v {
		set.Voters = append(set.Voters, Voter{ID: id, Address: ids.Address(fmt.Sprint(i))})
	}
	return set
}

// bootstrapProposal is a request to take part in a voter set.
type bootstrapProposal struct {
	round uint64
	set   bootstrapVoters
}

// bootstrapNode is one seed: its disk's id, its record, the voter set that it is active in,
// and, for the proposer, what it proposed last.
type bootstrapNode struct {
	id       uint64
	record   BootstrapRecord
	active   bootstrapProposal
	proposal bootstrapProposal
}

// bootstrapPromise is a store's promise for a proposal.
type bootstrapPromise struct {
	bootstrapProposal
	store uint64
}

// bootstrapMessage hands a voter set on to another of its members.
type bootstrapMessage struct {
	bootstrapProposal
	from Voter
}

// bootstrapState is one state of the model.
type bootstrapState struct {
	nodes      [3]bootstrapNode
	wipes      int
	requests   []bootstrapProposal
	promises   []bootstrapPromise
	bootstraps []bootstrapMessage
	// serving are the voter sets of which a majority was active at one time.
	serving []bootstrapVoters
}

func (s bootstrapState) clone() bootstrapState {
	s.requests, s.promises, s.bootstraps = slices.Clone(s.requests), slices.Clone(s.promises), slices.Clone(s.bootstraps)
	s.serving = slices.Clone(s.serving)
	return s
}

func appendIfMissing[T comparable](list []T, x T) []T {
	if slices.Contains(list, x) {
		return list
	}
	return append(list, x)
}

// Bounds of the search.
const (
	maxBootstrapWipes    = 2
	maxBootstrapRounds   = 2
	maxBootstrapRequests = 3
)

// bootstrapRules are the decisions under test, in which a fault may be planted.
type bootstrapRules struct {
	promise  func(r BootstrapRecord, request BootstrapRequest) (BootstrapRecord, string)
	mayAdopt func(r BootstrapRecord, bootstrap Bootstrap, from Voter) bool
}

var correctBootstrapRules = bootstrapRules{promise: BootstrapRecord.Promise, mayAdopt: BootstrapRecord.MayAdopt}

// diskIDsAt returns the disks that an address has had, as a Hello of an old one may be late.
func (s bootstrapState) diskIDsAt(i int) []uint64 {
	var out []uint64
	for id := uint64(i+1) * 10; id <= s.nodes[i].id; id++ {
		out = append(out, id)
	}
	return out
}

// activate makes a node an active member, which hands its voter set on from then on.
func (s *bootstrapState) activate(i int, p bootstrapProposal) {
	s.nodes[i].active = p
	s.nodes[i].record.Round = p.round
	s.bootstraps = appendIfMissing(s.bootstraps, bootstrapMessage{p, Voter{ID: s.nodes[i].id, Address: ids.Address(fmt.Sprint(i))}})
	active := 0
	for _, node := range s.nodes {
		if node.active.set == p.set {
			active++
		}
	}
	if active >= 2 {
		s.serving = appendIfMissing(s.serving, p.set)
	}
}

// successors returns every state that may come next.
func (s bootstrapState) successors(rules bootstrapRules) []bootstrapState {
	var out []bootstrapState
	out = append(out, s.proposerSuccessors()...)
	for i := range s.nodes {
		out = append(out, s.nodeSuccessors(i, rules)...)
		if s.wipes < maxBootstrapWipes {
			c := s.clone()
			c.wipes++
			c.nodes[i] = bootstrapNode{id: s.nodes[i].id + 1}
			out = append(out, c)
		}
	}
	return out
}

// proposerSuccessors are the steps of the first node: to propose, and to activate a voter set
// that all have promised.
func (s bootstrapState) proposerSuccessors() []bootstrapState {
	var out []bootstrapState
	proposer := s.nodes[0]
	if proposer.active.round != 0 {
		return nil
	}
	for round := proposer.record.Round + 1; round <= maxBootstrapRounds && len(s.requests) < maxBootstrapRequests; round++ {
		for _, b := range s.diskIDsAt(1) {
			for _, c := range s.diskIDsAt(2) {
				next := s.clone()
				p := bootstrapProposal{round, bootstrapVoters{proposer.id, b, c}}
				next.nodes[0].proposal = p
				next.requests = appendIfMissing(next.requests, p)
				out = append(out, next)
			}
		}
	}
	if proposer.proposal.round == 0 {
		return out
	}
	promised := 0
	for _, id := range proposer.proposal.set {
		if slices.Contains(s.promises, bootstrapPromise{proposer.proposal, id}) {
			promised++
		}
	}
	if promised == 3 && proposer.record.IsLastPromised(BootstrapRequest{proposer.proposal.round, proposer.proposal.set.voterSet()}) {
		c := s.clone()
		c.activate(0, proposer.proposal)
		out = append(out, c)
	}
	return out
}

// nodeSuccessors are the steps of any node: to promise, and to adopt a voter set.
func (s bootstrapState) nodeSuccessors(i int, rules bootstrapRules) []bootstrapState {
	var out []bootstrapState
	n := s.nodes[i]
	if n.active.round != 0 {
		return nil
	}
	for _, p := range s.requests {
		if !slices.Contains(p.set[:], n.id) {
			continue
		}
		if record, rejection := rules.promise(n.record, BootstrapRequest{p.round, p.set.voterSet()}); rejection == "" {
			c := s.clone()
			c.nodes[i].record = record
			c.promises = appendIfMissing(c.promises, bootstrapPromise{p, n.id})
			out = append(out, c)
		}
	}
	for _, m := range s.bootstraps {
		if slices.Contains(m.set[:], n.id) && rules.mayAdopt(n.record, Bootstrap{VoterSet: m.set.voterSet(), Round: m.round}, m.from) {
			c := s.clone()
			c.activate(i, m.bootstrapProposal)
			out = append(out, c)
		}
	}
	return out
}

// violation says which invariant a state violates, empty for none.
func (s bootstrapState) violation() string {
	for i, v := range s.serving {
		for _, w := range s.serving[:i] {
			for _, id := range v {
				if slices.Contains(w[:], id) {
					return fmt.Sprintf("%v and %v have both served, and share disk %d", v, w, id)
				}
			}
		}
	}
	// A voter set whose only active member was wiped is gone; two active ones are a split.
	for _, n := range s.nodes {
		for _, m := range s.nodes {
			if n.active.round != 0 && m.active.round != 0 && n.active.set != m.active.set && slices.Contains(m.active.set[:], n.id) {
				return fmt.Sprintf("disk %d is in %v, while disk %d is in %v", n.id, n.active.set, m.id, m.active.set)
			}
		}
	}
	return ""
}
