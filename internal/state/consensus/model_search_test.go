package consensus

import (
	"flag"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// searchResult holds the statistics of a search and the first violation, empty for none.
type searchResult struct {
	states, repaired, depth int
	violation               string
}

// search visits, breadth first, every state reachable by up to b.depth events, and stops at the
// first violation.
func search(b modelBounds) searchResult {
	result := searchResult{}
	seen := map[uint64]bool{}
	level := []*modelState{initialModelState(b)}
	for ; len(level) > 0 && result.depth <= b.depth; result.depth++ {
		results := make([]visitResult, len(level))
		var workers sync.WaitGroup
		chunk := (len(level) + modelWorkers - 1) / modelWorkers
		for from := 0; from < len(level); from += chunk {
			workers.Add(1)
			go func() {
				defer workers.Done()
				for i := from; i < min(from+chunk, len(level)); i++ {
					results[i] = visit(level[i], b, result.depth)
				}
			}()
		}
		workers.Wait()
		level = nil
		for _, r := range results {
			result.states++
			result.repaired += r.repaired
			if r.violation != "" {
				result.violation = r.violation
				return result
			}
			for i, n := range r.successors {
				if !seen[r.hashes[i]] {
					seen[r.hashes[i]] = true
					level = append(level, n)
				}
			}
		}
	}
	return result
}

const (
	modelWorkers = 3
	// repairSampleInterval: the repair is checked for one in this many states, chosen by hash,
	// and for every state that directly follows a loss.
	repairSampleInterval = 16
)

// visitResult is the result of visiting one state.
type visitResult struct {
	successors []*modelState
	hashes     []uint64
	repaired   int
	violation  string
}

// visit checks one state and, below the depth limit, computes its successors.
func visit(st *modelState, b modelBounds, depth int) (v visitResult) {
	if v.violation = st.violation; v.violation != "" {
		return v
	}
	if st.isRepairable() && (st.lastWasLoss || st.hash()%repairSampleInterval == 0) {
		v.repaired = 1
		if v.violation = st.copy().repair(); v.violation != "" {
			return v
		}
	}
	if depth == b.depth {
		return v
	}
	v.successors = st.successors(b)
	for _, n := range v.successors {
		v.hashes = append(v.hashes, n.hash())
	}
	return v
}

// isRepairable reports whether some chosen voter set still has a quorum of complete disks.
func (st *modelState) isRepairable() bool {
	complete := map[uint64]bool{}
	for _, s := range st.stores {
		complete[s.acceptor.storeID] = s.acceptor.DiskState() == Complete
	}
	for _, set := range st.sets {
		if set.IsQuorum(complete) {
			return true
		}
	}
	return false
}

// repair executes all pending events without further losses and returns the violation, empty for
// none. In the end, there must be three complete voters, and the value must contain every
// acknowledged change exactly once.
func (st *modelState) repair() string {
	for range 40 {
		if st.violation != "" {
			return st.violation
		}
		if st.isRepaired() {
			return st.checkAcknowledged()
		}
		st.repairStep()
	}
	return "the voter set was not repaired"
}

// repairStep executes the next actions of the store on each machine.
func (st *modelState) repairStep() {
	for len(st.inTransit) > 0 {
		st.deliver(0)
	}
	for i := range st.stores {
		// A replaced store restarts with an empty disk.
		if st.stores[i].acceptor.DiskState() == Replaced {
			st.wipe(i, true)
		}
		for _, set := range st.sets {
			if set.Number > st.stores[i].acceptor.voterSet.Number {
				st.mutableStore(i)
				st.adopt(i, set)
			}
		}
		_, requestPending := st.stores[i].proposer.rounds[VoterSetKey]
		if lost, ok := st.replaceableVoter(i); ok && !requestPending {
			st.requestReplacement(i, lost)
		}
		for j := range st.stores {
			if st.mayCopy(i, j) {
				st.copyFrom(i, j)
			}
		}
		_, requestPending = st.stores[i].proposer.rounds[VoterSetKey]
		if a := st.stores[i].acceptor; !requestPending && a.DiskState() == Complete && slices.Contains(a.voterSet.Learners, a.storeID) {
			st.submit(i, OpPromoteLearner, PromoteLearnerRequest{ID: a.storeID})
		}
		if len(st.stores[i].proposer.rounds) > 0 {
			st.tick(i)
		}
	}
}

// isRepaired reports whether all three stores are complete voters of the newest voter set.
func (st *modelState) isRepaired() bool {
	set := st.sets[len(st.sets)-1]
	for _, s := range st.stores {
		a := s.acceptor
		if a.voterSet.Number != set.Number || len(set.Learners) > 0 || a.DiskState() != Complete || !a.MayVote() {
			return false
		}
	}
	return true
}

// checkAcknowledged makes a final change and checks that the value contains every change
// acknowledged before it exactly once.
func (st *modelState) checkAcknowledged() string {
	acknowledged := st.acknowledged
	st.submitAppend(0, "z", "z")
	for range 20 {
		for len(st.inTransit) > 0 {
			st.deliver(0)
		}
		if strings.Contains(st.acknowledged, "z") || st.violation != "" {
			break
		}
		st.tick(0)
	}
	if st.violation != "" {
		return st.violation
	}
	if !strings.Contains(st.acknowledged, "z") {
		return "a repaired voter set accepts no change"
	}
	_, value := st.stores[0].acceptor.AcceptedValue("x")
	for _, letter := range acknowledged {
		if strings.Count(string(value), string(letter)) != 1 {
			return "acknowledged " + acknowledged + ", but the value is " + string(value)
		}
	}
	return ""
}

// extraDepth is added to the depth of the searches without injected faults.
var extraDepth = flag.Int("deeper", 0, "number of events added to the depth of the model searches")

// No order of losses, repairs and messages violates an invariant.
func TestModel_LossesAndRepairsViolateNoInvariant(t *testing.T) {
	for name, b := range map[string]modelBounds{
		"two losses":                            {depth: 7 + *extraDepth, wipes: 2, atomicRounds: true},
		"one loss, with the lost disk restored": {depth: 6 + *extraDepth, wipes: 1, restores: 1, crashes: 1, atomicRounds: true},
		"every message is an event":             {depth: 5 + *extraDepth, wipes: 2, crashes: 1, ticks: 1},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			result := search(b)
			t.Logf("%d states up to depth %d, %d of them repaired, %v", result.states, b.depth, result.repaired, time.Since(began))
			if result.violation != "" {
				t.Fatal(result.violation)
			}
		})
	}
}

// The search detects each injected fault.
func TestModel_DetectsInjectedFaults(t *testing.T) {
	for name, b := range map[string]modelBounds{
		"copy complete before the last pass": {depth: 9, wipes: 1, atomicRounds: true, fault: modelFault{completesEarly: true}},
		"votes while incomplete":             {depth: 9, wipes: 1, atomicRounds: true, fault: modelFault{votesWhileIncomplete: true}},
		"empty disk reuses the lost id":      {depth: 9, wipes: 2, atomicRounds: true, fault: modelFault{reusesLostID: true}},
		"votes under lower voter sets":       {depth: 9, wipes: 1, atomicRounds: true, fault: modelFault{votesUnderLowerSets: true}},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			result := search(b)
			t.Logf("detected after %d states at depth %d: %s, %v", result.states, result.depth, result.violation, time.Since(began))
			if result.violation == "" {
				t.Fatal("injected fault not detected")
			}
		})
	}
}
