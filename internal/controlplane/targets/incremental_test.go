package targets

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

func thrifty() *Table {
	y := New()
	y.Thrifty = true
	return y
}

func cold(t Target, for1 time.Duration) Target {
	t.Cold = uint64(for1 / time.Millisecond)
	return t
}

// A beat that says nothing new is handed on to nobody, and keeps its target alive.
func TestABeatThatSaysNothingNew(t *testing.T) {
	is := is.New(t)
	y := thrifty()
	is.Equal(len(y.Merge(at(0), target("a", 1, 1))), 1)
	v := y.Version()
	seq := ids.Sequence(1)
	for now := 500 * time.Millisecond; now <= 20*time.Second; now += 500 * time.Millisecond {
		if now%time.Second == 0 {
			seq++
			beat := target("a", 1, seq)
			beat.Occupancy, beat.Age = int64(seq), 7 // these alone are no news
			is.Equal(len(y.Merge(at(now), beat)), 0)
		}
		is.Equal(len(y.Clock(at(now))), 0)
	}
	is.Equal(y.Version(), v)
	is.Equal(y.Newest("a"), seq)
	got, _ := y.Get(at(20*time.Second), "a")
	is.Equal(got.Sequence, ids.Sequence(1)) // as it was last handed on
	// What is older than its last word changes nothing, though newer than what was
	// handed on.
	late := target("a", 1, 3)
	late.Leaving = true
	is.Equal(len(y.Merge(at(20*time.Second), late)), 0)
	// Silence is told, and a beat after it.
	is.Equal(len(y.Clock(at(20900*time.Millisecond))), 0)
	is.Equal(len(y.Clock(at(21800*time.Millisecond))), 0)
	is.Equal(len(y.Clock(at(22700*time.Millisecond))), 0)
	is.Equal(len(y.Clock(at(23200*time.Millisecond))), 1)
	is.Equal(len(y.Merge(at(24*time.Second), target("a", 1, seq))), 0) // a doubled old word
	back := y.Merge(at(24*time.Second), target("a", 1, seq+1))
	is.Equal(len(back), 1)
	is.True(back[0].Usable())
	is.True(y.Version() > v)
}

func TestWhatIsNewsOfATarget(t *testing.T) {
	is := is.New(t)
	y := thrifty()
	y.Merge(at(0), target("a", 1, 1))
	seq := ids.Sequence(1)
	next := func(change func(*Target)) int {
		seq++
		b := target("a", 1, seq)
		change(&b)
		return len(y.Merge(at(0), b))
	}
	is.Equal(next(func(*Target) {}), 0)
	is.Equal(next(func(b *Target) { b.Leaving = true }), 1)
	is.Equal(next(func(b *Target) { b.Leaving = true }), 0)
	is.Equal(next(func(*Target) {}), 1) // it stays after all
	is.Equal(next(func(b *Target) { b.Capacity = 4 }), 1)
	is.Equal(next(func(b *Target) { b.Cell = "c" }), 1)
	is.Equal(next(func(b *Target) { b.Address = "10.0.0.9:1" }), 1)
	is.Equal(next(func(b *Target) { b.Gone = true }), 1)
	is.Equal(next(func(b *Target) { b.Gone = true }), 0)
	is.Equal(next(func(*Target) {}), 1)
}

// The same cold time, counted down by beats, is no news; a longer one is.
func TestColdAgainIsTold(t *testing.T) {
	is := is.New(t)
	y := thrifty()
	y.Merge(at(0), cold(target("a", 1, 1), 3*time.Second))
	is.Equal(len(y.Merge(at(time.Second), cold(target("a", 1, 2), 2*time.Second))), 0)
	is.Equal(len(y.Merge(at(2*time.Second), cold(target("a", 1, 3), 1200*time.Millisecond))), 0) // words differ a little
	all := y.All(at(2 * time.Second))
	is.Equal(all[0].Cold, uint64(1000))
	is.Equal(len(y.Merge(at(3*time.Second), target("a", 1, 4))), 0) // warm when it should be
	is.Equal(y.All(at(4 * time.Second))[0].Cold, uint64(0))
	again := y.Merge(at(5*time.Second), cold(target("a", 1, 5), 3*time.Second))
	is.Equal(len(again), 1)
	is.Equal(y.All(at(6 * time.Second))[0].Cold, uint64(2000))
	is.Equal(len(y.Merge(at(6*time.Second), cold(target("a", 1, 6), 3*time.Second))), 1) // and anew
}

// A word that waited on its way keeps its target alive only from when it was said.
func TestNewsAsOfATime(t *testing.T) {
	is := is.New(t)
	y := thrifty()
	y.Merge(at(0), target("a", 1, 1))
	y.MergeAsOf(at(2900*time.Millisecond), at(time.Second), target("a", 1, 2))
	is.Equal(len(y.Lapse(at(4*time.Second))), 0)
	is.Equal(len(y.Lapse(at(4100*time.Millisecond))), 1)
}

// A target table that isn't thrifty hands each word on.
func TestWithoutThriftEachWordIsNews(t *testing.T) {
	is := is.New(t)
	y := New()
	y.Merge(at(0), target("a", 1, 1))
	is.Equal(len(y.Merge(at(0), target("a", 1, 2))), 1)
	is.Equal(y.Version(), uint64(2))
}
