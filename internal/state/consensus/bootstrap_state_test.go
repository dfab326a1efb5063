package consensus

import (
	"fmt"
	"slices"

	"dunlinwell/internal/base/ids"
)

// The bootstrap model consists of three seeds, the first of which is the proposer. Delivered
// messages stay available, so the search covers all reordering, loss, delay and duplication.
// Between any two steps, a disk may be wiped or the proposer restarted. The decisions are those
// of BootstrapRecord.

// bootstrapVoters holds the disk IDs of a proposed voter set, indexed by seed.
type bootstrapVoters [3]uint64

func (v bootstrapVoters) voterSet() VoterSet {
	set := VoterSet{Number: 1}
	for i, id := range v {
		set.Voters = append(set.Voters, Voter{ID: id, Address: ids.Address(fmt.Sprint(i))})
	}
	return set
}

// bootstrapProposal is a request to join a proposed voter set.
type bootstrapProposal struct {
	round uint64
	set   bootstrapVoters
}

// bootstrapNode is the state of one seed.
type bootstrapNode struct {
	// id is the ID of the seed's disk.
	id     uint64
	record BootstrapRecord
	// active is the proposal whose voter set the seed is active in, zero for none.
	active bootstrapProposal
	// proposal is the last proposal, for the proposer only.
	proposal bootstrapProposal
}

// bootstrapPromise is a store's promise for a proposal.
type bootstrapPromise struct {
	bootstrapProposal
	store uint64
}

// bootstrapMessage sends a voter set from an active member to the others.
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
	// activeSets lists the voter sets that were active at a majority of their members at once.
	activeSets []bootstrapVoters
}

func (s bootstrapState) clone() bootstrapState {
	s.requests, s.promises, s.bootstraps = slices.Clone(s.requests), slices.Clone(s.promises), slices.Clone(s.bootstraps)
	s.activeSets = slices.Clone(s.activeSets)
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

// bootstrapRules holds the decisions under test, so that a test can inject faults.
type bootstrapRules struct {
	promise  func(r BootstrapRecord, request BootstrapRequest) (BootstrapRecord, string)
	mayAdopt func(r BootstrapRecord, bootstrap Bootstrap, from Voter) bool
}

var correctBootstrapRules = bootstrapRules{promise: BootstrapRecord.Promise, mayAdopt: BootstrapRecord.MayAdopt}

// diskIDsAt returns the IDs of all disks that seed i has had. A delayed Hello may still carry
// the ID of a wiped disk.
func (s bootstrapState) diskIDsAt(i int) []uint64 {
	var out []uint64
	for id := uint64(i+1) * 10; id <= s.nodes[i].id; id++ {
		out = append(out, id)
	}
	return out
}

// activate makes a node an active member of a proposed voter set, which it sends to the others.
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
		s.activeSets = appendIfMissing(s.activeSets, p.set)
	}
}

// successors returns all states that one step leads to.
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

// proposerSuccessors returns the states after a step of the proposer: a proposal, or the
// activation of a voter set that all its members promised.
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

// nodeSuccessors returns the states after node i promises a proposal or adopts a voter set.
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

// violation describes the invariant that the state violates, empty for none.
func (s bootstrapState) violation() string {
	for i, v := range s.activeSets {
		for _, w := range s.activeSets[:i] {
			for _, id := range v {
				if slices.Contains(w[:], id) {
					return fmt.Sprintf("voter sets %v and %v were both active at a majority and share disk %d", v, w, id)
				}
			}
		}
	}
	// No active node may be a member of the voter set of a node that is active in another set.
	// A wiped node is no longer active.
	for _, n := range s.nodes {
		for _, m := range s.nodes {
			if n.active.round != 0 && m.active.round != 0 && n.active.set != m.active.set && slices.Contains(m.active.set[:], n.id) {
				return fmt.Sprintf("disk %d is active in %v, but disk %d is active in %v", n.id, n.active.set, m.id, m.active.set)
			}
		}
	}
	return ""
}
