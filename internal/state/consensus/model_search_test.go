package consensus

import (
	"flag"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// searchResult is what a search came to.
type searchResult struct {
	states, repaired, depth int
	violation               string
}

// search visits, level by level, every state that a number of events lead to,
// each once.
func search(b modelBounds) searchResult {
	found := searchResult{}
	seen := map[uint64]bool{}
	level := []*modelWorld{initialModelState(b)}
	for ; len(level) > 0 && found.depth <= b.depth; found.depth++ {
		results := make([]modelVisit, len(level))
		var workers sync.WaitGroup
		share := (len(level) + modelWorkers - 1) / modelWorkers
		for from := 0; from < len(level); from += share {
			workers.Add(1)
			go func() {
				defer workers.Done()
				for i := from; i < min(from+share, len(level)); i++ {
					results[i] = visit(level[i], b, found.depth)
				}
			}()
		}
		workers.Wait()
		level = nil
		for _, r := range results {
			found.states++
			found.repaired += r.repaired
			if r.violation != "" {
				found.violation = r.violation
				return found
			}
			for i, n := range r.next {
				if !seen[r.hashes[i]] {
					seen[r.hashes[i]] = true
					level = append(level, n)
				}
			}
		}
	}
	return found
}

const (
	modelWorkers = 3
	// settleEach: of the states that no loss has just led to, one in so many is
	// let go on to its end.
	repairEach = 16
)

type modelVisit struct {
	next      []*modelWorld
	hashes    []uint64
	repaired  int
	violation string
}

// visit checks one state and gives those that follow.
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

// isRepairable tells whether a majority of an agreed voter set still has its disks
// with a complete copy.
func (w *modelWorld) isRepairable() bool {
	have := map[uint64]bool{}
	for _, s := range w.stores {
		have[s.acceptor.storeID] = s.acceptor.DiskState() == Complete
	}
	for _, set := range w.sets {
		if set.IsQuorum(have) {
			return true
		}
	}
	return false
}

// repair lets everything happen that is under way, with no more losses. It ends
// with three voters, and with every acknowledged change in the value, once.
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
	return "not whole in the end"
}

func (w *modelWorld) repairStep() {
	for len(w.inTransit) > 0 {
		w.deliver(0)
	}
	for i := range w.stores {
		// Its folder is set aside, as its successor can't run at its address.
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

// checkAcknowledged adds a last change and looks for all that was acknowledged.
func (w *modelWorld) checkAcknowledged() string {
	acked := w.acknowledged
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
		return "a whole voter set takes no change"
	}
	_, value := w.stores[0].acceptor.AcceptedValue("x")
	for _, token := range acked {
		if strings.Count(string(value), string(token)) != 1 {
			return "acknowledged " + acked + ", but the value is " + string(value)
		}
	}
	return ""
}

// deeper adds events to each search; CI adds none.
var deeper = flag.Int("deeper", 0, "how many more events the searches of the model go through")

// The searches that CI makes. Rounds are one event in the first two, and every
// message is in the third.
func TestModel_AllOrdersOfLossesAndRepairs(t *testing.T) {
	for name, b := range map[string]modelBounds{
		"two losses":                   {depth: 7 + *deeper, wipes: 2, wholeRounds: true},
		"a loss, and its disk is back": {depth: 6 + *deeper, wipes: 1, restores: 1, crashes: 1, wholeRounds: true},
		"message by message":           {depth: 5 + *deeper, wipes: 2, crashes: 1, ticks: 1},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			f := search(b)
			t.Logf("%d states up to depth %d, %d of them let go on to the end, %v", f.states, b.depth, f.repaired, time.Since(began))
			if f.violation != "" {
				t.Fatal(f.violation)
			}
		})
	}
}

// Each planted mistake is found.
func TestModel_FindsPlantedMistakes(t *testing.T) {
	for name, b := range map[string]modelBounds{
		"votes before the last pass":   {depth: 9, wipes: 1, wholeRounds: true, fault: modelFault{completesEarly: true}},
		"votes though blank":           {depth: 9, wipes: 1, wholeRounds: true, fault: modelFault{votesBlank: true}},
		"blank disk with the old id":   {depth: 9, wipes: 2, wholeRounds: true, fault: modelFault{keepsID: true}},
		"votes under lower voter sets": {depth: 9, wipes: 1, wholeRounds: true, fault: modelFault{votesUnderLowerSets: true}},
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
