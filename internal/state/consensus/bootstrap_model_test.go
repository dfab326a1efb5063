package consensus

import (
	"hash/fnv"
	"testing"
)

// exploreBootstrap visits every state within the bounds, up to a number of
// steps, and gives what is broken first.
func exploreBootstrap(depth int, rules bootstrapRules) (visited int, served bool, broken string) {
	start := bootstrapState{}
	for i := range start.nodes {
		start.nodes[i].id = uint64(i+1) * 10
	}
	seen := map[uint64]bool{}
	layer := []bootstrapState{start}
	for range depth {
		var next []bootstrapState
		for _, s := range layer {
			for _, c := range s.steps(rules) {
				if key := c.key(); !seen[key] {
					seen[key] = true
					next = append(next, c)
				}
				served = served || len(c.serving) > 0
				if why := c.violation(); why != "" {
					return len(seen), served, why
				}
			}
		}
		layer = next
	}
	return len(seen), served, ""
}

// key sums a state up; lists are kept in order, so that equal states are one.
func (s bootstrapState) key() uint64 {
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
		sum += mix(1, p.round, p.set[0], p.set[1], p.set[2])
	}
	for _, p := range s.promises {
		sum += mix(2, p.round, p.set[0], p.set[1], p.set[2], p.store)
	}
	for _, p := range s.bootstraps {
		sum += mix(3, p.round, p.set[0], p.set[1], p.set[2], p.from.ID)
	}
	for _, v := range s.serving {
		sum += mix(4, v[0], v[1], v[2])
	}
	return h.Sum64() + sum
}

// mix sums up the parts of an item of a set.
func mix(parts ...uint64) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte{byte(p)})
	}
	return h.Sum64() * 0x9e3779b97f4a7c15
}

// Whatever the order of messages, wipes and proposals: no two foundings both
// serve with a disk in common, and no two members that live disagree.
func TestBootstrapModel(t *testing.T) {
	visited, served, broken := exploreBootstrap(100, correctBootstrapRules)
	t.Logf("%d states, all that can be reached", visited)
	if broken != "" || !served {
		t.Fatalf("served %v, broken: %s", served, broken)
	}
}

// The model finds the mistakes that the rules are there for.
func TestBootstrapModel_FindsPlantedMistakes(t *testing.T) {
	anySet, anyFollow := correctBootstrapRules, correctBootstrapRules
	anySet.promise = func(f BootstrapRecord, r BootstrapRequest) (BootstrapRecord, string) {
		f.PromisedVoterSets = nil // what was promised before is forgotten
		return f.Promise(r)
	}
	anyFollow.follows = func(BootstrapRecord, Bootstrap, Voter) bool { return true }
	for name, rules := range map[string]bootstrapRules{"promises forgotten": anySet, "promises ignored": anyFollow} {
		visited, _, broken := exploreBootstrap(100, rules)
		t.Logf("%s: %s after %d states", name, broken, visited)
		if broken == "" {
			t.Errorf("%s: not found", name)
		}
	}
}
