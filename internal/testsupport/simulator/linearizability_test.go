package simulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
)

// registerModel is the sequential specification of the configuration register: each accepted change
// creates the next revision, and a read returns the newest one. The state is the revision, which
// determines the content.
var registerModel = porcupine.Model{
	Init: func() any { return ids.Revision(0) },
	Step: func(state, in, _ any) (bool, any) {
		at, o := state.(ids.Revision), in.(Operation)
		switch {
		case !o.Change:
			return o.Revision == at, at
		case o.OutcomeKnown:
			return o.Revision == at+1, at + 1
		}
		// The outcome is unknown: the change may take effect here or after all other operations.
		return true, at + 1
	},
}

// linearizable returns an error if the history of a run is not linearizable.
func linearizable(list []Operation) error {
	contents := map[ids.Revision]string{}
	var ops []porcupine.Operation
	for i, o := range list {
		if c, ok := contents[o.Revision]; ok && !o.Change && c != o.Content {
			return fmt.Errorf("reads of revision %d returned different contents", o.Revision)
		}
		if !o.Change {
			contents[o.Revision] = o.Content
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: o, Call: int64(o.Called), Return: int64(o.Returned)})
	}
	if r := porcupine.CheckOperationsTimeout(registerModel, ops, 30*time.Second); r != porcupine.Ok {
		return fmt.Errorf("check of %d operations: %s", len(list), r)
	}
	return nil
}

// countOperations returns the numbers of changes and reads in a history.
func countOperations(list []Operation) (changes, reads int) {
	for _, o := range list {
		if o.Change {
			changes++
		} else {
			reads++
		}
	}
	return changes, reads
}

// Histories of changes and reads are linearizable under random faults and repeated disk losses.
func TestHistory_IsLinearizable(t *testing.T) {
	wipes := func(w *World) {
		w.schedule(3*time.Second, func() { w.wipeInSequence([]int{0, 1, 2, 1}, 4500*millisecond, func(time.Duration) {}) })
	}
	for name, script := range map[string]func(*World){"random faults": nil, "disk losses": wipes} {
		for seed := uint64(1); seed <= 4; seed++ {
			t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				o := Run(Options{Seed: seed, Length: 50 * time.Second, Script: script})
				changes, reads := countOperations(o.History)
				t.Logf("%d changes, %d reads", changes, reads)
				is.True(changes > 30 && reads > 10)
				is.NoErr(linearizable(o.History))
			})
		}
	}
}

// loseEveryTenthChange acknowledges every tenth change without applying it.
func loseEveryTenthChange() map[consensus.Op]consensus.ChangeFunc {
	n, inner := 0, configuration.Ops()[configuration.OpChange]
	return map[consensus.Op]consensus.ChangeFunc{configuration.OpChange: func(key ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
		next, out := inner(key, old, arg)
		if n++; n%10 == 0 {
			return old, out
		}
		return next, out
	}}
}

// staleReads answers some reads with an early configuration of the run.
func staleReads() func(from, to string, msg any) (any, bool) {
	var early []byte
	n := 0
	return func(_, _ string, msg any) (any, bool) {
		r, ok := msg.(consensus.Response)
		if !ok || r.Outcome != consensus.Succeeded {
			return msg, true
		}
		if p, err := configuration.Decode(r.Result); err == nil && p.Revision > 2 && len(p.Services) > 0 && early == nil {
			early = r.Result
		}
		if n++; r.Unchanged && early != nil && n%5 == 0 {
			r.Unchanged, r.Result = false, early
		}
		return r, true
	}
}

// A planted lost write and a planted stale read make the history not linearizable.
func TestHistory_PlantedDefectsAreDetected(t *testing.T) {
	for name, defect := range map[string]Defect{"lost write": {ReplacedOps: loseEveryTenthChange()}, "stale read": {AlterMessage: staleReads()}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := Run(Options{Seed: 1, Length: 40 * time.Second, Defect: defect})
			err := linearizable(o.History)
			changes, reads := countOperations(o.History)
			t.Logf("%d changes, %d reads: %v", changes, reads, err)
			if err == nil {
				t.Fatal("planted defect not detected")
			}
		})
	}
}
