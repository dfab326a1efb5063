package targets

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

func at(d time.Duration) ids.Time { return ids.Time(d) + 1 }

func newTarget(id ids.InstanceID, inc ids.Incarnation, seq ids.Sequence) Target {
	return Target{Instance: id, Incarnation: inc, Sequence: seq, Service: "s", Address: ids.Address("10.0.0.1:" + string(id)), IntervalMillis: 1000, Warmth: 1}
}

func TestTable_MergeKeepsLatestUpdate(t *testing.T) {
	is := is.New(t)
	table := New()
	is.Equal(len(table.Merge(at(0), newTarget("a", 1, 5))), 1)
	is.Equal(len(table.Merge(at(0), newTarget("a", 1, 4))), 0) // late
	is.Equal(len(table.Merge(at(0), newTarget("a", 1, 5))), 0) // doubled
	gone := newTarget("a", 1, 5)
	gone.Gone = true
	is.Equal(len(table.Merge(at(0), gone)), 1)
	is.Equal(len(table.Merge(at(0), newTarget("a", 1, 5))), 0) // a verdict holds
	is.Equal(len(table.Merge(at(0), newTarget("a", 1, 6))), 1) // until it speaks again
	is.Equal(len(table.Merge(at(0), newTarget("a", 0, 99))), 0)
	table.Merge(at(4*time.Second), newTarget("a", 2, 1))
	got, _ := table.Get(at(5*time.Second), "a")
	is.Equal(got.AgeMillis, uint64(1000)) // a new incarnation is young
}

func TestTable_OwnPauseExpiresNoTarget(t *testing.T) {
	is := is.New(t)
	table := New()
	table.Merge(at(0), newTarget("a", 1, 1))
	for s := range 3 {
		is.Equal(len(table.Tick(at(time.Duration(s+1)*900*time.Millisecond))), 0)
	}
	// Five seconds without a clock event were our silence, not the target's.
	is.Equal(len(table.Tick(at(8*time.Second))), 0)
	for s := 8500 * time.Millisecond; s <= 11*time.Second; s += 500 * time.Millisecond {
		is.Equal(len(table.Tick(at(s))), 0)
	}
	is.Equal(len(table.Tick(at(11500*time.Millisecond))), 1)
	table.Forget(at(2*time.Hour), time.Hour)
	is.Equal(len(table.All(at(2*time.Hour))), 0)
}

func TestTable_NewOwnerOfAddressDisplacesPrevious(t *testing.T) {
	is := is.New(t)
	table := New()
	table.Merge(at(0), newTarget("a", 1, 1))
	other := newTarget("b", 1, 1)
	other.Address = "10.0.0.1:a"
	changed := table.Merge(at(1), other)
	is.Equal(len(changed), 2)
	is.True(changed[1].Instance == "a" && changed[1].Gone)
}

func TestParseAnnouncement(t *testing.T) {
	is := is.New(t)
	good := `{"instance":"a","service":"s","cell":"c","address":"10.0.0.1:80","incarnation":1,"sequence":2`
	_, bad := ParseAnnouncement([]byte(good + `,"warmth":0.5,"leaving":true}`))
	is.Equal(len(bad), 0)
	for more, path := range map[string]string{
		`,"warmth":2}`: "warmth", `,"warmth":"1"}`: "warmth", `,"colour":1}`: "colour", `,"cell":"d"}`: "cell", `,"interval_ms":1}`: "interval_ms",
		`,"leaving":"no"}`: "leaving", `,"capacity":1.5}`: "capacity", `,`: "(body)",
	} {
		_, bad := ParseAnnouncement([]byte(good + more))
		if bad[path] == "" {
			t.Errorf("%s gave %v", more, bad)
		}
	}
	_, bad = ParseAnnouncement([]byte(`{"instance":"a b","service":"S","cell":"","address":"host:80","incarnation":0}`))
	is.Equal(len(bad), 6)
}
