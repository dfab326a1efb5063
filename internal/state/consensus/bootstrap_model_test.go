package consensus

import (
	"hash/fnv"
	"testing"
)

// exploreBootstrap visits, breadth first, every state within the bounds and up to a number of
// steps. It reports whether any voter set became active at a majority, and returns the first
// violation.
func exploreBootstrap(depth int, rules bootstrapRules) (visited int, anyActive bool, violation string) {
	start := bootstrapState{}
	for i := range start.nodes {
		start.nodes[i].id = uint64(i+1) * 10
	}
	seen := map[uint64]bool{}
	level := []bootstrapState{start}
	for range depth {
		var next []bootstrapState
		for _, s := range level {
			for _, c := range s.successors(rules) {
				if hash := c.hash(); !seen[hash] {
					seen[hash] = true
					next = append(next, c)
				}
				anyActive = anyActive || len(c.activeSets) > 0
				if violation := c.violation(); violation != "" {
					return len(seen), anyActive, violation
				}
			}
		}
		level = next
	}
	return len(seen), anyActive, ""
}

// hash returns a hash of the state that doesn't depend on the order of its lists.
func (s bootstrapState) hash() uint64 {
	h := fnv.New64a()
	write := func(values ...uint64) {
		for _, v := range values {
			_, _ = h.Write([]byte{byte(v)})
		}
		_, _ = h.Write([]byte{255})
	}
	proposal := func(p bootstrapProposal) { write(p.round, p.set[0], p.set[1], p.set[2]) }
	for _, n := range s.nodes {
		write(n.id, n.record.Round)
		for _, v := range n.record.PromisedVoterSets {
			write(v.Voters[0].ID, v.Voters[1].ID, v.Voters[2].ID)
		}
		proposal(n.active)
		proposal(n.proposal)
	}
	write(uint64(s.wipes))
	sum := uint64(0)
	for _, p := range s.requests {
		sum += hashParts(1, p.round, p.set[0], p.set[1], p.set[2])
	}
	for _, p := range s.promises {
		sum += hashParts(2, p.round, p.set[0], p.set[1], p.set[2], p.store)
	}
	for _, p := range s.bootstraps {
		sum += hashParts(3, p.round, p.set[0], p.set[1], p.set[2], p.from.ID)
	}
	for _, v := range s.activeSets {
		sum += hashParts(4, v[0], v[1], v[2])
	}
	return h.Sum64() + sum
}

// hashParts returns the hash of one list element, which hash adds to those of the others.
func hashParts(parts ...uint64) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte{byte(p)})
	}
	return h.Sum64() * 0x9e3779b97f4a7c15
}

// For every order of messages, wipes and proposals, no two voter sets that were active at a
// majority share a disk, and no active node is a member of the voter set of a node that is
// active in another set.
func TestBootstrapModel(t *testing.T) {
	visited, anyActive, violation := exploreBootstrap(100, correctBootstrapRules)
	t.Logf("%d reachable states", visited)
	if violation != "" || !anyActive {
		t.Fatalf("voter set active at a majority: %v, violation: %s", anyActive, violation)
	}
}

// The search detects injected faults in the rules.
func TestBootstrapModel_DetectsInjectedFaults(t *testing.T) {
	forgetsPromises, ignoresPromises := correctBootstrapRules, correctBootstrapRules
	forgetsPromises.promise = func(r BootstrapRecord, request BootstrapRequest) (BootstrapRecord, string) {
		r.PromisedVoterSets = nil
		return r.Promise(request)
	}
	ignoresPromises.mayAdopt = func(BootstrapRecord, Bootstrap, Voter) bool { return true }
	for name, rules := range map[string]bootstrapRules{"promises forgotten": forgetsPromises, "promises ignored": ignoresPromises} {
		visited, _, violation := exploreBootstrap(100, rules)
		t.Logf("%s: %s after %d states", name, violation, visited)
		if violation == "" {
			t.Errorf("%s: injected fault not detected", name)
		}
	}
}
