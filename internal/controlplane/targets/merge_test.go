package targets

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Of two updates of a target the later one is kept, in whatever order they arrive.
func TestTable_MergeKeepsLatestUpdate(t *testing.T) {
	is := is.New(t)
	table := New()
	is.Equal(len(table.Merge(at(0), newTarget("a", 1, 5))), 1)
	is.Equal(len(table.Merge(at(0), newTarget("a", 1, 4))), 0) // out of order
	is.Equal(len(table.Merge(at(0), newTarget("a", 1, 5))), 0) // repeated
	gone := newTarget("a", 1, 5)
	gone.Dead = true
	is.Equal(len(table.Merge(at(0), gone)), 1)
	is.Equal(len(table.Merge(at(0), newTarget("a", 1, 5))), 0) // death holds
	is.Equal(len(table.Merge(at(0), newTarget("a", 1, 6))), 1) // until the next heartbeat
	is.Equal(len(table.Merge(at(0), newTarget("a", 0, 99))), 0)
	table.Merge(at(4*time.Second), newTarget("a", 2, 1))
	got, _ := table.Get(at(5*time.Second), "a")
	is.Equal(got.AgeMillis, uint64(1000)) // a new incarnation is young
}

// A target that takes over an address displaces the previous one.
func TestTable_NewOwnerOfAddressDisplacesPrevious(t *testing.T) {
	is := is.New(t)
	table := New()
	table.Merge(at(0), newTarget("a", 1, 1))
	other := newTarget("b", 1, 1)
	other.Address = "10.0.0.1:a"
	changed := table.Merge(at(1), other)
	is.Equal(len(changed), 2)
	is.True(changed[1].Instance == "a" && changed[1].Dead)
}
