package targets

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

func at(d time.Duration) ids.Time { return ids.Time(d) + 1 }

func target(id ids.Instance, inc ids.Incarnation, seq ids.Sequence) Target {
	return Target{Instance: id, Incarnation: inc, Sequence: seq, Service: "s", Address: ids.Address("10.0.0.1:" + string(id)), Interval: 1000, Warmth: 1}
}

func TestMergeKeepsTheNewest(t *testing.T) {
	is := is.New(t)
	y := New()
	is.Equal(len(y.Merge(at(0), target("a", 1, 5))), 1)
	is.Equal(len(y.Merge(at(0), target("a", 1, 4))), 0) // late
	is.Equal(len(y.Merge(at(0), target("a", 1, 5))), 0) // doubled
	gone := target("a", 1, 5)
	gone.Gone = true
	is.Equal(len(y.Merge(at(0), gone)), 1)
	is.Equal(len(y.Merge(at(0), target("a", 1, 5))), 0) // a verdict holds
	is.Equal(len(y.Merge(at(0), target("a", 1, 6))), 1) // until it speaks again
	is.Equal(len(y.Merge(at(0), target("a", 0, 99))), 0)
	y.Merge(at(4*time.Second), target("a", 2, 1))
	got, _ := y.Get(at(5*time.Second), "a")
	is.Equal(got.Age, uint64(1000)) // a new incarnation is young
}

func TestSilenceAndFreeze(t *testing.T) {
	is := is.New(t)
	y := New()
	y.Merge(at(0), target("a", 1, 1))
	for s := range 3 {
		is.Equal(len(y.Clock(at(time.Duration(s+1)*900*time.Millisecond))), 0)
	}
	// Five seconds without a clock event were our silence, not the target's.
	is.Equal(len(y.Clock(at(8*time.Second))), 0)
	for s := 8500 * time.Millisecond; s <= 11*time.Second; s += 500 * time.Millisecond {
		is.Equal(len(y.Clock(at(s))), 0)
	}
	is.Equal(len(y.Clock(at(11500*time.Millisecond))), 1)
	y.Forget(at(2*time.Hour), time.Hour)
	is.Equal(len(y.All(at(2*time.Hour))), 0)
}

func TestNewerOwnerOfAnAddress(t *testing.T) {
	is := is.New(t)
	y := New()
	y.Merge(at(0), target("a", 1, 1))
	other := target("b", 1, 1)
	other.Address = "10.0.0.1:a"
	changed := y.Merge(at(1), other)
	is.Equal(len(changed), 2)
	is.True(changed[1].Instance == "a" && changed[1].Gone)
}

func TestAnnouncements(t *testing.T) {
	is := is.New(t)
	good := `{"instance":"a","service":"s","cell":"c","address":"10.0.0.1:80","incarnation":1,"sequence":2`
	_, bad := ReadAnnouncement([]byte(good + `,"warmth":0.5,"leaving":true}`))
	is.Equal(len(bad), 0)
	for more, path := range map[string]string{
		`,"warmth":2}`: "warmth", `,"warmth":"1"}`: "warmth", `,"colour":1}`: "colour", `,"cell":"d"}`: "cell", `,"interval_ms":1}`: "interval_ms",
		`,"leaving":"no"}`: "leaving", `,"capacity":1.5}`: "capacity", `,`: "(body)",
	} {
		_, bad := ReadAnnouncement([]byte(good + more))
		if bad[path] == "" {
			t.Errorf("%s gave %v", more, bad)
		}
	}
	_, bad = ReadAnnouncement([]byte(`{"instance":"a b","service":"S","cell":"","address":"host:80","incarnation":0}`))
	is.Equal(len(bad), 6)
}
