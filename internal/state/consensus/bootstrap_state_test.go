package consensus

import (
	"fmt"
	"slices"

	"dunlinwell/internal/base/ids"
)

// The model of a founding: three seeds, of which the first proposes. Messages
// are never used up, so every order, loss, delay and doubling of them is among
// the paths; a disk may be wiped and the founder restarted between any two steps.
// FoundingRecord's own functions decide.

type bootstrapVoters [3]uint64

func (v bootstrapVoters) voterSet() VoterSet {
	r := VoterSet{Number: 1}
	for i, id := range v {
		r.Voters = append(r.Voters, Voter{ID: id, Address: ids.Address(fmt.Sprint(i))})
	}
	return r
}

type bootstrapProposal struct {
	round uint64
	set   bootstrapVoters
}

// bootstrapNode is one seed: its disk's id, its record, and the set it is active in.
type bootstrapNode struct {
	id       uint64
	record   BootstrapRecord
	active   bootstrapProposal
	proposal bootstrapProposal
}

type bootstrapPromise struct {
	bootstrapProposal
	store uint64
}

type bootstrapMessage struct {
	bootstrapProposal
	from Voter
}

type bootstrapState struct {
	nodes      [3]bootstrapNode
	wipes      int
	requests   []bootstrapProposal
	promises   []bootstrapPromise
	bootstraps []bootstrapMessage
	// serving are the sets that a majority was active in at one time.
	serving []bootstrapVoters
}

func (s bootstrapState) clone() bootstrapState {
	s.requests, s.promises, s.bootstraps = slices.Clone(s.requests), slices.Clone(s.promises), slices.Clone(s.bootstraps)
	s.serving = slices.Clone(s.serving)
	return s
}

func addMessage[T comparable](list []T, x T) []T {
	if slices.Contains(list, x) {
		return list
	}
	return append(list, x)
}

const (
	maxBootstrapWipes    = 2
	maxBootstrapRounds   = 2
	maxBootstrapRequests = 3
)

// bootstrapRules are the decisions under test; a mistake may be planted in them.
type bootstrapRules struct {
	promise func(f BootstrapRecord, r BootstrapRequest) (BootstrapRecord, string)
	follows func(f BootstrapRecord, b Bootstrap, from Voter) bool
}

var correctBootstrapRules = bootstrapRules{promise: BootstrapRecord.Promise, follows: BootstrapRecord.MayAdopt}

// idsAt are the disks that an address has had: hellos of old ones may be late.
func (s bootstrapState) idsAt(i int) []uint64 {
	var out []uint64
	for id := uint64(i+1) * 10; id <= s.nodes[i].id; id++ {
		out = append(out, id)
	}
	return out
}

// activate makes a node a member, which from then on hands its set on.
func (s *bootstrapState) activate(i int, p bootstrapProposal) {
	s.nodes[i].active = p
	s.nodes[i].record.Round = p.round
	s.bootstraps = addMessage(s.bootstraps, bootstrapMessage{p, Voter{ID: s.nodes[i].id, Address: ids.Address(fmt.Sprint(i))}})
	n := 0
	for _, x := range s.nodes {
		if x.active.set == p.set {
			n++
		}
	}
	if n >= 2 {
		s.serving = addMessage(s.serving, p.set)
	}
}

// steps gives every state that may come next.
func (s bootstrapState) steps(rules bootstrapRules) []bootstrapState {
	var out []bootstrapState
	out = append(out, s.proposerSteps()...)
	for i := range s.nodes {
		out = append(out, s.seedSteps(i, rules)...)
		if s.wipes < maxBootstrapWipes {
			c := s.clone()
			c.wipes++
			c.nodes[i] = bootstrapNode{id: s.nodes[i].id + 1}
			out = append(out, c)
		}
	}
	return out
}

func (s bootstrapState) proposerSteps() []bootstrapState {
	var out []bootstrapState
	f := s.nodes[0]
	if f.active.round != 0 {
		return nil
	}
	for round := f.record.Round + 1; round <= maxBootstrapRounds && len(s.requests) < maxBootstrapRequests; round++ {
		for _, b := range s.idsAt(1) {
			for _, c := range s.idsAt(2) {
				next := s.clone()
				p := bootstrapProposal{round, bootstrapVoters{f.id, b, c}}
				next.nodes[0].proposal = p
				next.requests = addMessage(next.requests, p)
				out = append(out, next)
			}
		}
	}
	if f.proposal.round == 0 {
		return out
	}
	promised := 0
	for _, id := range f.proposal.set {
		if slices.Contains(s.promises, bootstrapPromise{f.proposal, id}) {
			promised++
		}
	}
	if promised == 3 && f.record.IsLastPromised(BootstrapRequest{f.proposal.round, f.proposal.set.voterSet()}) {
		c := s.clone()
		c.activate(0, f.proposal)
		out = append(out, c)
	}
	return out
}

func (s bootstrapState) seedSteps(i int, rules bootstrapRules) []bootstrapState {
	var out []bootstrapState
	n := s.nodes[i]
	if n.active.round != 0 {
		return nil
	}
	for _, p := range s.requests {
		if !slices.Contains(p.set[:], n.id) {
			continue
		}
		if record, why := rules.promise(n.record, BootstrapRequest{p.round, p.set.voterSet()}); why == "" {
			c := s.clone()
			c.nodes[i].record = record
			c.promises = addMessage(c.promises, bootstrapPromise{p, n.id})
			out = append(out, c)
		}
	}
	for _, m := range s.bootstraps {
		if slices.Contains(m.set[:], n.id) && rules.follows(n.record, Bootstrap{VoterSet: m.set.voterSet(), Round: m.round}, m.from) {
			c := s.clone()
			c.activate(i, m.bootstrapProposal)
			out = append(out, c)
		}
	}
	return out
}

// violation says which promise a state breaks.
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
	// A set whose only active member was wiped is gone; two at work are a split.
	for _, n := range s.nodes {
		for _, m := range s.nodes {
			if n.active.round != 0 && m.active.round != 0 && n.active.set != m.active.set && slices.Contains(m.active.set[:], n.id) {
				return fmt.Sprintf("disk %d is in %v, while disk %d is in %v", n.id, n.active.set, m.id, m.active.set)
			}
		}
	}
	return ""
}
