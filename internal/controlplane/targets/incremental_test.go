package targets

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// A heartbeat that changes nothing must not be forwarded, but keeps its target alive.
func TestTable_UnchangedHeartbeatIsNotForwarded(t *testing.T) {
	is := is.New(t)
	table := newIncrementalTable()
	is.Equal(len(table.Merge(at(0), newTarget("a", 1, 1))), 1)
	version := table.Version()
	seq := ids.Sequence(1)
	for now := 500 * time.Millisecond; now <= 20*time.Second; now += 500 * time.Millisecond {
		if now%time.Second == 0 {
			seq++
			heartbeat := newTarget("a", 1, seq)
			heartbeat.Occupancy, heartbeat.AgeMillis = int64(seq), 7 // not a change by themselves
			is.Equal(len(table.Merge(at(now), heartbeat)), 0)
		}
		is.Equal(len(table.Tick(at(now))), 0)
	}
	is.Equal(table.Version(), version)
	is.Equal(table.LatestSequence("a"), seq)
	got, _ := table.Get(at(20*time.Second), "a")
	is.Equal(got.Sequence, ids.Sequence(1)) // as last forwarded
	// An update that is older than the latest heartbeat is ignored, although it is newer than the
	// entry that was last forwarded.
	late := newTarget("a", 1, 3)
	late.Draining = true
	is.Equal(len(table.Merge(at(20*time.Second), late)), 0)
	// The expiry is forwarded, and so is the first heartbeat after it.
	is.Equal(len(table.Tick(at(20900*time.Millisecond))), 0)
	is.Equal(len(table.Tick(at(21800*time.Millisecond))), 0)
	is.Equal(len(table.Tick(at(22700*time.Millisecond))), 0)
	is.Equal(len(table.Tick(at(23200*time.Millisecond))), 1)
	is.Equal(len(table.Merge(at(24*time.Second), newTarget("a", 1, seq))), 0) // a repeated heartbeat
	returned := table.Merge(at(24*time.Second), newTarget("a", 1, seq+1))
	is.Equal(len(returned), 1)
	is.True(returned[0].Usable())
	is.True(table.Version() > version)
}

// A heartbeat that changes a field must be forwarded once.
func TestTable_ChangedFieldsAreForwarded(t *testing.T) {
	is := is.New(t)
	table := newIncrementalTable()
	table.Merge(at(0), newTarget("a", 1, 1))
	seq := ids.Sequence(1)
	mergeNext := func(change func(*Target)) int {
		seq++
		update := newTarget("a", 1, seq)
		change(&update)
		return len(table.Merge(at(0), update))
	}
	is.Equal(mergeNext(func(*Target) {}), 0)
	is.Equal(mergeNext(func(update *Target) { update.Draining = true }), 1)
	is.Equal(mergeNext(func(update *Target) { update.Draining = true }), 0)
	is.Equal(mergeNext(func(*Target) {}), 1) // no longer draining
	is.Equal(mergeNext(func(update *Target) { update.Capacity = 4 }), 1)
	is.Equal(mergeNext(func(update *Target) { update.Zone = "c" }), 1)
	is.Equal(mergeNext(func(update *Target) { update.Address = "10.0.0.9:1" }), 1)
	is.Equal(mergeNext(func(update *Target) { update.Dead = true }), 1)
	is.Equal(mergeNext(func(update *Target) { update.Dead = true }), 0)
	is.Equal(mergeNext(func(*Target) {}), 1)
}

// A heartbeat in the same slow start isn't a change; an extended slow start is.
func TestTable_ExtendedSlowStartIsForwarded(t *testing.T) {
	is := is.New(t)
	table := newIncrementalTable()
	table.Merge(at(0), withSlowStart(newTarget("a", 1, 1), 3*time.Second))
	is.Equal(len(table.Merge(at(time.Second), withSlowStart(newTarget("a", 1, 2), 2*time.Second))), 0)
	is.Equal(len(table.Merge(at(2*time.Second), withSlowStart(newTarget("a", 1, 3), 1200*time.Millisecond))), 0) // within the tolerance
	all := table.All(at(2 * time.Second))
	is.Equal(all[0].SlowStartMillis, uint64(1000))
	is.Equal(len(table.Merge(at(3*time.Second), newTarget("a", 1, 4))), 0) // ended as announced
	is.Equal(table.All(at(4 * time.Second))[0].SlowStartMillis, uint64(0))
	extended := table.Merge(at(5*time.Second), withSlowStart(newTarget("a", 1, 5), 3*time.Second))
	is.Equal(len(extended), 1)
	is.Equal(table.All(at(6 * time.Second))[0].SlowStartMillis, uint64(2000))
	is.Equal(len(table.Merge(at(6*time.Second), withSlowStart(newTarget("a", 1, 6), 3*time.Second))), 1) // extended again
}

// A delayed update must renew its target as of when it was sent, not as of its arrival.
func TestTable_DelayedUpdateRenewsAsOfSendTime(t *testing.T) {
	is := is.New(t)
	table := newIncrementalTable()
	table.Merge(at(0), newTarget("a", 1, 1))
	table.MergeAsOf(at(2900*time.Millisecond), at(time.Second), newTarget("a", 1, 2))
	is.Equal(len(table.ExpireSilent(at(4*time.Second))), 0)
	is.Equal(len(table.ExpireSilent(at(4100*time.Millisecond))), 1)
}

// A table that isn't incremental must forward every heartbeat.
func TestTable_NonIncrementalForwardsEveryHeartbeat(t *testing.T) {
	is := is.New(t)
	table := New()
	table.Merge(at(0), newTarget("a", 1, 1))
	is.Equal(len(table.Merge(at(0), newTarget("a", 1, 2))), 1)
	is.Equal(table.Version(), uint64(2))
}
