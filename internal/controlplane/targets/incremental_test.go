package targets

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

func newIncrementalTable() *Table {
	table := New()
	table.Incremental = true
	return table
}

func withSlowStart(t Target, remaining time.Duration) Target {
	t.SlowStartMillis = uint64(remaining / time.Millisecond)
	return t
}

// A beat that says nothing new is handed on to nobody, and keeps its target alive.
func TestTable_UnchangedHeartbeatIsNotForwarded(t *testing.T) {
	is := is.New(t)
	table := newIncrementalTable()
	is.Equal(len(table.Merge(at(0), newTarget("a", 1, 1))), 1)
	v := table.Version()
	seq := ids.Sequence(1)
	for now := 500 * time.Millisecond; now <= 20*time.Second; now += 500 * time.Millisecond {
		if now%time.Second == 0 {
			seq++
			beat := newTarget("a", 1, seq)
			beat.Occupancy, beat.AgeMillis = int64(seq), 7 // these alone are no news
			is.Equal(len(table.Merge(at(now), beat)), 0)
		}
		is.Equal(len(table.Tick(at(now))), 0)
	}
	is.Equal(table.Version(), v)
	is.Equal(table.LatestSequence("a"), seq)
	got, _ := table.Get(at(20*time.Second), "a")
	is.Equal(got.Sequence, ids.Sequence(1)) // as it was last handed on
	// What is older than its last word changes nothing, though newer than what was
	// handed on.
	late := newTarget("a", 1, 3)
	late.Leaving = true
	is.Equal(len(table.Merge(at(20*time.Second), late)), 0)
	// Silence is told, and a beat after it.
	is.Equal(len(table.Tick(at(20900*time.Millisecond))), 0)
	is.Equal(len(table.Tick(at(21800*time.Millisecond))), 0)
	is.Equal(len(table.Tick(at(22700*time.Millisecond))), 0)
	is.Equal(len(table.Tick(at(23200*time.Millisecond))), 1)
	is.Equal(len(table.Merge(at(24*time.Second), newTarget("a", 1, seq))), 0) // a doubled old word
	back := table.Merge(at(24*time.Second), newTarget("a", 1, seq+1))
	is.Equal(len(back), 1)
	is.True(back[0].Usable())
	is.True(table.Version() > v)
}

func TestTable_ChangedFieldsAreForwarded(t *testing.T) {
	is := is.New(t)
	table := newIncrementalTable()
	table.Merge(at(0), newTarget("a", 1, 1))
	seq := ids.Sequence(1)
	next := func(change func(*Target)) int {
		seq++
		b := newTarget("a", 1, seq)
		change(&b)
		return len(table.Merge(at(0), b))
	}
	is.Equal(next(func(*Target) {}), 0)
	is.Equal(next(func(b *Target) { b.Leaving = true }), 1)
	is.Equal(next(func(b *Target) { b.Leaving = true }), 0)
	is.Equal(next(func(*Target) {}), 1) // it stays after all
	is.Equal(next(func(b *Target) { b.Capacity = 4 }), 1)
	is.Equal(next(func(b *Target) { b.Zone = "c" }), 1)
	is.Equal(next(func(b *Target) { b.Address = "10.0.0.9:1" }), 1)
	is.Equal(next(func(b *Target) { b.Gone = true }), 1)
	is.Equal(next(func(b *Target) { b.Gone = true }), 0)
	is.Equal(next(func(*Target) {}), 1)
}

// The same cold time, counted down by beats, is no news; a longer one is.
func TestTable_ExtendedSlowStartIsForwarded(t *testing.T) {
	is := is.New(t)
	table := newIncrementalTable()
	table.Merge(at(0), withSlowStart(newTarget("a", 1, 1), 3*time.Second))
	is.Equal(len(table.Merge(at(time.Second), withSlowStart(newTarget("a", 1, 2), 2*time.Second))), 0)
	is.Equal(len(table.Merge(at(2*time.Second), withSlowStart(newTarget("a", 1, 3), 1200*time.Millisecond))), 0) // words differ a little
	all := table.All(at(2 * time.Second))
	is.Equal(all[0].SlowStartMillis, uint64(1000))
	is.Equal(len(table.Merge(at(3*time.Second), newTarget("a", 1, 4))), 0) // warm when it should be
	is.Equal(table.All(at(4 * time.Second))[0].SlowStartMillis, uint64(0))
	again := table.Merge(at(5*time.Second), withSlowStart(newTarget("a", 1, 5), 3*time.Second))
	is.Equal(len(again), 1)
	is.Equal(table.All(at(6 * time.Second))[0].SlowStartMillis, uint64(2000))
	is.Equal(len(table.Merge(at(6*time.Second), withSlowStart(newTarget("a", 1, 6), 3*time.Second))), 1) // and anew
}

// A word that waited on its way keeps its target alive only from when it was said.
func TestTable_DelayedUpdateConfirmsOnlyItsOwnTime(t *testing.T) {
	is := is.New(t)
	table := newIncrementalTable()
	table.Merge(at(0), newTarget("a", 1, 1))
	table.MergeAsOf(at(2900*time.Millisecond), at(time.Second), newTarget("a", 1, 2))
	is.Equal(len(table.ExpireSilent(at(4*time.Second))), 0)
	is.Equal(len(table.ExpireSilent(at(4100*time.Millisecond))), 1)
}

// A target table that isn't thrifty hands each word on.
func TestTable_FullModeForwardsEveryHeartbeat(t *testing.T) {
	is := is.New(t)
	table := New()
	table.Merge(at(0), newTarget("a", 1, 1))
	is.Equal(len(table.Merge(at(0), newTarget("a", 1, 2))), 1)
	is.Equal(table.Version(), uint64(2))
}
