package consensus

import (
	"hash/fnv"
	"testing"
)

// exploreBootstrap visits, breadth first, every state within the bounds and up to a number
// of steps. It returns whether some voter set came to serve, and the first violation.
func exploreBootstrap(depth int, rules bootstrapRules) (visited int, served bool, violation string) {
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
				if key := c.hash(); !seen[key] {
					seen[key] = true
					next = append(next, c)
				}
				served = served || len(c.serving) > 0
				if violation := c.violation(); violation != "" {
					return len(seen), served, violation
				}
			}
		}
		level = next
	}
	return len(seen), served, ""
}

// hash identifies a state; the messages count in any order.
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
	for _, v := range s.serving {
		sum += hashParts(4, v[0], v[1], v[2])
	}
	return h.Sum64() + sum
}

// hashParts identifies an item of a set by its parts.
func hashParts(parts ...uint64) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte{byte(p)})
	}
	return h.Sum64() * 0x9e3779b97f4a7c15
}

// Whatever the order of messages, wipes and proposals: no two voter sets that both served
// have a disk in common, and no two active members disagree.
func TestBootstrapModel(t *testing.T) {
	visited, served, violation := exploreBootstrap(100, correctBootstrapRules)
	t.Logf("%d states, all that can be reached", visited)
	if violation != "" || !served {
		t.Fatalf("served %v, violation: %s", served, violation)
	}
}

// The model finds the faults that the rules are there to prevent.
func TestBootstrapModel_FindsPlantedMistakes(t *testing.T) {
	forgetsPromises, ignoresPromises := correctBootstrapRules, correctBootstrapRules
	forgetsPromises.promise = func(r BootstrapRecord, request BootstrapRequest) (BootstrapRecord, string) {
		r.PromisedVoterSets = nil // what was promised before is forgotten
		return r.Promise(request)
	}
	ignoresPromises.mayAdopt = func(BootstrapRecord, Bootstrap, Voter) bool { return true }
	for name, rules := range map[string]bootstrapRules{"promises forgotten": forgetsPromises, "promises ignored": ignoresPromises} {
		visited, _, violation := exploreBootstrap(100, rules)
		t.Logf("%s: %s after %d states", name, violation, visited)
		if violation == "" {
			t.Errorf("%s: not found", name)
		}
	}
}
