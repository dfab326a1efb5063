package targets

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

func registeredTarget(id ids.InstanceID, seq ids.Sequence, by ids.DaemonID) Target {
	t := newTarget(id, 1, seq)
	t.Registrar, t.RegistrarRunID = by, 1
	return t
}

// A keeper that is there vouches for its targets; one that is lost leaves them
// more time than their own silence would.
func TestTable_RegistrarConfirmsItsTargets(t *testing.T) {
	is := is.New(t)
	table := newIncrementalTable()
	table.Self = "own"
	table.Merge(at(0), registeredTarget("a", 1, "other"), registeredTarget("b", 1, "own"))
	there := true
	play := func(from, to time.Duration) (gone []ids.InstanceID) {
		for now := from; now <= to; now += 500 * time.Millisecond {
			table.ConfirmRegistrars(at(now), func(d ids.DaemonID, run ids.RunID) bool { return there && d == "other" && run == 1 })
			for _, g := range table.Tick(at(now)) {
				gone = append(gone, g.Instance)
			}
		}
		return gone
	}
	// What this copy keeps itself is silent; the other's is vouched for.
	is.Equal(play(0, 20*time.Second), []ids.InstanceID{"b"})
	there = false
	is.Equal(len(play(20500*time.Millisecond, 29500*time.Millisecond)), 0)
	is.Equal(play(30*time.Second, 31*time.Second), []ids.InstanceID{"a"})
}

// A copy that has heard from a target since another's verdict insists.
func TestTable_LaterHeartbeatRefutesDeath(t *testing.T) {
	is := is.New(t)
	table := newIncrementalTable()
	table.Merge(at(0), registeredTarget("a", 4, "other"))
	verdict := registeredTarget("a", 4, "other")
	verdict.Gone = true
	table.Merge(at(time.Second), registeredTarget("a", 6, "other")) // nothing new, and not handed on
	told := table.Merge(at(time.Second), verdict)
	is.Equal(len(told), 1)
	is.True(!told[0].Gone)
	is.Equal(told[0].Sequence, ids.Sequence(6))
	// Others take that for news, over the verdict.
	far := newIncrementalTable()
	far.Merge(at(0), registeredTarget("a", 4, "other"))
	far.Merge(at(0), verdict)
	is.Equal(len(far.Merge(at(time.Second), told...)), 1)
	got, _ := far.Get(at(time.Second), "a")
	is.True(got.Usable())
	// One who has heard nothing since takes the verdict.
	is.True(far.Digest() == table.Digest())
	later := registeredTarget("a", 6, "other")
	later.Gone = true
	is.Equal(len(table.Merge(at(2*time.Second), later)), 1)
	is.True(far.Digest() != table.Digest())
}
