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

// registerModel is the configuration's register as its callers may see it: each accepted
// change makes the next revision, and a reading gives the newest. One state is
// one revision, and one revision one content.
var registerModel = porcupine.Model{
	Init: func() any { return ids.Revision(0) },
	Step: func(state, in, _ any) (bool, any) {
		at, o := state.(ids.Revision), in.(Operation)
		switch {
		case !o.Change:
			return o.Revision == at, at
		case o.Known:
			return o.Revision == at+1, at + 1
		}
		// Its outcome is unknown: it may take effect here, or after everything else.
		return true, at + 1
	},
}

// linearizable checks the history of a run.
func linearizable(list []Operation) error {
	contents := map[ids.Revision]string{}
	var ops []porcupine.Operation
	for i, o := range list {
		if c, ok := contents[o.Revision]; ok && !o.Change && c != o.Content {
			return fmt.Errorf("revision %d was read with two contents", o.Revision)
		}
		if !o.Change {
			contents[o.Revision] = o.Content
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: o, Call: int64(o.Called), Return: int64(o.Returned)})
	}
	if r := porcupine.CheckOperationsTimeout(registerModel, ops, 30*time.Second); r != porcupine.Ok {
		return fmt.Errorf("the history of %d operations: %s", len(list), r)
	}
	return nil
}

// countOperations gives how many changes and readings a history has.
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

// Histories of changes and reads under kills, freezes, partitions, stalls, restarts and disks lost in
// turn are linearizable.
func TestHistory_IsLinearizable(t *testing.T) {
	wipes := func(w *World) {
		w.schedule(3*time.Second, func() { w.wipeInSequence([]int{0, 1, 2, 1}, 4500*millisecond, func(time.Duration) {}) })
	}
	for name, script := range map[string]func(*World){"trouble": nil, "wipes": wipes} {
		for seed := uint64(1); seed <= 4; seed++ {
			t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				o := Run(Options{Seed: seed, Length: 50 * time.Second, Script: script})
				changes, reads := countOperations(o.History)
				t.Logf("%d changes, %d readings", changes, reads)
				is.True(changes > 30 && reads > 10)
				is.NoErr(linearizable(o.History))
			})
		}
	}
}

// loseEveryTenthChange acknowledges every tenth change and keeps nothing of it.
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

// staleReads answers some readings with the configuration as it was early in the run.
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

// A planted lost write and a planted stale reading are found in the history.
func TestHistory_PlantedDefectsAreDetected(t *testing.T) {
	for name, defect := range map[string]Defect{"lost write": {Ops: loseEveryTenthChange()}, "stale reading": {Message: staleReads()}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := Run(Options{Seed: 1, Length: 40 * time.Second, Defect: defect})
			err := linearizable(o.History)
			changes, reads := countOperations(o.History)
			t.Logf("%d changes, %d readings: %v", changes, reads, err)
			if err == nil {
				t.Fatal("not found")
			}
		})
	}
}
