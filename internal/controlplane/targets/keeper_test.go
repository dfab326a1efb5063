package targets

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

func kept(id ids.Instance, seq ids.Sequence, by ids.Daemon) Target {
	t := target(id, 1, seq)
	t.Keeper, t.Run = by, 1
	return t
}

// A keeper that is there vouches for its targets; one that is lost leaves them
// more time than their own silence would.
func TestAKeeperVouchesForItsTargets(t *testing.T) {
	is := is.New(t)
	y := thrifty()
	y.Self = "own"
	y.Merge(at(0), kept("a", 1, "other"), kept("b", 1, "own"))
	there := true
	play := func(from, to time.Duration) (gone []ids.Instance) {
		for now := from; now <= to; now += 500 * time.Millisecond {
			y.Vouch(at(now), func(d ids.Daemon, run ids.RunID) bool { return there && d == "other" && run == 1 })
			for _, g := range y.Clock(at(now)) {
				gone = append(gone, g.Instance)
			}
		}
		return gone
	}
	// What this copy keeps itself is silent; the other's is vouched for.
	is.Equal(play(0, 20*time.Second), []ids.Instance{"b"})
	there = false
	is.Equal(len(play(20500*time.Millisecond, 29500*time.Millisecond)), 0)
	is.Equal(play(30*time.Second, 31*time.Second), []ids.Instance{"a"})
}

// A copy that has heard from a target since another's verdict insists.
func TestACopyThatKnowsBetterInsists(t *testing.T) {
	is := is.New(t)
	y := thrifty()
	y.Merge(at(0), kept("a", 4, "other"))
	verdict := kept("a", 4, "other")
	verdict.Gone = true
	y.Merge(at(time.Second), kept("a", 6, "other")) // nothing new, and not handed on
	told := y.Merge(at(time.Second), verdict)
	is.Equal(len(told), 1)
	is.True(!told[0].Gone)
	is.Equal(told[0].Sequence, ids.Sequence(6))
	// Others take that for news, over the verdict.
	far := thrifty()
	far.Merge(at(0), kept("a", 4, "other"))
	far.Merge(at(0), verdict)
	is.Equal(len(far.Merge(at(time.Second), told...)), 1)
	got, _ := far.Get(at(time.Second), "a")
	is.True(got.Usable())
	// One who has heard nothing since takes the verdict.
	is.True(far.Sum() == y.Sum())
	later := kept("a", 6, "other")
	later.Gone = true
	is.Equal(len(y.Merge(at(2*time.Second), later)), 1)
	is.True(far.Sum() != y.Sum())
}
