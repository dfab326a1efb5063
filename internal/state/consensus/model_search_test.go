package consensus

import (
	"flag"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// searchResult is what a search has visited and result.
type searchResult struct {
	states, repaired, depth int
	violation               string
}

// search visits, breadth first, every state that b.depth events lead to, each once.
func search(b modelBounds) searchResult {
	result := searchResult{}
	seen := map[uint64]bool{}
	level := []*modelWorld{initialModelState(b)}
	for ; len(level) > 0 && result.depth <= b.depth; result.depth++ {
		results := make([]modelVisit, len(level))
		var workers sync.WaitGroup
		share := (len(level) + modelWorkers - 1) / modelWorkers
		for from := 0; from < len(level); from += share {
			workers.Add(1)
			go func() {
				defer workers.Done()
				for i := from; i < min(from+share, len(level)); i++ {
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
			for i, n := range r.next {
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
	// repairEach: one in so many of the states that no loss has just led to is repaired,
	// to see that it can be.
	repairEach = 16
)

// modelVisit is what the visit of one state has found.
type modelVisit struct {
	next      []*modelWorld
	hashes    []uint64
	repaired  int
	violation string
}

// visit checks one state and returns those that follow.
func visit(w *modelWorld, b modelBounds, depth int) (v modelVisit) {
	if v.violation = w.violation; v.violation != "" {
		return v
	}
	if w.isRepairable() && (w.lastWasLoss || w.hash()%repairEach == 0) {
		v.repaired = 1
		if v.violation = w.copy().repair(); v.violation != "" {
			return v
		}
	}
	if depth == b.depth {
		return v
	}
	v.next = w.next(b)
	for _, n := range v.next {
		v.hashes = append(v.hashes, n.hash())
	}
	return v
}

// isRepairable reports whether a quorum of some chosen voter set still has complete disks.
func (w *modelWorld) isRepairable() bool {
	complete := map[uint64]bool{}
	for _, s := range w.stores {
		complete[s.acceptor.storeID] = s.acceptor.DiskState() == Complete
	}
	for _, set := range w.sets {
		if set.IsQuorum(complete) {
			return true
		}
	}
	return false
}

// repair lets all pending events happen, with no more losses, and returns what is violated
// then: there must be three complete voters, and every acknowledged change must be in the
// value, once.
func (w *modelWorld) repair() string {
	for range 40 {
		if w.violation != "" {
			return w.violation
		}
		if w.isRepaired() {
			return w.checkAcknowledged()
		}
		w.repairStep()
	}
	return "not repaired in the end"
}

// repairStep does at each machine what its store would do next.
func (w *modelWorld) repairStep() {
	for len(w.inTransit) > 0 {
		w.deliver(0)
	}
	for i := range w.stores {
		// The folder of a replaced store is set aside, and it restarts as blank.
		if w.stores[i].acceptor.DiskState() == Replaced {
			w.wipe(i, true)
		}
		for _, set := range w.sets {
			if set.Number > w.stores[i].acceptor.voterSet.Number {
				w.ownStore(i)
				w.adopt(i, set)
			}
		}
		_, asking := w.stores[i].proposer.rounds[VoterSetKey]
		if lost, ok := w.replaceableVoter(i); ok && !asking {
			w.join(i, lost)
		}
		for j := range w.stores {
			if w.mayCopy(i, j) {
				w.copyFrom(i, j)
			}
		}
		_, asking = w.stores[i].proposer.rounds[VoterSetKey]
		if a := w.stores[i].acceptor; !asking && a.DiskState() == Complete && slices.Contains(a.voterSet.Learners, a.storeID) {
			w.submit(i, OpPromoteLearner, PromoteLearnerRequest{ID: a.storeID})
		}
		if len(w.stores[i].proposer.rounds) > 0 {
			w.tick(i)
		}
	}
}

// isRepaired reports whether three complete voters use the newest voter set.
func (w *modelWorld) isRepaired() bool {
	set := w.sets[len(w.sets)-1]
	for _, s := range w.stores {
		a := s.acceptor
		if a.voterSet.Number != set.Number || len(set.Learners) > 0 || a.DiskState() != Complete || !a.MayVote() {
			return false
		}
	}
	return true
}

// checkAcknowledged makes a last change and looks for all that was acknowledged before.
func (w *modelWorld) checkAcknowledged() string {
	acknowledged := w.acknowledged
	w.submitAppend(0, "z", "z")
	for range 20 {
		for len(w.inTransit) > 0 {
			w.deliver(0)
		}
		if strings.Contains(w.acknowledged, "z") || w.violation != "" {
			break
		}
		w.tick(0)
	}
	if w.violation != "" {
		return w.violation
	}
	if !strings.Contains(w.acknowledged, "z") {
		return "a repaired voter set takes no change"
	}
	_, value := w.stores[0].acceptor.AcceptedValue("x")
	for _, letter := range acknowledged {
		if strings.Count(string(value), string(letter)) != 1 {
			return "acknowledged " + acknowledged + ", but the value is " + string(value)
		}
	}
	return ""
}

// deeper adds events to the depth of each search. CI adds none.
var deeper = flag.Int("deeper", 0, "how many more events the searches of the model go through")

// Whatever the order of losses, repairs and messages, no invariant is violated. Rounds are
// one event in the first two searches, and every message is one in the third.
func TestModel_AllOrdersOfLossesAndRepairs(t *testing.T) {
	for name, b := range map[string]modelBounds{
		"two losses":                       {depth: 7 + *deeper, wipes: 2, wholeRounds: true},
		"a loss, and its disk is restored": {depth: 6 + *deeper, wipes: 1, restores: 1, crashes: 1, wholeRounds: true},
		"message by message":               {depth: 5 + *deeper, wipes: 2, crashes: 1, ticks: 1},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			f := search(b)
			t.Logf("%d states up to depth %d, %d of them repaired, %v", f.states, b.depth, f.repaired, time.Since(began))
			if f.violation != "" {
				t.Fatal(f.violation)
			}
		})
	}
}

// Each planted fault is found.
func TestModel_FindsPlantedMistakes(t *testing.T) {
	for name, b := range map[string]modelBounds{
		"completes before the last pass": {depth: 9, wipes: 1, wholeRounds: true, fault: modelFault{completesEarly: true}},
		"votes though blank":             {depth: 9, wipes: 1, wholeRounds: true, fault: modelFault{votesBlank: true}},
		"blank disk with the lost id":    {depth: 9, wipes: 2, wholeRounds: true, fault: modelFault{keepsID: true}},
		"votes under lower voter sets":   {depth: 9, wipes: 1, wholeRounds: true, fault: modelFault{votesUnderLowerSets: true}},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			f := search(b)
			t.Logf("found after %d states at depth %d: %s %v", f.states, f.depth, f.violation, time.Since(began))
			if f.violation == "" {
				t.Fatal("not found")
			}
		})
	}
}
